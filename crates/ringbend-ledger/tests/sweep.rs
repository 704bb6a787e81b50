//! The sweep frees orphaned reservations and no others.

use std::collections::BTreeSet;
use std::time::Duration;

use ringbend_ledger::{SweepConfig, Sweeper};
use ringbend_platform::{Reservation, RowVersion};
use ringbend_types::{AttemptId, EndpointId, Incarnation, Timestamp, TokenCount};

const HOLDER: Incarnation = Incarnation(7 << Incarnation::RANDOM_BITS);

fn held() -> [Reservation; 1] {
    let attempt = AttemptId { incarnation: HOLDER.0, sequence: 1 };
    [Reservation { attempt, tokens: TokenCount(1_000) }]
}

fn engine() -> EndpointId {
    "engine-1".parse().unwrap()
}

fn seconds(n: u64) -> Timestamp {
    Timestamp::from_millis(n * 1_000)
}

/// Sweeps every five seconds and returns when the reservation is freed. `is_dead` states whether gossip considers the
/// holder dead, `version` is the version of its presence row at a given time.
fn freed_at(is_dead: bool, version: impl Fn(u64) -> Option<RowVersion>, until: u64) -> Option<u64> {
    let mut sweeper = Sweeper::new(SweepConfig::default());
    for n in (0..until).step_by(5) {
        sweeper.observe_presence(seconds(n), HOLDER, version(n));
        sweeper.set_live(if is_dead { BTreeSet::new() } else { BTreeSet::from([HOLDER]) });
        if !sweeper.find_orphaned(seconds(n), &engine(), &held()).is_empty() {
            return Some(n);
        }
    }
    None
}

#[test]
fn memory_of_a_dead_instance_is_freed_within_forty_seconds() {
    assert_eq!(freed_at(true, |_| Some(RowVersion(3)), 100), Some(40));
}

#[test]
fn memory_of_an_instance_with_an_expired_row_is_freed() {
    assert_eq!(freed_at(true, |_| None, 100), Some(40));
}

#[test]
fn memory_of_an_instance_that_renews_is_kept_even_if_gossip_considers_it_dead() {
    assert_eq!(freed_at(true, |n| Some(RowVersion(n)), 3_000), None);
}

#[test]
fn memory_of_an_instance_alive_in_gossip_is_kept_even_if_its_row_is_unchanged() {
    assert_eq!(freed_at(false, |_| Some(RowVersion(3)), 3_000), None);
}

#[test]
fn memory_of_an_instance_that_refuted_suspicions_is_kept() {
    let mut sweeper = Sweeper::new(SweepConfig::default());
    for n in (0..3_000).step_by(5) {
        sweeper.observe_presence(seconds(n), HOLDER, Some(RowVersion(3)));
        sweeper.set_live(BTreeSet::from([Incarnation(HOLDER.0 + 3)]));
        let freed = sweeper.find_orphaned(seconds(n), &engine(), &held());
        assert!(freed.is_empty(), "at {n} s");
    }
}

#[test]
fn memory_older_than_any_request_is_always_freed() {
    assert_eq!(freed_at(false, |n| Some(RowVersion(n)), 4_000), Some(3_700));
}

#[test]
fn an_outage_of_the_table_restarts_the_timeout() {
    let mut sweeper = Sweeper::new(SweepConfig::default());
    for n in (0..70).step_by(5) {
        if n == 10 {
            sweeper.reset_presence();
        } else {
            sweeper.observe_presence(seconds(n), HOLDER, Some(RowVersion(3)));
        }
        sweeper.set_live(BTreeSet::new());
        let freed = !sweeper.find_orphaned(seconds(n), &engine(), &held()).is_empty();
        assert_eq!(freed, n >= 55, "at {n} s");
    }
}

#[test]
fn a_reservation_that_reappears_counts_as_new() {
    let mut sweeper =
        Sweeper::new(SweepConfig { max_hold: Duration::from_secs(10), ..SweepConfig::default() });
    assert!(sweeper.find_orphaned(seconds(0), &engine(), &held()).is_empty());
    assert!(sweeper.find_orphaned(seconds(5), &engine(), &[]).is_empty());
    assert!(sweeper.find_orphaned(seconds(11), &engine(), &held()).is_empty());
    assert_eq!(sweeper.find_orphaned(seconds(21), &engine(), &held()).len(), 1);
}
