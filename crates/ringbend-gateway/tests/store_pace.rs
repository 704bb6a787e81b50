//! How long calls to the store may take.

use std::time::Duration;

use ringbend_gateway::{MAX_STORE_TIMEOUT, SLOW_CALL_INTERVAL, StorePace};
use ringbend_types::Timestamp;

const QUICK: Duration = Duration::from_millis(4);
const SLOW: Duration = Duration::from_millis(1_200);

#[test]
fn a_store_that_was_not_called_yet_is_not_slow() {
    let pace = StorePace::default();
    assert!(!pace.is_slow());
    assert_eq!(pace.timeout(), Duration::from_secs(1));
    assert_eq!(pace.proof_delay(), Duration::ZERO);
}

#[test]
fn a_slow_store_gets_more_time() {
    let mut pace = StorePace::default();
    pace.record_response(SLOW, Duration::ZERO);
    assert!(pace.is_slow());
    assert_eq!(pace.timeout(), 2 * SLOW);
    assert!(pace.proof_delay() > SLOW);
}

#[test]
fn the_time_is_bounded() {
    let mut pace = StorePace::default();
    pace.record_response(Duration::from_secs(60), Duration::ZERO);
    assert_eq!(pace.timeout(), MAX_STORE_TIMEOUT);
}

#[test]
fn the_requested_wait_does_not_count() {
    let wait = Duration::from_secs(9);
    let mut pace = StorePace::default();
    pace.record_response(wait + SLOW, wait);
    assert!(pace.is_slow());
    pace.record_response(wait + QUICK, wait);
    assert!(!pace.is_slow());
}

#[test]
fn an_early_response_to_a_call_that_waits_says_nothing() {
    let mut pace = StorePace::default();
    pace.record_response(SLOW, Duration::ZERO);
    pace.record_response(QUICK, Duration::from_secs(9));
    assert!(pace.is_slow());
    pace.record_response(QUICK, Duration::ZERO);
    assert!(!pace.is_slow());
}

#[test]
fn a_quick_proof_elsewhere_shows_that_the_store_is_quick() {
    let now = Timestamp(10_000_000);
    let mut pace = StorePace::default();
    pace.record_response(SLOW, Duration::ZERO);
    pace.record_proof_elsewhere(now, now - 2 * SLOW);
    assert_eq!(pace.timeout(), 2 * SLOW);
    pace.record_proof_elsewhere(now, now - QUICK);
    assert!(!pace.is_slow());
}

#[test]
fn a_slow_store_is_read_when_no_proofs_arrive() {
    let (started_at, now) = (Timestamp(1_000_000), Timestamp(10_000_000));
    let mut pace = StorePace::default();
    assert_eq!(
        pace.read_due(started_at, true, 0.0),
        None,
        "a quick store is read by the age of proofs"
    );
    pace.record_response(SLOW, Duration::ZERO);
    let due =
        |pace: &StorePace, schedules, draw| pace.read_due(started_at, schedules, draw).unwrap();
    assert!(due(&pace, true, 1.0) < started_at + Duration::from_secs(2));
    pace.record_proof_elsewhere(now, now - 2 * SLOW);
    assert!(
        due(&pace, true, 0.0) > now + SLOW_CALL_INTERVAL,
        "the reader's next proof comes first"
    );
    assert!(due(&pace, true, 1.0) < due(&pace, false, 0.0), "schedulers read first");
}
