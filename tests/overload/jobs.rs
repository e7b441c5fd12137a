//! Submitted jobs of the users' platform that need more memory than their bodies.

use rstest::rstest;

use super::crowd::{Client, Script};
use super::{BODY_BYTES, BODY_CLIENTS, Daemon, LARGE_GROWTH, withstand};

/// A complete submission whose body is as long as allowed and consists of `entry` repeated
/// between two texts.
fn submission(daemon: &Daemon, before: &str, entry: &str, after: &str) -> Script {
    let count = (BODY_BYTES as usize - before.len() - after.len()) / entry.len();
    let list = entry.repeat(count);
    let body = format!("{before}{}{after}", list.trim_end_matches(','));
    let length = body.len();
    let head = daemon.head();
    Script::Bytes(format!("{head}content-length: {length}\r\n\r\n{body}").into_bytes())
}

/// Guards against lists that are decoded whole before a limit on their length counts.
#[rstest]
#[case::steps("{\"steps\":[", "[1],", "]}")]
#[case::dependencies("{\"steps\":[[1],{\"count\":1,\"after\":[", "0,", "]}]}")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_with_lists_over_the_limit(
    #[case] before: &str,
    #[case] entry: &str,
    #[case] after: &str,
) {
    let mut daemon = Daemon::start_fleet().await;
    let script = submission(&daemon, before, entry, after);
    let client = Client::new(daemon.front(), script);
    withstand(&mut daemon, client, BODY_CLIENTS, LARGE_GROWTH).await;
}
