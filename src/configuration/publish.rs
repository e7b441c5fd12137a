//! The decisions of publishing a configuration and of taking one.

use super::Configuration;
use crate::kind::{ErrorKind, Refusal};

/// What the publisher does next.
#[derive(Debug, Clone, PartialEq)]
pub enum PublishStep {
    /// Read the configuration in the store.
    Read,
    /// Swap the configuration in if the store's value still has this version;
    /// version 0 stands for an absent key.
    Swap {
        /// The store's version of the value that is replaced.
        version: u64,
        /// The new value.
        value: Box<Configuration>,
    },
    /// The end.
    Done(Verdict),
}

/// How a publication ended.
#[derive(Debug, Clone, PartialEq)]
pub enum Verdict {
    /// The store holds it under this revision.
    Accepted(u64),
    /// It is certainly not in force and never will be.
    Refused(Refusal),
    /// The store's answer is lost and reading it back failed.
    Unknown,
}

/// What the store holds under the configuration's key.
#[derive(Debug, Clone, PartialEq)]
pub struct Stored {
    /// The store's version.
    pub version: u64,
    /// The value.
    pub value: Configuration,
}

/// One attempt to publish a configuration.
#[derive(Debug)]
pub struct Publication {
    wanted: Configuration,
    stage: Stage,
    version: u64,
    swaps: u32,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    Reading,
    Swapping,
    /// The answer to the swap is lost.
    Lost,
    /// The store refused the swap.
    Failed,
}

/// How often a swap whose answer is lost is sent again.
const MAX_SWAPS: u32 = 4;

impl Publication {
    /// Starts to publish `wanted`; `nonce` must be unique to this attempt.
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

    /// Takes the answer to a read: none if it was lost, `Some(None)` for an absent key.
    pub fn on_read(&mut self, answer: Option<Option<Stored>>) -> PublishStep {
        match (self.stage, answer) {
            (Stage::Reading, None) => self.refuse(
                ErrorKind::StoreUnavailable,
                "the store did not answer; nothing was changed".to_owned(),
            ),
            (Stage::Reading, Some(stored)) => self.prepare(stored),
            (Stage::Failed, None) => self.refuse(
                ErrorKind::Conflict,
                "another operator published first".to_owned(),
            ),
            (_, None) => PublishStep::Done(Verdict::Unknown),
            (_, Some(stored)) => self.settle(stored.as_ref()),
        }
    }

    /// Takes the answer to a swap: none if it was lost, else whether it took effect.
    pub fn on_swap(&mut self, answer: Option<bool>) -> PublishStep {
        self.stage = match answer {
            Some(true) => return PublishStep::Done(Verdict::Accepted(self.wanted.revision)),
            Some(false) => Stage::Failed,
            None => Stage::Lost,
        };
        PublishStep::Read
    }

    fn prepare(&mut self, stored: Option<Stored>) -> PublishStep {
        if let Some(stored) = &stored
            && !self.wanted.keeps_shards(&stored.value)
        {
            let message = format!(
                "zones and shards of revision {} can only be added to, at the end",
                stored.value.revision
            );
            return self.refuse(ErrorKind::BadRequest, message);
        }
        self.version = stored.as_ref().map_or(0, |stored| stored.version);
        self.wanted.follow(stored.map(|stored| stored.value));
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

    /// Settles a swap by what the store holds now. The history tells whether
    /// this change was in force before a later one.
    fn settle(&mut self, stored: Option<&Stored>) -> PublishStep {
        let version = stored.map_or(0, |stored| stored.version);
        if self.stage == Stage::Lost && version == self.version {
            // The swap may still arrive. Sent again, one of the two takes effect.
            return match self.swaps < MAX_SWAPS {
                true => self.swap(),
                false => PublishStep::Done(Verdict::Unknown),
            };
        }
        let winner = stored.and_then(|stored| stored.value.mark(self.wanted.revision));
        match winner {
            Some(mark) if mark.nonce == self.wanted.nonce => {
                PublishStep::Done(Verdict::Accepted(self.wanted.revision))
            }
            Some(mark) => {
                let message = format!("{} published revision {} first", mark.author, mark.revision);
                self.refuse(ErrorKind::Conflict, message)
            }
            None if self.stage == Stage::Failed => self.refuse(
                ErrorKind::Conflict,
                "another operator published first".to_owned(),
            ),
            None => PublishStep::Done(Verdict::Unknown),
        }
    }

    fn refuse(&self, kind: ErrorKind, message: String) -> PublishStep {
        PublishStep::Done(Verdict::Refused(Refusal::new(kind, message)))
    }
}

/// The configuration in force at an entry host.
#[derive(Debug, Default)]
pub struct Current {
    value: Option<Configuration>,
}

impl Current {
    /// The configuration in force, none before the first.
    pub const fn get(&self) -> Option<&Configuration> {
        self.value.as_ref()
    }

    /// The revision in force, 0 before the first.
    pub fn revision(&self) -> u64 {
        self.value.as_ref().map_or(0, |value| value.revision)
    }

    /// Takes a configuration if its revision is higher; tells whether it did.
    ///
    /// ```
    /// use lycheelock::configuration::{Configuration, Current};
    ///
    /// let at = |revision| Configuration { revision, ..Configuration::default() };
    /// let mut current = Current::default();
    /// assert!(current.offer(at(2)));
    /// assert!(!current.offer(at(1)));
    /// assert_eq!(current.revision(), 2);
    /// ```
    pub fn offer(&mut self, offered: Configuration) -> bool {
        let newer = offered.revision > self.revision();
        if newer {
            self.value = Some(offered);
        }
        newer
    }
}
