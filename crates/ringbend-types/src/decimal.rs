//! Parsing of non-negative decimal numbers.

use std::fmt;

/// The reason why a string is not a non-negative decimal number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ParseDecimalError {
    /// The string is empty.
    Empty,
    /// The string is longer than 64 bytes.
    TooLong,
    /// The string is not a decimal number.
    NotANumber,
    /// The number is negative.
    Negative,
    /// The number is infinite or NaN.
    NotFinite,
}

/// Longest input that is parsed, in bytes.
const MAX_BYTES: usize = 64;

/// Parses a finite number that is zero or greater.
pub(crate) fn parse_non_negative(text: &str) -> Result<f64, ParseDecimalError> {
    if text.is_empty() {
        return Err(ParseDecimalError::Empty);
    }
    if text.len() > MAX_BYTES {
        return Err(ParseDecimalError::TooLong);
    }
    let number: f64 = text.parse().map_err(|_| ParseDecimalError::NotANumber)?;
    if !number.is_finite() {
        return Err(ParseDecimalError::NotFinite);
    }
    if number < 0.0 {
        return Err(ParseDecimalError::Negative);
    }
    Ok(number)
}

impl fmt::Display for ParseDecimalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Empty => "empty",
            Self::TooLong => "longer than 64 bytes",
            Self::NotANumber => "not a decimal number",
            Self::Negative => "negative number",
            Self::NotFinite => "not a finite number",
        })
    }
}

impl std::error::Error for ParseDecimalError {}
