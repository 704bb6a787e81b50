//! Request rates.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::decimal::{ParseDecimalError, parse_non_negative};

/// A request rate, in millionths of a request per second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRate(pub u64);

const MILLIONTHS_PER_REQUEST: f64 = 1e6;

impl RequestRate {
    /// A rate of a whole number of requests per second.
    pub const fn per_second(requests: u64) -> Self {
        Self(requests * 1_000_000)
    }

    /// The rate in requests per second.
    pub fn as_f64(self) -> f64 {
        self.0 as f64 / MILLIONTHS_PER_REQUEST
    }

    /// The number of requests that this rate allows within `time`.
    pub fn requests_in(self, time: Duration) -> f64 {
        self.as_f64() * time.as_secs_f64()
    }
}

impl FromStr for RequestRate {
    type Err = ParseDecimalError;

    /// Parses a decimal number, truncating it to millionths.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = parse_non_negative(text)?;
        // The cast saturates at `u64::MAX`.
        Ok(Self((number * MILLIONTHS_PER_REQUEST) as u64))
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.as_f64())
    }
}
