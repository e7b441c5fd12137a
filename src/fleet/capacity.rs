//! The resources that a worker offers or a task needs.

use std::ops::{AddAssign, SubAssign};

use serde::{Deserialize, Serialize};

/// An amount of processor, memory and accelerators.
///
/// ```
/// use lycheelock::fleet::Capacity;
///
/// let worker = Capacity { millicores: 4000, memory: 1000, accelerators: 0 };
/// let task = Capacity { millicores: 3000, memory: 600, accelerators: 0 };
/// assert!(worker.holds(task));
/// assert!(!worker.minus(task).holds(task));
/// ```
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Capacity {
    /// Processor time in thousandths of a core.
    pub millicores: u32,
    /// Memory in MB.
    pub memory: u32,
    /// Number of accelerators.
    pub accelerators: u32,
}

impl Capacity {
    /// Whether `need` fits into this capacity.
    pub const fn holds(self, need: Self) -> bool {
        self.millicores >= need.millicores
            && self.memory >= need.memory
            && self.accelerators >= need.accelerators
    }

    /// Returns the processor time that a task uses at a speed in percent of full speed, in
    /// thousandths of a core.
    ///
    /// ```
    /// use lycheelock::fleet::Capacity;
    ///
    /// let task = Capacity { millicores: 3000, ..Capacity::default() };
    /// assert_eq!(task.at_speed(50), 1500);
    /// ```
    pub const fn at_speed(self, speed: u8) -> u32 {
        (self.millicores as u64 * speed as u64 / 100) as u32
    }

    /// Subtracts `used`; a resource that is overcommitted becomes 0.
    pub const fn minus(self, used: Self) -> Self {
        Self {
            millicores: self.millicores.saturating_sub(used.millicores),
            memory: self.memory.saturating_sub(used.memory),
            accelerators: self.accelerators.saturating_sub(used.accelerators),
        }
    }
}

impl AddAssign for Capacity {
    fn add_assign(&mut self, other: Self) {
        self.millicores = self.millicores.saturating_add(other.millicores);
        self.memory = self.memory.saturating_add(other.memory);
        self.accelerators = self.accelerators.saturating_add(other.accelerators);
    }
}

impl SubAssign for Capacity {
    fn sub_assign(&mut self, other: Self) {
        *self = self.minus(other);
    }
}
