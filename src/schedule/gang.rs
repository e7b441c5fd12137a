//! Gangs: steps whose tasks must run at the same time.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Scheduler;
use super::fit::has_label;
use super::place::{Candidates, OpenWorkers};
use super::placement::Tolerance;
use crate::fleet::Worker;
use crate::moment::Moment;
use crate::workflow::{Stage, Step, TaskKey};

/// The longest time that a gang waits for free capacity on a single rack.
const MAX_RACK_DELAY: Duration = Duration::from_millis(1500);

impl Scheduler {
    /// All tasks of the same step and occurrence as a task.
    pub(super) fn members(&self, task: TaskKey) -> Vec<TaskKey> {
        let task = &self.ledger.tasks[task];
        let workflow = &self.ledger.workflows[task.workflow];
        let occurrence = &workflow.occurrences[task.name.occurrence as usize];
        occurrence.tasks[task.name.step as usize].clone()
    }

    /// Whether the task's step is a gang.
    pub(super) fn is_gang(&self, task: TaskKey) -> bool {
        let task = &self.ledger.tasks[task];
        self.ledger.workflows[task.workflow].step(task.name).gang
    }

    /// Places all members at once, under one run number, or none of them.
    pub(super) fn place_gang(
        &mut self,
        task: TaskKey,
        open: &OpenWorkers,
        tolerance: Tolerance,
        now: Moment,
    ) -> bool {
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
        let candidate_sets = self.candidate_sets(task, now);
        let placed = candidate_sets
            .iter()
            .any(|candidates| self.assign_all(&members, run, open, candidates, tolerance, now));
        if !placed {
            return false;
        }
        for member in members {
            self.ledger.tasks[member].checkpoint.clone_from(&checkpoint);
            self.send_start(member, now);
        }
        true
    }

    /// Whether a gang waits for capacity only: no member has a run, and the open workers
    /// of its pool could hold all members if they were empty.
    pub(super) fn waits_for_capacity(&self, task: TaskKey, now: Moment) -> bool {
        let members = self.members(task);
        let waiting = |task: &TaskKey| self.ledger.tasks[*task].stage == Stage::Waiting;
        let step = self.step_of(task);
        let workflow = &self.ledger.workflows[self.ledger.tasks[task].workflow];
        let open = self.workers.values().filter(|worker| {
            worker.registration.pool == workflow.queue.pool && worker.is_open(now)
        });
        let places: u32 = open.map(|worker| places_on(worker, step)).sum();
        members.iter().all(waiting) && places >= step.count
    }

    /// The sets of workers on which a gang may be placed, the preferred first. A
    /// gang that asks for a single rack waits for one for a limited time, as it
    /// runs slower across several. Racks for which other tasks wait come last.
    fn candidate_sets(&self, task: TaskKey, now: Moment) -> Vec<Candidates> {
        let step = self.step_of(task);
        if !step.same_rack {
            return vec![Candidates::All];
        }
        let waited = now - self.ledger.tasks[task].ready;
        let mut racks: BTreeMap<&str, bool> = BTreeMap::new();
        for (key, worker) in &self.workers {
            let awaited = racks.entry(worker.registration.rack()).or_default();
            *awaited |= self.rack_waits.is_awaited(key);
        }
        let mut racks: Vec<(&str, bool)> = racks.into_iter().collect();
        racks.sort_by_key(|(_, awaited)| *awaited);
        let racks = racks
            .into_iter()
            .map(|(rack, _)| Candidates::Rack(rack.to_owned()));
        let anywhere = (waited >= step.estimate.min(MAX_RACK_DELAY)).then_some(Candidates::All);
        racks.chain(anywhere).collect()
    }

    /// Assigns every member to a worker, or none of them.
    fn assign_all(
        &mut self,
        members: &[TaskKey],
        run: u64,
        open: &OpenWorkers,
        candidates: &Candidates,
        tolerance: Tolerance,
        now: Moment,
    ) -> bool {
        let mut placed = Vec::new();
        for member in members {
            let task = &self.ledger.tasks[*member];
            let workflow = &self.ledger.workflows[task.workflow];
            let last_run = task.run;
            let Some(placement) = self.choose(workflow, task, open, candidates, tolerance, now)
            else {
                self.undo_assignments(&placed, now);
                return false;
            };
            self.assign(*member, placement, run, now);
            placed.push((*member, last_run));
        }
        true
    }

    /// Takes back assignments for which no order was queued. Each task has its last run again.
    fn undo_assignments(&mut self, placed: &[(TaskKey, u64)], now: Moment) {
        for (task, last_run) in placed {
            self.unassign(*task);
            self.ledger.tasks[*task].run = *last_run;
            self.ledger.set_stage(*task, Stage::Waiting, now);
        }
    }
}

/// The number of tasks of a step that a worker could hold if it were empty.
fn places_on(worker: &Worker, step: &Step) -> u32 {
    if !has_label(worker, step) {
        return 0;
    }
    let (whole, need) = (worker.registration.capacity, step.need);
    let times = |whole: u32, need: u32| whole.checked_div(need).unwrap_or(step.count);
    times(whole.millicores, need.millicores)
        .min(times(whole.memory, need.memory))
        .min(times(whole.accelerators, need.accelerators))
        .min(step.worker_limit.unwrap_or(step.count))
        .min(step.count)
}
