//! Settings of admission.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::in_range;
use crate::effective::RangeError;

/// Which requests an instance takes in. Applies when a request arrives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct AdmissionConfig {
    /// Most requests of one class that wait at one instance; more are refused.
    pub max_queued: u32,
    /// Longest prompt, in tokens.
    pub max_prompt_tokens: u64,
    /// Most tokens one request may generate.
    pub max_output_tokens: u64,
}

impl Default for AdmissionConfig {
    fn default() -> Self {
        Self { max_queued: 1_000, max_prompt_tokens: 1_200_000, max_output_tokens: 16_384 }
    }
}

impl AdmissionConfig {
    pub(crate) fn check(&self) -> Result<(), RangeError> {
        in_range("admission.max_queued", self.max_queued.into(), 1, 100_000)?;
        in_range("admission.max_prompt_tokens", self.max_prompt_tokens, 1, 4_000_000)?;
        in_range("admission.max_output_tokens", self.max_output_tokens, 1, 1_000_000)
    }
}
