//! Events that the scheduler records for the log.

use serde::Serialize;

use crate::evacuation::ZoneChange;
use crate::fleet::RunOutcome;
use crate::moment::Moment;
use crate::workflow::{SuspectedCrash, WorkflowState};

use super::{CrashedRun, JobDelay, WorkerCounts};

/// Why no worker can take a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum WaitReason {
    /// No worker of the pool accepts new tasks.
    NoWorker,
    /// No open worker has the label that the task needs.
    NoLabel,
    /// The task needs more than any open worker has in total.
    TooLarge,
    /// Only workers of zones that are to be evacuated could take the task.
    ZoneEvacuated,
    /// No worker has enough free processors, though some have the memory.
    NoProcessors,
    /// No worker has enough free memory, though some have the processors.
    NoMemory,
    /// No worker has all that the task needs free at the same time, or those that have
    /// already run as many tasks of the step as allowed.
    #[serde(rename = "no_room")]
    NoCapacity,
    /// Every worker with the free capacity runs a serving task that the task would
    /// interfere with.
    Interference,
    /// Only workers away from the rack of the task's data have the free capacity, and the
    /// wait for that rack is expected to cost less than running there.
    DataRack,
    /// A worker could take the task, but others go first, or the task waits for its
    /// gang or for the store.
    HeldBack,
    /// Workers have the free capacity, but it is kept for short tasks.
    Headroom,
}

/// A decision or an observed change, with its reason. Durations are in
/// milliseconds.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum Event {
    /// A job was read from the store.
    Queued {
        /// The id of the job.
        id: String,
        /// The name of the job's queue.
        queue: String,
        /// The store revision at which the job was accepted.
        revision: u64,
        /// The number of tasks that can start immediately.
        tasks: usize,
        /// The estimated work of all tasks, in core milliseconds.
        work: u64,
    },
    /// A worker was chosen for a task.
    Placed {
        /// The name of the task.
        task: String,
        /// The number of the run.
        run: u64,
        /// The id of the chosen worker.
        worker: String,
        /// How long the task had waited for a worker.
        waited: u64,
        /// The age of the worker's last report.
        report_age: u64,
        /// The incarnation of the worker, as last reported or registered.
        incarnation: u64,
        /// The worker's free processors in millicores, after this task was placed.
        free: u32,
        /// Whether the worker is on the rack of the task's data; absent if the task names
        /// no rack.
        #[serde(skip_serializing_if = "Option::is_none")]
        near: Option<bool>,
    },
    /// A task has waited for a long time. Recorded once per job.
    Waiting {
        /// The name of the task.
        task: String,
        /// How long the task has waited so far.
        waited: u64,
        /// Why no worker can take the task.
        reason: WaitReason,
        /// The label that the task needs; empty if it needs none.
        label: String,
        /// The image that the task runs.
        image: String,
        /// The number of tasks of the job that a worker may be running.
        running: usize,
    },
    /// Nothing of a job has run for a while, although a task of it may start. Recorded
    /// once for each such period.
    JobIdle {
        /// The id of the job.
        id: String,
        /// The name of its most urgent waiting task.
        task: String,
        /// The image that the task runs.
        image: String,
        /// How long nothing of the job has run.
        idle: u64,
        /// Whether more than half of the pool's processors are idle.
        idle_pool: bool,
        /// How many workers could take the task, by check.
        workers: WorkerCounts,
    },
    /// A worker answered a copy of a start order. A `clock` below `least_clock` shows that a
    /// later incarnation answered than the one that the lease was meant for.
    StartAnswered {
        /// The name of the task.
        task: String,
        /// The number of the run.
        run: u64,
        /// The id of the worker.
        worker: String,
        /// The incarnation that was known before the answer.
        incarnation: u64,
        /// What the worker did.
        reply: &'static str,
        /// The end of the lease in the order, in milliseconds of the worker's clock.
        #[serde(skip_serializing_if = "Option::is_none")]
        lease_end: Option<u64>,
        /// The lowest reading that the clock of the known incarnation could have, in milliseconds.
        #[serde(skip_serializing_if = "Option::is_none")]
        least_clock: Option<u64>,
        /// The worker's clock in the answer, in milliseconds; absent if it had none.
        #[serde(skip_serializing_if = "Option::is_none")]
        clock: Option<u64>,
    },
    /// A job was moved to another shard, whose workers can run it.
    JobMoved {
        /// The id of the job.
        id: String,
        /// The name of the other shard.
        to: String,
    },
    /// A run that a former owner started was found and continues.
    Adopted {
        /// The name of the task.
        task: String,
        /// The number of the run.
        run: u64,
        /// The id of the worker that runs it.
        worker: String,
    },
    /// A run ended.
    RunEnded {
        /// The name of the task.
        task: String,
        /// The number of the run.
        run: u64,
        /// The id of the worker that ran it.
        worker: String,
        /// How the run ended.
        #[serde(rename = "ending")]
        outcome: RunOutcome,
        /// The time that the task had been in its stage when the end was reported.
        ran: u64,
    },
    /// A task was started again although an earlier run of it was done or still running.
    /// Recorded when a worker reports the earlier run.
    DuplicateRun {
        /// The name of the task.
        task: String,
        /// The number of the last run.
        run: u64,
        /// The number of the earlier run.
        earlier: u64,
        /// The id of the worker that reports the earlier run.
        worker: String,
        /// Whether the earlier run is done.
        done: bool,
    },
    /// A run no longer exists, although its worker reported no end.
    RunLost {
        /// The name of the task.
        task: String,
        /// The number of the run.
        run: u64,
        /// The id of the worker; empty if the worker is not known any more.
        worker: String,
        /// What shows that the run does not exist.
        reason: &'static str,
        /// The number of copies of its start order that got no answer.
        unanswered: u32,
    },
    /// A worker was ordered to stop a run.
    Stopping {
        /// The name of the task.
        task: String,
        /// The number of the run.
        run: u64,
        /// The id of the worker.
        worker: String,
        /// Why the run is stopped.
        reason: &'static str,
    },
    /// A job ended.
    JobEnded {
        /// The id of the job.
        id: String,
        /// The final state of the job.
        state: WorkflowState,
        /// The time since the job was accepted.
        after: u64,
        /// The estimated work of all tasks, in core milliseconds.
        work: u64,
        /// Why the job was delayed.
        delay: JobDelay,
    },
    /// A job has taken so long that its result is of no more use to the caller.
    /// Recorded once per job.
    JobOverdue {
        /// The id of the job.
        id: String,
        /// The name of the job's queue.
        queue: String,
        /// The estimated work of all tasks, in core milliseconds.
        work: u64,
        /// The number of all tasks.
        tasks: u32,
        /// The number of tasks that are not done.
        remaining: u32,
        /// The time since the job was accepted.
        after: u64,
        /// Why the job was delayed so far.
        delay: JobDelay,
    },
    /// A worker was added, changed or removed.
    WorkerChanged {
        /// The id of the worker.
        worker: String,
        /// What changed.
        change: &'static str,
        /// The number of tasks that the worker may be running.
        tasks: usize,
        /// The number of ends that the worker reported and that are not stored yet.
        unstored: usize,
        /// The labels of the worker, separated by spaces.
        labels: String,
    },
    /// There is a sign that a worker has restarted under its id; its next report tells.
    RestartSuspected {
        /// The id of the worker.
        worker: String,
        /// The incarnation that is known.
        incarnation: u64,
        /// What the sign is.
        evidence: &'static str,
        /// The number of tasks that the next incarnation may run.
        open: usize,
        /// The time until the last lease of these tasks ends, if the worker has restarted.
        leases_left: u64,
    },
    /// A worker that was suspected to have restarted has reported under the known incarnation.
    RestartDisproved {
        /// The id of the worker.
        worker: String,
        /// The incarnation.
        incarnation: u64,
        /// The time since the first sign.
        after: u64,
    },
    /// A worker has restarted under its id.
    WorkerRestarted {
        /// The id of the worker.
        worker: String,
        /// The incarnation that was known before.
        former: u64,
        /// The new incarnation; the former one if the worker names none.
        incarnation: u64,
        /// What shows the restart.
        evidence: &'static str,
        /// The number of runs that the new incarnation has begun.
        listed: usize,
        /// The number of runs that it may still begin by open copies of start orders.
        open: usize,
        /// The time until the last lease ends that orders to the former incarnation may give.
        leases_left: u64,
    },
    /// A new owner read what the former one stored about a worker that is not simply open, or
    /// whose registered incarnation is another one.
    FormerWorker {
        /// The id of the worker.
        worker: String,
        /// The incarnation that the former owner knew.
        #[serde(skip_serializing_if = "Option::is_none")]
        known: Option<u64>,
        /// The incarnation that the registry shows; 0 if it shows none.
        registered: u64,
        /// The number of tasks that the worker may be running; absent if any task may run there.
        #[serde(skip_serializing_if = "Option::is_none")]
        tasks: Option<usize>,
        /// The time for which tasks wait for the worker; absent if they wait until the recovery
        /// deadline.
        #[serde(skip_serializing_if = "Option::is_none")]
        leases_left: Option<u64>,
    },
    /// The first pass after a request to evacuate a zone: its workers get no new runs.
    ZoneEvacuated {
        /// The name of the zone.
        zone: String,
        /// The store revision of the request.
        revision: u64,
        /// The number of tasks that its workers may be running.
        tasks: usize,
        /// The time since this host read the request.
        after: u64,
    },
    /// Nothing runs any more in a zone that is to be evacuated.
    ZoneEmpty {
        /// The name of the zone.
        zone: String,
        /// The store revision of the request.
        revision: u64,
        /// The time since this host read the request.
        after: u64,
    },
    /// The request to evacuate a zone was withdrawn: its workers get new runs again.
    ZoneRestored {
        /// The name of the zone.
        zone: String,
        /// The store revision of the request.
        revision: u64,
        /// The number of tasks that its workers may be running.
        tasks: usize,
    },
    /// A worker is known to have crashed.
    WorkerCrashed {
        /// The id of the worker.
        worker: String,
        /// What shows that it has crashed.
        evidence: &'static str,
        /// The runs that may have caused the crash.
        suspects: Vec<CrashedRun>,
        /// The number of other runs that ended with the worker.
        others: usize,
    },
    /// A task is given up, as workers crash under it; its job fails.
    TaskGivenUp {
        /// The name of the task.
        task: String,
        /// The number of the last run.
        run: u64,
        /// The id of the last worker that crashed.
        worker: String,
        /// The recorded crashes, the oldest first.
        crashes: Vec<SuspectedCrash>,
    },
    /// The speed of best-effort tasks on a worker was changed, or some were
    /// stopped there.
    #[serde(rename = "paced")]
    Throttled {
        /// The id of the worker.
        worker: String,
        /// The worst tail of a serving task, in percent of its target.
        #[serde(rename = "strain")]
        worst_tail: u32,
    },
    /// The evidence of interference that another shard's owner stored was read.
    EvidenceMerged {
        /// The name of the other shard.
        from: String,
        /// The number of pairs of images in the record.
        pairs: usize,
        /// The number of pairs for which this owner's evidence changed.
        changed: usize,
    },
    /// The evidence of interference that an owner stored has a field with an impossible
    /// value; nothing of it is used.
    EvidenceRefused {
        /// The name of the shard whose owner stored it.
        from: String,
        /// The name of the field.
        field: &'static str,
        /// The value of the field; for texts and lists its length.
        value: String,
    },
    /// Recovery ended: tasks that no worker was found to run may start again.
    #[serde(rename = "settled")]
    RecoveryFinished {
        /// The number of tasks that may start again.
        tasks: usize,
        /// The number of tasks that may still run on workers that the former
        /// owner closed; these wait until its leases have ended.
        kept: usize,
        /// True if all workers of the former owner answered, false if only the
        /// end of its leases ended the recovery.
        answered: bool,
        /// The ids of up to five workers that did not answer.
        silent: Vec<String>,
    },
}

impl Event {
    /// The event for a change of an evacuated zone.
    pub(super) fn of_zone(change: ZoneChange, now: Moment) -> Self {
        match change {
            ZoneChange::Evacuated {
                zone,
                request,
                runs,
            } => Self::ZoneEvacuated {
                zone,
                revision: request.revision,
                tasks: runs,
                after: (now - request.read).as_millis() as u64,
            },
            ZoneChange::Empty { zone, request } => Self::ZoneEmpty {
                zone,
                revision: request.revision,
                after: (now - request.read).as_millis() as u64,
            },
            ZoneChange::Restored {
                zone,
                request,
                runs,
            } => Self::ZoneRestored {
                zone,
                revision: request.revision,
                tasks: runs,
            },
        }
    }
}
