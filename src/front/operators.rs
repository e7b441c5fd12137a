//! The calls of operators: status, configuration, planned stops.

use std::sync::Arc;

use rocket::serde::json::{Error as JsonError, Json};
use rocket::{Route, State, get, post, routes};
use serde::{Deserialize, Serialize};

use super::answers::{Answered, Refused};
use super::jobs::{Asker, bad_body, refused};
use crate::configuration::{
    CONFIGURATION_KEY, Configuration, Publication, PublishOutcome, PublishStep, StoredConfiguration,
};
use crate::counters::Reading;
use crate::entry::Node;
use crate::kind::{ErrorKind, Refusal};
use crate::ownership::{HostRevision, ShardView};
use crate::placement::WorkerView;
use crate::platform::{Entry, Expect, StoreOp, StoreReply};

type Shared = State<Arc<Node>>;
type Reply<T> = Result<Answered<T>, Refused>;

pub(super) fn routes() -> Vec<Route> {
    routes![status, ready, configuration, publish, drain]
}

/// The state of one entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The host's name.
    pub name: String,
    /// The process.
    pub host: String,
    /// Its availability zone.
    pub zone: String,
    /// The revision of the configuration in force.
    pub revision: u64,
    /// Whether its session at the store is confirmed.
    pub leased: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// Interactive requests in progress.
    pub requests: usize,
    /// Interactive requests that wait.
    pub waiting: usize,
    /// The zone's shards.
    pub shards: Vec<ShardView>,
    /// The zone's workers; only those of owned shards are counted here.
    pub workers: Vec<WorkerView>,
    /// The other entry hosts.
    pub peers: Vec<HostRevision>,
    /// Every counter that is not zero.
    pub counters: Vec<Reading>,
}

/// A configuration that is in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// Its revision.
    pub revision: u64,
}

#[get("/status")]
async fn status(asker: Asker, node: &Shared) -> Reply<EntryStatus> {
    asker
        .check_operator(node)
        .map_err(|refusal| refused(node, refusal))?;
    Ok(Answered(200, read_status(node)))
}

fn read_status(node: &Node) -> EntryStatus {
    let mut counters = node.counters.read();
    node.look(|core, now| {
        let counts = core.task_counts();
        for (name, value) in [
            ("tasks_started", counts.started),
            ("tasks_finished", counts.finished),
            ("tasks_evicted", counts.evicted),
        ] {
            counters.push(Reading {
                name: name.to_owned(),
                value,
            });
        }
        EntryStatus {
            name: node.settings.name.clone(),
            host: node.me.to_string(),
            zone: node.settings.zone.clone(),
            revision: core.current.revision(),
            leased: core.ownership.is_leased(now),
            stopping: node.is_stopping(),
            requests: core.dispatch.len(),
            waiting: core.dispatch.waiting(),
            shards: core.ownership.view(now),
            workers: core.placement.views(now),
            peers: core.ownership.revisions(now),
            counters,
        }
    })
}

/// For the balancer: whether this host should get requests.
#[get("/ready")]
async fn ready(node: &Shared) -> Reply<&'static str> {
    let refuse = |kind, message: &str| Err(Refused(Refusal::new(kind, message), None));
    if node.is_stopping() {
        return refuse(ErrorKind::Stopping, "this entry host is stopping");
    }
    match node.look(|core, _| core.configuration().map(|_| ())) {
        Ok(()) => Ok(Answered(200, "ready")),
        Err(refusal) => Err(Refused(refusal, None)),
    }
}

#[get("/configuration")]
async fn configuration(asker: Asker, node: &Shared) -> Reply<Configuration> {
    let found = asker
        .check_operator(node)
        .and_then(|()| node.look(|core, _| core.configuration().cloned()));
    found
        .map(|configuration| Answered(200, configuration))
        .map_err(|refusal| refused(node, refusal))
}

/// Publishes a configuration for an operator.
#[post("/configuration", data = "<wanted>")]
async fn publish(
    asker: Asker,
    wanted: Result<Json<Configuration>, JsonError<'_>>,
    node: &Shared,
) -> Reply<Published> {
    let published = async {
        asker.check_operator(node)?;
        let wanted = wanted.map_err(|error| bad_body(&error))?.into_inner();
        publish_to_store(node, wanted).await
    };
    let revision = published.await.map_err(|refusal| refused(node, refusal))?;
    Ok(Answered(200, Published { revision }))
}

async fn publish_to_store(node: &Node, wanted: Configuration) -> Result<u64, Refusal> {
    let author = wanted.author.clone();
    let mut publication = Publication::new(wanted, &author, rand::random());
    let mut step = PublishStep::Read;
    loop {
        step = match step {
            PublishStep::Read => {
                let found = node.platform.get(CONFIGURATION_KEY).await.ok();
                publication.on_read(found.map(|entry| entry.and_then(stored)))
            }
            PublishStep::Swap { version, value } => {
                let answer = swap(node, version, &value).await;
                publication.on_swap(answer)
            }
            PublishStep::Done(PublishOutcome::Accepted(revision)) => return Ok(revision),
            PublishStep::Done(PublishOutcome::Refused(refusal)) => return Err(refusal),
            PublishStep::Done(PublishOutcome::Unknown) => {
                let message = "the store's answer is lost; look at the status before you repeat it";
                return Err(Refusal::new(ErrorKind::AnswerLost, message));
            }
        };
    }
}

fn stored(entry: Entry) -> Option<StoredConfiguration> {
    Some(StoredConfiguration {
        version: entry.version,
        value: serde_json::from_str(entry.value.as_deref()?).ok()?,
    })
}

async fn swap(node: &Node, version: u64, value: &Configuration) -> Option<bool> {
    let op = StoreOp::Put {
        key: CONFIGURATION_KEY.to_owned(),
        value: serde_json::to_string(value).ok()?,
        expect: match version {
            0 => Expect::Absent,
            version => Expect::Version(version),
        },
        lease: None,
    };
    match node.platform.call(op).await {
        Ok(StoreReply::Written(_)) => Some(true),
        Ok(_) => Some(false),
        Err(_) => None,
    }
}

/// Begins a planned stop of this entry host.
#[post("/drain")]
async fn drain(asker: Asker, node: &Shared) -> Reply<&'static str> {
    asker
        .check_operator(node)
        .map_err(|refusal| refused(node, refusal))?;
    let node = node.inner().clone();
    tokio::spawn(async move { node.drain().await });
    Ok(Answered(202, "stopping"))
}
