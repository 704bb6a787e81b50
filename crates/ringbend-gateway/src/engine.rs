//! The performance profile of a model engine, as configured for its service.
//!
//! An engine first reads the prompt of a request (prefill) and then decodes its response.

use std::time::Duration;

use crate::placement::Demand;

/// The speed and size of a service's engines.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineProfile {
    /// Number of requests that decode at once.
    pub slots: u32,
    /// KV cache for prompts and responses, in tokens.
    pub memory_tokens: u64,
    /// Token steps in a pass with decoding requests.
    pub steps_per_pass: u32,
    /// Duration of one token step, in milliseconds.
    pub step_ms: f64,
    /// Additional duration of a step per decoding request, in milliseconds.
    pub per_sequence_ms: f64,
    /// Additional duration of a step per 1,000 tokens of a decoding request's context, in
    /// milliseconds.
    pub per_context_k_ms: f64,
    /// Prompt tokens read per second.
    pub prefill_tokens_per_s: f64,
    /// Milliseconds per million pairs of a prompt token and an earlier one.
    pub pairs_per_m_ms: f64,
    /// Maximum number of prompt tokens read in one step.
    pub chunk_tokens: u64,
    /// Milliseconds that each additional engine adds to a step.
    pub hop_ms: f64,
}

/// The maximum number of engines that read one prompt: the engines accept sixteen helpers, plus the
/// lead.
pub(crate) const MAX_PREFILL_ENGINES: usize = 17;

const MILLION: f64 = 1e6;

impl EngineProfile {
    /// Time in which one engine reads a whole prompt, in milliseconds.
    pub fn prefill_ms(&self, prompt_tokens: u64) -> f64 {
        let tokens = prompt_tokens as f64;
        let pairs = tokens * tokens / 2.0;
        tokens / self.prefill_tokens_per_s * 1_000.0 + pairs / MILLION * self.pairs_per_m_ms
    }

    /// Duration of a pass without prefill, in milliseconds.
    pub fn pass_ms(&self, sequences: u32) -> f64 {
        f64::from(self.steps_per_pass)
            * (self.step_ms + f64::from(sequences) * self.per_sequence_ms)
    }

    /// Lower bound on the time from sending a prompt to the end of a response of maximum length:
    /// read by the maximum number of engines and decoded alone.
    pub fn least_time(&self, demand: Demand) -> Duration {
        let decode_ms = demand.answer_tokens as f64 * (self.step_ms + self.per_sequence_ms);
        self.prefill_time(demand.prompt_tokens, MAX_PREFILL_ENGINES)
            + Duration::from_secs_f64(decode_ms / 1_000.0)
    }

    /// Upper bound on the time for which a request occupies a slot of an engine that is full: its
    /// prompt is read by one engine, and its response has the maximum length.
    pub fn slot_time(&self, demand: Demand) -> Duration {
        let step_ms = self.step_ms + f64::from(self.slots) * self.per_sequence_ms;
        let ms = self.prefill_ms(demand.prompt_tokens) + demand.answer_tokens as f64 * step_ms;
        Duration::from_secs_f64(ms / 1_000.0)
    }

    /// Time to read the prompt if `engines` read equal parts of it.
    pub fn prefill_time(&self, prompt_tokens: u64, engines: usize) -> Duration {
        Duration::from_secs_f64(self.prefill_ms(prompt_tokens) / engines.max(1) as f64 / 1_000.0)
    }
}
