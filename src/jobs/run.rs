//! Starting, watching and stopping the tasks of a shard.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::Wall;
use super::change::{Change, Outcome};
use super::ledger::{DelayedTask, Ledger};
use super::task::{StopReason, TaskStage};
use crate::configuration::{Configuration, Size};
use crate::ids::{TaskKey, WorkerKey};
use crate::kind::RetryReason;
use crate::moment::Moment;
use crate::placement::{Contact, Placement, Policy};
use crate::workers::{Report, RunningKey, RunningTask, StartTask, StopTask, TaskState};

/// The most tasks placed in one step.
const MOST_STARTS: usize = 512;
/// The step ends after this many tasks that no worker has room for.
const MOST_MISSES: usize = 8;
/// The longest wait after a failure, as a multiple of the first.
const MOST_DELAYS: u32 = 64;

/// What the next call to a worker carries.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Commands {
    /// Tasks to start.
    pub starts: Vec<StartTask>,
    /// Tasks to stop.
    pub stops: Vec<StopTask>,
    /// Ended tasks to drop.
    pub forget: Vec<RunningKey>,
}

impl Commands {
    /// Whether the worker should be called at once.
    ///
    /// ```
    /// assert!(!lycheelock::jobs::Commands::default().is_urgent());
    /// ```
    pub fn is_urgent(&self) -> bool {
        !self.starts.is_empty() || !self.stops.is_empty()
    }
}

/// What follows from a worker's last report.
#[derive(Debug, Default)]
pub(super) struct Orders {
    stops: Vec<StopTask>,
    forget: Vec<RunningKey>,
}

impl Ledger {
    /// Places waiting tasks, most pressing first.
    pub fn plan(
        &mut self,
        placement: &mut Placement,
        configuration: &Configuration,
        now: Moment,
        wall: Wall,
    ) {
        self.wake_delayed(now);
        if !self.is_settled(now) {
            return;
        }
        let mut misses = 0;
        let ranks: Vec<TaskKey> = self.order(placement.policy);
        for key in ranks {
            if misses >= MOST_MISSES {
                break;
            }
            if !self.place(key, placement, configuration, now, wall) {
                misses += 1;
            }
        }
    }

    fn order(&self, policy: Policy) -> Vec<TaskKey> {
        let ranks = self.waiting.iter();
        match policy {
            Policy::Shipped => ranks.take(MOST_STARTS).map(|rank| rank.task).collect(),
            Policy::Random | Policy::Fifo => {
                let mut keys: Vec<TaskKey> = ranks.map(|rank| rank.task).collect();
                keys.sort_by_key(|key| {
                    let record = &self.jobs[self.tasks[*key].job].record;
                    (record.submitted, *key)
                });
                keys.truncate(MOST_STARTS);
                keys
            }
        }
    }

    /// Places one task; tells whether the search may go on with others.
    fn place(
        &mut self,
        key: TaskKey,
        placement: &mut Placement,
        configuration: &Configuration,
        now: Moment,
        wall: Wall,
    ) -> bool {
        let task = &self.tasks[key];
        let job = &self.jobs[task.job];
        let (size, urgent) = (job.record.size, job.record.urgent);
        let job_submitted = job.record.submitted;
        let idempotent = job.record.idempotent;
        if job.cancelled {
            self.end_task(key, Outcome::Cancelled);
            return true;
        }
        if !idempotent && task.intended {
            self.end_task(key, Outcome::Unknown);
            return true;
        }
        let team = job.record.team.clone();
        let quota = configuration.team(&team).map_or(0, |team| team.tasks);
        if self.running.get(&team).copied().unwrap_or(0) >= quota {
            return true;
        }
        let avoid = task.avoid;
        if let Some(worker) = placement.pick_room(self.shard, size, avoid, now) {
            self.start(key, worker, placement, now);
            return true;
        }
        if !placement.could_hold(self.shard, size) && wall > job.record.deadline {
            self.end_task(key, Outcome::NeverFit);
            return true;
        }
        let waited = wall.0.saturating_sub(job_submitted.0);
        if urgent && waited >= patience_before_eviction(placement.policy) {
            self.make_room(size, placement, now);
        }
        false
    }

    fn start(&mut self, key: TaskKey, worker: WorkerKey, placement: &mut Placement, now: Moment) {
        self.dequeue(key);
        let attempt = self.next_attempt();
        let task = &self.tasks[key];
        let record = &self.jobs[task.job].record;
        placement.take_room(worker, record.size);
        let stage = match record.idempotent {
            true => TaskStage::Placed {
                worker,
                attempt,
                told: None,
                seen: false,
                stop: None,
                since: now,
            },
            false => {
                let task = task.id;
                self.changes.push(Change::Intent { task, attempt });
                TaskStage::Intending { worker, attempt }
            }
        };
        self.started += 1;
        self.set_placed(key, worker, stage);
    }

    fn set_placed(&mut self, key: TaskKey, worker: WorkerKey, stage: TaskStage) {
        let team = self.jobs[self.tasks[key].job].record.team.clone();
        *self.running.entry(team).or_default() += 1;
        self.placed.entry(worker).or_default().insert(key);
        self.tasks[key].stage = stage;
    }

    /// Drops a task from its worker's counts.
    fn release(&mut self, key: TaskKey, placement: &mut Placement) {
        let task = &self.tasks[key];
        let Some(worker) = task.worker() else {
            return;
        };
        let record = &self.jobs[task.job].record;
        placement.free_room(worker, record.size);
        if let Some(count) = self.running.get_mut(&record.team) {
            *count = count.saturating_sub(1);
        }
        if let Some(keys) = self.placed.get_mut(&worker) {
            keys.remove(&key);
        }
    }

    /// Evicts the task whose end makes enough room at the least loss.
    fn make_room(&mut self, size: Size, placement: &Placement, now: Moment) {
        let candidates = self
            .placed
            .iter()
            .flat_map(|(worker, keys)| keys.iter().map(|key| (*worker, *key)));
        let victim = candidates
            .filter(|(worker, key)| {
                self.is_evictable(*key) && {
                    let freed = self.jobs[self.tasks[*key].job].record.size;
                    placement.would_fit(*worker, freed, size, now)
                }
            })
            .min_by_key(|(_, key)| (self.eviction_cost(*key, placement.policy), *key));
        let pending = self.tasks.values().any(|task| {
            matches!(
                task.stage,
                TaskStage::Placed {
                    stop: Some(StopReason::Evicted),
                    ..
                }
            )
        });
        if let Some((_, key)) = victim
            && !pending
        {
            self.evict(key);
        }
    }

    fn is_evictable(&self, key: TaskKey) -> bool {
        let task = &self.tasks[key];
        let record = &self.jobs[task.job].record;
        let running = matches!(
            task.stage,
            TaskStage::Placed {
                seen: true,
                stop: None,
                ..
            }
        );
        running && !record.urgent && record.idempotent
    }

    fn eviction_cost(&self, key: TaskKey, policy: Policy) -> u64 {
        match policy {
            Policy::Shipped => self.tasks[key].loss,
            Policy::Random | Policy::Fifo => 0,
        }
    }

    /// Stops a running task so that it resumes elsewhere.
    pub(super) fn evict(&mut self, key: TaskKey) {
        if let TaskStage::Placed { stop, .. } = &mut self.tasks[key].stage {
            stop.get_or_insert(StopReason::Evicted);
        }
    }

    fn wake_delayed(&mut self, now: Moment) {
        while let Some(first) = self.delayed.first().copied() {
            if first.until > now {
                break;
            }
            self.delayed.remove(&first);
            self.enqueue(first.task);
        }
    }

    /// What the call with this number carries to a worker.
    pub fn commands(&mut self, worker: WorkerKey, number: u64) -> Commands {
        let orders = self.orders.remove(&worker).unwrap_or_default();
        let mut commands = Commands {
            starts: Vec::new(),
            stops: orders.stops,
            forget: orders.forget,
        };
        let keys = self.placed.get(&worker);
        for key in keys.into_iter().flatten().copied().collect::<Vec<_>>() {
            self.command(key, number, &mut commands);
        }
        commands
    }

    fn command(&mut self, key: TaskKey, number: u64, commands: &mut Commands) {
        let task = &mut self.tasks[key];
        let id = task.id;
        let checkpoint = task.checkpoint;
        let record = &self.jobs[task.job].record;
        let TaskStage::Placed {
            attempt,
            told,
            seen,
            stop,
            ..
        } = &mut task.stage
        else {
            return;
        };
        if stop.is_some() {
            commands.stops.push(StopTask {
                task: id,
                attempt: *attempt,
            });
        } else if !*seen {
            told.get_or_insert(number);
            commands.starts.push(StartTask {
                task: id,
                attempt: *attempt,
                class: record.class.clone(),
                size: record.size,
                duration_ms: record.duration,
                checkpoint: if record.checkpoint { checkpoint } else { 0 },
                payload: record.payload.clone(),
            });
        }
    }

    /// A fifth of the shortest declared run time on a worker, so that the room
    /// of short tasks is soon given to the next ones; long if nothing waits.
    pub fn expected_end(&self, worker: WorkerKey) -> Duration {
        let keys = self.placed.get(&worker).into_iter().flatten();
        let durations = keys.map(|key| self.jobs[self.tasks[*key].job].record.duration);
        match durations.min() {
            Some(shortest) if !self.waiting.is_empty() => Duration::from_millis(shortest / 5),
            _ => Duration::MAX,
        }
    }

    /// Whether a call to this worker should not wait for its next turn.
    pub fn has_commands(&self, worker: WorkerKey) -> bool {
        let keys = self.placed.get(&worker);
        keys.into_iter().flatten().any(|key| {
            let stage = &self.tasks[*key].stage;
            matches!(
                stage,
                TaskStage::Placed {
                    told: None,
                    seen: false,
                    ..
                }
            )
        })
    }

    /// Takes a worker's answer to the call with this number.
    pub fn on_report(
        &mut self,
        worker: WorkerKey,
        number: u64,
        report: &Report,
        placement: &mut Placement,
        now: Moment,
    ) {
        let reported: HashMap<RunningKey, &RunningTask> = report
            .tasks
            .iter()
            .map(|each| (running_key(each), each))
            .collect();
        let placed: BTreeSet<TaskKey> = self.placed.get(&worker).cloned().unwrap_or_default();
        let mut matched = BTreeSet::new();
        for key in placed {
            if let Some(running) = self.running_key(key)
                && let Some(state) = reported.get(&running)
            {
                matched.insert(state.task);
                self.on_state(key, state, placement, now);
            } else if self.was_told(key, number) {
                self.on_absent(key, placement);
            }
        }
        for each in &report.tasks {
            if !matched.contains(&each.task) {
                self.on_unplaced(worker, each, placement, now);
            }
        }
        self.gather_orders(worker, report);
        if let Some(name) = placement.get(worker).map(|worker| worker.name.clone()) {
            self.note_asked(&name);
        }
    }

    fn note_asked(&mut self, name: &str) {
        if self.unasked.remove(name) && self.unasked.is_empty() {
            self.end_cancelled();
        }
    }

    /// Ends the waiting tasks of cancelled jobs once it is sure that none runs.
    fn end_cancelled(&mut self) {
        let cancelled = self.jobs.values().filter(|job| job.cancelled);
        let keys: Vec<TaskKey> = cancelled.flat_map(|job| job.tasks.clone()).collect();
        for key in keys {
            if self.tasks[key].is_waiting() {
                self.end_task(key, Outcome::Cancelled);
            }
        }
    }

    fn running_key(&self, key: TaskKey) -> Option<RunningKey> {
        let task = &self.tasks[key];
        match task.stage {
            TaskStage::Placed { attempt, .. } => Some(RunningKey {
                task: task.id,
                attempt,
            }),
            _ => None,
        }
    }

    /// Whether a report for this call must show the task if the worker has it.
    fn was_told(&self, key: TaskKey, number: u64) -> bool {
        match self.tasks[key].stage {
            TaskStage::Placed {
                told, seen, stop, ..
            } => seen || told.is_some_and(|told| told <= number) || stop.is_some(),
            _ => false,
        }
    }

    fn on_state(
        &mut self,
        key: TaskKey,
        state: &RunningTask,
        placement: &mut Placement,
        now: Moment,
    ) {
        let worker = self.tasks[key].worker();
        if state.state == TaskState::Running {
            if let TaskStage::Placed { seen, .. } = &mut self.tasks[key].stage {
                *seen = true;
            }
            self.tasks[key].loss = state.ran_ms.saturating_sub(state.checkpoint);
            return;
        }
        let stop = match self.tasks[key].stage {
            TaskStage::Placed { stop, .. } => stop,
            _ => None,
        };
        self.release(key, placement);
        if let Some(worker) = worker.and_then(|worker| placement.get_mut(worker)) {
            match state.state {
                TaskState::Finished => worker.note_success(),
                TaskState::Failed => worker.note_failure(now),
                TaskState::Running | TaskState::Stopped | TaskState::Refused => {
                    worker.end_probe(now);
                }
            }
        }
        self.settle(key, state, worker, stop, placement, now);
    }

    /// Decides what follows from the end of an attempt.
    fn settle(
        &mut self,
        key: TaskKey,
        state: &RunningTask,
        worker: Option<WorkerKey>,
        stop: Option<StopReason>,
        placement: &mut Placement,
        now: Moment,
    ) {
        let job = &self.jobs[self.tasks[key].job];
        let idempotent = job.record.idempotent;
        match (state.state, stop) {
            (TaskState::Running, _) => {}
            (TaskState::Finished, _) => {
                let record = &job.record;
                placement.estimates.add(
                    &record.team,
                    &record.class,
                    record.duration,
                    state.ran_ms + self.tasks[key].checkpoint,
                    record.size,
                    state.used,
                );
                self.end_task(key, Outcome::Finished);
            }
            (_, Some(StopReason::Cancelled)) => self.end_task(key, Outcome::Cancelled),
            (TaskState::Failed, _) => self.on_failure(key, state, worker, now),
            (TaskState::Refused, _) => {
                self.tasks[key].intended = false;
                self.enqueue(key);
            }
            (TaskState::Stopped, _) if !idempotent => self.end_task(key, Outcome::Unknown),
            (TaskState::Stopped, stop) => {
                self.save(key, state.checkpoint);
                let reason = match stop {
                    Some(_) => RetryReason::TaskEvicted,
                    None => RetryReason::TaskLost,
                };
                self.evicted += u64::from(stop.is_some());
                self.retries.push(reason);
                self.enqueue(key);
            }
        }
    }

    fn save(&mut self, key: TaskKey, checkpoint: u64) {
        let task = &self.tasks[key];
        if checkpoint > task.checkpoint {
            let task = task.id;
            self.changes.push(Change::Saved { task, checkpoint });
            self.raise_checkpoint(key, checkpoint);
        }
    }

    fn on_failure(
        &mut self,
        key: TaskKey,
        state: &RunningTask,
        worker: Option<WorkerKey>,
        now: Moment,
    ) {
        let record = &self.jobs[self.tasks[key].job].record;
        let (most, idempotent) = (record.attempts, record.idempotent);
        let task = &mut self.tasks[key];
        if task.failed != Some(state.attempt) {
            task.failed = Some(state.attempt);
            task.failures += 1;
            task.avoid = worker;
        }
        let failures = task.failures;
        if failures >= most || !idempotent {
            self.end_task(key, Outcome::Failed);
            return;
        }
        self.retries.push(RetryReason::TaskFailed);
        self.dequeue(key);
        let factor = 1_u32.checked_shl(failures - 1).unwrap_or(MOST_DELAYS);
        let until = now + self.settings.delay * factor.min(MOST_DELAYS);
        self.tasks[key].stage = TaskStage::Delayed { until };
        self.delayed.insert(DelayedTask { until, task: key });
    }

    /// A task that its worker does not know: the worker restarted, or the task
    /// was called back before the worker was told.
    fn on_absent(&mut self, key: TaskKey, placement: &mut Placement) {
        let (stop, told) = match self.tasks[key].stage {
            TaskStage::Placed {
                stop, told, seen, ..
            } => (stop, seen || told.is_some()),
            _ => return,
        };
        self.release(key, placement);
        match (stop, told) {
            (Some(StopReason::Cancelled), _) => self.end_task(key, Outcome::Cancelled),
            (_, false) => {
                self.tasks[key].intended = false;
                self.enqueue(key);
            }
            (_, true) => self.lose(key),
        }
    }

    fn lose(&mut self, key: TaskKey) {
        if !self.jobs[self.tasks[key].job].record.idempotent {
            self.end_task(key, Outcome::Unknown);
            return;
        }
        self.retries.push(RetryReason::TaskLost);
        self.enqueue(key);
    }

    /// An attempt that this ledger did not place here: a former owner did, or
    /// it was given up.
    fn on_unplaced(
        &mut self,
        worker: WorkerKey,
        state: &RunningTask,
        placement: &mut Placement,
        now: Moment,
    ) {
        let Some(key) = self.task_key(state.task) else {
            return;
        };
        if !self.tasks[key].is_waiting() {
            return;
        }
        if state.state == TaskState::Running {
            self.adopt(key, worker, state, placement, now);
            return;
        }
        let counted = self.tasks[key].failed == Some(state.attempt);
        let stopped = state.state == TaskState::Stopped;
        let refused = state.state == TaskState::Refused;
        let idempotent = self.jobs[self.tasks[key].job].record.idempotent;
        if counted || refused {
            return;
        }
        if stopped && idempotent {
            self.save(key, state.checkpoint);
            return;
        }
        self.dequeue(key);
        self.settle(key, state, Some(worker), None, placement, now);
    }

    /// Takes over a running attempt of a former owner.
    fn adopt(
        &mut self,
        key: TaskKey,
        worker: WorkerKey,
        state: &RunningTask,
        placement: &mut Placement,
        now: Moment,
    ) {
        self.dequeue(key);
        let job = &self.jobs[self.tasks[key].job];
        placement.take_room(worker, job.record.size);
        let stage = TaskStage::Placed {
            worker,
            attempt: state.attempt,
            told: None,
            seen: true,
            stop: job.cancelled.then_some(StopReason::Cancelled),
            since: now,
        };
        self.set_placed(key, worker, stage);
    }

    /// Attempts that are not wanted are stopped; ended ones are forgotten once
    /// the log holds their end.
    fn gather_orders(&mut self, worker: WorkerKey, report: &Report) {
        let mut orders = Orders::default();
        for state in &report.tasks {
            let key = running_key(state);
            let stage = self.task_key(state.task).map(|key| self.tasks[key].stage);
            let here = match stage {
                Some(TaskStage::Placed {
                    worker: on,
                    attempt,
                    ..
                }) => on == worker && attempt == state.attempt,
                _ => false,
            };
            let ending = matches!(stage, Some(TaskStage::Ending { .. }));
            match state.state.ended() {
                true if !ending => orders.forget.push(key),
                false if !here => orders.stops.push(StopTask {
                    task: key.task,
                    attempt: key.attempt,
                }),
                _ => {}
            }
        }
        self.orders.insert(worker, orders);
    }

    /// Does what is due: tasks on workers that have been silent for too long
    /// are given up, and workers join or leave the roster.
    pub fn maintain(&mut self, placement: &mut Placement, now: Moment, wall: Wall) {
        for worker in placement.of_shard(self.shard).to_vec() {
            self.maintain_worker(worker, placement, now);
        }
        self.expire(wall);
    }

    fn maintain_worker(&mut self, key: WorkerKey, placement: &mut Placement, now: Moment) {
        let Some(worker) = placement.get(key) else {
            return;
        };
        let name = worker.name.clone();
        let address = worker.address.clone();
        let (listed, leaving) = (worker.listed, worker.leaving);
        let silent = matches!(worker.contact, Contact::Silent { .. });
        let over = silent
            && worker
                .reported
                .is_some_and(|at| now - at >= self.settings.horizon());
        if over {
            self.give_up(key, placement);
        }
        let empty = self.placed.get(&key).is_none_or(BTreeSet::is_empty);
        let asked = !self.unasked.contains(&name) || now >= self.hold_until;
        if leaving {
            self.evict_all(key);
        }
        let known = self
            .roster
            .get(&name)
            .map(|entry| (entry.logged, entry.leaving));
        match known {
            None if listed && !leaving => self.enroll(&name, address),
            Some((true, false)) if !listed && empty && asked && (over || !silent) => {
                self.dismiss(&name);
            }
            Some((logged, going)) => {
                if let Some(worker) = placement.get_mut(key) {
                    worker.enrolled = logged && !going;
                }
            }
            None => {}
        }
        let gone = !listed && !self.roster.contains_key(&name) && empty;
        if gone {
            self.orders.remove(&key);
            self.placed.remove(&key);
            placement.remove(key);
        }
    }

    fn enroll(&mut self, name: &str, address: String) {
        let entry = super::ledger::RosterEntry {
            address: address.clone(),
            logged: false,
            leaving: false,
        };
        self.roster.insert(name.to_owned(), entry);
        self.changes.push(Change::WorkerJoined {
            name: name.to_owned(),
            address,
        });
    }

    fn dismiss(&mut self, name: &str) {
        if let Some(entry) = self.roster.get_mut(name) {
            entry.leaving = true;
        }
        self.unasked.remove(name);
        let name = name.to_owned();
        self.changes.push(Change::WorkerLeft { name });
    }

    /// Gives up every task on a worker whose leases have all ended.
    fn give_up(&mut self, worker: WorkerKey, placement: &mut Placement) {
        let keys = self.placed.get(&worker).cloned().unwrap_or_default();
        for key in keys {
            self.on_absent(key, placement);
        }
    }

    /// Moves work away from a leaving worker, where nothing is lost by it.
    fn evict_all(&mut self, worker: WorkerKey) {
        let keys = self.placed.get(&worker).cloned().unwrap_or_default();
        for key in keys {
            let resumes = self.jobs[self.tasks[key].job].record.checkpoint;
            if resumes && self.is_evictable(key) {
                self.evict(key);
            }
        }
    }

    /// Drops old jobs and keys.
    fn expire(&mut self, wall: Wall) {
        let keep_jobs = self.settings.keep_jobs;
        let mut dropped = Vec::new();
        for job in self.jobs.values_mut() {
            if job.open > 0 {
                continue;
            }
            let ended = *job.ended_at.get_or_insert(wall);
            if wall.0.saturating_sub(ended.0) >= keep_jobs {
                dropped.push(job.record.id);
                job.ended_at = Some(wall);
            }
        }
        for redirect in self.redirects.values_mut() {
            if wall.0.saturating_sub(redirect.at.0) >= keep_jobs {
                dropped.push(redirect.job);
                redirect.at = wall;
            }
        }
        let drops = dropped.into_iter().map(|job| Change::Dropped { job });
        self.changes.extend(drops);
        let before = Wall(wall.0.saturating_sub(self.settings.keep_keys));
        let keys = self.keys.expire(before);
        self.changes.extend(keys);
    }
}

/// How long urgent work waits for a task to end by itself before one is
/// evicted, in milliseconds. Urgent work has to start within 1.4 s.
const fn patience_before_eviction(policy: Policy) -> u64 {
    match policy {
        Policy::Shipped => 800,
        Policy::Random | Policy::Fifo => 0,
    }
}

fn running_key(state: &RunningTask) -> RunningKey {
    RunningKey {
        task: state.task,
        attempt: state.attempt,
    }
}
