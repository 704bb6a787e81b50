//! The transactional table service, with conditional commits.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// The key of a row. Rows are ordered by key.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RowKey(Arc<str>);

impl RowKey {
    /// Creates a key from a string.
    pub fn new(text: impl Into<Arc<str>>) -> Self {
        Self(text.into())
    }

    /// The key as a string.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for RowKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The version of a row. Increases with each write and never decreases, not even across a delete.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RowVersion(pub u64);

/// A row returned by a read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The row's key.
    pub key: RowKey,
    /// The version of the row at the time of the read.
    pub version: RowVersion,
    /// The value, JSON by convention.
    pub value: Arc<str>,
}

/// A condition of a commit. Nothing is written unless all conditions hold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Condition {
    /// The row does not exist.
    Absent(RowKey),
    /// The row exists with this version.
    VersionIs(RowKey, RowVersion),
}

impl Condition {
    /// The key of the row that the condition applies to.
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
        /// Time to live in seconds, after which the service may delete the row. `None` keeps the row.
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
    /// Read the rows with these keys. Absent rows are omitted from the reply.
    Read {
        /// The keys to read.
        keys: Vec<RowKey>,
    },
    /// Read rows whose key starts with a prefix, in key order.
    Scan {
        /// The key prefix.
        prefix: Arc<str>,
        /// Start after this key.
        after: Option<RowKey>,
        /// Maximum number of rows in the reply, which may hold fewer before the end of the range.
        limit: usize,
        /// Whether the reply may be a [`TableReply::Page`]. Services of earlier versions ignore this and
        /// reply with [`TableReply::Rows`].
        #[serde(default, skip_serializing_if = "is_false")]
        paged: bool,
    },
    /// Check the conditions and apply the writes in one transaction.
    Commit {
        /// The conditions, all of which must hold.
        conditions: Vec<Condition>,
        /// The writes, which are applied together or not at all.
        writes: Vec<Write>,
    },
}

impl TableRequest {
    /// Whether the request can change rows.
    pub fn is_write(&self) -> bool {
        matches!(self, Self::Commit { .. })
    }
}

fn is_false(value: &bool) -> bool {
    !value
}

/// A reply of the table service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableReply {
    /// The rows found by a read or a scan. Whether there are further ones is not known.
    Rows(Vec<Row>),
    /// The rows found by a scan that accepts pages.
    Page {
        /// The rows, in key order.
        rows: Vec<Row>,
        /// Whether there are further rows after the last one.
        has_more: bool,
    },
    /// The commit took effect.
    Committed,
    /// At least one condition did not hold, and nothing was written. Contains the current rows of the failed
    /// conditions; a `VersionIs` condition that failed on an absent row contributes none.
    ConditionsFailed(Vec<Row>),
}

/// The reason why a call to the table service got no reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum TableError {
    /// The service rejected the call without doing anything, because of its rate limit or an outage.
    NotApplied,
    /// No reply arrived. A commit may have taken effect, or may still do so.
    OutcomeUnknown,
}

impl fmt::Display for TableError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotApplied => {
                write!(f, "the table service rejected the call without applying it")
            }
            Self::OutcomeUnknown => {
                write!(f, "no reply from the table service; the outcome is unknown")
            }
        }
    }
}

impl std::error::Error for TableError {}
