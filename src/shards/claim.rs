//! Decides whether and when a host claims a shard.

use std::collections::HashMap;
use std::time::Duration;

use super::Layout;
use crate::fleet::{HEARTBEAT_LEASE, PoolLoad, longest_span};
use crate::ids::stable_hash;
use crate::moment::Moment;

/// An owner gives no more orders once the store has not accepted a heartbeat of it for
/// this long.
pub const OWNER_TIMEOUT: Duration = Duration::from_secs(6);
/// The limit on the lease that an owner gives to a run.
pub const MAX_LEASE: Duration = Duration::from_secs(5);
/// By how much the clocks of two hosts may differ over the time of a recovery.
const CLOCK_MARGIN: Duration = Duration::from_millis(100);
/// Hosts of the shard's own zone claim within this time, each after its own delay.
const HOME_ZONE_JITTER: Duration = Duration::from_millis(120);
/// The additional delay of hosts of other zones.
const OTHER_ZONE_DELAY: Duration = Duration::from_millis(1500);
/// The time over which the claims of hosts of other zones are spread.
const OTHER_ZONE_JITTER: Duration = Duration::from_millis(800);
/// The additional delay of a claim for each shard that the host already owns.
const OWNED_SHARD_DELAY: Duration = Duration::from_millis(400);
/// The additional delay of a weak host, so that strong hosts of other zones claim
/// before it.
const WEAK_HOST_DELAY: Duration = Duration::from_millis(2500);
/// How long a weak host owns a shard before a strong one may take it over.
const WEAK_OWNER_DELAY: Duration = Duration::from_secs(2);
/// A host is weak if the strongest one has more than this many times its processor
/// power.
const WEAK_HOST_RATIO: u32 = 2;

/// What a new owner knows of the former owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FormerOwner {
    /// The former owner has ended, or has released the shard, and so have those before it.
    Ended,
    /// The former owner has ended, or has released the shard; one before it may give orders.
    LastEnded,
    /// The former owner, or one before it, may be partitioned from the store and give orders
    /// until its last heartbeat is too old.
    Unknown,
}

/// Returns the time by which every run that a former owner started has ended, even
/// if the new owner cannot reach the workers.
///
/// The former owner is known at `now` to have ended, if it has.
///
/// ```
/// use std::time::Duration;
/// use lycheelock::moment::Moment;
/// use lycheelock::shards::{FormerOwner, Heard, recovery_deadline};
///
/// let second = |second: u64| Moment::from_micros(second * 1_000_000);
/// let heard = Heard { last: second(30), before: second(28) };
/// let deadline = |former, now| recovery_deadline(former, heard, second(now));
/// assert!(deadline(FormerOwner::Ended, 30) < deadline(FormerOwner::Unknown, 30));
/// // A host that learns late that the owner has ended does not wait longer for that.
/// assert_eq!(deadline(FormerOwner::Ended, 40), deadline(FormerOwner::Unknown, 40));
/// ```
pub fn recovery_deadline(former: FormerOwner, heard: Heard, now: Moment) -> Moment {
    let ended = now + longest_span(MAX_LEASE);
    let unknown = leases_end(heard.last);
    match former {
        FormerOwner::Ended => ended.min(unknown),
        FormerOwner::LastEnded => ended.max(leases_end(heard.before)).min(unknown),
        FormerOwner::Unknown => unknown,
    }
}

/// Returns the time by which the leases that an owner gave have ended, if this host knew of the
/// owner's last heartbeat at `heard`.
fn leases_end(heard: Moment) -> Moment {
    heard + HEARTBEAT_LEASE + CLOCK_MARGIN
}

/// When a host knew of the last heartbeats of a shard's owners, which sent them before.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Heard {
    /// Of the last owner.
    pub last: Moment,
    /// Of the owners before it.
    pub before: Moment,
}

/// The newest incarnation of each host's process, by the name of the host.
pub type Incarnations = HashMap<String, Incarnation>;

/// The newest incarnation of a host's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Incarnation {
    /// The id of the incarnation.
    pub id: u64,
    /// The highest fencing token under which the incarnation gives no more orders; this
    /// includes all lower tokens.
    pub resigned: u64,
}

/// The last owner of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owner {
    /// The name of the owner's host.
    pub host: String,
    /// The incarnation of the process that owned the shard.
    pub incarnation: u64,
    /// The owner's fencing token; after a release, the store revision of that.
    pub fence: u64,
    /// Whether the owner released the shard.
    pub released: bool,
}

/// The leased key that shows that a shard's owner is alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OwnerLease {
    /// The name of the owner's host.
    pub host: String,
    /// The incarnation of the process that owns the shard.
    pub incarnation: u64,
    /// The revision of the key.
    pub revision: u64,
    /// The processor time that the host may use, in thousandths of a core.
    pub millicores: u32,
}

/// What a host knows of a shard's ownership.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OwnershipView {
    /// The revision of the shard's epoch; 0 before the first claim.
    pub epoch: u64,
    /// The last owner; absent before the first claim.
    pub owner: Option<Owner>,
    /// The owner lease; absent if it has expired or was released.
    pub owner_lease: Option<OwnerLease>,
    /// Since when this host has seen this owner lease, or its absence.
    pub since: Moment,
    /// The revision of the last heartbeat of an owner; 0 before the first claim.
    pub heartbeat: u64,
    /// When this host knew of the last heartbeats.
    pub heard: Heard,
    /// The load of the shard's pools by the last heartbeat.
    pub pools: Vec<PoolLoad>,
}

/// A host that may claim a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The name of the host.
    pub host: String,
    /// The incarnation of the host's process.
    pub incarnation: u64,
    /// The availability zone of the host.
    pub zone: String,
    /// The names of all availability zones.
    pub zones: Vec<String>,
    /// How the workers are divided into shards.
    pub layout: Layout,
    /// The number of shards that the host owns.
    pub owned: u32,
    /// The processor time that the host may use, in thousandths of a core.
    pub millicores: u32,
    /// The processor time that the strongest known host may use, in thousandths of a core.
    pub strongest: u32,
}

/// What a host does about a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClaimDecision {
    /// Another host owns the shard; wait for a change.
    Follow,
    /// Claim the shard at that moment, if nothing changes before.
    ClaimAt(Moment),
    /// Claim the shard now, if the owner lease and the epoch still have these revisions.
    Claim {
        /// The revision of the owner lease; 0 if there is none.
        owner_lease: u64,
        /// The revision of the epoch; 0 if there is none.
        epoch: u64,
    },
}

impl Candidate {
    /// Decides what this host does about a shard.
    ///
    /// ```
    /// use lycheelock::moment::Moment;
    /// use lycheelock::shards::{Candidate, ClaimDecision, Layout, OwnerLease, OwnershipView};
    ///
    /// let layout = Layout::Whole;
    /// let me = Candidate {
    ///     host: "a1".into(),
    ///     incarnation: 2,
    ///     zone: "a".into(),
    ///     zones: vec!["a".into()],
    ///     layout,
    ///     owned: 0,
    ///     millicores: 100,
    ///     strongest: 100,
    /// };
    /// let former = OwnerLease {
    ///     host: "a1".into(),
    ///     incarnation: 1,
    ///     revision: 9,
    ///     millicores: 100,
    /// };
    /// let view = OwnershipView { epoch: 8, owner_lease: Some(former), ..OwnershipView::default() };
    /// let decision = me.decide("a", &view, Moment::default());
    /// assert_eq!(decision, ClaimDecision::Claim { owner_lease: 9, epoch: 8 });
    /// ```
    pub fn decide(&self, shard: &str, view: &OwnershipView, now: Moment) -> ClaimDecision {
        let epoch = view.epoch;
        match &view.owner_lease {
            // The owner is a former incarnation of this host's process, which has ended.
            Some(owner_lease) if self.is_former_incarnation(owner_lease) && !self.is_weak() => {
                ClaimDecision::Claim {
                    owner_lease: owner_lease.revision,
                    epoch,
                }
            }
            Some(owner_lease) if is_weak(owner_lease.millicores, self.millicores) => {
                let at = view.since + WEAK_OWNER_DELAY + self.delay(shard);
                claim_at(at, owner_lease.revision, epoch, now)
            }
            Some(_) => ClaimDecision::Follow,
            None => claim_at(view.since + self.delay(shard), 0, epoch, now),
        }
    }

    fn is_former_incarnation(&self, owner_lease: &OwnerLease) -> bool {
        owner_lease.host == self.host && owner_lease.incarnation != self.incarnation
    }

    fn is_weak(&self) -> bool {
        is_weak(self.millicores, self.strongest)
    }

    /// Returns what this host knows of the former owner, given the newest known
    /// incarnation of that owner's host, and the revision of the mark that no earlier owner
    /// gives orders any more (0 if there is none). Without a mark since the former owner's claim
    /// or release, the owner before it may still give orders.
    ///
    /// ```
    /// use lycheelock::shards::{Candidate, FormerOwner, Incarnation, Layout, Owner};
    ///
    /// let layout = Layout::Whole;
    /// let me = Candidate {
    ///     host: "a1".into(),
    ///     incarnation: 2,
    ///     zone: "a".into(),
    ///     zones: vec!["a".into()],
    ///     layout,
    ///     owned: 0,
    ///     millicores: 100,
    ///     strongest: 100,
    /// };
    /// let owner = Owner { host: "a2".into(), incarnation: 7, fence: 30, released: false };
    /// let incarnation = |id, resigned| Some(Incarnation { id, resigned });
    /// let recovered = 31;
    /// assert_eq!(me.former_owner(&owner, incarnation(7, 0), recovered), FormerOwner::Unknown);
    /// assert_eq!(me.former_owner(&owner, incarnation(7, 30), recovered), FormerOwner::Ended);
    /// assert_eq!(me.former_owner(&owner, incarnation(8, 0), recovered), FormerOwner::Ended);
    /// assert_eq!(me.former_owner(&owner, incarnation(8, 0), 29), FormerOwner::LastEnded);
    /// ```
    pub fn former_owner(
        &self,
        owner: &Owner,
        incarnation: Option<Incarnation>,
        recovered: u64,
    ) -> FormerOwner {
        let own_former = owner.host == self.host && owner.incarnation != self.incarnation;
        let replaced = incarnation.is_some_and(|incarnation| incarnation.id != owner.incarnation);
        let resigned = incarnation.is_some_and(|incarnation| incarnation.resigned >= owner.fence);
        let ended = owner.released || own_former || replaced || resigned;
        match (ended, recovered >= owner.fence) {
            (true, true) => FormerOwner::Ended,
            (true, false) => FormerOwner::LastEnded,
            (false, _) => FormerOwner::Unknown,
        }
    }

    fn delay(&self, shard: &str) -> Duration {
        const BUCKETS: u64 = 1000;
        let bucket = stable_hash(format!("{}/{shard}", self.host).as_bytes()) % BUCKETS;
        let share = bucket as f64 / BUCKETS as f64;
        let zone_delay = if self.layout.is_home(shard, &self.zones, &self.zone) {
            HOME_ZONE_JITTER.mul_f64(share)
        } else {
            OTHER_ZONE_DELAY + OTHER_ZONE_JITTER.mul_f64(share)
        };
        let weakness_delay = if self.is_weak() {
            WEAK_HOST_DELAY
        } else {
            Duration::ZERO
        };
        zone_delay + weakness_delay + OWNED_SHARD_DELAY * self.owned
    }
}

/// Whether a host is too weak to own a shard while the other host is available.
const fn is_weak(millicores: u32, other: u32) -> bool {
    millicores.saturating_mul(WEAK_HOST_RATIO) < other
}

fn claim_at(at: Moment, owner_lease: u64, epoch: u64, now: Moment) -> ClaimDecision {
    if at <= now {
        ClaimDecision::Claim { owner_lease, epoch }
    } else {
        ClaimDecision::ClaimAt(at)
    }
}
