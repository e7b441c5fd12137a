//! The headroom of one pool.

use std::collections::BTreeMap;
use std::time::Duration;

use super::demand::{Demand, UsualNeed};
use super::size::{Size, SizeClass};
use crate::fleet::{Capacity, Worker};
use crate::moment::Moment;
use crate::workflow::Step;

/// The limit on what short tasks ask for, in percent of the processors of the pool's open
/// workers, so that a burst of them does not keep long-running work out.
const MAX_DEMAND_PERCENT: u64 = 30;
/// The limit on the sizes of long-running tasks that a pool remembers. Tasks of further sizes
/// are not held back.
const MAX_SIZES: usize = 16;

/// What a pool keeps free for short tasks, for the metrics.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PoolHeadroom {
    /// The name of the pool.
    pub pool: String,
    /// The processors that are kept free for short tasks of all priorities, in millicores.
    pub headroom: u64,
    /// The free processors that whole short tasks can use, in millicores.
    pub free: u64,
    /// The long-running tasks that the last pass held back.
    pub held_back: u32,
}

impl PoolHeadroom {
    /// Adds what another shard keeps free in the same pool.
    ///
    /// ```
    /// use lycheelock::headroom::PoolHeadroom;
    ///
    /// let one = PoolHeadroom { headroom: 2000, held_back: 1, ..PoolHeadroom::default() };
    /// let sum = one.plus(&PoolHeadroom { headroom: 500, ..PoolHeadroom::default() });
    /// assert_eq!((sum.headroom, sum.held_back), (2500, 1));
    /// ```
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            pool: other.pool.clone(),
            headroom: self.headroom + other.headroom,
            free: self.free + other.free,
            held_back: self.held_back + other.held_back,
        }
    }
}

/// What is known of one pool.
#[derive(Debug)]
pub(super) struct Pool {
    pub name: String,
    /// The processors of the open workers, in millicores.
    capacity: u64,
    /// The free processors of the open workers that whole short tasks can use, in millicores.
    usable: u64,
    /// The most that one worker has of each resource; absent before the first look.
    largest: Option<Capacity>,
    usual_need: UsualNeed,
    /// The short tasks that wait, and what they ask for in sum.
    waiting: (u64, u64),
    demands: BTreeMap<u32, Demand>,
    sizes: Vec<Size>,
    held_back: u32,
}

impl Pool {
    pub fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            capacity: 0,
            usable: 0,
            largest: None,
            usual_need: UsualNeed::default(),
            waiting: (0, 0),
            demands: BTreeMap::new(),
            sizes: Vec::new(),
            held_back: 0,
        }
    }

    /// Begins a pass over the waiting tasks.
    pub fn begin(&mut self) {
        self.held_back = 0;
        self.waiting = (0, 0);
        for demand in self.demands.values_mut() {
            demand.waiting = 0;
        }
    }

    /// Whether a worker could hold a task with this need if it were empty.
    pub fn holds(&self, need: Capacity) -> bool {
        self.largest.is_none_or(|largest| largest.holds(need))
    }

    /// Records a waiting short task.
    pub fn add_short(&mut self, priority: u32, millicores: u64) {
        self.waiting.0 += 1;
        self.waiting.1 += millicores;
        self.demands.entry(priority).or_default().waiting += millicores;
    }

    /// Records a waiting long-running task that has never run.
    pub fn add_long_running(&mut self, step: &Step, now: Moment) {
        if let Some(size) = self.sizes.iter_mut().find(|size| size.class.includes(step)) {
            size.ask(now);
        } else if self.sizes.len() < MAX_SIZES {
            self.sizes.push(Size::new(SizeClass::of(step), now));
        }
    }

    /// Looks at the workers that accept tasks, in quarantine or not, once all waiting tasks were
    /// taken in.
    pub fn look<'a>(
        &mut self,
        workers: impl Iterator<Item = &'a Worker>,
        elapsed: Duration,
        now: Moment,
    ) {
        let (tasks, millicores) = self.waiting;
        if tasks > 0 {
            self.usual_need.learn(millicores as f64 / tasks as f64, now);
        }
        self.sizes.retain(|size| size.is_current(now));
        self.sizes.iter_mut().for_each(Size::begin);
        for demand in self.demands.values_mut() {
            demand.in_use = 0;
        }
        (self.capacity, self.usable) = (0, 0);
        let mut largest = Capacity::default();
        for worker in workers {
            largest = most(largest, worker.registration.capacity);
            self.count(worker, now);
        }
        self.largest = Some(largest);
        self.sizes.iter_mut().for_each(|size| size.finish(now));
        let limit = self.limit();
        for demand in self.demands.values_mut() {
            demand.learn(limit, elapsed);
        }
        self.demands.retain(|_, demand| !demand.is_over());
    }

    fn count(&mut self, worker: &Worker, now: Moment) {
        let short: u32 = worker.short_use.iter().map(|row| row.1).sum();
        debug_assert_eq!(
            short,
            worker.used.millicores - worker.long_running_cpu,
            "the use of short tasks is wrong on {}",
            worker.registration.id
        );
        for (priority, millicores) in worker.short_use.iter() {
            self.demands.entry(priority).or_default().in_use += u64::from(millicores);
        }
        // Long-running tasks may use workers in quarantine after a while.
        self.sizes.iter_mut().for_each(|size| size.count(worker));
        if !worker.failures.is_quarantined(now) {
            self.capacity += u64::from(worker.registration.capacity.millicores);
            self.usable += self.usable_on(worker.free());
        }
    }

    fn usable_on(&self, free: Capacity) -> u64 {
        self.usual_need.usable(u64::from(free.millicores))
    }

    /// The limit on what short tasks of all priorities may ask for, in millicores.
    const fn limit(&self) -> u64 {
        self.capacity * MAX_DEMAND_PERCENT / 100
    }

    /// The processors to keep free for short tasks of this priority and more urgent ones, in
    /// millicores. Less than half of what a task needs counts as nothing.
    pub fn headroom(&self, priority: u32) -> u64 {
        let (mut missing, mut in_use) = (0, 0);
        for demand in self.demands.range(..=priority).map(|(_, demand)| demand) {
            missing += demand.missing();
            in_use += demand.in_use;
        }
        let headroom = missing.min(self.limit().saturating_sub(in_use));
        if headroom * 2 < self.usual_need.millicores() {
            0
        } else {
            headroom
        }
    }

    /// Whether a long-running task of this step is held back.
    pub fn holds_back(&self, step: &Step, priority: u32, now: Moment) -> bool {
        let headroom = self.headroom(priority);
        if headroom == 0 {
            return false;
        }
        let tasks = if step.gang { step.count } else { 1 };
        let need = u64::from(step.need.millicores) * u64::from(tasks);
        if self.usable >= headroom + need {
            return false;
        }
        let size = self.sizes.iter().find(|size| size.class.includes(step));
        size.is_some_and(|size| !size.has_lasting_room(now))
    }

    pub fn add_held_back(&mut self, step: &Step) {
        self.held_back += if step.gang { step.count } else { 1 };
    }

    /// Subtracts what tasks take that were placed on a worker; `taken` is the sum.
    pub fn on_placed(&mut self, worker: &Worker, taken: Capacity, now: Moment) {
        let mut before = worker.free();
        before += taken;
        for size in &mut self.sizes {
            size.recount(worker, before);
        }
        if !worker.failures.is_quarantined(now) {
            let lost = self.usable_on(before) - self.usable_on(worker.free());
            self.usable = self.usable.saturating_sub(lost);
        }
    }

    /// Adds placed short tasks of this priority to those in use.
    pub fn on_short_placed(&mut self, priority: u32, millicores: u64) {
        self.demands.entry(priority).or_default().in_use += millicores;
    }

    /// Whether nothing is left to remember.
    pub fn is_over(&self) -> bool {
        self.demands.is_empty() && self.sizes.is_empty()
    }

    pub fn reading(&self) -> PoolHeadroom {
        PoolHeadroom {
            pool: self.name.clone(),
            headroom: self.headroom(u32::MAX),
            free: self.usable,
            held_back: self.held_back,
        }
    }
}

/// The most of each resource.
fn most(one: Capacity, other: Capacity) -> Capacity {
    Capacity {
        millicores: one.millicores.max(other.millicores),
        memory: one.memory.max(other.memory),
        accelerators: one.accelerators.max(other.accelerators),
    }
}
