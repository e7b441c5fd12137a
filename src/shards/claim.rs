//! Decides whether and when a host claims a shard.

use std::collections::HashMap;
use std::time::Duration;

use super::Layout;
use crate::fleet::SLOWEST;
use crate::ids::stable_hash;
use crate::moment::Moment;

/// An owner gives no more orders once the store has not confirmed its ownership for
/// this long.
pub const GIVES_UP: Duration = Duration::from_secs(6);
/// The limit on the lease that an owner gives to a run.
pub const MAX_LEASE: Duration = Duration::from_secs(5);
/// Hosts of the shard's own zone claim within this time, each after its own delay.
const HOME_ZONE_JITTER: Duration = Duration::from_millis(120);
/// The additional delay of hosts of other zones, and the time over which their
/// claims are spread.
const OTHER_ZONE_DELAY: Duration = Duration::from_millis(1500);
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
pub enum Former {
    /// The former owner has ended, or has released the shard.
    Ended,
    /// The former owner may be partitioned from the store and give orders until its
    /// timeout.
    Unknown,
}

/// Returns by when no run that a former owner started still exists, even if its
/// workers cannot be reached.
///
/// ```
/// use lycheelock::moment::Moment;
/// use lycheelock::shards::{Former, GIVES_UP, settles};
///
/// let claimed = Moment::default();
/// let ended = settles(Former::Ended, claimed);
/// assert_eq!(settles(Former::Unknown, claimed), ended + GIVES_UP);
/// ```
pub fn settles(former: Former, claimed: Moment) -> Moment {
    let leases_ended = claimed + MAX_LEASE.mul_f64(SLOWEST);
    match former {
        Former::Ended => leases_ended,
        Former::Unknown => leases_ended + GIVES_UP,
    }
}

/// The newest incarnation of each host's process, by the name of the host.
pub type Lives = HashMap<String, Life>;

/// The newest incarnation of a host's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Life {
    /// The id of the incarnation.
    pub life: u64,
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
    pub life: u64,
    /// The owner's fencing token.
    pub fence: u64,
    /// Whether the owner released the shard.
    pub released: bool,
}

/// The leased key that shows that a shard's owner is alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hint {
    /// The name of the owner's host.
    pub host: String,
    /// The incarnation of the process that owned the shard.
    pub life: u64,
    /// The revision of the key.
    pub revision: u64,
    /// The processor time that the host may use, in thousandths of a core.
    pub millicores: u32,
}

/// What a host knows of a shard's ownership.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    /// The revision of the shard's epoch; 0 before the first claim.
    pub epoch: u64,
    /// The last owner; absent before the first claim.
    pub owner: Option<Owner>,
    /// The owner lease; absent if it has expired or was released.
    pub hint: Option<Hint>,
    /// Since when this host has seen this owner lease, or its absence.
    pub since: Moment,
}

/// A host that may claim a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The name of the host.
    pub host: String,
    /// The incarnation of the host's process.
    pub life: u64,
    /// The availability zone of the host.
    pub zone: String,
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
pub enum Step {
    /// Another host owns the shard; wait for a change.
    Follow,
    /// Claim the shard at that moment, if nothing changes before.
    ClaimAt(Moment),
    /// Claim the shard now, if the owner lease and the epoch still have these revisions.
    Claim {
        /// The revision of the owner lease; 0 if there is none.
        hint: u64,
        /// The revision of the epoch; 0 if there is none.
        epoch: u64,
    },
}

impl Candidate {
    /// Decides what this host does about a shard.
    ///
    /// ```
    /// use lycheelock::moment::Moment;
    /// use lycheelock::shards::{Candidate, Hint, Layout, Step, View};
    ///
    /// let layout = Layout::Whole;
    /// let me = Candidate {
    ///     host: "a1".into(),
    ///     life: 2,
    ///     zone: "a".into(),
    ///     layout,
    ///     owned: 0,
    ///     millicores: 100,
    ///     strongest: 100,
    /// };
    /// let former = Hint { host: "a1".into(), life: 1, revision: 9, millicores: 100 };
    /// let view = View { epoch: 8, hint: Some(former), ..View::default() };
    /// let step = me.step("a", &view, Moment::default());
    /// assert_eq!(step, Step::Claim { hint: 9, epoch: 8 });
    /// ```
    pub fn step(&self, shard: &str, view: &View, now: Moment) -> Step {
        let epoch = view.epoch;
        match &view.hint {
            // The owner is an earlier incarnation of this process, which has ended.
            Some(hint) if self.is_former_incarnation(hint) && !self.is_weak() => Step::Claim {
                hint: hint.revision,
                epoch,
            },
            Some(hint) if is_weak(hint.millicores, self.millicores) => {
                let at = view.since + WEAK_OWNER_DELAY + self.delay(shard);
                claim_at(at, hint.revision, epoch, now)
            }
            Some(_) => Step::Follow,
            None => claim_at(view.since + self.delay(shard), 0, epoch, now),
        }
    }

    fn is_former_incarnation(&self, hint: &Hint) -> bool {
        hint.host == self.host && hint.life != self.life
    }

    fn is_weak(&self) -> bool {
        is_weak(self.millicores, self.strongest)
    }

    /// Returns what this host knows of the former owner, given the newest known
    /// incarnation of that owner's host.
    ///
    /// ```
    /// use lycheelock::shards::{Candidate, Former, Layout, Life, Owner};
    ///
    /// let layout = Layout::Whole;
    /// let me = Candidate {
    ///     host: "a1".into(),
    ///     life: 2,
    ///     zone: "a".into(),
    ///     layout,
    ///     owned: 0,
    ///     millicores: 100,
    ///     strongest: 100,
    /// };
    /// let owner = Owner { host: "a2".into(), life: 7, fence: 30, released: false };
    /// let life = |life, resigned| Some(Life { life, resigned });
    /// assert_eq!(me.former(&owner, life(7, 0)), Former::Unknown);
    /// assert_eq!(me.former(&owner, life(7, 30)), Former::Ended);
    /// assert_eq!(me.former(&owner, life(8, 0)), Former::Ended);
    /// ```
    pub fn former(&self, owner: &Owner, life: Option<Life>) -> Former {
        let own_former = owner.host == self.host && owner.life != self.life;
        let replaced = life.is_some_and(|life| life.life != owner.life);
        let resigned = life.is_some_and(|life| life.resigned >= owner.fence);
        if owner.released || own_former || replaced || resigned {
            Former::Ended
        } else {
            Former::Unknown
        }
    }

    fn delay(&self, shard: &str) -> Duration {
        const BUCKETS: u64 = 1000;
        let bucket = stable_hash(format!("{}/{shard}", self.host).as_bytes()) % BUCKETS;
        let share = bucket as f64 / BUCKETS as f64;
        let zone_delay = if self.layout.is_home(shard, &self.zone) {
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

fn claim_at(at: Moment, hint: u64, epoch: u64, now: Moment) -> Step {
    if at <= now {
        Step::Claim { hint, epoch }
    } else {
        Step::ClaimAt(at)
    }
}
