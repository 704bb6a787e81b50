//! Announcements of draining endpoints.

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

fn ready(directory: &Directory, now: Timestamp) -> usize {
    directory.of_service(now, &service("engines")).count()
}

/// Guards against a row that brings a draining endpoint back.
#[test]
fn announcement_outlasts_rows_that_say_otherwise() {
    let mut directory = Directory::default();
    directory.replace(at(0), fleet(2));
    assert!(directory.note_drain(at(1), drain(&endpoint(1))));
    assert!(!directory.note_drain(at(2), drain(&endpoint(1))));
    directory.apply(at(3), EndpointChange::Present(endpoint(1)));
    assert_eq!((ready(&directory, at(3)), directory.leaving()), (1, 1));
    directory.apply(at(4), EndpointChange::Gone(endpoint(1).id));
    directory.sweep_drains(at(60_000));
    directory.replace(at(60_001), fleet(2));
    assert_eq!(ready(&directory, at(60_001)), 1);
}

/// Guards against a draining endpoint that is believed in because its row lapsed around an outage of the store.
#[test]
fn draining_endpoint_whose_row_lapsed_is_not_believed_in() {
    let mut directory = Directory::default();
    directory.replace(at(0), fleet(2));
    directory.note_drain(at(900), drain(&endpoint(2)));
    directory.store_recovered(at(1_000));
    directory.apply(at(1_000), EndpointChange::Gone(endpoint(2).id));
    assert_eq!((ready(&directory, at(1_001)), directory.len()), (1, 1));
    assert!(ready(&directory, at(1_000) + OUTAGE_GRACE) == 1);
}

/// Guards against an announcement that comes before the endpoint's row.
#[test]
fn announcement_of_an_endpoint_without_a_row_holds_once_the_row_comes() {
    let mut directory = Directory::default();
    directory.note_drain(at(0), drain(&endpoint(1)));
    directory.replace(at(1), fleet(1));
    assert_eq!(ready(&directory, at(1)), 0);
}

/// Guards against a late announcement of a former process, and one that outlives its process.
#[test]
fn announcement_holds_for_its_process_alone() {
    let mut directory = Directory::default();
    directory.replace(at(0), vec![started(1, 100)]);
    directory.note_drain(at(1), drain(&started(1, 100)));
    directory.apply(at(2), EndpointChange::Present(started(1, 200)));
    assert_eq!(ready(&directory, at(2)), 1);
    assert!(!directory.note_drain(at(3), drain(&started(1, 100))));
    assert_eq!(ready(&directory, at(3)), 1);
    assert!(directory.note_drain(at(4), drain(&started(1, 200))));
    assert_eq!(ready(&directory, at(4)), 0);
}

/// Guards against a table of announcements that grows without bound.
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

/// Guards against a table that comes back from an older copy, in which a draining endpoint is still ready.
#[test]
fn older_row_does_not_bring_back_an_endpoint_whose_row_said_draining() {
    let mut directory = Directory::default();
    directory.replace(at(0), vec![started(1, 100), endpoint(2)]);
    for endpoint in [started(1, 100), endpoint(2)] {
        let draining = Endpoint { leaving: true, ..endpoint };
        directory.apply(at(1), EndpointChange::Present(draining));
    }
    directory.replace(at(2), vec![started(1, 100), endpoint(2)]);
    assert_eq!(ready(&directory, at(2)), 0);
    directory.apply(at(3), EndpointChange::Present(started(1, 200)));
    assert_eq!(ready(&directory, at(3)), 1);
}
