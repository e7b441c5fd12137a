//! Runs a whole deployment in one process: a platform, workers and entry hosts
//! that talk over loopback sockets.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::configuration::Configuration;
use crate::entry::{Node, RunningNode};
use crate::operator::EntryClient;
use crate::placement::Policy;
use crate::server::RunningServer;
use crate::settings::{EntrySettings, Timing, WorkerSettings};
use crate::standins::platform::PlatformStandin;
use crate::standins::worker::{Journal, WorkerStandin};
use crate::{Error, Result};

/// Token that operators authenticate with.
const OPERATOR_TOKEN: &str = "operator-demo";
/// Secret that the entry hosts authenticate each other with.
const PEER_KEY: &str = "peers-demo";
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The size of a cluster and the settings of its processes.
#[derive(Debug, Clone)]
pub struct ClusterSettings {
    /// Number of entry hosts in each availability zone.
    pub entries: usize,
    /// Number of workers in each availability zone.
    pub workers: usize,
    /// Number of workers in a rack.
    pub rack_size: usize,
    /// Settings that all workers share; the cluster sets name, zone, rack and addresses.
    pub worker_defaults: WorkerSettings,
    /// Timing settings of the entry hosts.
    pub timing: Timing,
    /// Placement policy of the entry hosts.
    pub policy: Policy,
}

impl Default for ClusterSettings {
    fn default() -> Self {
        Self {
            entries: 2,
            workers: 6,
            rack_size: 2,
            worker_defaults: WorkerSettings::default(),
            timing: Timing::default(),
            policy: Policy::Shipped,
        }
    }
}

/// A running cluster with handles to all its processes.
#[derive(Debug)]
pub struct Cluster {
    /// The simulated platform.
    pub platform: Arc<PlatformStandin>,
    /// The simulated workers.
    pub workers: Vec<Arc<WorkerStandin>>,
    /// The entry hosts; `None` for one that was stopped.
    pub entries: Vec<Option<RunningNode>>,
    /// Addresses of the entry hosts, including stopped ones.
    pub addresses: Vec<SocketAddr>,
    servers: Vec<RunningServer>,
}

/// Returns a loopback address whose port is free at the time of the call.
pub(super) fn free_address() -> Result<SocketAddr> {
    Ok(TcpListener::bind("127.0.0.1:0")?.local_addr()?)
}

impl Cluster {
    /// Starts a platform, and workers and entry hosts in every availability zone.
    ///
    /// # Errors
    ///
    /// Fails when no free port is found or a process does not start.
    pub async fn start(settings: &ClusterSettings, zones: &[String]) -> Result<Self> {
        let platform = Arc::new(PlatformStandin::default());
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
        let worker = WorkerStandin::new(WorkerSettings {
            name: format!("{zone}-w{number}"),
            zone: zone.to_owned(),
            rack: format!("{zone}-r{}", number / settings.rack_size),
            address: free_address()?,
            platform,
            ..settings.worker_defaults.clone()
        });
        self.servers.push(worker.start().await?);
        self.platform.upsert_host(worker.listed_host());
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
            token: OPERATOR_TOKEN.to_owned(),
            key: PEER_KEY.to_owned(),
            timing: settings.timing.clone(),
            ..EntrySettings::default()
        };
        self.addresses.push(entry.address);
        let running = Node::start(entry, settings.policy).await?;
        self.entries.push(Some(running));
        Ok(())
    }

    /// Returns a client of an entry host for operators.
    pub fn operator_client(&self, entry: usize) -> EntryClient {
        EntryClient::new(&self.addresses[entry].to_string(), OPERATOR_TOKEN, None)
    }

    /// Returns a client of an entry host that submits jobs for a team.
    pub fn team_client(&self, entry: usize, team: &str, token: &str) -> EntryClient {
        EntryClient::new(&self.addresses[entry].to_string(), token, Some(team))
    }

    /// Publishes a configuration and waits until every shard is owned and
    /// every worker is usable.
    ///
    /// # Errors
    ///
    /// Fails when that takes longer than `timeout`.
    pub async fn prepare(&self, configuration: &Configuration, timeout: Duration) -> Result<()> {
        let deadline = Instant::now() + timeout;
        let client = self.operator_client(0);
        client.publish(configuration).await?;
        while !self.is_ready().await {
            if Instant::now() >= deadline {
                return Err(Error::Unreachable {
                    address: self.addresses[0].to_string(),
                    reason: "the cluster did not become ready in time".to_owned(),
                });
            }
            sleep(STATUS_POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn is_ready(&self) -> bool {
        let mut usable = 0;
        for (number, entry) in self.entries.iter().enumerate() {
            if entry.is_none() {
                continue;
            }
            let Ok(status) = self.operator_client(number).status().await else {
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

    /// Requests the evacuation of an availability zone, or ends it, and waits until every
    /// running entry host follows that.
    ///
    /// # Errors
    ///
    /// Fails when the request is refused, or when that takes longer than `timeout`.
    pub async fn evacuate(&self, zone: &str, end: bool, timeout: Duration) -> Result<()> {
        let deadline = Instant::now() + timeout;
        self.operator_client(0).evacuate(zone, end).await?;
        while !self.all_follow(zone, end).await {
            if Instant::now() >= deadline {
                return Err(Error::Unreachable {
                    address: self.addresses[0].to_string(),
                    reason: format!("not every entry host follows the evacuation of {zone}"),
                });
            }
            sleep(STATUS_POLL_INTERVAL).await;
        }
        Ok(())
    }

    async fn all_follow(&self, zone: &str, end: bool) -> bool {
        for (number, entry) in self.entries.iter().enumerate() {
            if entry.is_none() {
                continue;
            }
            let Ok(status) = self.operator_client(number).status().await else {
                return false;
            };
            let mut evacuated = status.evacuations.iter();
            if evacuated.any(|each| each.zone == zone) == end {
                return false;
            }
        }
        true
    }

    /// Waits until nothing runs in an evacuated zone, as an entry host shows it; `timeout`
    /// at most. Returns whether nothing does.
    pub async fn wait_empty(&self, zone: &str, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Ok(status) = self.operator_client(0).status().await {
                let mut evacuations = status.evacuations.iter();
                if evacuations.any(|each| each.zone == zone && each.empty) {
                    return true;
                }
            }
            sleep(STATUS_POLL_INTERVAL).await;
        }
        false
    }

    /// Returns the names of the workers of an availability zone.
    pub fn workers_of(&self, zone: &str) -> Vec<String> {
        let listed = self.workers.iter().map(|worker| worker.listed_host());
        let of_zone = listed.filter(|host| host.zone == zone);
        of_zone.map(|host| host.name).collect()
    }

    /// Stops an entry host by a planned shutdown.
    pub async fn stop_entry(&mut self, number: usize) {
        if let Some(running) = self.entries[number].take() {
            running.stop().await;
        }
    }

    /// Returns the journals of all workers.
    pub fn journals(&self) -> Vec<Journal> {
        self.workers.iter().map(|worker| worker.journal()).collect()
    }

    /// Stops the entry hosts, then aborts the servers of the workers and the platform.
    pub async fn stop(mut self) {
        for number in 0..self.entries.len() {
            self.stop_entry(number).await;
        }
        for server in self.servers {
            server.abort();
        }
    }
}
