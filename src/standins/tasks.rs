//! Simulates how a worker handles batch tasks and `sync` calls.
//!
//! Each call to the model passes the current time, so that tests can run it in
//! virtual time. Tasks make progress only during such a call.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::configuration::Size;
use crate::ids::{Attempt, Epoch, RequestId, ShardId, TaskId};
use crate::moment::Moment;
use crate::workers::{
    BootId, Report, RequestReport, RequestState, StartTask, SyncRefusal, SyncReply, SyncRequest,
    TaskAttempt, TaskReport, TaskState, Ticket,
};

const CHECKPOINT_INTERVAL_MS: u64 = 100;

/// One attempt at a task that a worker started, for the audit. The model counts its
/// times from the start of the process, a journal from the Unix epoch.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct TaskRun {
    /// Id of the task.
    pub task: TaskId,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Time of the start, in microseconds.
    pub start: u64,
    /// Time of the end, in microseconds; `None` while the attempt runs.
    pub end: Option<u64>,
    /// State of the attempt: running, or how it ended.
    pub state: TaskState,
    /// Work of the checkpoint that the attempt resumed from, in milliseconds.
    pub resumed: u64,
    /// Work saved by the last checkpoint of the attempt, in milliseconds.
    pub checkpoint: u64,
}

/// The simulated batch tasks of one worker process.
#[derive(Debug)]
pub struct TaskModel {
    boot: BootId,
    capacity: Size,
    /// Time for which a ticket is accepted after it was issued.
    ticket_lifetime: Duration,
    last_calls: BTreeMap<ShardId, LastCall>,
    tickets: Vec<IssuedTicket>,
    next_ticket: u64,
    tasks: Vec<Task>,
    /// Interactive requests reported as not run, which must not start any more.
    fenced: BTreeSet<RequestId>,
    /// Percentage of the declared duration that tasks take.
    pub duration_percent: u32,
    /// Whether every task fails as soon as it starts.
    pub fails: bool,
    /// Number of starts that exceeded the capacity; each is a violation.
    pub overfull: u64,
}

/// The highest epoch seen from a shard, and its latest call.
#[derive(Debug, Default)]
struct LastCall {
    epoch: Epoch,
    number: u64,
}

impl LastCall {
    /// Records a higher epoch, in which calls are numbered anew.
    fn raise_epoch(&mut self, epoch: Epoch) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.number = 0;
        }
    }
}

#[derive(Debug)]
struct IssuedTicket {
    ticket: Ticket,
    expires_at: Moment,
}

#[derive(Debug)]
struct Task {
    start: StartTask,
    state: TaskState,
    started_at: Moment,
    ended_at: Option<Moment>,
    /// End of the lease, at which the task stops unless it is renewed.
    lease_end: Moment,
    /// Time up to which `work` is accounted for.
    advanced_to: Moment,
    /// Work done, in microseconds at full speed.
    work: u64,
    /// Work needed, in microseconds at full speed.
    needed: u64,
    /// Whether the task fails at the end of its work.
    fails: bool,
    /// Speed limit, in percent of full speed.
    speed: u32,
    /// Actual resource usage, in percent of the declared size.
    usage_percent: u32,
    /// Whether the owner has asked to drop the ended task from reports.
    forgotten: bool,
}

impl TaskModel {
    /// Creates a worker process with the given capacity and no tasks.
    pub const fn new(boot: BootId, capacity: Size, ticket_lifetime: Duration) -> Self {
        Self {
            boot,
            capacity,
            ticket_lifetime,
            last_calls: BTreeMap::new(),
            tickets: Vec::new(),
            next_ticket: 0,
            tasks: Vec::new(),
            fenced: BTreeSet::new(),
            duration_percent: 100,
            fails: false,
            overfull: 0,
        }
    }

    /// Returns the id of the worker process.
    pub const fn boot(&self) -> BootId {
        self.boot
    }

    /// Executes one `sync` call. `running` lists the interactive requests in progress,
    /// and `ended` returns whether a request ran to its end.
    pub fn sync(
        &mut self,
        request: &SyncRequest,
        running: &[RequestId],
        ended: impl Fn(RequestId) -> bool,
        now: Moment,
    ) -> SyncReply {
        self.advance(now);
        if let Some(refusal) = self.check_order(request) {
            return SyncReply::Refused(refusal);
        }
        let valid_ticket = request.ticket.is_some_and(|ticket| {
            request.boot == Some(self.boot) && self.accepts_ticket(ticket, now)
        });
        if valid_ticket {
            self.renew_leases(request, now);
        }
        for stop in &request.stops {
            self.stop(stop.task, stop.attempt, now);
        }
        for start in &request.starts {
            self.start(start, valid_ticket, request.lease_ms, now);
        }
        for key in &request.forget {
            self.forget(*key);
        }
        let resolved = request
            .resolve
            .iter()
            .map(|id| self.resolve(*id, running, &ended))
            .collect();
        SyncReply::Report(self.report(running, resolved, now))
    }

    /// Returns whether an interactive request may run: it is meant for this process, its
    /// epoch is not outdated, and it was not reported to the owner as not run.
    pub fn admits(&mut self, id: RequestId, shard: ShardId, epoch: Epoch, boot: BootId) -> bool {
        if boot != self.boot {
            return false;
        }
        let last_call = self.last_calls.entry(shard).or_default();
        last_call.raise_epoch(epoch);
        epoch == last_call.epoch && !self.fenced.contains(&id)
    }

    /// Returns the CPU usage of batch tasks, in percent of the capacity.
    pub fn load(&self) -> u32 {
        let running = self.tasks.iter().filter(|task| !task.state.is_ended());
        let used: u32 = running
            .map(|task| task.start.size.millicores * task.speed / 100 * task.usage_percent / 100)
            .sum();
        used * 100 / self.capacity.millicores.max(1)
    }

    /// Returns all attempts that started since the process started.
    pub fn runs(&mut self, now: Moment) -> Vec<TaskRun> {
        self.advance(now);
        let started = self
            .tasks
            .iter()
            .filter(|task| task.state != TaskState::Refused);
        started
            .map(|task| TaskRun {
                task: task.start.task,
                attempt: task.start.attempt,
                start: task.started_at.as_micros(),
                end: task.ended_at.map(Moment::as_micros),
                state: task.state,
                resumed: task.start.checkpoint,
                checkpoint: task.checkpoint(),
            })
            .collect()
    }

    /// Returns the number of attempts that are running.
    pub fn running_count(&mut self, now: Moment) -> usize {
        self.advance(now);
        let running = self.tasks.iter().filter(|task| !task.state.is_ended());
        running.count()
    }

    /// Advances every task to `now` and stops those whose lease has ended.
    pub fn advance(&mut self, now: Moment) {
        for task in &mut self.tasks {
            task.advance(now);
        }
    }

    /// Refuses a call of an outdated epoch, or one that arrives after a later call.
    fn check_order(&mut self, request: &SyncRequest) -> Option<SyncRefusal> {
        let last_call = self.last_calls.entry(request.shard).or_default();
        if request.epoch < last_call.epoch {
            return Some(SyncRefusal::OldEpoch);
        }
        last_call.raise_epoch(request.epoch);
        if request.number <= last_call.number {
            return Some(SyncRefusal::OldNumber);
        }
        last_call.number = request.number;
        None
    }

    fn renew_leases(&mut self, request: &SyncRequest, now: Moment) {
        let lease_end = now + Duration::from_millis(request.lease_ms);
        let running = self.tasks.iter_mut().filter(|task| !task.state.is_ended());
        for task in running {
            task.lease_end = lease_end;
            task.speed = request.batch_speed.clamp(1, 100);
        }
    }

    fn accepts_ticket(&self, ticket: Ticket, now: Moment) -> bool {
        let mut issued = self.tickets.iter();
        issued.any(|issued| issued.ticket == ticket && now < issued.expires_at)
    }

    fn start(&mut self, start: &StartTask, valid_ticket: bool, lease_ms: u64, now: Moment) {
        let known = self
            .tasks
            .iter()
            .any(|task| task.start.task == start.task && task.start.attempt == start.attempt);
        if known {
            return;
        }
        let fits = self.used_size().plus(start.size).fits(self.capacity);
        if valid_ticket && !fits {
            self.overfull += 1;
        }
        let state = match (valid_ticket && fits, self.fails) {
            (true, false) => TaskState::Running,
            (true, true) => TaskState::Failed,
            (false, _) => TaskState::Refused,
        };
        let ended_at = state.is_ended().then_some(now);
        let lease_end = now + Duration::from_millis(lease_ms);
        self.tasks.push(Task::new(
            start,
            state,
            now,
            ended_at,
            lease_end,
            self.duration_percent,
        ));
    }

    fn used_size(&self) -> Size {
        let running = self.tasks.iter().filter(|task| !task.state.is_ended());
        running.fold(Size::default(), |sum, task| sum.plus(task.start.size))
    }

    fn stop(&mut self, task: TaskId, attempt: Attempt, now: Moment) {
        let found = self
            .tasks
            .iter_mut()
            .find(|each| each.start.task == task && each.start.attempt == attempt);
        if let Some(found) = found {
            found.end(TaskState::Stopped, now);
        }
    }

    fn forget(&mut self, key: TaskAttempt) {
        let found = self
            .tasks
            .iter_mut()
            .find(|each| each.start.task == key.task && each.start.attempt == key.attempt);
        if let Some(found) = found {
            found.forgotten = found.state.is_ended();
        }
    }

    /// Finds out what became of an interactive request, and fences it if it has not run,
    /// so that it never will.
    fn resolve(
        &mut self,
        request: RequestId,
        running: &[RequestId],
        ended: &impl Fn(RequestId) -> bool,
    ) -> RequestReport {
        let request_state = match (running.contains(&request), ended(request)) {
            (true, _) => RequestState::Running,
            (false, true) => RequestState::Ended,
            (false, false) => {
                self.fenced.insert(request);
                RequestState::NotRun
            }
        };
        RequestReport {
            request,
            state: request_state,
        }
    }

    fn report(
        &mut self,
        running: &[RequestId],
        resolved: Vec<RequestReport>,
        now: Moment,
    ) -> Report {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        self.tickets.retain(|issued| now < issued.expires_at);
        self.tickets.push(IssuedTicket {
            ticket,
            expires_at: now + self.ticket_lifetime,
        });
        let tasks = self.tasks.iter().filter(|task| !task.forgotten);
        Report {
            boot: self.boot,
            ticket,
            tasks: tasks.map(|task| task.report(now)).collect(),
            requests: running.to_vec(),
            resolved,
            load: self.load(),
        }
    }
}

impl Task {
    fn new(
        start: &StartTask,
        state: TaskState,
        now: Moment,
        ended_at: Option<Moment>,
        lease_end: Moment,
        duration_percent: u32,
    ) -> Self {
        let factor_percent = payload_number(&start.payload, "percent=").unwrap_or(100);
        let needed =
            start.duration_ms * 1000 * u64::from(duration_percent) / 100 * factor_percent / 100;
        Self {
            start: start.clone(),
            state,
            started_at: now,
            ended_at,
            lease_end,
            advanced_to: now,
            work: start.checkpoint * 1000,
            needed,
            fails: start.payload.contains("fail"),
            speed: 100,
            usage_percent: payload_number(&start.payload, "noise=").unwrap_or(100) as u32,
            forgotten: false,
        }
    }

    fn advance(&mut self, now: Moment) {
        if self.state.is_ended() {
            return;
        }
        let stop = now.min(self.lease_end);
        let span = (stop - self.advanced_to).as_micros() as u64;
        let speed = u64::from(self.speed);
        let work = span * speed / 100;
        let remaining = self.needed.saturating_sub(self.work);
        if work >= remaining {
            let at = self.advanced_to + Duration::from_micros(remaining * 100 / speed);
            self.work = self.needed;
            let state = if self.fails {
                TaskState::Failed
            } else {
                TaskState::Finished
            };
            self.end(state, at);
            return;
        }
        self.work += work;
        self.advanced_to = self.advanced_to.max(stop);
        if now >= self.lease_end {
            self.end(TaskState::Stopped, self.lease_end);
        }
    }

    fn end(&mut self, state: TaskState, at: Moment) {
        if !self.state.is_ended() {
            self.state = state;
            self.ended_at = Some(at);
        }
    }

    /// Returns the work saved by the last checkpoint, in milliseconds.
    fn checkpoint(&self) -> u64 {
        let done_ms = self.work / 1000;
        let saved_ms = done_ms / CHECKPOINT_INTERVAL_MS * CHECKPOINT_INTERVAL_MS;
        saved_ms.max(self.start.checkpoint)
    }

    fn report(&self, now: Moment) -> TaskReport {
        TaskReport {
            task: self.start.task,
            attempt: self.start.attempt,
            state: self.state,
            checkpoint: self.checkpoint(),
            used: self.start.size,
            ran_ms: (self.ended_at.unwrap_or(now) - self.started_at).as_millis() as u64,
        }
    }
}

/// Reads the number that follows `name` in a payload.
fn payload_number(payload: &str, name: &str) -> Option<u64> {
    let rest = payload.split(name).nth(1)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
