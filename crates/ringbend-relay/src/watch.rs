//! Keeps a copy of a watched table current: reads the whole table, follows its changes, and reports
//! when the store becomes unavailable and available again.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use ringbend_gateway::{MAX_SECONDARY_BACKOFF, Proof, SLOW_CALL_INTERVAL, StoreBackoff};
use ringbend_types::{Cursor, Timestamp};

use crate::listing::{InvalidRows, Listed, Listing};
use crate::node::Node;
use crate::pending_calls::{Answer, PendingCalls};
use crate::ports::{Batch, Page, Source, SourceError};
use crate::table_copies::{ReadFrom, TableCopy, apply_outage_update};

/// The minimum interval between two reads of a whole table because its history is gone.
const MIN_REREAD_INTERVAL: Duration = Duration::from_millis(400);

/// How many responses in a row may say that there are more changes without a later position. One that
/// is late may have been overtaken by changes from other instances.
const MAX_STUCK_RESPONSES: u32 = 2;

/// The time between two reads of a table whose end could not be read.
const REREAD_INTERVAL: Duration = Duration::from_secs(5);

/// The time before a page that did not continue the list is read again.
const INVALID_PAGE_DELAY: Duration = Duration::from_millis(100);

/// How long an instance that does not schedule waits, once the first page shows that the table takes
/// several, for an instance that reads them. Otherwise hundreds of instances that start together would
/// all read each page.
const SHARED_LIST_WAIT: Duration = Duration::from_secs(8);

/// How a call for changes ended.
enum CallOutcome<T> {
    Answered(Answer<T>),
    /// Another call is due, or another instance has newer rows.
    Superseded,
    /// The response may be lost.
    Overtaken,
    Failed(SourceError),
}

/// Follows one table for as long as the process lives.
pub(crate) struct Watch<Item, Change, C> {
    node: Rc<Node>,
    source: Rc<dyn Source<Item, Change>>,
    copy: C,
    lost_at: Option<Timestamp>,
    backoff: StoreBackoff,
    /// Whether the latest list took several calls: its proof is as old as the first one.
    is_proof_due: bool,
    /// When a table that was not read to its end is read again.
    reread_at: Option<Timestamp>,
}

impl<Item: 'static, Change: 'static, C: TableCopy<Item, Change>> Watch<Item, Change, C> {
    pub(crate) fn new(node: Rc<Node>, source: Rc<dyn Source<Item, Change>>, copy: C) -> Self {
        let backoff = StoreBackoff::default();
        Self { node, source, copy, lost_at: None, backoff, is_proof_due: false, reread_at: None }
    }

    pub(crate) async fn run(mut self) {
        let mut cursor = match self.copy.first_copy(&self.node).await {
            Some(cursor) => cursor,
            None => self.read_all().await,
        };
        loop {
            let started_at = self.node.clock.now();
            self.follow(cursor).await;
            // A store without any history would be read in a busy loop.
            self.node.clock.sleep_until(started_at + MIN_REREAD_INTERVAL).await;
            cursor = self.read_all().await;
        }
    }

    /// Reads the whole table, or fetches it from another instance. Returns the position from which
    /// changes are read.
    async fn read_all(&mut self) -> Cursor {
        let mut calls = PendingCalls::default();
        let mut listing = Listing::new(C::NAME);
        let mut early = None;
        loop {
            let answer = match early.take() {
                Some(answer) => Ok(answer),
                None => self.call_for_page(&mut calls, &listing).await,
            };
            let error = match answer {
                Ok(Answer { sent, wait, took, result: Ok(page) }) => {
                    self.record_response(took, wait);
                    // Those that are still open are for the same page.
                    calls.clear();
                    if let Some(cursor) = self.use_page(&mut listing, sent, page).await {
                        return cursor;
                    }
                    continue;
                }
                Ok(Answer { result: Err(e), .. }) | Err(e) => e,
            };
            if let SourceError::InvalidPage(e) = error
                && listing.retries_invalid_page(e)
            {
                calls.clear();
                tokio::time::sleep(INVALID_PAGE_DELAY).await;
                continue;
            }
            if matches!(error, SourceError::InvalidPage(_) | SourceError::HistoryGone) {
                calls.clear();
                if let Some(cursor) = self.end_listing(&mut listing, error) {
                    return cursor;
                }
            }
            early = self.record_failure(error, &mut calls).await;
            if early.is_none()
                && let Some(cursor) = self.newer_copy().await
            {
                return cursor;
            }
        }
    }

    /// Adds a page to the list. Returns the position from which changes are read, if the table or the
    /// copy of another instance is used from now on.
    async fn use_page(
        &mut self,
        listing: &mut Listing<Item>,
        sent: Timestamp,
        page: Page<Item>,
    ) -> Option<Cursor> {
        let Some(listed) = listing.add(&self.node, sent, page) else {
            return self.copy_instead_of_page(listing).await;
        };
        let cursor = self.use_listed(listed);
        if cursor.is_none() {
            *listing = Listing::new(C::NAME);
            tokio::time::sleep(REREAD_INTERVAL).await;
        }
        cursor
    }

    /// Ends a list that cannot go on and begins another one. Returns the position from which changes
    /// are read, if what was read before is enough.
    fn end_listing(&mut self, listing: &mut Listing<Item>, error: SourceError) -> Option<Cursor> {
        let mut ended = std::mem::replace(listing, Listing::new(C::NAME));
        let SourceError::InvalidPage(e) = error else { return None };
        ended.end_at(&self.node, e).and_then(|partial| self.use_listed(partial))
    }

    /// Fetches a copy that is newer than the own one from another instance, and returns its position.
    async fn newer_copy(&self) -> Option<Cursor> {
        let known = self.copy.known_cursor(&self.node);
        self.copy.first_copy(&self.node).await.filter(|cursor| *cursor > known)
    }

    /// Calls for the next page of the table, and waits for the answer to this call or to an earlier
    /// one.
    async fn call_for_page(
        &self,
        calls: &mut PendingCalls<Page<Item>>,
        listing: &Listing<Item>,
    ) -> Result<Answer<Page<Item>>, SourceError> {
        let (source, list) = (self.source.clone(), listing.list().cloned());
        let call = async move { source.read_page(list.as_ref()).await };
        calls.start(self.node.clock.now(), Duration::ZERO, call);
        let timeout = self.node.store_pace.get().timeout();
        with_timeout(timeout, async { Ok(calls.next().await) }).await
    }

    /// Fetches the first copy from another instance, if one has it by the time that a further page is
    /// to be read. Returns its position.
    async fn copy_instead_of_page(&self, listing: &mut Listing<Item>) -> Option<Cursor> {
        if self.copy.known_cursor(&self.node) > Cursor::default() {
            return None;
        }
        // All instances that find an empty registry schedule for a moment.
        let waits = !self.node.is_scheduler() && listing.begin_wait();
        let wait = if waits { SHARED_LIST_WAIT } else { Duration::ZERO };
        self.copy.first_copy_within(&self.node, wait).await
    }

    /// Uses the table as it was listed. Returns the position from which changes are read; `None` if the
    /// table has to be read again first.
    fn use_listed(&mut self, listed: Listed<Item>) -> Option<Cursor> {
        let Listed { items, cursor, proof, pages, invalid_rows, read_to } = listed;
        self.record_invalid_rows(&invalid_rows);
        self.is_proof_due = pages > 1;
        self.reread_at = read_to.is_some().then(|| self.node.clock.now() + REREAD_INTERVAL);
        let known = self.copy.known_cursor(&self.node);
        if !self.is_latest(cursor, known) {
            return Some(known);
        }
        if read_to.is_some() {
            self.copy.use_partial(&self.node, items, cursor);
            if !C::FOLLOWS_PARTIAL_LIST {
                return None;
            }
        } else {
            self.copy.replace(&self.node, items, cursor);
        }
        self.prove(proof, cursor, Duration::ZERO);
        Some(cursor)
    }

    /// Follows changes until the history is no longer available.
    async fn follow(&mut self, mut cursor: Cursor) {
        let mut calls = PendingCalls::default();
        let mut stuck_responses = 0;
        // If set, the response to the last call may be lost, so the next call does not wait.
        let mut is_overtaken = false;
        let mut early = None;
        loop {
            if self.reread_at.is_some_and(|at| self.node.clock.now() >= at) {
                return;
            }
            let answer = match early.take() {
                Some(answer) => answer,
                None => match self.call_for_changes(&mut calls, &mut cursor, is_overtaken).await {
                    CallOutcome::Answered(answer) => answer,
                    outcome => {
                        is_overtaken = matches!(outcome, CallOutcome::Overtaken);
                        if let CallOutcome::Failed(e) = outcome {
                            early = self.record_failure(e, &mut calls).await;
                        }
                        continue;
                    }
                },
            };
            is_overtaken = false;
            let Answer { sent, wait, took, result } = answer;
            match result {
                Ok(batch)
                    if !batch.is_complete
                        && batch.cursor <= cursor
                        && stuck_responses >= MAX_STUCK_RESPONSES =>
                {
                    log::warn!(target: "store", table = C::NAME, cursor:% = cursor; "changes do not advance");
                    early = self.record_failure(SourceError::Malformed, &mut calls).await;
                }
                Ok(batch) => {
                    let is_stuck = !batch.is_complete && batch.cursor <= cursor;
                    stuck_responses = if is_stuck { stuck_responses + 1 } else { 0 };
                    self.record_response(took, wait);
                    let changed = !batch.items.is_empty();
                    let is_complete = batch.is_complete;
                    cursor = cursor.max(batch.cursor);
                    self.apply(sent, wait, batch);
                    if changed && is_complete {
                        tokio::time::sleep(C::BATCH_DELAY).await;
                    }
                }
                Err(SourceError::HistoryGone) => {
                    log::info!(target: "store", table = C::NAME; "change history no longer available; reading the whole table");
                    return;
                }
                Err(e) => early = self.record_failure(e, &mut calls).await,
            }
        }
    }

    /// Calls for changes once that is due, and waits for the answer to this call or to an earlier
    /// one.
    async fn call_for_changes(
        &mut self,
        calls: &mut PendingCalls<Batch<Change>>,
        cursor: &mut Cursor,
        is_overtaken: bool,
    ) -> CallOutcome<Batch<Change>> {
        let is_up_to_date = self.copy.fetch_newer(&self.node).await;
        let wait = match is_up_to_date {
            false => Duration::ZERO,
            true => match self.next_read_or_answer(calls).await {
                Err(answer) => return CallOutcome::Answered(answer),
                Ok(ReadFrom::Peers) => return CallOutcome::Superseded,
                // The first call after a failure does not wait either, so that contact to the
                // store is confirmed at once.
                Ok(ReadFrom::Store(_)) if self.lost_at.is_some() || is_overtaken => Duration::ZERO,
                Ok(ReadFrom::Store(_)) if std::mem::take(&mut self.is_proof_due) => Duration::ZERO,
                Ok(ReadFrom::Store(_)) if self.overlaps_calls() => Duration::ZERO,
                Ok(ReadFrom::Store(wait)) => wait,
            },
        };
        *cursor = (*cursor).max(self.copy.known_cursor(&self.node));
        let now = self.node.clock.now();
        let next_call = calls.last_sent().map(|sent| sent + SLOW_CALL_INTERVAL);
        if is_overtaken || next_call.is_none_or(|at| at <= now) {
            let (source, from) = (self.source.clone(), *cursor);
            calls.start(now, wait, async move { source.changes(from, wait).await });
        }
        let sent = calls.last_sent().unwrap_or(now);
        let pace = self.node.store_pace.get();
        let give_up = calls.waiting_since().unwrap_or(now) + wait + pace.timeout();
        let next_call = if self.overlaps_calls() { sent + SLOW_CALL_INTERVAL } else { give_up };
        let may_be_overtaken = !wait.is_zero();
        tokio::select! {
            answer = calls.next() => CallOutcome::Answered(answer),
            () = self.copy.wait_for_newer(&self.node), if is_up_to_date => {
                calls.clear();
                CallOutcome::Superseded
            }
            () = self.copy.wait_until_overtaken(&self.node, *cursor), if may_be_overtaken => {
                log::info!(target: "store", table = C::NAME, cursor:% = cursor; "response overtaken by another read; calling again");
                CallOutcome::Overtaken
            }
            // A call with a long wait would hang for a long time after a network failure.
            () = self.node.store_lost.notified(), if !C::DETECTS_OUTAGES => {
                calls.clear();
                CallOutcome::Failed(SourceError::Unreachable)
            }
            () = self.node.clock.sleep_until(next_call.min(give_up)) => {
                if next_call < give_up { CallOutcome::Superseded } else { CallOutcome::Failed(SourceError::TimedOut) }
            }
        }
    }

    /// Waits until an update is due, or for the answer to a call that is still open. An instance that
    /// has left reading to others meanwhile learns from it how long the store takes.
    async fn next_read_or_answer<T: 'static>(
        &self,
        calls: &mut PendingCalls<T>,
    ) -> Result<ReadFrom, Answer<T>> {
        tokio::select! {
            read = self.copy.next_read(&self.node) => Ok(read),
            answer = calls.next() => Err(answer),
        }
    }

    /// Whether to call a slow store again before it has answered. Proofs of the other tables come
    /// with those of the one that detects outages.
    fn overlaps_calls(&self) -> bool {
        C::DETECTS_OUTAGES && self.node.store_pace.get().is_slow()
    }

    /// Applies changes, as a call that was sent at `sent` returned them.
    fn apply(&self, sent: Timestamp, wait: Duration, batch: Batch<Change>) {
        let proof = Proof { sent, store_clock: batch.store_clock };
        self.record_invalid_rows(&batch.invalid_rows.into());
        if !self.is_latest(batch.cursor, self.copy.known_cursor(&self.node)) {
            return;
        }
        self.copy.apply(&self.node, batch.items, batch.cursor);
        if batch.is_complete {
            self.prove(proof, batch.cursor, wait);
        }
    }

    /// Whether a response is no older than what is `known` of the table from the store or from
    /// other instances. An older one reflects an earlier state and proves nothing.
    fn is_latest(&self, cursor: Cursor, known: Cursor) -> bool {
        let is_latest = cursor >= known;
        if !is_latest {
            log::warn!(target: "store", table = C::NAME, cursor:%, known:%; "response is older than the copy");
        }
        is_latest
    }

    /// Records that the response to a call with this wait showed the table as of `cursor`.
    fn prove(&self, proof: Proof, cursor: Cursor, wait: Duration) {
        let (sent_ms, store_ms) = (proof.sent.0 / 1_000, proof.store_clock.as_millis() as u64);
        let wait_ms = wait.as_millis() as u64;
        let took_ms = self.node.clock.now().since(proof.sent).as_millis() as u64;
        log::info!(
            target: "store", table = C::NAME, sent_ms, took_ms, store_ms, cursor:% = cursor, wait_ms;
            "table proved current"
        );
        self.copy.prove(&self.node, proof, cursor, wait.is_zero());
    }

    fn record_invalid_rows(&self, rows: &InvalidRows) {
        rows.log(C::NAME);
        if rows.lack_required() {
            self.copy.record_unreadable(&self.node);
        }
    }

    /// Records a response that took this time.
    fn record_response(&mut self, took: Duration, wait: Duration) {
        let mut pace = self.node.store_pace.get();
        pace.record_response(took, wait);
        self.node.store_pace.set(pace);
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

    /// Records a failed call, and waits before the next one. Returns the answer to a call that is
    /// still open if one arrives meanwhile.
    async fn record_failure<T: 'static>(
        &mut self,
        e: SourceError,
        calls: &mut PendingCalls<T>,
    ) -> Option<Answer<T>> {
        calls.note_failure();
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
            return tokio::select! {
                answer = calls.next() => Some(answer),
                () = tokio::time::sleep(delay) => None,
                () = self.copy.wait_for_newer(&self.node) => None,
            };
        }
        // One watch is enough to probe an unavailable store. The time limit is for the case that
        // the probing watch keeps failing for another reason and never reports the recovery.
        tokio::select! {
            answer = calls.next() => Some(answer),
            () = self.node.store_recovered.notified() => None,
            () = tokio::time::sleep(MAX_SECONDARY_BACKOFF) => None,
            () = self.copy.wait_for_newer(&self.node) => None,
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
