//! Settings of a client account's limits.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::in_range;
use crate::effective::RangeError;

/// What a client account may use, over the whole fleet. Applies at admission; a request costs its
/// prompt tokens plus the tokens it may generate.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct LimitsConfig {
    /// Tokens a second; 0 sets no limit.
    pub tokens_per_s: u64,
    /// How many seconds' worth of tokens may be used at once.
    pub burst_s: u64,
    /// Tokens of all running and queued requests together; 0 sets no limit.
    pub concurrent_tokens: u64,
    /// The account's share when the fleet is short, against other accounts' weights.
    pub weight: u32,
}

impl Default for LimitsConfig {
    fn default() -> Self {
        Self { tokens_per_s: 0, burst_s: 10, concurrent_tokens: 0, weight: 100 }
    }
}

impl LimitsConfig {
    pub(crate) fn check(&self) -> Result<(), RangeError> {
        in_range("limits.tokens_per_s", self.tokens_per_s, 0, 1_000_000_000)?;
        in_range("limits.burst_s", self.burst_s, 1, 3_600)?;
        in_range("limits.concurrent_tokens", self.concurrent_tokens, 0, 10_000_000_000)?;
        in_range("limits.weight", self.weight.into(), 1, 10_000)
    }
}
