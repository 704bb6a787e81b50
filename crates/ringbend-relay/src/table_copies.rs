//! What the copies of the two watched tables have in common: what a watch requires of them, proofs of
//! their age, outages of the store, and which instance reads it.

use std::time::Duration;

use ringbend_gateway::{OutageUpdate, Proof, WatchedTable};
use ringbend_types::{Cursor, Timestamp};

use crate::node::Node;

/// The source of the next update.
pub(crate) enum ReadFrom {
    /// The store, called with this wait for a change.
    Store(Duration),
    /// Other instances, one of which has a newer copy.
    Peers,
}

/// The table-specific part of a watch.
pub(crate) trait TableCopy<Item, Change> {
    /// The table's name in logs.
    const NAME: &'static str;

    /// How long to wait for further changes after one, before the store is called again.
    const BATCH_DELAY: Duration;

    /// Whether this watch detects store outages on behalf of the others.
    const DETECTS_OUTAGES: bool;

    /// Whether the rows at the beginning of the table are enough, so that changes are followed even
    /// if the rows behind them cannot be read.
    const FOLLOWS_PARTIAL_LIST: bool;

    /// Replaces the copy.
    fn replace(&self, node: &Node, items: Vec<Item>, cursor: Cursor);

    /// Uses the rows of a list that could not be read to its end. What is not among them is kept, and
    /// other instances do not take the copy for a current one.
    fn use_partial(&self, node: &Node, items: Vec<Item>, cursor: Cursor);

    /// Applies changes up to `cursor`.
    fn apply(&self, node: &Node, items: Vec<Change>, cursor: Cursor);

    /// Waits until an update is due.
    fn next_read(&self, node: &Node) -> impl Future<Output = ReadFrom>;

    /// Waits until another instance is known to have newer rows.
    fn wait_for_newer(&self, node: &Node) -> impl Future<Output = ()>;

    /// Fetches newer rows from other instances. Returns false if there are some that could not be
    /// fetched in time.
    fn fetch_newer(&self, node: &Node) -> impl Future<Output = bool>;

    /// Fetches the first copy from another instance and returns its position; `None` if no instance
    /// has one.
    fn first_copy(&self, node: &Node) -> impl Future<Output = Option<Cursor>>;

    /// Fetches the first copy from another instance if one has it or gets it within `wait`, and
    /// returns its position.
    fn first_copy_within(
        &self,
        node: &Node,
        wait: Duration,
    ) -> impl Future<Output = Option<Cursor>>;

    /// The position up to which changes are known, from the store or from other instances.
    fn known_cursor(&self, node: &Node) -> Cursor;

    /// Records that a required row could not be decoded.
    fn record_unreadable(&self, node: &Node);

    /// Waits until other reads show that a call for changes after `from` should have been answered.
    async fn wait_until_overtaken(&self, node: &Node, from: Cursor);

    /// Records that the copy was current when the store's history had reached `cursor`. `paired`
    /// means that the call did not wait, so that its times relate the store's clock to this
    /// instance's.
    fn prove(&self, node: &Node, proof: Proof, cursor: Cursor, paired: bool);
}

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
