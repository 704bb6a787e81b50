//! Backoff between calls to a lost store.

use std::time::Duration;

use ringbend_gateway::{MAX_SECONDARY_BACKOFF, StoreBackoff};

/// A few hundred instances that lost the store together poll it as often as a few.
#[test]
fn many_instances_poll_a_lost_store_no_more_often_than_few() {
    let calls_a_second = |instances: usize| {
        let mut backoff = StoreBackoff::default();
        for _ in 0..5 {
            backoff.next_delay(instances, true, 0.5);
        }
        instances as f64 / backoff.next_delay(instances, true, 0.5).as_secs_f64()
    };
    assert!((calls_a_second(300) / calls_a_second(8) - 1.0).abs() < 0.01);
}

/// Guards against an unbounded delay of a watch that is not the sentinel. With 295 instances, a
/// watch that lost the store before its sentinel did slept for 13 s, and its instance sent requests
/// to engines that had left six seconds before. Leaving engines must be known within two to four
/// seconds.
#[test]
fn a_watch_other_than_the_sentinel_waits_at_most_three_seconds() {
    for instances in [1, 8, 76, 295, 1_000] {
        let mut backoff = StoreBackoff::default();
        for _ in 0..6 {
            assert!(backoff.next_delay(instances, false, 0.999) <= MAX_SECONDARY_BACKOFF);
        }
    }
    let unbounded = StoreBackoff::default().next_delay(295, true, 0.999);
    assert!(unbounded > Duration::from_secs(13), "{unbounded:?}");
}

#[test]
fn delays_grow_with_each_failure_and_reset_after_a_success() {
    let mut backoff = StoreBackoff::default();
    let first = backoff.next_delay(1, true, 0.5);
    assert!(backoff.next_delay(1, true, 0.5) > first);
    backoff.reset();
    assert_eq!(backoff.next_delay(1, true, 0.5), first);
}
