//! Drain announcements of endpoints.

mod support;

use ringbend_gateway::{Directory, Drain, Drains, Endpoint, EndpointChange, OUTAGE_GRACE};
use ringbend_types::{EndpointStart, Timestamp};
use support::{at, endpoint, fleet, service};

fn started(number: usize, ms: u64) -> Endpoint {
    Endpoint { start: Some(EndpointStart(ms)), ..endpoint(number) }
}

fn drain(endpoint: &Endpoint) -> Drain {
    Drain { endpoint: endpoint.id.clone(), start: endpoint.start }
}

fn ready_count(directory: &Directory, now: Timestamp) -> usize {
    directory.of_service(now, &service("engines")).count()
}

/// Guards against a row that makes a draining endpoint available again.
#[test]
fn announcement_overrides_later_rows() {
    let mut directory = Directory::default();
    directory.replace(at(0), fleet(2));
    assert!(directory.note_drain(at(1), drain(&endpoint(1))));
    assert!(!directory.note_drain(at(2), drain(&endpoint(1))));
    directory.apply(at(3), EndpointChange::Present(endpoint(1)));
    assert_eq!((ready_count(&directory, at(3)), directory.leaving()), (1, 1));
    directory.apply(at(4), EndpointChange::Gone(endpoint(1).id));
    directory.sweep_drains(at(60_000));
    directory.replace(at(60_001), fleet(2));
    assert_eq!(ready_count(&directory, at(60_001)), 1);
}

/// Guards against keeping a draining endpoint available because its row expired around a store
/// outage.
#[test]
fn draining_endpoint_whose_row_expired_gets_no_grace_time() {
    let mut directory = Directory::default();
    directory.replace(at(0), fleet(2));
    directory.note_drain(at(900), drain(&endpoint(2)));
    directory.store_recovered(at(1_000));
    directory.apply(at(1_000), EndpointChange::Gone(endpoint(2).id));
    assert_eq!((ready_count(&directory, at(1_001)), directory.len()), (1, 1));
    assert!(ready_count(&directory, at(1_000) + OUTAGE_GRACE) == 1);
}

/// Guards against losing an announcement that arrives before the endpoint's row.
#[test]
fn announcement_before_the_row_applies_once_the_row_arrives() {
    let mut directory = Directory::default();
    directory.note_drain(at(0), drain(&endpoint(1)));
    directory.replace(at(1), fleet(1));
    assert_eq!(ready_count(&directory, at(1)), 0);
}

/// Guards against a late announcement of an earlier process, and against an announcement that
/// outlives its process.
#[test]
fn announcement_applies_only_to_its_process() {
    let mut directory = Directory::default();
    directory.replace(at(0), vec![started(1, 100)]);
    directory.note_drain(at(1), drain(&started(1, 100)));
    directory.apply(at(2), EndpointChange::Present(started(1, 200)));
    assert_eq!(ready_count(&directory, at(2)), 1);
    assert!(!directory.note_drain(at(3), drain(&started(1, 100))));
    assert_eq!(ready_count(&directory, at(3)), 1);
    assert!(directory.note_drain(at(4), drain(&started(1, 200))));
    assert_eq!(ready_count(&directory, at(4)), 0);
}

/// Guards against an unbounded table of announcements.
#[test]
fn announcements_are_bounded_and_old_ones_of_gone_endpoints_are_dropped() {
    let mut drains = Drains::default();
    for number in 0..5_000 {
        drains.note(at(number), drain(&endpoint(number as usize)));
    }
    assert_eq!(drains.len(), 4_096);
    assert!(drains.contains(&endpoint(4_999)) && !drains.contains(&endpoint(0)));
    drains.sweep(at(700_000), |id| *id == endpoint(4_999).id);
    assert_eq!(drains.len(), 1);
}

/// Guards against a table restored from an older copy, in which a draining endpoint is still ready.
#[test]
fn older_row_does_not_revoke_draining() {
    let mut directory = Directory::default();
    directory.replace(at(0), vec![started(1, 100), endpoint(2)]);
    for endpoint in [started(1, 100), endpoint(2)] {
        let draining = Endpoint { leaving: true, ..endpoint };
        directory.apply(at(1), EndpointChange::Present(draining));
    }
    directory.replace(at(2), vec![started(1, 100), endpoint(2)]);
    assert_eq!(ready_count(&directory, at(2)), 0);
    directory.apply(at(3), EndpointChange::Present(started(1, 200)));
    assert_eq!(ready_count(&directory, at(3)), 1);
}
