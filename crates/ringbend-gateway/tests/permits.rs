//! Places of endpoints that name a limit: how many there are, and who gets them.

mod support;

use std::collections::VecDeque;
use std::time::Duration;

use ringbend_gateway::{Demand, Endpoint, Job, PermitWaiter, Permits};
use ringbend_types::Timestamp;
use smallvec::smallvec;
use support::{at, endpoint, ms, service, work_id};

fn job(since: u64, aim: u64, rank: u8) -> Job {
    Job {
        request: "r".into(),
        service: service("engines"),
        demand: Some(Demand { prompt_tokens: 1_000, answer_tokens: 100 }),
        since: at(since),
        first_by: at(since + aim),
        gap: ms(200),
        caller_timeout_at: at(since + 2_000),
        deadline: at(since + 10_000),
        backing_off: Vec::new(),
        tried: smallvec![],
        at_once: false,
        rank,
        suspect: None,
    }
}

/// When places were taken, where one is as soon as there is one and `wants` tells.
fn taken(places: &mut Permits, rate: f64, until: u64, wants: impl Fn(u64) -> bool) -> Vec<u64> {
    let endpoint = endpoint(1);
    let mut taken = Vec::new();
    for now in 0..until {
        if places.has_permit(at(now), &endpoint, rate, true) && wants(now) {
            places.take(at(now), &endpoint.id);
            taken.push(now);
        }
    }
    taken
}

fn most_within(taken: &[u64], span: u64) -> usize {
    let within = |first: &u64| taken.iter().filter(|t| **t >= *first && **t < first + span).count();
    taken.iter().map(within).max().unwrap_or(0)
}

#[test]
fn no_span_of_time_gets_more_than_the_limit_and_two() {
    for rate in [0.2, 1.0, 2.7, 13.0, 60.0] {
        for quiet in [0, 3_000, 9_999] {
            let taken = taken(&mut Permits::default(), rate, 20_000, |now| now >= quiet);
            let most = most_within(&taken, 4_000);
            assert!(most as f64 <= rate * 4.0 + 2.0, "{most} at {rate}");
        }
    }
}

#[test]
fn callers_enough_use_nearly_all() {
    for rate in [0.5, 1.0, 2.7, 13.0, 60.0] {
        let taken = taken(&mut Permits::default(), rate, 40_000, |_| true);
        assert!(taken.len() as f64 >= 0.95 * rate * 40.0 - 1.0, "{} at {rate}", taken.len());
    }
}

#[test]
fn there_is_no_place_when_a_limit_is_first_named() {
    let first = taken(&mut Permits::default(), 2.0, 1_000, |_| true)[0];
    assert_eq!(first, 500);
}

#[test]
fn whoever_begins_to_count_begins_with_none() {
    let mut places = Permits::default();
    places.set_coordinating(&service("engines"), true);
    assert!(!places.has_permit(at(0), &endpoint(1), 1.0, true));
    assert!(places.has_permit(at(5_000), &endpoint(1), 1.0, true));
    places.set_coordinating(&service("engines"), false);
    assert!(places.set_coordinating(&service("engines"), true));
    assert!(!places.has_permit(at(5_001), &endpoint(1), 1.0, true));
}

#[test]
fn a_limit_of_nothing_leaves_no_place_where_reports_tell_when_it_ends() {
    assert!(taken(&mut Permits::default(), 0.0, 60_000, |_| true).is_empty());
}

#[test]
fn where_only_answers_tell_a_request_goes_there_now_and_then() {
    let mut places = Permits::default();
    let endpoint = endpoint(1);
    let taken: Vec<u64> = (0..30_001)
        .filter(|now| {
            let has = places.has_permit(at(*now), &endpoint, 0.0, false);
            if has {
                places.take(at(*now), &endpoint.id);
            }
            has
        })
        .collect();
    assert_eq!(taken, [10_000, 20_000, 30_000]);
}

#[test]
fn the_next_places_of_several_endpoints_are_foreseen() {
    let mut places = Permits::default();
    let endpoints: Vec<Endpoint> = (1..=2).map(endpoint).collect();
    places.has_permit(at(0), &endpoints[0], 1.0, true);
    places.has_permit(at(0), &endpoints[1], 2.0, true);
    let until = |count| places.time_until(at(0), endpoints.iter().map(|e| &e.id), count).unwrap();
    let is_about = |wait: Duration, after: u64| wait >= ms(after) && wait <= ms(after + 2);
    assert!(is_about(until(1), 500));
    assert!(is_about(until(3), 1_000));
    assert!(is_about(until(4), 1_500));
    assert_eq!(places.time_until(at(0), endpoints.iter().map(|e| &e.id), 1_000), None);
}

#[test]
fn those_in_line_go_by_rank_and_then_by_when_they_are_due() {
    let mut places = Permits::default();
    let of = service("engines");
    let wait = |id, job: &Job| PermitWaiter::new(at(0), work_id(id), job);
    let line = [wait(1, &job(0, 3_000, 1)), wait(2, &job(0, 300, 1)), wait(3, &job(0, 900, 0))];
    line.iter().for_each(|waiting| places.enqueue(&of, *waiting));
    let ahead: Vec<usize> = line.iter().map(|waiting| places.ahead_of(&of, waiting)).collect();
    assert_eq!(ahead, [2, 1, 0]);
    assert!(places.is_next(&of, work_id(3)) && !places.is_next(&of, work_id(9)));
    line.iter().for_each(|waiting| places.dequeue(&of, *waiting));
    assert_eq!(places.queue_len(&of), 0);
    assert!(places.is_next(&of, work_id(9)));
}

#[test]
fn a_request_that_is_late_already_waits_as_long_as_its_caller() {
    let job = job(0, 300, 1);
    assert_eq!(PermitWaiter::new(at(0), work_id(1), &job).due, at(225));
    assert_eq!(PermitWaiter::new(at(400), work_id(1), &job).due, job.caller_timeout_at);
}

#[test]
fn those_who_get_no_place_are_told_to_come_back_one_after_the_other() {
    let mut places = Permits::default();
    let of = service("engines");
    let mut next = || places.retry_after(at(0), &of, Some(ms(500)), 2.0, ms(5_000));
    let told: VecDeque<Duration> = (0..12).map(|_| next()).collect();
    assert_eq!(told[0], ms(500));
    assert_eq!(told[1], ms(1_000));
    assert_eq!(told[9], ms(5_000));
    assert_eq!(told[11], ms(5_000), "no later than it can be of use");
    let end: Timestamp = at(0) + told[11];
    assert_eq!(end, at(5_000));
}
