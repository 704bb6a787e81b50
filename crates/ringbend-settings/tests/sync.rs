//! Syncs with a table whose pages are short, repeat, go back, are empty or never end.

mod support;

use std::sync::Arc;

use ringbend_models::{TableModel, TablePage};
use ringbend_platform::{Row, RowKey, RowVersion, TableReply, TableRequest, Write};
use ringbend_settings::{Replica, SyncStep, Syncer};
use ringbend_types::SettingsVersion;
use support::{call, commit, path, set, sync, table};

/// More calls than any sync of these tests needs. A sync that makes more of them does not end.
const MAX_CALLS: usize = 10_000;

/// How a sync ended, and the number of its calls.
#[derive(Debug)]
struct Ended {
    step: SyncStep,
    calls: usize,
}

/// Synchronizes a replica with a table of an earlier version, which does not say whether there are more
/// rows. Its replies to scans are changed by `alter`, which is also given the key after which the scan
/// starts.
fn sync_altered(
    table: &mut TableModel,
    replica: &mut Replica,
    mut alter: impl FnMut(&str, Option<&RowKey>, &mut Vec<Row>),
) -> Ended {
    let mut syncer = Syncer::default();
    let mut step = syncer.start();
    for calls in 0..MAX_CALLS {
        let SyncStep::Call(request) = step else { return Ended { step, calls } };
        let mut reply = call(table, &without_pages(&request)).unwrap();
        if let (TableRequest::Scan { prefix, after, .. }, TableReply::Rows(rows)) =
            (&request, &mut reply)
        {
            alter(prefix, after.as_ref(), rows);
        }
        step = syncer.on_reply(replica, &reply);
    }
    panic!("the sync has not ended after {MAX_CALLS} calls");
}

/// The request as a service of an earlier version reads it.
fn without_pages(request: &TableRequest) -> TableRequest {
    match request.clone() {
        TableRequest::Scan { prefix, after, limit, paged: _ } => {
            TableRequest::Scan { prefix, after, limit, paged: false }
        }
        other => other,
    }
}

/// A table with `count` nodes, whose log no longer holds the first entry.
fn table_with_nodes(count: u32) -> TableModel {
    let (mut table, replica) = (table(), Replica::default());
    for n in 0..count {
        commit(&mut table, set(&format!("c{n}"), &format!("/a{n}"), n + 1), &replica);
    }
    delete(&mut table, &log_key(1));
    table
}

fn log_key(version: u64) -> RowKey {
    RowKey::new(format!("settings/log/{version:020}"))
}

fn write(table: &mut TableModel, write: Write) {
    let request = TableRequest::Commit { conditions: Vec::new(), writes: vec![write] };
    call(table, &request).unwrap();
}

fn delete(table: &mut TableModel, key: &RowKey) {
    write(table, Write::Delete { key: key.clone() });
}

fn node_count(replica: &Replica, max: u32) -> usize {
    let is_known = |n: &u32| replica.tree().node(&path(&format!("/a{n}"))).is_some();
    (0..max).filter(is_known).count()
}

fn is_node_scan(prefix: &str) -> bool {
    prefix.starts_with("settings/node")
}

/// Guards against a short page being taken for the last one: the replica would hold a part of the
/// nodes at the newest version, and no later sync would read the others.
#[test]
fn a_short_page_of_nodes_is_not_the_last_one() {
    let mut table = table_with_nodes(50);
    let mut replica = Replica::default();
    let ended = sync_altered(&mut table, &mut replica, |_, _, rows| rows.truncate(3));
    assert_eq!(ended.step, SyncStep::UpToDate);
    assert_eq!(replica.version(), SettingsVersion(50));
    assert_eq!(node_count(&replica, 50), 50);
}

/// Guards against reading the same page of nodes forever.
#[test]
fn a_repeated_page_of_nodes_fails_the_sync() {
    let mut table = table_with_nodes(400);
    let mut first: Option<Vec<Row>> = None;
    let mut replica = Replica::default();
    let ended = sync_altered(&mut table, &mut replica, |prefix, _, rows| {
        if is_node_scan(prefix) {
            *rows = first.get_or_insert_with(|| rows.clone()).clone();
        }
    });
    assert_eq!(ended.step, SyncStep::Failed);
    assert_eq!(replica.version(), SettingsVersion(0), "part of the nodes was put in force");
}

/// Guards against a scan that alternates between two pages: each differs from the one before.
#[test]
fn a_page_of_nodes_before_the_one_asked_for_fails_the_sync() {
    let mut table = table_with_nodes(400);
    let mut pages: Vec<Vec<Row>> = Vec::new();
    let mut replica = Replica::default();
    let ended = sync_altered(&mut table, &mut replica, |prefix, _, rows| {
        if is_node_scan(prefix) {
            if pages.len() < 2 {
                pages.push(rows.clone());
            } else {
                pages.swap(0, 1);
            }
            *rows = pages.last().unwrap().clone();
            rows.truncate(200);
        }
    });
    assert_eq!(ended.step, SyncStep::Failed);
    assert_eq!(replica.version(), SettingsVersion(0));
}

/// Guards against reading the log forever when it holds an entry that cannot be decoded, such as
/// one of a later release.
#[test]
fn an_unreadable_log_entry_is_passed_over_by_reading_the_nodes() {
    let (mut table, mut replica) = (table(), Replica::default());
    commit(&mut table, set("c0", "/a0", 1), &replica);
    sync(&mut table, &mut replica);
    commit(&mut table, set("c1", "/a1", 1), &replica);
    write(&mut table, Write::Put { key: log_key(2), value: "unreadable".into(), ttl_s: None });
    let ended = sync_altered(&mut table, &mut replica, |_, _, _| {});
    assert_eq!(ended.step, SyncStep::UpToDate);
    assert_eq!((replica.version(), node_count(&replica, 2)), (SettingsVersion(2), 2));
}

/// Guards against reading the log forever from a service that returns it from its start.
#[test]
fn a_log_that_does_not_advance_is_passed_over_by_reading_the_nodes() {
    let (mut table, mut replica) = (table(), Replica::default());
    for n in 0..300 {
        commit(&mut table, set(&format!("c{n}"), &format!("/a{n}"), n + 1), &replica);
    }
    let first_page = |table: &mut TableModel| {
        let prefix: Arc<str> = "settings/log/".into();
        match table_scan(table, prefix) {
            TableReply::Rows(rows) => rows,
            other => panic!("unexpected reply {other:?}"),
        }
    };
    let log = first_page(&mut table);
    let ended = sync_altered(&mut table, &mut replica, |prefix, _, rows| {
        if prefix == "settings/log/" {
            *rows = log.clone();
        }
    });
    assert_eq!(ended.step, SyncStep::UpToDate);
    assert_eq!((replica.version(), node_count(&replica, 300)), (SettingsVersion(300), 300));
}

fn table_scan(table: &mut TableModel, prefix: Arc<str>) -> TableReply {
    call(table, &TableRequest::Scan { prefix, after: None, limit: 200, paged: false }).unwrap()
}

/// Guards against a log that is read for as long as it grows: a replica that is far behind reads
/// the nodes instead.
#[test]
fn a_long_log_of_short_pages_is_replaced_by_the_nodes() {
    let (mut table, mut replica) = (table(), Replica::default());
    for n in 0..2_000 {
        commit(&mut table, set(&format!("c{n}"), &format!("/a{}", n % 7), n + 1), &replica);
    }
    let ended = sync_altered(&mut table, &mut replica, |prefix, _, rows| {
        if !is_node_scan(prefix) {
            rows.truncate(1);
        }
    });
    assert_eq!((ended.step, replica.version()), (SyncStep::UpToDate, SettingsVersion(2_000)));
    assert!(ended.calls < 200, "{} calls", ended.calls);
}

/// Returns a page of one row after the one asked for, of any size, for ever.
fn endless_page(after: Option<&RowKey>, rows: usize, value: &Arc<str>) -> Vec<Row> {
    let number = |key: &RowKey| key.as_str().rsplit('x').next().unwrap().parse::<u64>().unwrap();
    let next = after.map_or(0, |key| number(key) + 1);
    let row = |n: u64| Row {
        key: RowKey::new(format!("settings/node/x{n:012}")),
        version: RowVersion(1),
        value: value.clone(),
    };
    (next..next + rows as u64).map(row).collect()
}

/// Guards against a scan that reads rows until the memory is used up.
#[test]
fn a_scan_of_too_many_rows_or_bytes_fails_the_sync() {
    let large: Arc<str> = "x".repeat(1 << 20).into();
    for (rows, value) in [(1, large), (200, Arc::from("x"))] {
        let mut table = table_with_nodes(3);
        let mut replica = Replica::default();
        let ended = sync_altered(&mut table, &mut replica, |prefix, after, page| {
            if is_node_scan(prefix) {
                *page = endless_page(after, rows, &value);
            }
        });
        assert_eq!(ended.step, SyncStep::Failed, "pages of {rows} rows");
        assert_eq!(replica.version(), SettingsVersion(0));
    }
}

/// Changes between two pages cost no further page: they are read from the log by the next sync.
#[test]
fn nodes_changed_between_two_pages_are_read_from_the_log_by_the_next_sync() {
    let mut table = table_with_nodes(450);
    let mut replica = Replica::default();
    let mut syncer = Syncer::default();
    let mut step = syncer.start();
    let (mut calls, mut changes) = (0, 0);
    while let SyncStep::Call(request) = step {
        calls += 1;
        let reply = call(&mut table, &without_pages(&request)).unwrap();
        step = syncer.on_reply(&mut replica, &reply);
        if matches!(&request, TableRequest::Scan { prefix, .. } if is_node_scan(prefix)) {
            // The first of these nodes is in a page that has been read, the other one is not.
            for node in ["a0", "a99"] {
                let id = format!("late{changes}");
                commit(&mut table, set(&id, &format!("/{node}"), 9_000 + changes), &replica);
                changes += 1;
            }
        }
    }
    assert_eq!((step, replica.version()), (SyncStep::UpToDate, SettingsVersion(450)));
    assert!(calls <= 7, "{calls} calls");
    sync(&mut table, &mut replica);
    assert_eq!(replica.version(), SettingsVersion(450 + u64::from(changes)));
    let weight = |at: &str| replica.tree().effective(&path(at)).limits.weight;
    assert_eq!((weight("/a0"), weight("/a99")), (9_000 + changes - 2, 9_000 + changes - 1));
}

/// Guards against a scan that begins again after each failed call: with half of the calls failing,
/// a scan of many pages would practically never end.
#[test]
fn a_scan_continues_after_a_failed_call() {
    let mut table = table_with_nodes(60);
    let mut replica = Replica::default();
    let mut syncer = Syncer::default();
    let mut calls = 0;
    // Each sync makes one call that succeeds, then one that fails.
    for _ in 0..MAX_CALLS {
        let mut step = syncer.start();
        let mut has_failed = false;
        while let SyncStep::Call(request) = &step {
            calls += 1;
            if calls % 3 == 0 {
                has_failed = true;
                break;
            }
            let mut reply = call(&mut table, &without_pages(request)).unwrap();
            if let (TableRequest::Scan { .. }, TableReply::Rows(rows)) = (request, &mut reply) {
                rows.truncate(5);
            }
            step = syncer.on_reply(&mut replica, &reply);
        }
        if !has_failed {
            assert_eq!(step, SyncStep::UpToDate);
            break;
        }
    }
    assert_eq!((replica.version(), node_count(&replica, 60)), (SettingsVersion(60), 60));
    assert!(calls < 60, "{calls} calls");
}

/// A service that says whether there are more rows is read without one more call, whatever the size
/// of its pages.
#[test]
fn the_last_page_of_a_service_with_small_pages_ends_the_scan() {
    let pages = [(500, 1_000_000, 1), (10, 1_000_000, 6), (7, 1_000_000, 9), (500, 1, 60)];
    for (max_rows, max_bytes, scans) in pages {
        let mut table = table_with_nodes(60);
        table.set_page(TablePage { max_rows, max_bytes });
        let before = table.reads();
        let mut replica = Replica::default();
        sync(&mut table, &mut replica);
        assert_eq!((replica.version(), node_count(&replica, 60)), (SettingsVersion(60), 60));
        // The head and a page of the log are read before the nodes.
        assert_eq!(table.reads() - before, 2 + scans, "{max_rows} rows, {max_bytes} bytes");
    }
}

/// Guards against reading empty pages forever.
#[test]
fn an_empty_page_that_claims_more_rows_fails_the_sync() {
    let mut table = table_with_nodes(60);
    let mut replica = Replica::default();
    let mut syncer = Syncer::default();
    let mut step = syncer.start();
    for _ in 0..10 {
        let SyncStep::Call(request) = step else { break };
        let mut reply = call(&mut table, &request).unwrap();
        if let TableReply::Page { rows, has_more } = &mut reply {
            rows.clear();
            *has_more = true;
        }
        step = syncer.on_reply(&mut replica, &reply);
    }
    assert_eq!((step, replica.version()), (SyncStep::Failed, SettingsVersion(0)));
}
