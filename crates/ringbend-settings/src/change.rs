//! Changes of the settings tree, as sent by operators and as stored in the log.

use std::sync::Arc;

use ringbend_types::{ChangeId, SettingsVersion};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::key::SettingKey;
use crate::path::NodePath;

/// Sets or removes one override.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The node that is edited.
    pub path: NodePath,
    /// The setting that is edited.
    pub key: SettingKey,
    /// The new value. `None` removes the override, so that the node inherits the value again.
    pub value: Option<Value>,
}

/// A set of edits that are accepted together or not at all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The operator's id of the change, which makes it idempotent.
    pub id: ChangeId,
    /// The author, for the history.
    pub author: Arc<str>,
    /// If set, the change conflicts when an edited node has changed after this version.
    #[serde(default)]
    pub base: Option<SettingsVersion>,
    /// The edits.
    pub edits: Vec<Edit>,
}

impl Change {
    /// The paths of the edited nodes, sorted and without duplicates.
    pub fn paths(&self) -> Vec<NodePath> {
        let mut paths: Vec<NodePath> = self.edits.iter().map(|edit| edit.path.clone()).collect();
        paths.sort();
        paths.dedup();
        paths
    }
}

/// An accepted change, as stored in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The version created by the change.
    pub version: SettingsVersion,
    /// The change.
    pub change: Change,
}
