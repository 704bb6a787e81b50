//! How many requests a second something takes.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// A rate of requests, in millionths of a request a second.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestRate(pub u64);

/// Why a text is not a rate of requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ParseRequestRateError {
    /// Nothing is there.
    Empty,
    /// Longer than a number of this kind is.
    TooLong,
    /// No decimal number.
    NotANumber,
    /// Less than zero.
    Negative,
    /// Not a finite number.
    NotFinite,
}

/// The longest text that is read, in bytes.
const MOST_BYTES: usize = 64;

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
    pub fn in_time(self, time: Duration) -> f64 {
        self.as_f64() * time.as_secs_f64()
    }
}

impl FromStr for RequestRate {
    type Err = ParseRequestRateError;

    /// Reads a decimal number; what lies below a millionth is left off.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() {
            return Err(ParseRequestRateError::Empty);
        }
        if text.len() > MOST_BYTES {
            return Err(ParseRequestRateError::TooLong);
        }
        let rate: f64 = text.parse().map_err(|_| ParseRequestRateError::NotANumber)?;
        if !rate.is_finite() {
            return Err(ParseRequestRateError::NotFinite);
        }
        if rate < 0.0 {
            return Err(ParseRequestRateError::Negative);
        }
        // Values above the largest integer are held at it.
        Ok(Self((rate * MILLIONTHS) as u64))
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.as_f64())
    }
}

impl fmt::Display for ParseRequestRateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let why = match self {
            Self::Empty => "empty",
            Self::TooLong => "longer than a number of requests a second",
            Self::NotANumber => "no decimal number",
            Self::Negative => "less than zero",
            Self::NotFinite => "not a finite number",
        };
        f.write_str(why)
    }
}

impl std::error::Error for ParseRequestRateError {}
