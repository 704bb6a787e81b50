//! Simultaneous faults from seeded random schedules. A failing seed is printed, and is then kept as
//! a test of its own.

use std::time::Duration;

use rand::Rng;
use ringbend_bench::{
    CallerEnd, Fault, PolicyKind, RoutingReport, RoutingSimulation, Scenario, ScenarioName,
};
use ringbend_types::{Seed, Timestamp};

/// Number of schedules to run.
const SEEDS: u64 = 24;

/// Number of random faults in a schedule.
const FAULTS: usize = 8;

fn schedule(seed: u64) -> Vec<(Timestamp, Fault)> {
    let mut rng = Seed(seed).rng(99);
    let mut faults = Vec::new();
    for _ in 0..FAULTS / 2 {
        // Two faults at the same time.
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
    // A large share of non-repeatable requests.
    scenario.classes[1].per_mille = 400;
    scenario.faults = schedule(seed);
    let arrivals = scenario.arrivals(seed);
    let report = RoutingSimulation::new(scenario.clone(), kind, seed, arrivals).run();
    (scenario, report)
}

/// Describes each invariant that a run violates.
fn violations(scenario: &Scenario, routing_report: &RoutingReport) -> Vec<String> {
    let mut violations = Vec::new();
    if routing_report.open_at_end > 0 {
        violations.push(format!("{} requests did not end", routing_report.open_at_end));
    }
    if routing_report.held_at_end.0 > 0 {
        violations
            .push(format!("{} of KV memory still held at the end", routing_report.held_at_end));
    }
    if routing_report.peak_kv_ratio > 1.0 {
        violations
            .push(format!("an engine held {} times its KV capacity", routing_report.peak_kv_ratio));
    }
    for record in &routing_report.records {
        let repeatable = scenario.classes[record.arrival.class].repeatable;
        if !repeatable && record.runs > 1 {
            violations.push(format!("ran {} times: {record:?}", record.runs));
        }
        if record.out_of_order_events > 0 {
            violations.push(format!("tokens were repeated or out of order: {record:?}"));
        }
        let is_complete = record.delivered_tokens == record.arrival.output;
        if record.end.is_some_and(|(_, end)| end == CallerEnd::Answered) && !is_complete {
            violations.push(format!("answered, but the answer is incomplete: {record:?}"));
        }
        let deadline = record.arrival.at + scenario.classes[record.arrival.class].deadline;
        // The instance itself may pause for up to 15 s, past the deadline.
        let latest_end = deadline + Duration::from_secs(16);
        if record.end.is_some_and(|(at, _)| at > latest_end) {
            violations.push(format!("ended after its deadline: {record:?}"));
        }
    }
    violations
}

#[test]
fn ringbend_keeps_its_invariants_under_simultaneous_faults() {
    for seed in 1..=SEEDS {
        let (scenario, routing_report) = run(seed, PolicyKind::Ringbend);
        let violations = violations(&scenario, &routing_report);
        assert!(
            violations.is_empty(),
            "seed {seed}, {:?}: {:?}",
            scenario.faults,
            violations.first()
        );
    }
}

#[test]
fn the_naive_router_repeats_requests_under_the_same_faults() {
    let repeated = (1..=SEEDS).any(|seed| {
        let (scenario, routing_report) = run(seed, PolicyKind::Naive);
        violations(&scenario, &routing_report).iter().any(|b| b.starts_with("ran "))
    });
    assert!(repeated, "the naive router ran no non-repeatable request twice");
}
