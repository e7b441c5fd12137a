//! The decisions when a configuration is published and when an entry host adopts it.

use super::Configuration;
use crate::kind::{ErrorKind, Refusal};

/// The next step of a publication.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishStep {
    /// Read the configuration from the store.
    Read,
    /// Replace the store's value by the new configuration if it still has this
    /// version.
    Swap {
        /// The store's version of the value to replace; 0 for an absent key.
        version: u64,
        /// The new configuration.
        value: Box<Configuration>,
    },
    /// The publication has ended.
    Done(PublishOutcome),
}

/// How a publication ended.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishOutcome {
    /// The configuration was published under this revision.
    Accepted(u64),
    /// The configuration was not published and will not be.
    Refused(Refusal),
    /// The result of the swap is unknown: its answer was lost, and the state of the
    /// store does not show whether it took effect.
    Unknown,
}

/// The store's entry for the configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct StoredConfiguration {
    /// The store's version of the entry.
    pub version: u64,
    /// The stored configuration.
    pub value: Configuration,
}

/// One attempt to publish a configuration.
#[derive(Debug)]
pub struct Publication {
    wanted: Configuration,
    stage: Stage,
    /// The store's version of the value to replace; 0 for an absent key.
    version: u64,
    /// The number of swaps sent so far.
    swaps: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Reading,
    Swapping,
    /// The answer to the swap was lost.
    AnswerLost,
    /// The store rejected the swap because its value had another version.
    Rejected,
}

/// The maximum number of times that a swap is sent, the first time included.
const MAX_SWAPS: u32 = 4;

impl Publication {
    /// Prepares the publication of `wanted`. The `nonce` must be unique to this
    /// attempt: it shows later which of two publications took effect.
    ///
    /// ```
    /// use lycheelock::configuration::{Configuration, Publication, PublishStep};
    ///
    /// let mut publication = Publication::new(Configuration::default(), "ana", 7);
    /// let step = publication.on_read(Some(None));
    /// assert!(matches!(step, PublishStep::Swap { version: 0, .. }));
    /// ```
    pub fn new(wanted: Configuration, author: &str, nonce: u64) -> Self {
        Self {
            wanted: Configuration {
                author: author.to_owned(),
                nonce,
                ..wanted
            },
            stage: Stage::Reading,
            version: 0,
            swaps: 0,
        }
    }

    /// Handles the answer to a read: `None` if it was lost, `Some(None)` for an absent
    /// key.
    pub fn on_read(&mut self, answer: Option<Option<StoredConfiguration>>) -> PublishStep {
        match (self.stage, answer) {
            (Stage::Reading, None) => self.refuse(
                ErrorKind::StoreUnavailable,
                "the store did not answer; nothing was changed".to_owned(),
            ),
            (Stage::Reading, Some(stored)) => self.prepare(stored),
            (Stage::Rejected, None) => self.refuse(
                ErrorKind::Conflict,
                "another operator published first".to_owned(),
            ),
            (_, None) => PublishStep::Done(PublishOutcome::Unknown),
            (_, Some(stored)) => self.resolve(stored.as_ref()),
        }
    }

    /// Handles the answer to a swap: `None` if it was lost, otherwise whether the swap
    /// took effect.
    pub fn on_swap(&mut self, answer: Option<bool>) -> PublishStep {
        self.stage = match answer {
            Some(true) => return PublishStep::Done(PublishOutcome::Accepted(self.wanted.revision)),
            Some(false) => Stage::Rejected,
            None => Stage::AnswerLost,
        };
        PublishStep::Read
    }

    fn prepare(&mut self, stored: Option<StoredConfiguration>) -> PublishStep {
        if let Some(stored) = &stored
            && !self.wanted.keeps_shards(&stored.value)
        {
            let message = format!(
                "zones and shards of revision {} cannot be changed; zones can only be appended",
                stored.value.revision
            );
            return self.refuse(ErrorKind::BadRequest, message);
        }
        self.version = stored.as_ref().map_or(0, |stored| stored.version);
        self.wanted
            .set_revision_after(stored.map(|stored| stored.value));
        self.swap()
    }

    fn swap(&mut self) -> PublishStep {
        self.stage = Stage::Swapping;
        self.swaps += 1;
        PublishStep::Swap {
            version: self.version,
            value: Box::new(self.wanted.clone()),
        }
    }

    /// Resolves a swap that was rejected or lost its answer, by the store's current
    /// value. The history in that value shows whether this publication took effect
    /// before a later one.
    fn resolve(&mut self, stored: Option<&StoredConfiguration>) -> PublishStep {
        let version = stored.map_or(0, |stored| stored.version);
        if self.stage == Stage::AnswerLost && version == self.version {
            // The swap may still arrive. If it is sent again, only one of the two takes
            // effect, because both name the same version.
            return match self.swaps < MAX_SWAPS {
                true => self.swap(),
                false => PublishStep::Done(PublishOutcome::Unknown),
            };
        }
        let winner = stored.and_then(|stored| stored.value.history_entry(self.wanted.revision));
        match winner {
            Some(entry) if entry.nonce == self.wanted.nonce => {
                PublishStep::Done(PublishOutcome::Accepted(self.wanted.revision))
            }
            Some(entry) => {
                let message = format!(
                    "{} published revision {} first",
                    entry.author, entry.revision
                );
                self.refuse(ErrorKind::Conflict, message)
            }
            None if self.stage == Stage::Rejected => self.refuse(
                ErrorKind::Conflict,
                "another operator published first".to_owned(),
            ),
            None => PublishStep::Done(PublishOutcome::Unknown),
        }
    }

    fn refuse(&self, kind: ErrorKind, message: String) -> PublishStep {
        PublishStep::Done(PublishOutcome::Refused(Refusal::new(kind, message)))
    }
}

/// The configuration in force at an entry host.
#[derive(Debug, Default)]
pub struct CurrentConfiguration {
    value: Option<Configuration>,
}

impl CurrentConfiguration {
    /// Returns the configuration in force; none before the first.
    pub const fn get(&self) -> Option<&Configuration> {
        self.value.as_ref()
    }

    /// Returns the revision in force; 0 before the first.
    pub fn revision(&self) -> u64 {
        self.value.as_ref().map_or(0, |value| value.revision)
    }

    /// Adopts a configuration if its revision is higher, and returns whether it did.
    ///
    /// ```
    /// use lycheelock::configuration::{Configuration, CurrentConfiguration};
    ///
    /// let at = |revision| Configuration { revision, ..Configuration::default() };
    /// let mut current = CurrentConfiguration::default();
    /// assert!(current.update_if_newer(at(2)));
    /// assert!(!current.update_if_newer(at(1)));
    /// assert_eq!(current.revision(), 2);
    /// ```
    pub fn update_if_newer(&mut self, offered: Configuration) -> bool {
        let newer = offered.revision > self.revision();
        if newer {
            self.value = Some(offered);
        }
        newer
    }
}
