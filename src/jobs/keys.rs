//! Requests with an idempotency key: each runs at most once.

use std::collections::BTreeMap;

use super::Wall;
use super::change::{Change, KeyOutcome};
use crate::kind::{ErrorKind, Refusal};

/// What is known of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyState {
    digest: u64,
    at: Wall,
    stage: KeyStage,
    /// Whether its removal is on the way to the log.
    dropping: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum KeyStage {
    /// The intent is on its way to the log.
    Asked,
    /// The intent stands in the log and this host is sending the request.
    Running,
    /// The intent stands in the log, written by a former owner.
    Orphaned,
    /// The outcome is known.
    Ended(KeyOutcome),
}

impl KeyState {
    fn answer_weight(&self) -> usize {
        match &self.stage {
            KeyStage::Ended(outcome) => outcome.weight(),
            KeyStage::Asked | KeyStage::Running | KeyStage::Orphaned => 0,
        }
    }
}

/// What to do with a keyed request.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyStep {
    /// Log this change, then send the request.
    Log(Change),
    /// Answer with the stored outcome.
    Stored(KeyOutcome),
    /// Refuse.
    Refuse(Refusal),
}

/// About how many bytes of a snapshot a key takes without its answer.
const KEY_WEIGHT: usize = 220;
/// A shard keeps at most this much of keys and answers; then answers are not
/// kept, and then requests with new keys are refused.
const MOST_WEIGHT: usize = 300_000;

/// The keys of one shard.
#[derive(Debug, Default)]
pub struct Keys {
    states: BTreeMap<u64, KeyState>,
    /// The bytes of all kept answers.
    answers: usize,
}

impl Keys {
    /// Decides on a request with this key.
    ///
    /// ```
    /// use lycheelock::jobs::{Keys, Wall};
    ///
    /// let mut keys = Keys::default();
    /// assert!(matches!(keys.begin(1, 2, Wall(0)), lycheelock::jobs::KeyStep::Log(_)));
    /// assert!(matches!(keys.begin(1, 2, Wall(0)), lycheelock::jobs::KeyStep::Refuse(_)));
    /// ```
    pub fn begin(&mut self, key: u64, digest: u64, at: Wall) -> KeyStep {
        let Some(state) = self.states.get(&key) else {
            if self.states.len() * KEY_WEIGHT >= MOST_WEIGHT {
                let message = "the shard of this key keeps as many keys as it can";
                return KeyStep::Refuse(Refusal::new(ErrorKind::Overloaded, message));
            }
            self.states.insert(
                key,
                KeyState {
                    digest,
                    at,
                    stage: KeyStage::Asked,
                    dropping: false,
                },
            );
            return KeyStep::Log(Change::KeyIntent { key, digest, at });
        };
        if state.digest != digest {
            let message = "the idempotency key was used with another request";
            return KeyStep::Refuse(Refusal::new(ErrorKind::KeyReused, message));
        }
        match &state.stage {
            KeyStage::Asked | KeyStage::Running => {
                let message = "a request with this idempotency key is being carried out";
                KeyStep::Refuse(Refusal::new(ErrorKind::InProgress, message))
            }
            KeyStage::Orphaned => {
                let message = "the entry host that sent the request failed";
                KeyStep::Refuse(Refusal::new(ErrorKind::AnswerLost, message))
            }
            KeyStage::Ended(outcome) => KeyStep::Stored(outcome.clone()),
        }
    }

    /// Notes an outcome before it is logged, so that a repeat gets it at once.
    pub fn end(&mut self, key: u64, outcome: KeyOutcome) -> Change {
        let weight = outcome.weight();
        let outcome = match weight > 0 && self.weight() + weight > MOST_WEIGHT {
            true => KeyOutcome::TooLarge,
            false => outcome,
        };
        self.set_outcome(key, &outcome);
        Change::KeyEnded { key, outcome }
    }

    /// About how many bytes of a snapshot the keys and answers take.
    pub fn weight(&self) -> usize {
        self.states.len() * KEY_WEIGHT + self.answers
    }

    /// Drops a key whose intent was never logged.
    pub fn forget(&mut self, key: u64) {
        if let Some(state) = self.states.remove(&key) {
            self.answers -= state.answer_weight();
        }
    }

    /// Takes a change that stands in the log.
    pub(super) fn apply(&mut self, change: &Change, replayed: bool) {
        match change {
            Change::KeyIntent { key, digest, at } => {
                let stage = match replayed {
                    true => KeyStage::Orphaned,
                    false => KeyStage::Running,
                };
                let state = KeyState {
                    digest: *digest,
                    at: *at,
                    stage,
                    dropping: false,
                };
                self.forget(*key);
                self.states.insert(*key, state);
            }
            Change::KeyEnded { key, outcome } => self.set_outcome(*key, outcome),
            Change::KeyDropped { key } => self.forget(*key),
            _ => {}
        }
    }

    fn set_outcome(&mut self, key: u64, outcome: &KeyOutcome) {
        if *outcome == KeyOutcome::NotRun {
            self.forget(key);
        } else if let Some(state) = self.states.get_mut(&key) {
            self.answers -= state.answer_weight();
            state.stage = KeyStage::Ended(outcome.clone());
            self.answers += state.answer_weight();
        }
    }

    /// Changes that drop the keys noted before a point.
    pub(super) fn expire(&mut self, before: Wall) -> Vec<Change> {
        let old = self.states.iter_mut().filter(|(_, state)| {
            let settled = matches!(state.stage, KeyStage::Ended(_) | KeyStage::Orphaned);
            settled && state.at < before && !state.dropping
        });
        old.map(|(key, state)| {
            state.dropping = true;
            Change::KeyDropped { key: *key }
        })
        .collect()
    }

    /// Changes that bring an empty ledger to this state.
    pub(super) fn snapshot(&self) -> Vec<Change> {
        let mut changes = Vec::new();
        for (key, state) in &self.states {
            if state.stage == KeyStage::Asked {
                continue;
            }
            changes.push(Change::KeyIntent {
                key: *key,
                digest: state.digest,
                at: state.at,
            });
            if let KeyStage::Ended(outcome) = &state.stage {
                changes.push(Change::KeyEnded {
                    key: *key,
                    outcome: outcome.clone(),
                });
            }
        }
        changes
    }

    /// How many keys are known.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }
}
