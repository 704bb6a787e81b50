//! Runs are deterministic: the same seed gives a byte-identical report.

use ringbend_bench::{
    CompareConfig, GossipConfig, PolicyKind, RoutingSimulation, Scenario, ScenarioName, compare,
    measure_gossip,
};

#[test]
fn two_comparisons_with_the_same_seeds_are_identical() {
    let cfg = CompareConfig {
        scenario: ScenarioName::EngineDeath,
        load: Some(0.2),
        report_every: None,
        policies: vec![PolicyKind::Naive, PolicyKind::Ringbend],
        seeds: vec![1, 2],
    };
    let run = || serde_json::to_string(&compare(&cfg)).unwrap();
    assert_eq!(run(), run());
}

#[test]
fn two_gossip_runs_with_the_same_seed_are_identical() {
    let cfg = GossipConfig { instances: 16, loss: 0.05, seed: 3, processor_time: false };
    let run = || serde_json::to_string(&measure_gossip(&cfg)).unwrap();
    assert_eq!(run(), run());
}

#[test]
fn every_request_ends_in_every_scenario() {
    for name in ScenarioName::ALL {
        let mut scenario = Scenario::new(name, Some(0.1));
        scenario.faults.retain(|(at, _)| *at < ringbend_types::Timestamp::from_millis(60_000));
        let arrivals = scenario.arrivals(1);
        let routing_report =
            RoutingSimulation::new(scenario, PolicyKind::Ringbend, 1, arrivals).run();
        assert_eq!(routing_report.open_at_end, 0, "{name}");
    }
}

#[test]
fn gossip_at_sixty_four_instances_meets_its_bandwidth_and_propagation_limits() {
    let cfg = GossipConfig { instances: 64, loss: 0.05, seed: 1, processor_time: false };
    let report = measure_gossip(&cfg);
    assert!(report.bytes_per_s < 16_000.0, "{report:?}");
    assert!(report.settings_known_s < 3.0, "{report:?}");
    assert!(report.endpoint_leaving_known_s < 3.0, "{report:?}");
    assert!(report.death_known_s < 15.0, "{report:?}");
    assert_eq!(report.false_deaths, 0, "{report:?}");
}
