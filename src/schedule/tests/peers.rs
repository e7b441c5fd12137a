//! Tests of evidence of interference that owners of other shards have observed.

use super::*;
use crate::schedule::PairRecord;
use crate::shards::encode;

const PEER: &str = "b.0";

fn record(observed: f64) -> PairRecord {
    PairRecord {
        serving: "video".to_owned(),
        best_effort: "batch".to_owned(),
        log_odds: 0.0,
        observed,
    }
}

fn log_odds(shard: &mut Shard) -> f64 {
    let images = &mut shard.scheduler.images;
    let (video, batch) = (images.key("video"), images.key("batch"));
    shard.scheduler.pairs.log_odds(video, batch)
}

/// The refused fields and their values.
fn refusals(shard: &mut Shard) -> Vec<String> {
    let events = shard.scheduler.take_events().into_iter();
    let refused = events.filter_map(|event| match event {
        Event::EvidenceRefused { from, field, value } => Some(format!("{from}: {field} {value}")),
        _ => None,
    });
    refused.collect()
}

#[test]
fn a_best_effort_image_avoids_workers_where_another_owner_saw_interference() {
    let mut shard = Shard::first_owner(&["w0", "w1"]);
    shard.submit(active_workflow(1, vec![serving(1, 1, "video")], 1, 0));
    shard.plan();
    let (worker, _, _) = shard.confirm()[0];
    shard.scheduler.merge_peer_pairs(PEER, 5, &[record(4.0)]);
    shard.submit(active_workflow(2, vec![best_effort(3, 2, "batch")], 2, 2));
    shard.plan();
    let started = shard.confirm();
    assert_eq!(started.len(), 3);
    assert!(started.iter().all(|run| run.0 != worker));
}

#[test]
fn evidence_of_another_owner_counts_once() {
    let mut shard = Shard::first_owner(&["w0"]);
    let before = log_odds(&mut shard);
    shard.scheduler.merge_peer_pairs(PEER, 5, &[record(1.0)]);
    shard.scheduler.merge_peer_pairs(PEER, 5, &[record(1.0)]);
    assert_eq!(log_odds(&mut shard), before + 1.0);
    shard.scheduler.merge_peer_pairs(PEER, 8, &[record(1.5)]);
    assert_eq!(log_odds(&mut shard), before + 1.5);
    // A read that may be stale returns an older record.
    shard.scheduler.merge_peer_pairs(PEER, 5, &[record(1.0)]);
    shard.scheduler.merge_peer_pairs(PEER, 9, &[record(1.5)]);
    assert_eq!(log_odds(&mut shard), before + 1.5);
}

#[test]
fn merged_evidence_is_not_stored_as_observed() {
    let mut shard = Shard::first_owner(&["w0"]);
    shard.scheduler.merge_peer_pairs(PEER, 5, &[record(2.0)]);
    let batch = shard.scheduler.collect(true, at(10_000));
    let pairs = batch.pairs.expect("there is evidence");
    assert_eq!(pairs[0].observed, 0.0);
    assert!(pairs[0].log_odds > 0.0);
}

#[test]
fn a_later_owner_goes_on_counting_from_what_its_shard_stored() {
    let mut former = Shard::first_owner(&["w0"]);
    assert!(former.scheduler.on_pairs("a.0", &[record(3.0)]));
    former.scheduler.skip_peer_pairs(PEER, 5, &[record(2.0)]);
    assert_eq!(log_odds(&mut former), 0.0);
    former.scheduler.merge_peer_pairs(PEER, 6, &[record(2.25)]);
    assert_eq!(log_odds(&mut former), 0.25);
    let batch = former.scheduler.collect(true, at(10_000));
    assert_eq!(batch.pairs.unwrap()[0].observed, 3.0);
}

#[test]
fn a_record_with_an_impossible_field_adds_nothing() {
    let long = || "x".repeat(65);
    let bad = [
        vec![record(f64::NAN)],
        vec![record(f64::INFINITY)],
        vec![record(-1e300)],
        vec![record(1.0), record(1e10)],
        vec![PairRecord {
            log_odds: f64::NAN,
            ..record(1.0)
        }],
        vec![PairRecord {
            serving: long(),
            ..record(1.0)
        }],
        vec![PairRecord {
            best_effort: long(),
            ..record(1.0)
        }],
        vec![record(1.0); 4_001],
    ];
    let mut shard = Shard::first_owner(&["w0"]);
    let before = log_odds(&mut shard);
    for (number, records) in bad.iter().enumerate() {
        let revision = number as u64 + 1;
        shard.scheduler.merge_peer_pairs(PEER, revision, records);
    }
    assert_eq!(log_odds(&mut shard), before);
    insta::assert_snapshot!(refusals(&mut shard).join("\n"), @r"
    b.0: observed NaN
    b.0: observed inf
    b.0: observed -1e300
    b.0: observed 1e10
    b.0: odds NaN
    b.0: serving 65
    b.0: filling 65
    b.0: pairs 4001
    ");
    assert!(!shard.scheduler.on_pairs("a.0", &bad[0]));
    assert_eq!(refusals(&mut shard), ["a.0: observed NaN"]);
    assert_eq!(log_odds(&mut shard), before);
}

#[test]
fn a_record_of_an_older_version_has_observed_nothing() {
    let stored = serde_json::json!({"serving": "video", "filling": "batch", "odds": 2.0});
    let record: PairRecord = serde_json::from_value(stored).unwrap();
    assert_eq!(record.observed, 0.0);
}

#[test]
fn stored_evidence_is_limited_to_the_pairs_about_which_most_is_known() {
    let mut shard = Shard::first_owner(&["w0"]);
    let certain = shard.scheduler.images.key("certain");
    for number in 0..4_100 {
        let image = shard.scheduler.images.key(&format!("image-{number}"));
        shard.scheduler.pairs.merge(certain, image, 2.0);
    }
    let loud = shard.scheduler.images.key("loud");
    shard.scheduler.pairs.merge(certain, loud, 6.0);
    // Owners would refuse a record with such a name as a whole.
    let long = shard.scheduler.images.key(&"x".repeat(65));
    shard.scheduler.pairs.merge(certain, long, 6.5);
    let pairs = shard.scheduler.collect(true, at(10_000)).pairs.unwrap();
    assert_eq!(pairs.len(), 4_000);
    assert!(pairs.iter().any(|pair| pair.best_effort == "loud"));
    assert!(pairs.iter().all(|pair| pair.best_effort.len() <= 64));
    assert!(encode(&pairs).len() < 1_000_000);
}
