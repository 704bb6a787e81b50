//! What the two watched tables feed: the configuration and the directory of endpoints.

use std::time::Duration;

use rand::Rng;

use ringbend_gateway::{
    Endpoint, EndpointChange, MEMBER_READ_AGE_MS, OfferResult, Proof, READ_AGE_MS, Snapshot,
};
use ringbend_wire::{EndpointChanges, encode_endpoint_change};

use crate::fetch;
use crate::node::Node;
use crate::ports::{ConfigItem, Cursor};
use crate::watch::{Ask, Copy};

/// How long the configuration's reader asks the store to wait. Its answers prove the copies of all
/// instances, so this is how old those get.
const CONFIG_WAIT: Duration = Duration::from_millis(1_000);

/// How long the endpoints' reader asks the store to wait. Nothing rests on when this table was last
/// proved current; that the store is lost, or an answer of it, is noticed by the configuration's watch.
const ENDPOINTS_WAIT: Duration = Duration::from_millis(9_000);

/// How much later than another table's answer one of the endpoints' may come: a slow store takes up to a third
/// of a second.
const OVERTAKEN_TIME: Duration = Duration::from_millis(350);

/// The most endpoint changes told to others in one datagram; after more they read by themselves.
const MAX_RELAYED: usize = 12;

/// Feeds the configuration.
pub(crate) struct ConfigCopy;

impl ConfigCopy {
    /// Puts a configuration in force if it is newer.
    pub(crate) fn offer(node: &Node, item: ConfigItem) {
        let snapshot = Snapshot::new(item.parts);
        let (version, routes) = (snapshot.version, snapshot.route_count());
        match node.replica.borrow_mut().offer(snapshot) {
            OfferResult::Newer { before } => {
                let before = before.map_or(0, |v| v.0);
                *node.config_raw.borrow_mut() = Some(item.raw);
                // Others may take it from here.
                node.signals.soon.notify_one();
                node.metrics.settings_version.set(i64::try_from(version.0).unwrap_or(i64::MAX));
                log::info!(target: "config", version = version.0, before, routes; "in force");
            }
            OfferResult::Same => {}
            OfferResult::Older => {
                log::warn!(target: "config", version = version.0; "older than the one in force");
            }
        }
    }
}

impl Copy<ConfigItem, ConfigItem> for ConfigCopy {
    const NAME: &'static str = "config";

    /// A tenth of the time in which a configuration must be in force.
    const GATHER: Duration = Duration::from_millis(200);

    const SENTINEL: bool = true;

    fn replace(&self, node: &Node, items: Vec<ConfigItem>, cursor: Cursor) {
        self.apply(node, items, cursor);
    }

    fn apply(&self, node: &Node, items: Vec<ConfigItem>, cursor: Cursor) {
        node.config_cursor.set(node.config_cursor.get().max(cursor));
        node.store_read.notify_waiters();
        items.into_iter().for_each(|item| Self::offer(node, item));
    }

    /// Reads for as long as no other instance does; then only once the copy is old.
    async fn turn(&self, node: &Node) -> Ask {
        leave_reading_to_others(node);
        if node.readers.borrow().reads() {
            return Ask::Store(CONFIG_WAIT);
        }
        let ages = if node.schedules() { READ_AGE_MS } else { MEMBER_READ_AGE_MS };
        let age_ms = node.rng.borrow_mut().random_range(ages);
        loop {
            let proved_at = node.replica.borrow().proved_at();
            let since = proved_at.unwrap_or(node.clock.started_at());
            let due = since + Duration::from_millis(age_ms);
            if node.clock.now() >= due {
                log::info!(target: "store", age_ms; "copy is old, reading");
                node.readers.borrow_mut().begin();
                node.begins_to_read.notify_waiters();
                return Ask::Store(Duration::ZERO);
            }
            tokio::select! {
                () = node.clock.sleep_until(due) => {}
                () = self.news(node) => return Ask::Peers,
            }
        }
    }

    /// Also while this instance reads: its call may hang where others' calls do not.
    async fn news(&self, node: &Node) {
        fetch::config_news(node).await;
    }

    async fn take_news(&self, node: &Node) -> bool {
        fetch::config(node).await
    }

    /// Its calls wait for a second at most.
    async fn overtaken(&self, _: &Node, _: Cursor) {
        std::future::pending().await
    }

    fn known(&self, node: &Node) -> Cursor {
        node.config_cursor.get()
    }

    async fn first_copy(&self, node: &Node) -> Option<Cursor> {
        fetch::first_config(node).await.then(|| node.config_cursor.get())
    }

    fn bad_row(&self, node: &Node) {
        node.replica.borrow_mut().mark_unreadable();
    }

    fn prove(&self, node: &Node, proof: Proof, paired: bool) {
        node.replica.borrow_mut().prove(proof, paired);
        if let Some(proved_at) = node.replica.borrow().proved_at() {
            node.readers.borrow_mut().proved_by(node.incarnation(), proved_at);
        }
        node.begun.notify_waiters();
        if node.readers.borrow().reads() {
            // What was read proves the copies of all others.
            node.signals.now.notify_one();
        }
    }

    fn store_recovered(&self, _: &Node) {}
}

/// Stops reading if the store is lost and another instance has proved the copy since: what that one
/// reads must be heard of at once, and not once this one asks the lost store again.
pub(crate) fn leave_reading_to_others(node: &Node) {
    let proved_at = node.replica.borrow().proved_at();
    if node.readers.borrow_mut().yield_to_others(node.store_lost_at.get(), proved_at) {
        log::info!(target: "store", reads = false; "others reach the store");
        node.ceases_to_read.notify_waiters();
    }
}

/// Feeds the directory.
pub(crate) struct EndpointCopy;

/// Takes in endpoint changes up to `cursor`, read or relayed.
pub(crate) fn apply_endpoints(node: &Node, changes: Vec<EndpointChange>, cursor: Cursor) {
    let now = node.clock.now();
    for change in changes {
        EndpointCopy::log(&change);
        let ended = node.directory.borrow_mut().apply(now, change);
        node.lose_endpoints(&ended);
    }
    node.endpoints_cursor.set(node.endpoints_cursor.get().max(cursor));
    let directory = node.directory.borrow();
    node.trust.borrow_mut().retain(|id| directory.get(id).is_some());
}

impl EndpointCopy {
    fn log(change: &EndpointChange) {
        match change {
            EndpointChange::Present(e) => {
                let (id, service, leaving) = (&e.id, &e.service, e.leaving);
                log::info!(target: "endpoints", endpoint:% = id, service:%, leaving; "registered");
            }
            EndpointChange::Gone(id) => {
                log::info!(target: "endpoints", endpoint:% = id; "entry gone");
            }
            EndpointChange::Unreadable(id) => {
                log::info!(target: "endpoints", endpoint:% = id; "entry unreadable");
            }
        }
    }
}

impl Copy<Endpoint, EndpointChange> for EndpointCopy {
    const NAME: &'static str = "endpoints";

    /// Half of the time in which a leaving endpoint must be known. A fleet that starts, or whose
    /// endpoints come and go, changes many times a second, and each answer is a call of each instance.
    const GATHER: Duration = Duration::from_millis(400);

    const SENTINEL: bool = false;

    fn replace(&self, node: &Node, items: Vec<Endpoint>, cursor: Cursor) {
        let now = node.clock.now();
        let (before, count) = (node.directory.borrow().len(), items.len());
        log::info!(target: "endpoints", before, count; "read whole");
        let ended = node.directory.borrow_mut().replace(now, items);
        node.lose_endpoints(&ended);
        node.endpoints_cursor.set(cursor);
        node.begun.notify_waiters();
    }

    fn apply(&self, node: &Node, items: Vec<EndpointChange>, cursor: Cursor) {
        if items.is_empty() {
            // A reader tells others how far changes go, so it keeps the place of the last one.
            if !node.readers.borrow().reads() {
                node.endpoints_cursor.set(node.endpoints_cursor.get().max(cursor));
            }
            return;
        }
        if node.readers.borrow().reads() && items.len() <= MAX_RELAYED {
            let from_cursor = node.endpoints_cursor.get().0;
            let rows = items.iter().map(encode_endpoint_change).collect();
            let changes = EndpointChanges { from_cursor, to_cursor: cursor.0, rows };
            *node.endpoint_changes.borrow_mut() = Some(changes);
        }
        apply_endpoints(node, items, cursor);
        node.signals.now.notify_one();
    }

    /// Reads while this instance reads the configuration.
    async fn turn(&self, node: &Node) -> Ask {
        loop {
            if node.readers.borrow().reads() {
                return Ask::Store(ENDPOINTS_WAIT);
            }
            tokio::select! {
                () = node.begins_to_read.notified() => {}
                () = self.news(node) => return Ask::Peers,
            }
        }
    }

    /// Not while this instance reads: it keeps the place of the last change that it read, and others
    /// may be beyond that.
    async fn news(&self, node: &Node) {
        while node.readers.borrow().reads() {
            node.ceases_to_read.notified().await;
        }
        fetch::endpoint_news(node).await;
    }

    async fn take_news(&self, node: &Node) -> bool {
        node.readers.borrow().reads() || fetch::endpoints(node).await
    }

    /// The store counts the changes of all its tables together, and answers at once when there is one: a
    /// call that still waits well after another table was read beyond it may have lost its answer.
    async fn overtaken(&self, node: &Node, from: Cursor) {
        loop {
            let mut read = std::pin::pin!(node.store_read.notified());
            // What is read from here on is told.
            read.as_mut().enable();
            if node.config_cursor.get() > from {
                tokio::time::sleep(OVERTAKEN_TIME).await;
                return;
            }
            read.await;
        }
    }

    fn known(&self, node: &Node) -> Cursor {
        node.endpoints_cursor.get()
    }

    async fn first_copy(&self, node: &Node) -> Option<Cursor> {
        fetch::first_endpoints(node).await.then(|| node.endpoints_cursor.get())
    }

    fn bad_row(&self, _: &Node) {}

    fn prove(&self, _: &Node, _: Proof, _: bool) {}

    fn store_recovered(&self, node: &Node) {
        node.directory.borrow_mut().store_recovered(node.clock.now());
    }
}
