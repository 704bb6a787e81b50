//! The inherited settings tree: fleet, client account, service, request class.
//!
//! A node names only what it overrides; everything else comes from its parent, and at the top
//! from each feature's `Default`. Changes are committed through the platform's table service by
//! [`Committer`] and spread by [`Syncer`] and [`Replica`]. All of it is free of I/O.

mod change;
mod commit;
pub mod configs;
mod effective;
mod key;
mod path;
mod replica;
mod rows;
mod sync;
mod tree;

pub use change::{Change, Edit, LogEntry};
pub use commit::{CommitOutcome, CommitStep, Committer, MAX_COMMIT_ATTEMPTS};
pub use effective::{EffectiveSettings, FEATURES, RangeError, schema};
pub use key::{SettingKey, SettingsError, closest_match, known_keys};
pub use path::{NodePath, ParseNodePathError};
pub use replica::{ApplyOutcome, Replica, Snapshot};
pub use sync::{SyncStep, Syncer};
pub use tree::{DiffLine, Explanation, Node, SettingsTree};
