//! Settings of a request class.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::in_range;
use crate::effective::RangeError;

/// How urgent requests are. Applies in the instance's queue and at the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct ClassConfig {
    /// 0 goes first, 7 last.
    pub priority: u8,
    /// Waiting this long, in milliseconds, raises a queued request by one priority; 0 never does.
    pub ageing_ms: u64,
}

impl Default for ClassConfig {
    fn default() -> Self {
        Self { priority: 4, ageing_ms: 15_000 }
    }
}

impl ClassConfig {
    pub(crate) fn check(&self) -> Result<(), RangeError> {
        in_range("class.priority", self.priority.into(), 0, 7)?;
        in_range("class.ageing_ms", self.ageing_ms, 0, 3_600_000)
    }
}
