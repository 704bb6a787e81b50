//! Formatting and parsing of ids and quantities.

use ringbend_types::{
    AttemptId, ClientAccountId, Incarnation, ParseIdError, PromptBucket, RunState, TokenCount,
};

#[test]
fn a_generated_id_round_trips_through_text() {
    let id = AttemptId { incarnation: u64::MAX, sequence: 0x1f };
    assert_eq!(id.to_string(), "ffffffffffffffff-1f");
    assert_eq!(id.to_string().parse(), Ok(id));
    assert_eq!("12".parse::<AttemptId>(), Err(ParseIdError::NotNumeric));
}

#[test]
fn an_invalid_text_id_reports_the_reason() {
    let parse = |text: &str| text.parse::<ClientAccountId>();
    assert_eq!(parse(""), Err(ParseIdError::Empty));
    assert_eq!(parse("a/b"), Err(ParseIdError::InvalidCharacter('/')));
    assert_eq!(parse(&"a".repeat(129)), Err(ParseIdError::TooLong(129)));
    assert_eq!(parse("peach-1.x").unwrap().as_str(), "peach-1.x");
}

#[test]
fn quantities_and_run_states_round_trip_through_text() {
    assert_eq!(TokenCount(7).to_string(), "7 tok");
    assert_eq!("7 tok".parse(), Ok(TokenCount(7)));
    for state in [RunState::NotRun, RunState::MayHaveRun, RunState::Failed] {
        assert_eq!(state.to_string().parse(), Ok(state));
    }
}

#[test]
fn a_refutation_keeps_the_start_time() {
    let start = Incarnation::from_start(1_796_000_000_000, 5);
    assert_eq!(start.next().started_unix_ms(), 1_796_000_000_000);
    assert!(Incarnation::from_start(1_796_000_000_001, 0) > start);
}

#[test]
fn prompt_buckets_are_contiguous() {
    for (tokens, bucket) in [
        (3_000, PromptBucket::Thousand),
        (3_001, PromptBucket::TenThousand),
        (30_001, PromptBucket::HundredThousand),
        (300_001, PromptBucket::Million),
    ] {
        assert_eq!(PromptBucket::of(TokenCount(tokens)), bucket);
    }
}
