//! The HTTP side of interactive requests: `/svc/SERVICE/PATH` with any method.

use std::sync::Arc;
use std::time::Duration;

use hyper::body::Bytes;
use rocket::http::HeaderMap;
use rocket::response::Response;
use rocket::route::{Handler, Outcome};
use rocket::{Data, Request, Route};

use super::answers::refusal_answer;
use crate::admission::{Admitted, CallHeaders, DEADLINE_HEADER, KEY_HEADER, TEAM_HEADER, admit};
use crate::entry::Node;
use crate::kind::{ErrorKind, Refusal};
use crate::peers::ServeCall;
use crate::server::{self, BodyError, METHODS};
use crate::workers::{HeaderLine, WorkerAnswer, is_forwarded};

/// Limit on the length of an idempotency key.
const MAX_KEY_BYTES: usize = 256;

pub(super) fn routes(node: &Arc<Node>) -> Vec<Route> {
    let handler = ServiceHandler(node.clone());
    METHODS
        .iter()
        .map(|method| Route::new(*method, "/<service>/<path..>", handler.clone()))
        .collect()
}

#[derive(Clone)]
struct ServiceHandler(Arc<Node>);

#[rocket::async_trait]
impl Handler for ServiceHandler {
    async fn handle<'r>(&self, request: &'r Request<'_>, _: Data<'r>) -> Outcome<'r> {
        let response = match self.serve(request).await {
            Ok(answer) => {
                server::direct_answer(request, answer.status, &answer.headers, answer.body)
            }
            Err(refusal) => self.reject(&refusal),
        };
        Outcome::Success(response)
    }
}

impl ServiceHandler {
    fn reject(&self, refusal: &Refusal) -> Response<'static> {
        self.0.counters.refused(refusal.kind);
        refusal_answer(refusal, None)
    }

    async fn serve(&self, request: &Request<'_>) -> Result<WorkerAnswer, Refusal> {
        let target = Target::read(request)?;
        let headers = request.headers();
        check_header_sizes(headers, self.0.settings.limits.header)?;
        let admitted = self.admit(&target, headers)?;
        let body = self.read_body(request).await?;
        let call = ServeCall {
            service: admitted.service.clone(),
            method: target.method.clone(),
            path: target.path.clone(),
            headers: forwarded_headers(headers),
            body,
            deadline_ms: admitted.deadline.as_millis() as u64,
            once: admitted.once,
            forwarded: false,
            key: None,
        };
        let call = self.with_key(call, headers, &admitted.team)?;
        self.acquire_quota(&admitted)?;
        let charge = server::charge(request).unwrap_or_else(|| Arc::new(self.0.gate.charge()));
        let served = self.0.serve(call, charge).await;
        self.0.decide(|core, _| core.quotas.release(&admitted.team));
        served
    }

    fn admit(&self, target: &Target, headers: &HeaderMap<'_>) -> Result<Admitted, Refusal> {
        let limit: Duration = self.0.settings.timing.max_deadline;
        let wanted = CallHeaders {
            team: headers.get_one(TEAM_HEADER),
            deadline: headers.get_one(DEADLINE_HEADER),
            key: headers.get_one(KEY_HEADER),
        };
        let (service, method, path) = (&target.service, &target.method, &target.path);
        self.0
            .read(|core, _| admit(core.configuration()?, service, method, path, wanted, limit))
    }

    fn acquire_quota(&self, admitted: &Admitted) -> Result<(), Refusal> {
        self.0.decide(|core, _| core.acquire_quota(&admitted.team))
    }

    fn with_key(
        &self,
        call: ServeCall,
        headers: &HeaderMap<'_>,
        team: &str,
    ) -> Result<ServeCall, Refusal> {
        let Some(key) = headers.get_one(KEY_HEADER) else {
            return Ok(call);
        };
        if key.is_empty() || key.len() > MAX_KEY_BYTES {
            let length = key.len();
            let message =
                format!("header {KEY_HEADER} of {length} bytes: give 1 to {MAX_KEY_BYTES}");
            return Err(Refusal::new(ErrorKind::BadRequest, message));
        }
        let key = self.0.idempotency_key(team, key, &call);
        let not_ready = || Refusal::new(ErrorKind::NotReady, "no shard is configured");
        Ok(ServeCall {
            key: Some(key.ok_or_else(not_ready)?),
            ..call
        })
    }

    async fn read_body(&self, request: &Request<'_>) -> Result<Bytes, Refusal> {
        let limit = self.0.settings.limits.body;
        let read = server::read_body(request, limit).await;
        read.map_err(|error| match error {
            BodyError::EndedEarly(reason) => {
                let message = format!("the body ended early: {reason}");
                Refusal::new(ErrorKind::BadRequest, message)
            }
            error => error.refusal(format!("the body is over the limit of {limit} bytes")),
        })
    }
}

/// The service, method and path that a request addresses.
struct Target {
    service: String,
    method: String,
    path: String,
}

impl Target {
    fn read(request: &Request<'_>) -> Result<Self, Refusal> {
        let uri = request.uri();
        let full = uri.path().as_str();
        let rest = full.strip_prefix("/svc/").unwrap_or_default();
        let (service, path) = match rest.find('/') {
            Some(at) => rest.split_at(at),
            None => (rest, "/"),
        };
        if service.is_empty() {
            let message = format!("path {full:?}: give /svc/SERVICE/PATH");
            return Err(Refusal::new(ErrorKind::BadRequest, message));
        }
        let query = uri
            .query()
            .map(|query| format!("?{query}"))
            .unwrap_or_default();
        Ok(Self {
            service: service.to_owned(),
            method: request.method().as_str().to_owned(),
            path: format!("{path}{query}"),
        })
    }
}

fn check_header_sizes(headers: &HeaderMap<'_>, limit: u64) -> Result<(), Refusal> {
    let large = headers.iter().find(|header| {
        let length = header.name().as_str().len() + header.value().len();
        length as u64 > limit
    });
    match large {
        None => Ok(()),
        Some(header) => {
            let name = header.name().as_str().to_owned();
            let message = format!("header {name} is over the limit of {limit} bytes");
            Err(Refusal::new(ErrorKind::TooLarge, message))
        }
    }
}

/// Returns the headers to forward: all but those of the connection and lycheelock's own.
fn forwarded_headers(headers: &HeaderMap<'_>) -> Vec<HeaderLine> {
    let kept = headers
        .iter()
        .filter(|header| is_forwarded(header.name().as_str()));
    kept.map(|header| HeaderLine {
        name: header.name().as_str().to_owned(),
        value: header.value().to_owned(),
    })
    .collect()
}
