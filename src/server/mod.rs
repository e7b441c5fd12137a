//! What all HTTP servers of the program share: configuration, start, stop and answers.
//!
//! The servers of an entry daemon accept connections themselves, under the limits of
//! [`overload`](crate::overload), and pass requests to Rocket in process: Rocket's own
//! listener limits neither its buffers nor the time for headers, and cannot close a
//! connection. Stand-ins use Rocket's listener.

mod buffer;
mod connection;
mod dispatch;
mod exchange;
mod link;
mod listener;
mod stream;
#[cfg(test)]
mod tests;

use std::io::Cursor;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rocket::config::{Config, Ident, LogLevel, Shutdown as ShutdownConfig};
use rocket::data::Limits;
use rocket::fairing::AdHoc;
use rocket::http::{Header, Method, Status};
use rocket::local::asynchronous::Client;
use rocket::response::Response;
use rocket::shield::Shield;
use rocket::{Build, Request, Rocket, Shutdown};
use serde::Serialize;
use tokio::sync::watch;

use crate::drain::RequestCounter;
use crate::overload::Gate;
use crate::workers::HeaderLine;
use crate::{Error, Result};
pub use exchange::BodyError;
pub(crate) use exchange::{RequestBody, charge, read_body};
use listener::Listener;

/// The HTTP methods under which a route that accepts any method is mounted.
pub const METHODS: [Method; 7] = [
    Method::Get,
    Method::Put,
    Method::Post,
    Method::Delete,
    Method::Options,
    Method::Head,
    Method::Patch,
];

/// How long Rocket's own listener, which only stand-ins use, keeps an idle connection open.
const KEEP_ALIVE_SECONDS: u32 = 60;
/// How long that listener waits for connection I/O after the grace period.
const MERCY_SECONDS: u32 = 2;

/// Builds a server that stops only through its handle, and then waits up to `grace`
/// for requests in progress. Rocket's default grace period of two seconds would
/// cut them off. `body` limits the size of JSON bodies, in bytes.
pub fn build(address: SocketAddr, grace: Duration, body: u64) -> Rocket<Build> {
    let mut shutdown = ShutdownConfig {
        ctrlc: false,
        grace: grace.as_secs().max(1) as u32,
        mercy: MERCY_SECONDS,
        ..ShutdownConfig::default()
    };
    shutdown.signals.clear();
    let config = Config {
        address: address.ip(),
        port: address.port(),
        ident: Ident::none(),
        keep_alive: KEEP_ALIVE_SECONDS,
        log_level: LogLevel::Off,
        limits: Limits::default().limit("json", body.into()),
        shutdown,
        ..Config::default()
    };
    rocket::custom(config).attach(Shield::new())
}

/// The handle of a running server.
#[derive(Debug)]
pub struct RunningServer {
    stop: Stop,
    task: tokio::task::JoinHandle<Option<String>>,
}

/// How a server is told to stop.
#[derive(Debug)]
enum Stop {
    Rocket(Shutdown),
    Listener(watch::Sender<bool>),
}

impl Stop {
    fn notify(&self) {
        match self {
            Self::Rocket(shutdown) => shutdown.clone().notify(),
            Self::Listener(stopping) => {
                stopping.send_replace(true);
            }
        }
    }
}

impl RunningServer {
    /// Starts a server whose connections and bytes pass a gate, and returns once it
    /// accepts connections. `counter` counts each request from its first byte until its
    /// response is handed to the connection.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use or the routes collide.
    pub(crate) async fn serve(
        rocket: Rocket<Build>,
        gate: Arc<Gate>,
        counter: RequestCounter,
    ) -> Result<Self> {
        let config: Config = rocket.figment().extract().unwrap_or_default();
        let address = SocketAddr::new(config.address, config.port);
        let failed = |reason: String| Error::Listen {
            address: address.to_string(),
            reason,
        };
        let client = Client::untracked(rocket).await;
        let client = client.map_err(|error| failed(error.kind().to_string()))?;
        let listener = listener::bind(address).map_err(|error| failed(error.to_string()))?;
        let (stop, stopping) = watch::channel(false);
        let shared = Listener {
            client: Arc::new(client),
            gate,
            counter,
            grace: Duration::from_secs(u64::from(config.shutdown.grace)),
        };
        let task = tokio::spawn(async move {
            shared.run(listener, stopping).await;
            None
        });
        Ok(Self {
            stop: Stop::Listener(stop),
            task,
        })
    }

    /// Starts a server with Rocket's listener, without limits on what callers hold, and
    /// returns once it accepts connections. For stand-ins.
    ///
    /// # Errors
    ///
    /// Fails when the address is in use or the routes collide.
    pub async fn start(rocket: Rocket<Build>) -> Result<Self> {
        let config: Config = rocket.figment().extract().unwrap_or_default();
        let address = format!("{}:{}", config.address, config.port);
        let failed = |reason: String| Error::Listen {
            address: address.clone(),
            reason,
        };
        let (ready, launched) = tokio::sync::oneshot::channel();
        let ready = std::sync::Mutex::new(Some(ready));
        let rocket = rocket.attach(AdHoc::on_liftoff("ready", move |_| {
            Box::pin(async move {
                let sender = ready.lock().ok().and_then(|mut ready| ready.take());
                sender.map(|sender| sender.send(()));
            })
        }));
        let rocket = rocket
            .ignite()
            .await
            .map_err(|error| failed(error.kind().to_string()))?;
        let stop = Stop::Rocket(rocket.shutdown());
        let task = tokio::spawn(async move {
            let result = rocket.launch().await;
            result.err().map(|error| error.kind().to_string())
        });
        if launched.await.is_err() {
            let reason = task.await.ok().flatten().unwrap_or_default();
            return Err(failed(reason));
        }
        Ok(Self { stop, task })
    }

    /// Stops accepting connections, waits for requests in progress and returns when
    /// the server has stopped.
    pub async fn stop(self) {
        self.stop.notify();
        let _ = self.task.await;
    }

    /// Stops accepting connections and closes idle ones. Requests that are being
    /// received or answered are served until the server stops.
    pub fn close(&self) {
        self.stop.notify();
    }

    /// Stops the server immediately, without waiting for requests in progress.
    pub fn abort(self) {
        self.task.abort();
    }
}

/// Builds an answer with a JSON body.
pub fn json_answer<T: Serialize>(status: u16, value: &T) -> Response<'static> {
    let body = serde_json::to_vec(value).expect("plain values serialize to JSON");
    let lines = [HeaderLine {
        name: "content-type".to_owned(),
        value: "application/json".to_owned(),
    }];
    answer(status, &lines, body)
}

/// Builds an answer with the given headers and body.
pub fn answer(status: u16, headers: &[HeaderLine], body: Vec<u8>) -> Response<'static> {
    let mut response = head(status, headers);
    response.set_sized_body(body.len(), Cursor::new(body));
    response
}

/// Builds an answer with the given headers, and hands over its body without a copy.
pub(crate) fn direct_answer(
    request: &Request<'_>,
    status: u16,
    headers: &[HeaderLine],
    body: Vec<u8>,
) -> Response<'static> {
    match exchange::hand_over(request, body) {
        Ok(()) => head(status, headers),
        Err(body) => answer(status, headers, body),
    }
}

fn head(status: u16, headers: &[HeaderLine]) -> Response<'static> {
    let mut response = Response::new();
    response.set_status(Status::new(status));
    for line in headers {
        response.adjoin_header(Header::new(line.name.clone(), line.value.clone()));
    }
    response
}
