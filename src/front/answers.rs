//! Answers that the entry host writes itself, as JSON.

use rocket::Request;
use rocket::http::Status;
use rocket::response::{Responder, Response};
use serde::Serialize;

use crate::kind::{Refusal, RunStatus};
use crate::server;
use crate::workers::HeaderLine;

/// The answer header that names the kind of a refusal.
pub const ERROR_HEADER: &str = "lycheelock-error";
/// The answer header that says whether the refused request ran: no, unknown or yes.
pub const RUN_HEADER: &str = "lycheelock-run";

/// Answers with a refusal, under the given status or that of its kind.
pub(super) struct RefusalAnswer(pub Refusal, pub Option<Status>);

/// Answers with a status code and a value as JSON.
pub(super) struct JsonAnswer<T>(pub u16, pub T);

#[derive(Serialize)]
struct RefusalBody<'a> {
    error: &'a str,
    run: RunStatus,
    retry_after_ms: Option<u64>,
    message: &'a str,
}

/// Returns the status, headers and body of the answer to a refusal: a JSON body, with
/// the kind, the run state and the retry delay also in headers.
pub(crate) fn refusal_parts(
    refusal: &Refusal,
    status: Option<Status>,
) -> (u16, Vec<HeaderLine>, Vec<u8>) {
    let response = refusal.kind.response();
    let retry_after_ms = response.retry_after.map(|retry| retry.as_millis() as u64);
    let body = RefusalBody {
        error: response.name,
        run: response.run,
        retry_after_ms,
        message: &refusal.message,
    };
    let header = |name: &str, value: String| HeaderLine {
        name: name.to_owned(),
        value,
    };
    let mut headers = vec![
        header("content-type", "application/json".to_owned()),
        header(ERROR_HEADER, response.name.to_owned()),
        header(RUN_HEADER, response.run.name().to_owned()),
    ];
    if let Some(milliseconds) = retry_after_ms {
        headers.push(header(
            "retry-after",
            milliseconds.div_ceil(1000).to_string(),
        ));
    }
    let bytes = serde_json::to_vec(&body).expect("plain values serialize to JSON");
    let status = status.map_or(response.status, |status| status.code);
    (status, headers, bytes)
}

/// Builds the answer to a refusal from [`refusal_parts`].
pub(crate) fn refusal_answer(refusal: &Refusal, status: Option<Status>) -> Response<'static> {
    let (status, headers, body) = refusal_parts(refusal, status);
    server::answer(status, &headers, body)
}

impl<'r> Responder<'r, 'static> for RefusalAnswer {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        Ok(refusal_answer(&self.0, self.1))
    }
}

impl<'r, T: Serialize> Responder<'r, 'static> for JsonAnswer<T> {
    fn respond_to(self, _: &'r Request<'_>) -> rocket::response::Result<'static> {
        Ok(server::json_answer(self.0, &self.1))
    }
}
