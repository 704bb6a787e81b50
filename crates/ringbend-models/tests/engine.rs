//! Tests of the engine model: batching, memory, priorities and orders.

use std::time::Duration;

use ringbend_models::{EngineModel, EngineSpec, SequenceRequest, SubmitError};
use ringbend_platform::{Order, OrderKind, OrderRefusal, Reservation};
use ringbend_types::{AttemptId, FencingToken, Timestamp, TokenCount, TokensPerSecond};

fn engine() -> EngineModel {
    EngineModel::new(EngineSpec {
        prefill_rate: TokensPerSecond(10_000),
        decode_step: Duration::from_millis(10),
        step_tokens: 1_000,
        kv_capacity: TokenCount(10_000),
        ..EngineSpec::default()
    })
}

fn attempt(sequence: u64) -> AttemptId {
    AttemptId { incarnation: 1, sequence }
}

fn submit(sequence: u64, prompt: u64, priority: u8) -> SequenceRequest {
    SequenceRequest {
        attempt: attempt(sequence),
        prompt_tokens: TokenCount(prompt),
        max_tokens: 10,
        resume_from: 0,
        priority,
        blocks: Vec::new(),
        reserved_elsewhere: TokenCount(0),
    }
}

/// Runs the engine until it is idle and returns the time of each attempt's first token.
fn first_tokens(engine: &mut EngineModel) -> Vec<(u64, Timestamp)> {
    let mut first_tokens_at = Vec::new();
    while let Some(due) = engine.step_ends_at() {
        for output in engine.advance(due) {
            if output.index == 0 {
                first_tokens_at.push((output.attempt.sequence, output.at));
            }
        }
    }
    first_tokens_at
}

#[test]
fn an_answer_has_every_token_once_and_frees_its_memory() {
    let mut engine = engine();
    engine.submit(Timestamp(0), submit(1, 2_500, 0)).unwrap();
    let mut indexes = Vec::new();
    while let Some(due) = engine.step_ends_at() {
        indexes.extend(engine.advance(due).iter().map(|o| o.index));
    }
    assert_eq!(indexes, (0..10).collect::<Vec<_>>());
    assert_eq!(engine.report().kv_used, TokenCount(0));
}

#[test]
fn a_higher_priority_is_prefilled_first() {
    let mut engine = engine();
    engine.submit(Timestamp(0), submit(1, 8_000, 5)).unwrap();
    engine.submit(Timestamp(1), submit(2, 500, 0)).unwrap();
    let first_tokens_at = first_tokens(&mut engine);
    assert_eq!(first_tokens_at[0].0, 2);
    // The step in progress and the next one, each of 1,000 tokens.
    assert!(first_tokens_at[0].1 <= Timestamp::from_millis(230), "{:?}", first_tokens_at[0].1);
}

#[test]
fn kv_memory_use_never_exceeds_the_capacity() {
    let mut engine = engine();
    let refused = engine.submit(Timestamp(0), submit(1, 10_000, 0));
    assert_eq!(refused, Err(SubmitError::TooLarge));
    engine.submit(Timestamp(0), submit(2, 6_000, 0)).unwrap();
    engine.submit(Timestamp(0), submit(3, 6_000, 0)).unwrap();
    first_tokens(&mut engine);
    assert!(engine.peak_kv() <= TokenCount(10_000));
}

#[test]
fn a_waiting_sequence_starts_when_a_reservation_is_released() {
    let mut engine = engine();
    let reservation = Reservation { attempt: attempt(9), tokens: TokenCount(9_000) };
    engine.reserve(reservation).unwrap();
    engine.submit(Timestamp(0), submit(1, 5_000, 0)).unwrap();
    assert_eq!(engine.step_ends_at(), None);
    engine.release(Timestamp::from_millis(5), attempt(9));
    assert_eq!(first_tokens(&mut engine).len(), 1);
}

#[test]
fn a_waiting_sequence_starts_when_a_running_one_is_cancelled() {
    let mut engine = engine();
    engine.submit(Timestamp(0), submit(1, 8_000, 0)).unwrap();
    engine.submit(Timestamp(0), submit(2, 8_000, 0)).unwrap();
    engine.cancel(Timestamp(1), attempt(1));
    assert_eq!(first_tokens(&mut engine), [(2, Timestamp::from_millis(990))]);
}

#[test]
fn a_cached_prefix_needs_no_prefill() {
    let prompt = vec![b'x'; 4 * 2_560];
    let blocks = ringbend_models::prefix_blocks(&prompt);
    let mut engine = engine();
    let cold = SequenceRequest { blocks: blocks.clone(), ..submit(1, 2_560, 0) };
    engine.submit(Timestamp(0), cold).unwrap();
    let cold = first_tokens(&mut engine)[0].1;
    let warm = SequenceRequest { blocks, ..submit(2, 2_560, 0) };
    engine.submit(Timestamp::from_millis(10_000), warm).unwrap();
    let warm = first_tokens(&mut engine)[0].1.since(Timestamp::from_millis(10_000));
    assert!(warm < cold.since(Timestamp(0)) / 4, "cold {cold}, warm {warm:?}");
}

#[test]
fn an_outdated_fencing_token_is_refused_only_by_engines_that_check_it() {
    let order = |n| Order {
        fencing: FencingToken(n),
        kind: OrderKind::SetRole { role: "prefill".parse().unwrap() },
    };
    let mut checking = engine();
    checking.order(Timestamp(0), order(2)).unwrap();
    let refusal = OrderRefusal { highest: FencingToken(2) };
    assert_eq!(checking.order(Timestamp(0), order(1)), Err(refusal));
    let mut ignoring =
        EngineModel::new(EngineSpec { checks_fencing: false, ..EngineSpec::default() });
    ignoring.order(Timestamp(0), order(2)).unwrap();
    assert_eq!(ignoring.order(Timestamp(0), order(1)), Ok(()));
}
