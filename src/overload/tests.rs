//! What is admitted, which connection is closed first, and that all bytes come back.

use std::time::Duration;

use proptest::collection::vec;
use proptest::prelude::*;
use rstest::rstest;

use super::{
    Admission, Budget, Check, ConnectionKey, Connections, Gate, OverloadSettings, Reason, Refusals,
    Stage, write_event,
};
use crate::moment::Moment;

const STALL: Duration = Duration::from_secs(5);
const BUDGET: u64 = 1 << 20;

fn at(ms: u64) -> Moment {
    Moment::from_micros(ms * 1000)
}

fn open(connections: &mut Connections, ms: u64) -> ConnectionKey {
    match connections.open(at(ms)) {
        Admission::Open(key) | Admission::Replace { opened: key, .. } => key,
        Admission::Refuse => panic!("refused"),
    }
}

/// Guards against large bodies that use up what ordinary requests need.
#[rstest]
#[case::ordinary(16 << 10, BUDGET)]
#[case::medium(128 << 10, BUDGET - BUDGET / 8)]
#[case::large(256 << 10, BUDGET - BUDGET / 4)]
fn requests_of_a_size_leave_room_for_smaller_ones(#[case] size: u64, #[case] limit: u64) {
    let mut budget = Budget::new(BUDGET);
    while budget.reserve(0, size) {}
    assert!(budget.held() <= limit && budget.held() + size > limit);
}

/// Guards against a request that grows past the limit for its size in small steps.
#[test]
fn a_request_that_grows_is_held_to_the_limit_of_its_size() {
    let mut budget = Budget::new(BUDGET);
    let mut own = 0;
    while budget.reserve(own, 1 << 10) {
        own += 1 << 10;
    }
    assert_eq!(own, BUDGET - BUDGET / 4);
    assert!(!budget.reserve(own, u64::MAX));
}

/// Guards against a limit on progress that single bytes satisfy, and one that closes
/// connections whose handler takes its time.
#[rstest]
#[case::stopped(Stage::Receiving, 0, Check::Close(Some(Reason::Stalled)))]
#[case::trickle(Stage::Receiving, 5, Check::Close(Some(Reason::Stalled)))]
#[case::unread(Stage::Sending, 0, Check::Close(Some(Reason::Stalled)))]
#[case::steady(Stage::Receiving, 5 << 10, Check::Keep(at(10_000)))]
#[case::handled(Stage::Handling, 0, Check::Keep(at(10_000)))]
fn progress_is_bytes_per_second(#[case] stage: Stage, #[case] moved: u64, #[case] expected: Check) {
    let mut connections = Connections::new(8, STALL);
    let key = open(&mut connections, 0);
    connections.enter(key, stage, at(0));
    connections.record_moved(key, moved, at(4900));
    assert_eq!(connections.check(key, at(4999)), Check::Keep(at(5000)));
    assert_eq!(connections.check(key, at(5000)), expected);
}

/// Guards against progress of a former period that counts for a later one.
#[test]
fn a_body_that_stops_after_progress_is_given_up() {
    let mut connections = Connections::new(8, STALL);
    let key = open(&mut connections, 0);
    connections.enter(key, Stage::Receiving, at(0));
    connections.record_moved(key, 1 << 20, at(100));
    assert_eq!(connections.check(key, at(5000)), Check::Keep(at(10_000)));
    let stalled = Check::Close(Some(Reason::Stalled));
    assert_eq!(connections.check(key, at(10_000)), stalled);
}

/// Guards against idle connections that are closed while callers may still use them,
/// and against ones that stay for ever.
#[test]
fn an_idle_connection_is_closed_after_a_minute_without_a_refusal() {
    let mut connections = Connections::new(8, STALL);
    let key = open(&mut connections, 0);
    assert_eq!(connections.check(key, at(59_999)), Check::Keep(at(60_000)));
    assert_eq!(connections.check(key, at(60_000)), Check::Close(None));
}

/// Guards against a full table that closes a connection with progress, or one whose
/// request is with its handler.
#[test]
fn the_connection_that_holds_most_and_moves_least_is_closed_first() {
    let mut connections = Connections::new(4, STALL);
    let [handled, moving, stopped] = [0, 1, 2].map(|ms| open(&mut connections, ms));
    connections.enter(handled, Stage::Handling, at(10));
    connections.set_held(handled, 64 << 20);
    connections.enter(moving, Stage::Receiving, at(10));
    connections.set_held(moving, 8 << 20);
    connections.enter(stopped, Stage::Receiving, at(10));
    connections.set_held(stopped, 1 << 20);
    connections.record_moved(moving, 1, at(9_990));
    let idle = open(&mut connections, 9_000);
    let closed = |admission| match admission {
        Admission::Replace { closed, .. } => Some(closed),
        _ => None,
    };
    assert_eq!(closed(connections.open(at(10_000))), Some(stopped));
    assert_eq!(closed(connections.open(at(10_000))), Some(moving));
    assert_eq!(closed(connections.open(at(10_000))), Some(idle));
}

/// Guards against a new connection that is admitted beyond the limit.
#[test]
fn a_connection_is_refused_when_every_request_is_with_its_handler() {
    let mut connections = Connections::new(8, STALL);
    for _ in 0..8 {
        let key = open(&mut connections, 0);
        connections.enter(key, Stage::Handling, at(0));
    }
    assert_eq!(connections.open(at(60_000)), Admission::Refuse);
    assert_eq!(connections.len(), 8);
}

/// Guards against bodies with progress that lose their bytes to another request, and against
/// bodies that lose them although that does not suffice.
#[test]
fn only_bodies_without_enough_progress_lose_their_bytes() {
    let mut connections = Connections::new(8, STALL);
    let [announced, trickling, moving, handled, taker] = [0; 5].map(|ms| {
        let key = open(&mut connections, ms);
        connections.enter(key, Stage::Receiving, at(0));
        connections.set_held(key, 6 << 20);
        key
    });
    connections.record_moved(trickling, 1 << 10, at(900));
    connections.record_moved(moving, 128 << 10, at(900));
    connections.enter(handled, Stage::Handling, at(0));
    let taker = Some(taker);
    assert_eq!(connections.displace(taker, 1, at(999)), []);
    assert_eq!(connections.displace(taker, (12 << 20) + 1, at(1000)), []);
    let displaced = connections.displace(taker, 1, at(1000));
    let rest = connections.displace(taker, 1, at(1000));
    let mut both = [displaced, rest].concat();
    both.sort();
    assert_eq!(both, [announced, trickling]);
    assert!(connections.is_displaced(announced));
    connections.enter(announced, Stage::Receiving, at(1100));
    assert!(!connections.is_displaced(announced));
}

/// Guards against ordinary callers that find no place while stopped ones hold it.
#[test]
fn stopped_connections_are_replaced_before_the_table_is_full() {
    let mut connections = Connections::new(8, STALL);
    for _ in 0..7 {
        open(&mut connections, 0);
    }
    assert!(matches!(
        connections.open(at(5000)),
        Admission::Replace { .. }
    ));
}

/// Guards against a log that overload fills.
#[test]
fn refusals_are_written_once_a_second_and_reason() {
    let mut refusals = Refusals::default();
    let lines: Vec<String> = (0..2500)
        .flat_map(|ms| {
            let reason = Reason::ALL[ms as usize % 2];
            let due = refusals.record(reason, at(ms));
            due.map(|count| format!("{ms} ms: {} {count}", reason.name()))
        })
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
    assert_eq!(refusals.total(Reason::Budget), 1250);
}

#[rstest]
#[case::smallest_host(OverloadSettings::default())]
#[case::largest_host(OverloadSettings { memory: 512 << 20, descriptors: 8192, ..OverloadSettings::default() })]
#[case::large_bodies(OverloadSettings { largest: 60 << 20, ..OverloadSettings::default() })]
fn a_request_of_the_greatest_legal_size_fits(#[case] settings: OverloadSettings) {
    let gate = Gate::new(&settings, write_event);
    assert!(gate.charge().grow(settings.largest));
    assert!(settings.connection_limit() >= 1000);
}

/// One step of a request.
#[derive(Debug, Clone, Copy)]
enum Step {
    Grow(u64),
    Resize(u64),
    Shrink(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (1_u64..512 << 10).prop_map(Step::Grow),
        (0_u64..512 << 10).prop_map(Step::Resize),
        (0_u64..512 << 10).prop_map(Step::Shrink),
    ]
}

fn held(gate: &Gate) -> u64 {
    let readings = gate.read();
    let held = readings
        .iter()
        .find(|each| each.name == "request_bytes_held");
    held.expect("a gauge").value
}

proptest! {
    /// Guards against bytes beyond the budget, and against bytes that never come back.
    #[test]
    fn the_bytes_held_stay_within_the_budget_and_all_come_back(
        steps in vec((0_usize..6, step()), 0..200),
    ) {
        let settings = OverloadSettings { requests: Some(BUDGET), ..OverloadSettings::default() };
        let gate = Gate::new(&settings, |_, _| {});
        let charges: Vec<_> = (0..6).map(|_| gate.charge()).collect();
        for (place, step) in steps {
            match step {
                Step::Grow(bytes) => drop(charges[place].grow(bytes)),
                Step::Resize(bytes) => drop(charges[place].resize(bytes)),
                Step::Shrink(bytes) => charges[place].shrink(bytes),
            }
            let sum: u64 = charges.iter().map(super::Charge::bytes).sum();
            prop_assert_eq!(sum, held(&gate));
            prop_assert!(sum <= BUDGET);
        }
        drop(charges);
        prop_assert_eq!(held(&gate), 0);
    }

    /// Guards against a table that grows past its limit, or closes a request that is
    /// with its handler.
    #[test]
    fn the_table_never_exceeds_its_limit(steps in vec((0_u8..4, 0_u64..10_000), 0..200)) {
        let mut connections = Connections::new(8, STALL);
        let mut stages: Vec<(ConnectionKey, Stage)> = Vec::new();
        let mut now = 0;
        for (kind, more) in steps {
            now += more;
            let stage = [Stage::Idle, Stage::Receiving, Stage::Handling, Stage::Sending];
            let place = more as usize % stages.len().max(1);
            match kind {
                0 | 1 => match connections.open(at(now)) {
                    Admission::Refuse => {
                        prop_assert!(stages.iter().all(|each| each.1 == Stage::Handling));
                    }
                    Admission::Open(key) => stages.push((key, Stage::Idle)),
                    Admission::Replace { opened, closed } => {
                        let found = stages.iter().position(|each| each.0 == closed);
                        let (_, stage) = stages.remove(found.expect("an open connection"));
                        prop_assert_ne!(stage, Stage::Handling);
                        connections.close(closed);
                        stages.push((opened, Stage::Idle));
                    }
                },
                2 => if let Some(found) = stages.get_mut(place) {
                    found.1 = stage[(now % 4) as usize];
                    connections.enter(found.0, found.1, at(now));
                },
                _ => if !stages.is_empty() {
                    connections.close(stages.remove(place).0);
                },
            }
            prop_assert!(connections.len() <= 8);
            prop_assert_eq!(connections.len(), stages.len());
        }
    }
}
