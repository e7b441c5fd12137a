//! Tests of quarantine, speed limits of batch work, lost answers and worker selection.

use std::time::Duration;

use super::worker::Health;
use super::{Contact, Placement, Policy};
use crate::configuration::{Size, Weights};
use crate::ids::{HostId, RequestId, ShardId, WorkerKey};
use crate::moment::Moment;
use crate::platform::{HostState, ListedHost};
use crate::workers::{BootId, Report, RequestReport, RequestState, Ticket};

const SHARD: ShardId = ShardId(0);
const ME: HostId = HostId(1);

fn at(seconds: u64) -> Moment {
    Moment::from_micros(seconds * 1_000_000)
}

fn add(placement: &mut Placement, name: &str, cores: u32) -> WorkerKey {
    let host = ListedHost {
        name: name.to_owned(),
        zone: "a".to_owned(),
        rack: "r".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        state: HostState::Live,
        size: Size {
            millicores: cores,
            memory: 1000,
            accelerators: 0,
        },
        slots: 2,
        connections: 64,
    };
    let key = placement.upsert_listed(&host, SHARD);
    let worker = placement.get_mut(key).unwrap();
    worker.contact = Contact::Reachable;
    worker.in_roster = true;
    key
}

fn request(number: u64) -> RequestId {
    RequestId { host: ME, number }
}

fn report(load: u32, resolved: Vec<RequestReport>) -> Report {
    Report {
        boot: BootId(1),
        ticket: Ticket(1),
        tasks: Vec::new(),
        requests: Vec::new(),
        resolved,
        load,
    }
}

#[test]
fn a_worker_that_fails_everything_is_quarantined_longer_each_time() {
    let mut placement = Placement::default();
    let key = add(&mut placement, "w0", 4000);
    let mut lines = Vec::new();
    let mut now = at(1);
    for round in 0..4 {
        for _ in 0..5 {
            placement.get_mut(key).unwrap().record_failure(now);
        }
        let worker = placement.get_mut(key).unwrap();
        let Health::Quarantined { until, .. } = worker.health else {
            panic!("{:?}", worker.health);
        };
        lines.push(format!("round {round}: quarantined for {:?}", until - now));
        assert!(!worker.is_usable(now) && worker.is_usable(until));
        now = until;
        worker.take_slot(request(round));
        assert!(!worker.is_usable(now), "only one probe at a time");
    }
    placement.get_mut(key).unwrap().record_success();
    assert!(placement.get(key).unwrap().is_usable(now));
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn the_slot_of_an_unresolved_request_is_kept_until_it_is_resolved() {
    let mut placement = Placement::default();
    let key = add(&mut placement, "w0", 4000);
    placement.on_report(key, &report(0, Vec::new()), ME, at(0));
    placement.take_slot(key, request(1));
    placement.get_mut(key).unwrap().mark_unresolved(request(1));
    placement.on_report(key, &report(0, Vec::new()), ME, at(1));
    assert_eq!(placement.get(key).unwrap().free_slots(), 1);
    let reported = vec![RequestReport {
        request: request(1),
        state: RequestState::NotRun,
    }];
    let resolved = placement.on_report(key, &report(0, reported), ME, at(2));
    assert_eq!(
        (resolved.len(), placement.get(key).unwrap().free_slots()),
        (1, 2)
    );
}

#[test]
fn requests_of_a_former_owner_take_slots() {
    let mut placement = Placement::default();
    let key = add(&mut placement, "w0", 4000);
    let foreign = RequestId {
        host: HostId(9),
        number: 4,
    };
    let report = Report {
        requests: vec![foreign, request(2)],
        ..report(0, Vec::new())
    };
    placement.on_report(key, &report, ME, at(1));
    assert_eq!(placement.get(key).unwrap().free_slots(), 1);
}

#[test]
fn batch_work_slows_down_under_load_and_speeds_up_in_steps() {
    let mut placement = Placement::default();
    placement.set_weights(Weights::default());
    let key = add(&mut placement, "w0", 4000);
    for (load, ms) in [(0, 2), (90, 8)] {
        placement.get_mut(key).unwrap().load = load;
        for _ in 0..40 {
            placement.record_latency(key, Duration::from_millis(ms));
        }
    }
    placement.take_slot(key, request(1));
    // Requests are 4 times slower at 75 percent load, so the tolerated 1.5 times
    // is reached at 12 percent by interpolation.
    let mut speeds = Vec::new();
    for load in [150, 90, 80, 60, 10, 10, 10] {
        placement.on_report(key, &report(load, Vec::new()), ME, at(1));
        speeds.push(placement.get(key).unwrap().batch_speed);
    }
    assert_eq!(speeds, [10, 10, 10, 10, 15, 20, 25]);
}

#[test]
fn each_policy_chooses_its_worker() {
    let mut lines = Vec::new();
    for policy in Policy::ALL {
        let mut placement = Placement::default();
        placement.policy = policy;
        placement.reserve = 50;
        let busy = add(&mut placement, "busy", 8000);
        add(&mut placement, "small", 1000);
        add(&mut placement, "idle", 8000);
        let size = Size {
            millicores: 3000,
            memory: 1,
            accelerators: 0,
        };
        placement.allocate(
            busy,
            Size {
                millicores: 1000,
                ..Size::default()
            },
        );
        let chosen = placement.pick_for_batch(SHARD, size, None, at(1)).unwrap();
        let name = placement.get(chosen).unwrap().name.clone();
        lines.push(format!("{}: {name}", policy.name()));
    }
    insta::assert_snapshot!(lines.join("\n"));
}
