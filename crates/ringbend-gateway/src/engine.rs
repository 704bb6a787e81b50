//! How a model engine spends its time, as its service's configuration tells.

use std::time::Duration;

use crate::placement::Demand;

/// The speeds and sizes of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineProfile {
    /// Requests that write at once.
    pub slots: u32,
    /// Memory for prompts and answers, in tokens.
    pub memory_tokens: u64,
    /// Token steps in a pass that has writers.
    pub steps_per_pass: u32,
    /// Milliseconds of one token step.
    pub step_ms: f64,
    /// Milliseconds a step takes longer for each request that writes.
    pub per_sequence_ms: f64,
    /// Milliseconds a step takes longer for each 1,000 tokens of a writer's context.
    pub per_context_k_ms: f64,
    /// Prompt tokens read in a second.
    pub prefill_tokens_per_s: f64,
    /// Milliseconds for a million pairs of a prompt token and an earlier one.
    pub pairs_per_m_ms: f64,
    /// Prompt tokens read in one step at most.
    pub chunk_tokens: u64,
    /// Milliseconds that each further engine adds to a step.
    pub hop_ms: f64,
}

/// The most engines that read one prompt: the engines' own limit of sixteen helpers, and the lead.
pub(crate) const MOST_ENGINES: usize = 17;

/// Pairs per million.
const MILLION: f64 = 1e6;

impl EngineProfile {
    /// Milliseconds that one engine takes to read a whole prompt.
    pub fn prefill_ms(&self, prompt_tokens: u64) -> f64 {
        let tokens = prompt_tokens as f64;
        let pairs = tokens * tokens / 2.0;
        tokens / self.prefill_tokens_per_s * 1_000.0 + pairs / MILLION * self.pairs_per_m_ms
    }

    /// Milliseconds of a pass that reads nothing.
    pub fn pass_ms(&self, writers: u32) -> f64 {
        f64::from(self.steps_per_pass) * (self.step_ms + f64::from(writers) * self.per_sequence_ms)
    }

    /// The least time from the moment at which a prompt is sent to the end of an answer that is as long as it may be:
    /// read by as many engines as may read one, and written beside no other.
    pub fn least_time(&self, demand: Demand) -> Duration {
        let written_ms = demand.answer_tokens as f64 * (self.step_ms + self.per_sequence_ms);
        self.prefill_time(demand.prompt_tokens, MOST_ENGINES)
            + Duration::from_secs_f64(written_ms / 1_000.0)
    }

    /// How long the prompt takes when `engines` read even parts of it.
    pub fn prefill_time(&self, prompt_tokens: u64, engines: usize) -> Duration {
        Duration::from_secs_f64(self.prefill_ms(prompt_tokens) / engines.max(1) as f64 / 1_000.0)
    }
}
