//! Heartbeats between entry hosts, and the promises that answer them.

use std::time::Duration;

use super::machine::{Ownership, ShardState};
use super::messages::{OwnedShard, PeerMessage};
use crate::ids::{HostId, SessionId};
use crate::moment::Moment;

impl Ownership {
    pub(super) fn tick_heartbeats(&mut self, now: Moment) {
        let due: Vec<HostId> = self
            .peers
            .iter()
            .filter(|(host, peer)| !self.dead.contains_key(host) && now >= peer.next_heartbeat)
            .map(|(host, _)| *host)
            .collect();
        for host in due {
            let interval = self.interval(&self.peers[&host].zone);
            if let Some(peer) = self.peers.get_mut(&host) {
                peer.next_heartbeat = now + interval;
            }
            let message = self.heartbeat(now);
            self.send(host, message);
        }
    }

    /// Returns the time between two heartbeats to a host of this zone. Hosts of an
    /// evacuated zone forward all requests to other zones and need to know the free slots
    /// there; other hosts need to know what still runs in the zone.
    fn interval(&self, zone: &str) -> Duration {
        let own = &self.settings.zone;
        let close = zone == own || self.is_evacuated(zone) || self.is_evacuated(own);
        match close {
            true => self.settings.heartbeat_interval,
            false => self.settings.remote_interval,
        }
    }

    fn heartbeat(&self, now: Moment) -> PeerMessage {
        let sessions = self.current.iter().chain(&self.previous);
        PeerMessage::Heartbeat {
            sessions: sessions.map(|session| session.id).collect(),
            sent: now.as_micros(),
            owned: self.owned(now),
            revision: self.summary.revision,
            leaving: self.summary.leaving.clone(),
            evacuated: self.summary.evacuated.clone(),
            remaining: self.summary.remaining,
            free: self.summary.free,
            stopping: self.stopping,
        }
    }

    fn owned(&self, now: Moment) -> Vec<OwnedShard> {
        let owned = self.shards.iter().filter_map(|(shard, state)| match state {
            ShardState::Owned(owned) if self.session_may_act(owned.session, now) => {
                Some(OwnedShard {
                    shard: *shard,
                    epoch: owned.epoch,
                })
            }
            _ => None,
        });
        owned.collect()
    }

    /// Makes a heartbeat to every peer due at once, because the owned shards or
    /// the configuration have changed.
    pub fn trigger_heartbeats(&mut self) {
        for peer in self.peers.values_mut() {
            peer.next_heartbeat = Moment::default();
        }
    }

    pub(super) fn answer_heartbeat(
        &mut self,
        from: HostId,
        sessions: &[SessionId],
        sent: u64,
        now: Moment,
    ) {
        let ttl = self.settings.promise_ttl;
        let promised = sessions
            .iter()
            .copied()
            .filter(|session| self.promises.promise(*session, ttl, now))
            .collect();
        self.send(from, PeerMessage::Ack { sent, promised });
    }

    /// Records the promises in an answer. They count from the moment at which the
    /// heartbeat was sent, so that they end here before they end at the peer.
    pub(super) fn on_ack(&mut self, from: HostId, sent: u64, promised: &[SessionId]) {
        let ttl = self
            .settings
            .promise_ttl
            .saturating_sub(self.settings.margin);
        let until = PeerMessage::sent_at(sent) + ttl;
        for session in promised {
            self.promises.receive(*session, from, until);
        }
    }
}
