//! Checks an interactive request before it is dispatched.

use std::time::Duration;

use super::{DEADLINE_HEADER, TEAM_HEADER};
use crate::configuration::Configuration;
use crate::kind::{ErrorKind, Refusal};

/// The headers of a request that are relevant for its admission.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallHeaders<'a> {
    /// The name of the team; absent if the header is missing.
    pub team: Option<&'a str>,
    /// The time that the caller waits, in milliseconds; the deadline of the service if absent.
    pub deadline: Option<&'a str>,
    /// The idempotency key; absent if the request has none.
    pub key: Option<&'a str>,
}

/// An admitted request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Admitted {
    /// The name of the requested service.
    pub service: String,
    /// The name of the team that sends the request.
    pub team: String,
    /// The time left to answer the request.
    pub deadline: Duration,
    /// Whether the request must run at most once.
    pub once: bool,
}

/// Checks a request to a service and limits its deadline to `max_deadline`.
///
/// # Errors
///
/// Returns a refusal that contains the unknown or invalid value.
///
/// ```
/// use std::time::Duration;
/// use lycheelock::admission::{CallHeaders, admit};
/// use lycheelock::configuration::Configuration;
///
/// let configuration = Configuration::default();
/// let headers = CallHeaders::default();
/// let max_deadline = Duration::from_secs(1);
/// let refusal = admit(&configuration, "fit", "GET", "/", headers, max_deadline).unwrap_err();
/// assert_eq!(refusal.message, "service \"fit\" is not configured");
/// ```
pub fn admit(
    configuration: &Configuration,
    service: &str,
    method: &str,
    path: &str,
    headers: CallHeaders<'_>,
    max_deadline: Duration,
) -> Result<Admitted, Refusal> {
    let service = configuration.service(service).ok_or_else(|| {
        let message = format!("service {service:?} is not configured");
        Refusal::new(ErrorKind::UnknownService, message)
    })?;
    let team = headers.team.ok_or_else(|| {
        let message = format!("header {TEAM_HEADER} is missing; name your team");
        Refusal::new(ErrorKind::BadRequest, message)
    })?;
    if configuration.team(team).is_none() {
        let message = format!("team {team:?} is not configured");
        return Err(Refusal::new(ErrorKind::UnknownTeam, message));
    }
    let deadline = match headers.deadline {
        Some(text) => parse_deadline(text)?,
        None => service.deadline,
    };
    Ok(Admitted {
        service: service.name.clone(),
        team: team.to_owned(),
        deadline: deadline.min(max_deadline),
        once: headers.key.is_some() || service.runs_once(method, path),
    })
}

fn parse_deadline(text: &str) -> Result<Duration, Refusal> {
    let parsed = text.parse().ok().filter(|deadline| *deadline > 0);
    parsed.map(Duration::from_millis).ok_or_else(|| {
        let message = format!("header {DEADLINE_HEADER} = {text:?}: give milliseconds, 1 or more");
        Refusal::new(ErrorKind::BadRequest, message)
    })
}
