//! The rows of the registry as this instance last read them.

use std::collections::BTreeMap;
use std::sync::Arc;

use ringbend_gateway::RegisteredInstance;

use ringbend_types::Cursor;

use crate::node::Node;
use crate::ports::{InstanceRecord, RegistryBatch};

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

    fn apply(&mut self, batch: RegistryBatch) {
        for change in batch.changes {
            match change.record {
                Some(record) => self.rows.insert(change.key, record),
                None => self.rows.remove(&change.key),
            };
        }
        self.cursor = self.cursor.max(Some(batch.cursor));
    }
}

impl Node {
    /// Replaces the copy of the registry.
    pub(crate) fn replace_registry(&self, batch: RegistryBatch) {
        log::info!(target: "peers", rows = batch.changes.len(); "registry read");
        *self.registry_records.borrow_mut() = RegistryCopy::default();
        self.apply_registry(batch);
    }

    /// Applies changes to the copy of the registry.
    pub(crate) fn apply_registry(&self, batch: RegistryBatch) {
        self.registry_records.borrow_mut().apply(batch);
        let registered = |row: &InstanceRecord| RegisteredInstance {
            address: row.address,
            data_centre: row.data_centre.clone(),
            capacity: row.capacity,
        };
        let rows: Vec<_> = self.registry_records.borrow().iter().map(registered).collect();
        self.membership.borrow_mut().set_rows(self.clock.now(), &rows);
    }
}
