//! Parsing identifiers and writing them as text.

use rstest::rstest;

use super::{Attempt, Epoch, HostId, JobId, ParseIdError, RequestId, ShardId, TaskId};

#[test]
fn identifiers_round_trip_through_text() {
    let job = JobId {
        shard: ShardId(3),
        number: 255,
    };
    let task = TaskId { job, index: 7 };
    let attempt = Attempt {
        epoch: Epoch(2),
        count: 9,
    };
    let request = RequestId {
        host: HostId(u64::MAX),
        number: 1,
    };
    let text = serde_json::to_string(&(task, attempt, request)).unwrap();
    insta::assert_snapshot!(text);
    let back: (TaskId, Attempt, RequestId) = serde_json::from_str(&text).unwrap();
    assert_eq!(back, (task, attempt, request));
}

#[rstest]
#[case("3-ff")]
#[case("s3")]
#[case("s3-xyz")]
#[case("s70000-ff")]
#[case("")]
fn the_error_for_a_bad_job_id_starts_with_the_text(#[case] text: &str) {
    let error: ParseIdError = text.parse::<JobId>().unwrap_err();
    assert!(error.to_string().starts_with(&format!("{text:?}")));
}
