//! The answers that are not a worker's own.

use rocket::Request;
use rocket::http::Status;
use rocket::response::{Responder, Response};
use serde::Serialize;

use crate::kind::{Refusal, Run};
use crate::server;
use crate::workers::HeaderLine;

/// The kind of a refusal.
pub const ERROR_HEADER: &str = "lycheelock-error";
/// What is known of the run.
pub const RUN_HEADER: &str = "lycheelock-run";

/// A refusal as it is answered.
pub(super) struct Refused(pub Refusal, pub Option<Status>);

/// Any other answer as JSON.
pub(super) struct Answered<T>(pub u16, pub T);

#[derive(Serialize)]
struct Body<'a> {
    error: &'a str,
    run: Run,
    retry_after_ms: Option<u64>,
    message: &'a str,
}

/// The answer to a refusal: a JSON body, and the same in headers.
pub(crate) fn refuse(refusal: &Refusal, status: Option<Status>) -> Response<'static> {
    let row = refusal.kind.row();
    let retry_after_ms = row.retry.map(|retry| retry.as_millis() as u64);
    let body = Body {
        error: row.name,
        run: row.run,
        retry_after_ms,
        message: &refusal.message,
    };
    let header = |name: &str, value: String| HeaderLine {
        name: name.to_owned(),
        value,
    };
    let mut headers = vec![
        header("content-type", "application/json".to_owned()),
        header(ERROR_HEADER, row.name.to_owned()),
        header(RUN_HEADER, row.run.name().to_owned()),
    ];
    if let Some(milliseconds) = retry_after_ms {
        headers.push(header(
            "retry-after",
            milliseconds.div_ceil(1000).to_string(),
        ));
    }
    let bytes = serde_json::to_vec(&body).expect("plain values have a JSON form");
    server::answer(
        status.map_or(row.status, |status| status.code),
        &headers,
        bytes,
    )
}

impl<'r> Responder<'r, 'static> for Refused {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        Ok(refuse(&self.0, self.1))
    }
}

impl<'r, T: Serialize> Responder<'r, 'static> for Answered<T> {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        Ok(server::json_answer(self.0, &self.1))
    }
}
