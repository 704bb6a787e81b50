//! Keys of rows in the store.

use std::convert::Infallible;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The key of a row in the store: any text, also one that another user of the store has chosen. Keys
/// are ordered by their bytes, as the store orders them.
#[derive(Debug, Clone, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StoreKey(Arc<str>);

impl StoreKey {
    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl From<&str> for StoreKey {
    fn from(text: &str) -> Self {
        Self(text.into())
    }
}

impl FromStr for StoreKey {
    type Err = Infallible;

    fn from_str(text: &str) -> Result<Self, Infallible> {
        Ok(text.into())
    }
}

impl fmt::Display for StoreKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}
