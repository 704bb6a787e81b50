//! The copy of the endpoint table.

use std::time::Duration;

use ringbend_gateway::{Endpoint, EndpointChange, Proof, WatchedTable};
use ringbend_types::Cursor;
use ringbend_wire::{EndpointChanges, encode_endpoint_change};

use crate::node::Node;
use crate::peer_copies;
use crate::table_copies::{ReadFrom, TableCopy, record_own_proof};

/// The wait requested from the store by the reader of the endpoints. Responses about the
/// configuration prove this table current as well, as long as no table has changed. An unavailable
/// store is noticed by the watch of the configuration, and so is a lost response.
const ENDPOINTS_POLL_TIMEOUT: Duration = Duration::from_millis(9_000);

/// How long a response about the endpoints may arrive after one about another table: a slow store
/// takes up to a third of a second.
const OVERTAKEN_GRACE: Duration = Duration::from_millis(350);

/// Maximum number of endpoint changes sent to others in one datagram; if there are more, they fetch
/// the table.
const MAX_GOSSIPED_CHANGES: usize = 12;

/// The copy of the endpoint table.
pub(crate) struct EndpointCopy;

/// Applies endpoint changes up to `cursor`, from the store or from gossip.
pub(crate) fn apply_endpoints(node: &Node, changes: Vec<EndpointChange>, cursor: Cursor) {
    let now = node.clock.now();
    for change in changes {
        EndpointCopy::log_change(&change);
        let ended = node.directory.borrow_mut().apply(now, change);
        node.handle_ended_endpoints(&ended);
    }
    node.endpoints_cursor.set(node.endpoints_cursor.get().max(cursor));
    node.endpoints_changed.notify_waiters();
    let directory = node.directory.borrow();
    node.health.borrow_mut().retain(|id| directory.get(id).is_some());
    node.reachability.borrow_mut().retain(|address| directory.by_address(address).is_some());
}

impl EndpointCopy {
    fn log_change(change: &EndpointChange) {
        match change {
            EndpointChange::Present(e) => {
                let (id, service, leaving) = (&e.id, &e.service, e.leaving);
                let cold_ms = e.cold_left.as_millis() as u64;
                log::info!(target: "endpoints", endpoint:% = id, service:%, leaving, cold_ms; "endpoint registered");
            }
            EndpointChange::Gone(id) => {
                log::info!(target: "endpoints", endpoint:% = id; "endpoint removed");
            }
            EndpointChange::Unreadable(id) => {
                log::info!(target: "endpoints", endpoint:% = id; "endpoint row unreadable");
            }
        }
    }
}

impl TableCopy<Endpoint, EndpointChange> for EndpointCopy {
    const NAME: &'static str = "endpoints";

    /// Half of the time within which a leaving endpoint must be known. A fleet that starts, or
    /// whose endpoints come and go, changes many times per second, and each response costs a call
    /// per instance.
    const BATCH_DELAY: Duration = Duration::from_millis(400);

    const DETECTS_OUTAGES: bool = false;

    const FOLLOWS_PARTIAL_LIST: bool = false;

    /// The position stays, so that other instances do not fetch the copy.
    fn use_partial(&self, node: &Node, items: Vec<Endpoint>, _: Cursor) {
        let position = node.endpoints_cursor.get();
        let changes = items.into_iter().map(EndpointChange::Present).collect();
        apply_endpoints(node, changes, position);
        node.startup_progress.notify_waiters();
    }

    fn replace(&self, node: &Node, items: Vec<Endpoint>, cursor: Cursor) {
        let now = node.clock.now();
        let (before, count) = (node.directory.borrow().len(), items.len());
        log::info!(target: "endpoints", before, count; "endpoint table read");
        if before > 0 && cursor.era > node.endpoints_cursor.get().era {
            // Rows that the store has lost are written again.
            node.directory.borrow_mut().store_recovered(now);
        }
        let ended = node.directory.borrow_mut().replace(now, items);
        node.handle_ended_endpoints(&ended);
        node.endpoints_cursor.set(cursor);
        node.endpoints_changed.notify_waiters();
        node.startup_progress.notify_waiters();
    }

    fn apply(&self, node: &Node, items: Vec<EndpointChange>, cursor: Cursor) {
        if items.is_empty() {
            // A reader reports its position to others, so it keeps that of the last change.
            if !node.readers.borrow().reads() {
                node.endpoints_cursor.set(node.endpoints_cursor.get().max(cursor));
            }
            return;
        }
        // Also if this instance has stopped reading meanwhile: no other one may have read them.
        if items.len() <= MAX_GOSSIPED_CHANGES {
            let from = node.endpoints_cursor.get();
            let rows = items.iter().map(encode_endpoint_change).collect();
            let Cursor { era, version: to_cursor } = cursor;
            let changes = EndpointChanges { from_cursor: from.version, to_cursor, rows, era };
            *node.endpoint_changes.borrow_mut() = Some(changes).filter(|_| from.era == era);
        }
        apply_endpoints(node, items, cursor);
        node.flush.immediate.notify_one();
    }

    /// Reads the store while this instance is the reader of the configuration. The first call does
    /// not wait, so that its response proves the copy at once.
    async fn next_read(&self, node: &Node) -> ReadFrom {
        loop {
            let (reads, has_read) = {
                let readers = node.readers.borrow();
                (readers.reads(), readers.has_read(WatchedTable::Endpoints))
            };
            if reads {
                let wait = if has_read { ENDPOINTS_POLL_TIMEOUT } else { Duration::ZERO };
                return ReadFrom::Store(wait);
            }
            tokio::select! {
                () = node.started_reading.notified() => {}
                () = self.wait_for_newer(node) => return ReadFrom::Peers,
            }
        }
    }

    /// Not while this instance reads the store: it keeps the position of the last change that it
    /// read, and others may be ahead of that.
    async fn wait_for_newer(&self, node: &Node) {
        while node.readers.borrow().reads() {
            node.stopped_reading.notified().await;
        }
        peer_copies::wait_for_newer_endpoints(node).await;
    }

    async fn fetch_newer(&self, node: &Node) -> bool {
        node.readers.borrow().reads() || peer_copies::fetch_endpoints(node).await
    }

    /// The store numbers the changes of all its tables together, and responds at once when there is
    /// one. If a call is still open well after a read of another table has passed its position, its
    /// response may be lost.
    async fn wait_until_overtaken(&self, node: &Node, from: Cursor) {
        loop {
            let mut notified = std::pin::pin!(node.store_read.notified());
            // Registered before the check, so that no notification in between is missed.
            notified.as_mut().enable();
            if node.config_cursor.get() > from {
                let delay = node.store_pace.get().proof_delay();
                tokio::time::sleep(OVERTAKEN_GRACE + delay).await;
                return;
            }
            notified.await;
        }
    }

    fn known_cursor(&self, node: &Node) -> Cursor {
        node.endpoints_cursor.get()
    }

    async fn first_copy(&self, node: &Node) -> Option<Cursor> {
        peer_copies::fetch_first_endpoints(node).await.then(|| node.endpoints_cursor.get())
    }

    async fn first_copy_within(&self, node: &Node, wait: Duration) -> Option<Cursor> {
        let is_fetched = peer_copies::fetch_endpoints_within(node, wait).await;
        is_fetched.then(|| node.endpoints_cursor.get())
    }

    fn record_unreadable(&self, _: &Node) {}

    fn prove(&self, node: &Node, proof: Proof, cursor: Cursor, paired: bool) {
        node.endpoints_read_at.set(cursor);
        let proved_at = node.endpoints_freshness.borrow_mut().prove(proof, paired);
        record_own_proof(node, WatchedTable::Endpoints, proved_at);
        if node.readers.borrow().reads() {
            node.flush.immediate.notify_one();
        }
    }
}
