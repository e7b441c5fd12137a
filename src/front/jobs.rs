//! The HTTP calls for batch jobs: submit, look up, cancel and account.

use std::sync::Arc;

use rocket::http::Status;
use rocket::request::{FromRequest, Outcome};
use rocket::{Request, Route, State, delete, get, post, routes};
use serde::{Deserialize, Serialize};

use super::answers::{JsonAnswer, RefusalAnswer};
use crate::admission::{KEY_HEADER, TEAM_HEADER};
use crate::configuration::same_secret;
use crate::entry::Node;
use crate::ids::JobId;
use crate::jobs::{Account, JobSpec, JobView};
use crate::kind::{ErrorKind, Refusal};
use crate::server::RequestBody;

type NodeState = State<Arc<Node>>;
type Reply<T> = Result<JsonAnswer<T>, RefusalAnswer>;

pub(super) fn routes() -> Vec<Route> {
    routes![submit, look_up, cancel, account]
}

/// The answer to an accepted submission or cancellation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobIdBody {
    /// The id of the job, as text.
    pub id: String,
}

/// The headers that identify a caller, a team or an operator, and its submission.
pub(super) struct Credentials {
    /// The team's name; `None` if the header is missing.
    pub team: Option<String>,
    /// The bearer token; empty if the header is missing.
    pub token: String,
    /// The idempotency key of a submission; `None` if the header is missing.
    pub key: Option<String>,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Credentials {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let headers = request.headers();
        let bearer = headers.get_one("authorization").unwrap_or_default();
        Outcome::Success(Self {
            team: headers.get_one(TEAM_HEADER).map(str::to_owned),
            token: bearer
                .strip_prefix("Bearer ")
                .unwrap_or_default()
                .to_owned(),
            key: headers.get_one(KEY_HEADER).map(str::to_owned),
        })
    }
}

impl Credentials {
    /// Checks the team's token and returns the team's name.
    fn authenticate_team(&self, node: &Node) -> Result<String, Refusal> {
        let name = self.team.as_deref().ok_or_else(|| {
            let message = format!("header {TEAM_HEADER} is missing; name your team");
            Refusal::new(ErrorKind::BadRequest, message)
        })?;
        node.read(|core, _| {
            let team = core.configuration()?.team(name).ok_or_else(|| {
                let message = format!("team {name:?} is not configured");
                Refusal::new(ErrorKind::UnknownTeam, message)
            })?;
            match team.accepts(&self.token) {
                true => Ok(team.name.clone()),
                false => Err(bad_token()),
            }
        })
    }

    /// Checks the operators' token.
    pub fn authenticate_operator(&self, node: &Node) -> Result<(), Refusal> {
        match same_secret(&node.settings.token, &self.token) {
            true => Ok(()),
            false => Err(bad_token()),
        }
    }
}

fn bad_token() -> Refusal {
    let message = "header authorization: give \"Bearer TOKEN\" with the right token";
    Refusal::new(ErrorKind::BadToken, message)
}

/// Counts a refusal and turns it into an answer.
pub(super) fn reject(node: &Node, refusal: Refusal) -> RefusalAnswer {
    node.counters.refused(refusal.kind);
    RefusalAnswer(refusal, None)
}

#[post("/jobs", data = "<spec>")]
async fn submit(credentials: Credentials, spec: RequestBody, node: &NodeState) -> Reply<JobIdBody> {
    let submitted = async {
        let team = credentials.authenticate_team(node)?;
        let spec: JobSpec = spec.json()?;
        node.submit(&team, credentials.key.as_deref(), &spec).await
    };
    let id = submitted.await.map_err(|refusal| reject(node, refusal))?;
    Ok(JsonAnswer(
        Status::Accepted.code,
        JobIdBody { id: id.to_string() },
    ))
}

fn parse_job_id(id: &str) -> Result<JobId, Refusal> {
    id.parse::<JobId>()
        .map_err(|error| Refusal::new(ErrorKind::BadRequest, error.to_string()))
}

/// Looks up a job. A team sees only its own jobs, an operator every job.
async fn find_job(credentials: &Credentials, id: &str, node: &Node) -> Result<JobView, Refusal> {
    let job = parse_job_id(id)?;
    let team = match credentials.authenticate_operator(node) {
        Ok(()) => None,
        Err(_) => Some(credentials.authenticate_team(node)?),
    };
    let view = node.job(job).await?;
    match team {
        Some(team) if team != view.team => Err(Refusal::new(
            ErrorKind::UnknownJob,
            format!("job {id} is not known"),
        )),
        _ => Ok(view),
    }
}

#[get("/jobs/<id>")]
async fn look_up(id: &str, credentials: Credentials, node: &NodeState) -> Reply<JobView> {
    let view = find_job(&credentials, id, node).await;
    view.map(|view| JsonAnswer(200, view))
        .map_err(|refusal| reject(node, refusal))
}

#[delete("/jobs/<id>")]
async fn cancel(id: &str, credentials: Credentials, node: &NodeState) -> Reply<JobIdBody> {
    let cancelled = async {
        let view = find_job(&credentials, id, node).await?;
        node.cancel(parse_job_id(&view.id)?).await?;
        Ok(view.id)
    };
    let id = cancelled.await.map_err(|refusal| reject(node, refusal))?;
    Ok(JsonAnswer(200, JobIdBody { id }))
}

/// Returns the account: of all teams for an operator, of the calling team otherwise.
#[get("/account")]
async fn account(credentials: Credentials, node: &NodeState) -> Reply<Account> {
    let team = match credentials.authenticate_operator(node) {
        Ok(()) => None,
        Err(_) => Some(
            credentials
                .authenticate_team(node)
                .map_err(|refusal| reject(node, refusal))?,
        ),
    };
    let mut account = node.account().await;
    if let Some(team) = team {
        account.teams.retain(|name, _| *name == team);
        account.jobs.retain(|job| job.team == team);
    }
    Ok(JsonAnswer(200, account))
}
