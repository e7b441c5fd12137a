//! Feeds messages with random changes to all decoders, and what they accept to the decisions:
//! none may panic.
//!
//! `LYCHEELOCK_FUZZ_CASES` sets the number of messages of each kind.

use proptest::collection::vec;
use proptest::prelude::{Strategy, any};
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use reqwest::StatusCode;

use crate::fleet::{Registration, WorkerReport};
use crate::moment::Moment;
use crate::platform::fleet::store::{Bytes, Item};
use crate::platform::fleet::worker::{read_report, read_start_reply};
use crate::platform::fleet::{read_queues, read_worker, read_workflow};
use crate::schedule::{Scheduler, Term};

/// The number of messages of each kind, if the environment sets none.
const DEFAULT_CASES: u32 = 500;
/// The limit on the changes of one message.
const MAX_EDITS: usize = 6;
/// Texts that replace a part of a message: limits of number types, other types, and
/// unfinished values.
const INSERTS: [&str; 14] = [
    "0",
    "-1",
    "1e999",
    "1e300",
    "18446744073709551615",
    "18446744073709551616",
    "0.5",
    "null",
    "true",
    "{}",
    "[]",
    "\"",
    "\u{0}",
    "[[[[",
];

const REPORT: &str = r#"{"clock_ms":482113,"born":1773982629000,
"running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41,900]],
"finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""],[59,"5c0e7a21d94b36f8.0.1.8",3,"failed","x"]]}"#;
const REGISTRY: &str = r#"{"backend":"pool","address":"10.0.0.1:80","zone":"a","state":"ready",
"capacity":{"cpu":4000,"mem_mb":8000,"gpu":0},"labels":["kind","rack"],"born":1773982629000,
"remaining_ms":900}"#;
const JOB: &str = r#"{"spec":"(text)","steps":[{"count":4,"cpu":500,"mem_mb":256,"est_ms":900,
"data_rack":"r1-3"},{"count":20,"cpu":2000,"mem_mb":1024,"est_ms":7000,"after":[0],
"checkpoint":true,"image":"i","target_ms":20,"daemon":true,"may_miss":1}],
"times":3,"start_at_ms":1773982629000,"interval_ms":500}"#;
const QUEUES: &str = r#"{"version":4,"routes":[{"name":"r","host":"h","prefix":"/p/",
"backend":"pool","priority":2,"attempts":2,"stretch":2.0,"target_latency_ms":250}],
"services":[{"name":"pool","rejects_overload":false}],"limits":{}}"#;
const REPLY: &str = r#"{"clock_ms":482113,"reason":"late"}"#;

/// One change of a message: a part, given by positions in thousandths, is replaced.
#[derive(Debug, Clone)]
struct Edit {
    from: u16,
    length: u8,
    insert: Insert,
}

#[derive(Debug, Clone)]
enum Insert {
    Text(usize),
    Bytes(Vec<u8>),
}

impl Edit {
    fn apply(&self, message: &mut Vec<u8>) {
        let from = message.len() * usize::from(self.from) / 1000;
        let end = (from + usize::from(self.length)).min(message.len());
        let insert = match &self.insert {
            Insert::Text(number) => INSERTS[*number].as_bytes().to_vec(),
            Insert::Bytes(bytes) => bytes.clone(),
        };
        message.splice(from..end, insert);
    }
}

fn edit() -> impl Strategy<Value = Edit> {
    let text = (0..INSERTS.len()).prop_map(Insert::Text);
    let bytes = vec(any::<u8>(), 0..4).prop_map(Insert::Bytes);
    let insert = proptest::prop_oneof![text, bytes];
    (0..1000_u16, 0..24_u8, insert).prop_map(|(from, length, insert)| Edit {
        from,
        length,
        insert,
    })
}

/// Gives changed copies of a message to a decoder.
fn feed(message: &str, decode: impl Fn(Vec<u8>)) {
    let cases = std::env::var("LYCHEELOCK_FUZZ_CASES");
    let cases = cases.ok().and_then(|cases| cases.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(DEFAULT_CASES),
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::deterministic_rng(RngAlgorithm::ChaCha);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&vec(edit(), 1..=MAX_EDITS), |edits| {
        let mut bytes = message.as_bytes().to_vec();
        edits.iter().for_each(|edit| edit.apply(&mut bytes));
        decode(bytes);
        Ok(())
    });
    result.expect("no decoder panics");
}

fn registration(value: Vec<u8>) -> Option<Registration> {
    let item = Item {
        key: "servers/w1".to_owned(),
        value: Bytes(value),
        revision: 1,
    };
    read_worker(&item).ok()
}

/// Lets an owner whose only worker has this registration process a report.
fn process(registration: Registration, report: &WorkerReport) {
    let term = Term {
        fence: 1,
        recovery_deadline: None,
        ..Term::default()
    };
    let mut scheduler = Scheduler::new(term);
    scheduler.on_roster(Vec::new(), 0, Moment::default());
    let workers = scheduler.on_registry(vec![registration], Moment::default());
    for now in [1_000, 700_000, 1_400_000].map(Moment::from_micros) {
        scheduler.on_report(workers[0], now, report, now);
        scheduler.plan(now, now);
        let _ = scheduler.poll_order(workers[0], true, now);
    }
}

#[test]
fn a_changed_report_of_a_worker_does_no_harm() {
    feed(REPORT, |bytes| {
        if let Ok(report) = read_report(&bytes) {
            let registered = registration(REGISTRY.into()).expect("a valid entry");
            process(registered, &report);
        }
    });
}

#[test]
fn a_changed_registry_entry_does_no_harm() {
    feed(REGISTRY, |bytes| {
        if let Some(registered) = registration(bytes) {
            let report = read_report(REPORT.as_bytes()).expect("a valid report");
            process(registered, &report);
        }
    });
}

#[test]
fn a_changed_job_is_accepted_or_refused() {
    feed(JOB, |bytes| {
        if let Ok(workflow) = read_workflow(&bytes) {
            assert!(workflow.task_count() > 0);
            let _ = (workflow.work(), workflow.critical_path());
        }
    });
}

#[test]
fn a_changed_configuration_or_answer_does_no_harm() {
    feed(QUEUES, |bytes| drop(read_queues(&bytes)));
    feed(REPLY, |bytes| {
        let _ = read_start_reply(StatusCode::CONFLICT, &bytes);
    });
}

#[test]
fn the_messages_are_valid_before_they_are_changed() {
    assert!(read_report(REPORT.as_bytes()).is_ok());
    assert!(registration(REGISTRY.into()).is_some());
    assert!(read_workflow(JOB.as_bytes()).is_ok());
    assert!(read_queues(QUEUES.as_bytes()).is_ok());
    assert!(read_start_reply(StatusCode::CONFLICT, REPLY.as_bytes()).is_ok());
}
