//! Which word a caller hears after an attempt, and whether another attempt may follow.
//!
//! | end of the attempt | was it run | repeatable request | request that must not be repeated |
//! |---|---|---|---|
//! | complete | yes | answered | answered |
//! | not sent | not run | again | again |
//! | refused by the endpoint | not run | again | again |
//! | broken, stalled, crossed | may have run | again, from the tokens delivered | ends: may have run |
//! | endpoint error | failed | again | ends: failed |

use ringbend_types::RunState;

use crate::event::AttemptEnd;

/// What may follow an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterAttempt {
    /// The request is answered.
    Answered,
    /// Another attempt is allowed.
    Retry,
    /// The request ends.
    End,
}

/// Whether an attempt that ended this way ran; `None` for a complete one.
pub fn run_state(end: AttemptEnd) -> Option<RunState> {
    match end {
        AttemptEnd::Complete => None,
        AttemptEnd::NotSent | AttemptEnd::Refused { .. } => Some(RunState::NotRun),
        AttemptEnd::Broken => Some(RunState::MayHaveRun),
        AttemptEnd::EndpointError => Some(RunState::Failed),
    }
}

/// What may follow an attempt that ended this way.
pub fn after_attempt(end: AttemptEnd, repeatable: bool) -> AfterAttempt {
    match run_state(end) {
        None => AfterAttempt::Answered,
        Some(RunState::NotRun) => AfterAttempt::Retry,
        Some(RunState::MayHaveRun | RunState::Failed) if repeatable => AfterAttempt::Retry,
        Some(RunState::MayHaveRun | RunState::Failed) => AfterAttempt::End,
    }
}
