//! Opens and renews a session at the store, and changes its view.

use super::machine::{Ownership, Purpose, ShardState, to_json};
use super::messages::Announcement;
use super::promise::View;
use super::session::{
    Opening, OpeningStage, Session, SessionRecord, address_key, alive_key, record_key,
};
use crate::ids::SessionId;
use crate::moment::Moment;
use crate::platform::{Entry, Expect, LeaseId, StoreOp, StoreReply};

impl Ownership {
    pub(super) fn tick_session(&mut self, now: Moment) {
        let needs_session = match &self.current {
            None => true,
            Some(session) => session.expired,
        };
        if needs_session && self.opening.is_none() && now >= self.retry_open && !self.stopping {
            self.open_session(now);
        }
        let interval = self.settings.session_ttl / 3;
        let Some(session) = &mut self.current else {
            return;
        };
        if !session.expired && !session.renewing && now >= session.next_renewal {
            session.renewing = true;
            session.next_renewal = now + interval;
            session.renewal_sent = now;
            let (id, lease) = (session.id, session.lease);
            self.call(Purpose::Renew(id), StoreOp::Renew { lease });
        }
        self.drop_previous();
    }

    fn open_session(&mut self, now: Moment) {
        let id = SessionId(self.next_random());
        self.opening = Some(Opening {
            id,
            stage: OpeningStage::ReadingAddress,
            sent: now,
            lease: None,
            view: self.wanted_view(now),
            version: 0,
        });
        if self.address_registered {
            self.grant_lease(now);
            return;
        }
        let key = address_key(&self.settings.peers);
        self.call(Purpose::Open, StoreOp::Get { key });
    }

    fn grant_lease(&mut self, now: Moment) {
        if let Some(opening) = &mut self.opening {
            opening.stage = OpeningStage::GrantingLease;
            opening.sent = now;
        }
        let ttl_ms = self.settings.session_ttl.as_millis() as u64;
        self.call(Purpose::Open, StoreOp::Grant { ttl_ms });
    }

    /// Registers this process as the newest at its address. Because the write
    /// names the version that was read, a late write of an earlier process fails
    /// instead of undoing it.
    fn register_address(&mut self, found: Option<&Entry>) {
        let expect = found.map_or(Expect::Absent, |found| Expect::Version(found.version));
        let op = StoreOp::Put {
            key: address_key(&self.settings.peers),
            value: to_json(&self.me),
            expect,
            lease: None,
        };
        self.call(Purpose::Open, op);
    }

    /// Handles the reply to a step of opening a session. After a lost or unexpected
    /// reply the attempt is dropped: its lease expires unused, and a new session is
    /// opened.
    pub(super) fn on_open(&mut self, reply: Option<StoreReply>, now: Moment) {
        let Some(mut opening) = self.opening.take() else {
            return;
        };
        match (opening.stage, reply) {
            (OpeningStage::ReadingAddress, Some(StoreReply::Value(found))) => {
                opening.stage = OpeningStage::RegisteringAddress;
                self.register_address(found.as_ref());
                self.opening = Some(opening);
            }
            (OpeningStage::RegisteringAddress, Some(StoreReply::Written(_))) => {
                self.address_registered = true;
                self.opening = Some(opening);
                self.grant_lease(now);
            }
            (OpeningStage::GrantingLease, Some(StoreReply::Granted(lease))) => {
                opening.lease = Some(lease);
                opening.stage = OpeningStage::WritingRecord;
                self.write_record(&opening);
                self.opening = Some(opening);
            }
            (OpeningStage::WritingRecord, Some(StoreReply::Written(version))) => {
                opening.version = version;
                opening.stage = OpeningStage::Announcing;
                self.announce(&opening);
                self.opening = Some(opening);
            }
            (OpeningStage::Announcing, Some(StoreReply::Written(_))) => {
                self.begin_session(opening);
            }
            _ => self.retry_open = now + self.settings.heartbeat_interval,
        }
    }

    fn write_record(&mut self, opening: &Opening) {
        let record = SessionRecord {
            host: self.me,
            address: self.settings.peers.clone(),
            view: opening.view.clone(),
            sealed: false,
        };
        self.call(
            Purpose::Open,
            StoreOp::Put {
                key: record_key(opening.id),
                value: to_json(&record),
                expect: Expect::Absent,
                lease: None,
            },
        );
    }

    fn announce(&mut self, opening: &Opening) {
        let announcement = Announcement {
            host: self.me,
            session: opening.id,
            name: self.settings.name.clone(),
            zone: self.settings.zone.clone(),
            peers: self.settings.peers.clone(),
            callers: self.settings.callers.clone(),
        };
        self.call(
            Purpose::Open,
            StoreOp::Put {
                key: alive_key(&self.settings.zone, opening.id),
                value: to_json(&announcement),
                expect: Expect::Any,
                lease: opening.lease,
            },
        );
    }

    fn begin_session(&mut self, opening: Opening) {
        let lease = opening.lease.unwrap_or(LeaseId(0));
        let until = opening.sent
            + self
                .settings
                .session_ttl
                .saturating_sub(self.settings.margin);
        let session = Session {
            id: opening.id,
            lease,
            view: opening.view,
            proposed: None,
            version: opening.version,
            until,
            expired: false,
            renewing: false,
            next_renewal: opening.sent + self.settings.session_ttl / 3,
            renewal_sent: opening.sent,
        };
        if let Some(old) = self.previous.take() {
            self.promises.drop_session(old.id);
        }
        self.previous = self.current.replace(session);
    }

    pub(super) fn on_renewed(&mut self, id: SessionId, reply: Option<StoreReply>, now: Moment) {
        let ttl = self.settings.session_ttl;
        let margin = self.settings.margin;
        let retry = self.settings.heartbeat_interval;
        let Some(session) = self.current.as_mut().filter(|session| session.id == id) else {
            return;
        };
        session.renewing = false;
        match reply {
            Some(StoreReply::Done) => {
                let until = session.renewal_sent + ttl.saturating_sub(margin);
                session.until = session.until.max(until);
            }
            Some(_) => session.expired = true,
            None => session.next_renewal = now + retry,
        }
    }

    /// Drops the previous session once no shard is owned under it.
    fn drop_previous(&mut self) {
        let Some(previous) = &self.previous else {
            return;
        };
        let id = previous.id;
        let used = self.shards.values().any(|state| match state {
            ShardState::Owned(owned) => owned.session == id,
            ShardState::Free(_) => false,
        });
        if !used {
            self.promises.drop_session(id);
            self.previous = None;
        }
    }

    pub(super) fn wanted_view(&self, now: Moment) -> View {
        let reachable = self.peers.iter().filter(|(_, peer)| {
            peer.zone == self.settings.zone && !peer.stopping && self.is_reachable(peer, now)
        });
        let members = reachable.filter_map(|(host, peer)| {
            let announcement = peer.announcement.as_ref()?;
            Some((*host, announcement.peers.clone()))
        });
        View {
            members: members.collect(),
        }
    }

    pub(super) fn tick_view(&mut self, now: Moment) {
        let wanted = self.wanted_view(now);
        let me = self.me;
        let address = self.settings.peers.clone();
        let Some(session) = &mut self.current else {
            return;
        };
        let leased = !session.expired && now < session.until;
        if !leased || session.proposed.is_some() || session.view == wanted {
            return;
        }
        session.proposed = Some(wanted.clone());
        let record = SessionRecord {
            host: me,
            address,
            view: wanted,
            sealed: false,
        };
        let id = session.id;
        let op = StoreOp::Put {
            key: record_key(id),
            value: to_json(&record),
            expect: Expect::Version(session.version),
            lease: None,
        };
        self.call(Purpose::WriteView(id), op);
    }

    /// Handles the reply to a write of a session's view. One that concerns a former
    /// session says nothing about the view of the current one.
    pub(super) fn on_view_written(&mut self, id: SessionId, reply: Option<StoreReply>) {
        let Some(session) = self.current.as_mut().filter(|session| session.id == id) else {
            return;
        };
        if let Some(StoreReply::Written(version)) = reply {
            session.version = version;
            if let Some(view) = session.proposed.take() {
                session.view = view;
            }
            return;
        }
        let key = record_key(id);
        self.call(Purpose::ReadView(id), StoreOp::Get { key });
    }

    /// Resolves a view change whose write was not confirmed. Until the record
    /// shows that the write took effect or no longer can, both views count.
    pub(super) fn on_view_read(&mut self, id: SessionId, reply: Option<StoreReply>) {
        let Some(session) = self.current.as_mut().filter(|session| session.id == id) else {
            return;
        };
        let key = record_key(id);
        let Some(StoreReply::Value(Some(entry))) = reply else {
            self.call(Purpose::ReadView(id), StoreOp::Get { key });
            return;
        };
        let text = entry.value.as_deref().unwrap_or_default();
        let Ok(record) = serde_json::from_str::<SessionRecord>(text) else {
            return;
        };
        if entry.version == session.version {
            let Some(view) = session.proposed.clone() else {
                return;
            };
            let value = to_json(&SessionRecord {
                host: self.me,
                address: self.settings.peers.clone(),
                view,
                sealed: false,
            });
            let expect = Expect::Version(session.version);
            let op = StoreOp::Put {
                key,
                value,
                expect,
                lease: None,
            };
            self.call(Purpose::WriteView(id), op);
            return;
        }
        session.version = entry.version;
        session.view = record.view;
        session.proposed = None;
        // Another host seals a record only after the lease has ended.
        session.expired |= record.sealed;
    }
}
