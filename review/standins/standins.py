"""Stand-ins for the users' platform: the store, the workers and a client.

They follow PROTOCOL.md and DEPLOY.md. All of them listen on loopback addresses and run in one
process. The entry daemons are separate processes, started with the command of
deploy/system.toml. Only the standard library is used.
"""

import asyncio
import atexit
import base64
import bisect
import json
import os
import random
import re
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
# Each play has a loopback address of its own.
HOST = f"127.{random.randrange(1, 255)}.{random.randrange(255)}.{random.randrange(1, 255)}"
# The bounds of a small deployment, as its settings give them.
HOLD_MAX_MS = 6000
STOP_TIMEOUT_MS = 200
HEARTBEAT_S = 1.1
VALUE_BYTES = 1048576
HISTORY_S = 20.0
GRACE_S = 6


TAKEN_PORTS = set()


def free_port():
    """A free port below the range from which outgoing connections take theirs."""
    while True:
        port = random.randrange(15000, 32000)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in TAKEN_PORTS:
            TAKEN_PORTS.add(port)
            return port


class Record:
    """The record of a play: what was sent, answered and run."""

    def __init__(self, path):
        self.begun = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.begun

    def line(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class HttpServer:
    """A small HTTP/1.1 server. `handle(method, path, query, headers, body)` returns the status
    and the object to answer with."""

    def __init__(self, handle):
        self.handle = handle
        self.server = None
        self.writers = set()
        self.silent = set()

    def silence(self):
        """The open connections go silent for good, without a reset; new ones work."""
        self.silent |= self.writers

    async def start(self, port):
        self.server = await asyncio.start_server(self.serve, HOST, port, limit=1 << 24)

    def abort(self):
        """Ends the server as the end of its process does."""
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    if line:
                        name, value = line.split(":", 1)
                        headers[name.strip().lower()] = value.strip()
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                parts = urlsplit(target)
                query = {key: values[0] for key, values in parse_qs(parts.query).items()}
                if writer in self.silent:
                    continue
                answer = await self.handle(method, parts.path, query, headers, body)
                if writer in self.silent:
                    continue
                status, value = answer
                data = json.dumps(value, separators=(",", ":")).encode()
                writer.write(
                    b"HTTP/1.1 %d OK\r\ncontent-type: application/json\r\n"
                    b"content-length: %d\r\n\r\n" % (status, len(data))
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
            pass
        finally:
            self.writers.discard(writer)
            self.silent.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's metadata store."""

    def __init__(self, record):
        self.record = record
        self.revision = 100
        self.items = {}
        self.keys = []
        self.events = []
        # The newest revision of which the history is gone.
        self.forgotten = self.revision
        self.leases = {}
        self.next_lease = 70000
        self.changed = asyncio.Event()
        self.refused_values = []
        self.server = HttpServer(self.handle)
        self.port = free_port()

    async def start(self):
        await self.server.start(self.port)
        asyncio.ensure_future(self.expire())

    def write(self, sets, removals):
        self.revision += 1
        for key, value, lease in sets:
            old = self.items.get(key)
            item = {
                "key": key,
                "value": value,
                "rev": self.revision,
                "created": old["created"] if old else self.revision,
                "lease": lease or 0,
            }
            if not old:
                bisect.insort(self.keys, key)
            self.items[key] = item
            self.events.append((time.monotonic(), self.revision, item))
        for key in removals:
            if self.items.pop(key, None):
                self.keys.pop(bisect.bisect_left(self.keys, key))
                gone = {"key": key, "rev": self.revision, "removed": True}
                self.events.append((time.monotonic(), self.revision, gone))
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, value):
        data = base64.b64encode(json.dumps(value).encode()).decode()
        self.write([(key, data, 0)], [])

    def remove(self, key):
        if key in self.items:
            self.write([], [key])

    async def expire(self):
        while True:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            for lease, (ttl, ends) in list(self.leases.items()):
                if ends < now:
                    self.end_lease(lease)
            while self.events and self.events[0][0] < now - HISTORY_S:
                self.forgotten = self.events.pop(0)[1]

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        gone = [key for key, item in self.items.items() if item["lease"] == lease]
        if gone:
            self.write([], gone)

    async def handle(self, method, path, query, headers, body):
        body = json.loads(body) if body else {}
        if path == "/kv-key":
            item = self.items.get(query["key"])
            if not item:
                return 404, {"current_rev": self.revision}
            return 200, {**item, "current_rev": self.revision}
        if path == "/kv-range":
            return 200, self.range(query)
        if path == "/kv-watch":
            return await self.watch(query)
        if path == "/kv-txn":
            return self.commit(body)
        if path == "/kv-lease":
            self.next_lease += 1
            ttl = min(max(body["ttl_ms"], 1000), 600000)
            self.leases[self.next_lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"lease": self.next_lease, "ttl_ms": ttl}
        if path.startswith("/kv-keep/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            ttl = self.leases[lease][0]
            self.leases[lease] = (ttl, time.monotonic() + ttl / 1000)
            return 200, {"ttl_ms": ttl}
        if path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.rsplit("/", 1)[1]))
            return 200, {}
        return 404, {}

    def range(self, query):
        prefix, after = query["prefix"], query.get("after", "")
        start = bisect.bisect_right(self.keys, after) if after else 0
        start = max(start, bisect.bisect_left(self.keys, prefix))
        items, size, more = [], 0, False
        for key in self.keys[start:]:
            if not key.startswith(prefix):
                break
            if items and (len(items) >= 500 or size >= 1 << 20):
                more = True
                break
            items.append(self.items[key])
            size += len(self.items[key]["value"])
        return {"items": items, "has_more": more, "current_rev": self.revision}

    async def watch(self, query):
        prefix, after = query["prefix"], int(query["after"])
        ends = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            if after < self.forgotten:
                return 410, {}
            events = [
                event
                for _, revision, event in self.events
                if revision > after and event["key"].startswith(prefix)
            ]
            left = ends - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "current_rev": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def commit(self, body):
        rows = body.get("precondition", [])
        sets = body.get("set_keys", [])
        removals = body.get("remove", [])
        if len(rows) + len(sets) + len(removals) > 32:
            return 400, {}
        for row in sets:
            size = len(base64.b64decode(row["value"], validate=True))
            if size > VALUE_BYTES or len(row["key"].encode()) > 200:
                if not self.refused_values or self.refused_values[-1][1] != row["key"]:
                    self.record.line(
                        f"store refuses a value of {size} bytes for {row['key']}: "
                        f"a value may have {VALUE_BYTES}"
                    )
                self.refused_values.append((time.monotonic(), row["key"], size))
                return 400, {}
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
        if any(row.get("lease") and row["lease"] not in self.leases for row in sets):
            return 404, {}
        state = {row["key"]: self.items.get(row["key"]) for row in rows}
        if any((state[row["key"]] or {"rev": 0})["rev"] != row["rev"] for row in rows):
            return 412, {"items": [item for item in state.values() if item]}
        self.write([(row["key"], row["value"], row.get("lease", 0)) for row in sets], removals)
        return 200, {"rev": self.revision}


class Run:
    """One run of a task on a worker."""

    def __init__(self, task, run, worker, seconds):
        self.task, self.run, self.worker = task, run, worker
        self.begun = time.monotonic()
        self.seconds = seconds
        self.ended = None
        self.how = None
        self.timer = None


class Worker:
    """A worker. It starts whatever it is told to start: it does not guard its capacity."""

    def __init__(self, deployment, name, zone, rack, kind="a", cpu=16000, mem_mb=64000):
        self.deployment = deployment
        self.id, self.zone, self.rack, self.kind = name, zone, rack, kind
        self.capacity = {"cpu": cpu, "mem_mb": mem_mb, "gpu": 0}
        self.port = free_port()
        self.state = "ready"
        self.server = None
        self.tasks = []
        self.reset()

    def reset(self):
        self.born = int(time.time() * 1000)
        self.started = time.monotonic()
        self.fence = 0
        self.until = 0
        self.running = {}
        self.ended_runs = {}
        self.ends = []
        self.count = 0
        self.seq = 0
        self.end_event = asyncio.Event()

    def clock(self):
        return int((time.monotonic() - self.started) * 1000)

    def entry(self):
        self.seq += 1
        return {
            "backend": "fitdesk",
            "address": f"{HOST}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "cold_left_ms": 0,
            "capacity": self.capacity,
            "labels": [self.kind, self.rack],
            "clock_ms": self.clock(),
            "born": self.born,
            "seq": self.seq,
        }

    def register(self):
        """Writes the entry in the store, as a worker does at its start and at each beat."""
        self.deployment.store.put(f"servers/{self.id}", self.entry())

    async def start(self):
        """Starts the worker: it registers, then listens."""
        self.reset()
        self.register()
        self.server = HttpServer(self.handle)
        await self.server.start(self.port)
        self.tasks = [
            asyncio.ensure_future(self.send_beats()),
            asyncio.ensure_future(self.end_expired()),
        ]
        self.deployment.record.line(
            f"worker {self.id} starts at port {self.port}, born {self.born}, "
            f"kind {self.kind}, capacity {self.capacity['cpu']} cpu"
        )

    async def send_beats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    async def end_expired(self):
        """Ends all runs when the lease expires."""
        while True:
            await asyncio.sleep(0.01)
            if self.clock() > self.until:
                for run in list(self.running.values()):
                    self.end(run, "lapsed")

    def crash(self):
        """Ends the worker's process: nothing that it ran goes on."""
        for task in self.tasks:
            task.cancel()
        self.server.abort()
        for run in self.running.values():
            run.timer.cancel()
            run.ended, run.how = time.monotonic(), "lost with its worker"
        names = sorted(run.task for run in self.running.values())
        self.running = {}
        self.deployment.record.line(f"worker {self.id} crashes, it ran {names}")
        loop = asyncio.get_running_loop()
        loop.call_later(3 * HEARTBEAT_S, self.remove_entry, self.born)

    def remove_entry(self, born):
        """The entry is removed after three heartbeat intervals of silence."""
        if self.server.server is None and self.born == born:
            self.deployment.store.remove(f"servers/{self.id}")
            self.deployment.record.line(f"the entry of {self.id} is removed")

    def end(self, run, how):
        if run.ended is not None:
            return
        run.timer.cancel()
        run.ended, run.how = time.monotonic(), how
        self.running.pop((run.task, run.run), None)
        self.ended_runs[run.task] = max(run.run, self.ended_runs.get(run.task, 0))
        self.count += 1
        self.ends.append([self.count, run.task, run.run, how, ""])
        self.deployment.on_end(self, run)
        self.end_event.set()
        self.end_event = asyncio.Event()

    def extend(self, until):
        if until is not None:
            self.until = max(self.until, min(until, self.clock() + HOLD_MAX_MS))

    async def handle(self, method, path, query, headers, body):
        if headers.get("x-lycheelock-expect-instance", self.id) != self.id:
            return 421, {}
        body = json.loads(body) if body else {}
        if path == "/health":
            return 200, {}
        fence = body.get("fence", 0)
        if fence < self.fence:
            return 409, {"clock_ms": self.clock(), "born": self.born, "reason": "fence"}
        self.fence = fence
        refused = None
        if path == "/run-start":
            refused = self.start_run(body)
        elif path == "/run-stop":
            self.stop_run(body)
        elif path == "/hold":
            return await self.hold(body)
        elif path != "/pace":
            return 404, {}
        answer = {"clock_ms": self.clock(), "born": self.born}
        if refused:
            return 409, {**answer, "reason": refused}
        return 200, answer

    def start_run(self, body):
        task, number, until = body["task"], body["run"], body["until_ms"]
        if (task, number) in self.running:
            return None
        if until < self.clock():
            return "late"
        self.extend(until)
        if number <= self.ended_runs.get(task, 0):
            return "old"
        run = Run(task, number, self.id, self.deployment.duration(task, number))
        self.running[(task, number)] = run
        loop = asyncio.get_running_loop()
        run.timer = loop.call_later(run.seconds, self.end, run, "done")
        self.deployment.on_start(self, run, body)
        return None

    def stop_run(self, body):
        task, number = body["task"], body["run"]
        run = self.running.get((task, number))
        if run:
            loop = asyncio.get_running_loop()
            loop.call_later(STOP_TIMEOUT_MS / 2000, self.end, run, "stopped")
        else:
            self.ended_runs[task] = max(number, self.ended_runs.get(task, 0))

    async def hold(self, body):
        self.extend(body.get("until_ms"))
        seen = body["last_seen"]
        for end in self.ends:
            if end[0] <= seen:
                self.deployment.on_noted(self, end)
        self.ends = [end for end in self.ends if end[0] > seen]
        if not self.ends and body.get("wait_ms"):
            try:
                await asyncio.wait_for(self.end_event.wait(), body["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        now = time.monotonic()
        running = []
        for run in self.running.values():
            percent = min(99, int((now - run.begun) / run.seconds * 100))
            running.append([run.task, run.run, "", percent, 500])
        return 200, {
            "clock_ms": self.clock(),
            "born": self.born,
            "running": running,
            "finished": self.ends[:500],
        }


class Entry:
    """An entry daemon, started with the command of the deploy file."""

    def __init__(self, deployment, name, zone, zones, cores):
        self.name, self.zone = name, zone
        self.front, self.ready, self.metrics = free_port(), free_port(), free_port()
        self.folder = deployment.folder
        self.settings = os.path.join(self.folder, f"{name}.ini")
        with open(self.settings, "w", encoding="utf-8") as file:
            file.write(
                f"[fleet]\nname = {name}\nzone = {zone}\nzones = {','.join(zones)}\n"
                f"address = {HOST}:{self.front}\nready = {HOST}:{self.ready}\n"
                f"metrics = {HOST}:{self.metrics}\nplatform = {HOST}:{deployment.store.port}\n"
                f"cores = {cores}\ngrace = {GRACE_S}s\n"
            )
        self.process = None

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml"), encoding="utf-8") as file:
            command = re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE).group(1).split(" ")
        place = "/etc/lycheelock/local.yaml"
        command = [self.settings if word == place else word for word in command]
        log = open(os.path.join(self.folder, f"{self.name}.log"), "ab")
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env={**os.environ, "LYCHEELOCK_NODE_FILE": self.settings},
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=subprocess.STDOUT,
        )
        atexit.register(self.end)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


async def call(port, method, path, body=None, headers=None, timeout=3.0):
    """Makes one call on a connection of its own. Returns the status and the decoded body, or
    (None, reason) if there was no answer."""
    try:
        return await asyncio.wait_for(call_once(port, method, path, body, headers), timeout)
    except (asyncio.TimeoutError, OSError, asyncio.IncompleteReadError) as error:
        return None, type(error).__name__


async def call_once(port, method, path, body, headers):
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        data = b"" if body is None else json.dumps(body).encode()
        lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if body is not None:
            lines += ["Content-Type: application/json", f"Content-Length: {len(data)}"]
        writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
        await writer.drain()
        head = await reader.readuntil(b"\r\n\r\n")
        status = int(head.split(b" ", 2)[1])
        length = 0
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        data = await reader.readexactly(length)
        is_json = b"application/json" in head.lower()
        return status, json.loads(data) if data and is_json else None
    finally:
        writer.transport.abort()


class Deployment:
    """A small deployment: the store, workers and entry daemons on loopback addresses."""

    QUEUE_HOST = "nony24.example"
    PREFIX = "/lohu930/"

    def __init__(self, record, zones=("ie-a", "ie-b", "ie-c"), entries=8, cores=0.25):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.store = Store(record)
        self.workers = []
        self.runs = []
        self.noted = set()
        self.durations = {}
        self.zones = list(zones)
        self.quiet = False
        self.entries = [
            Entry(self, f"edge-{zones[n % len(zones)]}-{n}", zones[n % len(zones)], zones, cores)
            for n in range(entries)
        ]

    def add_worker(self, number, kind="a", cpu=16000):
        zone = number % len(self.zones)
        name = f"i-{number:08x}"
        rack = f"r{zone}-{number // len(self.zones) // 8}"
        self.workers.append(Worker(self, name, self.zones[zone], rack, kind, cpu))

    def duration(self, task, number):
        """How long a run of a task takes, in seconds."""
        return self.durations.get(task.split(".")[0], 1.0)

    def on_start(self, worker, run, body):
        self.runs.append(run)
        if not self.quiet:
            self.record.line(f"worker {worker.id} starts {run.task} run {run.run}")

    def on_end(self, worker, run):
        if not self.quiet:
            self.record.line(f"worker {worker.id} ends {run.task} run {run.run}: {run.how}")

    def on_noted(self, worker, end):
        self.noted.add((end[1], end[2]))

    async def start(self, config=None):
        await self.store.start()
        self.store.put("op/config", config or self.configuration())
        for worker in self.workers:
            await worker.start()
        for entry in self.entries:
            entry.start()
        for entry in self.entries:
            await self.wait_ready(entry)
        self.record.line(f"{len(self.entries)} entry daemons are ready")
        # Traffic starts ten seconds after the machines do; an owner is at work by then.
        await self.wait_owner()

    def configuration(self, version=7):
        route = {
            "name": "r-3hwrr6x",
            "host": self.QUEUE_HOST,
            "prefix": self.PREFIX,
            "type": "unsafe",
            "timeout_ms": 3000,
            "target_latency_ms": 250,
            "priority": 0,
            "backend": "fitdesk",
            "attempts": 3,
            "stretch": 1.5,
        }
        service = {
            "name": "fitdesk",
            "health_path": "/health",
            "max_conns": 64,
            "protocol": "h1",
            "tls": False,
            "rejects_overload": False,
            "standby": False,
        }
        limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 262144,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        }
        return {"version": version, "routes": [route], "services": [service], "limits": limits}

    async def wait_ready(self, entry, limit=15.0):
        ends = time.monotonic() + limit
        while time.monotonic() < ends:
            status, _ = await call(entry.ready, "GET", "/ready", timeout=1.0)
            if status == 200:
                return
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{entry.name} is not ready")

    async def owner(self):
        """The entry daemon that gives orders, by its metrics; None if there is none."""
        for entry in self.entries:
            if entry.process.poll() is None:
                text = await self.metrics(entry)
                if "shards_owned 1" in text:
                    return entry
        return None

    async def metrics(self, entry):
        try:
            reader, writer = await asyncio.open_connection(HOST, entry.metrics)
            writer.write(b"GET /metrics HTTP/1.1\r\nConnection: close\r\n\r\n")
            data = await asyncio.wait_for(reader.read(1 << 20), 1.0)
            writer.transport.abort()
            return data.decode("latin-1")
        except (OSError, asyncio.TimeoutError):
            return ""

    async def wait_owner(self, limit=15.0):
        ends = time.monotonic() + limit
        while time.monotonic() < ends:
            if await self.owner():
                await asyncio.sleep(2.0)
                return
            await asyncio.sleep(0.1)
        raise RuntimeError("no entry daemon owns the shard")

    def headers(self):
        return {"Host": self.QUEUE_HOST, "X-Lycheelock-Deadline-Ms": "3000"}

    async def submit(self, steps, spec="review", seconds=1.0, entry=0, **fields):
        """Hands a job in. Returns its id, or None if it was not accepted."""
        job = secrets.token_hex(8)
        self.durations[job] = seconds
        body = {"spec": spec, "steps": steps, **fields}
        front = self.entries[entry].front
        status, _ = await call(front, "POST", self.PREFIX + job, body, self.headers())
        if not self.quiet or status != 200:
            self.record.line(f"client hands in {job}: {json.dumps(steps)[:160]} -> {status}")
        return job if status == 200 else None

    async def state(self, job, entry=1):
        """Asks for a job's state. Returns the status and the state."""
        front = self.entries[entry].front
        status, body = await call(front, "GET", self.PREFIX + job, None, self.headers())
        return status, (body or {}).get("state") if status == 200 else body

    async def wait_state(self, job, states, limit, entry=1):
        """Asks for a job's state until it is one of `states` or the time is over."""
        ends = time.monotonic() + limit
        state = None
        while time.monotonic() < ends:
            _, state = await self.state(job, entry)
            if state in states:
                break
            await asyncio.sleep(0.2)
        self.record.line(f"client asks for {job}: {state}")
        return state

    def runs_of(self, job):
        return [run for run in self.runs if run.task.startswith(job)]

    def end(self):
        for entry in self.entries:
            entry.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, play):
    """Runs a case: `play(record, trouble)` returns true if the rule held. Exits with 1 if the
    rule was broken, 0 if it held and 2 if the case could not run."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record.line(f"the case begins, {'with' if trouble else 'without'} the disruption")
    try:
        held = asyncio.run(asyncio.wait_for(play(record, trouble), 115))
    except Exception as error:  # The case could not run.
        record.line(f"the case could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(2)
    verdict = "the rule held" if held else "the rule was broken"
    record.line(verdict)
    print(verdict)
    sys.exit(0 if held else 1)
