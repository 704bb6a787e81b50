//! Prompts that need the memory of several engines: no deadlock, no starvation, nothing kept.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use ringbend_policy::{Action, AttemptEnd, Event, FailureCode};
use ringbend_types::{AttemptId, EndpointId, Timestamp, TokenCount};
use support::{Script, dispatches, ends, request, seconds};

/// Memory of a few engines, asked by several instances at once.
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

fn million(id: u64) -> ringbend_policy::RequestProfile {
    let mut profile = request(id);
    profile.prompt_tokens = TokenCount(1_000_000);
    profile.deadline = seconds(3_600);
    profile
}

/// Carries out reservations and releases; returns the dispatches.
fn carry_out(
    script: &mut Script,
    memory: &mut Memory,
    mut actions: Vec<Action>,
) -> Vec<ringbend_policy::Dispatch> {
    let mut sent = Vec::new();
    while let Some(action) = actions.pop() {
        match action {
            Action::Reserve { attempt, memory: want } => {
                let held = memory.reserve(&want.endpoint, attempt, want.tokens);
                let endpoint = want.endpoint;
                actions.extend(script.give(Event::Reserved { attempt, endpoint, held }));
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
fn memory_is_held_on_enough_engines_before_the_dispatch() {
    let (mut script, mut memory) = (Script::new(4), Memory::default());
    let actions = script.arrive(million(1));
    let sent = carry_out(&mut script, &mut memory, actions);
    assert_eq!(sent.len(), 1);
    assert_eq!(sent[0].held.len(), 2);
    let lent: u64 = sent[0].held.iter().map(|h| h.tokens.0).sum();
    assert!(1_000_010 - lent <= 400_000);
    assert!(sent[0].held.iter().all(|h| h.endpoint != sent[0].endpoint));
}

#[test]
fn held_memory_is_given_back_at_the_end() {
    for end in [AttemptEnd::Complete, AttemptEnd::Broken] {
        let (mut script, mut memory) = (Script::new(4), Memory::default());
        let actions = script.arrive(million(1));
        let sent = carry_out(&mut script, &mut memory, actions);
        let actions = script.give(Event::Ended { attempt: sent[0].attempt, end });
        carry_out(&mut script, &mut memory, actions);
        assert!(memory.held.is_empty(), "{:?}", memory.held);
    }
}

#[test]
fn half_a_reservation_is_given_back_when_the_caller_goes() {
    let (mut script, mut memory) = (Script::new(4), Memory::default());
    let actions = script.arrive(million(1));
    let [Action::Admitted(_), Action::Reserve { attempt, memory: want }] = &actions[..] else {
        panic!("{actions:?}");
    };
    memory.reserve(&want.endpoint, *attempt, want.tokens);
    let (attempt, endpoint) = (*attempt, want.endpoint.clone());
    script.give(Event::Reserved { attempt, endpoint, held: true });
    let actions = script.give(Event::Withdrawn(million(1).id));
    carry_out(&mut script, &mut memory, actions);
    assert!(memory.held.is_empty());
}

#[test]
fn a_reservation_that_arrives_after_the_end_is_given_back() {
    let (mut script, mut memory) = (Script::new(4), Memory::default());
    let actions = script.arrive(million(1));
    script.give(Event::Withdrawn(million(1).id));
    // The answer to the first reservation comes only now.
    let reserve: Vec<Action> =
        actions.into_iter().filter(|a| matches!(a, Action::Reserve { .. })).collect();
    assert_eq!(reserve.len(), 1);
    carry_out(&mut script, &mut memory, reserve);
    assert!(memory.held.is_empty());
}

#[test]
fn a_lapsed_presence_ends_what_rests_on_held_memory() {
    let (mut script, mut memory) = (Script::new(4), Memory::default());
    let actions = script.arrive(million(1));
    let sent = carry_out(&mut script, &mut memory, actions);
    let actions = script.give(Event::PresenceLapsed);
    assert_eq!(support::cancels(&actions), [sent[0].attempt]);
    carry_out(&mut script, &mut memory, actions);
    assert!(memory.held.is_empty());
}

#[test]
fn a_prompt_that_no_engines_can_hold_is_refused() {
    let mut script = Script::new(2);
    let actions = script.arrive(million(1));
    let code = FailureCode::TooLarge;
    assert!(matches!(&actions[..], [Action::Rejected { code: c, .. }] if *c == code));
}

/// Three instances, each with two such prompts, before four engines that hold one at a time: all
/// of them run, in virtual time, and no engine ever holds more than it has.
#[test]
fn several_instances_never_wait_for_each_other_for_ever() {
    let mut memory = Memory::default();
    let mut scripts: Vec<Script> = (0..3).map(|_| Script::new(4)).collect();
    let mut running: Vec<(usize, AttemptId, Timestamp)> = Vec::new();
    for (n, script) in scripts.iter_mut().enumerate() {
        // Attempt ids must differ between instances.
        for id in 0..2 {
            let mut actions = script.arrive(million(n as u64 * 10 + id));
            for action in &mut actions {
                if let Action::Reserve { attempt, .. } = action {
                    attempt.incarnation = 1;
                }
            }
            for sent in carry_out(script, &mut memory, actions) {
                running.push((n, sent.attempt, script.now));
            }
        }
    }
    for _ in 0..4_000 {
        for (n, script) in scripts.iter_mut().enumerate() {
            (0..4).for_each(|engine| script.idle_report(engine));
            let actions = script.pass(Duration::from_millis(100));
            for sent in carry_out(script, &mut memory, actions) {
                running.push((n, sent.attempt, script.now));
            }
        }
        let (over, rest): (Vec<_>, Vec<_>) = running
            .into_iter()
            .partition(|(n, _, since)| scripts[*n].now.since(*since) > Duration::from_secs(10));
        running = rest;
        for (n, attempt, _) in over {
            let end = AttemptEnd::Complete;
            let actions = scripts[n].give(Event::Ended { attempt, end });
            for sent in carry_out(&mut scripts[n], &mut memory, actions) {
                running.push((n, sent.attempt, scripts[n].now));
            }
        }
    }
    for script in &scripts {
        assert_eq!(
            ends(&script.actions).len(),
            2,
            "{} dispatched",
            dispatches(&script.actions).len()
        );
    }
    assert!(memory.held.is_empty());
}
