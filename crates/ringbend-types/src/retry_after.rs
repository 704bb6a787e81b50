//! The delay that a response asks for before the next request.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::decimal::{ParseDecimalError, parse_non_negative};

/// A delay in seconds, as in the `Retry-After` header. HTTP dates are not supported, because they would
/// have to be compared with a wall clock, which may jump.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RetryAfter(Duration);

impl RetryAfter {
    /// Upper bound of a delay, so that a wrong value does not exclude an endpoint forever.
    pub const MAX: Duration = Duration::from_secs(3_600);

    /// A delay of the given length, capped at [`Self::MAX`].
    pub fn new(delay: Duration) -> Self {
        Self(delay.min(Self::MAX))
    }

    /// The length of the delay.
    pub fn delay(self) -> Duration {
        self.0
    }
}

impl FromStr for RetryAfter {
    type Err = ParseDecimalError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let number = parse_non_negative(text)?;
        Ok(Self(Duration::from_secs_f64(number.min(Self::MAX.as_secs_f64()))))
    }
}

impl fmt::Display for RetryAfter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0.as_secs_f64())
    }
}
