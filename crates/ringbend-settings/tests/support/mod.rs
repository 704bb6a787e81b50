//! Builders, and functions that run commits and syncs without delays, for the settings tests.

#![allow(dead_code)]

use ringbend_models::{TableFaults, TableModel, TableRates};
use ringbend_platform::{TableError, TableReply, TableRequest};
use ringbend_settings::{
    Change, CommitOutcome, CommitStep, Committer, Edit, NodePath, Replica, SyncStep, Syncer,
};
use ringbend_types::Timestamp;
use serde_json::Value;

pub(crate) fn path(text: &str) -> NodePath {
    text.parse().unwrap()
}

pub(crate) fn edit(at: &str, key: &str, value: Value) -> Edit {
    Edit { path: path(at), key: key.parse().unwrap(), value: Some(value) }
}

pub(crate) fn change(id: &str, edits: Vec<Edit>) -> Change {
    Change { id: id.parse().unwrap(), author: "test".into(), base: None, edits }
}

/// A change of a single number, for tests that only check which change took effect.
pub(crate) fn set(id: &str, at: &str, weight: u32) -> Change {
    change(id, vec![edit(at, "limits.weight", weight.into())])
}

pub(crate) fn table() -> TableModel {
    TableModel::new(TableRates { writes_per_s: u32::MAX, reads_per_s: u32::MAX })
}

pub(crate) fn faulty_table(faults: TableFaults) -> TableModel {
    let mut table = table();
    table.faults = faults;
    table
}

pub(crate) fn call(
    table: &mut TableModel,
    request: &TableRequest,
) -> Result<TableReply, TableError> {
    table.call(Timestamp(0), request)
}

/// Runs a committer until it is done.
pub(crate) fn commit(table: &mut TableModel, change: Change, replica: &Replica) -> CommitOutcome {
    let mut committer = Committer::new(change, replica.tree().clone());
    let mut step = committer.start();
    loop {
        step = match step {
            CommitStep::Done(outcome) => return outcome,
            CommitStep::Call(request) | CommitStep::Backoff { call: request, .. } => {
                committer.on_reply(call(table, &request))
            }
        };
    }
}

/// Synchronizes a replica with the table.
pub(crate) fn sync(table: &mut TableModel, replica: &mut Replica) {
    let mut syncer = Syncer::default();
    let mut step = syncer.start();
    while let SyncStep::Call(request) = step {
        let reply = call(table, &request).unwrap();
        step = syncer.on_reply(replica, &reply);
    }
    assert_eq!(step, SyncStep::UpToDate);
}
