//! Non-negative decimal numbers in text.

use std::fmt;

/// Why a text is not a non-negative decimal number.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ParseDecimalError {
    /// Nothing is there.
    Empty,
    /// Longer than 64 bytes.
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

/// Parses a finite number that is not negative.
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
            Self::NotANumber => "no decimal number",
            Self::Negative => "less than zero",
            Self::NotFinite => "not a finite number",
        })
    }
}

impl std::error::Error for ParseDecimalError {}
