//! Synchronizes a replica with the store. This takes a single read if nothing has changed, reads the log
//! after few changes, and reads all nodes if the log does not reach back far enough.

use ringbend_platform::{Row, RowKey, TableReply, TableRequest};
use ringbend_types::SettingsVersion;

use crate::replica::{ApplyOutcome, Replica, Snapshot};
use crate::rows;
use crate::tree::SettingsTree;

/// Number of rows per scan.
const PAGE_SIZE: usize = 200;

/// Pages of the log after which all nodes are read instead: 10,000 changes, which is more than the
/// nodes of most trees.
const MAX_LOG_PAGES: u32 = 50;

/// Maximum number of rows of a scan of all nodes, which bounds the memory of an endless scan.
const MAX_SCAN_ROWS: usize = 1_000_000;

/// Maximum size of the rows of a scan of all nodes, in bytes.
const MAX_SCAN_BYTES: usize = 256 << 20;

/// The next step to be performed by the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SyncStep {
    /// Make this call and pass the reply to [`Syncer::on_reply`].
    Call(TableRequest),
    /// The replica is up to date with the state of the store at the first read.
    UpToDate,
    /// The reply was unexpected. The sync has to be retried later.
    Failed,
}

#[derive(Debug, Clone)]
enum State {
    Idle,
    Head,
    Log { head: SettingsVersion, after: SettingsVersion, pages: u32 },
    Nodes { head: SettingsVersion, scan: NodeScan },
}

/// A scan of all nodes, page by page.
#[derive(Debug, Clone, Default)]
struct NodeScan {
    tree: SettingsTree,
    /// Key of the last row read.
    after: Option<RowKey>,
    rows: usize,
    bytes: usize,
}

impl NodeScan {
    fn request(&self) -> TableRequest {
        TableRequest::Scan {
            prefix: rows::NODE_PREFIX.into(),
            after: self.after.clone(),
            limit: PAGE_SIZE,
            paged: true,
        }
    }

    /// Adds a page. Returns whether it continues the scan: its keys must ascend from the last one
    /// read, or a service that repeats pages would be read forever, and the rows must be within the
    /// bounds.
    fn add(&mut self, page: &[Row]) -> bool {
        for row in page {
            self.rows += 1;
            self.bytes += row.key.as_str().len() + row.value.len();
            let is_next = self.after.as_ref().is_none_or(|after| row.key > *after);
            if !is_next || self.rows > MAX_SCAN_ROWS || self.bytes > MAX_SCAN_BYTES {
                return false;
            }
            self.after = Some(row.key.clone());
            if let Some((path, node)) = rows::node(row) {
                self.tree.put(path, node);
            }
        }
        true
    }
}

/// One poll of the store. Call [`start`](Self::start), then pass in replies. After a call without a
/// reply, `start` may be called again later, which continues a scan of the nodes where it was.
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
    /// The first step, or the last call again if it belongs to a scan of the nodes: one that began
    /// again after each failed call would not end if many calls fail. Changes since the first read are
    /// applied from the log by the next sync.
    pub fn start(&mut self) -> SyncStep {
        if let State::Nodes { scan, .. } = &self.state {
            return SyncStep::Call(scan.request());
        }
        self.state = State::Head;
        SyncStep::Call(TableRequest::Read { keys: vec![rows::head_key()] })
    }

    /// Whether the last call belongs to a scan of the nodes, which [`start`](Self::start) continues.
    pub fn is_scanning_nodes(&self) -> bool {
        matches!(self.state, State::Nodes { .. })
    }

    /// The step after a reply.
    pub fn on_reply(&mut self, replica: &mut Replica, reply: &TableReply) -> SyncStep {
        let (found, has_more) = match reply {
            TableReply::Rows(rows) => (rows, None),
            TableReply::Page { rows, has_more } => (rows, Some(*has_more)),
            TableReply::Committed | TableReply::ConditionsFailed(_) => return SyncStep::Failed,
        };
        match std::mem::replace(&mut self.state, State::Idle) {
            State::Idle => SyncStep::Failed,
            State::Head => self.on_head(replica, found),
            State::Log { head, after, pages } => self.on_log(replica, head, after, pages, found),
            State::Nodes { head, scan } => self.on_nodes(replica, head, scan, found, has_more),
        }
    }

    fn on_head(&mut self, replica: &Replica, found: &[Row]) -> SyncStep {
        let head = found.first().and_then(rows::value::<SettingsVersion>).unwrap_or_default();
        if head <= replica.version() {
            return SyncStep::UpToDate;
        }
        self.scan_log(replica.version(), head, 1)
    }

    fn scan_log(&mut self, after: SettingsVersion, head: SettingsVersion, pages: u32) -> SyncStep {
        self.state = State::Log { head, after, pages };
        SyncStep::Call(TableRequest::Scan {
            prefix: rows::LOG_PREFIX.into(),
            after: Some(rows::log_key(after)),
            limit: PAGE_SIZE,
            paged: true,
        })
    }

    fn on_log(
        &mut self,
        replica: &mut Replica,
        head: SettingsVersion,
        after: SettingsVersion,
        pages: u32,
        found: &[Row],
    ) -> SyncStep {
        let gap =
            found.iter().filter_map(rows::entry).any(|e| replica.apply(&e) == ApplyOutcome::Gap);
        if replica.version() >= head {
            return SyncStep::UpToDate;
        }
        // A page without the next entry, or with one that cannot be decoded, would be read forever.
        let advanced = replica.version() > after;
        if gap || !advanced || pages >= MAX_LOG_PAGES {
            return self.scan_nodes(head, NodeScan::default());
        }
        self.scan_log(replica.version(), head, pages + 1)
    }

    fn scan_nodes(&mut self, head: SettingsVersion, scan: NodeScan) -> SyncStep {
        let request = scan.request();
        self.state = State::Nodes { head, scan };
        SyncStep::Call(request)
    }

    /// Nodes that were written during the scan have later versions. The next poll applies the log entries up
    /// to these versions and leaves such nodes unchanged.
    fn on_nodes(
        &mut self,
        replica: &mut Replica,
        head: SettingsVersion,
        mut scan: NodeScan,
        found: &[Row],
        has_more: Option<bool>,
    ) -> SyncStep {
        // A page without a row does not advance the scan.
        if !scan.add(found) || (found.is_empty() && has_more == Some(true)) {
            return SyncStep::Failed;
        }
        // A page may hold fewer rows than requested, so without a statement of the service only an
        // empty one is the end.
        if has_more.unwrap_or(!found.is_empty()) {
            return self.scan_nodes(head, scan);
        }
        replica.load(Snapshot { version: head, tree: scan.tree });
        SyncStep::UpToDate
    }
}
