//! Request fingerprints, which identify a request across attempts with different ids.

use std::fmt;
use std::str::FromStr;

/// Length of a fingerprint, in bytes.
const BYTES: usize = 16;

/// Identifies a request by its caller, address and body. Two requests with equal fingerprints are the
/// same request. The bytes come from a cryptographic digest, so that nobody can forge a request that
/// has the fingerprint of another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint([u8; BYTES]);

/// The input is not a fingerprint, which is 32 hexadecimal digits or 16 bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseFingerprintError;

impl fmt::Display for ParseFingerprintError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected {} hexadecimal digits or {BYTES} bytes", BYTES * 2)
    }
}

impl std::error::Error for ParseFingerprintError {}

impl Fingerprint {
    /// Truncates a digest to the length of a fingerprint.
    pub fn from_digest(digest: &[u8; 32]) -> Self {
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&digest[..BYTES]);
        Self(bytes)
    }

    /// The fingerprint as raw bytes.
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl TryFrom<&[u8]> for Fingerprint {
    type Error = ParseFingerprintError;

    fn try_from(bytes: &[u8]) -> Result<Self, Self::Error> {
        bytes.try_into().map(Self).map_err(|_| ParseFingerprintError)
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl FromStr for Fingerprint {
    type Err = ParseFingerprintError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hex = text.len() == BYTES * 2 && text.bytes().all(|digit| digit.is_ascii_hexdigit());
        let number = u128::from_str_radix(text, 16).ok().filter(|_| is_hex);
        number.map(|number| Self(number.to_be_bytes())).ok_or(ParseFingerprintError)
    }
}
