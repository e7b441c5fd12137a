//! The tasks that keep connections to peers open.

use std::collections::HashMap;

use tokio::task::JoinHandle;

use crate::ids::HostId;
use crate::ownership::Announcement;

/// One task for each announced peer, by the peer's process.
#[derive(Debug, Default)]
pub(super) struct PeerTasks {
    tasks: HashMap<HostId, JoinHandle<()>>,
}

impl PeerTasks {
    /// Starts a task for each announced peer that has none, or whose task has ended because
    /// the peer could not be reached for a time.
    pub fn start_missing(
        &mut self,
        announced: Vec<Announcement>,
        start: impl Fn(Announcement) -> JoinHandle<()>,
    ) {
        self.tasks.retain(|_, task| !task.is_finished());
        for peer in announced {
            self.tasks.entry(peer.host).or_insert_with(|| start(peer));
        }
    }
}
