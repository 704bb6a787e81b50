//! Outages of the store, told from the loss of one instance's own link.

mod support;

use ringbend_gateway::{MIN_OUTAGE, OutageUpdate, StoreOutages};
use support::{at, ms};

/// An instance that has heard of answers once per second up to this time.
fn connected_until(end_ms: u64) -> StoreOutages {
    let mut outages = StoreOutages::default();
    for time in (1_000..=end_ms).step_by(1_000) {
        assert_eq!(outages.peer_answered(at(time), Some(at(1_000))), OutageUpdate::Unchanged);
    }
    outages
}

#[test]
fn store_that_answers_no_instance_for_a_while_was_away() {
    let mut outages = connected_until(5_000);
    assert_eq!(outages.answered(at(9_000)), OutageUpdate::Ended(at(9_000)));
    assert_eq!(outages.answering_since(), Some(at(9_000)));
    assert_eq!(outages.answered(at(10_000)), OutageUpdate::Unchanged);
}

#[test]
fn gap_that_the_loss_of_a_reader_leaves_is_no_outage() {
    let mut outages = connected_until(5_000);
    assert_eq!(outages.answered(at(5_000) + (MIN_OUTAGE - ms(1))), OutageUpdate::Unchanged);
}

#[test]
fn the_end_of_an_outage_is_learned_from_another_instance() {
    let mut outages = connected_until(5_000);
    let update = outages.peer_answered(at(9_300), Some(at(9_000)));
    assert_eq!(update, OutageUpdate::Ended(at(9_000)));
}

/// Guards against an instance that was cut off alone and takes that for an outage of the store: it
/// would go on sending requests to endpoints that have left.
#[test]
fn an_instance_that_was_cut_off_learns_that_the_store_was_not_away() {
    let mut outages = connected_until(5_000);
    assert_eq!(outages.peer_answered(at(9_300), Some(at(1_000))), OutageUpdate::Unchanged);
    assert_eq!(outages.answered(at(9_400)), OutageUpdate::Unchanged);
}

/// The instance's own call is answered before the first message of another one arrives.
#[test]
fn an_outage_that_others_did_not_see_is_refuted_once() {
    let mut outages = connected_until(5_000);
    assert_eq!(outages.answered(at(9_000)), OutageUpdate::Ended(at(9_000)));
    assert_eq!(outages.peer_answered(at(8_700), Some(at(1_000))), OutageUpdate::Refuted);
    assert_eq!(outages.answering_since(), Some(at(1_000)));
    assert_eq!(outages.peer_answered(at(9_700), Some(at(1_000))), OutageUpdate::Unchanged);
}

/// Clocks of peers are converted to a time that may be somewhat too early.
#[test]
fn an_outage_is_not_refuted_by_others_that_saw_it() {
    let mut outages = connected_until(5_000);
    assert_eq!(outages.answered(at(9_000)), OutageUpdate::Ended(at(9_000)));
    assert_eq!(outages.peer_answered(at(9_100), Some(at(8_950))), OutageUpdate::Unchanged);
    assert_eq!(outages.answering_since(), Some(at(9_000)));
}

#[test]
fn an_instance_that_starts_in_an_outage_learns_of_its_end() {
    let mut outages = StoreOutages::default();
    assert_eq!(outages.peer_answered(at(5_000), Some(at(1_000))), OutageUpdate::Unchanged);
    assert_eq!(outages.answering_since(), Some(at(1_000)));
    assert_eq!(outages.answered(at(9_000)), OutageUpdate::Ended(at(9_000)));
}
