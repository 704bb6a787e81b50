//! Endpoints that start again under the id that they had, and others at the address of one that ended.
//!
//! The pattern: an endpoint crashes, behind a cut or in sight, and starts again within seconds. Its rows
//! arrive in any order: heartbeats of the former start have come back four seconds after its row had
//! lapsed. Work that is believed to be on it keeps its places taken until callers leave, and a row of
//! an ended endpoint draws requests that nobody runs.

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

/// The same address and service under another id.
fn successor(of: &Endpoint) -> Endpoint {
    Endpoint { id: "e-99".parse().unwrap(), ..of.clone() }
}

fn ids(directory: &Directory, now: Timestamp) -> Vec<String> {
    directory.of_service(now, &service("engines")).map(|e| e.id.to_string()).collect()
}

#[test]
fn a_later_start_under_the_same_id_ends_the_former_one() {
    let mut directory = Directory::default();
    let (former, later) = (started(1, 100), started(1, 200));
    assert!(directory.apply(at(0), present(&former)).is_empty());
    let ended = directory.apply(at(1), present(&later));
    assert_eq!(ended.as_slice(), std::slice::from_ref(&former.id));
    assert!(directory.has_ended(&former) && !directory.has_ended(&later));
}

#[test]
fn a_row_of_a_former_start_changes_nothing() {
    let mut directory = Directory::default();
    directory.apply(at(0), present(&started(1, 200)));
    let late = Endpoint { leaving: true, ..started(1, 100) };
    assert!(directory.apply(at(1), present(&late)).is_empty());
    assert_eq!(directory.get(&late.id), Some(&started(1, 200)));
}

#[test]
fn a_row_of_a_former_start_changes_nothing_after_the_entry_was_gone() {
    let mut directory = Directory::default();
    directory.apply(at(0), present(&started(1, 200)));
    directory.apply(at(1), EndpointChange::Gone(endpoint(1).id));
    directory.apply(at(2), present(&started(1, 100)));
    assert!(ids(&directory, at(2)).is_empty());
    assert_eq!(directory.apply(at(3), present(&started(1, 300))).len(), 1);
    assert_eq!(ids(&directory, at(3)), ["e-01"]);
}

#[test]
fn an_endpoints_own_word_of_its_start_comes_before_its_row() {
    let mut directory = Directory::default();
    directory.apply(at(0), present(&started(1, 100)));
    assert_eq!(directory.note_start(&endpoint(1).id, EndpointStart(200)).len(), 1);
    assert!(directory.note_start(&endpoint(1).id, EndpointStart(200)).is_empty());
    assert!(directory.apply(at(1), present(&started(1, 200))).is_empty());
}

#[test]
fn a_row_without_the_start_that_an_endpoint_always_tells_is_of_another_writer() {
    let mut directory = Directory::default();
    directory.apply(at(0), present(&started(1, 100)));
    directory.apply(at(1), present(&endpoint(1)));
    assert!(ids(&directory, at(1)).is_empty());
}

#[test]
fn whoever_starts_at_an_address_ends_the_endpoint_that_was_there() {
    let mut directory = Directory::default();
    directory.apply(at(0), present(&endpoint(1)));
    let ended = directory.apply(at(1), present(&successor(&endpoint(1))));
    assert_eq!(ended.as_slice(), [endpoint(1).id]);
    assert_eq!(ids(&directory, at(1)), ["e-99"]);
}

#[test]
fn a_late_row_of_the_endpoint_that_was_there_names_none() {
    let mut directory = Directory::default();
    directory.apply(at(0), present(&endpoint(1)));
    directory.apply(at(1), EndpointChange::Gone(endpoint(1).id));
    directory.apply(at(2), present(&successor(&endpoint(1))));
    assert!(directory.apply(at(3), present(&endpoint(1))).is_empty());
    assert_eq!(ids(&directory, at(3)), ["e-99"]);
}

#[test]
fn an_endpoint_that_another_services_row_names_goes_on() {
    let mut directory = Directory::default();
    directory.apply(at(0), present(&endpoint(1)));
    let foreign = Endpoint { service: service("unknown"), ..successor(&endpoint(1)) };
    assert!(directory.apply(at(1), present(&foreign)).is_empty());
    assert_eq!(ids(&directory, at(1)), ["e-01"]);
}

#[test]
fn of_two_that_are_first_seen_together_none_has_ended() {
    let mut directory = Directory::default();
    let ended: EndedEndpoints =
        directory.replace(at(0), vec![endpoint(1), successor(&endpoint(1))]);
    assert!(ended.is_empty());
    assert_eq!(ids(&directory, at(0)).len(), 2);
}

#[test]
fn an_unreadable_row_names_no_endpoint_at_once_even_when_the_store_is_just_back() {
    let mut directory = Directory::default();
    directory.apply(at(0), present(&endpoint(1)));
    directory.store_recovered(at(10));
    directory.apply(at(11), EndpointChange::Unreadable(endpoint(1).id));
    assert!(ids(&directory, at(11)).is_empty());
}

#[test]
fn work_of_an_ended_endpoint_is_off_the_book_and_work_elsewhere_stays() {
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
fn where_another_endpoint_answered_nobody_is_sent_for_longer_than_late_rows_stand() {
    let mut health = HealthTracker::default();
    health.note(at(0), &endpoint(1).id, HealthEvent::Foreign);
    assert!(health.penalty_ms(at(9_000), &endpoint(1).id) > 0.0);
    health.forget(&endpoint(1).id);
    assert_eq!(health.penalty_ms(at(9_000), &endpoint(1).id), 0.0);
}
