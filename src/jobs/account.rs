//! What ran, what did not, and why.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Wall;
use super::change::Outcome;
use super::ledger::{Job, Ledger};
use super::task::TaskStage;
use crate::configuration::Configuration;
use crate::ids::JobId;
use crate::moment::Moment;
use crate::placement::Placement;

/// One job as operators and submitters see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobView {
    /// Its id.
    pub id: String,
    /// The team.
    pub team: String,
    /// The class.
    pub class: String,
    /// How many tasks it has.
    pub tasks: u32,
    /// Tasks that wait.
    pub waiting: u32,
    /// Tasks on a worker.
    pub running: u32,
    /// Tasks that ended, by outcome.
    pub ended: BTreeMap<String, u32>,
    /// Its deadline, in milliseconds since the Unix epoch.
    pub deadline: Wall,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Whether it has missed its deadline, or is expected to.
    pub late: bool,
    /// Why tasks wait; empty if none does.
    pub reason: String,
    /// The jobs that took tasks of this one, because no worker of its shard holds them.
    pub moved_to: Vec<String>,
}

impl JobView {
    /// Whether every task has ended.
    pub const fn is_ended(&self) -> bool {
        self.waiting == 0 && self.running == 0
    }

    /// How many tasks ended this way.
    pub fn count(&self, outcome: Outcome) -> u32 {
        self.ended.get(outcome.name()).copied().unwrap_or(0)
    }
}

/// The sums of one team.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TeamAccount {
    /// Jobs.
    pub jobs: u32,
    /// Tasks.
    pub tasks: u32,
    /// Tasks that wait.
    pub waiting: u32,
    /// Tasks on a worker.
    pub running: u32,
    /// Tasks that ended, by outcome.
    pub ended: BTreeMap<String, u32>,
    /// Jobs that missed their deadline or are expected to.
    pub late: u32,
}

/// The account of all teams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// The sums by team.
    pub teams: BTreeMap<String, TeamAccount>,
    /// Jobs with tasks that did not finish, or that are late.
    pub jobs: Vec<JobView>,
}

impl Account {
    /// Adds a job.
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

    /// Adds another account.
    pub fn merge(&mut self, other: Self) {
        for (name, sums) in other.teams {
            let team = self.teams.entry(name).or_default();
            team.jobs += sums.jobs;
            team.tasks += sums.tasks;
            team.waiting += sums.waiting;
            team.running += sums.running;
            team.late += sums.late;
            for (outcome, count) in sums.ended {
                *team.ended.entry(outcome).or_default() += count;
            }
        }
        self.jobs.extend(other.jobs);
    }
}

impl Ledger {
    /// One job.
    pub fn job(
        &self,
        id: JobId,
        placement: &Placement,
        configuration: &Configuration,
        now: Moment,
        wall: Wall,
    ) -> Option<JobView> {
        let key = self.index.get(&id)?;
        Some(self.view(&self.jobs[*key], placement, configuration, now, wall))
    }

    /// The account of this shard.
    pub fn account(
        &self,
        placement: &Placement,
        configuration: &Configuration,
        now: Moment,
        wall: Wall,
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
        wall: Wall,
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
                TaskStage::Intending { .. }
                | TaskStage::Placed { .. }
                | TaskStage::Ending { .. } => view.running += 1,
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

    /// Whether the work due before this job's deadline cannot be done by then.
    fn is_late(&self, job: &Job, placement: &Placement, now: Moment, wall: Wall) -> bool {
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
        if !self.is_settled(now) {
            "the shard's workers are being asked what they run"
        } else if !placement.could_hold(self.shard, record.size) {
            "no worker of the shard holds a task of this size"
        } else if running >= quota {
            "the team's quota of running tasks is used up"
        } else if placement.batch_cores(self.shard, now) == 0 {
            "no worker of the shard is usable"
        } else {
            "every worker with enough room is busy"
        }
    }
}
