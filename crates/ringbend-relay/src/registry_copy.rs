//! The rows of the registry as this instance last read them.

use std::collections::BTreeMap;
use std::sync::Arc;

use ringbend_gateway::RegisteredInstance;

use ringbend_types::Cursor;

use crate::listing::{InvalidRows, Listed};
use crate::node::Node;
use crate::ports::{InstanceRecord, RegistryBatch, RegistryChange};

/// The table's name in logs.
pub(crate) const REGISTRY: &str = "registry";

/// A copy of the registry. Some rows may belong to instances that no longer run.
#[derive(Debug, Default)]
pub(crate) struct RegistryCopy {
    rows: BTreeMap<Arc<str>, InstanceRecord>,
    cursor: Option<Cursor>,
}

impl RegistryCopy {
    /// The position up to which changes are known; `None` before the first read.
    pub(crate) fn cursor(&self) -> Option<Cursor> {
        self.cursor
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &InstanceRecord> {
        self.rows.values()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn apply(&mut self, changes: Vec<RegistryChange>, cursor: Cursor) {
        for change in changes {
            match change.record {
                Some(record) => self.rows.insert(change.key, record),
                None => self.rows.remove(&change.key),
            };
        }
        self.cursor = self.cursor.max(Some(cursor));
    }
}

impl Node {
    /// Replaces the copy of the registry. Rows that were not read stay as they are.
    pub(crate) fn replace_registry(&self, listed: Listed<RegistryChange>) {
        log::info!(target: "peers", rows = listed.items.len(), pages = listed.pages; "registry read");
        listed.invalid_rows.log(REGISTRY);
        {
            let mut copy = self.registry_records.borrow_mut();
            copy.cursor = None;
            let is_unread = |key: &str| listed.read_to.as_ref().is_some_and(|to| key > to.as_str());
            copy.rows.retain(|key, _| is_unread(key));
        }
        let is_partial = listed.read_to.is_some();
        self.apply_registry_changes(listed.items, listed.cursor);
        if is_partial {
            // The registry is read again before its changes are.
            self.registry_records.borrow_mut().cursor = None;
        }
    }

    /// Applies changes to the copy of the registry.
    pub(crate) fn apply_registry(&self, batch: RegistryBatch) {
        InvalidRows::from(batch.invalid_rows).log(REGISTRY);
        self.apply_registry_changes(batch.changes, batch.cursor);
    }

    fn apply_registry_changes(&self, changes: Vec<RegistryChange>, cursor: Cursor) {
        self.registry_records.borrow_mut().apply(changes, cursor);
        let registered = |row: &InstanceRecord| RegisteredInstance {
            address: row.address,
            data_centre: row.data_centre.clone(),
            capacity: row.capacity,
        };
        let rows: Vec<_> = self.registry_records.borrow().iter().map(registered).collect();
        self.membership.borrow_mut().set_rows(self.clock.now(), &rows);
    }
}
