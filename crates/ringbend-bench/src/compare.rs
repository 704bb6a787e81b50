//! Several policies, the same arrivals, several seeds.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;
use serde_json::{Map, Value};

use crate::metrics::{LONG_TOKENS, RunReport};
use crate::policies::PolicyKind;
use crate::scenario::{Scenario, ScenarioName};
use crate::world::World;

/// What to compare.
#[derive(Debug, Clone)]
pub struct CompareConfig {
    /// The scenario.
    pub scenario: ScenarioName,
    /// Replaces the scenario's own load.
    pub load: Option<f64>,
    /// Replaces the scenario's own time between load reports.
    pub report_every: Option<Duration>,
    /// The policies.
    pub policies: Vec<PolicyKind>,
    /// The seeds.
    pub seeds: Vec<u64>,
}

/// One policy over all seeds.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PolicyReport {
    /// Mean of each figure.
    pub mean: Value,
    /// Each seed's figures.
    pub by_seed: BTreeMap<u64, RunReport>,
}

/// The comparison.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct CompareReport {
    /// The scenario.
    pub scenario: &'static str,
    /// Offered load over capacity.
    pub load: f64,
    /// What the engines can prefill, in tokens a second.
    pub capacity_tokens_per_s: f64,
    /// By policy.
    pub policies: BTreeMap<String, PolicyReport>,
}

/// Runs the comparison.
pub fn compare(cfg: &CompareConfig) -> CompareReport {
    let mut scenario = Scenario::new(cfg.scenario, cfg.load);
    scenario.report_every = cfg.report_every.unwrap_or(scenario.report_every);
    let mut policies = BTreeMap::new();
    for kind in &cfg.policies {
        let by_seed: BTreeMap<u64, RunReport> =
            cfg.seeds.iter().map(|seed| (*seed, run(&scenario, *kind, *seed))).collect();
        let mean = mean(&by_seed);
        policies.insert(kind.to_string(), PolicyReport { mean, by_seed });
    }
    CompareReport {
        scenario: scenario.name.as_str(),
        load: scenario.load,
        capacity_tokens_per_s: scenario.capacity(),
        policies,
    }
}

/// One run, and one with the same arrivals but without the long prompts, for the slowdown.
fn run(scenario: &Scenario, kind: PolicyKind, seed: u64) -> RunReport {
    let arrivals = scenario.arrivals(seed);
    let short_only = arrivals.iter().filter(|a| a.prompt < LONG_TOKENS).cloned().collect();
    let alone = World::new(scenario.clone(), kind, seed, short_only).run();
    let alone = RunReport::of(scenario, &alone);
    let beside = World::new(scenario.clone(), kind, seed, arrivals).run();
    let mut report = RunReport::of(scenario, &beside);
    let p99 = |report: &RunReport| report.ttft.get("1k").map_or(0.0, |bucket| bucket.p99_ms);
    report.short_slowdown_p99 = p99(&report) / p99(&alone).max(1e-9);
    report
}

/// The mean of every number, at any depth.
fn mean(by_seed: &BTreeMap<u64, RunReport>) -> Value {
    let values: Vec<Value> =
        by_seed.values().map(|r| serde_json::to_value(r).unwrap_or(Value::Null)).collect();
    mean_of(&values)
}

fn mean_of(values: &[Value]) -> Value {
    match values.first() {
        Some(Value::Object(fields)) => {
            let mut means = Map::new();
            for name in fields.keys() {
                let of: Vec<Value> = values.iter().map(|v| v[name].clone()).collect();
                means.insert(name.clone(), mean_of(&of));
            }
            Value::Object(means)
        }
        _ => {
            let sum: f64 = values.iter().filter_map(Value::as_f64).sum();
            let mean = sum / values.len().max(1) as f64;
            // Four digits after the point are more than the figures hold.
            Value::from((mean * 1e4).round() / 1e4)
        }
    }
}
