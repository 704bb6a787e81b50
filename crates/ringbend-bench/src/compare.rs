//! Compares policies on the same arrivals over several seeds.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::metrics::{LONG_TOKENS, RunReport};
use crate::policies::PolicyKind;
use crate::routing::RoutingSimulation;
use crate::scenario::{Scenario, ScenarioName};

/// Parameters of a comparison.
#[derive(Debug, Clone)]
pub struct CompareConfig {
    /// Scenario to run.
    pub scenario: ScenarioName,
    /// Overrides the scenario's load.
    pub load: Option<f64>,
    /// Overrides the scenario's interval between load reports.
    pub report_every: Option<Duration>,
    /// Policies to compare.
    pub policies: Vec<PolicyKind>,
    /// Seeds; every policy runs once per seed.
    pub seeds: Vec<u64>,
}

/// Results of one policy over all seeds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PolicyReport {
    /// Mean of each metric over the seeds.
    pub mean: Value,
    /// Metrics of each seed's run.
    pub by_seed: BTreeMap<u64, RunReport>,
}

/// Result of a comparison.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CompareReport {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Offered load as a fraction of the capacity.
    pub load: f64,
    /// Prefill capacity of all engines, in tokens per second.
    pub capacity_tokens_per_s: f64,
    /// Results by policy name.
    pub policies: BTreeMap<String, PolicyReport>,
}

/// Runs every policy with every seed and averages the metrics.
pub fn compare(cfg: &CompareConfig) -> CompareReport {
    let mut scenario = Scenario::new(cfg.scenario, cfg.load);
    scenario.report_every = cfg.report_every.unwrap_or(scenario.report_every);
    let mut policies = BTreeMap::new();
    for kind in &cfg.policies {
        let by_seed: BTreeMap<u64, RunReport> =
            cfg.seeds.iter().map(|seed| (*seed, run(&scenario, *kind, *seed))).collect();
        let mean = mean_report(&by_seed);
        policies.insert(kind.to_string(), PolicyReport { mean, by_seed });
    }
    CompareReport {
        scenario: scenario.name.as_str(),
        load: scenario.load,
        capacity_tokens_per_s: scenario.capacity(),
        policies,
    }
}

/// Runs the simulation twice, with all arrivals and with the short prompts alone, to measure how
/// much the long prompts slow the short ones down.
fn run(scenario: &Scenario, kind: PolicyKind, seed: u64) -> RunReport {
    let arrivals = scenario.arrivals(seed);
    let short_only = arrivals.iter().filter(|a| a.prompt < LONG_TOKENS).cloned().collect();
    let baseline = RoutingSimulation::new(scenario.clone(), kind, seed, short_only).run();
    let baseline = RunReport::of(scenario, &baseline);
    let mixed = RoutingSimulation::new(scenario.clone(), kind, seed, arrivals).run();
    let mut report = RunReport::of(scenario, &mixed);
    let p99 = |report: &RunReport| report.ttft.get("1k").map_or(0.0, |bucket| bucket.p99_ms);
    report.short_slowdown_p99 = p99(&report) / p99(&baseline).max(1e-9);
    report
}

/// Averages every number of the reports, at any nesting depth.
fn mean_report(by_seed: &BTreeMap<u64, RunReport>) -> Value {
    let values: Vec<Value> =
        by_seed.values().map(|r| serde_json::to_value(r).unwrap_or(Value::Null)).collect();
    mean_value(&values)
}

fn mean_value(values: &[Value]) -> Value {
    match values.first() {
        Some(Value::Object(fields)) => {
            let mut means = Map::new();
            for name in fields.keys() {
                let field_values: Vec<Value> = values.iter().map(|v| v[name].clone()).collect();
                means.insert(name.clone(), mean_value(&field_values));
            }
            Value::Object(means)
        }
        _ => {
            let sum: f64 = values.iter().filter_map(Value::as_f64).sum();
            let mean = sum / values.len().max(1) as f64;
            // Four decimals exceed the precision of the measurements.
            Value::from((mean * 1e4).round() / 1e4)
        }
    }
}
