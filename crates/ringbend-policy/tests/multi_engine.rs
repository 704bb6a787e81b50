//! Prompts that need the memory of several engines: no deadlock, no starvation, no leaked memory.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use ringbend_policy::{Action, AttemptEnd, Event, FailureCode};
use ringbend_types::{AttemptId, EndpointId, Timestamp, TokenCount};
use support::{Harness, dispatches, ends, request, seconds};

/// The memory of a few engines, reserved by several instances at once.
#[derive(Default)]
struct Memory {
    held: BTreeMap<(EndpointId, AttemptId), TokenCount>,
}

impl Memory {
    fn reserve(&mut self, endpoint: &EndpointId, attempt: AttemptId, tokens: TokenCount) -> bool {
        let used: u64 =
            self.held.iter().filter(|((e, _), _)| e == endpoint).map(|(_, t)| t.0).sum();
        let fits = used + tokens.0 <= 400_000;
        if fits {
            self.held.insert((endpoint.clone(), attempt), tokens);
        }
        fits
    }
}

fn million_token_request(id: u64) -> ringbend_policy::RequestProfile {
    let mut profile = request(id);
    profile.prompt_tokens = TokenCount(1_000_000);
    profile.deadline = seconds(3_600);
    profile
}

/// Executes reservations and releases, and returns the dispatches.
fn execute(
    harness: &mut Harness,
    memory: &mut Memory,
    mut actions: Vec<Action>,
) -> Vec<ringbend_policy::Dispatch> {
    let mut sent = Vec::new();
    while let Some(action) = actions.pop() {
        match action {
            Action::Reserve { attempt, memory: want } => {
                let held = memory.reserve(&want.endpoint, attempt, want.tokens);
                let endpoint = want.endpoint;
                actions.extend(harness.handle(Event::Reserved { attempt, endpoint, held }));
            }
            Action::Release { attempt, endpoint } => {
                memory.held.remove(&(endpoint, attempt));
            }
            Action::Dispatch(dispatch) => sent.push(dispatch),
            _ => {}
        }
    }
    sent
}

#[test]
fn enough_memory_is_held_before_a_multi_engine_dispatch() {
    let (mut harness, mut memory) = (Harness::new(4), Memory::default());
    let actions = harness.submit(million_token_request(1));
    let sent = execute(&mut harness, &mut memory, actions);
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].held.len(), 2);
    let held: u64 = sent[0].held.iter().map(|h| h.tokens.0).sum();
    assert!(1_000_010 - held <= 400_000);
    assert!(sent[0].held.iter().all(|h| h.endpoint != sent[0].endpoint));
}

#[test]
fn held_memory_is_released_when_the_attempt_ends() {
    for end in [AttemptEnd::Complete, AttemptEnd::Broken] {
        let (mut harness, mut memory) = (Harness::new(4), Memory::default());
        let actions = harness.submit(million_token_request(1));
        let sent = execute(&mut harness, &mut memory, actions);
        let actions = harness.handle(Event::Ended { attempt: sent[0].attempt, end });
        execute(&mut harness, &mut memory, actions);
        assert!(memory.held.is_empty(), "{:?}", memory.held);
    }
}

#[test]
fn a_partial_reservation_is_released_when_the_caller_disconnects() {
    let (mut harness, mut memory) = (Harness::new(4), Memory::default());
    let actions = harness.submit(million_token_request(1));
    let [Action::Admitted(_), Action::Reserve { attempt, memory: want }] = &actions[..] else {
        panic!("{actions:?}");
    };
    memory.reserve(&want.endpoint, *attempt, want.tokens);
    let (attempt, endpoint) = (*attempt, want.endpoint.clone());
    harness.handle(Event::Reserved { attempt, endpoint, held: true });
    let actions = harness.handle(Event::Withdrawn(million_token_request(1).id));
    execute(&mut harness, &mut memory, actions);
    assert!(memory.held.is_empty());
}

#[test]
fn a_reservation_that_completes_after_the_request_ended_is_released() {
    let (mut harness, mut memory) = (Harness::new(4), Memory::default());
    let actions = harness.submit(million_token_request(1));
    harness.handle(Event::Withdrawn(million_token_request(1).id));
    // The reply to the first reservation arrives only now.
    let reserve: Vec<Action> =
        actions.into_iter().filter(|a| matches!(a, Action::Reserve { .. })).collect();
    assert_eq!(reserve.len(), 1);
    execute(&mut harness, &mut memory, reserve);
    assert!(memory.held.is_empty());
}

#[test]
fn a_lapsed_presence_lease_ends_attempts_with_held_memory() {
    let (mut harness, mut memory) = (Harness::new(4), Memory::default());
    let actions = harness.submit(million_token_request(1));
    let sent = execute(&mut harness, &mut memory, actions);
    let actions = harness.handle(Event::PresenceLapsed);
    assert_eq!(support::cancels(&actions), [sent[0].attempt]);
    execute(&mut harness, &mut memory, actions);
    assert!(memory.held.is_empty());
}

#[test]
fn a_prompt_larger_than_all_engines_is_rejected() {
    let mut harness = Harness::new(2);
    let actions = harness.submit(million_token_request(1));
    let code = FailureCode::TooLarge;
    assert!(matches!(&actions[..], [Action::Rejected { code: c, .. }] if *c == code));
}

/// Three instances submit two such prompts each to four engines that can hold one at a time. All of
/// them complete in virtual time, and no engine ever holds more than its capacity.
#[test]
fn concurrent_multi_engine_prompts_do_not_deadlock() {
    let mut memory = Memory::default();
    let mut harnesses: Vec<Harness> = (0..3).map(|_| Harness::new(4)).collect();
    let mut running: Vec<(usize, AttemptId, Timestamp)> = Vec::new();
    for (n, harness) in harnesses.iter_mut().enumerate() {
        // Attempt ids must differ between instances.
        for id in 0..2 {
            let mut actions = harness.submit(million_token_request(n as u64 * 10 + id));
            for action in &mut actions {
                if let Action::Reserve { attempt, .. } = action {
                    attempt.incarnation = 1;
                }
            }
            for sent in execute(harness, &mut memory, actions) {
                running.push((n, sent.attempt, harness.now));
            }
        }
    }
    for _ in 0..4_000 {
        for (n, harness) in harnesses.iter_mut().enumerate() {
            (0..4).for_each(|engine| harness.report_idle(engine));
            let actions = harness.advance(Duration::from_millis(100));
            for sent in execute(harness, &mut memory, actions) {
                running.push((n, sent.attempt, harness.now));
            }
        }
        let (finished, rest): (Vec<_>, Vec<_>) = running
            .into_iter()
            .partition(|(n, _, since)| harnesses[*n].now.since(*since) > Duration::from_secs(10));
        running = rest;
        for (n, attempt, _) in finished {
            let end = AttemptEnd::Complete;
            let actions = harnesses[n].handle(Event::Ended { attempt, end });
            for sent in execute(&mut harnesses[n], &mut memory, actions) {
                running.push((n, sent.attempt, harnesses[n].now));
            }
        }
    }
    for harness in &harnesses {
        assert_eq!(
            ends(&harness.actions).len(),
            2,
            "{} dispatched",
            dispatches(&harness.actions).len()
        );
    }
    assert!(memory.held.is_empty());
}
