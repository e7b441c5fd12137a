//! Recovery after a takeover: when tasks that a former owner may have started start again.

use std::collections::HashSet;

use super::{Event, Scheduler};
use crate::fleet::WorkerKey;
use crate::moment::Moment;
use crate::workflow::{Stage, Task, TaskKey, TaskName};

/// The largest number of unanswering workers that one log line names.
const MAX_NAMED_WORKERS: usize = 5;

impl Scheduler {
    /// Lets tasks that a former owner may have started start again, once no run
    /// of them can exist any more.
    pub(super) fn finish_recovery(&mut self, now: Moment) {
        if !self.tasks_recovering {
            return;
        }
        let answered = self.former_workers.is_empty() && self.has_roster();
        let deadline = self.term.recovery_deadline;
        let expired = self.has_roster() && deadline.is_some_and(|at| self.confirmed >= at);
        if self.recovering && !answered && !expired {
            return;
        }
        let silent = self.former_workers.iter().take(MAX_NAMED_WORKERS);
        let silent = silent.map(|key| self.worker_name(*key)).collect();
        if expired {
            self.closed_workers.clear();
            self.remove_former();
        }
        self.recovering = false;
        self.tasks_recovering = !self.closed_workers.is_empty();
        let kept: HashSet<TaskName> = self.closed_workers.values().flatten().copied().collect();
        let may_restart =
            |task: &Task| task.stage == Stage::Recovering && !kept.contains(&task.name);
        let recovering = self
            .ledger
            .tasks
            .iter()
            .filter(|(_, task)| may_restart(task));
        let keys: Vec<TaskKey> = recovering.map(|(key, _)| key).collect();
        if keys.is_empty() && self.tasks_recovering {
            return;
        }
        self.record(Event::RecoveryFinished {
            tasks: keys.len(),
            kept: kept.len(),
            answered,
            silent,
        });
        let mut workflows = HashSet::new();
        for key in keys {
            workflows.insert(self.ledger.tasks[key].workflow);
            self.ledger.tasks[key].restart_gate = now;
            self.ledger.requeue(key, now);
        }
        for workflow in workflows {
            self.enqueue(workflow, now);
        }
    }

    /// Whether no former owner gives orders any more that a worker carries out.
    pub const fn has_recovered(&self) -> bool {
        self.former_ended || !self.tasks_recovering
    }

    /// Records that the former owner, and those before it, are known to have ended.
    pub const fn on_former_ended(&mut self) {
        self.former_ended = true;
    }

    /// Brings the recovery deadline forward when all leases that former owners gave are known
    /// to end by `deadline`.
    pub fn shorten_recovery(&mut self, deadline: Moment) {
        if let Some(known) = &mut self.term.recovery_deadline {
            *known = deadline.min(*known);
        }
    }

    /// Removes workers that only the former owner used and that never answered
    /// this owner.
    fn remove_former(&mut self) {
        self.former_workers.clear();
        let unknown = self
            .workers
            .iter()
            .filter(|(_, worker)| !worker.listed && !worker.synced);
        let keys: Vec<WorkerKey> = unknown.map(|(key, _)| key).collect();
        for key in keys {
            self.remove_worker(key, "never answered");
        }
    }
}
