//! The state of one worker, as the shard's owner knows it.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::Duration;

use slotmap::new_key_type;

use super::{
    Availability, Capacity, Clock, Fences, Leases, MAX_LATENESS, PriorityUse, Registration,
    Suspicion, WorkerReport,
};
use crate::interference::ImageKey;
use crate::moment::Moment;
use crate::workflow::{TaskKey, TaskName, WorkflowKey};

new_key_type! {
    /// The key of a worker in the scheduler's arena.
    pub struct WorkerKey;
}

/// The processors that long-running tasks use on average, as a share of what they
/// declare.
const LONG_RUNNING_USAGE_SHARE: f64 = 0.46;
/// How long a tail over its target counts as recent.
const OVER_TARGET_DELAY: Duration = Duration::from_secs(3);
/// A worker whose last answer is at least this old gets no new tasks.
const MAX_REPORT_AGE: Duration = Duration::from_millis(2500);
/// The number of consecutive failures of different jobs that quarantine a worker.
const QUARANTINE_FAILURES: usize = 3;
/// The length of the first quarantine; each further one is twice as long.
const FIRST_QUARANTINE: Duration = Duration::from_secs(2);
/// The limit on the length of a quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(30);

/// The recent failures on a worker, and the quarantine that they caused.
#[derive(Debug, Clone, Default)]
pub struct FailureHistory {
    failed_workflows: HashSet<WorkflowKey>,
    quarantined_until: Option<Moment>,
    quarantines: u32,
}

impl FailureHistory {
    /// Records that a task completed; this ends a quarantine.
    pub fn record_success(&mut self) {
        self.failed_workflows.clear();
        self.quarantined_until = None;
        self.quarantines = 0;
    }

    /// Records that a task of a job failed. Returns whether a quarantine begins.
    pub fn record_failure(&mut self, workflow: WorkflowKey, now: Moment) -> bool {
        self.failed_workflows.insert(workflow);
        if self.failed_workflows.len() < QUARANTINE_FAILURES {
            return false;
        }
        self.failed_workflows.clear();
        let span = FIRST_QUARANTINE * 2_u32.saturating_pow(self.quarantines.min(10));
        self.quarantines += 1;
        self.quarantined_until = Some(now + span.min(MAX_QUARANTINE));
        true
    }

    /// Whether the worker is in quarantine and gets no new tasks.
    pub fn is_quarantined(&self, now: Moment) -> bool {
        self.quarantined_until.is_some_and(|until| now < until)
    }
}

/// A run on a worker that is not, or no longer, the current run of its task.
#[derive(Debug, Clone, Copy)]
pub struct UnknownRun {
    /// When the run was last ordered to stop.
    pub stopped: Moment,
    /// The end of the lease in the run's start order, in milliseconds of the worker's
    /// clock, if a copy of the order may still begin the run.
    pub lease_end: Option<u64>,
    /// When the worker confirmed an order to stop the run; absent until then.
    pub confirmed: Option<Moment>,
}

impl UnknownRun {
    /// Creates the state of a run that is ordered to stop at `now`.
    pub const fn new(lease_end: Option<u64>, now: Moment) -> Self {
        Self {
            stopped: now,
            lease_end,
            confirmed: None,
        }
    }

    /// Whether the run may exist, or begin later, although a report does not list it.
    /// The worker answered a poll sent at `sent` with it when its clock was at `clock`
    /// milliseconds.
    ///
    /// ```
    /// use lycheelock::fleet::UnknownRun;
    /// use lycheelock::moment::Moment;
    ///
    /// let at = |second: u64| Moment::from_micros(second * 1_000_000);
    /// let mut run = UnknownRun::new(Some(9_000), at(1));
    /// assert!(run.may_exist(at(2), 9_000));
    /// assert!(!run.may_exist(at(2), 9_001));
    /// run.confirmed = Some(at(3));
    /// assert!(run.may_exist(at(2), 8_000));
    /// assert!(!run.may_exist(at(4), 8_000));
    /// ```
    pub fn may_exist(&self, sent: Moment, clock: u64) -> bool {
        if sent < self.stopped {
            return true;
        }
        let lease_ended = self.lease_end.is_none_or(|end| end < clock);
        let refused = self.confirmed.is_some_and(|confirmed| confirmed < sent);
        !lease_ended && !refused
    }
}

/// The state of one worker.
#[derive(Debug, Clone)]
pub struct Worker {
    /// The worker's registration, as last known to this owner.
    pub registration: Registration,
    /// Whether the registry still lists the worker.
    pub listed: bool,
    /// The incarnation that the registry showed last, to which the capacity and the labels belong;
    /// 0 if the registry named none.
    pub registered: u64,
    /// Whether the worker is in a zone that is to be evacuated.
    pub evacuated: bool,
    /// Whether the stored roster says that this owner may start tasks on the worker.
    pub in_roster: bool,
    /// The first version of the roster that tells of the worker's last restart; 0 before one.
    pub roster_version: u64,
    /// Whether the worker answered recently; the roster marks one that did not as closed.
    pub responsive: bool,
    /// Whether the last poll failed, so that the worker may have restarted since.
    pub poll_failed: bool,
    /// The fencing tokens of the orders to the worker.
    pub fences: Fences,
    /// A sign that the worker has restarted, until it reports; absent without one.
    pub suspicion: Option<Suspicion>,
    /// Whether an incarnation of the worker has answered this owner.
    pub was_heard: bool,
    /// The incarnation before the present one, whose reports may arrive late; 0 if none is known.
    pub ended_incarnation: u64,
    /// The incarnation that the former owner knew, until the worker's first report.
    pub former_incarnation: Option<u64>,
    /// Whether the worker is known to have ended: another one answers at its address.
    pub replaced: bool,
    /// Whether the worker has answered this owner, so that it refuses former owners.
    pub synced: bool,
    /// Whether the worker has listed to this owner all that ran on it before. Only then does
    /// this owner know which tasks it may run; `synced` alone says that it takes no orders of
    /// former owners.
    pub caught_up: bool,
    /// The resources that the worker's tasks declare. The processor time of
    /// best-effort tasks is not included; their memory and accelerators are.
    pub used: Capacity,
    /// The processors that long-running tasks declare, in millicores.
    pub long_running_cpu: u32,
    /// The processors that tasks declare which are neither long-running nor best-effort.
    pub short_use: PriorityUse,
    /// The processors that best-effort tasks ask for, in millicores.
    pub best_effort_cpu: u32,
    /// The tasks that the worker may be running.
    pub tasks: BTreeMap<TaskName, TaskKey>,
    /// Runs that are not the current ones of their tasks, and that must end before the
    /// worker gets new tasks, as what they use is not in `used`.
    pub unknown_runs: HashMap<(TaskName, u64), UnknownRun>,
    /// When the last copy of each start order was sent of which a copy got no answer. The next
    /// incarnation may carry it out, whatever became of the run on this one.
    pub open_copies: HashMap<(TaskName, u64), Moment>,
    /// The last reading of the worker's clock; absent until the first answer.
    pub clock: Option<Clock>,
    /// By when the leases on the worker have ended.
    pub leases: Leases,
    /// When the worker last answered.
    pub last_contact: Moment,
    /// The number of the last ended run that was processed.
    pub last_end: u64,
    /// The number of the last ended run that the worker may forget.
    pub acknowledged: u64,
    /// The numbers of the processed ended runs that the worker may not forget yet, each
    /// with the number of the store write that covers it.
    pub pending_ends: VecDeque<(u64, u64)>,
    /// The recent failures on the worker.
    pub failures: FailureHistory,
    /// Until when new tasks avoid the worker because its runs make no progress or are
    /// slow; absent if they never did.
    pub avoided_until: Option<Moment>,
    /// Until when the worker is cold: slow, as it has started recently.
    pub cold_until: Moment,
    /// The worst tail in the last report, in percent of its target.
    pub worst_tail: u32,
    /// When the tails in a report of the worker were last evaluated.
    pub evaluated_at: Moment,
    /// When the last report without a tail over its target arrived.
    pub on_target_at: Moment,
    /// When the last report with a tail over its target arrived; absent if none did.
    pub over_target_at: Option<Moment>,
    /// When the speed of a best-effort task on the worker was last changed.
    pub throttled_at: Moment,
    /// The number of the worker's tasks of each serving image.
    pub serving_images: BTreeMap<ImageKey, u32>,
    /// The number of the worker's best-effort tasks of each image.
    pub best_effort_images: BTreeMap<ImageKey, u32>,
}

impl Worker {
    /// Creates the state of a worker that has just appeared in the registry.
    pub fn new(registration: Registration, now: Moment) -> Self {
        Self {
            registered: registration.incarnation,
            cold_until: now + registration.cold_left,
            registration,
            listed: true,
            evacuated: false,
            in_roster: false,
            roster_version: 0,
            responsive: true,
            poll_failed: false,
            fences: Fences::default(),
            suspicion: None,
            was_heard: false,
            ended_incarnation: 0,
            former_incarnation: None,
            replaced: false,
            synced: false,
            caught_up: false,
            used: Capacity::default(),
            long_running_cpu: 0,
            short_use: PriorityUse::default(),
            best_effort_cpu: 0,
            tasks: BTreeMap::new(),
            unknown_runs: HashMap::new(),
            open_copies: HashMap::new(),
            clock: None,
            leases: Leases::new(now),
            last_contact: Moment::default(),
            last_end: 0,
            acknowledged: 0,
            pending_ends: VecDeque::new(),
            failures: FailureHistory::default(),
            avoided_until: None,
            worst_tail: 0,
            evaluated_at: Moment::default(),
            on_target_at: now,
            over_target_at: None,
            throttled_at: Moment::default(),
            serving_images: BTreeMap::new(),
            best_effort_images: BTreeMap::new(),
        }
    }

    /// Records that a copy of a start order, sent at `sent`, got no answer.
    pub fn on_unanswered_copy(&mut self, run: (TaskName, u64), sent: Moment) {
        self.leases.on_unanswered(sent);
        self.open_copies
            .retain(|_, last| sent < *last + MAX_LATENESS);
        self.open_copies.insert(run, sent);
    }

    /// Forgets everything that belonged to a former incarnation.
    pub fn reset(&mut self, now: Moment) {
        *self = Self {
            listed: self.listed,
            evacuated: self.evacuated,
            registered: self.registered,
            in_roster: self.in_roster,
            was_heard: self.was_heard,
            ended_incarnation: self.ended_incarnation,
            former_incarnation: self.former_incarnation,
            open_copies: std::mem::take(&mut self.open_copies),
            fences: self.fences,
            // The registry tells about the new incarnation.
            cold_until: self.cold_until,
            ..Self::new(self.registration.clone(), now)
        };
    }

    /// Whether the worker may get new tasks and is not in quarantine.
    pub fn is_open(&self, now: Moment) -> bool {
        self.accepts_tasks(now) && !self.failures.is_quarantined(now)
    }

    /// Whether the worker may get new tasks, in quarantine or not.
    pub fn accepts_tasks(&self, now: Moment) -> bool {
        !self.evacuated && self.is_usable(now)
    }

    /// Whether the worker could get new tasks if its zone were not to be evacuated.
    pub fn is_usable(&self, now: Moment) -> bool {
        self.listed
            && self.has_current_registration()
            && self.in_roster
            && self.synced
            && !self.replaced
            && !self.poll_failed
            && self.suspicion.is_none()
            && self.unknown_runs.is_empty()
            && self.registration.availability == Availability::Ready
            && now - self.last_contact < MAX_REPORT_AGE
            && self.avoided_until.is_none_or(|until| until <= now)
    }

    /// Whether the worker is about to leave, or its zone is to be evacuated: it gets no new
    /// runs, and its starts that are not settled are withdrawn.
    pub fn is_leaving(&self) -> bool {
        self.evacuated || self.registration.availability == Availability::Draining
    }

    /// Whether the present incarnation may begin, or have begun, runs by orders to a former one that
    /// this owner does not know of.
    pub const fn is_doubtful(&self) -> bool {
        self.suspicion.is_some() || self.fences.is_open()
    }

    /// Whether a report is one of the former incarnation that has arrived late.
    pub(crate) const fn is_outdated(&self, report: &WorkerReport) -> bool {
        report.incarnation > 0 && report.incarnation == self.ended_incarnation
    }

    /// Whether the known capacity and labels are those of the present incarnation. A worker may
    /// come back under its id as another kind.
    const fn has_current_registration(&self) -> bool {
        self.registered == 0 || self.registered >= self.registration.incarnation
    }

    /// Whether the worker is slow because it has started recently.
    pub fn is_cold(&self, now: Moment) -> bool {
        now < self.cold_until
    }

    /// Applies a registry entry's value for how much longer the worker is cold. `restarted` says
    /// whether the entry belongs to a newer incarnation than the one before. An entry may be
    /// seconds old, so a value that is not higher than the last one never moves the end later.
    pub(crate) fn update_cold(&mut self, left: Duration, restarted: bool, now: Moment) {
        let until = now + left;
        let begins = restarted || left > self.registration.cold_left;
        self.cold_until = if begins {
            until
        } else {
            self.cold_until.min(until)
        };
    }

    /// By when all runs on the worker have ended, if it gets no further orders. No order to former
    /// incarnations reaches a worker at whose address another one answers.
    pub fn runs_end(&self) -> Moment {
        let suspected = self.suspicion.as_ref();
        let open = suspected.map_or(Moment::default(), |suspicion| suspicion.leases_end);
        match self.replaced {
            true => self.leases.given(),
            false => self.leases.end().max(open),
        }
    }

    /// By when the runs of a task on the worker have ended, if it gets no further orders. The doubt
    /// whether the worker has restarted concerns only the tasks that the next incarnation may run.
    pub fn run_end(&self, task: TaskName) -> Moment {
        match &self.suspicion {
            Some(suspicion) if !self.replaced && !suspicion.open.contains(&task) => {
                self.leases.end()
            }
            _ => self.runs_end(),
        }
    }

    /// By when the leases have ended that orders to a former incarnation may have given to the
    /// next one; the start of time if there are none.
    pub fn overlong_leases_end(&self) -> Moment {
        let suspected = self.suspicion.as_ref();
        let open = suspected.map_or(Moment::default(), |suspicion| suspicion.leases_end);
        self.leases.overlong().max(open)
    }

    /// Returns the tasks of which the worker may have a run, now or later.
    pub(crate) fn possible_tasks(&self) -> BTreeSet<TaskName> {
        let unknown = self.unknown_runs.keys().map(|(task, _)| *task);
        self.tasks.keys().copied().chain(unknown).collect()
    }

    /// Returns the free capacity for tasks that are not best-effort.
    pub fn free(&self) -> Capacity {
        self.registration.capacity.minus(self.used)
    }

    /// Returns the processors that the worker's long-running tasks use on average, in
    /// millicores.
    pub fn long_running_usage(&self) -> u32 {
        (f64::from(self.long_running_cpu) * LONG_RUNNING_USAGE_SHARE) as u32
    }

    /// Returns the processors that are idle, in millicores: those that a further best-effort
    /// task could use. Negative if the tasks ask for more than the worker has.
    pub fn idle(&self) -> i64 {
        let declared = i64::from(self.used.millicores) - i64::from(self.long_running_cpu);
        let busy = declared + i64::from(self.long_running_usage());
        i64::from(self.registration.capacity.millicores) - busy - i64::from(self.best_effort_cpu)
    }

    /// Whether a tail on the worker was over its target recently.
    pub fn was_over_target(&self, now: Moment) -> bool {
        self.over_target_at
            .is_some_and(|at| now - at < OVER_TARGET_DELAY)
    }

    /// Returns the number of reported ends that no store write up to `written` covers.
    pub fn unstored_ends(&self, written: u64) -> usize {
        let ends = self.pending_ends.iter();
        ends.filter(|(_, write)| *write > written).count()
    }

    /// Lets the worker forget the ended runs that store writes up to `written` cover.
    pub fn acknowledge(&mut self, written: u64) {
        while let Some((number, write)) = self.pending_ends.front().copied() {
            if write > written {
                break;
            }
            self.acknowledged = number;
            self.pending_ends.pop_front();
        }
    }
}
