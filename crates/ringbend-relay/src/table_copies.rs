//! What the copies of the two watched tables have in common: proofs of their age, outages of the
//! store, and which instance reads it.

use std::time::Duration;

use ringbend_gateway::{OutageUpdate, WatchedTable};
use ringbend_types::Timestamp;

use crate::node::Node;

/// Records that a read by this instance proved its copy of a table.
pub(crate) fn record_own_proof(node: &Node, table: WatchedTable, at: Timestamp) {
    node.readers.borrow_mut().proved_by(table, Some(node.incarnation()), at);
}

/// The time since the copy of a table was last proved current, or since this instance started.
pub(crate) fn copy_age(node: &Node, table: WatchedTable) -> Duration {
    let proved_at = node.readers.borrow().proved_at(table);
    node.clock.now().since(proved_at.unwrap_or(node.clock.started_at()))
}

pub(crate) fn copy_age_ms(node: &Node, table: WatchedTable) -> u64 {
    copy_age(node, table).as_millis() as u64
}

/// Keeps endpoints whose rows expired in an outage of the store for a while, as their rows return.
pub(crate) fn apply_outage_update(node: &Node, update: OutageUpdate) {
    let now = node.clock.now();
    match update {
        OutageUpdate::Unchanged => {}
        OutageUpdate::Ended(at) => {
            let ago_ms = now.since(at).as_millis() as u64;
            log::info!(target: "store", ago_ms; "store outage ended");
            node.directory.borrow_mut().store_recovered(at);
        }
        OutageUpdate::Refuted => {
            log::info!(target: "store", "the store was available to other instances");
            node.directory.borrow_mut().outage_refuted(now);
            node.endpoints_changed.notify_waiters();
        }
    }
}

/// Stops reading if this instance cannot reach the store and another instance has proved the copy current
/// since. This instance must receive that reader's updates at once, not only after its own next
/// call to the store.
pub(crate) fn leave_reading_to_others(node: &Node) {
    if node.readers.borrow_mut().yield_to_others() {
        log::info!(target: "store", reads = false; "leaving reads to instances that reach the store");
        node.stopped_reading.notify_waiters();
    }
}
