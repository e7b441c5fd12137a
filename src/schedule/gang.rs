//! Tasks that work only together.

use super::Scheduler;
use crate::moment::Moment;
use crate::workflow::{Stage, TaskKey};

impl Scheduler {
    /// All tasks of the step and repetition of a task.
    pub(super) fn members(&self, task: TaskKey) -> Vec<TaskKey> {
        let task = &self.ledger.tasks[task];
        let flow = &self.ledger.flows[task.flow];
        let occurrence = &flow.occurrences[task.name.occurrence as usize];
        occurrence.tasks[task.name.step as usize].clone()
    }

    /// Whether the task's step is a gang.
    pub(super) fn is_gang(&self, task: TaskKey) -> bool {
        let task = &self.ledger.tasks[task];
        self.ledger.flows[task.flow].step(task.name).gang
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
        let mut placed = Vec::new();
        for member in &members {
            let Some(worker) = self.choose_for(*member, now) else {
                self.take_back(&placed, now);
                return false;
            };
            self.ledger.tasks[*member]
                .checkpoint
                .clone_from(&checkpoint);
            self.assign(*member, worker, run, now);
            placed.push(*member);
        }
        for member in placed {
            self.send_start(member, now);
        }
        true
    }

    fn take_back(&mut self, placed: &[TaskKey], now: Moment) {
        for task in placed {
            self.unassign(*task);
            self.ledger.enter(*task, Stage::Waiting, now);
        }
    }
}
