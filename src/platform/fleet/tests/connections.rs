//! Tests of connections that are given up together.

use std::time::Duration;

use tokio::time::{sleep, timeout};

use super::super::connections::Connections;

const SECOND: Duration = Duration::from_secs(1);

/// A watch of a slow store would begin anew with each call that times out, and never see a change.
#[tokio::test]
async fn each_timeout_of_a_slow_server_gives_up_all_connections() {
    let connections = Connections::new(SECOND);
    let first = connections.current();
    connections.on_timeout(&first);
    let watch = connections.wait_superseded(&first);
    connections.on_answer(&connections.current());
    let ended = timeout(SECOND + SECOND / 10, watch).await;
    assert!(ended.is_err(), "the connections were just opened");
    connections.on_timeout(&first);
    let second = connections.current();
    // Another call that was sent at that time.
    connections.on_timeout(&first);
    connections.on_answer(&second);
    let superseded = [&first, &second].map(|generation| connections.wait_superseded(generation));
    let [first, second] = superseded.map(|ended| timeout(SECOND / 10, ended));
    assert!(first.await.is_ok());
    assert!(second.await.is_err(), "one timeout opened two generations");
}

/// While the server answers nothing, new connections are no better.
#[tokio::test]
async fn a_call_is_given_up_before_a_newer_connection_is_answered() {
    let connections = Connections::new(SECOND);
    let first = connections.current();
    sleep(SECOND).await;
    connections.on_timeout(&first);
    let waiting = connections.wait_superseded(&first);
    assert!(timeout(SECOND / 10, waiting).await.is_err());
}
