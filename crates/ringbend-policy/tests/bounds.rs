//! Every admitted request ends within its bound, whatever its endpoint does, and what its caller
//! is told is true.

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
    Script, cancels, dispatch, dispatches, endpoint, ends, request, seconds, with_settings,
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
fn a_frozen_engine_is_left_for_another() {
    let mut script = Script::new(2);
    let first = dispatch(&script.arrive(request(1)));
    let second = dispatch(&script.pass(Duration::from_secs(15)));
    assert_ne!(first.endpoint, second.endpoint);
    assert_eq!(cancels(&script.actions), [first.attempt]);
}

#[test]
fn an_engine_that_stops_reporting_is_left_before_its_bound() {
    let mut script = Script::new(2);
    for _ in 0..5 {
        script.pass(Duration::from_millis(500));
        (0..2).for_each(|n| script.idle_report(n));
    }
    let first = dispatch(&script.arrive(request(1)));
    let other = usize::from(first.endpoint == endpoint(0));
    let mut moved = None;
    for n in 1..=10 {
        let sent = dispatches(&script.pass(Duration::from_millis(500)));
        moved = moved.or(sent.first().map(|d| (n, d.endpoint.clone())));
        script.idle_report(other);
    }
    let (halves, to) = moved.unwrap();
    assert_eq!(to, endpoint(other));
    assert!(halves <= 8, "moved after {halves} half seconds");
}

#[test]
fn a_pause_of_its_own_takes_no_request_off_its_engine() {
    let mut script = Script::new(2);
    for _ in 0..5 {
        script.pass(Duration::from_millis(500));
        (0..2).for_each(|n| script.idle_report(n));
    }
    script.arrive(request(1));
    // Nothing runs here for five seconds, then everything that was due at once.
    script.now = script.now + Duration::from_secs(5);
    let actions = script.give(Event::Tick);
    assert!(cancels(&actions).is_empty(), "{actions:?}");
}

#[test]
fn with_every_engine_frozen_the_request_fails_at_its_deadline_at_the_latest() {
    let mut script = Script::new(2);
    script.arrive(request(1));
    script.pass(Duration::from_secs(60));
    let ends = ends(&script.actions);
    assert_eq!(ends.len(), 1);
    assert_eq!(failed(&ends[0].1).1, RunState::MayHaveRun);
}

#[test]
fn the_naive_router_waits_on_a_frozen_engine_to_the_deadline() {
    let naive = NaivePolicy::new(Incarnation(1), ChoiceKind::RoundRobin, Seed(7));
    let mut script = Script::with(Box::new(naive), 2);
    script.arrive(request(1));
    script.pass(Duration::from_secs(59));
    assert_eq!(dispatches(&script.actions).len(), 1);
    assert!(ends(&script.actions).is_empty());
}

#[test]
fn a_trickle_does_not_keep_a_request_beyond_its_deadline() {
    let mut script = Script::new(1);
    let first = dispatch(&script.arrive(request(1)));
    for tokens in 1..200 {
        script.pass(Duration::from_secs(1));
        script.give(Event::Progress { attempt: first.attempt, tokens });
    }
    let ends = ends(&script.actions);
    assert_eq!(failed(&ends[0].1).0, FailureCode::DeadlineExceeded);
    assert_eq!(cancels(&script.actions), [first.attempt]);
}

#[test]
fn an_engine_that_serves_others_first_is_waited_for() {
    let mut script = Script::new(2);
    let first = dispatch(&script.arrive(request(1)));
    for _ in 0..50 {
        let report = LoadReport {
            running: 9,
            waiting: 9,
            prefill_backlog: TokenCount(90_000),
            kv_used: TokenCount(100_000),
            kv_capacity: TokenCount(400_000),
            state: EndpointState::Live,
        };
        let at = script.now;
        script.give(Event::Load { endpoint: first.endpoint.clone(), report, at });
        script.pass(Duration::from_secs(1));
    }
    assert!(cancels(&script.actions).is_empty(), "{:?}", script.actions);
}

#[test]
fn a_long_prompt_that_is_not_run_waits_and_is_not_dropped() {
    let mut script = Script::new(2);
    let mut long = request(1);
    long.prompt_tokens = TokenCount(200_000);
    long.deadline = seconds(600);
    let mut next = dispatches(&script.arrive(long));
    for _ in 0..40 {
        if let Some(dispatch) = next.pop() {
            let attempt = dispatch.attempt;
            script.give(Event::Ended { attempt, end: AttemptEnd::NotSent });
        }
        next.extend(dispatches(&script.pass(Duration::from_secs(5))));
    }
    assert!(ends(&script.actions).is_empty(), "{:?}", ends(&script.actions));
    assert!(dispatches(&script.actions).len() > 10);
}

#[test]
fn an_engine_that_dies_in_mid_answer_is_continued_from_the_tokens_delivered() {
    let mut script = Script::new(2);
    let first = dispatch(&script.arrive(request(1)));
    script.give(Event::Progress { attempt: first.attempt, tokens: 6 });
    script.give(Event::Ended { attempt: first.attempt, end: AttemptEnd::Broken });
    let second = dispatch(&script.pass(Duration::from_secs(1)));
    assert_eq!((second.resume_from, second.number), (6, 2));
    assert_ne!(second.endpoint, first.endpoint);
}

#[test]
fn a_request_not_to_be_repeated_is_not_sent_again_once_it_may_have_run() {
    let mut script = Script::new(2);
    let mut once = request(1);
    once.repeatable = false;
    let first = dispatch(&script.arrive(once));
    let actions = script.give(Event::Ended { attempt: first.attempt, end: AttemptEnd::Broken });
    let (code, run_state, _) = failed(&ends(&actions)[0].1);
    assert_eq!((code, run_state), (FailureCode::EndpointFailed, RunState::MayHaveRun));
    assert!(dispatches(&script.pass(Duration::from_secs(60))).is_empty());
}

#[test]
fn the_naive_router_sends_it_again() {
    let naive = NaivePolicy::new(Incarnation(1), ChoiceKind::RoundRobin, Seed(7));
    let mut script = Script::with(Box::new(naive), 2);
    let mut once = request(1);
    once.repeatable = false;
    let first = dispatch(&script.arrive(once));
    let actions = script.give(Event::Ended { attempt: first.attempt, end: AttemptEnd::Broken });
    assert_eq!(dispatches(&actions).len(), 1);
}

#[test]
fn a_request_not_to_be_repeated_is_sent_again_when_it_was_not_run() {
    for end in [AttemptEnd::NotSent, AttemptEnd::Refused { retry_after: None }] {
        let mut script = Script::new(2);
        let mut once = request(1);
        once.repeatable = false;
        let first = dispatch(&script.arrive(once));
        script.give(Event::Ended { attempt: first.attempt, end });
        assert_eq!(dispatches(&script.pass(Duration::from_secs(1))).len(), 1);
    }
}

#[test]
fn refused_by_every_attempt_is_told_not_run_with_a_time_to_come_back() {
    let mut script = Script::new(1);
    let mut next = dispatches(&script.arrive(request(1)));
    while let Some(dispatch) = next.pop() {
        let end = AttemptEnd::Refused { retry_after: Some(Duration::from_secs(1)) };
        script.give(Event::Ended { attempt: dispatch.attempt, end });
        next = dispatches(&script.pass(Duration::from_secs(5)));
    }
    let (code, run_state, come_back) = failed(&ends(&script.actions)[0].1);
    assert_eq!((code, run_state), (FailureCode::EndpointFailed, RunState::NotRun));
    assert!(come_back);
}

#[test]
fn what_is_given_up_is_answered_at_once() {
    let mut script = Script::new(1);
    let profile = with_settings(1, |s| s.retries.attempts = 1);
    let first = dispatch(&script.arrive(profile));
    let actions = script.give(Event::Ended { attempt: first.attempt, end: AttemptEnd::Broken });
    assert_eq!(ends(&actions).len(), 1, "the end is not held back");
}

#[test]
fn a_full_queue_refuses_at_once_with_a_time_to_come_back() {
    let mut script = Script::new(1);
    let mut rejected = Vec::new();
    for id in 0..400 {
        let mut profile = with_settings(id, |s| s.admission.max_queued = 50);
        profile.deadline = seconds(3_600);
        for action in script.arrive(profile) {
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
    assert!(waits.len() > rejected.len() / 2, "callers are told to come back together");
}

#[test]
fn a_deadline_that_cannot_be_met_is_refused_at_admission() {
    let mut script = Script::new(1);
    let mut profile = request(1);
    profile.deadline = script.now + Duration::from_millis(10);
    let actions = script.arrive(profile);
    let code = FailureCode::DeadlineTooNear;
    assert!(matches!(&actions[..], [Action::Rejected { code: c, .. }] if *c == code));
}

#[test]
fn a_leaving_endpoint_gets_nothing_more_though_the_list_has_it_live() {
    let mut script = Script::new(2);
    script.give(Event::EndpointLeaving(endpoint(0)));
    script.give(Event::Endpoints((0..2).map(support::entry).collect()));
    for id in 0..20 {
        for dispatch in dispatches(&script.arrive(request(id))) {
            assert_eq!(dispatch.endpoint, endpoint(1));
        }
    }
}

#[test]
fn a_changed_setting_of_the_choice_is_in_force_at_once() {
    let mut script = Script::new(2);
    let with_bound = |id, bound| {
        let mut profile = with_settings(id, |s| {
            s.routing.choice = ChoiceKind::PrefixAffinity;
            s.routing.affinity_bound_percent = bound;
        });
        profile.prefix = 5;
        profile
    };
    let home = dispatch(&script.arrive(with_bound(1, 1_000))).endpoint;
    for id in 2..4 {
        assert_eq!(dispatch(&script.arrive(with_bound(id, 1_000))).endpoint, home);
    }
    // Three at home are over the mean of two, so the lower bound sends the next one elsewhere.
    assert_ne!(dispatch(&script.arrive(with_bound(4, 100))).endpoint, home);
}

#[test]
fn a_withdrawn_request_is_cancelled_at_its_endpoint() {
    let mut script = Script::new(1);
    let first = dispatch(&script.arrive(request(1)));
    let actions = script.give(Event::Withdrawn(request(1).id));
    assert_eq!(cancels(&actions), [first.attempt]);
    assert!(ends(&script.pass(Duration::from_secs(100))).is_empty());
}

#[test]
fn the_table_of_ends_says_what_may_follow() {
    let refused = AttemptEnd::Refused { retry_after: None };
    let table = [
        (AttemptEnd::Complete, None, AfterAttempt::Answered, AfterAttempt::Answered),
        (AttemptEnd::NotSent, Some(RunState::NotRun), AfterAttempt::Retry, AfterAttempt::Retry),
        (refused, Some(RunState::NotRun), AfterAttempt::Retry, AfterAttempt::Retry),
        (AttemptEnd::Broken, Some(RunState::MayHaveRun), AfterAttempt::Retry, AfterAttempt::End),
        (AttemptEnd::EndpointError, Some(RunState::Failed), AfterAttempt::Retry, AfterAttempt::End),
    ];
    for (end, word, repeatable, once) in table {
        assert_eq!(run_state(end), word, "{end:?}");
        assert_eq!(after_attempt(end, true), repeatable, "{end:?}");
        assert_eq!(after_attempt(end, false), once, "{end:?}");
    }
}

/// Random events for a few requests: each admitted one ends exactly once by its deadline, is
/// never dispatched after its end, is told "not run" only when no attempt reached an endpoint, and
/// runs at most once where it must not be repeated.
fn ends_once_and_truly(events: Vec<(u8, u8, u8)>) -> TestResult {
    let mut script = Script::new(3);
    let requests = 6;
    for id in 0..requests {
        let mut profile = request(id);
        profile.repeatable = id % 2 == 0;
        script.arrive(profile);
    }
    let mut reached = vec![0_u32; requests as usize];
    let mut settled = 0;
    for (which, kind, wait) in events {
        script.pass(Duration::from_millis(u64::from(wait) * 20));
        let open: Vec<_> = dispatches(&script.actions)
            .into_iter()
            .filter(|d| !ends(&script.actions).iter().any(|(id, _)| *id == d.request))
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
                script.give(Event::Progress { attempt, tokens: u64::from(wait) + 1 });
                continue;
            }
        };
        let last = open.iter().rfind(|d| d.request == dispatch.request);
        if run_state(end) != Some(RunState::NotRun) && last == Some(dispatch) {
            reached[dispatch.request.sequence as usize] += 1;
        }
        script.give(Event::Ended { attempt, end });
        settled += 1;
    }
    script.pass(Duration::from_secs(120));
    let all = ends(&script.actions);
    for id in 0..requests {
        let of: Vec<_> = all.iter().filter(|(r, _)| r.sequence == id).collect();
        if of.len() != 1 {
            return TestResult::error(format!("request {id} ended {} times", of.len()));
        }
        let not_run = matches!(of[0].1, RequestEnd::Failed { run_state: RunState::NotRun, .. });
        if not_run && reached[id as usize] > 0 {
            return TestResult::error(format!("request {id} was told not run after {settled}"));
        }
        if id % 2 == 1 && reached[id as usize] > 1 {
            return TestResult::error(format!("request {id} ran {} times", reached[id as usize]));
        }
    }
    TestResult::passed()
}

#[test]
fn every_request_ends_once_and_is_told_the_truth() {
    let seeded = Gen::from_size_and_seed(60, 7);
    let holds = ends_once_and_truly as fn(Vec<(u8, u8, u8)>) -> TestResult;
    QuickCheck::new().tests(400).rng(seeded).quickcheck(holds);
}
