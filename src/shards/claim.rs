//! Decides whether and when to claim a shard.

use std::collections::HashMap;
use std::time::Duration;

use super::Layout;
use crate::fleet::SLOWEST;
use crate::ids::stable_hash;
use crate::moment::Moment;

/// An owner that the store has not confirmed for this long gives no orders.
pub const GIVES_UP: Duration = Duration::from_secs(6);
/// The longest lease that any owner gives to a run.
pub const LONGEST_LEASE: Duration = Duration::from_secs(5);
/// Hosts of the shard's own zone claim within this span, each after its own delay.
const HOME_SPREAD: Duration = Duration::from_millis(120);
/// How much later hosts of other zones claim, and how far they spread.
const AWAY_DELAY: Duration = Duration::from_millis(1500);
const AWAY_SPREAD: Duration = Duration::from_millis(800);
/// How much later a host claims for each shard that it owns already.
const BUSY_DELAY: Duration = Duration::from_millis(400);
/// How much later a host claims whose processor is weak: strong hosts of other
/// zones come before it.
const WEAK_DELAY: Duration = Duration::from_millis(2500);
/// How long a weak host owns a shard before a strong one takes it over.
const WEAK_TERM: Duration = Duration::from_secs(2);
/// A host is weak if the strongest one has more than this many times its power.
const WEAK_FACTOR: u32 = 2;

/// What is known of the owner before a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Former {
    /// It has ended, or has given the shard up.
    Ended,
    /// It may be cut off and go on until it gives up.
    Unknown,
}

/// When no run that a former owner started can exist any more, if its workers
/// cannot be asked.
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
    let lapsed = claimed + LONGEST_LEASE.mul_f64(SLOWEST);
    match former {
        Former::Ended => lapsed,
        Former::Unknown => lapsed + GIVES_UP,
    }
}

/// The newest life of each host's process.
pub type Lives = HashMap<String, Life>;

/// The newest life of a host's process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Life {
    /// Tells it from others.
    pub life: u64,
    /// It gives no orders under this fencing token or a lower one any more.
    pub resigned: u64,
}

/// The last owner of a shard.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owner {
    /// The name of its host.
    pub host: String,
    /// Which life of its process.
    pub life: u64,
    /// Its fencing token.
    pub fence: u64,
    /// Whether it gave the shard up.
    pub released: bool,
}

/// The hint that a shard's owner lives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hint {
    /// The name of the owner's host.
    pub host: String,
    /// Which life of its process.
    pub life: u64,
    /// The revision of the hint.
    pub revision: u64,
    /// What the host may use of its processor, in thousandths of a core.
    pub millicores: u32,
}

/// What is known of a shard's ownership.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct View {
    /// The revision of the epoch; 0 before the first claim.
    pub epoch: u64,
    /// The last owner; none before the first claim.
    pub owner: Option<Owner>,
    /// The hint, if there is one.
    pub hint: Option<Hint>,
    /// Since when this host has seen this hint, or none.
    pub since: Moment,
}

/// Who might claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Candidate {
    /// The name of the host.
    pub host: String,
    /// This life of its process.
    pub life: u64,
    /// Its availability zone.
    pub zone: String,
    /// How the workers are divided.
    pub layout: Layout,
    /// How many shards it owns.
    pub owned: u32,
    /// What it may use of its processor, in thousandths of a core.
    pub millicores: u32,
    /// The same of the strongest host that is known.
    pub strongest: u32,
}

/// What to do about a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Somebody owns it; wait for a change.
    Follow,
    /// Claim it at that moment, if nothing changes before.
    ClaimAt(Moment),
    /// Claim it now, if hint and epoch still have these revisions.
    Claim {
        /// The revision of the hint; 0: there is none.
        hint: u64,
        /// The revision of the epoch; 0: there is none.
        epoch: u64,
    },
}

impl Candidate {
    /// What this host does about a shard.
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
            // An earlier life of this process has ended.
            Some(hint) if self.is_former_life(hint) && !self.is_weak() => Step::Claim {
                hint: hint.revision,
                epoch,
            },
            Some(hint) if is_weak(hint.millicores, self.millicores) => {
                let at = view.since + WEAK_TERM + self.delay(shard);
                claim_at(at, hint.revision, epoch, now)
            }
            Some(_) => Step::Follow,
            None => claim_at(view.since + self.delay(shard), 0, epoch, now),
        }
    }

    fn is_former_life(&self, hint: &Hint) -> bool {
        hint.host == self.host && hint.life != self.life
    }

    fn is_weak(&self) -> bool {
        is_weak(self.millicores, self.strongest)
    }

    /// What this host knows of the owner before it; `life` is the newest life
    /// of the owner's host that is known.
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
        let here = owner.host == self.host && owner.life != self.life;
        let replaced = life.is_some_and(|life| life.life != owner.life);
        let resigned = life.is_some_and(|life| life.resigned >= owner.fence);
        if owner.released || here || replaced || resigned {
            Former::Ended
        } else {
            Former::Unknown
        }
    }

    fn delay(&self, shard: &str) -> Duration {
        const STEPS: u64 = 1000;
        let place = stable_hash(format!("{}/{shard}", self.host).as_bytes()) % STEPS;
        let share = place as f64 / STEPS as f64;
        let spread = if self.layout.is_home(shard, &self.zone) {
            HOME_SPREAD.mul_f64(share)
        } else {
            AWAY_DELAY + AWAY_SPREAD.mul_f64(share)
        };
        let wait = if self.is_weak() {
            WEAK_DELAY
        } else {
            Duration::ZERO
        };
        spread + wait + BUSY_DELAY * self.owned
    }
}

/// Whether a host is too weak to own a shard while another is there.
const fn is_weak(millicores: u32, other: u32) -> bool {
    millicores.saturating_mul(WEAK_FACTOR) < other
}

fn claim_at(at: Moment, hint: u64, epoch: u64, now: Moment) -> Step {
    if at <= now {
        Step::Claim { hint, epoch }
    } else {
        Step::ClaimAt(at)
    }
}
