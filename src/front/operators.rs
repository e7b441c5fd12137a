//! The HTTP calls for operators: status, readiness, configuration, evacuations and planned
//! stops.

use std::sync::Arc;

use rocket::{Route, State, delete, get, post, routes};
use serde::{Deserialize, Serialize};

use super::answers::{JsonAnswer, RefusalAnswer};
use super::jobs::{Credentials, reject};
use crate::configuration::{
    CONFIGURATION_KEY, Configuration, Publication, PublishOutcome, PublishStep, StoredConfiguration,
};
use crate::counters::Reading;
use crate::drain::evacuation_key;
use crate::entry::{EvacuationView, Node};
use crate::kind::{ErrorKind, Refusal};
use crate::ownership::{HostRevision, ShardStatus};
use crate::placement::WorkerView;
use crate::platform::{Entry, Expect, StoreOp, StoreReply};
use crate::server::RequestBody;

type NodeState = State<Arc<Node>>;
type Reply<T> = Result<JsonAnswer<T>, RefusalAnswer>;

pub(super) fn routes() -> Vec<Route> {
    routes![
        status,
        ready,
        configuration,
        publish,
        evacuate,
        end_evacuation,
        drain
    ]
}

/// The state of one entry host, as it reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// The name of the host, from its settings.
    pub name: String,
    /// The id of the process, as text.
    pub host: String,
    /// The availability zone of the host.
    pub zone: String,
    /// The revision of the configuration that the host has in force.
    pub revision: u64,
    /// Whether the store has confirmed the host's session and it has not expired.
    pub leased: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// The number of interactive requests in progress.
    pub requests: usize,
    /// The number of interactive requests that wait for a worker.
    pub waiting: usize,
    /// The shards of the zone.
    pub shards: Vec<ShardStatus>,
    /// The workers of the zone; their requests and use are counted only for shards
    /// that the host owns.
    pub workers: Vec<WorkerView>,
    /// The other entry hosts, with the configuration revision of each.
    pub peers: Vec<HostRevision>,
    /// The evacuated zones, and what still runs there.
    #[serde(default)]
    pub evacuations: Vec<EvacuationView>,
    /// Every counter that is not zero, and the task counts.
    pub counters: Vec<Reading>,
}

/// The answer to a published configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Published {
    /// The revision that the configuration has in the store.
    pub revision: u64,
}

#[get("/status")]
async fn status(credentials: Credentials, node: &NodeState) -> Reply<EntryStatus> {
    credentials
        .authenticate_operator(node)
        .map_err(|refusal| reject(node, refusal))?;
    Ok(JsonAnswer(200, read_status(node)))
}

fn read_status(node: &Node) -> EntryStatus {
    let mut counters = node.counters.read();
    counters.extend(node.gate.read().into_iter().filter(|each| each.value > 0));
    node.read(|core, now| {
        let counts = core.task_counts();
        for (name, value) in [
            ("tasks_started", counts.started),
            ("tasks_finished", counts.finished),
            ("tasks_evicted", counts.evicted),
            ("tasks_withdrawn", counts.withdrawn),
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
            shards: core.ownership.shard_statuses(now),
            workers: core.placement.views(now),
            peers: core.ownership.revisions(now),
            evacuations: core.evacuations(now),
            counters,
        }
    })
}

/// Readiness check for a load balancer: succeeds if this host should receive
/// requests.
#[get("/ready")]
async fn ready(node: &NodeState) -> Reply<&'static str> {
    let refuse = |kind, message: &str| Err(RefusalAnswer(Refusal::new(kind, message), None));
    if node.is_stopping() {
        return refuse(ErrorKind::Stopping, "this entry host is stopping");
    }
    match node.read(|core, _| core.configuration().map(|_| ())) {
        Ok(()) => Ok(JsonAnswer(200, "ready")),
        Err(refusal) => Err(RefusalAnswer(refusal, None)),
    }
}

#[get("/configuration")]
async fn configuration(credentials: Credentials, node: &NodeState) -> Reply<Configuration> {
    let found = credentials
        .authenticate_operator(node)
        .and_then(|()| node.read(|core, _| core.configuration().cloned()));
    found
        .map(|configuration| JsonAnswer(200, configuration))
        .map_err(|refusal| reject(node, refusal))
}

/// Publishes a configuration.
#[post("/configuration", data = "<wanted>")]
async fn publish(
    credentials: Credentials,
    wanted: RequestBody,
    node: &NodeState,
) -> Reply<Published> {
    let published = async {
        credentials.authenticate_operator(node)?;
        publish_to_store(node, wanted.json()?).await
    };
    let revision = published.await.map_err(|refusal| reject(node, refusal))?;
    Ok(JsonAnswer(200, Published { revision }))
}

async fn publish_to_store(node: &Node, wanted: Configuration) -> Result<u64, Refusal> {
    let author = wanted.author.clone();
    let mut publication = Publication::new(wanted, &author, rand::random());
    let mut step = PublishStep::Read;
    loop {
        step = match step {
            PublishStep::Read => {
                let found = node.platform.get(CONFIGURATION_KEY).await.ok();
                publication.on_read(found.map(|entry| entry.and_then(parse_entry)))
            }
            PublishStep::Swap { version, value } => {
                let answer = swap_configuration(node, version, &value).await;
                publication.on_swap(answer)
            }
            PublishStep::Done(PublishOutcome::Accepted(revision)) => return Ok(revision),
            PublishStep::Done(PublishOutcome::Refused(refusal)) => return Err(refusal),
            PublishStep::Done(PublishOutcome::Unknown) => {
                let message =
                    "the store's answer was lost; check the status before you publish again";
                return Err(Refusal::new(ErrorKind::AnswerLost, message));
            }
        };
    }
}

fn parse_entry(entry: Entry) -> Option<StoredConfiguration> {
    Some(StoredConfiguration {
        version: entry.version,
        value: serde_json::from_str(entry.value.as_deref()?).ok()?,
    })
}

/// Writes a configuration if the stored version is still `version`. Returns `None`
/// if the outcome is unknown.
async fn swap_configuration(node: &Node, version: u64, value: &Configuration) -> Option<bool> {
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

/// The answer to a request to evacuate a zone, or to end that, which the store has
/// confirmed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationBody {
    /// The name of the zone.
    pub zone: String,
    /// Whether the zone is to be evacuated.
    pub evacuated: bool,
}

/// Requests the evacuation of a zone.
#[post("/evacuations/<zone>")]
async fn evacuate(zone: &str, credentials: Credentials, node: &NodeState) -> Reply<EvacuationBody> {
    let requested = async {
        credentials.authenticate_operator(node)?;
        node.read(|core, _| check_zone(core.configuration()?, zone))?;
        let op = StoreOp::Put {
            key: evacuation_key(zone),
            value: "{}".to_owned(),
            expect: Expect::Any,
            lease: None,
        };
        write_request(node, op).await
    };
    requested.await.map_err(|refusal| reject(node, refusal))?;
    Ok(evacuation_answer(zone, true))
}

/// Ends the evacuation of a zone. The zone need not be configured any more.
#[delete("/evacuations/<zone>")]
async fn end_evacuation(
    zone: &str,
    credentials: Credentials,
    node: &NodeState,
) -> Reply<EvacuationBody> {
    let requested = async {
        credentials.authenticate_operator(node)?;
        let known = node.read(|core, _| core.is_evacuated(zone));
        if !known {
            node.read(|core, _| check_zone(core.configuration()?, zone))?;
        }
        let key = evacuation_key(zone);
        write_request(node, StoreOp::Delete { key }).await
    };
    requested.await.map_err(|refusal| reject(node, refusal))?;
    Ok(evacuation_answer(zone, false))
}

fn evacuation_answer(zone: &str, evacuated: bool) -> JsonAnswer<EvacuationBody> {
    let zone = zone.to_owned();
    JsonAnswer(200, EvacuationBody { zone, evacuated })
}

/// Refuses a zone that is not configured: its name is probably mistyped.
fn check_zone(configuration: &Configuration, zone: &str) -> Result<(), Refusal> {
    let known: Vec<&str> = configuration
        .zones
        .iter()
        .map(|known| known.name.as_str())
        .collect();
    if known.contains(&zone) {
        return Ok(());
    }
    let message = format!("zone = {zone:?}: give one of {}", known.join(", "));
    Err(Refusal::new(ErrorKind::BadRequest, message))
}

async fn write_request(node: &Node, op: StoreOp) -> Result<(), Refusal> {
    match node.platform.call(op).await {
        Ok(_) => Ok(()),
        Err(_) => {
            let message = "the store did not confirm the request; it may have taken effect, \
                           and it can be repeated";
            Err(Refusal::new(ErrorKind::AnswerLost, message))
        }
    }
}

/// Begins a planned stop of this entry host.
#[post("/drain")]
async fn drain(credentials: Credentials, node: &NodeState) -> Reply<&'static str> {
    credentials
        .authenticate_operator(node)
        .map_err(|refusal| reject(node, refusal))?;
    let node = node.inner().clone();
    tokio::spawn(async move { node.drain().await });
    Ok(JsonAnswer(202, "stopping"))
}
