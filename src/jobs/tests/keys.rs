//! Tests of idempotency keys.

use super::*;

#[test]
fn a_key_is_not_used_again_while_its_former_intent_may_still_be_logged() {
    let mut keys = IdempotencyKeys::default();
    let KeyStep::Log(intent) = keys.begin(1, 5, WallClock(0)) else {
        panic!("a new key");
    };
    // The request ends without being sent before its intent is logged.
    let release = keys.end(1, KeyOutcome::NotRun);
    let is_sent =
        |keys: &mut IdempotencyKeys| matches!(keys.begin(1, 5, WallClock(1)), KeyStep::Log(_));
    let mut sent = vec![is_sent(&mut keys)];
    for change in [intent, release] {
        keys.apply(&change, false);
        sent.push(is_sent(&mut keys));
    }
    assert_eq!(sent, [false, false, true]);
}

#[test]
fn the_logged_release_of_a_key_does_not_free_it_under_its_next_request() {
    let mut keys = IdempotencyKeys::default();
    let KeyStep::Log(intent) = keys.begin(1, 5, WallClock(0)) else {
        panic!("a new key");
    };
    keys.apply(&intent, false);
    let release = keys.end(1, KeyOutcome::NotRun);
    let KeyStep::Log(next) = keys.begin(1, 5, WallClock(1)) else {
        panic!("a key that is free again");
    };
    for change in [release, next] {
        keys.apply(&change, false);
        let step = keys.begin(1, 5, WallClock(2));
        assert!(matches!(step, KeyStep::Refuse(_)), "{change:?}: {step:?}");
    }
}

#[test]
fn a_repeated_key_is_answered_by_its_stage() {
    let mut keys = IdempotencyKeys::default();
    let mut lines = Vec::new();
    let mut record = |when: &str, step: KeyStep| lines.push(format!("{when}: {step:?}"));
    record("first", keys.begin(1, 5, WallClock(0)));
    record("while it is logged", keys.begin(1, 5, WallClock(0)));
    let intent = Change::KeyIntent {
        key: 1,
        digest: 5,
        at: WallClock(0),
    };
    keys.apply(&intent, false);
    record("while it runs", keys.begin(1, 5, WallClock(0)));
    record("another request", keys.begin(1, 6, WallClock(0)));
    keys.end(1, KeyOutcome::TooLarge);
    record("after a large answer", keys.begin(1, 5, WallClock(0)));
    let mut taken_over = IdempotencyKeys::default();
    taken_over.apply(&intent, true);
    record("after a takeover", taken_over.begin(1, 5, WallClock(0)));
    taken_over.end(1, KeyOutcome::NotRun);
    record("after it did not run", taken_over.begin(1, 5, WallClock(0)));
    insta::assert_snapshot!(lines.join("\n"));
}

#[test]
fn keys_and_answers_of_a_shard_fit_into_a_snapshot() {
    let answer = |size| {
        KeyOutcome::Answered(StoredAnswer {
            status: 200,
            headers: Vec::new(),
            body: vec![0; size],
        })
    };
    let mut keys = IdempotencyKeys::default();
    let mut stored = 0;
    let mut refused = 0;
    for key in 0..3000 {
        match keys.begin(key, 0, WallClock(0)) {
            KeyStep::Log(_) => {
                let change = keys.end(key, answer(1000));
                let is_stored = matches!(
                    change,
                    Change::KeyEnded {
                        outcome: KeyOutcome::Answered(_),
                        ..
                    }
                );
                stored += u32::from(is_stored);
            }
            _ => refused += 1,
        }
    }
    let bytes = serde_json::to_vec(&keys.snapshot()).unwrap().len();
    assert!(bytes < 1 << 20, "{bytes} bytes");
    assert!(
        stored > 100 && refused > 1000,
        "{stored} stored, {refused} refused"
    );
}
