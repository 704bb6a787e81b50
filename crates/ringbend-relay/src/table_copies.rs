//! The copies of the two watched tables: the configuration and the directory of endpoints.

use std::time::Duration;

use rand::Rng;

use ringbend_gateway::{
    Endpoint, EndpointChange, EvacuationChange, Evacuations, OfferResult, OutageUpdate, Proof,
    Snapshot, WatchedTable, read_age,
};
use ringbend_types::Timestamp;
use ringbend_wire::{EndpointChanges, encode_endpoint_change};

use crate::node::Node;
use crate::peer_copies;
use crate::ports::{ConfigItem, Cursor, OperatorChange};
use crate::watch::{ReadFrom, TableCopy};

/// The wait requested from the store by the reader of the configuration. Its responses prove the
/// copies of all instances current, so this is how old those proofs get.
const CONFIG_POLL_TIMEOUT: Duration = Duration::from_millis(1_000);

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

/// The copy of the configuration.
pub(crate) struct ConfigCopy;

impl ConfigCopy {
    /// Applies a copy of the operator's table that another instance had read up to `cursor`.
    pub(crate) fn apply_copy(
        node: &Node,
        item: ConfigItem,
        evacuations: Evacuations,
        cursor: Cursor,
    ) {
        node.adopt_evacuations(evacuations);
        Self::record_read(node, cursor);
        Self::activate(node, item);
    }

    /// Records that the table's changes are known up to `cursor`. Evacuations are known at least as
    /// far, because changes are read from this position on.
    fn record_read(node: &Node, cursor: Cursor) {
        node.config_cursor.set(node.config_cursor.get().max(cursor));
        node.store_read.notify_waiters();
    }

    /// Activates a configuration if it is newer.
    fn activate(node: &Node, item: ConfigItem) {
        let snapshot = Snapshot::new(item.parts);
        let (version, routes) = (snapshot.version, snapshot.route_count());
        match node.replica.borrow_mut().offer(snapshot) {
            OfferResult::Newer { before } => {
                let before = before.map_or(0, |v| v.0);
                *node.encoded_config.borrow_mut() = Some(item.raw);
                // Other instances can fetch it from this one.
                node.flush.batched.notify_one();
                node.metrics.settings_version.set(i64::try_from(version.0).unwrap_or(i64::MAX));
                log::info!(target: "config", version = version.0, before, routes; "configuration activated");
            }
            OfferResult::Same => {}
            OfferResult::Older => {
                log::warn!(target: "config", version = version.0; "ignoring configuration older than the active one");
            }
        }
    }
}

/// Splits rows of the operator's table by kind.
fn split_changes(items: Vec<OperatorChange>) -> (Vec<ConfigItem>, Vec<EvacuationChange>) {
    let (mut configs, mut evacuations) = (Vec::new(), Vec::new());
    for item in items {
        match item {
            OperatorChange::Config(config) => configs.push(config),
            OperatorChange::Evacuation(change) => evacuations.push(change),
        }
    }
    (configs, evacuations)
}

impl TableCopy<OperatorChange, OperatorChange> for ConfigCopy {
    const NAME: &'static str = "config";

    /// A tenth of the time within which a configuration must be active.
    const BATCH_DELAY: Duration = Duration::from_millis(200);

    const DETECTS_OUTAGES: bool = true;

    fn replace(&self, node: &Node, items: Vec<OperatorChange>, cursor: Cursor) {
        let (configs, evacuations) = split_changes(items);
        let evacuated = Evacuations::new(cursor.0, []).with_changes(cursor.0, evacuations);
        node.adopt_evacuations(evacuated);
        Self::record_read(node, cursor);
        configs.into_iter().for_each(|config| Self::activate(node, config));
    }

    fn apply(&self, node: &Node, items: Vec<OperatorChange>, cursor: Cursor) {
        let (configs, changes) = split_changes(items);
        let evacuated = node.directory.borrow().evacuations().with_changes(cursor.0, changes);
        node.adopt_evacuations(evacuated);
        Self::record_read(node, cursor);
        configs.into_iter().for_each(|config| Self::activate(node, config));
    }

    /// Reads the store as long as no other instance does; otherwise only when the copy has become
    /// old.
    async fn next_read(&self, node: &Node) -> ReadFrom {
        leave_reading_to_others(node);
        if node.readers.borrow().reads() {
            return ReadFrom::Store(CONFIG_POLL_TIMEOUT);
        }
        let draw: f64 = node.rng.borrow_mut().random();
        loop {
            let age = read_age(node.is_scheduler(), draw);
            let unread_since = node.readers.borrow().unread_since();
            let since = unread_since.unwrap_or(node.clock.started_at());
            let due = since + age;
            if node.clock.now() >= due {
                let config_age_ms = copy_age_ms(node, WatchedTable::Config);
                let endpoints_age_ms = copy_age_ms(node, WatchedTable::Endpoints);
                log::info!(
                    target: "store", config_age_ms, endpoints_age_ms;
                    "copy is old; reading from the store"
                );
                node.readers.borrow_mut().begin(node.clock.now());
                node.started_reading.notify_waiters();
                return ReadFrom::Store(Duration::ZERO);
            }
            tokio::select! {
                () = node.clock.sleep_until(due) => {}
                () = node.role_changed.notified() => {}
                () = self.wait_for_newer(node) => return ReadFrom::Peers,
            }
        }
    }

    /// Also while this instance reads the store: its call may hang while those of others succeed.
    async fn wait_for_newer(&self, node: &Node) {
        peer_copies::wait_for_newer_config(node).await;
    }

    async fn fetch_newer(&self, node: &Node) -> bool {
        peer_copies::fetch_config(node).await
    }

    /// Never completes: calls for this table wait for a second at most.
    async fn wait_until_overtaken(&self, _: &Node, _: Cursor) {
        std::future::pending().await
    }

    fn known_cursor(&self, node: &Node) -> Cursor {
        node.config_cursor.get()
    }

    async fn first_copy(&self, node: &Node) -> Option<Cursor> {
        peer_copies::fetch_first_config(node).await.then(|| node.config_cursor.get())
    }

    fn record_invalid_row(&self, node: &Node) {
        node.replica.borrow_mut().mark_unreadable();
    }

    fn prove(&self, node: &Node, proof: Proof, cursor: Cursor, paired: bool) {
        let proved_at = node.replica.borrow_mut().prove(proof, paired);
        if let Some(proved_at) = proved_at {
            record_own_proof(node, WatchedTable::Config, proved_at);
            // No table has changed since this instance read the endpoints.
            if cursor == node.endpoints_read_at.get() {
                record_own_proof(node, WatchedTable::Endpoints, proved_at);
            }
        }
        node.startup_progress.notify_waiters();
        if node.readers.borrow().reads() {
            // The read proves the copies of all other instances current.
            node.flush.immediate.notify_one();
        }
    }
}

/// Records that a read by this instance proved its copy of a table.
fn record_own_proof(node: &Node, table: WatchedTable, at: Timestamp) {
    node.readers.borrow_mut().proved_by(table, Some(node.incarnation()), at);
}

/// The time since the copy of a table was last proved current, or since this instance started.
pub(crate) fn copy_age(node: &Node, table: WatchedTable) -> Duration {
    let proved_at = node.readers.borrow().proved_at(table);
    node.clock.now().since(proved_at.unwrap_or(node.clock.started_at()))
}

fn copy_age_ms(node: &Node, table: WatchedTable) -> u64 {
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

    fn replace(&self, node: &Node, items: Vec<Endpoint>, cursor: Cursor) {
        let now = node.clock.now();
        let (before, count) = (node.directory.borrow().len(), items.len());
        log::info!(target: "endpoints", before, count; "endpoint table read");
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
            let from_cursor = node.endpoints_cursor.get().0;
            let rows = items.iter().map(encode_endpoint_change).collect();
            let changes = EndpointChanges { from_cursor, to_cursor: cursor.0, rows };
            *node.endpoint_changes.borrow_mut() = Some(changes);
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
                tokio::time::sleep(OVERTAKEN_GRACE).await;
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

    fn record_invalid_row(&self, _: &Node) {}

    fn prove(&self, node: &Node, proof: Proof, cursor: Cursor, paired: bool) {
        node.endpoints_read_at.set(cursor);
        let proved_at = node.endpoints_freshness.borrow_mut().prove(proof, paired);
        record_own_proof(node, WatchedTable::Endpoints, proved_at);
        if node.readers.borrow().reads() {
            node.flush.immediate.notify_one();
        }
    }
}
