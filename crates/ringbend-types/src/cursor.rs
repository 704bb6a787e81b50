//! Positions in the change history of the store.

use std::fmt;

/// A position in the store's change history. A store that comes back from an older copy begins a
/// new era and gives out versions again, so positions are ordered by era first.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Cursor {
    /// Rises each time the store comes back from an older copy; zero if it names no era.
    pub era: u64,
    /// The version within the era.
    pub version: u64,
}

impl Cursor {
    /// The position at a version of an era.
    pub const fn new(era: u64, version: u64) -> Self {
        Self { era, version }
    }
}

impl fmt::Display for Cursor {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.era, self.version)
    }
}
