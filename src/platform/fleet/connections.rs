//! Connections to a server that are given up together.
//!
//! Open connections may go silent for good while new ones work, and only a timeout shows it. When
//! one call times out, all connections of that time are suspect: later calls use new ones, and
//! calls that wait for an event on old ones end once a new one has been answered.

use std::sync::RwLock;
use std::time::Duration;

use reqwest::Client;
use tokio::sync::watch;

use crate::moment::Moment;

/// The time for which connections are not given up again. While the server itself is slow or down,
/// new connections are no better.
const MIN_AGE: Duration = Duration::from_secs(1);
/// The time after which an unused connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// The connections that are opened from some moment on.
#[derive(Debug, Clone)]
pub(super) struct Generation {
    number: u64,
    opened: Moment,
    /// Makes calls on these connections.
    pub client: Client,
}

/// The connections to one server.
#[derive(Debug)]
pub(super) struct Connections {
    connect_timeout: Duration,
    current: RwLock<Generation>,
    /// The number of the newest generation on which a call was answered.
    answered: watch::Sender<u64>,
}

impl Connections {
    /// Creates the first generation. No connection is opened before the first call.
    pub fn new(connect_timeout: Duration) -> Self {
        Self {
            connect_timeout,
            current: RwLock::new(Generation {
                number: 0,
                opened: Moment::now(),
                client: build_client(connect_timeout),
            }),
            answered: watch::Sender::new(0),
        }
    }

    /// Returns the connections for the next call.
    pub fn current(&self) -> Generation {
        self.current.read().expect("no holder panics").clone()
    }

    /// Records that a call was answered.
    pub fn on_answer(&self, generation: &Generation) {
        self.answered.send_if_modified(|newest| {
            let newer = generation.number > *newest;
            *newest = generation.number.max(*newest);
            newer
        });
    }

    /// Records that a call timed out: gives up all connections of its generation.
    pub fn on_timeout(&self, generation: &Generation) {
        let now = Moment::now();
        let mut current = self.current.write().expect("no holder panics");
        if current.number != generation.number || now - current.opened < MIN_AGE {
            return;
        }
        *current = Generation {
            number: current.number + 1,
            opened: now,
            client: build_client(self.connect_timeout),
        };
    }

    /// Waits until a call on a newer generation was answered.
    pub async fn wait_superseded(&self, generation: &Generation) {
        let mut answered = self.answered.subscribe();
        // `wait_for` cannot fail: the sender is a field of `self`.
        let _ = answered
            .wait_for(|newest| *newest > generation.number)
            .await;
    }
}

fn build_client(connect_timeout: Duration) -> Client {
    Client::builder()
        .connect_timeout(connect_timeout)
        .pool_idle_timeout(IDLE_TIMEOUT)
        .tcp_nodelay(true)
        .build()
        .expect("a client without TLS needs nothing that can fail")
}
