//! The simulated key-value store: compare-and-swap, leases and ordered keys.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::moment::Moment;
use crate::platform::{Entry, Expect, LeaseId, Range, StoreOp, StoreReply};

/// An in-memory store. Each call passes the current time, so that tests can run it
/// in virtual time.
#[derive(Debug, Default)]
pub struct Store {
    version: u64,
    keys: BTreeMap<String, StoredValue>,
    leases: BTreeMap<LeaseId, Lease>,
    next_lease: u64,
    /// Number of operations that changed something or tried to.
    pub writes: u64,
    /// Number of operations that only read.
    pub reads: u64,
}

#[derive(Debug)]
struct StoredValue {
    /// `None` once the key is deleted. The entry stays so that watches report it.
    value: Option<String>,
    /// Version of the store at the last change of this key.
    version: u64,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Moment,
}

impl Store {
    /// Executes one operation, after removing the keys of expired leases.
    ///
    /// ```
    /// use lycheelock::moment::Moment;
    /// use lycheelock::platform::{StoreOp, StoreReply};
    /// use lycheelock::standins::store::Store;
    ///
    /// let mut store = Store::default();
    /// let get = StoreOp::Get { key: "a".to_owned() };
    /// assert_eq!(store.call(get, Moment::default()), StoreReply::Value(None));
    /// ```
    pub fn call(&mut self, op: StoreOp, now: Moment) -> StoreReply {
        self.expire(now);
        match op.writes() {
            true => self.writes += 1,
            false => self.reads += 1,
        }
        match op {
            StoreOp::Get { key } => StoreReply::Value(self.entry(&key)),
            StoreOp::Range { prefix } => StoreReply::Entries(self.range(&prefix, 0).entries),
            StoreOp::Put {
                key,
                value,
                expect,
                lease,
            } => self.put(key, value, expect, lease),
            StoreOp::Delete { key } => {
                self.remove(&key);
                StoreReply::Done
            }
            StoreOp::Grant { ttl_ms } => self.grant(Duration::from_millis(ttl_ms), now),
            StoreOp::Renew { lease } => match self.leases.get_mut(&lease) {
                Some(granted) => {
                    granted.expires_at = now + granted.ttl;
                    StoreReply::Done
                }
                None => StoreReply::LeaseGone,
            },
            StoreOp::Revoke { lease } => match self.leases.remove(&lease) {
                Some(_) => {
                    self.remove_leased(lease);
                    StoreReply::Done
                }
                None => StoreReply::LeaseGone,
            },
        }
    }

    /// Returns the keys under a prefix that changed after the given version,
    /// including deleted ones; with version 0, all keys that exist.
    pub fn range(&self, prefix: &str, after: u64) -> Range {
        let with_prefix = self
            .keys
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix));
        let changed = with_prefix.filter(|(_, stored)| match after {
            0 => stored.value.is_some(),
            _ => stored.version > after,
        });
        Range {
            entries: changed
                .map(|(key, stored)| Entry {
                    key: key.clone(),
                    value: stored.value.clone(),
                    version: stored.version,
                })
                .collect(),
            version: self.version,
        }
    }

    /// Removes expired leases and the keys attached to them.
    pub fn expire(&mut self, now: Moment) {
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.leases.remove(&lease);
            self.remove_leased(lease);
        }
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        let stored = self.keys.get(key)?;
        Some(Entry {
            key: key.to_owned(),
            value: Some(stored.value.clone()?),
            version: stored.version,
        })
    }

    fn put(
        &mut self,
        key: String,
        value: String,
        expect: Expect,
        lease: Option<LeaseId>,
    ) -> StoreReply {
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return StoreReply::LeaseGone;
        }
        let current = self.entry(&key).map(|entry| entry.version);
        let matches = match expect {
            Expect::Any => true,
            Expect::Absent => current.is_none(),
            Expect::Version(version) => current == Some(version),
        };
        if !matches {
            return StoreReply::Conflict;
        }
        self.version += 1;
        let stored = StoredValue {
            value: Some(value),
            version: self.version,
            lease,
        };
        self.keys.insert(key, stored);
        StoreReply::Written(self.version)
    }

    fn remove(&mut self, key: &str) {
        if let Some(stored) = self.keys.get_mut(key)
            && stored.value.is_some()
        {
            self.version += 1;
            stored.value = None;
            stored.lease = None;
            stored.version = self.version;
        }
    }

    fn remove_leased(&mut self, lease: LeaseId) {
        let attached = self
            .keys
            .iter()
            .filter(|(_, stored)| stored.lease == Some(lease));
        let keys: Vec<String> = attached.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn grant(&mut self, ttl: Duration, now: Moment) -> StoreReply {
        self.next_lease += 1;
        let id = LeaseId(self.next_lease);
        let expires_at = now + ttl;
        self.leases.insert(id, Lease { ttl, expires_at });
        StoreReply::Granted(id)
    }
}
