mod connections;
mod mutated;
mod sockets;

use std::time::Duration;

use reqwest::StatusCode;
use rstest::rstest;
use serde_json::{Value, json};

use super::store::{Bytes, Change, Item};
use super::worker::{read_report, read_start_reply};
use super::{read_evacuated_zone, read_queues, read_worker, read_workflow};

/// A number of levels that overflows the stack of a recursive parser.
const DEEP_LEVELS: usize = 100_000;

fn deep() -> String {
    "[".repeat(DEEP_LEVELS) + &"]".repeat(DEEP_LEVELS)
}

/// The registry entry of a worker, with one field set to a JSON text.
fn worker_with(field: &str, text: &str) -> Vec<u8> {
    let mut entry = json!({
        "backend": "pool", "address": "10.0.0.1:80", "zone": "a", "state": "ready",
        "capacity": {"cpu": 4000, "mem_mb": 8000, "gpu": 0}, "labels": ["kind", "rack"],
    });
    entry[field] = Value::from("marker");
    entry.to_string().replace("\"marker\"", text).into_bytes()
}

/// Describes the worker that a registry entry names, or why it names none.
fn registered(value: Vec<u8>) -> String {
    let item = Item {
        key: "servers/w1".to_owned(),
        value: Bytes(value),
        revision: 1,
    };
    match read_worker(&item) {
        Ok(worker) => format!(
            "{} {} {:?} {:?} {:?}",
            worker.address, worker.incarnation, worker.labels, worker.capacity, worker.remaining
        ),
        Err(error) => format!("ignored: {error}"),
    }
}

#[test]
fn odd_registry_entry_names_no_worker_and_does_not_panic() {
    let deep = deep();
    let fields = [
        ("unknown field", "extra", "1"),
        ("deep, unknown field", "extra", &deep),
        ("deep labels", "labels", &deep),
        ("remaining, fraction", "remaining_ms", "1500.5"),
        ("remaining, huge", "remaining_ms", "1e300"),
        ("remaining, infinite", "remaining_ms", "1e999"),
        ("remaining, negative", "remaining_ms", "-1"),
        (
            "capacity, huge",
            "capacity",
            r#"{"cpu":1e300,"mem_mb":-1e300}"#,
        ),
        ("capacity, infinite", "capacity", r#"{"cpu":1e999}"#),
        ("born, above u64", "born", "18446744073709551616"),
        ("born, negative", "born", "-1"),
        ("port, too large", "address", r#""10.0.0.1:99999""#),
        ("port, 0", "address", r#""10.0.0.1:0""#),
        ("port, none", "address", r#""10.0.0.1""#),
        ("address, empty", "address", r#""""#),
        ("address, name", "address", r#""host name:1""#),
        ("address, any", "address", r#""0.0.0.0:80""#),
        ("address, IPv6", "address", r#""[::1]:80""#),
        ("zone, number", "zone", "5"),
        ("labels, object", "labels", "{}"),
        ("labels, none", "labels", "[]"),
        ("state, unknown", "state", r#""lost""#),
    ];
    let mut lines: Vec<String> = fields
        .iter()
        .map(|(name, field, text)| format!("{name}: {}", registered(worker_with(field, text))))
        .collect();
    lines.push(format!("no JSON: {}", registered(b"\xff{".to_vec())));
    lines.push(format!("empty: {}", registered(Vec::new())));
    lines.push(format!("deep: {}", registered(deep.into_bytes())));
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn value_that_is_not_base64_leaves_rest_of_page_readable() {
    let page = json!([
        {"key": "servers/w1", "value": "e30=", "rev": 3},
        {"key": "servers/w2", "value": "?", "rev": 4},
        {"key": "servers/w3", "rev": 5, "removed": true},
    ]);
    let changes: Vec<Change> = serde_json::from_value(page).unwrap();
    let lines: Vec<String> = changes.iter().map(|change| format!("{change:?}")).collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    Written(Item { key: "servers/w1", value: Bytes([123, 125]), revision: 3 })
    Written(Item { key: "servers/w2", value: Bytes([]), revision: 4 })
    Removed { key: "servers/w3", revision: 5 }
    "#);
}

/// Describes the job of one step, or why it is refused.
fn submitted(job: &str, step: &str) -> String {
    let body = format!(r#"{{{job}"steps":[{{"count":2{step}}}]}}"#);
    match read_workflow(body.as_bytes()) {
        Ok(workflow) => format!("work {}, {:?}", workflow.work(), workflow.recurrence),
        Err(message) => format!("refused: {message}"),
    }
}

#[test]
fn job_with_odd_number_is_refused_and_does_not_panic() {
    let deep = format!(r#","extra":{}"#, deep());
    let steps = [
        ("plain", r#","cpu":500,"est_ms":900"#),
        ("deep", &deep),
        ("target, huge", r#","target_ms":1e300"#),
        ("estimate, u64", r#","est_ms":18446744073709551615"#),
        ("estimate, infinite", r#","est_ms":1e999"#),
        ("estimate, negative", r#","est_ms":-1"#),
        ("processors, huge", r#","cpu":4294967295,"est_ms":900"#),
        ("memory, huge", r#","mem_mb":1e300"#),
        ("accelerators, huge", r#","gpu":1e300"#),
        ("work, huge", r#","cpu":100000000,"est_ms":31622400000"#),
        ("worker limit, above u32", r#","max_per_server":4294967296"#),
        ("after, huge", r#","after":[18446744073709551615]"#),
    ];
    let jobs = [
        ("times, huge", r#""times":1e300,"#),
        ("times, many", r#""times":50001,"#),
        ("start, huge", r#""times":2,"start_at_ms":1e300,"#),
        ("interval, huge", r#""times":2,"interval_ms":1e300,"#),
        (
            "recurring",
            r#""times":2,"start_at_ms":1790000000123,"interval_ms":1000.5,"#,
        ),
    ];
    let steps = steps
        .iter()
        .map(|(name, step)| format!("{name}: {}", submitted("", step)));
    let jobs = jobs
        .iter()
        .map(|(name, job)| format!("{name}: {}", submitted(job, "")));
    let lines: Vec<String> = steps.chain(jobs).collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against lists of any length that are decoded before they are refused: what follows
/// the first entry over the limit is not JSON.
#[rstest]
#[case::steps(r#"{"steps":["#, r#"{"count":1},"#)]
#[case::dependencies(r#"{"steps":[{"count":1},{"count":1,"after":["#, "0,")]
fn a_list_of_steps_is_refused_at_the_first_entry_over_the_limit(
    #[case] before: &str,
    #[case] entry: &str,
) {
    let body = format!("{before}{}!", entry.repeat(1001));
    let message = read_workflow(body.as_bytes()).unwrap_err();
    assert!(message.contains("give at most 1000 entries"), "{message}");
}

/// Guards against a limit on lists that a job of legal size meets.
#[test]
fn a_job_with_as_many_steps_and_dependencies_as_allowed_is_accepted() {
    let first = r#"{"count":1},"#.repeat(999);
    let after: Vec<String> = (0..999).map(|step| step.to_string()).collect();
    let after = after.join(",");
    let body = format!(r#"{{"steps":[{first}{{"count":1,"after":[{after}]}}]}}"#);
    let workflow = read_workflow(body.as_bytes()).unwrap();
    assert_eq!(workflow.steps[999].after.len(), 999);
}

/// Describes the only queue of a configuration, or why the configuration is ignored.
fn configured(fields: &str) -> String {
    let route = format!(r#"{{"name":"q","host":"h","prefix":"/","backend":"p"{fields}}}"#);
    let text = format!(r#"{{"version":7,"routes":[{route}]}}"#);
    match read_queues(text.as_bytes()) {
        Ok(queues) => {
            let queue = &queues.list[0];
            let (timeout, target) = (queue.timeout, queue.latency_target);
            let (priority, attempts, stretch) = (queue.priority, queue.attempts, queue.stretch);
            format!("{timeout:?} {target:?} {priority} {attempts} {stretch}")
        }
        Err(error) => format!("ignored: {error}"),
    }
}

#[test]
fn configuration_with_odd_number_is_ignored_and_does_not_panic() {
    let deep = format!(r#","extra":{}"#, deep());
    let fields = [
        ("plain", r#","timeout_ms":3000,"target_latency_ms":250.5"#),
        ("deep", &deep),
        ("timeout, huge", r#","timeout_ms":1e300"#),
        ("target, huge", r#","target_latency_ms":1e300"#),
        ("timeout, negative", r#","timeout_ms":-1e300"#),
        ("stretch, huge", r#","stretch":1e300"#),
        ("stretch, infinite", r#","stretch":1e999"#),
        (
            "attempts and priority, huge",
            r#","attempts":1e300,"priority":1e300"#,
        ),
    ];
    let lines = fields.map(|(name, fields)| format!("{name}: {}", configured(fields)));
    insta::assert_snapshot!(lines.join("\n"));
}

fn reported(clock: &str, born: &str, running: &str, finished: &str) -> String {
    let text = format!(
        r#"{{"clock_ms":{clock},"born":{born},"running":[{running}],"finished":[{finished}]}}"#
    );
    match read_report(text.as_bytes()) {
        Ok(report) => format!("{report:?}"),
        Err(error) => format!("invalid: {error}"),
    }
}

#[test]
fn worker_report_with_odd_number_does_not_overflow() {
    let run = |progress: &str, measurement: &str| {
        format!(r#"["5c0e7a21d94b36f8.0.0.0",1,"",{progress},{measurement}]"#)
    };
    let task = r#"["5c0e7a21d94b36f8.0.4294967296.0",1]"#;
    let lines = [
        ("plain", reported("12", "7", &run("41", "900"), "")),
        ("clock, huge", reported("1e300", "7", "", "")),
        ("clock, negative", reported("-1", "7", "", "")),
        (
            "born, above u64",
            reported("12", "18446744073709551616", "", ""),
        ),
        (
            "measurement, huge",
            reported("12", "7", &run("1e300", "1e300"), ""),
        ),
        ("task, above u32", reported("12", "7", task, "")),
        (
            "end, above u64",
            reported("12", "7", "", r#"[1e300,"",1,"done",""]"#),
        ),
        ("deep", reported("12", "7", &deep(), "")),
    ];
    let lines = lines.map(|(name, line)| format!("{name}: {line}"));
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn a_status_that_leaves_the_effect_open_is_taken_for_a_refusal() {
    let answers = [
        (200, "{}"),
        (202, "{}"),
        (400, "{}"),
        (404, ""),
        (408, ""),
        (409, r#"{"clock_ms":5,"reason":"late"}"#),
        (409, r#"{"clock_ms":1e300,"reason":"late"}"#),
        (409, r#"{"reason":"old"}"#),
        (409, r#"{"reason":"room"}"#),
        (409, r#"{"reason":"fence"}"#),
        (409, r#"{"reason":"ticket"}"#),
        (421, ""),
        (429, ""),
        (500, ""),
        (502, ""),
        (503, ""),
        (504, ""),
    ];
    let lines = answers.map(|(status, body)| {
        let status = StatusCode::from_u16(status).unwrap();
        let reply = read_start_reply(status, body.as_bytes());
        format!("{} {body}: {reply:?}", status.as_u16())
    });
    insta::assert_snapshot!(lines.join("\n"));
}

/// A worker whose remaining time is taken for another one is used too early or never.
#[rstest]
#[case::missing("extra", "1", Some(0))]
#[case::given("cold_left_ms", "1500", Some(1500))]
#[case::negative("cold_left_ms", "-5", Some(0))]
#[case::too_long("cold_left_ms", "1e300", None)]
#[case::text("cold_left_ms", r#""1500""#, None)]
#[case::null("cold_left_ms", "null", None)]
fn time_for_which_a_worker_is_cold(
    #[case] field: &str,
    #[case] text: &str,
    #[case] expected: Option<u64>,
) {
    let item = Item {
        key: "servers/w1".to_owned(),
        value: Bytes(worker_with(field, text)),
        revision: 1,
    };
    let left = read_worker(&item).ok().map(|worker| worker.cold_left);
    assert_eq!(left, expected.map(Duration::from_millis));
}

/// A key that names no zone must not hide the other requests, nor evacuate all zones.
#[rstest]
#[case::zone("op/evacuate/ie-a", Some(Some("ie-a")))]
#[case::other_key("op/config", None)]
#[case::prefix_only("op/evacuate", None)]
#[case::empty("op/evacuate/", Some(None))]
#[case::nested("op/evacuate/ie/a", Some(None))]
#[case::control("op/evacuate/ie\n", Some(None))]
fn zones_that_keys_name(#[case] key: &str, #[case] expected: Option<Option<&str>>) {
    assert_eq!(read_evacuated_zone(key).map(Result::ok), expected);
}
