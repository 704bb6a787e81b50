//! Reads whole tables of the store, page by page.
//!
//! Each page is a call with a time limit of its own, so that a list goes on for as long as the store
//! answers, however many pages it has. It reflects the state of its first page; what changes while
//! later pages are read follows with the changes after that.

use std::time::Duration;

use ringbend_gateway::{ListError, ListStep, Proof, TableList};
use ringbend_types::{Cursor, StoreKey, Timestamp};

use crate::node::Node;
use crate::ports::{InvalidRow, Page, PagedTable, SourceError};

/// The maximum number of invalid rows of one read that are logged one by one.
const MAX_LOGGED_ROWS: usize = 4;

/// How often in a row a page that does not continue the list is read again.
const MAX_INVALID_PAGES: u32 = 3;

/// How long a call for a page that began before the store was away is still waited for once the store
/// is back.
const HUNG_CALL: Duration = Duration::from_millis(500);

/// How often in a row the call for a further page may fail. The rows that were read so far would
/// have to be read again.
const MAX_PAGE_FAILURES: u32 = 8;

/// Delay before the call for a further page is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// A table as it was listed.
pub(crate) struct Listed<T> {
    pub(crate) items: Vec<T>,
    /// The position from which changes have to be read.
    pub(crate) cursor: Cursor,
    /// When the first page was read, as of which the table is known.
    pub(crate) proof: Proof,
    /// The number of calls that it took.
    pub(crate) pages: usize,
    pub(crate) invalid_rows: InvalidRows,
    /// The last key that was read, if rows after it were not.
    pub(crate) read_to: Option<StoreKey>,
}

/// Rows that could not be decoded, of which only the first ones are kept.
#[derive(Default)]
pub(crate) struct InvalidRows {
    first: Vec<InvalidRow>,
    count: usize,
    lacks_required: bool,
}

impl InvalidRows {
    fn add(&mut self, rows: Vec<InvalidRow>) {
        self.count += rows.len();
        self.lacks_required |= rows.iter().any(|row| row.is_required);
        let room = MAX_LOGGED_ROWS - self.first.len();
        self.first.extend(rows.into_iter().take(room));
    }

    /// Whether one of them is a row without which the table is not current.
    pub(crate) fn lack_required(&self) -> bool {
        self.lacks_required
    }

    /// Logs the first rows, and the number of the others.
    pub(crate) fn log(&self, table: &str) {
        for row in &self.first {
            log::warn!(target: "store", table, key:% = row.key, why:% = row.reason; "skipping invalid row");
        }
        let others = self.count - self.first.len();
        if others > 0 {
            log::warn!(target: "store", table, others; "skipping further invalid rows");
        }
    }
}

impl From<Vec<InvalidRow>> for InvalidRows {
    fn from(rows: Vec<InvalidRow>) -> Self {
        let mut all = Self::default();
        all.add(rows);
        all
    }
}

/// A list of a table that is being read.
pub(crate) struct Listing<T> {
    /// The table's name in logs.
    table: &'static str,
    /// `None` before the first page.
    list: Option<TableList>,
    first_proof: Option<Proof>,
    items: Vec<T>,
    invalid_rows: InvalidRows,
    /// The number of pages in a row that did not continue the list.
    invalid_pages: u32,
    /// Whether the copy of another instance was waited for.
    has_waited: bool,
}

impl<T> Listing<T> {
    pub(crate) fn new(table: &'static str) -> Self {
        let (items, invalid_rows) = (Vec::new(), InvalidRows::default());
        Self {
            table,
            list: None,
            first_proof: None,
            items,
            invalid_rows,
            invalid_pages: 0,
            has_waited: false,
        }
    }

    /// The list so far, which the next page continues.
    pub(crate) fn list(&self) -> Option<&TableList> {
        self.list.as_ref()
    }

    /// Adds the page that a call sent at `sent` returned. Returns the table if it was the last one.
    pub(crate) fn add(&mut self, node: &Node, sent: Timestamp, page: Page<T>) -> Option<Listed<T>> {
        let Page { items, invalid_rows, list, step, store_clock } = page;
        self.invalid_pages = 0;
        self.first_proof.get_or_insert(Proof { sent, store_clock });
        self.items.extend(items);
        self.invalid_rows.add(invalid_rows);
        self.list = Some(list);
        node.metrics.store_page_read();
        self.report_progress();
        match step {
            ListStep::Continue => None,
            ListStep::Complete => self.finish(false),
            ListStep::Truncated => {
                self.report_end(node, "truncated", "table exceeds the bounds of a list");
                self.finish(true)
            }
        }
    }

    /// Records that the copy of another instance is waited for. Returns whether it is the first time.
    pub(crate) fn begin_wait(&mut self) -> bool {
        !std::mem::replace(&mut self.has_waited, true)
    }

    /// Records a page that does not continue the list. Returns whether it is to be read again.
    pub(crate) fn retries_invalid_page(&mut self, e: ListError) -> bool {
        self.invalid_pages += 1;
        e != ListError::HistoryChanged && self.invalid_pages < MAX_INVALID_PAGES
    }

    /// Ends the list at a page that does not continue it. Returns what was read before, if that is
    /// part of the table as the store still holds it.
    pub(crate) fn end_at(&mut self, node: &Node, e: ListError) -> Option<Listed<T>> {
        self.report_end(node, e.label(), &e.to_string());
        if e == ListError::HistoryChanged { None } else { self.finish(true) }
    }

    /// Logs a list that takes several pages, each time that their number has doubled.
    fn report_progress(&self) {
        let Some(list) = self.list.as_ref().filter(|list| list.pages() > 1) else { return };
        let (pages, rows) = (list.pages(), list.rows());
        if pages.is_power_of_two() {
            log::info!(target: "store", table = self.table, pages, rows, from:% = list.from(); "table takes several pages");
        }
    }

    fn report_end(&self, node: &Node, code: &'static str, why: &str) {
        node.metrics.list_ended_early(code);
        let (pages, rows) = self.list.as_ref().map_or((0, 0), |list| (list.pages(), list.rows()));
        let key = self.list.as_ref().and_then(TableList::last).cloned().unwrap_or_default();
        log::warn!(target: "store", table = self.table, pages, rows, key:%, why; "table not read to its end");
    }

    fn finish(&mut self, is_partial: bool) -> Option<Listed<T>> {
        let list = self.list.take()?;
        Some(Listed {
            items: std::mem::take(&mut self.items),
            cursor: list.cursor()?,
            proof: self.first_proof.take()?,
            pages: list.pages(),
            invalid_rows: std::mem::take(&mut self.invalid_rows),
            read_to: if is_partial { Some(list.last().cloned().unwrap_or_default()) } else { None },
        })
    }
}

/// Reads a whole table, for parts that do not watch it. Calls for further pages are repeated.
///
/// # Errors
///
/// The call for the first page failed, or one for a further page again and again.
pub(crate) async fn read_table<T>(
    node: &Node,
    name: &'static str,
    min_timeout: Duration,
    table: &(impl PagedTable<T> + ?Sized),
) -> Result<Listed<T>, SourceError> {
    let mut listing = Listing::new(name);
    let mut failures = 0;
    loop {
        let sent = node.clock.now();
        let timeout = min_timeout.max(node.store_pace.get().timeout());
        let call = tokio::time::timeout(timeout, table.read_page(listing.list()));
        let page = tokio::select! {
            page = call => page.unwrap_or(Err(SourceError::TimedOut)),
            () = hung_call_outlived_outage(node, sent) => continue,
        };
        let error = match page {
            Ok(page) => {
                failures = 0;
                match listing.add(node, sent, page) {
                    Some(listed) => return Ok(listed),
                    None => continue,
                }
            }
            Err(e) => e,
        };
        failures += 1;
        match error {
            SourceError::InvalidPage(e) if !listing.retries_invalid_page(e) => {
                return listing.end_at(node, e).ok_or(error);
            }
            SourceError::InvalidPage(_) => tokio::time::sleep(RETRY_DELAY).await,
            SourceError::HistoryGone => return Err(error),
            _ if listing.list().is_none() || failures > MAX_PAGE_FAILURES => return Err(error),
            _ => tokio::time::sleep(RETRY_DELAY.mul_f64(node.store_retry_factor())).await,
        }
    }
}

/// Waits until the store is available again after a call that was sent at `sent` may have been lost
/// with it.
pub(crate) async fn hung_call_outlived_outage(node: &Node, sent: Timestamp) {
    loop {
        node.store_recovered.notified().await;
        if node.clock.now().since(sent) >= HUNG_CALL {
            return;
        }
    }
}
