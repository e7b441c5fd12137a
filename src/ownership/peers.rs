//! What this host knows of the other entry hosts, and the requests that it may forward to them.

use std::collections::BTreeSet;

use serde::{Deserialize, Serialize};

use super::machine::{Ownership, Peer, ShardState};
use super::messages::Announcement;
use crate::drain::RemainingWork;
use crate::ids::{HostId, ShardId};
use crate::moment::Moment;

impl Ownership {
    /// The owner of a shard of any zone by the last heartbeats. If several hosts report it, the
    /// highest epoch counts.
    pub fn owner(&self, shard: ShardId, now: Moment) -> Option<HostId> {
        if let Some(ShardState::Owned(_)) = self.shards.get(&shard) {
            return Some(self.me);
        }
        let reachable = self
            .peers
            .iter()
            .filter(|(_, peer)| self.is_reachable(peer, now));
        reachable
            .filter_map(|(host, peer)| {
                let owned = peer.owned.iter().find(|owned| owned.shard == shard)?;
                Some((owned.epoch, *host))
            })
            .max()
            .map(|(_, host)| host)
    }

    /// The reachable peer with the most free interactive slots, of this zone or, while
    /// this zone is evacuated, of a zone that is not.
    pub fn freest_peer(&self, now: Moment) -> Option<HostId> {
        let candidates = self.serving_peers(now).filter(|(_, peer)| peer.free > 0);
        candidates
            .max_by_key(|(_, peer)| peer.free)
            .map(|(host, _)| host)
    }

    /// Whether a reachable peer may serve requests of this host.
    pub fn has_serving_peer(&self, now: Moment) -> bool {
        self.serving_peers(now).next().is_some()
    }

    /// The reachable peers that may serve requests of this host.
    fn serving_peers(&self, now: Moment) -> impl Iterator<Item = (HostId, &Peer)> {
        let own = &self.settings.zone;
        let evacuated = self.is_evacuated(own);
        let peers = self.peers.iter().map(|(host, peer)| (*host, peer));
        peers.filter(move |(_, peer)| {
            let serves = match evacuated {
                true => !self.is_evacuated(&peer.zone),
                false => peer.zone == *own,
            };
            serves && !peer.stopping && self.is_reachable(peer, now)
        })
    }

    /// Whether a zone is evacuated, as this host knows.
    pub(super) fn is_evacuated(&self, zone: &str) -> bool {
        self.summary.evacuated.zones.contains(zone)
    }

    /// What still runs on the workers of a peer, by its last heartbeat. Absent if the
    /// peer is not reachable or does not know that the zone is evacuated, because it may
    /// then still start work.
    pub fn remaining_at(&self, host: HostId, zone: &str, now: Moment) -> Option<RemainingWork> {
        let peer = self.peers.get(&host)?;
        let follows = peer.evacuated.contains(zone) && self.is_reachable(peer, now);
        follows.then_some(peer.remaining)
    }

    /// Reserves a slot of a peer to which a request is forwarded, until its next heartbeat.
    pub fn reserve_slot(&mut self, host: HostId) {
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.free = peer.free.saturating_sub(1);
        }
    }

    /// Frees the slot of a request that was forwarded and has ended.
    pub fn release_slot(&mut self, host: HostId) {
        if let Some(peer) = self.peers.get_mut(&host) {
            peer.free += 1;
        }
    }

    /// Number of free interactive slots of the peer that [`Ownership::freest_peer`] names.
    pub fn peer_slots(&self, now: Moment) -> u32 {
        let freest = self.freest_peer(now);
        let peer = freest.and_then(|host| self.peers.get(&host));
        peer.map_or(0, |peer| peer.free)
    }

    /// A reachable host whose configuration is newer than `revision`, if there is one.
    pub fn newer_peer(&self, revision: u64, now: Moment) -> Option<HostId> {
        let mut reachable = self
            .peers
            .iter()
            .filter(|(_, peer)| self.is_reachable(peer, now));
        reachable
            .find(|(_, peer)| peer.revision > revision)
            .map(|(host, _)| *host)
    }

    /// The configuration revision of every announced host, reachable or not.
    pub fn revisions(&self, now: Moment) -> Vec<HostRevision> {
        self.peers
            .iter()
            .filter_map(|(host, peer)| {
                let announcement = peer.announcement.as_ref()?;
                Some(HostRevision {
                    host: *host,
                    name: announcement.name.clone(),
                    zone: announcement.zone.clone(),
                    revision: peer.revision,
                    evacuated: peer.evacuated.clone(),
                    reachable: self.is_reachable(peer, now),
                })
            })
            .collect()
    }

    /// Handles the announcements of all entry hosts whose sessions are alive.
    pub fn on_announcements(&mut self, all: &[Announcement], now: Moment) {
        let present: BTreeSet<HostId> = all.iter().map(|each| each.host).collect();
        let me = self.me;
        for each in all.iter().filter(|each| each.host != me) {
            self.ensure_peer(each.host, &each.zone, now).announcement = Some(each.clone());
        }
        for (host, peer) in &mut self.peers {
            if !present.contains(host) {
                peer.announcement = None;
            }
        }
    }

    /// Handles a new connection to another entry process: a heartbeat is due at once.
    pub fn on_connected(&mut self, host: HostId, zone: &str, now: Moment) {
        let peer = self.ensure_peer(host, zone, now);
        peer.next_heartbeat = now;
    }

    /// Records that a process has certainly ended.
    pub fn on_dead(&mut self, host: HostId, zone: &str, now: Moment) {
        self.ensure_peer(host, zone, now).last_heard = None;
        self.dead.entry(host).or_insert(now);
    }

    pub(super) fn ensure_peer(&mut self, host: HostId, zone: &str, now: Moment) -> &mut Peer {
        self.peers.entry(host).or_insert_with(|| Peer {
            announcement: None,
            zone: zone.to_owned(),
            last_heard: None,
            owned: Vec::new(),
            free: 0,
            revision: 0,
            evacuated: BTreeSet::new(),
            remaining: RemainingWork::default(),
            stopping: false,
            next_heartbeat: now,
        })
    }

    pub(super) fn is_reachable(&self, peer: &Peer, now: Moment) -> bool {
        let same_zone = peer.zone == self.settings.zone;
        let timeout = match same_zone {
            true => self.settings.peer_timeout,
            false => self.settings.remote_interval * 3,
        };
        peer.last_heard.is_some_and(|heard| now - heard < timeout)
    }
}

/// A host and the revision of its configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostRevision {
    /// The entry process.
    pub host: HostId,
    /// The name that the host announced.
    pub name: String,
    /// The availability zone that it announced.
    pub zone: String,
    /// The revision in force there, by its last heartbeat.
    pub revision: u64,
    /// The evacuated zones that the host knows of, by its last heartbeat.
    #[serde(default)]
    pub evacuated: BTreeSet<String>,
    /// Whether a recent heartbeat of the host has arrived.
    pub reachable: bool,
}
