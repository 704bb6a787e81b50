//! Pauses between calls to a lost store.

use std::time::Duration;

use ringbend_gateway::{MAX_SECONDARY_BACKOFF, StoreBackoff};

/// Some hundred instances that lost the store together ask it as often as a few.
#[test]
fn many_instances_ask_a_lost_store_no_oftener_than_few() {
    let calls_a_second = |instances: usize| {
        let mut pauses = StoreBackoff::default();
        for _ in 0..5 {
            pauses.next_delay(instances, true, 0.5);
        }
        instances as f64 / pauses.next_delay(instances, true, 0.5).as_secs_f64()
    };
    assert!((calls_a_second(300) / calls_a_second(8) - 1.0).abs() < 0.01);
}

/// Beside 295 instances a watch that lost the store before its sentinel did slept for 13 s, and its
/// instance sent requests to engines that had left six seconds before. Leaving engines must be known
/// within two to four seconds.
#[test]
fn a_watch_that_is_no_sentinel_rests_for_three_seconds_at_most() {
    for instances in [1, 8, 76, 295, 1_000] {
        let mut pauses = StoreBackoff::default();
        for _ in 0..6 {
            assert!(pauses.next_delay(instances, false, 0.999) <= MAX_SECONDARY_BACKOFF);
        }
    }
    let unbounded = StoreBackoff::default().next_delay(295, true, 0.999);
    assert!(unbounded > Duration::from_secs(13), "{unbounded:?}");
}

#[test]
fn pauses_grow_with_each_failure_and_begin_anew_after_an_answer() {
    let mut pauses = StoreBackoff::default();
    let first = pauses.next_delay(1, true, 0.5);
    assert!(pauses.next_delay(1, true, 0.5) > first);
    pauses.reset();
    assert_eq!(pauses.next_delay(1, true, 0.5), first);
}
