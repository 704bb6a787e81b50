//! Newtypes for sizes, rates and counters.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;
use std::time::Duration;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The string is not a quantity.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseQuantityError(ParseIntError);

impl fmt::Display for ParseQuantityError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "not a whole number: {}", self.0)
    }
}

impl std::error::Error for ParseQuantityError {}

macro_rules! quantity {
    ($($(#[$doc:meta])* $name:ident => $unit:literal),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(
            Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Adds two values, saturating at the maximum.
            pub fn saturating_add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }

            /// Subtracts two values, saturating at zero.
            pub fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }

            /// The value plus one, saturating at the maximum.
            pub fn next(self) -> Self {
                self.saturating_add(Self(1))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{}", $unit), self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseQuantityError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                text.trim_end_matches($unit).parse().map(Self).map_err(ParseQuantityError)
            }
        }
    )*};
}

quantity! {
    /// A number of tokens.
    TokenCount => " tok",
    /// A number of bytes.
    ByteCount => " B",
    /// A token rate, per second.
    TokensPerSecond => " tok/s",
    /// The version of the settings tree; each accepted change increments it by one.
    SettingsVersion => "",
    /// Increases with each new holder of a lease; endpoints that check it reject lower values.
    FencingToken => "",
    /// Increases with each start of an instance and each time the instance refutes a suspicion.
    Incarnation => "",
    /// Start time of an endpoint's process, in Unix milliseconds on the endpoint's own clock.
    EndpointStart => "",
}

impl TokensPerSecond {
    /// The time that `tokens` take at this rate. A rate of zero counts as one token per second.
    pub fn time_for(self, tokens: TokenCount) -> Duration {
        Duration::from_secs_f64(tokens.0 as f64 / self.0.max(1) as f64)
    }
}

impl Incarnation {
    /// Number of low bits below the start time. They start at a random value, which each refutation
    /// increments.
    pub const RANDOM_BITS: u32 = 20;

    /// The incarnation of a process that started at `unix_ms`. `random` distinguishes starts within the
    /// same millisecond.
    pub fn from_start(unix_ms: u64, random: u64) -> Self {
        Self((unix_ms << Self::RANDOM_BITS) | (random & ((1 << Self::RANDOM_BITS) - 1)))
    }

    /// The start time, in milliseconds since the Unix epoch. A refutation increments the incarnation
    /// but keeps the start time.
    pub fn started_unix_ms(self) -> u64 {
        self.0 >> Self::RANDOM_BITS
    }
}

/// Prompt length ranges by which the time to first token is reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
pub enum PromptBucket {
    /// Up to 3,000 tokens.
    #[serde(rename = "1k")]
    Thousand,
    /// Up to 30,000 tokens.
    #[serde(rename = "10k")]
    TenThousand,
    /// Up to 300,000 tokens.
    #[serde(rename = "100k")]
    HundredThousand,
    /// Above 300,000 tokens.
    #[serde(rename = "1m")]
    Million,
}

impl PromptBucket {
    /// All buckets, in ascending order of length.
    pub const ALL: [Self; 4] =
        [Self::Thousand, Self::TenThousand, Self::HundredThousand, Self::Million];

    /// The bucket of a prompt with `tokens` tokens.
    pub fn of(tokens: TokenCount) -> Self {
        match tokens.0 {
            0..=3_000 => Self::Thousand,
            3_001..=30_000 => Self::TenThousand,
            30_001..=300_000 => Self::HundredThousand,
            _ => Self::Million,
        }
    }

    /// The label in reports and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Thousand => "1k",
            Self::TenThousand => "10k",
            Self::HundredThousand => "100k",
            Self::Million => "1m",
        }
    }
}

impl fmt::Display for PromptBucket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.label())
    }
}
