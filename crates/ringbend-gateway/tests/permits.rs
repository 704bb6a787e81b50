//! Permits of rate-limited endpoints: how many there are, and which requests get them.

mod support;

use std::collections::VecDeque;
use std::time::Duration;

use ringbend_gateway::{Demand, Endpoint, Job, PermitWaiter, Permits};
use ringbend_types::Timestamp;
use smallvec::smallvec;
use support::{at, endpoint, ms, service, work_id};

fn job(since: u64, target_latency: u64, priority: u8) -> Job {
    Job {
        request: "r".into(),
        service: service("engines"),
        demand: Some(Demand { prompt_tokens: 1_000, answer_tokens: 100 }),
        since: at(since),
        first_by: at(since + target_latency),
        gap: ms(200),
        caller_timeout_at: at(since + 2_000),
        deadline: at(since + 10_000),
        backing_off: Vec::new(),
        tried: smallvec![],
        data_centres: Default::default(),
        at_once: false,
        priority,
        account: None,
        fingerprint: None,
        suspects: Default::default(),
    }
}

/// When permits are taken if each is taken as soon as it is available and `wants` returns true.
fn taken(permits: &mut Permits, rate: f64, until: u64, wants: impl Fn(u64) -> bool) -> Vec<u64> {
    let endpoint = endpoint(1);
    let mut taken = Vec::new();
    for now in 0..until {
        if permits.has_permit(at(now), &endpoint, rate, true) && wants(now) {
            permits.take(at(now), &endpoint.id);
            taken.push(now);
        }
    }
    taken
}

fn max_within(taken: &[u64], span: u64) -> usize {
    let within = |first: &u64| taken.iter().filter(|t| **t >= *first && **t < first + span).count();
    taken.iter().map(within).max().unwrap_or(0)
}

#[test]
fn no_period_gets_more_than_the_limit_plus_two() {
    for rate in [0.2, 1.0, 2.7, 13.0, 60.0] {
        for unused_until in [0, 3_000, 9_999] {
            let taken = taken(&mut Permits::default(), rate, 20_000, |now| now >= unused_until);
            let most = max_within(&taken, 4_000);
            assert!(most as f64 <= rate * 4.0 + 2.0, "{most} at {rate}");
        }
    }
}

#[test]
fn constant_demand_uses_nearly_the_whole_limit() {
    for rate in [0.5, 1.0, 2.7, 13.0, 60.0] {
        let taken = taken(&mut Permits::default(), rate, 40_000, |_| true);
        assert!(taken.len() as f64 >= 0.95 * rate * 40.0 - 1.0, "{} at {rate}", taken.len());
    }
}

#[test]
fn there_is_no_permit_when_a_limit_is_first_observed() {
    let first = taken(&mut Permits::default(), 2.0, 1_000, |_| true)[0];
    assert_eq!(first, 500);
}

#[test]
fn a_new_coordinator_starts_without_permits() {
    let mut permits = Permits::default();
    permits.set_coordinating(&service("engines"), true);
    assert!(!permits.has_permit(at(0), &endpoint(1), 1.0, true));
    assert!(permits.has_permit(at(5_000), &endpoint(1), 1.0, true));
    permits.set_coordinating(&service("engines"), false);
    assert!(permits.set_coordinating(&service("engines"), true));
    assert!(!permits.has_permit(at(5_001), &endpoint(1), 1.0, true));
}

#[test]
fn a_limit_of_zero_grants_no_permit_if_reports_show_when_it_ends() {
    assert!(taken(&mut Permits::default(), 0.0, 60_000, |_| true).is_empty());
}

#[test]
fn probe_requests_are_sent_if_only_responses_show_the_limit() {
    let mut permits = Permits::default();
    let endpoint = endpoint(1);
    let taken: Vec<u64> = (0..30_001)
        .filter(|now| {
            let has = permits.has_permit(at(*now), &endpoint, 0.0, false);
            if has {
                permits.take(at(*now), &endpoint.id);
            }
            has
        })
        .collect();
    assert_eq!(taken, [10_000, 20_000, 30_000]);
}

#[test]
fn the_time_of_the_next_permits_of_several_endpoints_is_computed() {
    let mut permits = Permits::default();
    let endpoints: Vec<Endpoint> = (1..=2).map(endpoint).collect();
    permits.has_permit(at(0), &endpoints[0], 1.0, true);
    permits.has_permit(at(0), &endpoints[1], 2.0, true);
    let until = |count| permits.time_until(at(0), endpoints.iter().map(|e| &e.id), count).unwrap();
    let is_about = |wait: Duration, after: u64| wait >= ms(after) && wait <= ms(after + 2);
    assert!(is_about(until(1), 500));
    assert!(is_about(until(3), 1_000));
    assert!(is_about(until(4), 1_500));
    assert_eq!(permits.time_until(at(0), endpoints.iter().map(|e| &e.id), 1_000), None);
}

#[test]
fn the_queue_is_ordered_by_priority_and_then_by_due_time() {
    let mut permits = Permits::default();
    let of = service("engines");
    let wait = |id, job: &Job| PermitWaiter::new(at(0), work_id(id), job);
    let queue = [wait(1, &job(0, 3_000, 1)), wait(2, &job(0, 300, 1)), wait(3, &job(0, 900, 0))];
    queue.iter().for_each(|waiting| permits.enqueue(&of, *waiting));
    let ahead: Vec<usize> = queue.iter().map(|waiting| permits.ahead_of(&of, waiting)).collect();
    assert_eq!(ahead, [2, 1, 0]);
    assert!(permits.is_next(&of, work_id(3)) && !permits.is_next(&of, work_id(9)));
    queue.iter().for_each(|waiting| permits.dequeue(&of, *waiting));
    assert_eq!(permits.queue_len(&of), 0);
    assert!(permits.is_next(&of, work_id(9)));
}

#[test]
fn a_late_request_waits_until_its_caller_disconnects() {
    let job = job(0, 300, 1);
    assert_eq!(PermitWaiter::new(at(0), work_id(1), &job).due, at(225));
    assert_eq!(PermitWaiter::new(at(400), work_id(1), &job).due, job.caller_timeout_at);
}

#[test]
fn callers_without_a_permit_are_told_to_retry_one_after_the_other() {
    let mut permits = Permits::default();
    let of = service("engines");
    let mut next = || permits.retry_after(at(0), &of, Some(ms(500)), 2.0, ms(5_000));
    let delays: VecDeque<Duration> = (0..12).map(|_| next()).collect();
    assert_eq!(delays[0], ms(500));
    assert_eq!(delays[1], ms(1_000));
    assert_eq!(delays[9], ms(5_000));
    assert_eq!(delays[11], ms(5_000), "capped at the maximum delay");
    let end: Timestamp = at(0) + delays[11];
    assert_eq!(end, at(5_000));
}
