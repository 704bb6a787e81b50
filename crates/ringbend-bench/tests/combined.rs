//! Faults two and more at a time, from a seeded schedule. A seed that fails prints itself and
//! becomes a test of its own.

use std::time::Duration;

use rand::Rng;
use ringbend_bench::{
    CallerEnd, Fault, PolicyKind, RoutingReport, RoutingSimulation, Scenario, ScenarioName,
};
use ringbend_types::{Seed, Timestamp};

/// Schedules walked.
const SEEDS: u64 = 24;

/// Faults of one schedule.
const FAULTS: usize = 8;

fn schedule(seed: u64) -> Vec<(Timestamp, Fault)> {
    let mut rng = Seed(seed).rng(99);
    let mut faults = Vec::new();
    for _ in 0..FAULTS / 2 {
        // Two at the same moment.
        let at = Timestamp::from_millis(rng.random_range(10_000..50_000));
        for _ in 0..2 {
            let time = Duration::from_millis(rng.random_range(500..15_000));
            let engine = rng.random_range(0..6);
            let instance = rng.random_range(0..4);
            let fault = match rng.random_range(0..8) {
                0 | 1 => Fault::EngineCrash(engine, time),
                2 | 3 => Fault::EngineFreeze(engine, time),
                4 => Fault::RefuseAll(time),
                5 => Fault::InstancePause(instance, time),
                6 => Fault::Partition(time),
                _ => Fault::CacheLoss,
            };
            faults.push((at, fault));
        }
    }
    faults.push((Timestamp::from_millis(30_000), Fault::EngineLeave(5)));
    faults.sort_by_key(|(at, _)| *at);
    faults
}

fn run(seed: u64, kind: PolicyKind) -> (Scenario, RoutingReport) {
    let mut scenario = Scenario::new(ScenarioName::Million, Some(0.5));
    scenario.engines = 6;
    scenario.instances = 4;
    scenario.duration = Duration::from_secs(60);
    scenario.warm_up = Duration::ZERO;
    // Many requests that must not be repeated.
    scenario.classes[1].per_mille = 400;
    scenario.faults = schedule(seed);
    let arrivals = scenario.arrivals(seed);
    let report = RoutingSimulation::new(scenario.clone(), kind, seed, arrivals).run();
    (scenario, report)
}

/// What does not hold in a run.
fn broken(scenario: &Scenario, routing_report: &RoutingReport) -> Vec<String> {
    let mut broken = Vec::new();
    if routing_report.open_at_end > 0 {
        broken.push(format!("{} requests never ended", routing_report.open_at_end));
    }
    if routing_report.held_at_end.0 > 0 {
        broken.push(format!("{} held at the end", routing_report.held_at_end));
    }
    if routing_report.peak_kv_ratio > 1.0 {
        broken.push(format!("an engine held {} of its memory", routing_report.peak_kv_ratio));
    }
    for record in &routing_report.records {
        let repeatable = scenario.classes[record.arrival.class].repeatable;
        if !repeatable && record.runs > 1 {
            broken.push(format!("ran {} times: {record:?}", record.runs));
        }
        if record.out_of_order_events > 0 {
            broken.push(format!("a token came twice: {record:?}"));
        }
        let whole = record.delivered_tokens == record.arrival.output;
        if record.end.is_some_and(|(_, end)| end == CallerEnd::Answered) && !whole {
            broken.push(format!("answered without the whole answer: {record:?}"));
        }
        let deadline = record.arrival.at + scenario.classes[record.arrival.class].deadline;
        // A pause of the instance itself, of 15 s at most, may end after the deadline.
        let latest = deadline + Duration::from_secs(16);
        if record.end.is_some_and(|(at, _)| at > latest) {
            broken.push(format!("ended late: {record:?}"));
        }
    }
    broken
}

#[test]
fn nothing_breaks_under_faults_two_at_a_time() {
    for seed in 1..=SEEDS {
        let (scenario, routing_report) = run(seed, PolicyKind::Ringbend);
        let broken = broken(&scenario, &routing_report);
        assert!(broken.is_empty(), "seed {seed}, {:?}: {:?}", scenario.faults, broken.first());
    }
}

#[test]
fn the_naive_router_breaks_under_the_same_faults() {
    let twice = (1..=SEEDS).any(|seed| {
        let (scenario, routing_report) = run(seed, PolicyKind::Naive);
        broken(&scenario, &routing_report).iter().any(|b| b.starts_with("ran "))
    });
    assert!(twice, "the naive router ran nothing twice");
}
