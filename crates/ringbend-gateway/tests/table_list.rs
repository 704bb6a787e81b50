//! Lists of a table of the store that take several calls, beside changes between them.

use std::collections::{BTreeMap, BTreeSet};

use quickcheck::{Arbitrary, Gen, quickcheck};
use ringbend_gateway::{LIST_BOUNDS, ListBounds, ListError, ListPage, ListStep, TableList};
use ringbend_types::{Cursor, StoreKey};

fn page(keys: &[&str], has_more: bool) -> ListPage {
    let keys = keys.iter().map(|key| StoreKey::from(*key)).collect();
    ListPage { keys, bytes: 10, has_more, cursor: Cursor::new(1, 7) }
}

fn list() -> TableList {
    TableList::new("", LIST_BOUNDS)
}

/// Guards against a row that counts twice because each page begins with the row that the one before ended with.
#[test]
fn the_repeated_row_is_known_by_its_key() {
    let mut list = list();
    assert_eq!(list.add(&page(&["a", "b"], true)), Ok((ListStep::Continue, 0)));
    assert_eq!(list.from().as_str(), "b");
    assert_eq!(list.add(&page(&["b", "c"], false)), Ok((ListStep::Complete, 1)));
    assert_eq!((list.rows(), list.pages()), (3, 2));
}

/// Guards against a row that is dropped in place of a repeated one that was removed between two pages.
#[test]
fn no_row_is_taken_for_one_that_was_removed() {
    let mut list = list();
    list.add(&page(&["a", "b"], true)).unwrap();
    assert_eq!(list.add(&page(&["c"], false)), Ok((ListStep::Complete, 0)));
}

/// Guards against a list without an end.
#[test]
fn a_page_that_does_not_advance_the_list_is_an_error() {
    let mut list = list();
    assert_eq!(list.add(&page(&[], true)), Err(ListError::Stalled));
    list.add(&page(&["a", "b"], true)).unwrap();
    let before = list.clone();
    assert_eq!(list.add(&page(&["b"], true)), Err(ListError::Stalled));
    assert_eq!(list.add(&page(&[], true)), Err(ListError::Stalled));
    assert_eq!(list.add(&page(&["a", "b"], true)), Err(ListError::Unordered));
    assert_eq!(list.add(&page(&["d", "c"], true)), Err(ListError::Unordered));
    assert_eq!(list.add(&page(&["b", "b"], true)), Err(ListError::Unordered));
    assert_eq!(list, before);
}

/// Guards against rows of two histories in one list.
#[test]
fn a_page_of_another_history_is_an_error() {
    let mut list = list();
    list.add(&page(&["a"], true)).unwrap();
    for cursor in [Cursor::new(1, 6), Cursor::new(2, 9), Cursor::new(0, 9)] {
        let other = ListPage { cursor, ..page(&["b"], true) };
        assert_eq!(list.add(&other), Err(ListError::HistoryChanged));
    }
    let later = ListPage { cursor: Cursor::new(1, 9), ..page(&["b"], true) };
    assert_eq!(list.add(&later), Ok((ListStep::Continue, 0)));
    assert_eq!(list.cursor(), Some(Cursor::new(1, 7)), "changes follow from the first page on");
}

/// Guards against a table that grows as fast as it is read.
#[test]
fn a_list_ends_at_its_bounds() {
    let bounds = [
        ListBounds { pages: 2, ..LIST_BOUNDS },
        ListBounds { rows: 3, ..LIST_BOUNDS },
        ListBounds { bytes: 15, ..LIST_BOUNDS },
    ];
    for bounds in bounds {
        let mut list = TableList::new("", bounds);
        assert_eq!(list.add(&page(&["a", "b"], true)), Ok((ListStep::Continue, 0)), "{bounds:?}");
        assert_eq!(list.add(&page(&["c"], true)), Ok((ListStep::Truncated, 0)), "{bounds:?}");
        assert_eq!(list.last().map(StoreKey::as_str), Some("c"));
    }
}

#[test]
fn rows_that_are_skipped_are_not_asked_for() {
    let mut list = TableList::new("c", LIST_BOUNDS);
    list.add(&page(&["c", "d"], true)).unwrap();
    list.skip_to("e/");
    assert_eq!(list.from().as_str(), "e/");
    list.skip_to("a");
    assert_eq!(list.add(&page(&["dd"], false)), Err(ListError::Unordered));
    assert_eq!(list.add(&page(&["e/z"], false)), Ok((ListStep::Complete, 0)));
}

/// A change of a table between two pages.
#[derive(Debug, Clone)]
enum Change {
    Put(u8),
    Remove(u8),
}

impl Arbitrary for Change {
    fn arbitrary(g: &mut Gen) -> Self {
        let key = u8::arbitrary(g) % 24;
        if bool::arbitrary(g) { Self::Put(key) } else { Self::Remove(key) }
    }
}

fn key(number: u8) -> StoreKey {
    format!("{number:02}").as_str().into()
}

/// A table with the version of each row, and the versions at which rows were removed.
#[derive(Default)]
struct Table {
    rows: BTreeMap<StoreKey, u64>,
    removed: BTreeMap<StoreKey, u64>,
    version: u64,
}

impl Table {
    fn change(&mut self, change: &Change) {
        self.version += 1;
        match change {
            Change::Put(number) => {
                self.removed.remove(&key(*number));
                self.rows.insert(key(*number), self.version);
            }
            Change::Remove(number) => {
                if self.rows.remove(&key(*number)).is_some() {
                    self.removed.insert(key(*number), self.version);
                }
            }
        }
    }

    fn page(&self, from: &StoreKey, limit: usize) -> ListPage {
        let mut keys: Vec<StoreKey> =
            self.rows.range(from.clone()..).map(|(key, _)| key.clone()).take(limit + 1).collect();
        let has_more = keys.len() > limit;
        keys.truncate(limit);
        ListPage { keys, bytes: 0, has_more, cursor: Cursor::new(1, self.version) }
    }

    /// Applies the changes after a version to keys that were listed before.
    fn apply_changes(&self, keys: &mut BTreeSet<StoreKey>, after: u64) {
        keys.extend(self.rows.iter().filter(|(_, at)| **at > after).map(|(key, _)| key.clone()));
        for (key, _) in self.removed.iter().filter(|(_, at)| **at > after) {
            keys.remove(key);
        }
    }
}

/// Lists a table that changes after each page, and then reads the changes. `skips_first` drops the first row of
/// each further page, whatever its key is.
fn listed_keys(
    table: &mut Table,
    changes: &[Vec<Change>],
    limit: usize,
    skips_first: bool,
) -> bool {
    let (mut list, mut keys, mut changes) = (list(), BTreeSet::new(), changes.iter());
    loop {
        let page = table.page(list.from(), limit);
        let is_first = list.pages() == 0;
        let Ok((step, repeated)) = list.add(&page) else { return false };
        let skipped = if skips_first { usize::from(!is_first) } else { repeated };
        keys.extend(page.keys.iter().skip(skipped).cloned());
        if step != ListStep::Continue {
            break;
        }
        changes.next().into_iter().flatten().for_each(|change| table.change(change));
    }
    table.apply_changes(&mut keys, list.cursor().unwrap().version);
    keys.iter().eq(table.rows.keys())
}

quickcheck! {
    /// Whatever changes between two pages, the list and the changes after its first page give the table.
    fn a_list_and_the_changes_after_it_give_the_table(
        before: Vec<Change>, changes: Vec<Vec<Change>>, limit: usize
    ) -> bool {
        let mut table = Table::default();
        before.iter().for_each(|change| table.change(change));
        listed_keys(&mut table, &changes, 2 + limit % 5, false)
    }
}

/// The check above notices a list that takes the first row of a page for the one that ended the page before.
#[test]
fn dropping_the_first_row_of_a_page_loses_rows() {
    let mut table = Table::default();
    (0..6).for_each(|number| table.change(&Change::Put(number)));
    assert!(!listed_keys(&mut table, &[vec![Change::Remove(2)]], 3, true));
}
