use std::time::Duration;

use super::{
    Candidate, ClaimDecision, FormerOwner, Heard, Layout, NO_FORMER_OWNER, OWNER_TIMEOUT, Owner,
    OwnerLease, OwnerRecord, OwnershipView, OwnershipViews, recovery_deadline,
};
use crate::fleet::{Clock, HEARTBEAT_LEASE, RUN_LEASE};
use crate::moment::Moment;

fn host(name: &str, zone: &str) -> Candidate {
    Candidate {
        host: name.to_owned(),
        incarnation: 1,
        zone: zone.to_owned(),
        zones: vec!["a".to_owned(), "b".to_owned()],
        layout: Layout::Zones(1),
        owned: 0,
        millicores: 100,
        strongest: 100,
    }
}

fn at(millis: u64) -> Moment {
    Moment::from_micros(millis * 1000)
}

#[test]
fn host_does_not_claim_shard_with_live_owner() {
    let owner_lease = OwnerLease {
        host: "a2".to_owned(),
        incarnation: 5,
        revision: 3,
        millicores: 100,
    };
    let view = OwnershipView {
        owner_lease: Some(owner_lease),
        ..OwnershipView::default()
    };
    assert_eq!(
        host("a1", "a").decide("a.0", &view, at(60_000)),
        ClaimDecision::Follow
    );
}

#[test]
fn hosts_of_home_zone_claim_before_other_hosts() {
    let view = OwnershipView::default();
    let claim_time = |name: &str, zone: &str| match host(name, zone).decide("a.0", &view, at(0)) {
        ClaimDecision::ClaimAt(at) => at,
        ClaimDecision::Claim { .. } => at(0),
        ClaimDecision::Follow => panic!("nobody owns the shard"),
    };
    let home_zone = (0..8)
        .map(|n| claim_time(&format!("a{n}"), "a"))
        .max()
        .unwrap();
    let other_zone = (0..8)
        .map(|n| claim_time(&format!("b{n}"), "b"))
        .min()
        .unwrap();
    assert!(home_zone < other_zone);
}

#[test]
fn weak_host_of_home_zone_claims_after_strong_hosts_of_other_zones() {
    let view = OwnershipView::default();
    let claim_time = |zone: &str, millicores: u32| {
        let candidate = Candidate {
            millicores,
            strongest: 500,
            ..host("h1", zone)
        };
        match candidate.decide("a.0", &view, at(0)) {
            ClaimDecision::ClaimAt(at) => at,
            ClaimDecision::Claim { .. } => at(0),
            ClaimDecision::Follow => panic!("nobody owns the shard"),
        }
    };
    assert!(claim_time("a", 500) < claim_time("b", 500));
    assert!(claim_time("b", 500) < claim_time("a", 69));
    assert!(
        claim_time("a", 250) < claim_time("b", 500),
        "half the power is enough"
    );
}

fn strong(name: &str) -> Candidate {
    Candidate {
        millicores: 500,
        strongest: 500,
        ..host(name, "a")
    }
}

fn weak(name: &str) -> Candidate {
    Candidate {
        millicores: 69,
        ..strong(name)
    }
}

fn owner(host: &str, incarnation: u64) -> OwnerRecord {
    OwnerRecord {
        host: host.to_owned(),
        incarnation,
        released: false,
        resigned: 0,
        millicores: 69,
        former_age: 0,
        pools: Vec::new(),
    }
}

#[test]
fn host_that_just_started_waits_for_its_claim_delay() {
    let mut views = OwnershipViews::default();
    views.on_epoch("a.0", owner("a9", 4), 8, at(60_000));
    let decision = weak("a1").decide("a.0", &views.get("a.0"), at(60_000));
    assert!(matches!(decision, ClaimDecision::ClaimAt(due) if due >= at(62_500)));
}

#[test]
fn strong_host_takes_over_shard_of_weak_host() {
    let owner_lease = OwnerLease {
        host: "a2".to_owned(),
        incarnation: 5,
        revision: 3,
        millicores: 69,
    };
    let view = OwnershipView {
        epoch: 2,
        owner_lease: Some(owner_lease),
        ..OwnershipView::default()
    };
    let claim = ClaimDecision::Claim {
        owner_lease: 3,
        epoch: 2,
    };
    assert!(matches!(
        strong("a1").decide("a.0", &view, at(1000)),
        ClaimDecision::ClaimAt(_)
    ));
    assert_eq!(strong("a1").decide("a.0", &view, at(3000)), claim);
    assert_eq!(
        weak("a3").decide("a.0", &view, at(3000)),
        ClaimDecision::Follow
    );
    // After a restart a weak host leaves its shard to strong hosts for a while.
    assert_eq!(
        weak("a2").decide("a.0", &view, at(3000)),
        ClaimDecision::Follow
    );
}

#[test]
fn host_that_owns_a_shard_claims_another_later() {
    let owner = Candidate {
        owned: 1,
        ..host("a1", "a")
    };
    let view = OwnershipView::default();
    let late = at(0) + Duration::from_millis(200);
    assert!(matches!(
        owner.decide("a.0", &view, late),
        ClaimDecision::ClaimAt(_)
    ));
    assert!(matches!(
        host("a1", "a").decide("a.0", &view, late),
        ClaimDecision::Claim { .. }
    ));
}

#[test]
fn a_former_owner_gives_leases_beyond_the_recovery_deadline() {
    // The former owner sent its last heartbeat, and gave its last order much later or at once.
    let heartbeat = at(60_000);
    let heard = Heard {
        last: heartbeat,
        before: heartbeat,
    };
    let orders = [
        (FormerOwner::Ended, heartbeat),
        (FormerOwner::LastEnded, heartbeat),
        (FormerOwner::Unknown, heartbeat),
        (FormerOwner::Unknown, heartbeat + OWNER_TIMEOUT),
    ];
    for (former, last_order) in orders {
        // All copies of a start carry the end of its first; the clock was read before.
        let clock = Clock::new(1_000, at(54_000));
        let limit = clock.latest_lease_end(heartbeat + HEARTBEAT_LEASE);
        let lease_end = clock.lease_end(last_order, RUN_LEASE).min(limit);
        let lease_end = clock.latest_expiry(lease_end);
        let deadline = recovery_deadline(former, heard, heartbeat);
        assert!(lease_end < deadline, "{former:?}: {lease_end:?}");
    }
}

#[test]
fn an_owner_cut_off_from_the_store_outlives_the_recovery_after_its_successor_has_ended() {
    let candidate = host("a3", "a");
    // It claimed at revision 30, and released the shard at revision 34.
    let released = Owner {
        host: "a2".to_owned(),
        incarnation: 7,
        fence: 34,
        released: true,
    };
    // Only the release itself shows that the recovery had finished by then.
    let former = [0, 29, 33, 34].map(|recovered| {
        let former = candidate.former_owner(&released, None, recovered);
        format!("{recovered} {former:?}")
    });
    insta::assert_snapshot!(former.join("\n"), @r"
    0 LastEnded
    29 LastEnded
    33 LastEnded
    34 Ended
    ");
}

#[test]
fn more_workers_get_more_shards_one_step_at_a_time() {
    let sizes = [500, 540, 1_000, 1_250, 1_700, 2_500, 3_000, 5_000];
    let rows = sizes.map(|workers| {
        let zones: Vec<String> = ('a'..='f').map(|zone| zone.to_string()).collect();
        let layout = Layout::of(workers, zones.len(), 500);
        format!("{workers} {layout:?} {}", layout.shards(&zones).len())
    });
    insta::assert_snapshot!(rows.join("\n"), @r"
    500 Whole 1
    540 Whole 1
    1000 ZoneGroups(2) 2
    1250 ZoneGroups(3) 3
    1700 ZoneGroups(3) 3
    2500 Zones(1) 6
    3000 Zones(1) 6
    5000 Zones(2) 12
    ");
}

#[test]
fn zones_belong_to_the_same_group_on_all_hosts() {
    let zones = |names: [&str; 5]| names.map(str::to_owned);
    let (one, other) = (
        zones(["a", "b", "c", "d", "e"]),
        zones(["d", "a", "e", "c", "b"]),
    );
    let layout = Layout::ZoneGroups(2);
    for zone in &one {
        let shard = layout.shard_of(&one, zone, "r1");
        assert_eq!(layout.shard_of(&other, zone, "r9"), shard);
        assert!(layout.is_home(&shard, &one, zone));
        assert!(layout.shards(&one).contains(&shard));
    }
}

/// A host that reads the store again, or only then, must not take an old heartbeat for a new one,
/// nor the owners before for longer silent than they are.
#[test]
fn a_heartbeat_counts_from_when_a_host_first_knew_it() {
    let mut views = OwnershipViews::default();
    let record = |former_age| OwnerRecord {
        former_age,
        ..owner("a9", 4)
    };
    let steps = [
        (record(NO_FORMER_OWNER), 8, 20_000),
        (record(NO_FORMER_OWNER), 8, 30_000),
        (record(700), 9, 31_000),
        (record(0), 12, 32_000),
    ];
    let heard = steps.map(|(record, revision, now)| {
        views.on_heartbeat("a.0", &record, revision, at(now));
        let Heard { last, before } = views.get("a.0").heard;
        format!("{last} {before}")
    });
    insta::assert_snapshot!(heard.join("\n"), @r"
    20.000s 0.000s
    20.000s 0.000s
    31.000s 30.300s
    32.000s 32.000s
    ");
}
