//! Commits a change through the table service, handling lost replies and concurrent changes.
//!
//! One transaction checks that the head and the edited nodes are unchanged and that the change id is new,
//! and writes them together with a log row. After an unknown outcome the change id is read back first, so a
//! change is never applied twice and never reported as rejected after it took effect.

use std::collections::BTreeMap;

use ringbend_platform::{Condition, Row, RowVersion, TableError, TableReply, TableRequest, Write};
use ringbend_types::SettingsVersion;

use crate::change::{Change, LogEntry};
use crate::key::SettingsError;
use crate::path::NodePath;
use crate::rows;
use crate::tree::{Node, SettingsTree};

/// Number of failed calls after which the committer gives up.
pub const MAX_COMMIT_ATTEMPTS: u32 = 8;

/// The next step to be performed by the caller.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitStep {
    /// Make this call and pass the reply to [`Committer::on_reply`].
    Call(TableRequest),
    /// Wait for the backoff delay of the given attempt, then make the call.
    Backoff {
        /// Number of failed calls so far, at least one.
        attempt: u32,
        /// The call to make after the delay.
        call: TableRequest,
    },
    /// The commit has ended with this outcome.
    Done(CommitOutcome),
}

/// The outcome of a commit, as reported to the operator.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    /// The change is in the log.
    Accepted(LogEntry),
    /// A change with the same id was accepted earlier, with this version.
    AlreadyAccepted(SettingsVersion),
    /// A node has changed since the base version. Nothing was written.
    Conflict {
        /// The conflicting node.
        path: NodePath,
        /// The version that last changed the node.
        version: SettingsVersion,
    },
    /// The change is not valid for the tree. Nothing was written.
    Invalid(SettingsError),
    /// The store rejected all attempts. Nothing was written.
    NotApplied,
    /// The reply to a commit was lost and the store cannot be read. Retry with the same change id.
    OutcomeUnknown,
}

#[derive(Debug, Clone, PartialEq)]
enum State {
    Reading,
    Committing(LogEntry),
}

/// Commits one change. Call [`start`](Self::start), then pass in replies until it is done.
#[derive(Debug, Clone)]
pub struct Committer {
    change: Change,
    tree: SettingsTree,
    state: State,
    failed_calls: u32,
    maybe_applied: bool,
    first_seen: BTreeMap<NodePath, SettingsVersion>,
}

impl Committer {
    /// Creates a committer that validates the change against `tree`, the tree of the local replica. The edited
    /// nodes themselves are read from the store.
    pub fn new(change: Change, tree: SettingsTree) -> Self {
        Self {
            change,
            tree,
            state: State::Reading,
            failed_calls: 0,
            maybe_applied: false,
            first_seen: BTreeMap::new(),
        }
    }

    /// The first step.
    pub fn start(&mut self) -> CommitStep {
        match self.tree.check(&self.change) {
            Ok(()) => CommitStep::Call(self.read()),
            Err(e) => CommitStep::Done(CommitOutcome::Invalid(e)),
        }
    }

    /// The step after a reply.
    pub fn on_reply(&mut self, reply: Result<TableReply, TableError>) -> CommitStep {
        match (reply, self.state.clone()) {
            (Ok(TableReply::Rows(rows)), State::Reading) => self.on_rows(&rows),
            (Ok(TableReply::Committed), State::Committing(entry)) => {
                CommitStep::Done(CommitOutcome::Accepted(entry))
            }
            (Err(e), State::Committing(_)) => {
                self.maybe_applied |= e == TableError::OutcomeUnknown;
                self.retry_read()
            }
            (Ok(TableReply::Rows(_) | TableReply::Page { .. }), State::Committing(_)) => {
                self.maybe_applied = true;
                self.retry_read()
            }
            // Any other reply says nothing certain, so the rows are read again.
            (Ok(_) | Err(_), _) => self.retry_read(),
        }
    }

    fn read(&mut self) -> TableRequest {
        self.state = State::Reading;
        let mut keys = vec![rows::head_key(), rows::change_key(&self.change.id)];
        keys.extend(self.change.paths().iter().map(rows::node_key));
        TableRequest::Read { keys }
    }

    fn retry_read(&mut self) -> CommitStep {
        self.failed_calls += 1;
        if self.failed_calls < MAX_COMMIT_ATTEMPTS {
            return CommitStep::Backoff { attempt: self.failed_calls, call: self.read() };
        }
        CommitStep::Done(if self.maybe_applied {
            CommitOutcome::OutcomeUnknown
        } else {
            CommitOutcome::NotApplied
        })
    }

    fn on_rows(&mut self, found: &[Row]) -> CommitStep {
        if let Some(row) = rows::find(found, &rows::change_key(&self.change.id)) {
            let version = rows::value(row).unwrap_or_default();
            return CommitStep::Done(CommitOutcome::AlreadyAccepted(version));
        }
        let nodes = self.read_nodes(found);
        if let Some(conflict) = self.find_conflict(&nodes) {
            return CommitStep::Done(conflict);
        }
        for (path, (_, node)) in &nodes {
            self.tree.put(path.clone(), node.clone());
        }
        if let Err(e) = self.tree.check(&self.change) {
            return CommitStep::Done(CommitOutcome::Invalid(e));
        }
        CommitStep::Call(self.commit(found, nodes))
    }

    fn read_nodes(&self, found: &[Row]) -> BTreeMap<NodePath, (Option<RowVersion>, Node)> {
        let read = |path: NodePath| {
            let row = rows::find(found, &rows::node_key(&path));
            let node = row.and_then(rows::node).map(|(_, node)| node).unwrap_or_default();
            (path, (row.map(|row| row.version), node))
        };
        self.change.paths().into_iter().map(read).collect()
    }

    /// Returns a conflict if a node has changed since the base version, or since this committer first read it.
    fn find_conflict(
        &mut self,
        nodes: &BTreeMap<NodePath, (Option<RowVersion>, Node)>,
    ) -> Option<CommitOutcome> {
        for (path, (_, node)) in nodes {
            let first = *self.first_seen.entry(path.clone()).or_insert(node.version);
            let base = self.change.base.unwrap_or(first);
            if node.version > base {
                let version = node.version;
                return Some(CommitOutcome::Conflict { path: path.clone(), version });
            }
        }
        None
    }

    fn commit(
        &mut self,
        found: &[Row],
        nodes: BTreeMap<NodePath, (Option<RowVersion>, Node)>,
    ) -> TableRequest {
        let head = rows::find(found, &rows::head_key());
        let version = head.and_then(rows::value::<SettingsVersion>).unwrap_or_default().next();
        let entry = LogEntry { version, change: self.change.clone() };
        let ttl = Some(rows::LOG_TTL_S);
        let change_key = rows::change_key(&self.change.id);
        let mut conditions = vec![
            condition(rows::head_key(), head.map(|row| row.version)),
            Condition::Absent(change_key.clone()),
        ];
        let mut writes: Vec<Write> = vec![
            rows::put(rows::head_key(), &version, None),
            rows::put(rows::log_key(version), &entry, ttl),
            rows::put(change_key, &version, ttl),
        ];
        for (path, (row_version, mut node)) in nodes {
            node.apply_edits(&path, &self.change.edits);
            node.version = version;
            conditions.push(condition(rows::node_key(&path), row_version));
            writes.push(rows::put(rows::node_key(&path), &node, None));
        }
        self.state = State::Committing(entry);
        TableRequest::Commit { conditions, writes }
    }
}

fn condition(key: ringbend_platform::RowKey, version: Option<RowVersion>) -> Condition {
    match version {
        Some(version) => Condition::VersionIs(key, version),
        None => Condition::Absent(key),
    }
}
