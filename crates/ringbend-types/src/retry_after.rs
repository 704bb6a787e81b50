//! The delay that the sender of a response asks for before the next request.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// A delay in seconds, as in the header of that name. HTTP dates are not supported: they would be read by a
/// wall clock that may jump.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RetryAfter(Duration);

/// Why a text is not a delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ParseRetryAfterError {
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

/// The longest text that is parsed, in bytes.
const MAX_BYTES: usize = 64;

impl RetryAfter {
    /// Longer delays are cut to this, so that a wrong value does not exclude an endpoint for good.
    pub const MAX: Duration = Duration::from_secs(3_600);

    /// A delay of this length, at most [`Self::MAX`].
    pub fn new(delay: Duration) -> Self {
        Self(delay.min(Self::MAX))
    }

    /// The length of the delay.
    pub fn delay(self) -> Duration {
        self.0
    }
}

impl FromStr for RetryAfter {
    type Err = ParseRetryAfterError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() {
            return Err(ParseRetryAfterError::Empty);
        }
        if text.len() > MAX_BYTES {
            return Err(ParseRetryAfterError::TooLong);
        }
        let seconds: f64 = text.parse().map_err(|_| ParseRetryAfterError::NotANumber)?;
        if !seconds.is_finite() {
            return Err(ParseRetryAfterError::NotFinite);
        }
        if seconds < 0.0 {
            return Err(ParseRetryAfterError::Negative);
        }
        Ok(Self(Duration::from_secs_f64(seconds.min(Self::MAX.as_secs_f64()))))
    }
}

impl fmt::Display for RetryAfter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.as_secs_f64())
    }
}

impl fmt::Display for ParseRetryAfterError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Empty => "empty",
            Self::TooLong => "longer than a number of seconds",
            Self::NotANumber => "no decimal number",
            Self::Negative => "less than zero",
            Self::NotFinite => "not a finite number",
        })
    }
}

impl std::error::Error for ParseRetryAfterError {}
