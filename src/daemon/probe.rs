//! What the platform's balancer and the metrics collector ask.

use std::fmt::Write;
use std::sync::Arc;

use rocket::http::{ContentType, Status};
use rocket::{Build, Rocket, State, get, routes};

use super::Node;
use crate::server;

/// The server that says whether this host takes connections.
pub(super) fn ready_server(node: &Arc<Node>) -> Rocket<Build> {
    server::build(node.settings.ready_address, node.settings.grace, 0)
        .manage(node.clone())
        .mount("/", routes![ready])
}

/// The server of counters and histograms.
pub(super) fn metrics_server(node: &Arc<Node>) -> Rocket<Build> {
    server::build(node.settings.metrics_address, node.settings.grace, 0)
        .manage(node.clone())
        .mount("/", routes![metrics])
}

#[get("/ready")]
fn ready(node: &State<Arc<Node>>) -> Status {
    let able = node.queues().is_some() && node.health.is_good() && !node.is_stopping();
    if able {
        Status::Ok
    } else {
        Status::ServiceUnavailable
    }
}

#[get("/metrics")]
fn metrics(node: &State<Arc<Node>>) -> (ContentType, String) {
    let mut text = String::new();
    for reading in node.counters.read() {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "{} {}", reading.name, reading.value);
    }
    let _ = writeln!(text, "requests_in_progress {}", node.in_progress.len());
    let _ = writeln!(text, "shards_owned {}", node.owned());
    text.push_str(&node.latencies.show());
    (ContentType::Plain, text)
}
