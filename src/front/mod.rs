//! The HTTP interface for callers and operators, built on Rocket.
//!
//! It serves lycheelock's own protocol; `daemon` has the interface for the users'
//! platform. It parses requests and writes answers; all decisions are made in other
//! folders.

mod answers;
mod jobs;
mod operators;
mod services;

use std::sync::Arc;

use rocket::http::Status;
use rocket::{Build, Catcher, Request, Rocket, catch, catchers};

use crate::entry::Node;
use crate::kind::{ErrorKind, Refusal};
use crate::server;
use answers::RefusalAnswer;
pub(crate) use answers::{RUN_HEADER, refusal_answer, refusal_parts};

pub use jobs::JobIdBody;
pub use operators::{EntryStatus, EvacuationBody, Published};

/// Builds the HTTP server of an entry host.
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
    .register("/", refusal_catchers())
}

/// Returns the catchers that refuse what no route takes or answers.
pub(crate) fn refusal_catchers() -> Vec<Catcher> {
    catchers![not_found, bad_request, internal]
}

#[catch(404)]
fn not_found(request: &Request<'_>) -> RefusalAnswer {
    let message = format!("path {:?} does not exist", request.uri().path().as_str());
    RefusalAnswer(
        Refusal::new(ErrorKind::BadRequest, message),
        Some(Status::NotFound),
    )
}

#[catch(default)]
fn bad_request(status: Status, request: &Request<'_>) -> RefusalAnswer {
    let message = format!("{} {}: {status}", request.method(), request.uri());
    RefusalAnswer(Refusal::new(ErrorKind::BadRequest, message), Some(status))
}

#[catch(500)]
fn internal() -> RefusalAnswer {
    let message = "internal error in lycheelock; see its log for the cause";
    RefusalAnswer(Refusal::new(ErrorKind::Internal, message), None)
}
