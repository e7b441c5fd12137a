//! Tests with several shards, each with the workers of one availability zone.

use lycheelock::shards::Layout;
use serde_json::json;

use crate::deployment::{Deployment, Parts};
use crate::workers::Reach;
use crate::{JOB_TIMEOUT, assert_all_done, job_id, steps};

const ZONES: [&str; 3] = ["a", "b", "c"];
const WORKERS: usize = 6;
/// So little that a daemon can command the workers of one zone only.
const CORES: &str = "0.002";

/// The jobs of the zone's shard waited beside the idle workers of the other zones.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_wait_for_the_lost_workers_of_their_zone() {
    assert_eq!(Layout::of(WORKERS, ZONES.len(), 2), Layout::Zones(1));
    let parts = Parts {
        entries: ZONES.len(),
        workers: WORKERS,
        zones: &ZONES,
        cores: CORES,
        ..Parts::default()
    };
    let deployment = Deployment::start_parts("zones", &parts).await;
    let lost = 1;
    let lasting = json!([{"count": 2, "cpu": 500, "mem_mb": 10, "daemon": true}]);
    let endless = job_id(1);
    assert_eq!(
        deployment.submit(lost, &endless, "endless", lasting).await,
        200
    );
    let runs = |job: &str| deployment.journal.runs(job).len();
    let is_running = || runs(&endless) == 2;
    deployment.wait_for("the tasks run", is_running).await;
    for worker in (0..WORKERS).filter(|worker| worker % ZONES.len() == lost) {
        deployment.set_reach(worker..worker + 1, Reach::Nobody);
    }
    let mut accepted = Vec::new();
    for number in 10..20 {
        let id = job_id(number);
        if deployment.submit(lost, &id, "once", steps(3)).await == 200 {
            accepted.push(id);
        }
    }
    assert_eq!(accepted.len(), 10);
    assert_all_done(&deployment, &accepted, JOB_TIMEOUT).await;
    let runs_again = || runs(&endless) == 4;
    deployment.wait_for("the tasks run again", runs_again).await;
    assert_eq!(deployment.journal.duplicate_runs(), Vec::<String>::new());
}
