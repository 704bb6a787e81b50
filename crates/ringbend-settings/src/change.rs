//! Changes of the tree, as operators send them and as the log keeps them.

use std::sync::Arc;

use ringbend_types::{ChangeId, SettingsVersion};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::key::SettingKey;
use crate::path::NodePath;

/// One override set or removed.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Edit {
    /// The node.
    pub path: NodePath,
    /// The setting.
    pub key: SettingKey,
    /// The new value; `None` removes the override, so that the node inherits.
    pub value: Option<Value>,
}

/// Edits that are accepted together or not at all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The operator's id; sending the same change again is harmless.
    pub id: ChangeId,
    /// Who asks, for the history.
    pub author: Arc<str>,
    /// When given, the change conflicts if an edited node changed after this version.
    #[serde(default)]
    pub base: Option<SettingsVersion>,
    /// What changes.
    pub edits: Vec<Edit>,
}

impl Change {
    /// The edited nodes, each once, in order.
    pub fn paths(&self) -> Vec<NodePath> {
        let mut paths: Vec<NodePath> = self.edits.iter().map(|edit| edit.path.clone()).collect();
        paths.sort();
        paths.dedup();
        paths
    }
}

/// An accepted change in the log.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LogEntry {
    /// The version that the change made.
    pub version: SettingsVersion,
    /// The change.
    pub change: Change,
}
