//! Batch jobs: submit, look up, cancel.

use std::sync::Arc;

use rocket::http::Status;
use rocket::request::{FromRequest, Outcome};
use rocket::serde::json::{Error as JsonError, Json};
use rocket::{Request, Route, State, delete, get, post, routes};
use serde::{Deserialize, Serialize};

use super::answers::{Answered, Refused};
use crate::admission::{KEY_HEADER, TEAM_HEADER};
use crate::configuration::same_secret;
use crate::entry::Node;
use crate::ids::JobId;
use crate::jobs::{Account, JobSpec, JobView};
use crate::kind::{ErrorKind, Refusal};

type Shared = State<Arc<Node>>;
type Reply<T> = Result<Answered<T>, Refused>;

pub(super) fn routes() -> Vec<Route> {
    routes![submit, look_up, cancel, account]
}

/// An accepted job.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcceptedJob {
    /// Its id.
    pub id: String,
}

/// Who asks: a team with its token, or an operator.
pub(super) struct Asker {
    pub team: Option<String>,
    pub token: String,
    pub key: Option<String>,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Asker {
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

impl Asker {
    /// The team whose token was given.
    fn check_team(&self, node: &Node) -> Result<String, Refusal> {
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

    /// Whether the operators' token was given.
    pub fn check_operator(&self, node: &Node) -> Result<(), Refusal> {
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

/// Counts a refusal and answers it.
pub(super) fn refused(node: &Node, refusal: Refusal) -> Refused {
    node.counters.refused(refusal.kind);
    Refused(refusal, None)
}

#[post("/jobs", data = "<spec>")]
async fn submit(
    asker: Asker,
    spec: Result<Json<JobSpec>, JsonError<'_>>,
    node: &Shared,
) -> Reply<AcceptedJob> {
    let submitted = async {
        let team = asker.check_team(node)?;
        let spec = spec.map_err(|error| bad_body(&error))?;
        node.submit(&team, asker.key.as_deref(), &spec).await
    };
    let id = submitted.await.map_err(|refusal| refused(node, refusal))?;
    Ok(Answered(
        Status::Accepted.code,
        AcceptedJob { id: id.to_string() },
    ))
}

pub(super) fn bad_body(error: &JsonError<'_>) -> Refusal {
    let message = match error {
        JsonError::Io(error) => format!("body: {error}"),
        JsonError::Parse(_, error) => format!("body: {error}"),
    };
    Refusal::new(ErrorKind::BadRequest, message)
}

fn parse(id: &str) -> Result<JobId, Refusal> {
    id.parse::<JobId>()
        .map_err(|error| Refusal::new(ErrorKind::BadRequest, error.to_string()))
}

/// Looks up a job that belongs to the asking team, or any for an operator.
async fn find(asker: &Asker, id: &str, node: &Node) -> Result<JobView, Refusal> {
    let job = parse(id)?;
    let team = match asker.check_operator(node) {
        Ok(()) => None,
        Err(_) => Some(asker.check_team(node)?),
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
async fn look_up(id: &str, asker: Asker, node: &Shared) -> Reply<JobView> {
    let view = find(&asker, id, node).await;
    view.map(|view| Answered(200, view))
        .map_err(|refusal| refused(node, refusal))
}

#[delete("/jobs/<id>")]
async fn cancel(id: &str, asker: Asker, node: &Shared) -> Reply<AcceptedJob> {
    let cancelled = async {
        let view = find(&asker, id, node).await?;
        node.cancel(parse(&view.id)?).await?;
        Ok(view.id)
    };
    let id = cancelled.await.map_err(|refusal| refused(node, refusal))?;
    Ok(Answered(200, AcceptedJob { id }))
}

/// The account: of all teams for an operator, of its own for a team.
#[get("/account")]
async fn account(asker: Asker, node: &Shared) -> Reply<Account> {
    let team = match asker.check_operator(node) {
        Ok(()) => None,
        Err(_) => Some(
            asker
                .check_team(node)
                .map_err(|refusal| refused(node, refusal))?,
        ),
    };
    let mut account = node.account().await;
    if let Some(team) = team {
        account.teams.retain(|name, _| *name == team);
        account.jobs.retain(|job| job.team == team);
    }
    Ok(Answered(200, account))
}
