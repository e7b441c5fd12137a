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

/// How long the balancer may take to notice that this host is not ready.
const NOTICED: Duration = Duration::from_millis(2300);
/// How long before the end of the grace the process ends.
const BEFORE_KILL: Duration = Duration::from_millis(900);
/// How often the settings file is compared without a signal.
const RELOAD: Duration = Duration::from_secs(2);
/// How long the last answers have to leave the host.
const LINGER: Duration = Duration::from_millis(250);
const POLL: Duration = Duration::from_millis(20);

/// Runs the daemon until a planned stop has ended.
///
/// # Errors
///
/// Fails when the settings have faults or an address is taken.
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
        life: node.life,
    });
    tokio::spawn(configuration::follow(node.clone()));
    tokio::spawn(health::probe(node.clone()));
    tokio::spawn(reload(node.clone(), path.to_owned()));
    let owner = tokio::spawn(ownership::follow(node.clone()));
    wait_for_stop().await;
    stop(&node, front, owner).await;
    ready.abort();
    metrics.abort();
    Ok(true)
}

/// Hands the shards over, takes requests until the balancer sends no more, and
/// finishes those in progress.
async fn stop(node: &Node, front: RunningServer, owner: tokio::task::JoinHandle<()>) {
    journal::line(&DaemonLine::Stopping {
        in_progress: node.in_progress.len(),
    });
    node.stop.send_replace(true);
    sleep(NOTICED).await;
    front.close();
    let idle = async {
        while !node.in_progress.is_empty() {
            sleep(POLL).await;
        }
    };
    let left = node.settings.grace.saturating_sub(NOTICED + BEFORE_KILL);
    if timeout(left, idle).await.is_err() {
        log::warn!("the grace ended with requests in progress");
    }
    if timeout(POLL, owner).await.is_err() {
        log::warn!("the shards were not handed over in time");
    }
    sleep(LINGER).await;
    front.abort();
    journal::line(&DaemonLine::Stopped {
        in_progress: node.in_progress.len(),
    });
    sleep(LINGER).await;
}

/// Reads the settings again on a signal, and now and then without one.
async fn reload(node: Arc<Node>, path: PathBuf) {
    let mut known = node.settings.clone();
    let Ok(mut hangup) = signal(SignalKind::hangup()) else {
        log::error!("the signal to reload cannot be received");
        return;
    };
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = sleep(RELOAD) => false,
        };
        match FleetSettings::read(&path) {
            Ok(settings) if settings == known => {
                if signalled {
                    note_reload(false, "nothing has changed".to_owned());
                }
            }
            Ok(settings) => {
                let platform = settings.platform;
                node.store.move_to(platform);
                note_reload(true, format!("platform = {platform}"));
                known = settings;
            }
            Err(error) => note_reload(false, error.to_string()),
        }
    }
}

fn note_reload(applied: bool, reason: String) {
    journal::line(&DaemonLine::Reloaded { applied, reason });
}
