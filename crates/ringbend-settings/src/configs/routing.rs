//! Settings of endpoint selection.

use std::fmt;
use std::str::FromStr;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::in_range;
use crate::effective::RangeError;

/// The ways of choosing an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum ChoiceKind {
    /// Each endpoint in turn.
    RoundRobin,
    /// The endpoint with the fewest requests outstanding.
    LeastOutstanding,
    /// Of two at random, the one predicted to give the first token sooner.
    TwoChoices,
    /// The one predicted to give the first token soonest.
    PredictedFinish,
    /// The endpoint that likely holds the prompt's prefix, unless it is loaded over the bound.
    PrefixAffinity,
}

/// The string is not the name of an endpoint selection strategy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseChoiceError;

impl fmt::Display for ParseChoiceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names = ChoiceKind::ALL.map(ChoiceKind::as_str).join(", ");
        write!(f, "expected one of {names}")
    }
}

impl std::error::Error for ParseChoiceError {}

impl ChoiceKind {
    /// All strategies.
    pub const ALL: [Self; 5] = [
        Self::RoundRobin,
        Self::LeastOutstanding,
        Self::TwoChoices,
        Self::PredictedFinish,
        Self::PrefixAffinity,
    ];

    /// The name of the strategy in settings.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::RoundRobin => "round-robin",
            Self::LeastOutstanding => "least-outstanding",
            Self::TwoChoices => "two-choices",
            Self::PredictedFinish => "predicted-finish",
            Self::PrefixAffinity => "prefix-affinity",
        }
    }
}

impl fmt::Display for ChoiceKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for ChoiceKind {
    type Err = ParseChoiceError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL.into_iter().find(|kind| kind.as_str() == text).ok_or(ParseChoiceError)
    }
}

/// Which endpoint a request goes to. Applies when a request leaves the queue.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(default, deny_unknown_fields)]
pub struct RoutingConfig {
    /// The way of choosing.
    pub choice: ChoiceKind,
    /// Prompts of at least this many uncached tokens count as long.
    pub long_prompt_tokens: u64,
    /// Most long prompts at one engine at once.
    pub long_per_engine: u32,
    /// Load over the mean, in percent, at which prefix affinity gives way.
    pub affinity_bound_percent: u32,
}

impl Default for RoutingConfig {
    fn default() -> Self {
        Self {
            choice: ChoiceKind::PredictedFinish,
            long_prompt_tokens: 50_000,
            long_per_engine: 1,
            affinity_bound_percent: 125,
        }
    }
}

impl RoutingConfig {
    pub(crate) fn check(&self) -> Result<(), RangeError> {
        in_range("routing.long_prompt_tokens", self.long_prompt_tokens, 1, 4_000_000)?;
        in_range("routing.long_per_engine", self.long_per_engine.into(), 1, 1_000)?;
        in_range("routing.affinity_bound_percent", self.affinity_bound_percent.into(), 100, 1_000)
    }
}
