//! Limits the requests that each team has in progress.

use std::collections::HashMap;

use crate::configuration::Team;
use crate::kind::{ErrorKind, Refusal};

/// The number of requests in progress of each team at one entry host.
#[derive(Debug, Default)]
pub struct Quotas {
    teams: HashMap<String, u32>,
}

impl Quotas {
    /// Counts a new request of a team.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the team has as many requests in progress as its quota allows.
    ///
    /// ```
    /// use lycheelock::admission::Quotas;
    /// use lycheelock::configuration::Team;
    ///
    /// let team = Team { name: "a".into(), token: "t".into(), requests: 1, tasks: 1 };
    /// let mut quotas = Quotas::default();
    /// assert!(quotas.acquire(&team).is_ok());
    /// assert!(quotas.acquire(&team).is_err());
    /// quotas.release("a");
    /// assert!(quotas.acquire(&team).is_ok());
    /// ```
    pub fn acquire(&mut self, team: &Team) -> Result<(), Refusal> {
        let count = self.teams.entry(team.name.clone()).or_default();
        if *count >= team.requests {
            let message = format!("team {:?} has {count} requests in progress", team.name);
            return Err(Refusal::new(ErrorKind::QuotaExceeded, message));
        }
        *count += 1;
        Ok(())
    }

    /// Removes an ended request of a team from its count.
    pub fn release(&mut self, team: &str) {
        if let Some(count) = self.teams.get_mut(team) {
            *count = count.saturating_sub(1);
        }
    }
}
