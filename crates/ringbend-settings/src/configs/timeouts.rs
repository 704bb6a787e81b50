//! Settings of timeouts.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::in_range;
use crate::effective::RangeError;

/// How long each phase of a request may take. Every wait ends before the request's deadline.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct TimeoutsConfig {
    /// From arrival to the end of the answer, in milliseconds, when the caller names no deadline.
    pub deadline_ms: u64,
    /// The latest deadline a caller may name, in milliseconds.
    pub max_deadline_ms: u64,
    /// To open a connection to an endpoint, in milliseconds.
    pub connect_ms: u64,
    /// From dispatch to the first token beyond the predicted time, in milliseconds.
    pub first_token_ms: u64,
    /// Between tokens, in milliseconds.
    pub idle_ms: u64,
}

impl Default for TimeoutsConfig {
    fn default() -> Self {
        Self {
            deadline_ms: 120_000,
            max_deadline_ms: 3_600_000,
            connect_ms: 1_000,
            first_token_ms: 10_000,
            idle_ms: 10_000,
        }
    }
}

impl TimeoutsConfig {
    pub(crate) fn check(&self) -> Result<(), RangeError> {
        in_range("timeouts.max_deadline_ms", self.max_deadline_ms, 1, 86_400_000)?;
        in_range("timeouts.deadline_ms", self.deadline_ms, 1, self.max_deadline_ms)?;
        in_range("timeouts.connect_ms", self.connect_ms, 1, 60_000)?;
        in_range("timeouts.first_token_ms", self.first_token_ms, 1, 3_600_000)?;
        in_range("timeouts.idle_ms", self.idle_ms, 1, 3_600_000)
    }
}
