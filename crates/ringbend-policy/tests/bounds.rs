//! Every admitted request ends by its deadline, whatever its endpoint does, and the run state
//! reported to its caller is correct.

mod support;

use std::time::Duration;

use quickcheck::{Gen, QuickCheck, TestResult};
use ringbend_platform::{EndpointState, LoadReport};
use ringbend_policy::{
    Action, AfterAttempt, AttemptEnd, Event, FailureCode, NaivePolicy, RequestEnd, after_attempt,
    run_state,
};
use ringbend_settings::configs::ChoiceKind;
use ringbend_types::{Incarnation, RunState, Seed, TokenCount};
use support::{
    Harness, cancels, dispatch, dispatches, endpoint, ends, request, seconds, with_settings,
};

fn failed(end: &RequestEnd) -> (FailureCode, RunState, bool) {
    match end {
        RequestEnd::Failed { code, run_state, retry_after } => {
            (*code, *run_state, retry_after.is_some())
        }
        RequestEnd::Answered => panic!("answered"),
    }
}

#[test]
fn an_attempt_on_a_frozen_engine_is_retried_on_another() {
    let mut harness = Harness::new(2);
    let first = dispatch(&harness.submit(request(1)));
    let second = dispatch(&harness.advance(Duration::from_secs(15)));
    assert_ne!(first.endpoint, second.endpoint);
    assert_eq!(cancels(&harness.actions), [first.attempt]);
}

#[test]
fn an_attempt_on_a_silent_engine_is_retried_before_its_timeout() {
    let mut harness = Harness::new(2);
    for _ in 0..5 {
        harness.advance(Duration::from_millis(500));
        (0..2).for_each(|n| harness.report_idle(n));
    }
    let first = dispatch(&harness.submit(request(1)));
    let other = usize::from(first.endpoint == endpoint(0));
    let mut moved = None;
    for n in 1..=10 {
        let sent = dispatches(&harness.advance(Duration::from_millis(500)));
        moved = moved.or(sent.first().map(|d| (n, d.endpoint.clone())));
        harness.report_idle(other);
    }
    let (half_seconds, to) = moved.unwrap();
    assert_eq!(to, endpoint(other));
    assert!(half_seconds <= 8, "moved after {half_seconds} half seconds");
}

#[test]
fn a_paused_instance_does_not_treat_its_engines_as_silent() {
    let mut harness = Harness::new(2);
    for _ in 0..5 {
        harness.advance(Duration::from_millis(500));
        (0..2).for_each(|n| harness.report_idle(n));
    }
    harness.submit(request(1));
    // The instance is paused for five seconds; everything that was due then runs at once.
    harness.now = harness.now + Duration::from_secs(5);
    let actions = harness.handle(Event::Tick);
    assert!(cancels(&actions).is_empty(), "{actions:?}");
}

#[test]
fn a_request_fails_by_its_deadline_when_every_engine_is_frozen() {
    let mut harness = Harness::new(2);
    harness.submit(request(1));
    harness.advance(Duration::from_secs(60));
    let ends = ends(&harness.actions);
    assert_eq!(ends.len(), 1);
    assert_eq!(failed(&ends[0].1).1, RunState::MayHaveRun);
}

#[test]
fn the_naive_policy_waits_on_a_frozen_engine_until_the_deadline() {
    let naive = NaivePolicy::new(Incarnation(1), ChoiceKind::RoundRobin, Seed(7));
    let mut harness = Harness::with(Box::new(naive), 2);
    harness.submit(request(1));
    harness.advance(Duration::from_secs(59));
    assert_eq!(dispatches(&harness.actions).len(), 1);
    assert!(ends(&harness.actions).is_empty());
}

#[test]
fn slow_progress_does_not_extend_a_request_beyond_its_deadline() {
    let mut harness = Harness::new(1);
    let first = dispatch(&harness.submit(request(1)));
    for tokens in 1..200 {
        harness.advance(Duration::from_secs(1));
        harness.handle(Event::Progress { attempt: first.attempt, tokens });
    }
    let ends = ends(&harness.actions);
    assert_eq!(failed(&ends[0].1).0, FailureCode::DeadlineExceeded);
    assert_eq!(cancels(&harness.actions), [first.attempt]);
}

#[test]
fn an_attempt_queued_behind_others_at_a_busy_engine_is_not_cancelled() {
    let mut harness = Harness::new(2);
    let first = dispatch(&harness.submit(request(1)));
    for _ in 0..50 {
        let report = LoadReport {
            running: 9,
            waiting: 9,
            prefill_backlog: TokenCount(90_000),
            kv_used: TokenCount(100_000),
            kv_capacity: TokenCount(400_000),
            state: EndpointState::Live,
        };
        let at = harness.now;
        harness.handle(Event::Load { endpoint: first.endpoint.clone(), report, at });
        harness.advance(Duration::from_secs(1));
    }
    assert!(cancels(&harness.actions).is_empty(), "{:?}", harness.actions);
}

#[test]
fn a_long_prompt_that_was_not_run_is_retried_until_its_deadline() {
    let mut harness = Harness::new(2);
    let mut long = request(1);
    long.prompt_tokens = TokenCount(200_000);
    long.deadline = seconds(600);
    let mut next = dispatches(&harness.submit(long));
    for _ in 0..40 {
        if let Some(dispatch) = next.pop() {
            let attempt = dispatch.attempt;
            harness.handle(Event::Ended { attempt, end: AttemptEnd::NotSent });
        }
        next.extend(dispatches(&harness.advance(Duration::from_secs(5))));
    }
    assert!(ends(&harness.actions).is_empty(), "{:?}", ends(&harness.actions));
    assert!(dispatches(&harness.actions).len() > 10);
}

#[test]
fn a_broken_response_resumes_after_the_tokens_delivered() {
    let mut harness = Harness::new(2);
    let first = dispatch(&harness.submit(request(1)));
    harness.handle(Event::Progress { attempt: first.attempt, tokens: 6 });
    harness.handle(Event::Ended { attempt: first.attempt, end: AttemptEnd::Broken });
    let second = dispatch(&harness.advance(Duration::from_secs(1)));
    assert_eq!((second.resume_from, second.number), (6, 2));
    assert_ne!(second.endpoint, first.endpoint);
}

#[test]
fn a_non_repeatable_request_is_not_retried_once_it_may_have_run() {
    let mut harness = Harness::new(2);
    let mut non_repeatable = request(1);
    non_repeatable.repeatable = false;
    let first = dispatch(&harness.submit(non_repeatable));
    let actions = harness.handle(Event::Ended { attempt: first.attempt, end: AttemptEnd::Broken });
    let (code, run_state, _) = failed(&ends(&actions)[0].1);
    assert_eq!((code, run_state), (FailureCode::EndpointFailed, RunState::MayHaveRun));
    assert!(dispatches(&harness.advance(Duration::from_secs(60))).is_empty());
}

#[test]
fn the_naive_policy_retries_a_non_repeatable_request() {
    let naive = NaivePolicy::new(Incarnation(1), ChoiceKind::RoundRobin, Seed(7));
    let mut harness = Harness::with(Box::new(naive), 2);
    let mut non_repeatable = request(1);
    non_repeatable.repeatable = false;
    let first = dispatch(&harness.submit(non_repeatable));
    let actions = harness.handle(Event::Ended { attempt: first.attempt, end: AttemptEnd::Broken });
    assert_eq!(dispatches(&actions).len(), 1);
}

#[test]
fn a_non_repeatable_request_is_retried_when_it_was_not_run() {
    for end in [AttemptEnd::NotSent, AttemptEnd::Refused { retry_after: None }] {
        let mut harness = Harness::new(2);
        let mut non_repeatable = request(1);
        non_repeatable.repeatable = false;
        let first = dispatch(&harness.submit(non_repeatable));
        harness.handle(Event::Ended { attempt: first.attempt, end });
        assert_eq!(dispatches(&harness.advance(Duration::from_secs(1))).len(), 1);
    }
}

#[test]
fn a_request_refused_by_every_attempt_fails_as_not_run_with_a_retry_after() {
    let mut harness = Harness::new(1);
    let mut next = dispatches(&harness.submit(request(1)));
    while let Some(dispatch) = next.pop() {
        let end = AttemptEnd::Refused { retry_after: Some(Duration::from_secs(1)) };
        harness.handle(Event::Ended { attempt: dispatch.attempt, end });
        next = dispatches(&harness.advance(Duration::from_secs(5)));
    }
    let (code, run_state, has_retry_after) = failed(&ends(&harness.actions)[0].1);
    assert_eq!((code, run_state), (FailureCode::EndpointFailed, RunState::NotRun));
    assert!(has_retry_after);
}

#[test]
fn a_request_without_retries_left_fails_immediately() {
    let mut harness = Harness::new(1);
    let profile = with_settings(1, |s| s.retries.attempts = 1);
    let first = dispatch(&harness.submit(profile));
    let actions = harness.handle(Event::Ended { attempt: first.attempt, end: AttemptEnd::Broken });
    assert_eq!(ends(&actions).len(), 1, "the failure is not reported immediately");
}

#[test]
fn a_full_queue_rejects_requests_with_a_jittered_retry_after() {
    let mut harness = Harness::new(1);
    let mut rejected = Vec::new();
    for id in 0..400 {
        let mut profile = with_settings(id, |s| s.admission.max_queued = 50);
        profile.deadline = seconds(3_600);
        for action in harness.submit(profile) {
            if let Action::Rejected { code, retry_after, .. } = action {
                rejected.push((code, retry_after));
            }
        }
    }
    assert!(!rejected.is_empty());
    assert!(rejected.iter().all(|(code, wait)| *code == FailureCode::QueueFull && wait.is_some()));
    let mut waits: Vec<_> = rejected.iter().map(|(_, wait)| *wait).collect();
    waits.sort();
    waits.dedup();
    assert!(waits.len() > rejected.len() / 2, "too many callers get the same Retry-After");
}

#[test]
fn a_request_whose_deadline_cannot_be_met_is_rejected_at_admission() {
    let mut harness = Harness::new(1);
    let mut profile = request(1);
    profile.deadline = harness.now + Duration::from_millis(10);
    let actions = harness.submit(profile);
    let code = FailureCode::DeadlineTooNear;
    assert!(matches!(&actions[..], [Action::Rejected { code: c, .. }] if *c == code));
}

#[test]
fn a_leaving_endpoint_gets_no_requests_while_the_list_still_has_it_live() {
    let mut harness = Harness::new(2);
    harness.handle(Event::EndpointLeaving(endpoint(0)));
    harness.handle(Event::Endpoints((0..2).map(support::entry).collect()));
    for id in 0..20 {
        for dispatch in dispatches(&harness.submit(request(id))) {
            assert_eq!(dispatch.endpoint, endpoint(1));
        }
    }
}

#[test]
fn a_changed_routing_setting_takes_effect_immediately() {
    let mut harness = Harness::new(2);
    let with_bound = |id, bound| {
        let mut profile = with_settings(id, |s| {
            s.routing.choice = ChoiceKind::PrefixAffinity;
            s.routing.affinity_bound_percent = bound;
        });
        profile.prefix = 5;
        profile
    };
    let home = dispatch(&harness.submit(with_bound(1, 1_000))).endpoint;
    for id in 2..4 {
        assert_eq!(dispatch(&harness.submit(with_bound(id, 1_000))).endpoint, home);
    }
    // Three requests at the home engine exceed the mean of two, so the lower bound sends the next
    // one elsewhere.
    assert_ne!(dispatch(&harness.submit(with_bound(4, 100))).endpoint, home);
}

#[test]
fn a_withdrawn_request_is_cancelled_at_its_endpoint() {
    let mut harness = Harness::new(1);
    let first = dispatch(&harness.submit(request(1)));
    let actions = harness.handle(Event::Withdrawn(request(1).id));
    assert_eq!(cancels(&actions), [first.attempt]);
    assert!(ends(&harness.advance(Duration::from_secs(100))).is_empty());
}

#[test]
fn every_attempt_end_maps_to_its_run_state_and_next_step() {
    let refused = AttemptEnd::Refused { retry_after: None };
    let table = [
        (AttemptEnd::Complete, None, AfterAttempt::Answered, AfterAttempt::Answered),
        (AttemptEnd::NotSent, Some(RunState::NotRun), AfterAttempt::Retry, AfterAttempt::Retry),
        (refused, Some(RunState::NotRun), AfterAttempt::Retry, AfterAttempt::Retry),
        (AttemptEnd::Broken, Some(RunState::MayHaveRun), AfterAttempt::Retry, AfterAttempt::End),
        (AttemptEnd::EndpointError, Some(RunState::Failed), AfterAttempt::Retry, AfterAttempt::End),
    ];
    for (end, expected_run_state, repeatable, non_repeatable) in table {
        assert_eq!(run_state(end), expected_run_state, "{end:?}");
        assert_eq!(after_attempt(end, true), repeatable, "{end:?}");
        assert_eq!(after_attempt(end, false), non_repeatable, "{end:?}");
    }
}

/// Property: for random events on a few requests, each admitted request ends exactly once by its
/// deadline, is never dispatched after its end, is reported as not run only if no attempt reached
/// an endpoint, and runs at most once if it is not repeatable.
fn ends_once_with_correct_run_state(events: Vec<(u8, u8, u8)>) -> TestResult {
    let mut harness = Harness::new(3);
    let requests = 6;
    for id in 0..requests {
        let mut profile = request(id);
        profile.repeatable = id % 2 == 0;
        harness.submit(profile);
    }
    let mut reached = vec![0_u32; requests as usize];
    let mut settled = 0;
    for (which, kind, wait) in events {
        harness.advance(Duration::from_millis(u64::from(wait) * 20));
        let open: Vec<_> = dispatches(&harness.actions)
            .into_iter()
            .filter(|d| !ends(&harness.actions).iter().any(|(id, _)| *id == d.request))
            .collect();
        if open.is_empty() {
            continue;
        }
        let dispatch = &open[usize::from(which) % open.len()];
        let attempt = dispatch.attempt;
        let end = match kind % 6 {
            0 => AttemptEnd::NotSent,
            1 => AttemptEnd::Refused { retry_after: None },
            2 => AttemptEnd::Broken,
            3 => AttemptEnd::EndpointError,
            4 => AttemptEnd::Complete,
            _ => {
                harness.handle(Event::Progress { attempt, tokens: u64::from(wait) + 1 });
                continue;
            }
        };
        let last = open.iter().rfind(|d| d.request == dispatch.request);
        if run_state(end) != Some(RunState::NotRun) && last == Some(dispatch) {
            reached[dispatch.request.sequence as usize] += 1;
        }
        harness.handle(Event::Ended { attempt, end });
        settled += 1;
    }
    harness.advance(Duration::from_secs(120));
    let all = ends(&harness.actions);
    for id in 0..requests {
        let of: Vec<_> = all.iter().filter(|(r, _)| r.sequence == id).collect();
        if of.len() != 1 {
            return TestResult::error(format!("request {id} ended {} times", of.len()));
        }
        let not_run = matches!(of[0].1, RequestEnd::Failed { run_state: RunState::NotRun, .. });
        if not_run && reached[id as usize] > 0 {
            return TestResult::error(format!(
                "request {id} was reported as not run after {settled} attempt ends"
            ));
        }
        if id % 2 == 1 && reached[id as usize] > 1 {
            return TestResult::error(format!("request {id} ran {} times", reached[id as usize]));
        }
    }
    TestResult::passed()
}

#[test]
fn every_request_ends_once_with_a_correct_run_state() {
    let seeded = Gen::from_size_and_seed(60, 7);
    let property = ends_once_with_correct_run_state as fn(Vec<(u8, u8, u8)>) -> TestResult;
    QuickCheck::new().tests(400).rng(seeded).quickcheck(property);
}
