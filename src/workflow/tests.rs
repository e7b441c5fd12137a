use std::time::Duration;

use rstest::rstest;

use super::{Recurrence, Step, TaskName, Workflow, WorkflowId, due_times};
use crate::moment::Moment;

fn step(after: &[usize], seconds: u64) -> Step {
    Step {
        count: 1,
        estimate: Duration::from_secs(seconds),
        after: after.to_vec(),
        ..Step::default()
    }
}

fn workflow(steps: Vec<Step>) -> Workflow {
    Workflow {
        steps,
        ..Workflow::default()
    }
}

#[rstest]
#[case(vec![], "the job has no steps")]
#[case(vec![step(&[0], 1)], "step 0 depends on step 0, which does not precede it")]
#[case(vec![step(&[], 1), step(&[2], 1)], "step 1 depends on step 2, which does not precede it")]
#[case(vec![Step { count: 0, ..step(&[], 1) }], "step 0: 0 tasks: give 1 to 10000")]
fn invalid_job_is_rejected(#[case] steps: Vec<Step>, #[case] message: &str) {
    assert_eq!(workflow(steps).check().unwrap_err(), message);
}

#[test]
fn critical_path_is_longest_chain_of_steps() {
    let steps = vec![step(&[], 1), step(&[0], 5), step(&[0], 2), step(&[1, 2], 1)];
    assert_eq!(workflow(steps).critical_path(), Duration::from_secs(7));
}

#[rstest]
#[case("5c0e7a21d94b36f8.0.1")]
#[case("5c0e7a21d94b36f8.0.1.2.3")]
#[case("5C0E7A21D94B36F8.0.1.2")]
#[case("5c0e7a21d94b36f8.0.x.2")]
#[case("")]
fn malformed_task_name_is_rejected(#[case] text: &str) {
    assert!(text.parse::<TaskName>().is_err());
}

#[test]
fn task_name_round_trips_through_its_text() {
    let name = TaskName {
        workflow: WorkflowId(0xab),
        occurrence: 3,
        step: 2,
        index: 17,
    };
    assert_eq!(name.to_string().parse::<TaskName>().unwrap(), name);
}

#[test]
fn occurrences_are_due_by_wall_clock() {
    let recurrence = Recurrence {
        times: 3,
        start: Duration::from_secs(1000),
        interval: Duration::from_secs(5),
    };
    let workflow = Workflow {
        recurrence: Some(recurrence),
        ..workflow(vec![step(&[], 1)])
    };
    let now = Moment::from_micros(2_000_000);
    let found = due_times(&workflow, Duration::from_secs(1003), now);
    let expected = [0, 4_000_000, 9_000_000].map(Moment::from_micros);
    assert_eq!(found, expected);
}

#[test]
fn stored_progress_without_crashes_can_still_be_read() {
    #[derive(serde::Serialize)]
    struct EarlierRecord {
        occurrence: u32,
        step: u32,
        index: u32,
        done: bool,
        failed: Vec<u64>,
        checkpoint: String,
    }
    let earlier = EarlierRecord {
        occurrence: 0,
        step: 1,
        index: 2,
        done: false,
        failed: vec![7],
        checkpoint: "c".to_owned(),
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&earlier, &mut bytes).unwrap();
    let record: super::TaskRecord = ciborium::from_reader(bytes.as_slice()).unwrap();
    assert_eq!((record.failed, record.crashes.is_empty()), (vec![7], true));
}
