use std::time::Duration;

use super::{Candidate, Hint, Layout, OwnerRecord, Step, View, Views};
use crate::moment::Moment;

fn host(name: &str, zone: &str) -> Candidate {
    Candidate {
        host: name.to_owned(),
        life: 1,
        zone: zone.to_owned(),
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
    let hint = Hint {
        host: "a2".to_owned(),
        life: 5,
        revision: 3,
        millicores: 100,
    };
    let view = View {
        hint: Some(hint),
        ..View::default()
    };
    assert_eq!(host("a1", "a").step("a.0", &view, at(60_000)), Step::Follow);
}

#[test]
fn hosts_of_home_zone_claim_before_other_hosts() {
    let view = View::default();
    let claim_time = |name: &str, zone: &str| match host(name, zone).step("a.0", &view, at(0)) {
        Step::ClaimAt(at) => at,
        Step::Claim { .. } => at(0),
        Step::Follow => panic!("nobody owns the shard"),
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
    let view = View::default();
    let claim_time = |zone: &str, millicores: u32| {
        let candidate = Candidate {
            millicores,
            strongest: 500,
            ..host("h1", zone)
        };
        match candidate.step("a.0", &view, at(0)) {
            Step::ClaimAt(at) => at,
            Step::Claim { .. } => at(0),
            Step::Follow => panic!("nobody owns the shard"),
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

fn owner(host: &str, life: u64) -> OwnerRecord {
    OwnerRecord {
        host: host.to_owned(),
        life,
        released: false,
        resigned: 0,
        millicores: 69,
    }
}

#[test]
fn host_that_just_started_waits_for_its_claim_delay() {
    let mut views = Views::default();
    views.on_epoch("a.0", owner("a9", 4), 8, at(60_000));
    let step = weak("a1").step("a.0", &views.get("a.0"), at(60_000));
    assert!(matches!(step, Step::ClaimAt(due) if due >= at(62_500)));
}

#[test]
fn strong_host_takes_over_shard_of_weak_host() {
    let hint = Hint {
        host: "a2".to_owned(),
        life: 5,
        revision: 3,
        millicores: 69,
    };
    let view = View {
        epoch: 2,
        hint: Some(hint),
        ..View::default()
    };
    let claim = Step::Claim { hint: 3, epoch: 2 };
    assert!(matches!(
        strong("a1").step("a.0", &view, at(1000)),
        Step::ClaimAt(_)
    ));
    assert_eq!(strong("a1").step("a.0", &view, at(3000)), claim);
    assert_eq!(weak("a3").step("a.0", &view, at(3000)), Step::Follow);
    // After a restart a weak host leaves its shard to strong hosts for a while.
    assert_eq!(weak("a2").step("a.0", &view, at(3000)), Step::Follow);
}

#[test]
fn host_that_owns_a_shard_claims_another_later() {
    let owner = Candidate {
        owned: 1,
        ..host("a1", "a")
    };
    let view = View::default();
    let late = at(0) + Duration::from_millis(200);
    assert!(matches!(owner.step("a.0", &view, late), Step::ClaimAt(_)));
    assert!(matches!(
        host("a1", "a").step("a.0", &view, late),
        Step::Claim { .. }
    ));
}
