//! Start, reload and planned stop of the daemon.

use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use log::LevelFilter;
use tokio::signal::unix::{SignalKind, signal};
use tokio::time::{sleep, timeout};

use super::lines::DaemonLine;
use super::{Node, configuration, health, ingress, ownership, probe};
use crate::drain::wait_for_stop;
use crate::server::RunningServer;
use crate::settings::FleetSettings;
use crate::{Result, journal};

/// The time within which the load balancer notices that this host is not ready.
const BALANCER_DELAY: Duration = Duration::from_millis(2300);
/// The margin before the end of the grace period, when the process is killed.
const KILL_MARGIN: Duration = Duration::from_millis(900);
/// The interval at which the settings file is checked for changes without a
/// signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);
/// The delay in which the last answers and log lines are flushed.
const FLUSH_DELAY: Duration = Duration::from_millis(250);
/// The interval at which a planned stop checks for requests in progress, and the
/// additional time that the release of the shards has after that.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the daemon until a planned stop is complete, then returns true.
///
/// # Errors
///
/// Fails if the settings are invalid or an address is already in use.
pub async fn run(path: &Path) -> Result<bool> {
    journal::init(LevelFilter::Info)?;
    let settings = FleetSettings::read(path)?;
    let node = Node::new(settings);
    let front = RunningServer::start(ingress::build(&node)).await?;
    let ready = RunningServer::start(probe::ready_server(&node)).await?;
    let metrics = RunningServer::start(probe::metrics_server(&node)).await?;
    journal::line(&DaemonLine::Started {
        host: &node.settings.name,
        zone: &node.settings.zone,
        incarnation: node.incarnation,
    });
    tokio::spawn(configuration::follow(node.clone()));
    tokio::spawn(health::probe(node.clone()));
    tokio::spawn(reload(node.clone(), path.to_owned()));
    let follower = tokio::spawn(ownership::follow(node.clone()));
    wait_for_stop().await;
    stop(&node, front, follower).await;
    ready.abort();
    metrics.abort();
    Ok(true)
}

/// Releases the shards, serves requests until the load balancer sends no more,
/// and finishes those in progress.
async fn stop(node: &Node, front: RunningServer, follower: tokio::task::JoinHandle<()>) {
    journal::line(&DaemonLine::Stopping {
        in_progress: node.in_progress.len(),
    });
    node.stop.send_replace(true);
    sleep(BALANCER_DELAY).await;
    front.close();
    let idle = async {
        while !node.in_progress.is_empty() {
            sleep(POLL_INTERVAL).await;
        }
    };
    let remaining = node
        .settings
        .grace
        .saturating_sub(BALANCER_DELAY + KILL_MARGIN);
    if timeout(remaining, idle).await.is_err() {
        log::warn!("the grace period ended with requests in progress");
    }
    if timeout(POLL_INTERVAL, follower).await.is_err() {
        log::warn!("the shards were not released in time");
    }
    sleep(FLUSH_DELAY).await;
    front.abort();
    journal::line(&DaemonLine::Stopped {
        in_progress: node.in_progress.len(),
    });
    sleep(FLUSH_DELAY).await;
}

/// Reads the settings again on SIGHUP, and periodically without it.
async fn reload(node: Arc<Node>, path: PathBuf) {
    let mut known = node.settings.clone();
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        log::error!("cannot listen for SIGHUP, the settings are not reloaded");
        return;
    };
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(RELOAD_INTERVAL) => false,
        };
        match FleetSettings::read(&path) {
            Ok(settings) if settings == known => {
                if signalled {
                    log_reload(false, "the settings have not changed".to_owned());
                }
            }
            Ok(settings) => {
                let platform = settings.platform;
                node.store.move_to(platform);
                log_reload(true, format!("platform = {platform}"));
                known = settings;
            }
            Err(error) => log_reload(false, error.to_string()),
        }
    }
}

fn log_reload(applied: bool, reason: String) {
    journal::line(&DaemonLine::Reloaded { applied, reason });
}
