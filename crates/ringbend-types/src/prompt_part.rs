//! The parts of a prompt, as callers list them.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use crate::TokenCount;

/// Maximum number of hexadecimal digits in the id of a part.
const MAX_ID_DIGITS: usize = 32;

/// Maximum number of parts of one prompt that are considered, in order.
const MAX_PARTS: usize = 64;

/// Maximum number of parts in the text form of a list, for logs.
const MAX_DISPLAYED: usize = 8;

/// Identifies one part of a prompt. Parts with the same id have the same content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PromptPartId(pub u128);

/// The input is not the id of a part, which has 1 to 32 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ParsePromptPartError;

impl fmt::Display for ParsePromptPartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected 1 to {MAX_ID_DIGITS} hexadecimal digits")
    }
}

impl std::error::Error for ParsePromptPartError {}

impl fmt::Display for PromptPartId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

impl FromStr for PromptPartId {
    type Err = ParsePromptPartError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_hex = text.len() <= MAX_ID_DIGITS && text.bytes().all(|b| b.is_ascii_hexdigit());
        let id = u128::from_str_radix(text, 16).ok().filter(|_| is_hex);
        id.map(Self).ok_or(ParsePromptPartError)
    }
}

/// One part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// The id of the part.
    pub id: PromptPartId,
    /// The length of the part.
    pub tokens: TokenCount,
}

/// The parts that a prompt shares with other prompts, in order. The last part of a prompt belongs to
/// the request itself or to its session, and is left out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct SharedParts(Option<Arc<[PromptPart]>>);

impl SharedParts {
    /// The shared parts of a prompt with these parts; `None` stands for a part that could not be
    /// parsed. Repeated parts count once, and at most 64 are kept.
    pub fn of_prompt(parts: impl IntoIterator<Item = Option<PromptPart>>) -> Self {
        let mut parts = parts.into_iter().peekable();
        let mut shared: Vec<PromptPart> = Vec::new();
        while let Some(part) = parts.next() {
            if parts.peek().is_none() || shared.len() == MAX_PARTS {
                break;
            }
            let Some(part) = part else { continue };
            if !shared.iter().any(|known| known.id == part.id) {
                shared.push(part);
            }
        }
        Self((!shared.is_empty()).then(|| shared.into()))
    }

    /// The parts.
    pub fn as_slice(&self) -> &[PromptPart] {
        self.0.as_deref().unwrap_or_default()
    }
}

impl fmt::Display for SharedParts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let parts = self.as_slice();
        if parts.is_empty() {
            return write!(f, "-");
        }
        for (at, part) in parts.iter().take(MAX_DISPLAYED).enumerate() {
            write!(f, "{}{}", if at == 0 { "" } else { " " }, part.id)?;
        }
        match parts.len().checked_sub(MAX_DISPLAYED) {
            Some(more @ 1..) => write!(f, " +{more}"),
            _ => Ok(()),
        }
    }
}
