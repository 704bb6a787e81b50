//! Text identifiers given by operators and callers, and numeric ones minted by an instance.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Longest text identifier, in bytes.
const MAX_ID_BYTES: usize = 128;

/// Why a text is not an identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseIdError {
    /// The text is empty.
    Empty,
    /// The text is longer than the limit, in bytes.
    TooLong(usize),
    /// The text holds a character outside `a-z A-Z 0-9 . _ : -`.
    BadCharacter(char),
    /// A numeric identifier is not `<incarnation>-<sequence>` in hexadecimal.
    NotNumeric,
}

impl fmt::Display for ParseIdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Empty => write!(f, "an identifier must not be empty"),
            Self::TooLong(n) => write!(f, "{n} bytes; at most {MAX_ID_BYTES} are allowed"),
            Self::BadCharacter(c) => {
                write!(f, "character {c:?}; allowed are a-z A-Z 0-9 . _ : -")
            }
            Self::NotNumeric => write!(f, "expected <incarnation>-<sequence> in hexadecimal"),
        }
    }
}

impl std::error::Error for ParseIdError {}

fn check_text(text: &str) -> Result<(), ParseIdError> {
    if text.is_empty() {
        return Err(ParseIdError::Empty);
    }
    if text.len() > MAX_ID_BYTES {
        return Err(ParseIdError::TooLong(text.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '-');
    match text.chars().find(|c| !allowed(*c)) {
        Some(c) => Err(ParseIdError::BadCharacter(c)),
        None => Ok(()),
    }
}

macro_rules! text_id {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, JsonSchema)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// The identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                check_text(text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.to_string()
            }
        }
    )*};
}

text_id! {
    /// One running `ringbendd` on one machine. A restart keeps the id and takes a new incarnation.
    InstanceId,
    /// One back end: a model engine or a plain service process.
    EndpointId,
    /// One paying customer of the operator; settings and limits hang from it.
    ClientAccountId,
    /// A model service or a plain service, as callers and the settings tree name it.
    ServiceName,
    /// A request class of a service, such as `drivers`.
    ClassName,
    /// A model that engines can load.
    ModelName,
    /// One data centre (the field's "zone").
    DataCentre,
    /// The caller's own key of a request that must not be repeated.
    RequestKey,
    /// The operator's own id of a settings change; makes a change idempotent.
    ChangeId,
    /// The name of an exclusive job's lease row.
    LeaseName,
}

macro_rules! minted_id {
    ($($(#[$doc:meta])* $name:ident),* $(,)?) => {$(
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name {
            /// The incarnation of the instance that minted the id.
            pub incarnation: u64,
            /// Counts up from one within the incarnation.
            pub sequence: u64,
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{:016x}-{:x}", self.incarnation, self.sequence)
            }
        }

        impl FromStr for $name {
            type Err = ParseIdError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                let (incarnation, sequence) = text.split_once('-').ok_or(ParseIdError::NotNumeric)?;
                let parse = |part| u64::from_str_radix(part, 16).map_err(|_| ParseIdError::NotNumeric);
                Ok(Self { incarnation: parse(incarnation)?, sequence: parse(sequence)? })
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseIdError;

            fn try_from(text: String) -> Result<Self, Self::Error> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.to_string()
            }
        }
    )*};
}

minted_id! {
    /// One request as admitted by one instance. Never reused.
    RequestId,
    /// One try of a request at one endpoint. Never reused, so a late cancel is harmless.
    AttemptId,
}
