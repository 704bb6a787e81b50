//! Tells a caller whether its request was run.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Whether an endpoint ran a request that did not get a complete answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunState {
    /// The request was not run and is safe to retry.
    NotRun,
    /// The request reached an endpoint, but its outcome is unknown.
    MayHaveRun,
    /// An endpoint ran the request, and it failed.
    Failed,
}

impl RunState {
    /// The value used in headers and error bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Failed => "failed",
        }
    }
}

impl fmt::Display for RunState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The string is not one of the three run states.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseRunStateError;

impl fmt::Display for ParseRunStateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected not-run, may-have-run or failed")
    }
}

impl std::error::Error for ParseRunStateError {}

impl FromStr for RunState {
    type Err = ParseRunStateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "not-run" => Ok(Self::NotRun),
            "may-have-run" => Ok(Self::MayHaveRun),
            "failed" => Ok(Self::Failed),
            _ => Err(ParseRunStateError),
        }
    }
}
