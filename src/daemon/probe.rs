//! The endpoints for the platform's load balancer and the metrics collector.

use std::fmt::Write;
use std::sync::Arc;

use rocket::http::{ContentType, Status};
use rocket::{Build, Rocket, State, get, routes};

use super::Node;
use crate::headroom::PoolHeadroom;
use crate::{journal, server};

/// Builds the server that tells the load balancer whether this host accepts
/// connections.
pub(super) fn ready_server(node: &Arc<Node>) -> Rocket<Build> {
    server::build(node.settings.ready_address, node.settings.grace, 0)
        .manage(node.clone())
        .mount("/", routes![ready])
}

/// Builds the server of the counters and latency histograms.
pub(super) fn metrics_server(node: &Arc<Node>) -> Rocket<Build> {
    server::build(node.settings.metrics_address, node.settings.grace, 0)
        .manage(node.clone())
        .mount("/", routes![metrics])
}

#[get("/ready")]
fn ready(node: &State<Arc<Node>>) -> Status {
    let ready = node.queues().is_some() && node.health.is_good() && !node.is_stopping();
    if ready {
        Status::Ok
    } else {
        Status::ServiceUnavailable
    }
}

#[get("/metrics")]
fn metrics(node: &State<Arc<Node>>) -> (ContentType, String) {
    let mut text = String::new();
    for reading in node.counters.read().into_iter().chain(node.gate.read()) {
        // Writing to a `String` cannot fail.
        let _ = writeln!(text, "{} {}", reading.name, reading.value);
    }
    let _ = writeln!(text, "requests_in_progress {}", node.in_progress.len());
    let _ = writeln!(text, "shards_owned {}", node.owned());
    let zones = node.evacuations().borrow().zones().count();
    let _ = writeln!(text, "zones_evacuated {zones}");
    let _ = writeln!(text, "runs_in_evacuated_zones {}", node.zone_runs());
    for (pool, reading) in node.headroom() {
        text.push_str(&show_headroom(&pool, &reading));
    }
    let _ = writeln!(text, "log_lines_dropped {}", journal::dropped_lines());
    text.push_str(&node.latencies.show());
    (ContentType::Plain, text)
}

/// The lines about the processors that are kept free in a pool.
pub(super) fn show_headroom(pool: &str, reading: &PoolHeadroom) -> String {
    let (kept, free) = (reading.headroom, reading.free);
    format!(
        "headroom_millicores.{pool} {kept}\n\
         headroom_free_millicores.{pool} {free}\n\
         headroom_held_back.{pool} {}\n",
        reading.held_back
    )
}
