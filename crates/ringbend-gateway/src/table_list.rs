//! Lists of a table of the store that take several calls: where the next page begins, and when a
//! list ends although the store has more.

use std::fmt;

use ringbend_types::{Cursor, StoreKey};

/// Bounds of one list, beyond which it ends without the remaining rows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListBounds {
    /// The maximum number of pages.
    pub pages: usize,
    /// The maximum number of rows.
    pub rows: usize,
    /// The maximum size of all keys and encoded values, in bytes.
    pub bytes: usize,
}

/// Many times what the largest fleets need. A platform that shares its tables may hold others' rows.
pub const LIST_BOUNDS: ListBounds = ListBounds { pages: 10_000, rows: 1_000_000, bytes: 1 << 30 };

/// What a list has to know of a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListPage {
    /// The keys of the page's rows, in the order in which the store returned them.
    pub keys: Vec<StoreKey>,
    /// The size of the rows, in bytes.
    pub bytes: usize,
    /// Whether the store says that there are further rows.
    pub has_more: bool,
    /// The position in the store's history that the page reflects.
    pub cursor: Cursor,
}

/// How a list goes on after a page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListStep {
    /// Another page is to be read.
    Continue,
    /// All rows were read.
    Complete,
    /// A bound is reached. The rows after the last one are not read.
    Truncated,
}

/// Why a page does not belong to a list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum ListError {
    /// The keys do not ascend, or lie before those that were requested.
    Unordered,
    /// The store says that there are further rows, but the page has none after the last one.
    Stalled,
    /// The page reflects an earlier state than the first one, or one of another era.
    HistoryChanged,
}

impl ListError {
    /// The error in lower case, for metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Unordered => "unordered",
            Self::Stalled => "stalled",
            Self::HistoryChanged => "history-changed",
        }
    }
}

impl fmt::Display for ListError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unordered => write!(f, "keys of a page do not ascend"),
            Self::Stalled => write!(f, "page has no further rows although there are more"),
            Self::HistoryChanged => write!(f, "page reflects another history"),
        }
    }
}

impl std::error::Error for ListError {}

/// A list of a table, page by page. The list reflects at least the state of its first page: what
/// changes while later ones are read follows in the history after that.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TableList {
    /// The first key of the next page.
    from: StoreKey,
    /// The last key that was read.
    last: Option<StoreKey>,
    cursor: Option<Cursor>,
    pages: usize,
    rows: usize,
    bytes: usize,
    bounds: ListBounds,
}

impl TableList {
    /// A list of the rows from the key `from` on.
    pub fn new(from: &str, bounds: ListBounds) -> Self {
        let (pages, rows, bytes) = (0, 0, 0);
        Self { from: from.into(), last: None, cursor: None, pages, rows, bytes, bounds }
    }

    /// The first key of the next page. Ranges include it, so the row that a page ended with is
    /// returned again unless it was removed.
    pub fn from(&self) -> &StoreKey {
        &self.from
    }

    /// The last key that was read; `None` if there was no row yet.
    pub fn last(&self) -> Option<&StoreKey> {
        self.last.as_ref()
    }

    /// The position that the first page reflects, after which changes have to be read; `None`
    /// before it.
    pub fn cursor(&self) -> Option<Cursor> {
        self.cursor
    }

    /// The number of pages so far.
    pub fn pages(&self) -> usize {
        self.pages
    }

    /// The number of rows so far.
    pub fn rows(&self) -> usize {
        self.rows
    }

    /// Adds a page. Returns how the list goes on, and how many rows the page begins with that were
    /// read before.
    ///
    /// # Errors
    ///
    /// The page does not continue the list, which is left as it was.
    pub fn add(&mut self, page: &ListPage) -> Result<(ListStep, usize), ListError> {
        let first = self.cursor.unwrap_or(page.cursor);
        if page.cursor.era != first.era || page.cursor < first {
            return Err(ListError::HistoryChanged);
        }
        let begins_in_range = page.keys.first().is_none_or(|key| *key >= self.from);
        if !begins_in_range || !page.keys.is_sorted_by(|a, b| a < b) {
            return Err(ListError::Unordered);
        }
        // The row is known by its key: it may have been removed since the page before.
        let repeated = usize::from(self.last.is_some() && page.keys.first() == self.last.as_ref());
        let new = &page.keys[repeated..];
        if page.has_more && new.is_empty() {
            return Err(ListError::Stalled);
        }
        self.cursor = Some(first);
        self.pages += 1;
        self.rows += new.len();
        self.bytes += page.bytes;
        if let Some(last) = new.last() {
            self.last = Some(last.clone());
            self.from = last.clone();
        }
        Ok((self.step(page.has_more), repeated))
    }

    /// Continues at `key`, if that is further on. Rows in between are not read.
    pub fn skip_to(&mut self, key: &str) {
        if key > self.from.as_str() {
            self.from = key.into();
        }
    }

    fn step(&self, has_more: bool) -> ListStep {
        let is_full = self.pages >= self.bounds.pages
            || self.rows >= self.bounds.rows
            || self.bytes >= self.bounds.bytes;
        match (has_more, is_full) {
            (false, _) => ListStep::Complete,
            (true, false) => ListStep::Continue,
            (true, true) => ListStep::Truncated,
        }
    }
}
