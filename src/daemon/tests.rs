mod evacuation;
mod lines;
mod moves;
mod review_late_orders;
mod withdrawals;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use serde_json::Value;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::timeout;

use super::Node;
use super::heartbeat::{heartbeat_transaction, renew};
use super::incarnation::incarnation_transaction;
use super::lifecycle::wait_for_panic;
use super::owned::{Claim, OwnedShard};
use super::ownership::claim_transaction;
use super::probe::show_headroom;
use super::term::{end, pass_delay};
use super::writer::transaction;
use crate::headroom::PoolHeadroom;
use crate::moment::Moment;
use crate::platform::fleet::Transaction;
use crate::schedule::{Change, RosterEntry};
use crate::settings::FleetSettings;
use crate::shards::{
    FormerOwner, Heard, Incarnation, Owner, OwnerRecord, OwnershipView, epoch_key, heartbeat_key,
    incarnation_key, roster_key,
};

/// The time limit of a wait for something that happens at once.
const WAIT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a wait that should not end is observed.
const OBSERVED: Duration = Duration::from_millis(100);

fn claim(fence: u64) -> Claim {
    Claim {
        shard: "all".to_owned(),
        fence,
        former: None,
        heard: Heard::default(),
        lease: 1,
        begun: Moment::now(),
    }
}

fn owned_shard() -> Arc<OwnedShard> {
    Arc::new(OwnedShard::new(
        Node::new(FleetSettings::default()),
        claim(1),
    ))
}

#[tokio::test]
async fn panic_in_decision_ends_ownership() {
    let owned = owned_shard();
    let deciding = owned.clone();
    owned.spawn(async move { deciding.decide(|_, _| panic!("in a decision")) });
    let reason = timeout(WAIT_TIMEOUT, owned.wait_lost()).await;
    assert_eq!(reason, Ok("a task panicked"));
}

#[tokio::test]
async fn a_panic_in_a_decision_prevents_the_release_of_the_shard() {
    let owned = owned_shard();
    let deciding = owned.clone();
    owned.spawn(async move { deciding.decide(|_, _| panic!("in a decision")) });
    let reason = timeout(WAIT_TIMEOUT, owned.wait_lost()).await.unwrap();
    let ending = owned.clone();
    let ended = tokio::spawn(async move { end(&ending, reason).await }).await;
    assert!(ended.is_ok(), "{ended:?}");
}

#[tokio::test]
async fn task_that_ends_does_not_end_ownership() {
    let owned = owned_shard();
    owned.spawn(async {});
    let ended = timeout(OBSERVED, owned.wait_lost()).await;
    assert!(ended.is_err(), "{ended:?}");
}

#[tokio::test]
async fn only_a_panic_of_a_task_ends_the_daemon() {
    let mut tasks = JoinSet::new();
    tasks.spawn(async {});
    let ended = timeout(OBSERVED, wait_for_panic(&mut tasks)).await;
    assert!(ended.is_err(), "a task without a panic counts");
    tasks.spawn(async { panic!("in a task") });
    let ended = timeout(WAIT_TIMEOUT, wait_for_panic(&mut tasks)).await;
    assert!(ended.is_ok(), "the panic is not noticed");
}

/// A store that applies transactions to the revisions and values of its keys.
#[derive(Default)]
struct Store {
    revision: u64,
    items: HashMap<String, (u64, Value)>,
}

impl Store {
    /// Applies a transaction. Returns its revision, or `None` if a condition does not hold.
    fn apply(&mut self, transaction: &Transaction) -> Option<u64> {
        let body = serde_json::to_value(transaction).unwrap();
        let rows = |part: &str| body[part].as_array().unwrap().clone();
        let key = |row: &Value| row["key"].as_str().unwrap().to_owned();
        let revision = |row: &Value| self.items.get(&key(row)).map_or(0, |item| item.0);
        let conditions = rows("precondition");
        if !conditions.iter().all(|row| row["rev"] == revision(row)) {
            return None;
        }
        self.revision += 1;
        for row in rows("set_keys") {
            let item = (self.revision, row["value"].clone());
            self.items.insert(key(&row), item);
        }
        Some(self.revision)
    }
}

#[tokio::test]
async fn a_write_without_an_answer_replaces_a_newer_one() {
    let owned = owned_shard();
    let mut store = Store::default();
    let claim = Transaction::default().set(&epoch_key("all"), Vec::new());
    assert_eq!(store.apply(&claim), Some(owned.claim.fence));
    let roster = |id: &str| {
        [Change::Roster(vec![RosterEntry {
            id: id.to_owned(),
            address: String::new(),
            zone: String::new(),
            closed: None,
            lease_left: None,
            overlong_left: None,
            incarnation: None,
        }])]
    };
    let first = store.apply(&transaction(&owned, &roster("first"), 0));
    let previous = first.expect("the first write takes effect");
    let late = transaction(&owned, &roster("late"), previous);
    let newer = transaction(&owned, &roster("newer"), previous);
    assert!(store.apply(&newer).is_some());
    let written = store.items[&roster_key("all")].clone();
    store.apply(&late);
    assert_eq!(store.items[&roster_key("all")], written);
}

/// The recovery would begin from an earlier heartbeat, and end before the owner's leases.
#[tokio::test]
async fn a_claim_takes_effect_after_a_heartbeat_that_the_host_does_not_know() {
    let mut store = Store::default();
    let claimed = Transaction::default().set(&epoch_key("all"), Vec::new());
    let fence = store.apply(&claimed).unwrap();
    let former = Arc::new(OwnedShard::new(
        Node::new(FleetSettings::default()),
        claim(fence),
    ));
    let heartbeat = store.apply(&heartbeat_transaction(&former)).unwrap();
    let view = OwnershipView {
        epoch: fence,
        heartbeat,
        ..OwnershipView::default()
    };
    let record = former.record();
    let claimed = claim_transaction("all", &view, 0, &record, 1);
    store.apply(&heartbeat_transaction(&former)).unwrap();
    assert_eq!(store.apply(&claimed), None, "there was a later heartbeat");
    let heartbeat = store.items[&heartbeat_key("all")].0;
    let view = OwnershipView { heartbeat, ..view };
    let claimed = claim_transaction("all", &view, 0, &record, 1);
    assert!(store.apply(&claimed).is_some());
    assert_eq!(store.apply(&heartbeat_transaction(&former)), None);
}

#[tokio::test]
async fn a_host_that_resigns_one_shard_resigns_others_that_it_owns() {
    let node = Node::new(FleetSettings::default());
    let host = node.owner_record(false).host;
    let owned = [1, 2, 3].map(|fence| OwnedShard::new(node.clone(), claim(fence)));
    let candidate = crate::shards::Candidate {
        host: "another".to_owned(),
        ..node.candidate(0)
    };
    let recovered = 3;
    // What the newest owner of each shard takes its former owner for, after one has ended.
    let states = |ended: &OwnedShard| {
        let record = ended.give_up_token();
        let record = record.unwrap_or_else(|| node.owner_record(false));
        let incarnation = Some(Incarnation {
            id: record.incarnation,
            resigned: record.resigned,
        });
        [1, 2, 3].map(|fence| {
            let owner = Owner {
                host: host.clone(),
                incarnation: record.incarnation,
                fence,
                released: false,
            };
            candidate.former_owner(&owner, incarnation, recovered) == FormerOwner::Ended
        })
    };
    assert_eq!(states(&owned[1]), [false, false, false]);
    assert_eq!(states(&owned[0]), [true, true, false]);
    assert_eq!(states(&owned[2]), [true, true, true]);
}

#[tokio::test]
async fn a_late_record_of_an_ended_process_replaces_that_of_its_successor() {
    let mut store = Store::default();
    let ended = Node::new(FleetSettings::default()).owner_record(false);
    let late = incarnation_transaction(&ended, 0);
    let successor = OwnerRecord {
        incarnation: ended.incarnation.wrapping_add(1),
        ..ended.clone()
    };
    let revision = store.apply(&incarnation_transaction(&successor, 0));
    store.apply(&late);
    let key = incarnation_key(&ended.host);
    assert_eq!(Some(store.items[&key].0), revision);
}

#[tokio::test]
async fn an_unanswered_renewal_of_the_owner_lease_holds_up_the_next_one() {
    let silent_store = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let settings = FleetSettings {
        platform: silent_store.local_addr().unwrap(),
        ..FleetSettings::default()
    };
    let observed = settings.session_ttl * 2;
    let owned = Arc::new(OwnedShard::new(Node::new(settings), claim(1)));
    owned.spawn(renew(owned.clone()));
    let mut calls = Vec::new();
    // Each renewal needs a connection of its own, as no answer frees the one before.
    let count = async {
        loop {
            calls.push(silent_store.accept().await);
        }
    };
    let ended = timeout(observed, count).await;
    assert!(ended.is_err(), "the store is silent until the end");
    assert!(calls.len() >= 6, "{} renewals in {observed:?}", calls.len());
}

#[test]
fn a_process_that_was_paused_during_a_pass_places_tasks_again_soon() {
    let millis = Duration::from_millis;
    assert_eq!(pass_delay(millis(0)), millis(4));
    assert_eq!(pass_delay(millis(10)), millis(30));
    assert_eq!(pass_delay(millis(10_000)), millis(60));
}

#[test]
fn the_metrics_show_the_headroom_of_each_pool() {
    let reading = PoolHeadroom {
        pool: "p".to_owned(),
        headroom: 9_000,
        free: 12_000,
        held_back: 3,
    };
    insta::assert_snapshot!(show_headroom("p", &reading), @r"
    headroom_millicores.p 9000
    headroom_free_millicores.p 12000
    headroom_held_back.p 3
    ");
}
