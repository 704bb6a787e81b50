//! The copy of the operator's table: the configuration and the evacuated data centres.

use std::time::Duration;

use rand::Rng;
use ringbend_gateway::{
    EvacuationChange, Evacuations, OfferResult, Proof, Snapshot, WatchedTable, read_age,
};

use ringbend_types::Cursor;

use crate::node::Node;
use crate::peer_copies;
use crate::ports::{ConfigItem, OperatorChange};
use crate::table_copies::{
    ReadFrom, TableCopy, copy_age_ms, leave_reading_to_others, record_own_proof,
};

/// The wait requested from the store by the reader of the configuration. Its responses prove the
/// copies of all instances current, so this is how old those proofs get.
const CONFIG_POLL_TIMEOUT: Duration = Duration::from_millis(1_000);

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

    /// Activates the configuration of the whole table.
    fn activate_stored(node: &Node, configs: Vec<ConfigItem>) {
        let stored = configs.iter().map(|config| config.parts.version).max();
        configs.into_iter().for_each(|config| Self::activate(node, config));
        node.replica.borrow_mut().note_stored(stored);
    }

    /// Activates a configuration if it is newer.
    fn activate(node: &Node, item: ConfigItem) {
        let snapshot = Snapshot::new(item.parts);
        let (version, routes) = (snapshot.version, snapshot.route_count());
        let limits = snapshot.limits;
        match node.replica.borrow_mut().offer(snapshot) {
            OfferResult::Newer { before } => {
                let before = before.map_or(0, |v| v.0);
                node.callers.set_limits(&limits);
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

    /// The row of the configuration comes first.
    const FOLLOWS_PARTIAL_LIST: bool = true;

    /// Evacuations keep their position, and with it their place behind those of other instances.
    fn use_partial(&self, node: &Node, items: Vec<OperatorChange>, cursor: Cursor) {
        let (configs, _) = split_changes(items);
        Self::record_read(node, cursor);
        Self::activate_stored(node, configs);
    }

    fn replace(&self, node: &Node, items: Vec<OperatorChange>, cursor: Cursor) {
        let (configs, evacuations) = split_changes(items);
        let evacuated = Evacuations::new(cursor, []).with_changes(cursor, evacuations);
        node.adopt_evacuations(evacuated);
        Self::record_read(node, cursor);
        Self::activate_stored(node, configs);
    }

    fn apply(&self, node: &Node, items: Vec<OperatorChange>, cursor: Cursor) {
        let (configs, changes) = split_changes(items);
        let evacuated = node.directory.borrow().evacuations().with_changes(cursor, changes);
        node.adopt_evacuations(evacuated);
        Self::record_read(node, cursor);
        let stored = configs.iter().map(|config| config.parts.version).max();
        configs.into_iter().for_each(|config| Self::activate(node, config));
        if stored.is_some() {
            node.replica.borrow_mut().note_stored(stored);
        }
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
            let pace = node.store_pace.get();
            let slow_due = pace.read_due(node.clock.started_at(), node.is_scheduler(), draw);
            let due = slow_due.unwrap_or(since + age);
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

    async fn first_copy_within(&self, node: &Node, wait: Duration) -> Option<Cursor> {
        let is_fetched = peer_copies::fetch_config_within(node, wait).await;
        is_fetched.then(|| node.config_cursor.get())
    }

    fn record_unreadable(&self, node: &Node) {
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
