//! What a stand-in worker does with batch tasks and `sync` calls.
//!
//! The model takes the time with each call, so that tests can run it in
//! virtual time. Tasks advance only when the model is asked.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::configuration::Size;
use crate::ids::{Attempt, Epoch, RequestId, ShardId, TaskId};
use crate::moment::Moment;
use crate::workers::{
    BootId, Report, RequestReport, RequestState, StartTask, SyncRefusal, SyncReply, SyncRequest,
    TaskAttempt, TaskReport, TaskState, Ticket,
};

const CHECKPOINT_EVERY_MS: u64 = 100;

/// Something that a worker did, for the audit.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct TaskRun {
    /// The task.
    pub task: TaskId,
    /// The attempt.
    pub attempt: Attempt,
    /// When it started.
    pub start: u64,
    /// When it ended, in microseconds; none while it runs.
    pub end: Option<u64>,
    /// How it ended.
    pub state: TaskState,
    /// The checkpoint it resumed from.
    pub resumed: u64,
    /// The last checkpoint it made.
    pub checkpoint: u64,
}

/// The batch side of a stand-in worker.
#[derive(Debug)]
pub struct TaskModel {
    boot: BootId,
    room: Size,
    /// How long a ticket is good for.
    ticket_life: Duration,
    seen: BTreeMap<ShardId, Seen>,
    tickets: Vec<Issued>,
    next_ticket: u64,
    tasks: Vec<Task>,
    fenced: BTreeSet<RequestId>,
    /// How much of the declared run time tasks take, in percent.
    pub pace: u32,
    /// Whether every task fails at once.
    pub fails: bool,
    /// Starts that the worker could not hold: each is a violation.
    pub overfull: u64,
}

/// The newest call of a shard.
#[derive(Debug, Default)]
struct Seen {
    epoch: Epoch,
    number: u64,
}

impl Seen {
    fn raise(&mut self, epoch: Epoch) {
        if epoch > self.epoch {
            self.epoch = epoch;
            self.number = 0;
        }
    }
}

#[derive(Debug)]
struct Issued {
    ticket: Ticket,
    until: Moment,
}

#[derive(Debug)]
struct Task {
    start: StartTask,
    state: TaskState,
    began: Moment,
    ended: Option<Moment>,
    until: Moment,
    seen: Moment,
    /// Work done, in microseconds at full speed.
    work: u64,
    /// Work needed, in microseconds at full speed.
    needed: u64,
    fails: bool,
    throttle: u32,
    /// How much of its declared size it really uses, in percent.
    noise: u32,
    forgotten: bool,
}

impl TaskModel {
    /// A worker process with this much room.
    pub const fn new(boot: BootId, room: Size, ticket_life: Duration) -> Self {
        Self {
            boot,
            room,
            ticket_life,
            seen: BTreeMap::new(),
            tickets: Vec::new(),
            next_ticket: 0,
            tasks: Vec::new(),
            fenced: BTreeSet::new(),
            pace: 100,
            fails: false,
            overfull: 0,
        }
    }

    /// Carries out one `sync` call; `running` are the interactive requests in
    /// progress and `ended` tells of one that ran to its end.
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
        let granted = request
            .ticket
            .is_some_and(|ticket| self.accepts(ticket, now));
        if granted {
            self.renew(request, now);
        }
        for stop in &request.stops {
            self.stop(stop.task, stop.attempt, now);
        }
        for start in &request.starts {
            self.start(start, granted, request.lease_ms, now);
        }
        for key in &request.forget {
            self.forget(*key);
        }
        let settled = request
            .resolve
            .iter()
            .map(|id| self.settle(*id, running, &ended))
            .collect();
        SyncReply::Report(self.report(running, settled, now))
    }

    /// Whether an interactive request may run: its epoch is not old and the
    /// owner was not told that it did not run.
    pub fn admits(&mut self, id: RequestId, shard: ShardId, epoch: Epoch) -> bool {
        let seen = self.seen.entry(shard).or_default();
        seen.raise(epoch);
        epoch == seen.epoch && !self.fenced.contains(&id)
    }

    /// The share of the cores that batch tasks use, in percent.
    pub fn load(&self) -> u32 {
        let running = self.tasks.iter().filter(|task| !task.state.is_ended());
        let used: u32 = running
            .map(|task| task.start.size.cores * task.throttle / 100 * task.noise / 100)
            .sum();
        used * 100 / self.room.cores.max(1)
    }

    /// Everything that ran since the process started.
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
                start: task.began.as_micros(),
                end: task.ended.map(Moment::as_micros),
                state: task.state,
                resumed: task.start.checkpoint,
                checkpoint: task.checkpoint(),
            })
            .collect()
    }

    /// The number of attempts that run.
    pub fn running(&mut self, now: Moment) -> usize {
        self.advance(now);
        let running = self.tasks.iter().filter(|task| !task.state.is_ended());
        running.count()
    }

    /// Moves every task forward to `now` and ends those whose lease is over.
    pub fn advance(&mut self, now: Moment) {
        for task in &mut self.tasks {
            task.advance(now);
        }
    }

    fn check_order(&mut self, request: &SyncRequest) -> Option<SyncRefusal> {
        let seen = self.seen.entry(request.shard).or_default();
        if request.epoch < seen.epoch {
            return Some(SyncRefusal::OldEpoch);
        }
        seen.raise(request.epoch);
        if request.number <= seen.number {
            return Some(SyncRefusal::OldNumber);
        }
        seen.number = request.number;
        None
    }

    fn renew(&mut self, request: &SyncRequest, now: Moment) {
        let until = now + Duration::from_millis(request.lease_ms);
        let running = self.tasks.iter_mut().filter(|task| !task.state.is_ended());
        for task in running {
            task.until = until;
            task.throttle = request.batch_speed.clamp(1, 100);
        }
    }

    fn accepts(&self, ticket: Ticket, now: Moment) -> bool {
        let mut issued = self.tickets.iter();
        issued.any(|issued| issued.ticket == ticket && now < issued.until)
    }

    fn start(&mut self, start: &StartTask, granted: bool, lease_ms: u64, now: Moment) {
        let known = self
            .tasks
            .iter()
            .any(|task| task.start.task == start.task && task.start.attempt == start.attempt);
        if known {
            return;
        }
        let fits = self.used().plus(start.size).fits(self.room);
        if granted && !fits {
            self.overfull += 1;
        }
        let state = match (granted && fits, self.fails) {
            (true, false) => TaskState::Running,
            (true, true) => TaskState::Failed,
            (false, _) => TaskState::Refused,
        };
        let ended = state.is_ended().then_some(now);
        let until = now + Duration::from_millis(lease_ms);
        self.tasks
            .push(Task::new(start, state, now, ended, until, self.pace));
    }

    fn used(&self) -> Size {
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

    fn settle(
        &mut self,
        request: RequestId,
        running: &[RequestId],
        ended: &impl Fn(RequestId) -> bool,
    ) -> RequestReport {
        let fate = match (running.contains(&request), ended(request)) {
            (true, _) => RequestState::Running,
            (false, true) => RequestState::Ended,
            (false, false) => {
                self.fenced.insert(request);
                RequestState::NotRun
            }
        };
        RequestReport {
            request,
            state: fate,
        }
    }

    fn report(
        &mut self,
        running: &[RequestId],
        settled: Vec<RequestReport>,
        now: Moment,
    ) -> Report {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        self.tickets.retain(|issued| now < issued.until);
        self.tickets.push(Issued {
            ticket,
            until: now + self.ticket_life,
        });
        let tasks = self.tasks.iter().filter(|task| !task.forgotten);
        Report {
            boot: self.boot,
            ticket,
            tasks: tasks.map(|task| task.report(now)).collect(),
            requests: running.to_vec(),
            resolved: settled,
            load: self.load(),
        }
    }
}

impl Task {
    fn new(
        start: &StartTask,
        state: TaskState,
        now: Moment,
        ended: Option<Moment>,
        until: Moment,
        pace: u32,
    ) -> Self {
        let factor = payload_number(&start.payload, "percent=").unwrap_or(100);
        let needed = start.duration_ms * 1000 * u64::from(pace) / 100 * factor / 100;
        Self {
            start: start.clone(),
            state,
            began: now,
            ended,
            until,
            seen: now,
            work: start.checkpoint * 1000,
            needed,
            fails: start.payload.contains("fail"),
            throttle: 100,
            noise: payload_number(&start.payload, "noise=").unwrap_or(100) as u32,
            forgotten: false,
        }
    }

    fn advance(&mut self, now: Moment) {
        if self.state.is_ended() {
            return;
        }
        let stop = now.min(self.until);
        let span = (stop - self.seen).as_micros() as u64;
        let throttle = u64::from(self.throttle);
        let done = span * throttle / 100;
        let left = self.needed.saturating_sub(self.work);
        if done >= left {
            let at = self.seen + Duration::from_micros(left * 100 / throttle);
            self.work = self.needed;
            let state = if self.fails {
                TaskState::Failed
            } else {
                TaskState::Finished
            };
            self.end(state, at);
            return;
        }
        self.work += done;
        self.seen = self.seen.max(stop);
        if now >= self.until {
            self.end(TaskState::Stopped, self.until);
        }
    }

    fn end(&mut self, state: TaskState, at: Moment) {
        if !self.state.is_ended() {
            self.state = state;
            self.ended = Some(at);
        }
    }

    fn checkpoint(&self) -> u64 {
        let done_ms = self.work / 1000;
        let whole = done_ms / CHECKPOINT_EVERY_MS * CHECKPOINT_EVERY_MS;
        whole.max(self.start.checkpoint)
    }

    fn report(&self, now: Moment) -> TaskReport {
        TaskReport {
            task: self.start.task,
            attempt: self.start.attempt,
            state: self.state,
            checkpoint: self.checkpoint(),
            used: self.start.size,
            ran_ms: (self.ended.unwrap_or(now) - self.began).as_millis() as u64,
        }
    }
}

fn payload_number(payload: &str, name: &str) -> Option<u64> {
    let rest = payload.split(name).nth(1)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
