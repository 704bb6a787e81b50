//! How often a request is sent, and that all instances together stay within the retry budget.

mod support;

use std::time::Duration;

use quickcheck::quickcheck;
use ringbend_gateway::{
    Attempts, NextStep, Rank, RepeatPolicy, RetryBudget, RetryBudgetBounds, SendOutcome,
};
use ringbend_types::{RunState, Timestamp};
use support::{at, endpoint, service};

const BOUNDS: RetryBudgetBounds =
    RetryBudgetBounds { ratio: 0.2, window: Duration::from_secs(10), allowance: 106.0 };

/// A budget without effective limit: one request allows a million retries.
fn unlimited_budget() -> RetryBudget {
    let mut budget = RetryBudget::new(RetryBudgetBounds { ratio: 1e7, ..BOUNDS });
    budget.record_request(at(0), &service("s"));
    budget
}

const OUTCOMES: [SendOutcome; 4] =
    [SendOutcome::NotSent, SendOutcome::NotRun, SendOutcome::Unknown, SendOutcome::FailedAnswer];

/// Tries all sequences of six outcomes and checks how often each request ran and what its caller
/// was told.
#[test]
fn no_sequence_of_outcomes_runs_a_request_too_often_or_reports_a_false_not_run() {
    for repeat in [RepeatPolicy::AtMostOnce, RepeatPolicy::Idempotent, RepeatPolicy::Resumable] {
        for max_runs in 1..=3 {
            for series in 0..4usize.pow(6) {
                walk(repeat, max_runs, series);
            }
        }
    }
}

fn walk(repeat: RepeatPolicy, max_runs: u8, mut series: usize) {
    let mut attempts = Attempts::new(repeat, max_runs, at(1_000));
    let (mut budget, mut runs) = (unlimited_budget(), 0);
    for _ in 0..6 {
        let end = OUTCOMES[series % 4];
        series /= 4;
        attempts.record_send(&endpoint(1).id);
        runs += u8::from(matches!(end, SendOutcome::Unknown | SendOutcome::FailedAnswer));
        assert!(runs <= max_runs, "run {runs} times of {max_runs}");
        assert!(runs <= 1 || repeat.may_repeat(), "run twice");
        match attempts.record_outcome(at(1), end, &service("s"), &mut budget) {
            NextStep::Retry => {}
            NextStep::ForwardFailure => return assert_eq!(end, SendOutcome::FailedAnswer),
            NextStep::GiveUp(state) => return assert_eq!(state == RunState::NotRun, runs == 0),
        }
    }
}

#[test]
fn nothing_is_sent_after_the_deadline() {
    let mut attempts = Attempts::new(RepeatPolicy::Idempotent, 3, at(1_000));
    let next = attempts.record_outcome(
        at(1_000),
        SendOutcome::NotSent,
        &service("s"),
        &mut unlimited_budget(),
    );
    assert_eq!(next, NextStep::GiveUp(RunState::NotRun));
    assert!(!attempts.replace_silent(at(1_000), &service("s"), &mut unlimited_budget()));
}

#[test]
fn silence_leads_to_another_run_only_if_one_is_allowed() {
    let may = |repeat, runs| {
        let mut attempts = Attempts::new(repeat, runs, at(1_000));
        attempts.replace_silent(at(1), &service("s"), &mut unlimited_budget())
    };
    assert!(may(RepeatPolicy::Resumable, 2));
    assert!(!may(RepeatPolicy::Resumable, 1));
    assert!(!may(RepeatPolicy::AtMostOnce, 2));
}

/// Whether any window has more retries than allowed for the requests of that window, of the one
/// before or of the one half a window before, whichever had the most.
fn over_budget(bounds: &RetryBudgetBounds, requests: &[Timestamp], retries: &[Timestamp]) -> bool {
    let within = |times: &[Timestamp], from: Timestamp, to: Timestamp| {
        times.iter().filter(|at| **at >= from && **at <= to).count() as f64
    };
    retries.iter().any(|to| {
        let from = *to - bounds.window;
        let asked = |earlier: Duration| within(requests, from - earlier, *to - earlier);
        let earlier = [Duration::ZERO, bounds.window / 2, bounds.window];
        let asked = earlier.into_iter().map(asked).fold(0.0, f64::max);
        within(retries, from, *to) > bounds.ratio * asked + bounds.allowance
    })
}

quickcheck! {
    /// Instances that take every retry they can, some of which are killed and restart without their
    /// counts.
    fn all_instances_together_stay_within_the_budget(steps: Vec<(u8, u8, bool)>) -> bool {
        const INSTANCES: usize = 9;
        let new = || {
            let mut budget = RetryBudget::new(BOUNDS);
            budget.set_instances(at(0), INSTANCES);
            budget
        };
        let mut budgets: Vec<RetryBudget> = (0..INSTANCES).map(|_| new()).collect();
        let (mut requests, mut retries) = (Vec::new(), Vec::new());
        // They have known each other for long.
        let (mut now, name, mut restarts) = (at(60_000), service("s"), 0);
        for (who, pause, restart) in steps {
            now = now + Duration::from_millis(u64::from(pause));
            let budget = &mut budgets[usize::from(who) % INSTANCES];
            budget.record_request(now, &name);
            requests.push(now);
            // The allowance leaves a margin for three more instances, so as many may restart.
            if restart && who % 50 == 0 && restarts < 3 {
                *budget = new();
                restarts += 1;
            }
            while budget.take(now, &name, Rank::MOST_URGENT) {
                retries.push(now);
            }
        }
        !over_budget(&BOUNDS, &requests, &retries)
    }
}

/// Guards against instances that overestimate their share of the allowance. Instances that have
/// lost each other and the store know of no other for a while, and then of a few. When each took
/// the share of one in twelve, they used five times the allowance together.
#[test]
fn instances_that_do_not_know_their_number_yet_stay_within_the_budget_together() {
    const INSTANCES: usize = 79;
    let name = service("s");
    // The allowance with which this was observed.
    let bounds = RetryBudgetBounds { allowance: 234.0, ..BOUNDS };
    let mut budgets: Vec<RetryBudget> = (0..INSTANCES).map(|_| RetryBudget::new(bounds)).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for ms in (0..9_000).step_by(100) {
        let now = at(60_000 + ms);
        let known = match ms {
            0..2_500 => 1,
            2_500..4_000 => 22,
            _ => INSTANCES,
        };
        for budget in &mut budgets {
            budget.set_instances(now, known);
            if ms % 500 == 0 {
                budget.record_request(now, &name);
                requests.push(now);
            }
            while budget.take(now, &name, Rank::MOST_URGENT) {
                retries.push(now);
            }
        }
    }
    assert!(!over_budget(&bounds, &requests, &retries), "{} retries", retries.len());
    // Two of the 18 requests of each instance may be retried in any case.
    assert!(retries.len() >= 2 * INSTANCES, "{} retries", retries.len());
}

/// Guards against exceeding the budget when all instances are killed during a failure and restart
/// without their counts, as callers return. Each uses its share of the allowance before and after,
/// and as many retries as its own requests allow.
#[test]
fn instances_that_all_restart_stay_within_the_budget_together() {
    const INSTANCES: usize = 80;
    let name = service("s");
    // The allowance with which this was observed.
    let bounds = RetryBudgetBounds { allowance: 235.0, ..BOUNDS };
    let new = |now| {
        let mut budget = RetryBudget::new(bounds);
        budget.set_instances(now, INSTANCES);
        budget
    };
    let mut budgets: Vec<RetryBudget> = (0..INSTANCES).map(|_| new(at(0))).collect();
    let (mut requests, mut retries) = (Vec::new(), Vec::new());
    for ms in (0..20_000).step_by(100) {
        let now = at(60_000 + ms);
        if ms == 10_000 {
            budgets = (0..INSTANCES).map(|_| new(now)).collect();
        }
        for budget in &mut budgets {
            if ms % 1_000 == 0 {
                budget.record_request(now, &name);
                requests.push(now);
            }
            // The failure begins a second before the kill.
            while ms >= 9_000 && budget.take(now, &name, Rank::MOST_URGENT) {
                retries.push(now);
            }
        }
    }
    assert!(!over_budget(&bounds, &requests, &retries), "{} retries", retries.len());
}
