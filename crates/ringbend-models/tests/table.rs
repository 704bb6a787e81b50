//! Pages of the table model, and their wire format.

use ringbend_models::{TableModel, TablePage, TableRates};
use ringbend_platform::{RowKey, TableReply, TableRequest, Write};
use ringbend_types::Timestamp;
use serde_json::json;

fn table(rows: usize, value: &str) -> TableModel {
    let mut table = TableModel::new(TableRates { writes_per_s: u32::MAX, reads_per_s: u32::MAX });
    let write =
        |n| Write::Put { key: RowKey::new(format!("a/{n:04}")), value: value.into(), ttl_s: None };
    let writes = (0..rows).map(write).collect();
    let request = TableRequest::Commit { conditions: Vec::new(), writes };
    table.call(Timestamp(0), &request).unwrap();
    table
}

/// Number of rows of a page with this limit, and whether there are more.
fn scan(table: &mut TableModel, after: Option<&str>, limit: usize) -> (usize, bool) {
    let after = after.map(RowKey::new);
    let request = TableRequest::Scan { prefix: "a/".into(), after, limit, paged: true };
    match table.call(Timestamp(0), &request) {
        Ok(TableReply::Page { rows, has_more }) => (rows.len(), has_more),
        other => panic!("unexpected reply {other:?}"),
    }
}

/// Guards against a stand-in that returns more rows than a real service, so that no test reads a
/// second page.
#[test]
fn a_page_is_bounded_by_default() {
    let mut rows = table(1_100, "x");
    assert_eq!(scan(&mut rows, None, 10_000), (500, true));
    assert_eq!(scan(&mut rows, Some("a/0499"), 10_000), (500, true));
    assert_eq!(scan(&mut rows, Some("a/0999"), 10_000), (100, false));
    assert_eq!(scan(&mut rows, Some("a/0999"), 100), (100, false));
    assert_eq!(scan(&mut rows, Some("a/0999"), 99), (99, true));
    let mut large = table(30, &"x".repeat(100_000));
    assert_eq!(scan(&mut large, None, 10_000), (9, true));
    let mut larger = table(2, &"x".repeat(2_000_000));
    assert_eq!(scan(&mut larger, None, 10_000), (1, true));
}

#[test]
fn a_page_size_can_be_set() {
    let mut rows = table(10, "x");
    rows.set_page(TablePage { max_rows: 4, ..TablePage::default() });
    assert_eq!(scan(&mut rows, None, 200), (4, true));
    assert_eq!(scan(&mut rows, Some("a/0007"), 200), (2, false));
    assert_eq!(scan(&mut rows, Some("a/0009"), 200), (0, false));
}

/// Guards against a change of the wire format that instances or services of earlier versions
/// cannot read.
#[test]
fn requests_and_replies_of_earlier_versions_are_unchanged() {
    let old = json!({ "scan": { "prefix": "a/", "after": null, "limit": 7 } });
    let request: TableRequest = serde_json::from_value(old.clone()).unwrap();
    let expected = TableRequest::Scan { prefix: "a/".into(), after: None, limit: 7, paged: false };
    assert_eq!(request, expected);
    assert_eq!(serde_json::to_value(&request).unwrap(), old);
    let reply = table(10, "x").call(Timestamp(0), &request).unwrap();
    let reply = serde_json::to_value(&reply).unwrap();
    assert_eq!(reply["rows"].as_array().map(Vec::len), Some(7), "{reply}");
}
