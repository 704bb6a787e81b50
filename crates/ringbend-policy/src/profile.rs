//! What the policy knows of a request.

use std::sync::Arc;

use ringbend_platform::EndpointKind;
use ringbend_settings::EffectiveSettings;
use ringbend_types::{ClientAccountId, RequestId, ServiceName, Timestamp, TokenCount};

/// One request, as the policy sees it: sizes and bounds, never content.
#[derive(Debug, Clone)]
pub struct RequestProfile {
    /// The request.
    pub id: RequestId,
    /// Whose.
    pub account: ClientAccountId,
    /// Which service's endpoints can take it.
    pub service: ServiceName,
    /// Engine or plain service.
    pub kind: EndpointKind,
    /// Estimated length of the prompt.
    pub prompt_tokens: TokenCount,
    /// Most tokens to generate.
    pub max_tokens: u64,
    /// Hash of the prompt's first blocks; equal ones may share cached memory.
    pub prefix: u64,
    /// When the answer must have ended.
    pub deadline: Timestamp,
    /// Whether it may be run more than once.
    pub repeatable: bool,
    /// Whether a claim must be granted before dispatch.
    pub needs_claim: bool,
    /// The settings in force for it.
    pub settings: Arc<EffectiveSettings>,
}

impl RequestProfile {
    /// What it costs of its account's limit, and how much memory it needs.
    pub fn cost(&self) -> TokenCount {
        self.prompt_tokens.saturating_add(TokenCount(self.max_tokens))
    }

    /// Whether it counts as a long prompt.
    pub fn is_long(&self) -> bool {
        self.kind == EndpointKind::Engine
            && self.prompt_tokens.0 >= self.settings.routing.long_prompt_tokens
    }
}
