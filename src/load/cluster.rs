//! A whole deployment in one process: a platform, workers and entry hosts,
//! over real loopback sockets.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::configuration::Configuration;
use crate::entry::{Node, Started};
use crate::operator::EntryClient;
use crate::placement::Policy;
use crate::server::Running;
use crate::settings::{EntrySettings, Timing, WorkerSettings};
use crate::standins::platform::Standin;
use crate::standins::worker::{Journal, Worker};
use crate::{Error, Result};

/// The operators' token of the cluster.
const TOKEN: &str = "operator-demo";
const KEY: &str = "peers-demo";
const POLL: Duration = Duration::from_millis(100);

/// The shape of a cluster.
#[derive(Debug, Clone)]
pub struct ClusterSettings {
    /// Entry hosts in each availability zone.
    pub entries: usize,
    /// Workers in each availability zone.
    pub workers: usize,
    /// Workers in a rack.
    pub rack: usize,
    /// What the workers have in common.
    pub worker: WorkerSettings,
    /// Spans of time of the entry hosts.
    pub timing: Timing,
    /// How workers and tasks are chosen.
    pub policy: Policy,
}

impl Default for ClusterSettings {
    fn default() -> Self {
        Self {
            entries: 2,
            workers: 6,
            rack: 2,
            worker: WorkerSettings::default(),
            timing: Timing::default(),
            policy: Policy::Shipped,
        }
    }
}

/// A running cluster.
#[derive(Debug)]
pub struct Cluster {
    /// The platform's stand-in.
    pub platform: Arc<Standin>,
    /// The workers' stand-ins.
    pub workers: Vec<Arc<Worker>>,
    /// The entry hosts; a stopped one is none.
    pub entries: Vec<Option<Started>>,
    /// The addresses of the entry hosts.
    pub addresses: Vec<SocketAddr>,
    servers: Vec<Running>,
}

/// A loopback address with a port that is free now.
pub(super) fn free_address() -> Result<SocketAddr> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}

impl Cluster {
    /// Starts a platform, and workers and entry hosts in every zone.
    ///
    /// # Errors
    ///
    /// Fails when no free port is found.
    pub async fn start(settings: &ClusterSettings, zones: &[String]) -> Result<Self> {
        let platform = Arc::new(Standin::default());
        let address = free_address()?;
        let mut cluster = Self {
            servers: vec![platform.start(address).await?],
            platform,
            workers: Vec::new(),
            entries: Vec::new(),
            addresses: Vec::new(),
        };
        for zone in zones {
            for number in 0..settings.workers {
                cluster.add_worker(settings, zone, number, address).await?;
            }
        }
        for zone in zones {
            for number in 0..settings.entries {
                cluster.add_entry(settings, zone, number, address).await?;
            }
        }
        Ok(cluster)
    }

    async fn add_worker(
        &mut self,
        settings: &ClusterSettings,
        zone: &str,
        number: usize,
        platform: SocketAddr,
    ) -> Result<()> {
        let worker = Worker::new(WorkerSettings {
            name: format!("{zone}-w{number}"),
            zone: zone.to_owned(),
            rack: format!("{zone}-r{}", number / settings.rack),
            address: free_address()?,
            platform,
            ..settings.worker.clone()
        });
        self.servers.push(worker.start().await?);
        self.platform.list(worker.listed());
        self.workers.push(worker);
        Ok(())
    }

    async fn add_entry(
        &mut self,
        settings: &ClusterSettings,
        zone: &str,
        number: usize,
        platform: SocketAddr,
    ) -> Result<()> {
        let entry = EntrySettings {
            name: format!("{zone}-e{number}"),
            zone: zone.to_owned(),
            address: free_address()?,
            peer_address: free_address()?,
            platform,
            token: TOKEN.to_owned(),
            key: KEY.to_owned(),
            timing: settings.timing.clone(),
            ..EntrySettings::default()
        };
        self.addresses.push(entry.address);
        let started = Node::start(entry, settings.policy).await?;
        self.entries.push(Some(started));
        Ok(())
    }

    /// A client of an entry host for operators.
    pub fn operator(&self, entry: usize) -> EntryClient {
        EntryClient::new(&self.addresses[entry].to_string(), TOKEN, None)
    }

    /// A client of an entry host for a team.
    pub fn submitter(&self, entry: usize, team: &str, token: &str) -> EntryClient {
        EntryClient::new(&self.addresses[entry].to_string(), token, Some(team))
    }

    /// Publishes a configuration and waits until every shard is owned and
    /// every worker is usable.
    ///
    /// # Errors
    ///
    /// Fails when that takes longer than `patience`.
    pub async fn prepare(&self, wanted: &Configuration, patience: Duration) -> Result<()> {
        let until = Instant::now() + patience;
        let operator = self.operator(0);
        operator.publish(wanted).await?;
        while !self.is_prepared().await {
            if Instant::now() >= until {
                return Err(Error::Unreachable {
                    address: self.addresses[0].to_string(),
                    reason: "the cluster was not prepared in time".to_owned(),
                });
            }
            sleep(POLL).await;
        }
        Ok(())
    }

    async fn is_prepared(&self) -> bool {
        let mut usable = 0;
        for (number, entry) in self.entries.iter().enumerate() {
            if entry.is_none() {
                continue;
            }
            let Ok(status) = self.operator(number).status().await else {
                return false;
            };
            if status.shards.is_empty() || status.shards.iter().any(|shard| shard.owner.is_none()) {
                return false;
            }
            let workers = status.workers.iter();
            usable += workers.filter(|worker| worker.state == "usable").count();
        }
        usable >= self.workers.len()
    }

    /// Stops an entry host as planned.
    pub async fn stop_entry(&mut self, number: usize) {
        if let Some(started) = self.entries[number].take() {
            started.stop().await;
        }
    }

    /// The journals of all workers.
    pub fn journals(&self) -> Vec<Journal> {
        self.workers.iter().map(|worker| worker.journal()).collect()
    }

    /// Stops everything.
    pub async fn stop(mut self) {
        for number in 0..self.entries.len() {
            self.stop_entry(number).await;
        }
        for server in self.servers {
            server.abort();
        }
    }
}
