//! Requests to cold endpoints, placed by schedulers that do not tell each other.

mod support;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use ringbend_gateway::{
    ColdPacing, ColdProfile, ColdTolerance, Directory, Endpoint, EndpointChange,
};
use ringbend_types::{EndpointStart, Timestamp};
use support::{at, endpoint, ms};

const TOLERANCE: ColdTolerance = ColdTolerance { factor: 1.5, slack: 5.0 };

fn profile(rate: f64) -> ColdProfile {
    ColdProfile { start: ms(3_000), rate }
}

/// Offers a request to a random scheduler each millisecond. Returns when they were placed.
fn place_all(schedulers: usize, known: usize, rate: f64, for_ms: u64, seed: u64) -> Vec<u64> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let id = endpoint(1).id;
    let mut all = vec![ColdPacing::default(); schedulers];
    let share = profile(rate).share(TOLERANCE, known);
    let mut placed = Vec::new();
    for now in 0..for_ms {
        let pacing = &mut all[rng.random_range(0..schedulers)];
        if pacing.has_room(at(now), &id, share) {
            pacing.record_placed(&id);
            placed.push(now);
        }
    }
    placed
}

fn most_in_a_second(placed: &[u64]) -> usize {
    let within =
        |from: &u64| placed.iter().filter(|at| (*from..*from + 1_000).contains(at)).count();
    placed.iter().map(within).max().unwrap_or(0)
}

/// A data centre of cold endpoints comes back into full demand, before the schedulers of one, three and five data
/// centres.
#[test]
fn demand_of_all_schedulers_stays_within_the_limit_and_uses_it() {
    for schedulers in [1, 3, 9, 15] {
        for rate in [17.0, 26.0] {
            let placed = place_all(schedulers, schedulers, rate, 10_000, schedulers as u64);
            let limit = rate * TOLERANCE.factor + TOLERANCE.slack;
            let most = most_in_a_second(&placed);
            assert!(most as f64 <= limit, "{most} of {limit} by {schedulers}");
            let planned = profile(rate).share(TOLERANCE, schedulers) * schedulers as f64;
            let used = placed.len() as f64 / 10.0;
            assert!(used >= 0.9 * planned, "{used} of {planned} a second by {schedulers}");
            assert!(schedulers == 15 || planned >= 0.9 * rate, "{planned} of {rate}");
        }
    }
}

/// A share of the fleet that is cut off counts the silent schedulers of the other share.
#[test]
fn halves_that_do_not_reach_each_other_stay_within_the_limit_together() {
    let (rate, limit) = (17.0, 17.0 * TOLERANCE.factor + TOLERANCE.slack);
    let mut halves = place_all(5, 9, rate, 5_000, 1);
    halves.extend(place_all(4, 9, rate, 5_000, 2));
    halves.sort_unstable();
    assert!(most_in_a_second(&halves) as f64 <= limit);
}

/// The naive way, by which each scheduler allows the whole rate, exceeds the limit.
#[test]
fn whole_rate_for_each_scheduler_exceeds_the_limit() {
    let placed = place_all(9, 1, 17.0, 5_000, 3);
    assert!(most_in_a_second(&placed) as f64 > 17.0 * TOLERANCE.factor + TOLERANCE.slack);
}

#[test]
fn more_schedulers_than_the_limit_allows_place_nothing() {
    let share = profile(2.0).share(TOLERANCE, 9);
    assert_eq!(share, 0.0);
    assert!(!ColdPacing::default().has_room(at(0), &endpoint(1).id, share));
}

fn cold_endpoint(left_ms: u64) -> Endpoint {
    Endpoint { start: Some(EndpointStart(100)), cold_left: ms(left_ms), ..endpoint(1) }
}

fn cold_left_ms(directory: &Directory, now: Timestamp) -> u128 {
    directory.cold_left(now, &endpoint(1).id).as_millis()
}

#[test]
fn endpoint_is_cold_until_the_latest_time_that_its_rows_named() {
    let mut directory = Directory::default();
    directory.apply(at(0), EndpointChange::Present(cold_endpoint(0)));
    assert_eq!(directory.cold_count(at(0)), 0);
    directory.apply(at(10), EndpointChange::Present(cold_endpoint(3_000)));
    assert_eq!(cold_left_ms(&directory, at(1_010)), 2_000);
    assert_eq!(directory.cold_count(at(1_010)), 1);
    // A late row of the same process does not end it.
    directory.apply(at(1_020), EndpointChange::Present(cold_endpoint(0)));
    assert_eq!(cold_left_ms(&directory, at(1_020)), 1_990);
    assert_eq!(cold_left_ms(&directory, at(3_010)), 0);
    assert_eq!(directory.cold_count(at(3_010)), 0);
}

#[test]
fn restarted_endpoint_is_as_cold_as_its_row_says() {
    let mut directory = Directory::default();
    directory.apply(at(0), EndpointChange::Present(cold_endpoint(3_000)));
    let restarted = Endpoint { start: Some(EndpointStart(200)), ..cold_endpoint(1_000) };
    directory.apply(at(500), EndpointChange::Present(restarted));
    assert_eq!(cold_left_ms(&directory, at(500)), 1_000);
}

/// Reads a table of these endpoints ten times. Returns how long it took.
fn time_to_read(endpoints: &[Endpoint]) -> std::time::Duration {
    let mut directory = Directory::default();
    let started = std::time::Instant::now();
    for read in 0..10 {
        directory.replace(at(read), endpoints.to_vec());
    }
    started.elapsed()
}

/// Guards against a scan of all cold endpoints for each row, when a data centre of a large fleet comes back.
#[test]
fn reading_a_large_table_takes_no_longer_if_a_third_is_cold() {
    let warm: Vec<Endpoint> = (0..3_000).map(endpoint).collect();
    let cold = |(number, e): (usize, &Endpoint)| {
        let cold_left = if number % 3 == 0 { ms(3_000) } else { ms(0) };
        Endpoint { cold_left, ..e.clone() }
    };
    let partly_cold: Vec<Endpoint> = warm.iter().enumerate().map(cold).collect();
    let (without, with) = (time_to_read(&warm), time_to_read(&partly_cold));
    assert!(with < without * 3, "{with:?} with cold endpoints, {without:?} without");
}
