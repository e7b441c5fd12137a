//! Sizes of long-running tasks, and how long a pool has had room for two of each.

use std::time::Duration;

use crate::fleet::{Capacity, Worker};
use crate::moment::Moment;
use crate::workflow::Step;

/// How long there must have been room for two tasks before one is placed although too little
/// stays free. A long-running task may be without a run for 3 s while there is such room.
const ROOM_DELAY: Duration = Duration::from_secs(2);
/// The number of tasks for which there must have been room.
const ROOM_COUNT: u32 = 2;
/// Needs are rounded down to multiples of this, in millicores, so that a pool has few sizes.
/// Rounded up, there would be room for two tasks before it is seen.
const CORE_STEP: u32 = 1000;
/// The same for memory, in MB.
const MEMORY_STEP: u32 = 256;
/// How long a size is remembered after a task of it has waited.
const RETENTION: Duration = Duration::from_secs(60);

/// The size of a long-running task.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SizeClass {
    label: Option<String>,
    need: Capacity,
}

impl SizeClass {
    pub fn of(step: &Step) -> Self {
        Self {
            label: step.label.clone(),
            need: class_need(step),
        }
    }

    pub fn includes(&self, step: &Step) -> bool {
        self.need == class_need(step) && self.label == step.label
    }

    /// The number of tasks of this size for which a worker has room.
    fn rooms(&self, worker: &Worker, free: Capacity) -> u32 {
        if !worker.registration.has_label(self.label.as_deref()) {
            return 0;
        }
        let times = |free: u32, need: u32| free.checked_div(need).unwrap_or(u32::MAX);
        let rooms = times(free.millicores, self.need.millicores)
            .min(times(free.memory, self.need.memory))
            .min(times(free.accelerators, self.need.accelerators));
        rooms.min(ROOM_COUNT)
    }
}

fn class_need(step: &Step) -> Capacity {
    Capacity {
        millicores: round_down(step.need.millicores, CORE_STEP),
        memory: round_down(step.need.memory, MEMORY_STEP),
        accelerators: step.need.accelerators,
    }
}

const fn round_down(need: u32, step: u32) -> u32 {
    if need < step {
        need
    } else {
        need - need % step
    }
}

/// A size of long-running task that waits, or waited lately, in a pool.
#[derive(Debug, Clone)]
pub(super) struct Size {
    pub class: SizeClass,
    /// When a task of this size last waited.
    asked: Moment,
    /// The number of tasks for which there is room, at most [`ROOM_COUNT`] on each worker.
    rooms: u32,
    /// Since when there has been room for [`ROOM_COUNT`] tasks; absent while there is not.
    since: Option<Moment>,
}

impl Size {
    pub const fn new(class: SizeClass, now: Moment) -> Self {
        Self {
            class,
            asked: now,
            rooms: 0,
            since: None,
        }
    }

    pub fn ask(&mut self, now: Moment) {
        self.asked = now;
    }

    pub fn is_current(&self, now: Moment) -> bool {
        now - self.asked < RETENTION
    }

    /// Begins to count the rooms of all workers.
    pub fn begin(&mut self) {
        self.rooms = 0;
    }

    pub fn count(&mut self, worker: &Worker) {
        self.rooms += self.class.rooms(worker, worker.free());
    }

    /// Notes since when there is enough room, after all workers were counted.
    pub fn finish(&mut self, now: Moment) {
        if self.rooms < ROOM_COUNT {
            self.since = None;
        } else {
            self.since.get_or_insert(now);
        }
    }

    /// Updates the rooms after the free capacity of a worker has fallen from `before`.
    pub fn recount(&mut self, worker: &Worker, before: Capacity) {
        let taken = self.class.rooms(worker, before) - self.class.rooms(worker, worker.free());
        self.rooms = self.rooms.saturating_sub(taken);
        if self.rooms < ROOM_COUNT {
            self.since = None;
        }
    }

    /// Whether there has been room for two tasks long enough.
    pub fn has_lasting_room(&self, now: Moment) -> bool {
        self.since.is_some_and(|since| now - since >= ROOM_DELAY)
    }
}
