//! Idempotency keys of interactive requests, which make each request run at
//! most once.

use std::collections::BTreeMap;

use super::WallClock;
use super::change::{Change, KeyOutcome};
use crate::kind::{ErrorKind, Refusal};

/// The state of one idempotency key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyState {
    digest: u64,
    at: WallClock,
    stage: KeyStage,
    /// Whether the change that removes the key is being logged.
    dropping: bool,
}

#[derive(Debug, Clone, PartialEq, Eq)]
enum KeyStage {
    /// The intent is being logged.
    IntentPending,
    /// The request ended without being sent while its intent was being logged.
    Abandoned,
    /// The intent is logged and this host is sending the request.
    Running,
    /// A former owner logged the intent, and the log has no outcome.
    Orphaned,
    /// The outcome of the request is known.
    Ended(KeyOutcome),
}

impl KeyState {
    fn answer_bytes(&self) -> usize {
        match &self.stage {
            KeyStage::Ended(outcome) => outcome.estimated_bytes(),
            KeyStage::IntentPending
            | KeyStage::Abandoned
            | KeyStage::Running
            | KeyStage::Orphaned => 0,
        }
    }
}

/// What to do with a keyed request.
#[derive(Debug, Clone, PartialEq)]
pub enum KeyStep {
    /// Log this change, then send the request.
    Log(Change),
    /// Answer with this stored outcome; the request is not sent.
    Stored(KeyOutcome),
    /// Refuse the request.
    Refuse(Refusal),
}

/// The approximate number of bytes that a key takes in a snapshot without its answer.
const KEY_BYTES: usize = 220;
/// The maximum number of bytes of all keys and answers in a shard. When it is
/// reached, answers are no longer stored; when the keys alone reach it, requests
/// with new keys are refused.
const MAX_KEYS_BYTES: usize = 300_000;

/// The idempotency keys of one shard.
#[derive(Debug, Default)]
pub struct IdempotencyKeys {
    states: BTreeMap<u64, KeyState>,
    /// The approximate number of bytes of all stored answers.
    answers: usize,
}

impl IdempotencyKeys {
    /// Decides whether a request with this key is sent, answered with a stored outcome or
    /// refused.
    ///
    /// ```
    /// use lycheelock::jobs::{IdempotencyKeys, WallClock};
    ///
    /// let mut keys = IdempotencyKeys::default();
    /// assert!(matches!(keys.begin(1, 2, WallClock(0)), lycheelock::jobs::KeyStep::Log(_)));
    /// assert!(matches!(keys.begin(1, 2, WallClock(0)), lycheelock::jobs::KeyStep::Refuse(_)));
    /// ```
    pub fn begin(&mut self, key: u64, digest: u64, at: WallClock) -> KeyStep {
        if let Some(step) = self.repeated(key, digest) {
            return step;
        }
        if self.states.len() * KEY_BYTES >= MAX_KEYS_BYTES {
            let message = "the shard of this key has reached its limit of idempotency keys";
            return KeyStep::Refuse(Refusal::new(ErrorKind::Overloaded, message));
        }
        self.states.insert(
            key,
            KeyState {
                digest,
                at,
                stage: KeyStage::IntentPending,
                dropping: false,
            },
        );
        KeyStep::Log(Change::KeyIntent { key, digest, at })
    }

    /// Decides on a request with a known key; none if the key is new.
    pub fn repeated(&self, key: u64, digest: u64) -> Option<KeyStep> {
        let state = self.states.get(&key)?;
        let refuse = |kind, message: &str| Some(KeyStep::Refuse(Refusal::new(kind, message)));
        if state.digest != digest {
            let message = "the idempotency key was used with another request";
            return refuse(ErrorKind::KeyReused, message);
        }
        match &state.stage {
            KeyStage::IntentPending | KeyStage::Running => {
                let message = "a request with this idempotency key is being carried out";
                refuse(ErrorKind::InProgress, message)
            }
            KeyStage::Abandoned => {
                let message = "the release of this idempotency key is being logged";
                refuse(ErrorKind::InProgress, message)
            }
            KeyStage::Orphaned => {
                let message = "the entry host that sent the request failed";
                refuse(ErrorKind::AnswerLost, message)
            }
            KeyStage::Ended(outcome) => Some(KeyStep::Stored(outcome.clone())),
        }
    }

    /// Records an outcome before it is logged, so that a repeated request gets it
    /// at once. An answer that exceeds the size limit is replaced by `TooLarge`. A key
    /// whose intent is still being logged is free again only once its release is
    /// logged: otherwise the next request would take that intent for its own.
    pub fn end(&mut self, key: u64, outcome: KeyOutcome) -> Change {
        let bytes = outcome.estimated_bytes();
        let outcome = match bytes > 0 && self.estimated_bytes() + bytes > MAX_KEYS_BYTES {
            true => KeyOutcome::TooLarge,
            false => outcome,
        };
        match self.states.get_mut(&key) {
            Some(state)
                if outcome == KeyOutcome::NotRun && state.stage == KeyStage::IntentPending =>
            {
                state.stage = KeyStage::Abandoned;
            }
            _ => self.set_outcome(key, &outcome),
        }
        Change::KeyEnded { key, outcome }
    }

    /// The approximate number of bytes that the keys and answers take in a snapshot.
    pub fn estimated_bytes(&self) -> usize {
        self.states.len() * KEY_BYTES + self.answers
    }

    /// Removes a key, for example when its intent could not be logged.
    pub fn forget(&mut self, key: u64) {
        if let Some(state) = self.states.remove(&key) {
            self.answers -= state.answer_bytes();
        }
    }

    /// Applies a logged change. A replayed intent belongs to a former owner.
    pub(super) fn apply(&mut self, change: &Change, replayed: bool) {
        match change {
            Change::KeyIntent { key, .. } if self.is_abandoned(*key) => {}
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
            // `end` has freed the key already, so it may be in use again.
            Change::KeyEnded { key, outcome }
                if *outcome == KeyOutcome::NotRun && !replayed && !self.is_abandoned(*key) => {}
            Change::KeyEnded { key, outcome } => self.set_outcome(*key, outcome),
            Change::KeyDropped { key } => self.forget(*key),
            _ => {}
        }
    }

    fn is_abandoned(&self, key: u64) -> bool {
        let state = self.states.get(&key);
        state.is_some_and(|state| state.stage == KeyStage::Abandoned)
    }

    fn set_outcome(&mut self, key: u64, outcome: &KeyOutcome) {
        if *outcome == KeyOutcome::NotRun {
            self.forget(key);
        } else if let Some(state) = self.states.get_mut(&key) {
            self.answers -= state.answer_bytes();
            state.stage = KeyStage::Ended(outcome.clone());
            self.answers += state.answer_bytes();
        }
    }

    /// Returns the changes that remove keys older than `before`.
    pub(super) fn expire(&mut self, before: WallClock) -> Vec<Change> {
        let old = self.states.iter_mut().filter(|(_, state)| {
            let ended = matches!(state.stage, KeyStage::Ended(_) | KeyStage::Orphaned);
            ended && state.at < before && !state.dropping
        });
        old.map(|(key, state)| {
            state.dropping = true;
            Change::KeyDropped { key: *key }
        })
        .collect()
    }

    /// Returns the changes that restore this state in an empty ledger.
    pub(super) fn snapshot(&self) -> Vec<Change> {
        let mut changes = Vec::new();
        for (key, state) in &self.states {
            if matches!(state.stage, KeyStage::IntentPending | KeyStage::Abandoned) {
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

    /// The number of known keys.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether no key is known.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }
}
