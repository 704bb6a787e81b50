//! Backoff delays that endpoints request from one instance.

mod support;

use quickcheck::quickcheck;
use ringbend_gateway::{BackoffState, Backoffs, Endpoint};
use ringbend_types::{EndpointStart, ParseDecimalError, RetryAfter};
use support::{at, endpoint, ms};

fn delay(text: &str) -> RetryAfter {
    text.parse().unwrap()
}

/// Guards against a shorter delay, or a success in between, that ends a longer delay.
#[test]
fn latest_end_of_several_delays_applies() {
    let mut backoffs = Backoffs::default();
    assert!(backoffs.begin(at(0), &endpoint(1), delay("3")));
    assert!(!backoffs.begin(at(100), &endpoint(1), delay("0.5")));
    assert!(!backoffs.record_accepted(at(200), &endpoint(1)));
    assert_eq!(backoffs.state(at(2_999), &endpoint(1)), BackoffState::Closed(at(3_000)));
    assert_eq!(backoffs.state(at(3_000), &endpoint(1)), BackoffState::Open);
    assert_eq!(backoffs.state(at(0), &endpoint(2)), BackoffState::Open);
}

/// Guards against a burst of requests at the end of a delay.
#[test]
fn one_probe_at_a_time_is_sent_after_the_delay_until_one_is_accepted() {
    let mut backoffs = Backoffs::default();
    backoffs.begin(at(0), &endpoint(1), delay("1"));
    backoffs.record_sent(at(1_500), &endpoint(1));
    assert_eq!(backoffs.state(at(1_600), &endpoint(1)), BackoffState::Probed);
    let state = backoffs.state(at(2_500), &endpoint(1));
    assert_eq!(state, BackoffState::Open, "the probe got no response in time");
    backoffs.record_sent(at(2_500), &endpoint(1));
    assert!(!backoffs.record_accepted(at(900), &endpoint(1)), "a response to an earlier request");
    assert!(backoffs.record_accepted(at(2_500), &endpoint(1)));
    assert!(backoffs.is_empty());
}

/// Guards against a delay that outlives the process that asked for it.
#[test]
fn delay_applies_only_to_its_process() {
    let started = |ms| Endpoint { start: Some(EndpointStart(ms)), ..endpoint(1) };
    let mut backoffs = Backoffs::default();
    backoffs.begin(at(0), &started(100), delay("86400"));
    assert_ne!(backoffs.state(at(1), &started(100)), BackoffState::Open);
    assert_eq!(backoffs.state(at(1), &started(200)), BackoffState::Open);
    backoffs.begin(at(2), &started(200), delay("1"));
    assert_eq!(backoffs.state(at(1_002), &started(200)), BackoffState::Open);
    assert!(!backoffs.begin(at(2_000), &started(100), delay("60")), "a late response");
    assert_eq!(backoffs.state(at(2_001), &started(200)), BackoffState::Open);
}

/// Guards against an unbounded table of delays.
#[test]
fn delays_are_bounded_and_old_ones_are_dropped() {
    let mut backoffs = Backoffs::default();
    for number in 0..5_000 {
        backoffs.begin(at(number as u64), &endpoint(number), delay("60"));
    }
    assert_eq!(backoffs.len(), 4_096);
    assert_ne!(backoffs.state(at(5_000), &endpoint(4_999)), BackoffState::Open);
    backoffs.sweep(at(200_000));
    assert!(backoffs.is_empty());
}

#[test]
fn delay_is_a_number_of_seconds_capped_at_an_hour() {
    assert_eq!(delay("1.5").delay(), ms(1_500));
    assert_eq!(delay("0").delay(), ms(0));
    assert_eq!(delay("86400").delay(), RetryAfter::MAX);
    let error = |text: &str| text.parse::<RetryAfter>().unwrap_err();
    assert_eq!(error(""), ParseDecimalError::Empty);
    assert_eq!(error("-1"), ParseDecimalError::Negative);
    assert_eq!(error("NaN"), ParseDecimalError::NotFinite);
    assert_eq!(error("1e309"), ParseDecimalError::NotFinite);
    assert_eq!(error("Wed, 21 Oct 2026 07:28:00 GMT"), ParseDecimalError::NotANumber);
    assert_eq!(error(&"1".repeat(1 << 20)), ParseDecimalError::TooLong);
}

quickcheck! {
    /// Guards against a response that shortens a delay, whatever the order of responses.
    fn nothing_is_sent_before_the_latest_end(delays: Vec<(u16, u16)>) -> bool {
        let mut backoffs = Backoffs::default();
        let mut now = 0;
        let mut latest = 0;
        for (pause, length) in delays {
            now += u64::from(pause);
            let length = u64::from(length);
            if length > 0 {
                latest = latest.max(now + length);
            }
            backoffs.begin(at(now), &endpoint(1), RetryAfter::new(ms(length)));
            backoffs.record_accepted(at(now), &endpoint(1));
            if now < latest && backoffs.state(at(now), &endpoint(1)) == BackoffState::Open {
                return false;
            }
        }
        true
    }
}
