//! Stand-in for the platform's store: keys, conditional writes, watches and leases.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Answer, Request, Server};
use crate::json::{Json, base64, quote};

/// The limit on the bytes of a value (`value_bytes`).
const VALUE_BYTES: usize = 1_048_576;
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1_000_000;
const MAX_ROWS: usize = 32;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    items: BTreeMap<String, Item>,
    history: Vec<(u64, String, String)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
}

#[derive(Default)]
pub struct Store {
    inner: Mutex<Inner>,
    changed: Condvar,
}

impl Inner {
    fn write(&mut self, key: &str, value: &str, lease: u64) {
        let revision = self.revision;
        let created = self.items.get(key).map_or(revision, |item| item.created);
        let item = Item { value: value.to_owned(), revision, created, lease };
        let row = row(key, &item);
        self.history.push((revision, key.to_owned(), row));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            let row = format!("{{\"key\":{},\"rev\":{revision},\"removed\":true}}", quote(key));
            self.history.push((revision, key.to_owned(), row));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let leased = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = leased.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.revision += 1;
            self.remove(&key);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended = self.leases.iter().filter(|(_, lease)| lease.1 <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        ended.into_iter().for_each(|lease| self.end_lease(lease));
    }
}

fn row(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":\"{}\",\"rev\":{},\"created\":{},\"lease\":{}}}",
        quote(key), item.value, item.revision, item.created, item.lease
    )
}

impl Store {
    /// Serves the store until the server is stopped.
    pub fn serve(self: &Arc<Self>, address: SocketAddr) -> Server {
        let (store, ticking) = (self.clone(), Arc::downgrade(self));
        thread::spawn(move || {
            while let Some(store) = ticking.upgrade() {
                store.update(|_| ());
                drop(store);
                thread::sleep(Duration::from_millis(20));
            }
        });
        Server::start(address, Arc::new(move |request| store.answer(request))).expect("a free port")
    }

    /// Writes a key as the operator or a worker does.
    pub fn put(&self, key: &str, value: &str) {
        let value = base64(value.as_bytes());
        self.update(|inner| {
            inner.revision += 1;
            inner.write(key, &value, 0);
        });
    }

    pub fn remove(&self, key: &str) {
        self.update(|inner| {
            inner.revision += 1;
            inner.remove(key);
        });
    }

    fn update<T>(&self, change: impl FnOnce(&mut Inner) -> T) -> T {
        let mut inner = self.inner.lock().unwrap();
        let before = inner.revision;
        inner.expire();
        let result = change(&mut inner);
        if inner.revision != before {
            self.changed.notify_all();
        }
        result
    }

    fn answer(&self, request: &Request) -> Answer {
        let parts: Vec<&str> = request.path.trim_matches('/').split('/').collect();
        match (request.method.as_str(), parts[0]) {
            ("GET", "kv-key") => self.get(&request.param("key")),
            ("GET", "kv-range") => self.range(&request.param("prefix"), &request.param("after")),
            ("GET", "kv-watch") => self.watch(request),
            ("POST", "kv-txn") => self.commit(&Json::parse(&request.body)?),
            ("POST", "kv-lease") => {
                let ttl = Json::parse(&request.body)?.get("ttl_ms").int().max(1000);
                let lease = self.update(|inner| {
                    inner.revision += 1;
                    let lease = inner.revision;
                    let span = Duration::from_millis(ttl);
                    inner.leases.insert(lease, (span, Instant::now() + span));
                    lease
                });
                Some((200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}")))
            }
            ("POST", "kv-keep") => {
                let lease = parts.get(1)?.parse().ok()?;
                let kept = self.update(|inner| {
                    let granted = inner.leases.get_mut(&lease)?;
                    granted.1 = Instant::now() + granted.0;
                    Some(granted.0.as_millis())
                });
                Some(match kept {
                    Some(ttl) => (200, format!("{{\"ttl_ms\":{ttl}}}")),
                    None => (404, "{}".to_owned()),
                })
            }
            ("DELETE", "kv-lease-end") => {
                let lease = parts.get(1)?.parse().ok()?;
                self.update(|inner| inner.end_lease(lease));
                Some((200, "{}".to_owned()))
            }
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn get(&self, key: &str) -> Answer {
        let inner = self.inner.lock().unwrap();
        let Some(item) = inner.items.get(key) else {
            return Some((404, format!("{{\"current_rev\":{}}}", inner.revision)));
        };
        let row = row(key, item);
        Some((200, format!("{},\"current_rev\":{}}}", &row[..row.len() - 1], inner.revision)))
    }

    fn range(&self, prefix: &str, after: &str) -> Answer {
        let inner = self.inner.lock().unwrap();
        let (mut rows, mut bytes, mut more) = (Vec::new(), 0, false);
        for (key, item) in inner.items.iter() {
            if !key.starts_with(prefix) || (!after.is_empty() && key.as_str() <= after) {
                continue;
            }
            if rows.len() == PAGE_ITEMS || (bytes > 0 && bytes + item.value.len() > PAGE_BYTES) {
                more = true;
                break;
            }
            bytes += item.value.len();
            rows.push(row(key, item));
        }
        Some((200, format!(
            "{{\"items\":[{}],\"has_more\":{more},\"current_rev\":{}}}", rows.join(","), inner.revision
        )))
    }

    fn watch(&self, request: &Request) -> Answer {
        let after: u64 = request.param("after").parse().ok()?;
        let wait: u64 = request.param("wait_ms").parse().ok()?;
        let prefix = request.param("prefix");
        let deadline = Instant::now() + Duration::from_millis(wait);
        let mut inner = self.inner.lock().unwrap();
        loop {
            let begin = inner.history.partition_point(|(revision, _, _)| *revision <= after);
            let events = inner.history[begin..].iter().filter(|(_, key, _)| key.starts_with(&prefix));
            let events: Vec<&str> = events.map(|(_, _, row)| row.as_str()).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let rows = events.join(",");
                return Some((200, format!("{{\"events\":[{rows}],\"current_rev\":{}}}", inner.revision)));
            }
            inner = self.changed.wait_timeout(inner, left).unwrap().0;
        }
    }

    fn commit(&self, body: &Json) -> Answer {
        let (conditions, sets, removals) =
            (body.get("precondition").list(), body.get("set_keys").list(), body.get("remove").list());
        if conditions.len() + sets.len() + removals.len() > MAX_ROWS {
            return Some((400, "{}".to_owned()));
        }
        let size = |set: &Json| set.get("value").text().len() / 4 * 3;
        let largest = sets.iter().map(size).max().unwrap_or_default();
        if largest > VALUE_BYTES + 2 {
            return Some((400, "{}".to_owned()));
        }
        self.update(|inner| {
            let revision = |key: &str| inner.items.get(key).map_or(0, |item| item.revision);
            let holds = conditions.iter().all(|row| revision(row.get("key").text()) == row.get("rev").int());
            if !holds {
                let keys = conditions.iter().map(|row| row.get("key").text());
                let rows = keys.filter_map(|key| inner.items.get(key).map(|item| row(key, item)));
                let rows: Vec<String> = rows.collect();
                return Some((412, format!("{{\"items\":[{}]}}", rows.join(","))));
            }
            let leased = sets.iter().map(|row| row.get("lease").int()).filter(|lease| *lease > 0);
            for lease in leased {
                if !inner.leases.contains_key(&lease) {
                    return Some((404, "{}".to_owned()));
                }
            }
            inner.revision += 1;
            for set in sets {
                let key = set.get("key").text();
                inner.write(key, set.get("value").text(), set.get("lease").int());
            }
            for key in removals {
                inner.remove(key.text());
            }
            Some((200, format!("{{\"rev\":{}}}", inner.revision)))
        })
    }
}
