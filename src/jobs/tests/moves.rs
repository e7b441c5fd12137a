//! Tests of tasks that move to another shard.

use super::*;

#[test]
fn tasks_too_large_for_every_worker_move_with_their_checkpoints() {
    let mut fixture = Fixture::new(&[]);
    fixture.accept(1, "plain", 2);
    let saved = Change::Saved {
        task: TaskId {
            job: fixture.record(1, "plain", 1).id,
            index: 1,
        },
        checkpoint: 400,
    };
    fixture.ledger.commit(&[saved]);
    for name in ["w0", "w1"] {
        fixture.placement.unlist(name);
    }
    for ms in [0, 4000, 6000] {
        let find_shard = |_: Size, _: u64| Some(ShardId(1));
        fixture
            .ledger
            .move_unplaceable(&fixture.placement, find_shard, at(ms));
        fixture.log();
    }
    let moves = fixture.ledger.pending_moves();
    let record = &moves[0].record;
    assert_eq!(
        (moves.len(), record.tasks, &record.checkpoints),
        (1, 2, &vec![0, 400])
    );
    let replayed = Ledger::replay(
        SHARD,
        Epoch(3),
        &fixture.ledger.snapshot(),
        LedgerSettings::default(),
        at(7000),
    );
    assert_eq!(replayed.pending_moves(), moves);
    fixture.ledger.move_accepted(moves[0].to);
    fixture.log();
    assert!(fixture.ledger.pending_moves().is_empty());
    assert_eq!(fixture.ended(1), r#"{"moved": 2}"#);
}

#[test]
fn a_job_is_kept_until_the_shard_of_its_moved_tasks_has_accepted_them() {
    let mut fixture = Fixture::new(&[]);
    fixture.accept(1, "plain", 1);
    for name in ["w0", "w1"] {
        fixture.placement.unlist(name);
    }
    for ms in [0, 6000] {
        let find_shard = |_: Size, _: u64| Some(ShardId(1));
        fixture
            .ledger
            .move_unplaceable(&fixture.placement, find_shard, at(ms));
        fixture.log();
    }
    let moves = fixture.ledger.pending_moves();
    let settings = LedgerSettings::default();
    let expired = 7000 + settings.job_retention;
    fixture.maintain(7000);
    fixture.maintain(expired);
    let snapshot = fixture.ledger.snapshot();
    let replayed = Ledger::replay(SHARD, Epoch(3), &snapshot, settings, at(expired));
    assert_eq!((moves.len(), replayed.pending_moves()), (1, moves.clone()));
    fixture.ledger.move_accepted(moves[0].to);
    fixture.log();
    fixture.maintain(expired + 1);
    fixture.maintain(expired * 2);
    assert!(fixture.ledger.snapshot().is_empty());
}

#[test]
fn the_tasks_of_a_job_do_not_move_while_its_cancellation_is_being_logged() {
    let mut fixture = Fixture::new(&[]);
    fixture.accept(1, "plain", 1);
    for name in ["w0", "w1"] {
        fixture.placement.unlist(name);
    }
    let find_shard = |_: Size, _: u64| Some(ShardId(1));
    let (ledger, placement) = (&mut fixture.ledger, &fixture.placement);
    ledger.move_unplaceable(placement, find_shard, at(0));
    let job = JobId {
        shard: SHARD,
        number: 1,
    };
    assert!(ledger.cancel(job));
    ledger.move_unplaceable(placement, find_shard, at(6000));
    let changes = fixture.log();
    assert_eq!(changes, [Change::Cancelled { job }]);
    assert!(fixture.ledger.pending_moves().is_empty());
}
