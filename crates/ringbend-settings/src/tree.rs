//! The settings tree: overrides per node, inheritance, explanations and diffs.

use std::collections::BTreeMap;

use ringbend_types::SettingsVersion;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::change::{Change, Edit, LogEntry};
use crate::effective::EffectiveSettings;
use crate::key::{SettingKey, SettingsError, known_keys};
use crate::path::NodePath;

/// A node with its overrides.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// The version that last edited the node.
    pub version: SettingsVersion,
    /// The overridden settings and their values.
    pub overrides: BTreeMap<SettingKey, Value>,
}

impl Node {
    /// Applies those edits that refer to this node.
    pub(crate) fn apply_edits(&mut self, path: &NodePath, edits: &[Edit]) {
        for edit in edits.iter().filter(|edit| edit.path == *path) {
            match &edit.value {
                Some(value) => self.overrides.insert(edit.key.clone(), value.clone()),
                None => self.overrides.remove(&edit.key),
            };
        }
    }
}

/// The value of a setting and its origin.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// The setting.
    pub key: SettingKey,
    /// The value at the requested node.
    pub value: Value,
    /// The node that set the value, or `None` for the built-in default.
    pub from: Option<NodePath>,
}

/// A setting that differs between two nodes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DiffLine {
    /// The setting.
    pub key: SettingKey,
    /// Its value at the left node.
    pub left: Value,
    /// Its value at the right node.
    pub right: Value,
}

/// The nodes of the settings tree.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct SettingsTree {
    nodes: BTreeMap<NodePath, Node>,
}

impl SettingsTree {
    /// The node at `path`, if it has or ever had overrides.
    pub fn node(&self, path: &NodePath) -> Option<&Node> {
        self.nodes.get(path)
    }

    /// All nodes, ordered by path.
    pub fn nodes(&self) -> impl Iterator<Item = (&NodePath, &Node)> {
        self.nodes.iter()
    }

    pub(crate) fn put(&mut self, path: NodePath, node: Node) {
        self.nodes.insert(path, node);
    }

    /// Applies a log entry to each edited node that does not contain it yet.
    pub(crate) fn apply(&mut self, entry: &LogEntry) {
        for path in entry.change.paths() {
            let node = self.nodes.entry(path.clone()).or_default();
            if node.version < entry.version {
                node.apply_edits(&path, &entry.change.edits);
                node.version = entry.version;
            }
        }
    }

    /// The effective settings at `path`. Overrides were validated when they were accepted. One that can no
    /// longer be parsed, after an upgrade, falls back to the defaults.
    pub fn effective(&self, path: &NodePath) -> EffectiveSettings {
        serde_json::from_value(self.merged(path)).unwrap_or_default()
    }

    /// All settings at `path`, with the nodes that set them.
    pub fn explain(&self, path: &NodePath) -> Vec<Explanation> {
        let merged = self.merged(path);
        let keys = known_keys().iter().filter_map(|key| key.parse::<SettingKey>().ok());
        keys.map(|key| {
            let (feature, name) = key.parts();
            let value = merged[feature][name].clone();
            let from = self.origin(path, &key);
            Explanation { key, value, from }
        })
        .collect()
    }

    /// The settings that differ between two nodes.
    pub fn diff(&self, left: &NodePath, right: &NodePath) -> Vec<DiffLine> {
        let pairs = self.explain(left).into_iter().zip(self.explain(right));
        pairs
            .filter(|(left, right)| left.value != right.value)
            .map(|(left, right)| DiffLine { key: left.key, left: left.value, right: right.value })
            .collect()
    }

    /// Validates the tree that would result from a change.
    ///
    /// # Errors
    ///
    /// Returns the first invalid edit, with its path, its value and what is allowed.
    pub fn check(&self, change: &Change) -> Result<(), SettingsError> {
        if change.edits.is_empty() {
            return Err(SettingsError::Empty);
        }
        let mut after = self.clone();
        for path in change.paths() {
            let node = after.nodes.entry(path.clone()).or_default();
            node.apply_edits(&path, &change.edits);
        }
        change.edits.iter().try_for_each(check_type)?;
        let edited = change.paths();
        let affected = after.nodes.keys().filter(|node| edited.iter().any(|e| e.covers(node)));
        for path in affected {
            let range = after.effective(path).check();
            range.map_err(|range| SettingsError::OutOfRange { path: path.clone(), range })?;
        }
        Ok(())
    }

    fn origin(&self, path: &NodePath, key: &SettingKey) -> Option<NodePath> {
        let sets = |node: &NodePath| {
            self.nodes.get(node).is_some_and(|node| node.overrides.contains_key(key))
        };
        path.path_from_root().into_iter().rfind(sets)
    }

    fn merged(&self, path: &NodePath) -> Value {
        let mut merged = serde_json::to_value(EffectiveSettings::default()).unwrap_or(Value::Null);
        for node in path.path_from_root().iter().filter_map(|path| self.nodes.get(path)) {
            for (key, value) in &node.overrides {
                let (feature, name) = key.parts();
                merged[feature][name] = value.clone();
            }
        }
        merged
    }
}

/// Checks that the value of an edit has the type of the setting.
fn check_type(edit: &Edit) -> Result<(), SettingsError> {
    let Some(value) = &edit.value else { return Ok(()) };
    let (feature, name) = edit.key.parts();
    let mut merged = serde_json::to_value(EffectiveSettings::default()).unwrap_or(Value::Null);
    merged[feature][name] = value.clone();
    match serde_json::from_value::<EffectiveSettings>(merged) {
        Ok(_) => Ok(()),
        Err(e) => Err(SettingsError::BadValue {
            path: edit.path.clone(),
            key: edit.key.clone(),
            value: value.to_string().into(),
            expected: e.to_string().into(),
        }),
    }
}
