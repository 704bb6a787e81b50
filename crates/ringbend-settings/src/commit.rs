//! Commits one change through the table service, over lost answers and crossing changes.
//!
//! One transaction checks the head, the edited nodes and that the change id is new, and writes
//! them together with a log row. After an unknown outcome the change id is read back first, so a
//! change never lands twice and is never reported refused when it took effect.

use std::collections::BTreeMap;

use ringbend_platform::{Condition, Row, RowVersion, TableError, TableReply, TableRequest, Write};
use ringbend_types::SettingsVersion;

use crate::change::{Change, LogEntry};
use crate::key::SettingsError;
use crate::path::NodePath;
use crate::rows;
use crate::tree::{Node, SettingsTree};

/// Calls that may fail before the committer gives up.
pub const MAX_COMMIT_ATTEMPTS: u32 = 8;

/// What the driver does next.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitStep {
    /// Make this call and pass the reply to [`Committer::on_reply`].
    Call(TableRequest),
    /// Wait for a backoff of the given attempt, then make the call.
    Backoff {
        /// Counts the failed calls from one.
        attempt: u32,
        /// The call to make then.
        call: TableRequest,
    },
    /// The end.
    Done(CommitOutcome),
}

/// What the operator is told.
#[derive(Debug, Clone, PartialEq)]
pub enum CommitOutcome {
    /// The change is in the log.
    Accepted(LogEntry),
    /// The same change id was accepted earlier.
    AlreadyAccepted(SettingsVersion),
    /// A node changed since the base; nothing was written.
    Conflict {
        /// The node.
        path: NodePath,
        /// The version that changed it last.
        version: SettingsVersion,
    },
    /// The change does not fit the tree; nothing was written.
    Invalid(SettingsError),
    /// The store refused every try; nothing was written.
    NotApplied,
    /// A commit's answer was lost and the store cannot be asked. Ask again with the change id.
    OutcomeUnknown,
}

#[derive(Debug, Clone, PartialEq)]
enum State {
    Reading,
    Committing(LogEntry),
}

/// Commits one change. Create, [`start`](Self::start), then feed replies until done.
#[derive(Debug, Clone)]
pub struct Committer {
    change: Change,
    tree: SettingsTree,
    state: State,
    tries: u32,
    maybe_applied: bool,
    first_seen: BTreeMap<NodePath, SettingsVersion>,
}

impl Committer {
    /// A committer that checks the change against `tree`, the replica's, as the nodes around the
    /// edited ones; the edited nodes themselves are read from the store.
    pub fn new(change: Change, tree: SettingsTree) -> Self {
        Self {
            change,
            tree,
            state: State::Reading,
            tries: 0,
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
            (Ok(TableReply::Rows(rows)), _) => self.on_rows(&rows),
            (Ok(TableReply::Committed), State::Committing(entry)) => {
                CommitStep::Done(CommitOutcome::Accepted(entry))
            }
            (Err(e), State::Committing(_)) => {
                self.maybe_applied |= e == TableError::OutcomeUnknown;
                self.read_again()
            }
            // Whatever else holds now, the rows read next tell.
            (Ok(_) | Err(_), _) => self.read_again(),
        }
    }

    fn read(&mut self) -> TableRequest {
        self.state = State::Reading;
        let mut keys = vec![rows::head_key(), rows::change_key(&self.change.id)];
        keys.extend(self.change.paths().iter().map(rows::node_key));
        TableRequest::Read { keys }
    }

    fn read_again(&mut self) -> CommitStep {
        self.tries += 1;
        if self.tries < MAX_COMMIT_ATTEMPTS {
            return CommitStep::Backoff { attempt: self.tries, call: self.read() };
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
        if let Some(conflict) = self.conflict(&nodes) {
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

    /// A node that moved since the named base, or since this committer first read it.
    fn conflict(
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
            node.edit(&path, &self.change.edits);
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
