//! The properties of a request that the policy decides on.

use std::sync::Arc;

use ringbend_platform::EndpointKind;
use ringbend_settings::EffectiveSettings;
use ringbend_types::{ClientAccountId, RequestId, ServiceName, Timestamp, TokenCount};

/// A request as the policy sees it: sizes and limits, never content.
#[derive(Debug, Clone)]
pub struct RequestProfile {
    /// The request's id.
    pub id: RequestId,
    /// The client account that is charged.
    pub account: ClientAccountId,
    /// The service whose endpoints can serve it.
    pub service: ServiceName,
    /// Whether it goes to an engine or to a plain service.
    pub kind: EndpointKind,
    /// Estimated prompt length.
    pub prompt_tokens: TokenCount,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Hash of the prompt's first blocks; prompts with equal hashes may share prefix cache entries.
    pub prefix: u64,
    /// Time by which the response must be complete.
    pub deadline: Timestamp,
    /// Whether it may be executed more than once.
    pub repeatable: bool,
    /// Whether a claim on its request key must be granted before it is dispatched.
    pub needs_claim: bool,
    /// The settings that apply to it.
    pub settings: Arc<EffectiveSettings>,
}

impl RequestProfile {
    /// The tokens charged to the account's limits, which is also the KV cache memory needed.
    pub fn cost(&self) -> TokenCount {
        self.prompt_tokens.saturating_add(TokenCount(self.max_tokens))
    }

    /// Whether it is scheduled as a long prompt.
    pub fn is_long(&self) -> bool {
        self.kind == EndpointKind::Engine
            && self.prompt_tokens.0 >= self.settings.routing.long_prompt_tokens
    }
}
