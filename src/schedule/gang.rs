//! Tasks that work only together.

use std::collections::BTreeSet;
use std::time::Duration;

use super::Scheduler;
use super::place::Among;
use crate::moment::Moment;
use crate::workflow::{Stage, TaskKey};

/// How long a gang waits at the most for room on a single rack.
const RACK_PATIENCE: Duration = Duration::from_millis(1500);

impl Scheduler {
    /// All tasks of the step and repetition of a task.
    pub(super) fn members(&self, task: TaskKey) -> Vec<TaskKey> {
        let task = &self.ledger.tasks[task];
        let flow = &self.ledger.workflows[task.workflow];
        let occurrence = &flow.occurrences[task.name.occurrence as usize];
        occurrence.tasks[task.name.step as usize].clone()
    }

    /// Whether the task's step is a gang.
    pub(super) fn is_gang(&self, task: TaskKey) -> bool {
        let task = &self.ledger.tasks[task];
        self.ledger.workflows[task.workflow].step(task.name).gang
    }

    /// Places all members at once, under one run number, or none of them.
    pub(super) fn place_gang(&mut self, task: TaskKey, now: Moment) -> bool {
        let members = self.members(task);
        let waiting = |task: &TaskKey| self.ledger.tasks[*task].stage == Stage::Waiting;
        if !members.iter().all(waiting) {
            return false;
        }
        let checkpoint = members
            .iter()
            .map(|task| self.ledger.tasks[*task].checkpoint.clone())
            .max()
            .unwrap_or_default();
        let run = self.next_run();
        let choices = self.choices(task, now);
        let placed = choices
            .iter()
            .any(|among| self.assign_all(&members, run, among, now));
        if !placed {
            return false;
        }
        for member in members {
            self.ledger.tasks[member].checkpoint.clone_from(&checkpoint);
            self.send_start(member, now);
        }
        true
    }

    /// Where a gang is tried, the best first. One that wants a single rack waits
    /// a while for it, as it would be slower on several.
    fn choices(&self, task: TaskKey, now: Moment) -> Vec<Among> {
        let step = self.step_of(task);
        if !step.same_rack {
            return vec![Among::All];
        }
        let waited = now - self.ledger.tasks[task].ready;
        let racks: BTreeSet<Among> = self
            .workers
            .values()
            .map(|worker| Among::Rack(worker.entry.rack().to_owned()))
            .collect();
        let anywhere = (waited >= step.estimate.min(RACK_PATIENCE)).then_some(Among::All);
        racks.into_iter().chain(anywhere).collect()
    }

    /// Gives every member a worker, or none of them.
    fn assign_all(&mut self, members: &[TaskKey], run: u64, among: &Among, now: Moment) -> bool {
        let mut placed = Vec::new();
        for member in members {
            let task = &self.ledger.tasks[*member];
            let flow = &self.ledger.workflows[task.workflow];
            let Some(worker) = self.choose(flow, task, among, now) else {
                self.take_back(&placed, now);
                return false;
            };
            self.assign(*member, worker, run, now);
            placed.push(*member);
        }
        true
    }

    fn take_back(&mut self, placed: &[TaskKey], now: Moment) {
        for task in placed {
            self.unassign(*task);
            self.ledger.set_stage(*task, Stage::Waiting, now);
        }
    }
}
