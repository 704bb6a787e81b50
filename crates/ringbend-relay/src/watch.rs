//! Keeps a copy of a watched table current: reads the whole table, follows its changes, and reports
//! when the store becomes unavailable and available again.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use ringbend_gateway::{MAX_SECONDARY_BACKOFF, Proof, StoreBackoff};
use ringbend_types::Timestamp;

use crate::node::Node;
use crate::ports::{Cursor, InvalidRow, Source, SourceError};
use crate::table_copies::apply_outage_update;

/// How long the store may take beyond the requested wait. It usually replies within milliseconds; a
/// slow store takes up to a third of a second.
const CALL_TIMEOUT: Duration = Duration::from_millis(1_000);

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

    /// Replaces the copy.
    fn replace(&self, node: &Node, items: Vec<Item>, cursor: Cursor);

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

    /// The position up to which changes are known, from the store or from other instances.
    fn known_cursor(&self, node: &Node) -> Cursor;

    /// Records that a row could not be decoded.
    fn record_invalid_row(&self, node: &Node);

    /// Waits until other reads show that a call for changes after `from` should have been answered.
    async fn wait_until_overtaken(&self, node: &Node, from: Cursor);

    /// Records that the copy was current when the store's history had reached `cursor`. `paired`
    /// means that the call did not wait, so that its times relate the store's clock to this
    /// instance's.
    fn prove(&self, node: &Node, proof: Proof, cursor: Cursor, paired: bool);
}

/// Follows one table for as long as the process lives.
pub(crate) struct Watch<Item, Change, C> {
    node: Rc<Node>,
    source: Rc<dyn Source<Item, Change>>,
    copy: C,
    lost_at: Option<Timestamp>,
    backoff: StoreBackoff,
}

impl<Item, Change, C: TableCopy<Item, Change>> Watch<Item, Change, C> {
    pub(crate) fn new(node: Rc<Node>, source: Rc<dyn Source<Item, Change>>, copy: C) -> Self {
        Self { node, source, copy, lost_at: None, backoff: StoreBackoff::default() }
    }

    pub(crate) async fn run(mut self) {
        let mut cursor = match self.copy.first_copy(&self.node).await {
            Some(cursor) => cursor,
            None => self.read_all().await,
        };
        loop {
            self.follow(cursor).await;
            cursor = self.read_all().await;
        }
    }

    async fn read_all(&mut self) -> Cursor {
        loop {
            let sent = self.node.clock.now();
            match with_timeout(CALL_TIMEOUT, self.source.read_all()).await {
                Ok(batch) => {
                    self.record_response();
                    let cursor = batch.cursor;
                    let proof = Proof { sent, store_clock: batch.store_clock };
                    self.record_invalid_rows(&batch.invalid_rows);
                    let known = self.copy.known_cursor(&self.node);
                    self.copy.replace(&self.node, batch.items, cursor);
                    if self.is_latest(cursor, known) {
                        self.prove(proof, cursor, Duration::ZERO);
                    }
                    return cursor;
                }
                Err(e) => {
                    self.record_failure(e).await;
                    if let Some(cursor) = self.copy.first_copy(&self.node).await {
                        return cursor;
                    }
                }
            }
        }
    }

    /// Follows changes until the history is no longer available.
    async fn follow(&mut self, mut cursor: Cursor) {
        // If set, the response to the last call may be lost, so the next call does not wait.
        let mut is_overtaken = false;
        loop {
            let is_up_to_date = self.copy.fetch_newer(&self.node).await;
            let wait = match is_up_to_date {
                false => Duration::ZERO,
                true => match self.copy.next_read(&self.node).await {
                    ReadFrom::Peers => continue,
                    // The first call after a failure does not wait either, so that contact to the
                    // store is confirmed at once.
                    ReadFrom::Store(_) if self.lost_at.is_some() || is_overtaken => Duration::ZERO,
                    ReadFrom::Store(wait) => wait,
                },
            };
            cursor = cursor.max(self.copy.known_cursor(&self.node));
            is_overtaken = false;
            let sent = self.node.clock.now();
            let call = with_timeout(wait + CALL_TIMEOUT, self.source.changes(cursor, wait));
            let response = tokio::select! {
                response = call => response,
                () = self.copy.wait_for_newer(&self.node), if is_up_to_date => continue,
                () = self.copy.wait_until_overtaken(&self.node, cursor), if !wait.is_zero() => {
                    log::info!(target: "store", table = C::NAME, cursor = cursor.0; "response overtaken by another read; calling again");
                    is_overtaken = true;
                    continue;
                }
                // A call with a long wait would hang for a long time after a network failure.
                () = self.node.store_lost.notified(), if !C::DETECTS_OUTAGES => {
                    Err(SourceError::Unreachable)
                }
            };
            match response {
                Ok(batch) => {
                    self.record_response();
                    cursor = cursor.max(batch.cursor);
                    let proof = Proof { sent, store_clock: batch.store_clock };
                    self.record_invalid_rows(&batch.invalid_rows);
                    let changed = !batch.items.is_empty();
                    let known = self.copy.known_cursor(&self.node);
                    self.copy.apply(&self.node, batch.items, batch.cursor);
                    if batch.is_complete && self.is_latest(batch.cursor, known) {
                        self.prove(proof, batch.cursor, wait);
                    }
                    if changed && batch.is_complete {
                        tokio::time::sleep(C::BATCH_DELAY).await;
                    }
                }
                Err(SourceError::HistoryGone) => {
                    log::info!(target: "store", table = C::NAME; "change history no longer available; reading the whole table");
                    return;
                }
                Err(e) => self.record_failure(e).await,
            }
        }
    }

    /// Whether a response is no older than what is `known` of the table from the store or from
    /// other instances. An older one reflects an earlier state and proves nothing.
    fn is_latest(&self, cursor: Cursor, known: Cursor) -> bool {
        let is_latest = cursor >= known;
        if !is_latest {
            let (cursor, known) = (cursor.0, known.0);
            log::warn!(target: "store", table = C::NAME, cursor, known; "response is older than the copy");
        }
        is_latest
    }

    /// Records that the response to a call with this wait showed the table as of `cursor`.
    fn prove(&self, proof: Proof, cursor: Cursor, wait: Duration) {
        let (sent_ms, store_ms) = (proof.sent.0 / 1_000, proof.store_clock.as_millis() as u64);
        let wait_ms = wait.as_millis() as u64;
        let took_ms = self.node.clock.now().since(proof.sent).as_millis() as u64;
        log::info!(
            target: "store", table = C::NAME, sent_ms, took_ms, store_ms, cursor = cursor.0, wait_ms;
            "table proved current"
        );
        self.copy.prove(&self.node, proof, cursor, wait.is_zero());
    }

    fn record_invalid_rows(&self, rows: &[InvalidRow]) {
        for row in rows {
            log::warn!(
                target: "store", table = C::NAME, key:% = row.key, why:% = row.reason; "skipping invalid row"
            );
            self.copy.record_invalid_row(&self.node);
        }
    }

    fn record_response(&mut self) {
        self.backoff.reset();
        let update = self.node.outages.borrow_mut().answered(self.node.clock.now());
        apply_outage_update(&self.node, update);
        if C::DETECTS_OUTAGES {
            self.node.readers.borrow_mut().call_answered();
            if self.node.store_lost_at.take().is_some() {
                self.node.store_recovered.notify_waiters();
            }
        }
        let Some(lost_at) = self.lost_at.take() else { return };
        let away_ms = self.node.clock.now().since(lost_at).as_millis() as u64;
        log::info!(target: "store", table = C::NAME, away_ms; "store available again");
    }

    async fn record_failure(&mut self, e: SourceError) {
        if e == SourceError::TimedOut {
            self.node.metrics.store_timed_out();
        }
        if C::DETECTS_OUTAGES {
            let now = self.node.clock.now();
            self.node.readers.borrow_mut().call_failed(now);
            self.node.store_lost_at.set(Some(self.node.store_lost_at.get().unwrap_or(now)));
            self.node.had_store_outage.set(true);
            self.node.store_lost.notify_waiters();
        }
        if self.lost_at.is_none() {
            self.lost_at = Some(self.node.clock.now());
            log::warn!(target: "store", table = C::NAME, error:% = e; "store unavailable");
        }
        let delay = self.next_delay();
        if C::DETECTS_OUTAGES || self.node.store_lost_at.get().is_none() {
            tokio::select! {
                () = tokio::time::sleep(delay) => {}
                () = self.copy.wait_for_newer(&self.node) => {}
            }
            return;
        }
        // One watch is enough to probe an unavailable store. The time limit is for the case that
        // the probing watch keeps failing for another reason and never reports the recovery.
        tokio::select! {
            () = self.node.store_recovered.notified() => {}
            () = tokio::time::sleep(MAX_SECONDARY_BACKOFF) => {}
            () = self.copy.wait_for_newer(&self.node) => {}
        }
    }

    fn next_delay(&mut self) -> Duration {
        let instances = self.node.peers.borrow().instances(self.node.clock.now());
        let sample = self.node.rng.borrow_mut().random();
        self.backoff.next_delay(instances, C::DETECTS_OUTAGES, sample)
    }
}

async fn with_timeout<T>(
    timeout: Duration,
    call: impl Future<Output = Result<T, SourceError>>,
) -> Result<T, SourceError> {
    tokio::time::timeout(timeout, call).await.unwrap_or(Err(SourceError::TimedOut))
}
