//! Keeps a copy of a watched table current: reads it whole, then follows its changes, and tells
//! when the store is lost and regained.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use ringbend_gateway::{MAX_SECONDARY_BACKOFF, Proof, StoreBackoff};
use ringbend_types::Timestamp;

use crate::node::Node;
use crate::ports::{Cursor, InvalidRow, Source, SourceError};

/// How long the store may take beyond the time it was asked to wait. Its answers take some
/// milliseconds; a slow store takes up to a third of a second.
const CALL_TIME: Duration = Duration::from_millis(1_000);

/// Who is asked next for what is new.
pub(crate) enum Ask {
    /// The store, which is to wait so long for a change.
    Store(Duration),
    /// Other instances, as one of them has something newer.
    Peers,
}

/// What a watch does with what it reads.
pub(crate) trait Copy<Whole, Change> {
    /// The table's name in logs.
    const NAME: &'static str;

    /// How long to gather further changes after one, before the store is asked again.
    const GATHER: Duration;

    /// Whether this watch is the one that notices first that the store is lost, for all others.
    const SENTINEL: bool;

    /// Takes in everything.
    fn replace(&self, node: &Node, items: Vec<Whole>, cursor: Cursor);

    /// Takes in changes up to `cursor`.
    fn apply(&self, node: &Node, items: Vec<Change>, cursor: Cursor);

    /// Waits until it is this instance's turn to ask.
    fn turn(&self, node: &Node) -> impl Future<Output = Ask>;

    /// Waits until another instance is known to have newer rows than this one.
    fn news(&self, node: &Node) -> impl Future<Output = ()>;

    /// Takes what is newer from other instances. False if there is something and it could not be had
    /// in time.
    fn take_news(&self, node: &Node) -> impl Future<Output = bool>;

    /// Takes the first copy from another instance; none if nobody has it. Returns how far it goes.
    fn first_copy(&self, node: &Node) -> impl Future<Output = Option<Cursor>>;

    /// How far the table's changes are known, from the store or from others.
    fn known(&self, node: &Node) -> Cursor;

    /// Notes that a row could not be read.
    fn bad_row(&self, node: &Node);

    /// Waits until a call for changes after `from` should have been answered, by what other calls show.
    async fn overtaken(&self, node: &Node, from: Cursor);

    /// Notes that the table was current.
    fn prove(&self, node: &Node, proof: Proof, paired: bool);

    /// Notes that the store answers again.
    fn store_recovered(&self, node: &Node);
}

/// Follows one table for as long as the process lives.
pub(crate) struct Watch<Whole, Change, C> {
    node: Rc<Node>,
    source: Rc<dyn Source<Whole, Change>>,
    copy: C,
    lost_at: Option<Timestamp>,
    pauses: StoreBackoff,
}

impl<Whole, Change, C: Copy<Whole, Change>> Watch<Whole, Change, C> {
    pub(crate) fn new(node: Rc<Node>, source: Rc<dyn Source<Whole, Change>>, copy: C) -> Self {
        Self { node, source, copy, lost_at: None, pauses: StoreBackoff::default() }
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
            match bounded(CALL_TIME, self.source.read_all()).await {
                Ok(batch) => {
                    self.answered();
                    let cursor = batch.cursor;
                    let proof = Proof { sent, store_clock: batch.store_clock };
                    self.note_bad_rows(&batch.invalid_rows);
                    let known = self.copy.known(&self.node);
                    self.copy.replace(&self.node, batch.items, cursor);
                    if self.is_latest(cursor, known) {
                        self.prove(proof, cursor, Duration::ZERO);
                    }
                    return cursor;
                }
                Err(e) => {
                    self.failed(e).await;
                    if let Some(cursor) = self.copy.first_copy(&self.node).await {
                        return cursor;
                    }
                }
            }
        }
    }

    /// Follows changes until the history is gone.
    async fn follow(&mut self, mut cursor: Cursor) {
        // The answer of the last call may be lost, so the next one does not wait.
        let mut is_overtaken = false;
        loop {
            let is_up_to_date = self.copy.take_news(&self.node).await;
            let wait = match is_up_to_date {
                false => Duration::ZERO,
                true => match self.copy.turn(&self.node).await {
                    Ask::Peers => continue,
                    // After a failure the first call does not wait, so that contact is proved at once.
                    Ask::Store(_) if self.lost_at.is_some() || is_overtaken => Duration::ZERO,
                    Ask::Store(wait) => wait,
                },
            };
            cursor = cursor.max(self.copy.known(&self.node));
            is_overtaken = false;
            let sent = self.node.clock.now();
            let call = bounded(wait + CALL_TIME, self.source.changes(cursor, wait));
            let answer = tokio::select! {
                answer = call => answer,
                () = self.copy.news(&self.node), if is_up_to_date => continue,
                () = self.copy.overtaken(&self.node, cursor), if !wait.is_zero() => {
                    log::info!(target: "store", table = C::NAME, cursor = cursor.0; "overtaken, asking again");
                    is_overtaken = true;
                    continue;
                }
                // A call that waits for long would hang for long after a cut.
                () = self.node.store_lost.notified(), if !C::SENTINEL => {
                    Err(SourceError::Unreachable)
                }
            };
            match answer {
                Ok(batch) => {
                    self.answered();
                    cursor = cursor.max(batch.cursor);
                    let proof = Proof { sent, store_clock: batch.store_clock };
                    self.note_bad_rows(&batch.invalid_rows);
                    let changed = !batch.items.is_empty();
                    let known = self.copy.known(&self.node);
                    self.copy.apply(&self.node, batch.items, batch.cursor);
                    if batch.is_complete && self.is_latest(batch.cursor, known) {
                        self.prove(proof, batch.cursor, wait);
                    }
                    if changed && batch.is_complete {
                        tokio::time::sleep(C::GATHER).await;
                    }
                }
                Err(SourceError::HistoryGone) => {
                    log::info!(target: "store", table = C::NAME; "history gone, reading anew");
                    return;
                }
                Err(e) => self.failed(e).await,
            }
        }
    }

    /// Whether an answer shows the table no earlier than what is `known` of it, from the store or
    /// from other instances. One that does not was made from an older state and proves nothing.
    fn is_latest(&self, cursor: Cursor, known: Cursor) -> bool {
        let latest = cursor >= known;
        if !latest {
            let (cursor, known) = (cursor.0, known.0);
            log::warn!(target: "store", table = C::NAME, cursor, known; "answer is older than the copy");
        }
        latest
    }

    /// Notes that an answer to a call that was to wait so long showed the table as of `cursor`.
    fn prove(&self, proof: Proof, cursor: Cursor, wait: Duration) {
        let (sent_ms, store_ms) = (proof.sent.0 / 1_000, proof.store_clock.as_millis() as u64);
        let wait_ms = wait.as_millis() as u64;
        log::info!(
            target: "store", table = C::NAME, sent_ms, store_ms, cursor = cursor.0, wait_ms;
            "table proved current"
        );
        self.copy.prove(&self.node, proof, wait.is_zero());
    }

    fn note_bad_rows(&self, bad: &[InvalidRow]) {
        for row in bad {
            log::warn!(
                target: "store", table = C::NAME, key:% = row.key, why:% = row.reason; "row left out"
            );
            self.copy.bad_row(&self.node);
        }
    }

    fn answered(&mut self) {
        self.pauses.reset();
        if C::SENTINEL && self.node.store_lost_at.take().is_some() {
            self.node.store_regained.notify_waiters();
        }
        let Some(lost_at) = self.lost_at.take() else { return };
        let away_ms = self.node.clock.now().since(lost_at).as_millis() as u64;
        log::info!(target: "store", table = C::NAME, away_ms; "regained");
        self.copy.store_recovered(&self.node);
    }

    async fn failed(&mut self, e: SourceError) {
        if C::SENTINEL {
            let lost_at = self.node.store_lost_at.get().unwrap_or(self.node.clock.now());
            self.node.store_lost_at.set(Some(lost_at));
            self.node.store_lost.notify_waiters();
        }
        if self.lost_at.is_none() {
            self.lost_at = Some(self.node.clock.now());
            log::warn!(target: "store", table = C::NAME, error:% = e; "lost");
        }
        let pause = self.pause();
        if C::SENTINEL || self.node.store_lost_at.get().is_none() {
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                () = self.copy.news(&self.node) => {}
            }
            return;
        }
        // One watch asking a lost store is enough; the bound is for a sentinel that fails otherwise.
        tokio::select! {
            () = self.node.store_regained.notified() => {}
            () = tokio::time::sleep(MAX_SECONDARY_BACKOFF) => {}
            () = self.copy.news(&self.node) => {}
        }
    }

    fn pause(&mut self) -> Duration {
        let instances = self.node.peers.borrow().instances(self.node.clock.now());
        let draw = self.node.rng.borrow_mut().random();
        self.pauses.next_delay(instances, C::SENTINEL, draw)
    }
}

async fn bounded<T>(
    time: Duration,
    call: impl Future<Output = Result<T, SourceError>>,
) -> Result<T, SourceError> {
    tokio::time::timeout(time, call).await.unwrap_or(Err(SourceError::TimedOut))
}
