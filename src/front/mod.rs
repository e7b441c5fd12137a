//! The HTTP side towards callers and operators, on Rocket.
//!
//! It reads requests and writes answers; every decision is made elsewhere.

mod answers;
mod jobs;
mod operators;
mod services;

use std::sync::Arc;

use rocket::http::Status;
use rocket::{Build, Request, Rocket, catch, catchers};

use crate::entry::Node;
use crate::kind::{ErrorKind, Refusal};
use crate::server;
use answers::Refused;
pub(crate) use answers::refuse;

pub use jobs::AcceptedJob;
pub use operators::{EntryStatus, Published};

/// The server of an entry daemon.
pub fn build(node: &Arc<Node>) -> Rocket<Build> {
    let settings = &node.settings;
    server::build(
        settings.address,
        settings.timing.max_deadline,
        settings.limits.body,
    )
    .manage(node.clone())
    .mount("/svc", services::routes(node))
    .mount("/v1", jobs::routes())
    .mount("/v1", operators::routes())
    .register("/", catchers![not_found, bad_request, internal])
}

#[catch(404)]
fn not_found(request: &Request<'_>) -> Refused {
    let message = format!("path {:?} does not exist", request.uri().path().as_str());
    Refused(
        Refusal::new(ErrorKind::BadRequest, message),
        Some(Status::NotFound),
    )
}

#[catch(default)]
fn bad_request(status: Status, request: &Request<'_>) -> Refused {
    let message = format!("{} {}: {status}", request.method(), request.uri());
    Refused(Refusal::new(ErrorKind::BadRequest, message), Some(status))
}

#[catch(500)]
fn internal() -> Refused {
    let message = "a fault in lycheelock; the log has its cause";
    Refused(Refusal::new(ErrorKind::Internal, message), None)
}
