//! Brings a replica up to the store: one read when nothing changed, the log when little did, the
//! nodes when the log no longer reaches back.

use ringbend_platform::{Row, RowKey, TableReply, TableRequest};
use ringbend_types::SettingsVersion;

use crate::replica::{ApplyOutcome, Replica, Snapshot};
use crate::rows;
use crate::tree::SettingsTree;

/// Rows read per scan.
const PAGE: usize = 200;

/// What the driver does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SyncStep {
    /// Make this call and pass the reply to [`Syncer::on_reply`].
    Call(TableRequest),
    /// The replica has what the store had at the first read.
    UpToDate,
    /// The reply made no sense here; poll again later.
    Failed,
}

#[derive(Debug, Clone)]
enum State {
    Idle,
    Head,
    Log { head: SettingsVersion },
    Nodes { head: SettingsVersion, tree: SettingsTree },
}

/// One poll of the store. [`start`](Self::start), then feed replies.
#[derive(Debug, Clone)]
pub struct Syncer {
    state: State,
}

impl Default for Syncer {
    fn default() -> Self {
        Self { state: State::Idle }
    }
}

impl Syncer {
    /// The first step.
    pub fn start(&mut self) -> SyncStep {
        self.state = State::Head;
        SyncStep::Call(TableRequest::Read { keys: vec![rows::head_key()] })
    }

    /// The step after a reply.
    pub fn on_reply(&mut self, replica: &mut Replica, reply: &TableReply) -> SyncStep {
        let TableReply::Rows(found) = reply else { return SyncStep::Failed };
        match std::mem::replace(&mut self.state, State::Idle) {
            State::Idle => SyncStep::Failed,
            State::Head => self.on_head(replica, found),
            State::Log { head } => self.on_log(replica, head, found),
            State::Nodes { head, tree } => self.on_nodes(replica, head, tree, found),
        }
    }

    fn on_head(&mut self, replica: &Replica, found: &[Row]) -> SyncStep {
        let head = found.first().and_then(rows::value::<SettingsVersion>).unwrap_or_default();
        if head <= replica.version() {
            return SyncStep::UpToDate;
        }
        self.scan_log(replica.version(), head)
    }

    fn scan_log(&mut self, after: SettingsVersion, head: SettingsVersion) -> SyncStep {
        self.state = State::Log { head };
        SyncStep::Call(TableRequest::Scan {
            prefix: rows::LOG_PREFIX.into(),
            after: Some(rows::log_key(after)),
            limit: PAGE,
        })
    }

    fn on_log(&mut self, replica: &mut Replica, head: SettingsVersion, found: &[Row]) -> SyncStep {
        let gap =
            found.iter().filter_map(rows::entry).any(|e| replica.apply(&e) == ApplyOutcome::Gap);
        if replica.version() >= head {
            return SyncStep::UpToDate;
        }
        if gap || found.is_empty() {
            return self.scan_nodes(None, head, SettingsTree::default());
        }
        self.scan_log(replica.version(), head)
    }

    fn scan_nodes(
        &mut self,
        after: Option<RowKey>,
        head: SettingsVersion,
        tree: SettingsTree,
    ) -> SyncStep {
        self.state = State::Nodes { head, tree };
        let prefix = rows::NODE_PREFIX.into();
        SyncStep::Call(TableRequest::Scan { prefix, after, limit: PAGE })
    }

    /// Nodes written during the scan carry later versions; the log entries up to them are applied
    /// by the next poll, which leaves such nodes as they are.
    fn on_nodes(
        &mut self,
        replica: &mut Replica,
        head: SettingsVersion,
        mut tree: SettingsTree,
        found: &[Row],
    ) -> SyncStep {
        for (path, node) in found.iter().filter_map(rows::node) {
            tree.put(path, node);
        }
        match found.last() {
            Some(last) if found.len() == PAGE => {
                self.scan_nodes(Some(last.key.clone()), head, tree)
            }
            _ => {
                replica.load(Snapshot { version: head, tree });
                SyncStep::UpToDate
            }
        }
    }
}
