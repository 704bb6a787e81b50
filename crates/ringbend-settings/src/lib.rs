//! The hierarchical settings tree, with the levels fleet, client account, service and request class.
//!
//! A node contains only its overrides and inherits all other values from its parent. The root inherits from
//! the `Default` of each feature. [`Committer`] commits changes through the platform's table service, and
//! [`Syncer`] and [`Replica`] distribute them. Nothing here does I/O.

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
