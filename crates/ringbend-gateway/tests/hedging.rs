//! When a short prompt is begun on a second engine.
//!
//! The pattern: an engine dies, falls silent or turns slow, and whoever was just sent there learns of it
//! by silence alone. Grounds of the figures: a short prompt is due after 300 ms and expected after some
//! 110; four in five come within 1.6 times that and nine in ten within twice that, as passes are not in
//! step; another engine takes as long again. So there is time for a second run between 1.6 times what was
//! expected and the aim.

mod support;

use ringbend_gateway::{
    Attempts, NextStep, RepeatPolicy, RetryBudget, RetryBudgetBounds, SendOutcome, hedge_at,
};
use support::{at, endpoint, ms, service};

#[test]
fn a_second_run_begins_while_it_can_be_in_time() {
    let begins = hedge_at(at(1_000), ms(110), at(1_300)).unwrap();
    assert!(begins > at(1_150) && begins + ms(110) <= at(1_300), "{begins:?}");
}

#[test]
fn what_is_expected_late_has_no_second_run() {
    assert_eq!(hedge_at(at(1_000), ms(200), at(1_300)), None);
    assert_eq!(hedge_at(at(1_000), ms(10), at(900)), None);
}

/// In a crowd everything is overdue; second runs then stay within the budget of repeats.
#[test]
fn second_runs_of_a_crowd_stay_within_the_budget() {
    let bounds = RetryBudgetBounds { ratio: 0.2, window: ms(10_000), allowance: 0.0 };
    let mut budget = RetryBudget::new(bounds);
    let name = service("engines");
    let mut second_runs = 0;
    for n in 0..500 {
        let now = at(n * 10);
        budget.record_request(now, &name);
        let mut attempts = Attempts::new(RepeatPolicy::Idempotent, 2, now + ms(10_000));
        attempts.record_send(&endpoint(1).id);
        second_runs += usize::from(attempts.begin_hedge(now, &name, &mut budget));
    }
    assert!((50..=100).contains(&second_runs), "{second_runs}");
}

#[test]
fn a_request_with_two_runs_has_no_third() {
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
