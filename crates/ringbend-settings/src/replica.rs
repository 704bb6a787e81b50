//! One instance's replica of the settings tree. Its version never decreases.

use std::collections::VecDeque;

use ringbend_types::SettingsVersion;
use serde::{Deserialize, Serialize};

use crate::change::LogEntry;
use crate::tree::SettingsTree;

/// Maximum number of log entries kept for peers and for the history.
const MAX_LOG_ENTRIES: usize = 512;

/// The result of applying a log entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The entry is now in force.
    Applied,
    /// The entry had already been applied.
    AlreadyApplied,
    /// Earlier entries are missing. The log or a snapshot has to be read.
    Gap,
}

/// The complete tree at one version.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The version.
    pub version: SettingsVersion,
    /// The tree.
    pub tree: SettingsTree,
}

/// The tree in force at this instance, along with the latest log entries.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    current: Snapshot,
    entries: VecDeque<LogEntry>,
}

impl Replica {
    /// The version in force.
    pub fn version(&self) -> SettingsVersion {
        self.current.version
    }

    /// The tree in force.
    pub fn tree(&self) -> &SettingsTree {
        &self.current.tree
    }

    /// The version and tree in force.
    pub fn snapshot(&self) -> &Snapshot {
        &self.current
    }

    /// Applies the next entry of the log.
    pub fn apply(&mut self, entry: &LogEntry) -> ApplyOutcome {
        if entry.version <= self.current.version {
            return ApplyOutcome::AlreadyApplied;
        }
        if entry.version > self.current.version.next() {
            return ApplyOutcome::Gap;
        }
        self.current.tree.apply(entry);
        self.current.version = entry.version;
        self.entries.push_back(entry.clone());
        if self.entries.len() > MAX_LOG_ENTRIES {
            self.entries.pop_front();
        }
        ApplyOutcome::Applied
    }

    /// Replaces the tree by a snapshot if the snapshot is newer. Returns whether it was.
    pub fn load(&mut self, snapshot: Snapshot) -> bool {
        if snapshot.version <= self.current.version {
            return false;
        }
        self.current = snapshot;
        self.entries.clear();
        true
    }

    /// The log entries after `version`, or `None` if some of them are no longer kept.
    pub fn entries_after(&self, version: SettingsVersion) -> Option<Vec<LogEntry>> {
        if version >= self.current.version {
            return Some(Vec::new());
        }
        let first = self.entries.front()?;
        if first.version > version.next() {
            return None;
        }
        Some(self.entries.iter().filter(|e| e.version > version).cloned().collect())
    }

    /// The latest log entries, newest first.
    pub fn history(&self, max: usize) -> Vec<LogEntry> {
        self.entries.iter().rev().take(max).cloned().collect()
    }
}
