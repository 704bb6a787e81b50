//! When a short prompt is hedged on a second engine.
//!
//! Scenario: an engine crashes, falls silent or becomes slow, and silence is the only sign for the
//! instance that has just sent a request there. Basis of the numbers: a short prompt is due after
//! 300 ms and expected after about 110; four in five arrive within 1.6 times that and nine in ten
//! within twice that, as passes are not aligned; another engine takes as long again. So a hedged
//! run is useful between 1.6 times the expected time and the target latency.

mod support;

use ringbend_gateway::{
    Attempts, NextStep, RepeatPolicy, RetryBudget, RetryBudgetBounds, SendOutcome, hedge_at,
};
use support::{at, endpoint, ms, service};

#[test]
fn a_hedged_run_starts_while_it_can_be_in_time() {
    let begins = hedge_at(at(1_000), ms(110), at(1_300)).unwrap();
    assert!(begins > at(1_150) && begins + ms(110) <= at(1_300), "{begins:?}");
}

#[test]
fn a_request_expected_to_be_late_is_not_hedged() {
    assert_eq!(hedge_at(at(1_000), ms(200), at(1_300)), None);
    assert_eq!(hedge_at(at(1_000), ms(10), at(900)), None);
}

/// In a burst every request is overdue; hedged runs must stay within the retry budget then.
#[test]
fn hedged_runs_in_a_burst_stay_within_the_budget() {
    let bounds = RetryBudgetBounds { ratio: 0.2, window: ms(10_000), allowance: 0.0 };
    let mut budget = RetryBudget::new(bounds);
    let name = service("engines");
    let mut hedged_runs = 0;
    for n in 0..500 {
        let now = at(n * 10);
        budget.record_request(now, &name);
        let mut attempts = Attempts::new(RepeatPolicy::Idempotent, 2, now + ms(10_000));
        attempts.record_send(&endpoint(1).id);
        hedged_runs += usize::from(attempts.begin_hedge(now, &name, &mut budget));
    }
    assert!((50..=100).contains(&hedged_runs), "{hedged_runs}");
}

#[test]
fn a_hedged_request_has_no_third_run() {
    let bounds = RetryBudgetBounds { ratio: 1.0, window: ms(10_000), allowance: 100.0 };
    let mut budget = RetryBudget::new(bounds);
    let name = service("engines");
    let mut attempts = Attempts::new(RepeatPolicy::Idempotent, 2, at(10_000));
    (0..4).for_each(|_| budget.record_request(at(0), &name));
    assert!(attempts.begin_hedge(at(1), &name, &mut budget));
    assert!(!attempts.replace_silent(at(2), &name, &mut budget));
    let next = attempts.record_outcome(at(3), SendOutcome::Unknown, &name, &mut budget);
    assert!(matches!(next, NextStep::GiveUp(_)), "{next:?}");
}
