//! Tests of the roster of workers.

use super::*;

#[test]
fn a_process_at_a_new_address_does_not_answer_for_the_one_at_the_old_address() {
    let mut fixture = Fixture::new(&[]);
    for worker in 0..2 {
        fixture.call(worker);
        fixture.report(worker, Vec::new(), 5);
    }
    fixture.accept(1, "plain", 1);
    fixture.plan(10);
    let busy = usize::from(fixture.call(0).is_empty());
    fixture.call(busy);
    fixture.report(busy, vec![task(1, 2, 1, TaskState::Running, 0)], 20);
    let called = |fixture: &Fixture| {
        let worker = |index: usize| fixture.placement.get(fixture.workers[index]).unwrap();
        [worker(busy), worker(1 - busy)].map(|worker| worker.address.clone())
    };
    for name in ["w0", "w1"] {
        let host = listed(name, "127.0.0.1:2");
        fixture.placement.upsert_listed(&host, SHARD);
    }
    fixture.maintain(100);
    let while_it_may_run = called(&fixture);
    let key = fixture.workers[busy];
    fixture.placement.get_mut(key).unwrap().last_report = Some(at(100));
    fixture.placement.on_silence(key, at(200));
    let recovered = 100 + LedgerSettings::default().recovery_delay().as_millis() as u64;
    fixture.maintain(recovered - 1);
    let before_its_lease_has_ended = called(&fixture);
    let changes = fixture.maintain(recovered);
    let (old, new) = ("127.0.0.1:1".to_owned(), "127.0.0.1:2".to_owned());
    let apart = [old, new.clone()];
    assert_eq!(
        [
            while_it_may_run,
            before_its_lease_has_ended,
            called(&fixture)
        ],
        [apart.clone(), apart, [new.clone(), new.clone()]]
    );
    let name = format!("w{busy}");
    assert!(changes.contains(&Change::WorkerJoined { name, address: new }));
}

#[test]
fn a_worker_listed_again_gets_no_task_while_its_removal_is_being_logged() {
    let mut fixture = Fixture::new(&[]);
    fixture.placement.unlist("w0");
    fixture.placement.unlist("w1");
    let (placement, ledger) = (&mut fixture.placement, &mut fixture.ledger);
    ledger.maintain(placement, at(10), WallClock(10));
    for name in ["w0", "w1"] {
        let host = listed(name, "127.0.0.1:1");
        fixture.placement.upsert_listed(&host, SHARD);
    }
    fixture.accept(1, "plain", 1);
    fixture.plan(20);
    let during = [fixture.call(0), fixture.call(1)].concat();
    let logged = fixture.log();
    fixture.maintain(200);
    fixture.plan(210);
    let after = [fixture.call(0), fixture.call(1)].concat();
    let left = |name: &str| Change::WorkerLeft {
        name: name.to_owned(),
    };
    assert_eq!(logged, [left("w0"), left("w1")]);
    assert_eq!((during.len(), after.len()), (0, 1), "{during:?} {after:?}");
}
