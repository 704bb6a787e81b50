//! What a caller is told after an attempt, and whether the request may be retried.
//!
//! | end of the attempt | executed? | repeatable request | non-repeatable request |
//! |---|---|---|---|
//! | complete | yes | answered | answered |
//! | not sent | not run | retry | retry |
//! | refused by the endpoint | not run | retry | retry |
//! | broken, stalled, mismatched | may have run | resume after delivered tokens | ends: may have run |
//! | endpoint error | failed | retry | ends: failed |

use ringbend_types::RunState;

use crate::event::AttemptEnd;

/// What happens to a request after an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AfterAttempt {
    /// The request has been answered.
    Answered,
    /// The request may be retried.
    Retry,
    /// The request has failed.
    End,
}

/// Returns whether an attempt with this end was executed; `None` if it completed.
pub fn run_state(end: AttemptEnd) -> Option<RunState> {
    match end {
        AttemptEnd::Complete => None,
        AttemptEnd::NotSent | AttemptEnd::Refused { .. } => Some(RunState::NotRun),
        AttemptEnd::Broken => Some(RunState::MayHaveRun),
        AttemptEnd::EndpointError => Some(RunState::Failed),
    }
}

/// Decides what follows an attempt with this end.
pub fn after_attempt(end: AttemptEnd, repeatable: bool) -> AfterAttempt {
    match run_state(end) {
        None => AfterAttempt::Answered,
        Some(RunState::NotRun) => AfterAttempt::Retry,
        Some(RunState::MayHaveRun | RunState::Failed) if repeatable => AfterAttempt::Retry,
        Some(RunState::MayHaveRun | RunState::Failed) => AfterAttempt::End,
    }
}
