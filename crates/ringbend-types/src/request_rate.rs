//! How many requests a second something takes.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::decimal::{ParseDecimalError, parse_non_negative};

/// A rate of requests, in millionths of a request a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRate(pub u64);

const MILLIONTHS: f64 = 1e6;

impl RequestRate {
    /// A whole number of requests a second.
    pub const fn per_second(requests: u64) -> Self {
        Self(requests * 1_000_000)
    }

    /// Requests a second.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / MILLIONTHS
    }

    /// The requests that it allows in this time.
    pub fn requests_in(self, time: Duration) -> f64 {
        self.as_f64() * time.as_secs_f64()
    }
}

impl FromStr for RequestRate {
    type Err = ParseDecimalError;

    /// Reads a decimal number; what lies below a millionth is left off.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = parse_non_negative(text)?;
        // Values above the largest integer are held at it.
        Ok(Self((number * MILLIONTHS) as u64))
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.as_f64())
    }
}
