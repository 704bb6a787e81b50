//! Endpoints that restart under the same id, and endpoints that start at the address of one that
//! ended.
//!
//! Scenario: an endpoint crashes, visibly or behind a partition, and restarts within seconds. Its
//! rows arrive in any order: heartbeats of the earlier process have reappeared four seconds after
//! its row had expired. Work that is still attributed to it occupies its slots until callers
//! disconnect, and the row of an ended endpoint attracts requests that nothing runs.

mod support;

use ringbend_gateway::{
    Directory, EndedEndpoints, Endpoint, EndpointChange, HealthEvent, HealthTracker, LoadTracker,
};
use ringbend_types::{EndpointStart, Timestamp};
use support::{at, endpoint, ms, service, work, work_id};

fn started(number: usize, start: u64) -> Endpoint {
    Endpoint { start: Some(EndpointStart(start)), ..endpoint(number) }
}

fn present(endpoint: &Endpoint) -> EndpointChange {
    EndpointChange::Present(endpoint.clone())
}

/// An endpoint with another id but the same address and service.
fn successor(of: &Endpoint) -> Endpoint {
    Endpoint { id: "e-99".parse().unwrap(), ..of.clone() }
}

fn ids(directory: &Directory, now: Timestamp) -> Vec<String> {
    directory.of_service(now, &service("engines")).map(|e| e.id.to_string()).collect()
}

#[test]
fn a_later_process_with_the_same_id_ends_the_earlier_one() {
    let mut directory = Directory::default();
    let (former, later) = (started(1, 100), started(1, 200));
    assert!(directory.apply(at(0), present(&former)).is_empty());
    let ended = directory.apply(at(1), present(&later));
    assert_eq!(ended.as_slice(), std::slice::from_ref(&former.id));
    assert!(directory.has_ended(&former) && !directory.has_ended(&later));
}

#[test]
fn a_row_of_an_earlier_process_is_ignored() {
    let mut directory = Directory::default();
    directory.apply(at(0), present(&started(1, 200)));
    let late = Endpoint { leaving: true, ..started(1, 100) };
    assert!(directory.apply(at(1), present(&late)).is_empty());
    assert_eq!(directory.get(&late.id), Some(&started(1, 200)));
}

#[test]
fn a_row_of_an_earlier_process_is_ignored_after_the_row_was_removed() {
    let mut directory = Directory::default();
    directory.apply(at(0), present(&started(1, 200)));
    directory.apply(at(1), EndpointChange::Gone(endpoint(1).id));
    directory.apply(at(2), present(&started(1, 100)));
    assert!(ids(&directory, at(2)).is_empty());
    assert_eq!(directory.apply(at(3), present(&started(1, 300))).len(), 1);
    assert_eq!(ids(&directory, at(3)), ["e-01"]);
}

#[test]
fn a_start_reported_by_the_endpoint_takes_effect_before_its_row() {
    let mut directory = Directory::default();
    directory.apply(at(0), present(&started(1, 100)));
    assert_eq!(directory.note_start(&endpoint(1).id, EndpointStart(200)).len(), 1);
    assert!(directory.note_start(&endpoint(1).id, EndpointStart(200)).is_empty());
    assert!(directory.apply(at(1), present(&started(1, 200))).is_empty());
}

#[test]
fn a_row_without_the_start_time_of_a_known_process_is_rejected() {
    let mut directory = Directory::default();
    directory.apply(at(0), present(&started(1, 100)));
    directory.apply(at(1), present(&endpoint(1)));
    assert!(ids(&directory, at(1)).is_empty());
}

#[test]
fn an_endpoint_that_starts_at_an_address_ends_the_previous_one() {
    let mut directory = Directory::default();
    directory.apply(at(0), present(&endpoint(1)));
    let ended = directory.apply(at(1), present(&successor(&endpoint(1))));
    assert_eq!(ended.as_slice(), [endpoint(1).id]);
    assert_eq!(ids(&directory, at(1)), ["e-99"]);
}

#[test]
fn a_late_row_of_the_previous_endpoint_at_an_address_is_ignored() {
    let mut directory = Directory::default();
    directory.apply(at(0), present(&endpoint(1)));
    directory.apply(at(1), EndpointChange::Gone(endpoint(1).id));
    directory.apply(at(2), present(&successor(&endpoint(1))));
    assert!(directory.apply(at(3), present(&endpoint(1))).is_empty());
    assert_eq!(ids(&directory, at(3)), ["e-99"]);
}

#[test]
fn a_row_of_another_service_at_the_same_address_ends_no_endpoint() {
    let mut directory = Directory::default();
    directory.apply(at(0), present(&endpoint(1)));
    let foreign = Endpoint { service: service("unknown"), ..successor(&endpoint(1)) };
    assert!(directory.apply(at(1), present(&foreign)).is_empty());
    assert_eq!(ids(&directory, at(1)), ["e-01"]);
}

#[test]
fn of_two_endpoints_first_seen_together_neither_has_ended() {
    let mut directory = Directory::default();
    let ended: EndedEndpoints =
        directory.replace(at(0), vec![endpoint(1), successor(&endpoint(1))]);
    assert!(ended.is_empty());
    assert_eq!(ids(&directory, at(0)).len(), 2);
}

#[test]
fn an_unreadable_row_removes_its_endpoint_at_once_even_after_an_outage() {
    let mut directory = Directory::default();
    directory.apply(at(0), present(&endpoint(1)));
    directory.store_recovered(at(10));
    directory.apply(at(11), EndpointChange::Unreadable(endpoint(1).id));
    assert!(ids(&directory, at(11)).is_empty());
}

#[test]
fn work_on_an_ended_endpoint_is_dropped_and_other_work_stays() {
    let mut load = LoadTracker::default();
    let helped = ringbend_gateway::Work {
        helpers: [endpoint(1).id].into_iter().collect(),
        ..work(2, ms(300))
    };
    load.place(at(0), work_id(1), work(1, ms(500)));
    load.place(at(0), work_id(2), helped);
    load.remove_endpoint(at(1), &endpoint(1).id);
    assert!(load.work(work_id(1)).is_none() && load.work(work_id(2)).is_some());
    let lost = load.of(&endpoint(1).id);
    assert!(lost.backlog().is_zero() && lost.decodes().is_empty() && lost.memory_tokens() == 0);
    load.end(at(2), work_id(2));
    assert_eq!(load.open_requests(), 0);
}

#[test]
fn an_address_where_another_endpoint_responded_is_avoided_for_longer_than_late_rows_remain() {
    let mut health = HealthTracker::default();
    health.note(at(0), &endpoint(1).id, HealthEvent::Foreign);
    assert!(health.penalty_ms(at(9_000), &endpoint(1).id) > 0.0);
    health.forget(&endpoint(1).id);
    assert_eq!(health.penalty_ms(at(9_000), &endpoint(1).id), 0.0);
}
