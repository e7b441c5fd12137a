//! The waiting tasks, sorted by rank.

use std::collections::{BTreeSet, HashMap};

use super::rank::Rank;
use crate::workflow::TaskKey;

/// The tasks that wait for a worker, each listed once under its latest rank.
#[derive(Debug, Default)]
pub(super) struct WaitList {
    order: BTreeSet<Rank>,
    ranks: HashMap<TaskKey, Rank>,
}

impl WaitList {
    /// Adds a task, or moves it if it is listed under another rank.
    pub fn insert(&mut self, rank: Rank) {
        self.remove(rank.task);
        self.ranks.insert(rank.task, rank);
        self.order.insert(rank);
    }

    pub fn remove(&mut self, task: TaskKey) {
        if let Some(rank) = self.ranks.remove(&task) {
            self.order.remove(&rank);
        }
    }

    /// Removes and returns all tasks, in the order of their ranks.
    pub fn take(&mut self) -> Vec<TaskKey> {
        self.ranks.clear();
        let order = std::mem::take(&mut self.order);
        order.into_iter().map(|rank| rank.task).collect()
    }

    /// Iterates over the tasks in the order of their ranks.
    pub fn iter(&self) -> impl Iterator<Item = TaskKey> + '_ {
        self.order.iter().map(|rank| rank.task)
    }
}
