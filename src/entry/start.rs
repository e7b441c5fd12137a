//! The start of an entry daemon: its state, its listeners and its tasks.

use std::sync::Arc;

use tokio::net::TcpListener;
use tokio::sync::mpsc;

use super::core::{Core, CoreSettings};
use super::node::{Node, RunningNode};
use super::tasks;
use crate::counters::Counters;
use crate::front;
use crate::ids::HostId;
use crate::jobs::LedgerSettings;
use crate::ownership::OwnershipSettings;
use crate::peers::listen;
use crate::placement::Policy;
use crate::server::RunningServer;
use crate::settings::EntrySettings;
use crate::{Error, Result};

impl Node {
    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// Fails when an address is taken.
    pub async fn start(settings: EntrySettings, policy: Policy) -> Result<RunningNode> {
        let counters = match &settings.statsd {
            Some(address) => {
                Counters::statsd(&address.to_string()).map_err(|error| Error::Listen {
                    address: address.to_string(),
                    reason: error.to_string(),
                })?
            }
            None => Counters::default(),
        };
        let me = HostId(rand::random());
        let (store_calls, store_queue) = mpsc::unbounded_channel();
        let (moves, move_queue) = mpsc::unbounded_channel();
        let core = Core::new(me, core_settings(&settings, policy));
        let node = Arc::new(Self::new(settings, core, counters, store_calls, moves));
        let listener = bind(&node.settings).await?;
        tokio::spawn(listen(
            listener,
            node.identity(),
            node.settings.timing.call_timeout,
            node.links.clone(),
            node.clone(),
            node.gate.clone(),
        ));
        tasks::spawn_all(&node, store_queue, move_queue);
        let (gate, counter) = (node.gate.clone(), node.in_progress.clone());
        let server = RunningServer::serve(front::build(&node), gate, counter).await?;
        log::info!("entry host {} ({me}) started", node.settings.name);
        Ok(RunningNode { node, server })
    }
}

fn core_settings(settings: &EntrySettings, policy: Policy) -> CoreSettings {
    let timing = &settings.timing;
    CoreSettings {
        ownership: OwnershipSettings {
            name: settings.name.clone(),
            zone: settings.zone.clone(),
            peers: settings
                .announced_address
                .unwrap_or(settings.peer_address)
                .to_string(),
            callers: settings.address.to_string(),
            session_ttl: timing.session_ttl,
            promise_ttl: timing.promise_ttl,
            margin: timing.margin,
            heartbeat_interval: timing.heartbeat_interval,
            peer_timeout: timing.call_timeout,
            ..OwnershipSettings::default()
        },
        ledger: LedgerSettings {
            lease: timing.task_lease,
            margin: timing.margin,
            ..LedgerSettings::default()
        },
        policy,
    }
}

async fn bind(settings: &EntrySettings) -> Result<TcpListener> {
    TcpListener::bind(settings.peer_address)
        .await
        .map_err(|error| Error::Listen {
            address: settings.peer_address.to_string(),
            reason: error.to_string(),
        })
}
