//! Acceptance thresholds of the routing policy in simulated time. Most tests also run the naive
//! router, to show that the scenario exposes the problem. Runs are short, so that the tests stay
//! fast in a debug build; `docs/design/routing.md` has the results of long runs.

use std::time::Duration;

use ringbend_bench::{
    PolicyKind, RoutingReport, RoutingSimulation, RunReport, Scenario, ScenarioName, ShareScenario,
    measure_shares,
};

fn scenario(name: ScenarioName, load: Option<f64>) -> Scenario {
    let mut scenario = Scenario::new(name, load);
    scenario.duration = Duration::from_secs(70);
    scenario.warm_up = Duration::from_secs(10);
    scenario
}

fn run(scenario: &Scenario, kind: PolicyKind, without_long: bool) -> (RunReport, RoutingReport) {
    let mut arrivals = scenario.arrivals(3);
    if without_long {
        arrivals.retain(|a| a.prompt < 50_000);
    }
    let routing_report = RoutingSimulation::new(scenario.clone(), kind, 3, arrivals).run();
    (RunReport::of(scenario, &routing_report), routing_report)
}

fn short_p99(report: &RunReport) -> f64 {
    report.ttft["1k"].p99_ms
}

#[test]
fn long_prompts_do_not_slow_down_short_requests() {
    let scenario = scenario(ScenarioName::PeachLine, None);
    let slowdown = |kind| {
        let mixed = short_p99(&run(&scenario, kind, false).0);
        mixed / short_p99(&run(&scenario, kind, true).0)
    };
    let (naive, ringbend) = (slowdown(PolicyKind::Naive), slowdown(PolicyKind::Ringbend));
    assert!(ringbend <= 1.3, "{ringbend:.2}");
    assert!(naive > 5.0, "the naive router slowed short requests down only {naive:.2} times");
}

#[test]
fn under_overload_every_request_ends_and_no_admitted_long_request_is_dropped() {
    let scenario = scenario(ScenarioName::Overload, Some(1.5));
    let (report, routing_report) = run(&scenario, PolicyKind::Ringbend, false);
    assert_eq!((routing_report.open_at_end, report.long_dropped), (0, 0.0));
    assert_eq!(report.requests, report.admitted + report.rejected);
    let (naive, _) = run(&scenario, PolicyKind::Naive, false);
    assert!(naive.long_dropped > 0.0);
}

#[test]
fn no_long_request_is_dropped_during_engine_crashes_or_a_partition() {
    for name in [ScenarioName::EngineDeath, ScenarioName::RegionCut] {
        let (report, _) = run(&scenario(name, None), PolicyKind::Ringbend, false);
        assert_eq!(report.long_dropped, 0.0, "{name}");
        let (naive, _) = run(&scenario(name, None), PolicyKind::Naive, false);
        assert!(naive.long_dropped > 0.0, "{name}");
    }
}

#[test]
fn non_repeatable_requests_run_at_most_once_despite_engine_crashes() {
    let scenario = scenario(ScenarioName::EngineDeath, None);
    let (report, routing_report) = run(&scenario, PolicyKind::Ringbend, false);
    assert_eq!(report.double_runs, 0.0);
    assert!(
        routing_report.records.iter().all(|r| r.out_of_order_events == 0),
        "tokens were repeated or out of order"
    );
    let (naive, _) = run(&scenario, PolicyKind::Naive, false);
    assert!(naive.double_runs > 0.0);
}

#[test]
fn engines_hold_no_kv_memory_after_the_last_answer() {
    for name in [ScenarioName::Million, ScenarioName::EngineDeath, ScenarioName::RegionCut] {
        let (report, routing_report) = run(&scenario(name, None), PolicyKind::Ringbend, false);
        assert_eq!(report.held_at_end, 0.0, "{name}");
        assert!(routing_report.peak_kv_ratio <= 1.0, "{name}");
    }
}

#[test]
fn prompts_of_a_million_tokens_are_answered() {
    let scenario = scenario(ScenarioName::Million, None);
    let (report, _) = run(&scenario, PolicyKind::Ringbend, false);
    assert!(report.ttft["1m"].n >= 3.0, "{:?}", report.ttft["1m"]);
    assert_eq!(report.long_dropped, 0.0);
    let (naive, _) = run(&scenario, PolicyKind::Naive, false);
    assert_eq!(naive.ttft["1m"].n, 0.0);
}

#[test]
fn callers_that_retry_in_lockstep_do_not_sustain_a_retry_storm() {
    let scenario = scenario(ScenarioName::RetryStorm, None);
    let (report, _) = run(&scenario, PolicyKind::Ringbend, false);
    let (naive, _) = run(&scenario, PolicyKind::Naive, false);
    assert!(report.attempts_per_request < 1.4, "{}", report.attempts_per_request);
    assert!(naive.attempts_per_request > 2.0, "{}", naive.attempts_per_request);
    assert!(report.retry_after_spread > 0.05);
}

#[test]
fn a_noisy_account_does_not_starve_the_others() {
    let scenario = scenario(ScenarioName::NoisyAccount, None);
    let (report, _) = run(&scenario, PolicyKind::Ringbend, false);
    let (naive, _) = run(&scenario, PolicyKind::Naive, false);
    assert!(report.worst_shortfall < 0.2, "{}", report.worst_shortfall);
    assert!(naive.worst_shortfall > report.worst_shortfall);
}

#[test]
fn a_shared_limit_is_neither_exceeded_nor_left_unused() {
    for scenario in ShareScenario::ALL {
        let run = measure_shares(scenario, true, 9);
        assert!(run.overshoot_percent <= 10.0, "{run:?}");
    }
    let skewed = measure_shares(ShareScenario::Skewed, true, 9);
    assert!(skewed.under_use_percent <= 10.0, "{skewed:?}");
    let equal = measure_shares(ShareScenario::Skewed, false, 9);
    assert!(equal.under_use_percent > 50.0, "{equal:?}");
}
