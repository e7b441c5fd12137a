//! Start, reload and planned stop of the daemon.

use std::future;
use std::panic;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::Duration;

use log::LevelFilter;
use rocket::{Build, Rocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{sleep, timeout};

use super::lines::DaemonLine;
use super::{Node, configuration, health, ingress, ownership, probe};
use crate::drain::{RequestCounter, wait_for_stop};
use crate::server::RunningServer;
use crate::settings::FleetSettings;
use crate::{Error, Result, journal};

/// The time within which the load balancer notices that this host is not ready.
const BALANCER_DELAY: Duration = Duration::from_millis(2300);
/// The margin before the end of the grace period, when the process is killed.
const KILL_MARGIN: Duration = Duration::from_millis(900);
/// The interval at which the settings file is checked for changes without a
/// signal.
const RELOAD_INTERVAL: Duration = Duration::from_secs(2);
/// The limit on open connections to the readiness and to the metrics address.
const INTERNAL_CONNECTIONS: usize = 64;
/// The delay in which the last answers and log lines are flushed.
const FLUSH_DELAY: Duration = Duration::from_millis(250);
/// The interval at which a planned stop checks for requests in progress, and the
/// additional time that the release of the shards has after that.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Runs the daemon until a planned stop is complete, then returns true.
///
/// # Errors
///
/// Fails if the settings are invalid, an address is already in use, or a task that the
/// daemon cannot work without has panicked.
pub async fn run(path: &Path) -> Result<bool> {
    journal::init(LevelFilter::Info)?;
    log_panics();
    let settings = FleetSettings::read(path)?;
    let node = Node::new(settings);
    let front = ingress::build(&node);
    let front = RunningServer::serve(front, node.gate.clone(), node.in_progress.clone()).await?;
    let ready = serve_internal(&node, probe::ready_server(&node)).await?;
    let metrics = serve_internal(&node, probe::metrics_server(&node)).await?;
    journal::line(&DaemonLine::Started {
        host: &node.settings.name,
        zone: &node.settings.zone,
        incarnation: node.incarnation,
    });
    let mut tasks = JoinSet::new();
    tasks.spawn(configuration::follow(node.clone()));
    tasks.spawn(health::probe(node.clone()));
    tasks.spawn(reload(node.clone(), path.to_owned()));
    let mut follower = tokio::spawn(ownership::follow(node.clone()));
    tokio::select! {
        () = wait_for_stop() => {}
        () = wait_for_panic(&mut tasks) => return end_after_panic().await,
        _ = &mut follower => return end_after_panic().await,
    }
    stop(&node, front, follower).await;
    ready.abort();
    metrics.abort();
    Ok(true)
}

/// Starts a server for the load balancer or the metrics collector, with a limit on connections
/// of its own. A planned stop does not wait for its requests.
async fn serve_internal(node: &Node, rocket: Rocket<Build>) -> Result<RunningServer> {
    let gate = node.gate.sibling(INTERNAL_CONNECTIONS);
    RunningServer::serve(rocket, gate, RequestCounter::default()).await
}

/// Writes each panic to the log, too.
fn log_panics() {
    let default = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        log::error!("{info}");
        default(info);
    }));
}

/// Waits until one of the tasks panics. A task may end without one.
pub(super) async fn wait_for_panic(tasks: &mut JoinSet<()>) {
    while let Some(ended) = tasks.join_next().await {
        if ended.is_err_and(|error| error.is_panic()) {
            return;
        }
    }
    future::pending().await
}

/// Flushes the log before the process ends. It does not go on without the task that
/// panicked: it would stay ready, with an old configuration or without shards.
async fn end_after_panic() -> Result<bool> {
    sleep(FLUSH_DELAY).await;
    Err(Error::Panicked)
}

/// Releases the shards, serves requests until the load balancer sends no more,
/// and finishes those in progress.
async fn stop(node: &Node, front: RunningServer, follower: JoinHandle<()>) {
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
