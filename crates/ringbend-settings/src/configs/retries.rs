//! Settings of retries.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::in_range;
use crate::effective::RangeError;

/// How often and how fast a request is tried again. Applies only to attempts known not to have
/// run, and to repeatable requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct RetriesConfig {
    /// Attempts of one request in all, the first included.
    pub attempts: u32,
    /// Upper end of the first delay, in milliseconds; doubles with each attempt.
    pub backoff_base_ms: u64,
    /// Upper end of any delay, in milliseconds.
    pub backoff_cap_ms: u64,
    /// Retries allowed for each hundred first attempts, over the last seconds.
    pub ratio_percent: u32,
}

impl Default for RetriesConfig {
    fn default() -> Self {
        Self { attempts: 4, backoff_base_ms: 50, backoff_cap_ms: 2_000, ratio_percent: 20 }
    }
}

impl RetriesConfig {
    pub(crate) fn check(&self) -> Result<(), RangeError> {
        in_range("retries.attempts", self.attempts.into(), 1, 20)?;
        in_range("retries.backoff_cap_ms", self.backoff_cap_ms, 1, 60_000)?;
        in_range("retries.backoff_base_ms", self.backoff_base_ms, 1, self.backoff_cap_ms)?;
        in_range("retries.ratio_percent", self.ratio_percent.into(), 0, 100)
    }
}
