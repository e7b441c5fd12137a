//! Processor use, divided by the priority of the work.

/// The processors that tasks use, by the priority of their queues.
///
/// ```
/// use lycheelock::fleet::PriorityUse;
///
/// let mut used = PriorityUse::default();
/// used.add(0, 4000);
/// used.add(2, 1000);
/// used.subtract(0, 3000);
/// assert_eq!(used.iter().collect::<Vec<_>>(), [(0, 1000), (2, 1000)]);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PriorityUse {
    /// Each priority with its millicores, sorted; none is 0.
    rows: Vec<(u32, u32)>,
}

impl PriorityUse {
    /// Adds processors, in millicores.
    pub fn add(&mut self, priority: u32, millicores: u32) {
        match self.find(priority) {
            Ok(index) => {
                let row = &mut self.rows[index].1;
                *row = row.saturating_add(millicores);
            }
            Err(index) if millicores > 0 => self.rows.insert(index, (priority, millicores)),
            Err(_) => {}
        }
    }

    /// Subtracts processors, in millicores.
    pub fn subtract(&mut self, priority: u32, millicores: u32) {
        if let Ok(index) = self.find(priority) {
            let row = &mut self.rows[index].1;
            *row = row.saturating_sub(millicores);
            if *row == 0 {
                self.rows.remove(index);
            }
        }
    }

    /// Removes all.
    pub fn clear(&mut self) {
        self.rows.clear();
    }

    /// Iterates over the priorities and the millicores of each, the most urgent first.
    pub fn iter(&self) -> impl Iterator<Item = (u32, u32)> + '_ {
        self.rows.iter().copied()
    }

    fn find(&self, priority: u32) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&priority, |row| row.0)
    }
}
