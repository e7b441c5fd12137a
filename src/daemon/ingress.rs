//! The HTTP interface for callers, served by Rocket.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Bytes;
use rocket::http::{Header, Method};
use rocket::response::Response;
use rocket::route::{Handler, Outcome};
use rocket::{Build, Data, Request, Rocket, Route};

use super::Node;
use super::intake::CancelOutcome;
use super::lines::DaemonLine;
use crate::front::{refusal_answer, refusal_catchers};
use crate::journal;
use crate::kind::{ErrorKind, Refusal};
use crate::latency::Span;
use crate::moment::Moment;
use crate::platform::fleet::{DEADLINE_HEADER, read_workflow, write_pending, write_state};
use crate::routing::{Queue, Queues};
use crate::server::{self, METHODS};
use crate::workers::HeaderLine;
use crate::workflow::WorkflowId;

/// The time limit of a request without a deadline header.
const DEFAULT_TIME_LIMIT: Duration = Duration::from_secs(3);
/// Rocket's own limit on the body, in bytes. The limit for callers comes from the
/// configuration.
const MAX_BODY_BYTES: u64 = 16 << 20;

/// Builds the server for callers.
pub(super) fn build(node: &Arc<Node>) -> Rocket<Build> {
    let routes = METHODS.map(|method| {
        let rank = 0;
        Route::ranked(rank, method, "/<path..>", JobHandler(node.clone()))
    });
    server::build(node.settings.address, node.settings.grace, MAX_BODY_BYTES)
        .mount("/", routes.to_vec())
        .register("/", refusal_catchers())
}

#[derive(Clone)]
struct JobHandler(Arc<Node>);

/// The answer to a successful request.
struct Reply {
    status: u16,
    body: Vec<u8>,
    /// The outcome as it is written to the log.
    detail: &'static str,
}

/// A request that was matched to a queue.
struct JobRequest<'a> {
    queue: &'a Queue,
    /// The part of the path after the queue's prefix: a job's id, or empty.
    rest: &'a str,
    /// The limit on the body, in bytes.
    limit: u64,
    deadline: Moment,
}

#[rocket::async_trait]
impl Handler for JobHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, _: Data<'r>) -> Outcome<'r> {
        let begun = Moment::now();
        let queues = self.0.queues();
        let path = request.uri().path().as_str();
        let host = host_name(request);
        let target = queues.as_ref().and_then(|queues| queues.find(host, path));
        let reply = match (&queues, target) {
            (None, _) => Err(Refusal::new(
                ErrorKind::NotReady,
                "no configuration was received yet",
            )),
            (Some(_), None) => {
                let message = format!("no queue matches host {host:?} and path {path:?}");
                Err(Refusal::new(ErrorKind::UnknownService, message))
            }
            (Some(queues), Some(target)) => {
                let job = JobRequest {
                    queue: target.queue,
                    rest: target.rest,
                    limit: queues.body_limit,
                    deadline: begun + time_limit(request),
                };
                match check_headers(request, queues) {
                    Ok(()) => self.serve(request, job).await,
                    Err(refusal) => Err(refusal),
                }
            }
        };
        let queue = target.map_or("", |target| target.queue.name.as_str());
        let rest = target.map_or("", |target| target.rest);
        let version = queues.as_ref().map_or(0, |queues| queues.version);
        let (status, detail) = outcome(&reply);
        let took = Moment::now() - begun;
        self.0.latencies.record(Span::Answer, took);
        journal::line(&DaemonLine::Answered {
            id: rest,
            queue,
            method: request.method().as_str(),
            status,
            detail,
            configuration: version,
            took_ms: took.as_millis() as u64,
        });
        Outcome::Success(self.answer(request, reply))
    }
}

impl JobHandler {
    async fn serve(&self, request: &Request<'_>, job: JobRequest<'_>) -> Result<Reply, Refusal> {
        let method = request.method();
        if job.rest.is_empty() && method == Method::Get {
            let pending = self.0.pending(&job.queue.name).await?;
            return Ok(reply(200, write_pending(pending), "counted"));
        }
        let id: WorkflowId = job.rest.parse().map_err(|error| {
            let message = format!("invalid job id in the path: {error}");
            Refusal::new(ErrorKind::BadRequest, message)
        })?;
        match method {
            Method::Post => self.submit(id, job, request).await,
            Method::Get => self.look_up(id).await,
            Method::Delete => self.cancel(id, job.deadline).await,
            other => {
                let message = format!("method {other} is not supported, use POST, GET or DELETE");
                Err(Refusal::new(ErrorKind::BadRequest, message))
            }
        }
    }

    async fn submit(
        &self,
        id: WorkflowId,
        job: JobRequest<'_>,
        request: &Request<'_>,
    ) -> Result<Reply, Refusal> {
        let body = read_body(request, job.limit).await?;
        let workflow =
            read_workflow(&body).map_err(|message| Refusal::new(ErrorKind::BadRequest, message))?;
        drop(body);
        let charge = server::charge(request).unwrap_or_else(|| Arc::new(self.0.gate.charge()));
        self.0
            .submit(job.queue, id, workflow, job.deadline, &charge)
            .await?;
        Ok(reply(200, b"{}".to_vec(), "accepted"))
    }

    async fn look_up(&self, id: WorkflowId) -> Result<Reply, Refusal> {
        match self.0.state(id).await? {
            Some(state) => Ok(reply(200, write_state(state), "known")),
            None => Ok(reply(410, b"{}".to_vec(), "unknown_job")),
        }
    }

    async fn cancel(&self, id: WorkflowId, deadline: Moment) -> Result<Reply, Refusal> {
        match self.0.cancel(id, deadline).await? {
            CancelOutcome::Done => Ok(reply(200, b"{}".to_vec(), "cancelled")),
            CancelOutcome::Unknown => Ok(reply(410, b"{}".to_vec(), "unknown_job")),
        }
    }

    fn answer(&self, request: &Request<'_>, reply: Result<Reply, Refusal>) -> Response<'static> {
        let mut response = match reply {
            Ok(reply) => {
                let line = HeaderLine {
                    name: "content-type".to_owned(),
                    value: "application/json".to_owned(),
                };
                server::direct_answer(request, reply.status, &[line], reply.body)
            }
            Err(refusal) => {
                self.0.counters.refused(refusal.kind);
                refusal_answer(&refusal, None)
            }
        };
        if self.0.is_stopping() {
            response.set_header(Header::new("connection", "close"));
        }
        response
    }
}

const fn reply(status: u16, body: Vec<u8>, detail: &'static str) -> Reply {
    Reply {
        status,
        body,
        detail,
    }
}

fn outcome(reply: &Result<Reply, Refusal>) -> (u16, &'static str) {
    match reply {
        Ok(reply) => (reply.status, reply.detail),
        Err(refusal) => {
            let row = refusal.kind.response();
            (row.status, row.name)
        }
    }
}

fn host_name<'r>(request: &'r Request<'_>) -> &'r str {
    let host = request.headers().get_one("host").unwrap_or_default();
    host.split(':').next().unwrap_or_default()
}

fn time_limit(request: &Request<'_>) -> Duration {
    let given = request.headers().get_one(DEADLINE_HEADER);
    let millis = given.and_then(|text| text.parse().ok());
    millis.map_or(DEFAULT_TIME_LIMIT, Duration::from_millis)
}

fn check_headers(request: &Request<'_>, queues: &Queues) -> Result<(), Refusal> {
    let headers = request.headers().iter();
    let bytes: usize = headers
        .map(|line| line.name.as_str().len() + line.value().len())
        .sum();
    if bytes as u64 <= queues.header_limit {
        return Ok(());
    }
    let limit = queues.header_limit;
    let message = format!("the headers have {bytes} bytes, more than the limit of {limit}");
    Err(Refusal::new(ErrorKind::TooLarge, message))
}

async fn read_body(request: &Request<'_>, limit: u64) -> Result<Bytes, Refusal> {
    let read = server::read_body(request, limit).await;
    read.map_err(|error| error.refusal(format!("the body exceeds the limit of {limit} bytes")))
}
