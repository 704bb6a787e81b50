//! Which endpoints take new work, around an outage of the store.

mod support;

use ringbend_gateway::{Directory, Endpoint, EndpointChange, OUTAGE_GRACE};
use ringbend_types::Timestamp;
use support::{at, endpoint, fleet, service};

fn ready_count(directory: &Directory, now: Timestamp) -> usize {
    directory.of_service(now, &service("engines")).count()
}

fn leaving(number: usize) -> EndpointChange {
    EndpointChange::Present(Endpoint { leaving: true, ..endpoint(number) })
}

fn gone(number: usize) -> EndpointChange {
    EndpointChange::Gone(endpoint(number).id)
}

fn directory_of_two() -> Directory {
    let mut directory = Directory::default();
    directory.replace(at(0), fleet(2));
    directory
}

#[test]
fn a_leaving_or_removed_endpoint_takes_no_new_work() {
    let mut directory = directory_of_two();
    directory.apply(at(1), leaving(1));
    assert_eq!(ready_count(&directory, at(1)), 1);
    directory.apply(at(2), gone(2));
    assert_eq!(ready_count(&directory, at(2)), 0);
}

#[test]
fn an_endpoint_whose_row_expired_in_an_outage_stays_available_for_the_grace_time() {
    let mut directory = directory_of_two();
    directory.store_recovered(at(1_000));
    directory.replace(at(1_000), vec![endpoint(1)]);
    assert_eq!(ready_count(&directory, at(1_100)), 2);
    assert_eq!(ready_count(&directory, at(1_000) + OUTAGE_GRACE), 1);
}

#[test]
fn an_endpoint_whose_row_reappears_in_time_stays_available() {
    let mut directory = directory_of_two();
    directory.store_recovered(at(1_000));
    directory.apply(at(1_000), gone(2));
    directory.apply(at(2_000), EndpointChange::Present(endpoint(2)));
    assert_eq!(ready_count(&directory, at(9_000)), 2);
}

#[test]
fn a_leaving_endpoint_gets_no_grace_time() {
    let mut directory = directory_of_two();
    directory.apply(at(900), leaving(2));
    directory.store_recovered(at(1_000));
    directory.apply(at(1_000), gone(2));
    assert_eq!(ready_count(&directory, at(1_001)), 1);
    assert_eq!(directory.len(), 1);
}

/// Guards against requests to endpoints that have left, from an instance that was cut off from the
/// store and took that for an outage.
#[test]
fn an_endpoint_whose_row_is_missing_is_removed_if_the_store_was_not_away() {
    let mut directory = directory_of_two();
    directory.store_recovered(at(1_000));
    directory.apply(at(1_000), gone(2));
    directory.outage_refuted(at(1_100));
    assert_eq!((ready_count(&directory, at(1_100)), directory.len()), (1, 1));
    directory.apply(at(1_200), gone(1));
    assert!(directory.is_empty());
}
