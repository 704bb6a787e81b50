//! Layout of the settings in the table service.
//!
//! | row | value |
//! |---|---|
//! | `settings/head` | the version in force |
//! | `settings/node/PATH` | a [`Node`] as JSON |
//! | `settings/log/VERSION` | a [`LogEntry`] as JSON, kept for [`LOG_TTL_S`] |
//! | `settings/change/ID` | the version created by the change, kept for [`LOG_TTL_S`] |

use std::sync::Arc;

use ringbend_platform::{Row, RowKey, Write};
use ringbend_types::{ChangeId, SettingsVersion};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::change::LogEntry;
use crate::path::NodePath;
use crate::tree::Node;

/// Time to live of log and change rows, in seconds (30 days).
pub(crate) const LOG_TTL_S: u64 = 30 * 24 * 3600;

pub(crate) const NODE_PREFIX: &str = "settings/node";
pub(crate) const LOG_PREFIX: &str = "settings/log/";

pub(crate) fn head_key() -> RowKey {
    RowKey::new("settings/head")
}

pub(crate) fn node_key(path: &NodePath) -> RowKey {
    RowKey::new(format!("{NODE_PREFIX}{path}"))
}

pub(crate) fn log_key(version: SettingsVersion) -> RowKey {
    RowKey::new(format!("{LOG_PREFIX}{:020}", version.0))
}

pub(crate) fn change_key(id: &ChangeId) -> RowKey {
    RowKey::new(format!("settings/change/{id}"))
}

pub(crate) fn put<T: Serialize>(key: RowKey, value: &T, ttl_s: Option<u64>) -> Write {
    let value: Arc<str> = serde_json::to_string(value).unwrap_or_default().into();
    Write::Put { key, value, ttl_s }
}

pub(crate) fn find<'a>(rows: &'a [Row], key: &RowKey) -> Option<&'a Row> {
    rows.iter().find(|row| row.key == *key)
}

/// The value of a row, or `None` if it is malformed, as a row of another release may be.
pub(crate) fn value<T: DeserializeOwned>(row: &Row) -> Option<T> {
    serde_json::from_str(&row.value).ok()
}

pub(crate) fn node(row: &Row) -> Option<(NodePath, Node)> {
    let path = row.key.as_str().strip_prefix(NODE_PREFIX)?.parse().ok()?;
    Some((path, value(row)?))
}

pub(crate) fn entry(row: &Row) -> Option<LogEntry> {
    value(row)
}
