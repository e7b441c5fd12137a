//! Submitted jobs of the users' platform that need more memory than their bodies.

use rstest::rstest;

use super::crowd::{Client, Script};
use super::{BODY_BYTES, BODY_CLIENTS, Daemon, LARGE_GROWTH, withstand};

/// The number of clients that submit a job of legal size at once.
const JOB_CLIENTS: usize = 200;

/// Bound on the growth of resident memory by the state of one job of 100,000 tasks, in MiB.
const MANY_TASKS_GROWTH: u64 = 120;

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

/// A submission with as many steps as a job may have, of `tasks` tasks each, for which no worker
/// has room.
fn many_steps(daemon: &Daemon, tasks: u32) -> Script {
    let steps = vec![format!("[{tasks},90000000]"); 1000].join(",");
    let body = format!("{{\"steps\":[{steps}]}}");
    let head = daemon.head();
    let request = format!("{head}content-length: {}\r\n\r\n{body}", body.len());
    Script::Bytes(request.into_bytes())
}

/// Guards against jobs that need much more memory than their bodies while they are stored, and
/// whose ranks take so long that their owner answers nobody.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_with_as_many_steps_as_allowed() {
    let mut daemon = Daemon::start_fleet().await;
    let client = Client::new(daemon.front(), many_steps(&daemon, 1));
    withstand(&mut daemon, client, JOB_CLIENTS, LARGE_GROWTH).await;
}

/// Guards against an owner that looks at all tasks of a job for each of its waiting tasks.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_with_as_many_tasks_as_allowed() {
    let mut daemon = Daemon::start_fleet().await;
    let client = Client::new(daemon.front(), many_steps(&daemon, 100));
    withstand(&mut daemon, client, 1, MANY_TASKS_GROWTH).await;
}
