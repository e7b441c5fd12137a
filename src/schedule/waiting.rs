//! The tasks that wait for a worker, in the order in which they are tried.

use std::collections::{BTreeSet, HashMap};

use super::rank::Rank;
use crate::workflow::TaskKey;

/// The tasks that wait for a worker, each with its last rank.
#[derive(Debug, Default)]
pub(super) struct WaitList {
    order: BTreeSet<Rank>,
    ranks: HashMap<TaskKey, Rank>,
}

impl WaitList {
    /// Adds a task, or moves it to its new rank.
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

    /// Empties the list.
    pub fn take(&mut self) -> Vec<TaskKey> {
        self.ranks.clear();
        let order = std::mem::take(&mut self.order);
        order.into_iter().map(|rank| rank.task).collect()
    }

    /// The tasks, the first to be tried first.
    pub fn iter(&self) -> impl Iterator<Item = TaskKey> + '_ {
        self.order.iter().map(|rank| rank.task)
    }
}
