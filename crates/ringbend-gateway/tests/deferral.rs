//! Long prompts that would make others late are deferred while they have time.
//!
//! Scenario: long prompts arrive at 2.8 times their usual rate for ten seconds. Engines have slots
//! and time for all of them, but a prompt that is sent at once is read before queued parts and
//! between the steps of current streams. Those are then late, and the next prompts find fewer free
//! engines. Basis of the numbers: a stream of a long prompt takes 1 to 2 s to decode, a part of one
//! 0.4 to 1 s to read, and the target latency of long prompts is 3 s or more, so there is time to
//! wait for either.

mod support;

use ringbend_gateway::{
    Demand, PlacementGoal, QueuedPrompt, Turn, WaitingPrompt, Work, decide_turn, is_long, stake,
};
use ringbend_types::Timestamp;
use support::{Scene, at, endpoint, ms, profile, service, work, work_id};

const PROMPT_TOKENS: u64 = 150_000;
const PROMPT_ID: u64 = 100;

/// When the first event of the waiting prompt is due.
const FIRST_BY_MS: u64 = 4_000;

/// When the caller of the waiting prompt disconnects.
const UNTIL_MS: u64 = 15_000;

/// Engines that each decode the response to a long prompt. The streams allow a gap of a second
/// between events.
fn decoding_for_long_prompts(engines: usize) -> Scene {
    let mut scene = Scene::new(engines);
    for engine in 1..=engines {
        let lead = Work {
            long: true,
            gap: ms(1_000),
            stake: stake(&scene.weights, PROMPT_TOKENS),
            ..work(engine, ms(0))
        };
        scene.load.place(at(0), work_id(engine as u64), lead);
        scene.load.first_event(work_id(engine as u64));
    }
    scene
}

/// The decision for a prompt that arrived at time zero.
fn turn_at(scene: &mut Scene, now: Timestamp) -> Turn {
    let demand = Demand { prompt_tokens: PROMPT_TOKENS, answer_tokens: 1_000 };
    assert!(is_long(&scene.weights, &profile(), demand));
    let read_time = profile().prefill_time(PROMPT_TOKENS, 1);
    let waiting = WaitingPrompt {
        service: service("engines"),
        read_time,
        since: at(0),
        first_by: at(FIRST_BY_MS),
        until: at(UNTIL_MS),
        priority: 1,
        account: None,
    };
    scene.now = now;
    scene.load.advance(now);
    scene.load.add_waiting(work_id(PROMPT_ID), waiting);
    let goal = PlacementGoal { demand, first_in: at(FIRST_BY_MS).since(now), gap: ms(1_000) };
    let queued = QueuedPrompt { id: work_id(PROMPT_ID), passed_over_for: ms(0), goal };
    decide_turn(scene.view(), &profile(), &scene.candidates(), &queued)
}

#[test]
fn a_prompt_that_would_stall_streams_is_deferred_while_it_has_time() {
    let mut scene = decoding_for_long_prompts(2);
    assert_eq!(turn_at(&mut scene, at(10)), Turn::TooCostly);
    // Two engines read it in 0.9 s; a second is kept in reserve.
    assert_eq!(turn_at(&mut scene, at(2_200)), Turn::Now);
}

#[test]
fn a_deferred_prompt_is_sent_once_the_streams_have_ended() {
    let mut scene = decoding_for_long_prompts(2);
    assert_eq!(turn_at(&mut scene, at(10)), Turn::TooCostly);
    (1..=2).for_each(|id| scene.load.end(at(500), work_id(id)));
    assert_eq!(turn_at(&mut scene, at(500)), Turn::Now);
}

#[test]
fn a_prompt_that_makes_no_other_late_is_not_deferred() {
    let mut scene = decoding_for_long_prompts(8);
    // Parts of 0.2 s on eight engines are within the second that the streams allow.
    assert_eq!(turn_at(&mut scene, at(10)), Turn::Now);
}

#[test]
fn a_late_prompt_is_deferred_for_part_of_its_callers_waiting_time() {
    let mut scene = decoding_for_long_prompts(2);
    assert_eq!(turn_at(&mut scene, at(5_000)), Turn::TooCostly);
    assert_eq!(turn_at(&mut scene, at(6_500)), Turn::Now);
}

#[test]
fn a_restarted_engine_has_no_streams() {
    let mut scene = decoding_for_long_prompts(2);
    (1..=2).for_each(|engine| scene.load.remove_endpoint(at(20), &endpoint(engine).id));
    assert_eq!(turn_at(&mut scene, at(20)), Turn::Now);
}
