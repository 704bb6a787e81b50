//! What is the same for the same request, whatever id its tries have.

use std::fmt;
use std::str::FromStr;

/// Bytes of a fingerprint.
const BYTES: usize = 16;

/// Tells whether two requests are the same: of one caller, to one address, with one body. Its bytes are
/// those of a cryptographic digest, so that nobody can make up a request with another one's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fingerprint([u8; BYTES]);

/// A text or some bytes are no fingerprint: 32 hexadecimal digits, or 16 bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParseFingerprintError;

impl fmt::Display for ParseFingerprintError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected {} hexadecimal digits or {BYTES} bytes", BYTES * 2)
    }
}

impl std::error::Error for ParseFingerprintError {}

impl Fingerprint {
    /// The first bytes of a digest, which has as many at least.
    pub fn from_digest(digest: &[u8; 32]) -> Self {
        let mut bytes = [0; BYTES];
        bytes.copy_from_slice(&digest[..BYTES]);
        Self(bytes)
    }

    /// Its bytes.
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
