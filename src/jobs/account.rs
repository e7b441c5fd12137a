//! Reports on jobs for operators and submitters: outcomes, lateness and why
//! tasks wait.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::WallClock;
use super::change::Outcome;
use super::ledger::{Job, Ledger};
use super::task::TaskStage;
use crate::configuration::Configuration;
use crate::drain::ZoneState;
use crate::ids::JobId;
use crate::moment::Moment;
use crate::placement::Placement;

/// One job as operators and submitters see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// The job id in its text form.
    pub id: String,
    /// The name of the team that submitted it.
    pub team: String,
    /// The name of its job class.
    pub class: String,
    /// The number of tasks in the job, whatever their state.
    pub tasks: u32,
    /// The number of tasks that wait to be started.
    pub waiting: u32,
    /// The number of tasks on a worker.
    pub running: u32,
    /// The number of ended tasks by the name of their outcome.
    pub ended: BTreeMap<String, u32>,
    /// The time by which its tasks should have finished.
    pub deadline: WallClock,
    /// Whether the submitter has cancelled it.
    pub cancelled: bool,
    /// Whether it has missed its deadline, or is expected to.
    pub late: bool,
    /// Why tasks wait; empty if no task waits.
    pub reason: String,
    /// The ids of jobs in other shards that received tasks of this one, because no worker of its
    /// shard is large enough for them.
    pub moved_to: Vec<String>,
}

impl JobView {
    /// Whether every task has ended.
    pub const fn is_ended(&self) -> bool {
        self.waiting == 0 && self.running == 0
    }

    /// The number of tasks that ended with this outcome.
    pub fn count(&self, outcome: Outcome) -> u32 {
        self.ended.get(outcome.name()).copied().unwrap_or(0)
    }
}

/// The totals over all jobs of one team.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamAccount {
    /// The number of jobs in the ledger.
    pub jobs: u32,
    /// The number of tasks of these jobs.
    pub tasks: u32,
    /// The number of tasks that wait to be started.
    pub waiting: u32,
    /// The number of tasks on a worker.
    pub running: u32,
    /// The number of ended tasks by the name of their outcome.
    pub ended: BTreeMap<String, u32>,
    /// The number of jobs that have missed their deadline or are expected to.
    pub late: u32,
}

/// The totals of all teams, and the jobs that need attention.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The totals by team name.
    pub teams: BTreeMap<String, TeamAccount>,
    /// Jobs that are late or that have tasks without the outcome "finished".
    pub jobs: Vec<JobView>,
}

impl Account {
    /// Adds a job to the totals of its team, and to the list if it needs attention.
    ///
    /// ```
    /// use lycheelock::jobs::Account;
    ///
    /// assert!(Account::default().teams.is_empty());
    /// ```
    pub fn add(&mut self, job: JobView) {
        let team = self.teams.entry(job.team.clone()).or_default();
        team.jobs += 1;
        team.tasks += job.tasks;
        team.waiting += job.waiting;
        team.running += job.running;
        team.late += u32::from(job.late);
        for (outcome, count) in &job.ended {
            *team.ended.entry(outcome.clone()).or_default() += count;
        }
        let finished = job.count(Outcome::Finished) == job.tasks;
        if !finished || job.late {
            self.jobs.push(job);
        }
    }

    /// Adds the totals and jobs of another shard or host.
    pub fn merge(&mut self, other: Self) {
        for (name, totals) in other.teams {
            let team = self.teams.entry(name).or_default();
            team.jobs += totals.jobs;
            team.tasks += totals.tasks;
            team.waiting += totals.waiting;
            team.running += totals.running;
            team.late += totals.late;
            for (outcome, count) in totals.ended {
                *team.ended.entry(outcome).or_default() += count;
            }
        }
        self.jobs.extend(other.jobs);
    }
}

impl Ledger {
    /// The view of one job; none if the ledger does not know it.
    pub fn job(
        &self,
        id: JobId,
        placement: &Placement,
        configuration: &Configuration,
        now: Moment,
        wall: WallClock,
    ) -> Option<JobView> {
        let key = self.index.get(&id)?;
        Some(self.view(&self.jobs[*key], placement, configuration, now, wall))
    }

    /// The account of this shard's jobs.
    pub fn account(
        &self,
        placement: &Placement,
        configuration: &Configuration,
        now: Moment,
        wall: WallClock,
    ) -> Account {
        let mut account = Account::default();
        for job in self.jobs.values() {
            account.add(self.view(job, placement, configuration, now, wall));
        }
        account
    }

    fn view(
        &self,
        job: &Job,
        placement: &Placement,
        configuration: &Configuration,
        now: Moment,
        wall: WallClock,
    ) -> JobView {
        let record = &job.record;
        let mut view = JobView {
            id: record.id.to_string(),
            team: record.team.clone(),
            class: record.class.clone(),
            tasks: record.tasks,
            waiting: 0,
            running: 0,
            ended: BTreeMap::new(),
            deadline: record.deadline,
            cancelled: job.cancelled,
            late: false,
            reason: String::new(),
            moved_to: job.moves.iter().map(|each| each.to.to_string()).collect(),
        };
        for key in &job.tasks {
            match self.tasks[*key].stage {
                TaskStage::Waiting | TaskStage::Delayed { .. } => view.waiting += 1,
                TaskStage::IntentPending { .. }
                | TaskStage::Placed { .. }
                | TaskStage::EndPending { .. } => view.running += 1,
                TaskStage::Ended { .. } => {}
            }
        }
        for (outcome, count) in &job.ended {
            view.ended.insert(outcome.name().to_owned(), *count);
        }
        if !view.is_ended() {
            view.late = self.is_late(job, placement, now, wall);
        }
        if view.waiting > 0 {
            view.reason = self.reason(job, placement, configuration, now).to_owned();
        }
        view
    }

    /// Whether the shard's workers cannot finish the work due by this job's deadline in time.
    fn is_late(&self, job: &Job, placement: &Placement, now: Moment, wall: WallClock) -> bool {
        let record = &job.record;
        let left = record.deadline.0.saturating_sub(wall.0);
        let cores = placement.batch_cores(self.shard, now).max(1);
        let estimate = placement
            .estimates
            .duration(&record.team, &record.class, record.duration);
        let wait = self.backlog(record.deadline) / cores;
        wait.max(estimate.min(record.duration)) > left
    }

    fn reason(
        &self,
        job: &Job,
        placement: &Placement,
        configuration: &Configuration,
        now: Moment,
    ) -> &'static str {
        let record = &job.record;
        let quota = configuration
            .team(&record.team)
            .map_or(0, |team| team.tasks);
        let running = self.running.get(&record.team).copied().unwrap_or(0);
        if !self.is_recovered(now) {
            "not every worker of the shard has reported its tasks since the takeover"
        } else if placement.zone == ZoneState::Evacuated {
            "the availability zone is evacuated"
        } else if !placement.could_hold(self.shard, record.size) {
            "no worker of the shard is large enough for a task of this size"
        } else if running >= quota {
            "the team's quota of running tasks is used up"
        } else if placement.batch_cores(self.shard, now) == 0 {
            "no worker of the shard is usable"
        } else {
            "every worker that is large enough is busy"
        }
    }
}
