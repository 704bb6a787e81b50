//! The policies that the benchmark compares, and how to build them.

use std::fmt;
use std::str::FromStr;

use ringbend_policy::{Dispatcher, DispatcherConfig, NaivePolicy, Policy};
use ringbend_settings::EffectiveSettings;
use ringbend_settings::configs::ChoiceKind;
use ringbend_types::{Incarnation, InstanceId, Seed};

/// A policy that can be selected on the command line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PolicyKind {
    /// The naive router: round robin, with retries on any error.
    Naive,
    /// The naive router with another selection method, without any other component of Ringbend.
    Simple(OrderedChoiceKind),
    /// Ringbend with its default settings.
    Ringbend,
    /// Ringbend with one component disabled or replaced.
    Without(Component),
}

/// A selection method that is ordered by its name, so that policies can be map keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderedChoiceKind(pub ChoiceKind);

impl PartialOrd for OrderedChoiceKind {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for OrderedChoiceKind {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.0.as_str().cmp(other.0.as_str())
    }
}

/// A component of Ringbend that a benchmark can disable or replace.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Component {
    /// No limit on the number of long prompts per engine.
    LongCap,
    /// Power of two choices instead of the earliest predicted finish.
    TwoChoices,
    /// Prefix affinity instead of the earliest predicted finish.
    Affinity,
    /// No retries: one attempt per request.
    Retries,
    /// Retries without a retry budget.
    Budget,
    /// No ageing: waiting requests keep their priority.
    Ageing,
}

impl Component {
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
    /// Adjusts a request's settings for this policy.
    pub fn apply(self, settings: &mut EffectiveSettings) {
        if let Self::Without(component) = self {
            component.apply(settings);
        }
    }

    /// Builds the policy of one instance.
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

    /// Whether this is Ringbend, complete or with one component changed, and not the naive router.
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
            Self::Without(component) => write!(f, "ringbend-{}", component.as_str()),
        }
    }
}

/// The text is not the name of a policy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParsePolicyError;

impl fmt::Display for ParsePolicyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let components =
            Component::ALL.map(|component| format!("ringbend-{}", component.as_str())).join(", ");
        let choices = ChoiceKind::ALL.map(|choice| format!("simple-{choice}")).join(", ");
        write!(f, "expected one of naive, ringbend, {choices}, {components}")
    }
}

impl std::error::Error for ParsePolicyError {}

impl FromStr for PolicyKind {
    type Err = ParsePolicyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if let Some(choice) = text.strip_prefix("simple-") {
            let choice = choice.parse().map_err(|_| ParsePolicyError)?;
            return Ok(Self::Simple(OrderedChoiceKind(choice)));
        }
        if let Some(component) = text.strip_prefix("ringbend-") {
            let component = Component::ALL.into_iter().find(|p| p.as_str() == component);
            return component.map(Self::Without).ok_or(ParsePolicyError);
        }
        match text {
            "naive" => Ok(Self::Naive),
            "ringbend" => Ok(Self::Ringbend),
            _ => Err(ParsePolicyError),
        }
    }
}
