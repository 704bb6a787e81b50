//! The policies that can be compared.

use std::fmt;
use std::str::FromStr;

use ringbend_policy::{Dispatcher, DispatcherConfig, NaivePolicy, Policy};
use ringbend_settings::EffectiveSettings;
use ringbend_settings::configs::ChoiceKind;
use ringbend_types::{Incarnation, InstanceId, Seed};

/// A policy by name.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// Round robin, retry on any error.
    Naive,
    /// A plain router with another way of choosing, but nothing else of Ringbend.
    Simple(ChoiceKindOrd),
    /// Ringbend as its defaults are.
    Ringbend,
    /// Ringbend without one of its parts.
    Without(Part),
}

/// A way of choosing, with an order for maps.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ChoiceKindOrd(pub ChoiceKind);

impl PartialOrd for ChoiceKindOrd {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ChoiceKindOrd {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.as_str().cmp(other.0.as_str())
    }
}

/// Parts of Ringbend that can be switched off or changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// Several long prompts may be at one engine.
    LongCap,
    /// Two choices in place of the best prediction.
    TwoChoices,
    /// Prefix affinity in place of the best prediction.
    Affinity,
    /// One attempt per request.
    Retries,
    /// Retries without a budget.
    Budget,
    /// Waiting requests keep their priority.
    Ageing,
}

impl Part {
    const ALL: [Self; 6] = [
        Self::LongCap,
        Self::TwoChoices,
        Self::Affinity,
        Self::Retries,
        Self::Budget,
        Self::Ageing,
    ];

    fn as_str(self) -> &'static str {
        match self {
            Self::LongCap => "no-long-cap",
            Self::TwoChoices => "two-choices",
            Self::Affinity => "affinity",
            Self::Retries => "no-retries",
            Self::Budget => "no-budget",
            Self::Ageing => "no-ageing",
        }
    }

    fn apply(self, settings: &mut EffectiveSettings) {
        match self {
            Self::LongCap => settings.routing.long_per_engine = 1_000,
            Self::TwoChoices => settings.routing.choice = ChoiceKind::TwoChoices,
            Self::Affinity => settings.routing.choice = ChoiceKind::PrefixAffinity,
            Self::Retries => settings.retries.attempts = 1,
            Self::Budget => settings.retries.ratio_percent = 100,
            Self::Ageing => settings.class.ageing_ms = 0,
        }
    }
}

impl PolicyKind {
    /// Changes a request's settings as this policy wants them.
    pub fn apply(self, settings: &mut EffectiveSettings) {
        if let Self::Without(part) = self {
            part.apply(settings);
        }
    }

    /// One instance's policy.
    pub fn build(
        self,
        instance: &InstanceId,
        incarnation: Incarnation,
        seed: Seed,
    ) -> Box<dyn Policy> {
        match self {
            Self::Naive => Box::new(NaivePolicy::new(incarnation, ChoiceKind::RoundRobin, seed)),
            Self::Simple(choice) => Box::new(NaivePolicy::new(incarnation, choice.0, seed)),
            Self::Ringbend | Self::Without(_) => {
                let instance = instance.clone();
                Box::new(Dispatcher::new(DispatcherConfig { instance, incarnation, seed }))
            }
        }
    }

    /// Whether the policy is Ringbend's, with shares of limits and all.
    pub fn is_ringbend(self) -> bool {
        matches!(self, Self::Ringbend | Self::Without(_))
    }
}

impl fmt::Display for PolicyKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Naive => write!(f, "naive"),
            Self::Simple(choice) => write!(f, "simple-{}", choice.0),
            Self::Ringbend => write!(f, "ringbend"),
            Self::Without(part) => write!(f, "ringbend-{}", part.as_str()),
        }
    }
}

/// The text names no policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsePolicyError;

impl fmt::Display for ParsePolicyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts = Part::ALL.map(|part| format!("ringbend-{}", part.as_str())).join(", ");
        let choices = ChoiceKind::ALL.map(|choice| format!("simple-{choice}")).join(", ");
        write!(f, "expected one of naive, ringbend, {choices}, {parts}")
    }
}

impl std::error::Error for ParsePolicyError {}

impl FromStr for PolicyKind {
    type Err = ParsePolicyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if let Some(choice) = text.strip_prefix("simple-") {
            let choice = choice.parse().map_err(|_| ParsePolicyError)?;
            return Ok(Self::Simple(ChoiceKindOrd(choice)));
        }
        if let Some(part) = text.strip_prefix("ringbend-") {
            let part = Part::ALL.into_iter().find(|p| p.as_str() == part);
            return part.map(Self::Without).ok_or(ParsePolicyError);
        }
        match text {
            "naive" => Ok(Self::Naive),
            "ringbend" => Ok(Self::Ringbend),
            _ => Err(ParsePolicyError),
        }
    }
}
