//! Tests of which submissions a ledger accepts.

use super::*;

#[test]
fn a_repeated_submission_is_one_job() {
    let mut fixture = Fixture::new(&[]);
    let record = fixture.record(1, "plain", 1);
    let other = fixture.record(1, "plain", 2);
    let mut submit = |record: &JobRecord| {
        let placement = &fixture.placement;
        let submission =
            fixture
                .ledger
                .submit(record.clone(), placement, None, at(0), WallClock(0));
        match &submission {
            SubmitStep::Log(change) => {
                fixture.ledger.commit(std::slice::from_ref(change));
                "log".to_owned()
            }
            other => format!("{other:?}"),
        }
    };
    let lines = [submit(&record), submit(&record), submit(&other)];
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn a_submission_is_not_accepted_here_while_its_redirect_is_being_logged() {
    let mut fixture = Fixture::new(&[]);
    let record = fixture.record(1, "plain", 1);
    let submit = |fixture: &mut Fixture, other| {
        let placement = &fixture.placement;
        let ledger = &mut fixture.ledger;
        let other = Some(ShardId(other));
        match ledger.submit(record.clone(), placement, other, at(0), WallClock(0)) {
            SubmitStep::Log(Change::Redirected { to, .. }) => format!("redirect to {to}"),
            step => format!("{step:?}"),
        }
    };
    let leave = |fixture: &mut Fixture, leaving| {
        for worker in &fixture.workers {
            fixture.placement.get_mut(*worker).unwrap().leaving = leaving;
        }
    };
    leave(&mut fixture, true);
    let first = submit(&mut fixture, 1);
    let other_shard_fits = submit(&mut fixture, 2);
    leave(&mut fixture, false);
    let own_shard_fits = submit(&mut fixture, 1);
    assert_eq!([&other_shard_fits, &own_shard_fits], [&first, &first]);
}

#[test]
fn a_full_shard_refuses_jobs_before_its_snapshot_is_too_large() {
    let mut fixture = Fixture::new(&[]);
    let mut number = 0;
    loop {
        number += 1;
        let record = JobRecord {
            payload: "x".repeat(100),
            deadline: WallClock(u64::MAX / 4),
            ..fixture.record(number, "plain", 100)
        };
        let placement = &fixture.placement;
        match fixture
            .ledger
            .submit(record, placement, None, at(0), WallClock(0))
        {
            SubmitStep::Log(change) => fixture.ledger.commit(&[change]),
            refused => {
                assert!(format!("{refused:?}").contains("Overloaded"), "{refused:?}");
                break;
            }
        }
    }
    let bytes = serde_json::to_vec(&fixture.ledger.snapshot())
        .unwrap()
        .len();
    assert!(bytes < 1 << 20, "{bytes} bytes");
}

#[test]
fn a_job_that_cannot_meet_its_deadline_is_refused_early() {
    let mut fixture = Fixture::new(&[]);
    let record = JobRecord {
        deadline: WallClock(5000),
        ..fixture.record(1, "plain", 100)
    };
    let placement = &fixture.placement;
    let submission = fixture
        .ledger
        .submit(record, placement, None, at(0), WallClock(0));
    insta::assert_snapshot!(format!("{submission:?}"));
}
