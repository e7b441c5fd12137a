use std::time::Duration;

use rstest::rstest;

use super::{Recurrence, Step, TaskName, Workflow, WorkflowId, dues};
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
#[case(vec![], "a job without steps")]
#[case(vec![step(&[0], 1)], "step 0 comes after step 0, which is not before it")]
#[case(vec![step(&[], 1), step(&[2], 1)], "step 1 comes after step 2, which is not before it")]
#[case(vec![Step { count: 0, ..step(&[], 1) }], "step 0: 0 tasks: give 1 to 10000")]
fn what_cannot_be_carried_out_is_refused(#[case] steps: Vec<Step>, #[case] message: &str) {
    assert_eq!(workflow(steps).check().unwrap_err(), message);
}

#[test]
fn the_longest_chain_counts() {
    let steps = vec![step(&[], 1), step(&[0], 5), step(&[0], 2), step(&[1, 2], 1)];
    assert_eq!(workflow(steps).chain(), Duration::from_secs(7));
}

#[rstest]
#[case("5c0e7a21d94b36f8.0.1")]
#[case("5c0e7a21d94b36f8.0.1.2.3")]
#[case("5C0E7A21D94B36F8.0.1.2")]
#[case("5c0e7a21d94b36f8.0.x.2")]
#[case("")]
fn other_texts_are_no_names_of_tasks(#[case] text: &str) {
    assert!(text.parse::<TaskName>().is_err());
}

#[test]
fn names_survive_the_way_to_a_worker_and_back() {
    let name = TaskName {
        workflow: WorkflowId(0xab),
        occurrence: 3,
        step: 2,
        index: 17,
    };
    assert_eq!(name.to_string().parse::<TaskName>().unwrap(), name);
}

#[test]
fn repetitions_are_due_by_the_time_of_day() {
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
    let found = dues(&workflow, Duration::from_secs(1003), now);
    let expected = [0, 4_000_000, 9_000_000].map(Moment::from_micros);
    assert_eq!(found, expected);
}
