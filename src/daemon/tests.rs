mod review_late_orders;

use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::timeout;

use super::Node;
use super::lifecycle::wait_for_panic;
use super::term::{Claim, OwnedShard};
use crate::moment::Moment;
use crate::settings::FleetSettings;

/// The time limit of a wait for something that happens at once.
const WAIT_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a wait that should not end is observed.
const OBSERVED: Duration = Duration::from_millis(100);

fn owned_shard() -> Arc<OwnedShard> {
    let claim = Claim {
        shard: "all".to_owned(),
        fence: 1,
        former: None,
        lease: 1,
        begun: Moment::now(),
    };
    Arc::new(OwnedShard::new(Node::new(FleetSettings::default()), claim))
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
