//! The key-value store: compare-and-swap, leases and ordered keys.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::moment::Moment;
use crate::platform::{Entry, Expect, LeaseId, Range, StoreOp, StoreReply};

/// The store in memory. It takes the time with each call, so that tests can
/// run it in virtual time.
#[derive(Debug, Default)]
pub struct Store {
    version: u64,
    keys: BTreeMap<String, Held>,
    leases: BTreeMap<LeaseId, Lease>,
    next_lease: u64,
    /// Operations that changed something or tried to.
    pub writes: u64,
    /// Operations that only read.
    pub reads: u64,
}

#[derive(Debug)]
struct Held {
    value: Option<String>,
    version: u64,
    lease: Option<LeaseId>,
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    until: Moment,
}

impl Store {
    /// Carries out one operation.
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
                Some(held) => {
                    held.until = now + held.ttl;
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

    /// The keys under a prefix that changed after a version; with version 0
    /// all that exist.
    pub fn range(&self, prefix: &str, after: u64) -> Range {
        let under = self
            .keys
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix));
        let changed = under.filter(|(_, held)| match after {
            0 => held.value.is_some(),
            _ => held.version > after,
        });
        Range {
            entries: changed
                .map(|(key, held)| Entry {
                    key: key.clone(),
                    value: held.value.clone(),
                    version: held.version,
                })
                .collect(),
            version: self.version,
        }
    }

    /// Removes the keys of leases that have ended.
    pub fn expire(&mut self, now: Moment) {
        let ended: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.until <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
            self.leases.remove(&lease);
            self.remove_leased(lease);
        }
    }

    fn entry(&self, key: &str) -> Option<Entry> {
        let held = self.keys.get(key)?;
        Some(Entry {
            key: key.to_owned(),
            value: Some(held.value.clone()?),
            version: held.version,
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
        let found = self.entry(&key).map(|entry| entry.version);
        let matches = match expect {
            Expect::Any => true,
            Expect::Absent => found.is_none(),
            Expect::Version(version) => found == Some(version),
        };
        if !matches {
            return StoreReply::Conflict;
        }
        self.version += 1;
        let held = Held {
            value: Some(value),
            version: self.version,
            lease,
        };
        self.keys.insert(key, held);
        StoreReply::Written(self.version)
    }

    fn remove(&mut self, key: &str) {
        if let Some(held) = self.keys.get_mut(key)
            && held.value.is_some()
        {
            self.version += 1;
            held.value = None;
            held.lease = None;
            held.version = self.version;
        }
    }

    fn remove_leased(&mut self, lease: LeaseId) {
        let held = self
            .keys
            .iter()
            .filter(|(_, held)| held.lease == Some(lease));
        let keys: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn grant(&mut self, ttl: Duration, now: Moment) -> StoreReply {
        self.next_lease += 1;
        let id = LeaseId(self.next_lease);
        let until = now + ttl;
        self.leases.insert(id, Lease { ttl, until });
        StoreReply::Granted(id)
    }
}
