//! Publishing with concurrent operators and lost answers, and the configurations
//! generated from the examples.

use std::path::Path;

use super::{
    CheckedQuestionnaire, Configuration, CurrentConfiguration, Publication, PublishOutcome,
    PublishStep, StoredConfiguration, Zone,
};
use crate::kind::ErrorKind;

fn zone(name: &str, shards: u16) -> Zone {
    Zone {
        name: name.to_owned(),
        shards,
    }
}

/// The store's entry after the swap of `step` took effect.
fn swapped(step: &PublishStep, version: u64) -> StoredConfiguration {
    let PublishStep::Swap { value, .. } = step else {
        panic!("{step:?} is not a swap");
    };
    StoredConfiguration {
        version,
        value: value.as_ref().clone(),
    }
}

fn publication(nonce: u64) -> Publication {
    Publication::new(Configuration::default(), &format!("op{nonce}"), nonce)
}

#[test]
fn a_lost_answer_is_resolved_by_the_nonce() {
    let mut publication = publication(1);
    let step = publication.on_read(Some(None));
    let stored = swapped(&step, 5);
    assert_eq!(publication.on_swap(None), PublishStep::Read);
    let end = publication.on_read(Some(Some(stored)));
    assert_eq!(end, PublishStep::Done(PublishOutcome::Accepted(1)));
}

#[test]
fn a_lost_answer_is_resolved_by_the_history_after_a_later_change() {
    let mut first = publication(1);
    let stored = swapped(&first.on_read(Some(None)), 5);
    let mut second = publication(2);
    let later = swapped(&second.on_read(Some(Some(stored))), 6);
    first.on_swap(None);
    let end = first.on_read(Some(Some(later)));
    assert_eq!(end, PublishStep::Done(PublishOutcome::Accepted(1)));
}

#[test]
fn a_swap_that_may_still_arrive_is_sent_again() {
    let mut publication = publication(1);
    publication.on_read(Some(None));
    publication.on_swap(None);
    let step = publication.on_read(Some(None));
    assert!(matches!(step, PublishStep::Swap { version: 0, .. }));
}

#[test]
fn a_conflict_names_the_other_operator_and_revision() {
    let mut first = publication(1);
    let mut second = publication(2);
    let stored = swapped(&first.on_read(Some(None)), 5);
    second.on_read(Some(None));
    second.on_swap(Some(false));
    let end = second.on_read(Some(Some(stored)));
    let PublishStep::Done(PublishOutcome::Refused(refusal)) = end else {
        panic!("{end:?}");
    };
    assert_eq!(refusal.kind, ErrorKind::Conflict);
    assert_eq!(refusal.message, "op1 published revision 1 first");
}

#[test]
fn changing_the_shards_of_a_zone_is_refused() {
    let previous = Configuration {
        zones: vec![zone("a", 2)],
        ..Configuration::default()
    };
    let wanted = Configuration {
        zones: vec![zone("a", 3)],
        ..Configuration::default()
    };
    let mut publication = Publication::new(wanted, "ana", 1);
    let stored = StoredConfiguration {
        version: 3,
        value: previous,
    };
    let end = publication.on_read(Some(Some(stored)));
    assert!(matches!(end, PublishStep::Done(PublishOutcome::Refused(_))));
}

#[test]
fn the_history_is_bounded() {
    let mut current = CurrentConfiguration::default();
    let mut stored = None;
    for nonce in 1..100 {
        let mut publication = publication(nonce);
        let step = publication.on_read(Some(stored));
        let next = swapped(&step, nonce);
        current.update_if_newer(next.value.clone());
        stored = Some(next);
    }
    let history = &current.get().unwrap().history;
    assert_eq!((history.len(), history.last().unwrap().revision), (32, 99));
}

#[test]
fn examples_generate_their_configuration() {
    for name in ["nombrario", "rothar"] {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join(format!("examples/{name}.ini"));
        let checked = CheckedQuestionnaire::read(&path).unwrap();
        assert!(checked.warnings.is_empty());
        let text = serde_json::to_string_pretty(&checked.configuration).unwrap();
        insta::assert_snapshot!(name, text);
    }
}
