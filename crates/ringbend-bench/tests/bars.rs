//! The policy's bars in virtual time, each with the naive router's figure beside it. Runs are
//! short, so that a debug build stays quick; `docs/design/routing.md` has the long ones.

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
fn short_requests_stay_fast_beside_long_ones() {
    let scenario = scenario(ScenarioName::PeachLine, None);
    let slowdown = |kind| {
        let beside = short_p99(&run(&scenario, kind, false).0);
        beside / short_p99(&run(&scenario, kind, true).0)
    };
    let (naive, ringbend) = (slowdown(PolicyKind::Naive), slowdown(PolicyKind::Ringbend));
    assert!(ringbend <= 1.3, "{ringbend:.2}");
    assert!(naive > 5.0, "the naive router was only {naive:.2} times slower");
}

#[test]
fn every_request_ends_and_no_admitted_long_one_is_dropped() {
    let scenario = scenario(ScenarioName::Overload, Some(1.5));
    let (report, routing_report) = run(&scenario, PolicyKind::Ringbend, false);
    assert_eq!((routing_report.open_at_end, report.long_dropped), (0, 0.0));
    assert_eq!(report.requests, report.admitted + report.rejected);
    let (naive, _) = run(&scenario, PolicyKind::Naive, false);
    assert!(naive.long_dropped > 0.0);
}

#[test]
fn no_long_request_is_dropped_while_engines_die_or_regions_are_cut() {
    for name in [ScenarioName::EngineDeath, ScenarioName::RegionCut] {
        let (report, _) = run(&scenario(name, None), PolicyKind::Ringbend, false);
        assert_eq!(report.long_dropped, 0.0, "{name}");
        let (naive, _) = run(&scenario(name, None), PolicyKind::Naive, false);
        assert!(naive.long_dropped > 0.0, "{name}");
    }
}

#[test]
fn what_must_not_be_repeated_runs_once_though_engines_die() {
    let scenario = scenario(ScenarioName::EngineDeath, None);
    let (report, routing_report) = run(&scenario, PolicyKind::Ringbend, false);
    assert_eq!(report.double_runs, 0.0);
    assert!(
        routing_report.records.iter().all(|r| r.out_of_order_events == 0),
        "a token came twice"
    );
    let (naive, _) = run(&scenario, PolicyKind::Naive, false);
    assert!(naive.double_runs > 0.0);
}

#[test]
fn no_engine_keeps_memory_after_the_last_answer() {
    for name in [ScenarioName::Million, ScenarioName::EngineDeath, ScenarioName::RegionCut] {
        let (report, routing_report) = run(&scenario(name, None), PolicyKind::Ringbend, false);
        assert_eq!(report.held_at_end, 0.0, "{name}");
        assert!(routing_report.peak_kv_ratio <= 1.0, "{name}");
    }
}

#[test]
fn prompts_of_a_million_tokens_are_answered_several_at_a_time() {
    let scenario = scenario(ScenarioName::Million, None);
    let (report, _) = run(&scenario, PolicyKind::Ringbend, false);
    assert!(report.ttft["1m"].n >= 3.0, "{:?}", report.ttft["1m"]);
    assert_eq!(report.long_dropped, 0.0);
    let (naive, _) = run(&scenario, PolicyKind::Naive, false);
    assert_eq!(naive.ttft["1m"].n, 0.0);
}

#[test]
fn callers_in_step_do_not_keep_the_storm_going() {
    let scenario = scenario(ScenarioName::RetryStorm, None);
    let (report, _) = run(&scenario, PolicyKind::Ringbend, false);
    let (naive, _) = run(&scenario, PolicyKind::Naive, false);
    assert!(report.attempts_per_request < 1.4, "{}", report.attempts_per_request);
    assert!(naive.attempts_per_request > 2.0, "{}", naive.attempts_per_request);
    assert!(report.retry_after_spread > 0.05);
}

#[test]
fn a_noisy_account_does_not_push_the_others_out() {
    let scenario = scenario(ScenarioName::NoisyAccount, None);
    let (report, _) = run(&scenario, PolicyKind::Ringbend, false);
    let (naive, _) = run(&scenario, PolicyKind::Naive, false);
    assert!(report.worst_shortfall < 0.2, "{}", report.worst_shortfall);
    assert!(naive.worst_shortfall > report.worst_shortfall);
}

#[test]
fn a_limit_is_neither_overrun_nor_left_unused() {
    for scenario in ShareScenario::ALL {
        let run = measure_shares(scenario, true, 9);
        assert!(run.overshoot_percent <= 10.0, "{run:?}");
    }
    let skewed = measure_shares(ShareScenario::Skewed, true, 9);
    assert!(skewed.under_use_percent <= 10.0, "{skewed:?}");
    let equal = measure_shares(ShareScenario::Skewed, false, 9);
    assert!(equal.under_use_percent > 50.0, "{equal:?}");
}
