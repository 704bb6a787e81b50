//! The transactional table service: conditions and writes in one commit.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The key of a row. Rows sort by key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RowKey(Arc<str>);

impl RowKey {
    /// A key from its text.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }

    /// The key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Rises each time a row is written; never falls, not even over a delete.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RowVersion(pub u64);

/// One row as read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: RowKey,
    /// The version the row had when read.
    pub version: RowVersion,
    /// The value, JSON text by convention.
    pub value: Arc<str>,
}

/// A condition of a commit. All must hold, or nothing is written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The row does not exist.
    Absent(RowKey),
    /// The row exists with this version.
    VersionIs(RowKey, RowVersion),
}

impl Condition {
    /// The row the condition speaks of.
    pub fn key(&self) -> &RowKey {
        match self {
            Self::Absent(key) | Self::VersionIs(key, _) => key,
        }
    }
}

/// One write of a commit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Write {
    /// Create or replace the row.
    Put {
        /// The row's key.
        key: RowKey,
        /// The new value.
        value: Arc<str>,
        /// Seconds after which the service may delete the row; `None` keeps it.
        ttl_s: Option<u64>,
    },
    /// Delete the row.
    Delete {
        /// The row's key.
        key: RowKey,
    },
}

/// A call to the table service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableRequest {
    /// Read the rows of these keys; absent ones are left out of the reply.
    Read {
        /// The keys to read.
        keys: Vec<RowKey>,
    },
    /// Read rows whose key starts with a prefix, in key order.
    Scan {
        /// What the keys start with.
        prefix: Arc<str>,
        /// Start after this key.
        after: Option<RowKey>,
        /// At most this many rows.
        limit: usize,
    },
    /// Check the conditions and do the writes, as one transaction.
    Commit {
        /// All must hold.
        conditions: Vec<Condition>,
        /// Done together or not at all.
        writes: Vec<Write>,
    },
}

impl TableRequest {
    /// Whether the call can change rows.
    pub fn is_write(&self) -> bool {
        matches!(self, Self::Commit { .. })
    }
}

/// A reply of the table service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableReply {
    /// The rows that a read or scan found.
    Rows(Vec<Row>),
    /// The commit took effect.
    Committed,
    /// Some condition did not hold and nothing was written. Holds the current rows of the
    /// conditions that failed; a failed `VersionIs` of an absent row adds none.
    ConditionsFailed(Vec<Row>),
}

/// Why a call to the table service has no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableError {
    /// The service refused the call before doing anything: over its rate, or in an outage.
    NotApplied,
    /// No reply arrived. A commit may have taken effect, or may yet.
    OutcomeUnknown,
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotApplied => write!(f, "the table service refused the call; nothing was done"),
            Self::OutcomeUnknown => write!(f, "no reply from the table service; outcome unknown"),
        }
    }
}

impl std::error::Error for TableError {}
