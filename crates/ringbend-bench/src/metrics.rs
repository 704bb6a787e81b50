//! Figures of one run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use ringbend_types::{PromptBucket, Timestamp, TokenCount};
use serde::Serialize;

use crate::scenario::Scenario;
use crate::world::{CallerEnd, RequestRecord, WorldReport};

/// Prompts of at least this many tokens are the long ones of the reports.
pub(crate) const LONG_TOKENS: u64 = 50_000;

/// Time to first token of one bucket, in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct BucketReport {
    /// Half were faster.
    pub p50_ms: f64,
    /// 95 in 100 were faster.
    pub p95_ms: f64,
    /// 99 in 100 were faster.
    pub p99_ms: f64,
    /// How many were measured.
    pub n: f64,
}

/// One policy in one scenario; as a mean over seeds all numbers are means.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RunReport {
    /// Requests that arrived after the warm-up.
    pub requests: f64,
    /// Of those, admitted.
    pub admitted: f64,
    /// Answered whole, within the deadline.
    pub answered_in_time: f64,
    /// Admitted, and failed.
    pub failed: f64,
    /// Refused, and not run.
    pub rejected: f64,
    /// Lost with their instance.
    pub instance_lost: f64,
    /// Neither answered nor failed at the end.
    pub open_at_end: f64,
    /// Prompt and answer tokens a second of answers that ended in time, and while requests were
    /// still arriving.
    pub goodput_tokens_per_s: f64,
    /// Long requests that were admitted and not answered.
    pub long_dropped: f64,
    /// Attempts per admitted request.
    pub attempts_per_request: f64,
    /// Times callers came back after a refusal.
    pub came_back: f64,
    /// Deviation of the Retry-After values over their mean; 0 is callers in step.
    pub retry_after_spread: f64,
    /// The largest shortfall of an account against its share, a part of one.
    pub worst_shortfall: f64,
    /// Sequences that found too little memory at an engine.
    pub overcommits: f64,
    /// Requests not to be repeated that ran more than once.
    pub double_runs: f64,
    /// KV memory held after the last answer.
    pub held_at_end: f64,
    /// Time to first token by prompt length.
    pub ttft: BTreeMap<&'static str, BucketReport>,
    /// p99 of the shortest bucket over the same without long prompts.
    pub short_slowdown_p99: f64,
}

impl RunReport {
    /// The figures of a run.
    pub fn of(scenario: &Scenario, world: &WorldReport) -> Self {
        let warm = scenario.warm_up;
        let measured: Vec<&RequestRecord> = world
            .records
            .iter()
            .filter(|r| r.arrival.at.since(Timestamp::default()) >= warm)
            .collect();
        let count =
            |f: &dyn Fn(&RequestRecord) -> bool| measured.iter().filter(|r| f(r)).count() as f64;
        let in_time = |r: &RequestRecord| answered_in_time(scenario, r);
        let seconds = (scenario.duration - scenario.warm_up).as_secs_f64();
        let begin = Timestamp::default() + scenario.warm_up;
        let end = Timestamp::default() + scenario.duration;
        let within = |r: &RequestRecord| r.end.is_some_and(|(at, _)| at >= begin && at <= end);
        let good = world.records.iter().filter(|r| in_time(r) && within(r));
        let good: u64 = good.map(cost).sum();
        let admitted = count(&|r| r.admitted);
        let attempts: u32 = measured.iter().map(|r| r.attempts).sum();
        let ended = |r: &RequestRecord, f: fn(CallerEnd) -> bool| r.end.is_some_and(|(_, e)| f(e));
        let buckets = PromptBucket::ALL.map(|b| (b.label(), bucket(&measured, b)));
        Self {
            requests: measured.len() as f64,
            admitted,
            answered_in_time: count(&in_time),
            failed: count(&|r| ended(r, |e| matches!(e, CallerEnd::Failed(..)))),
            rejected: count(&|r| ended(r, |e| matches!(e, CallerEnd::Rejected(_)))),
            instance_lost: count(&|r| ended(r, |e| e == CallerEnd::InstanceLost)),
            open_at_end: world.open_at_end as f64,
            goodput_tokens_per_s: good as f64 / seconds,
            long_dropped: count(&|r| {
                let long = r.arrival.prompt >= LONG_TOKENS;
                long && r.admitted && !ended(r, |e| e == CallerEnd::Answered)
            }),
            attempts_per_request: f64::from(attempts) / admitted.max(1.0),
            came_back: measured.iter().map(|r| f64::from(r.came_back)).sum(),
            retry_after_spread: spread(&measured),
            worst_shortfall: worst_shortfall(scenario, &measured),
            overcommits: world.overcommits as f64,
            double_runs: count(&|r| !scenario.classes[r.arrival.class].repeatable && r.runs > 1),
            held_at_end: world.held_at_end.0 as f64,
            ttft: buckets.into_iter().collect(),
            short_slowdown_p99: 0.0,
        }
    }
}

fn answered_in_time(scenario: &Scenario, record: &RequestRecord) -> bool {
    let deadline = record.arrival.at + scenario.classes[record.arrival.class].deadline;
    record.end.is_some_and(|(at, end)| end == CallerEnd::Answered && at <= deadline)
}

fn cost(record: &RequestRecord) -> u64 {
    record.arrival.prompt + record.arrival.output
}

/// Requests without a first token count as having waited for as long as the longest did.
fn bucket(measured: &[&RequestRecord], bucket: PromptBucket) -> BucketReport {
    const MICROS_PER_MILLI: f64 = 1_000.0;
    let Ok(mut histogram) = Histogram::<u64>::new(3) else { return BucketReport::default() };
    for record in measured {
        if PromptBucket::of(TokenCount(record.arrival.prompt)) != bucket {
            continue;
        }
        if let Some(first) = record.first_token {
            let micros = first.since(record.arrival.at).as_micros();
            let _ = histogram.record(u64::try_from(micros).unwrap_or(u64::MAX));
        }
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI;
    BucketReport { p50_ms: at(0.5), p95_ms: at(0.95), p99_ms: at(0.99), n: histogram.len() as f64 }
}

fn spread(measured: &[&RequestRecord]) -> f64 {
    let waits: Vec<f64> =
        measured.iter().flat_map(|r| &r.retry_after).map(Duration::as_secs_f64).collect();
    if waits.is_empty() {
        return 0.0;
    }
    let mean = waits.iter().sum::<f64>() / waits.len() as f64;
    let variance = waits.iter().map(|w| (w - mean).powi(2)).sum::<f64>() / waits.len() as f64;
    if mean > 0.0 { variance.sqrt() / mean } else { 0.0 }
}

/// Each account's share of what was served is by max-min fairness with equal weights: nobody gets
/// more than it asks for, and what is left over is shared among those who ask for more.
fn worst_shortfall(scenario: &Scenario, measured: &[&RequestRecord]) -> f64 {
    let mut asked = vec![0.0; scenario.accounts.len()];
    let mut got = vec![0.0; scenario.accounts.len()];
    for record in measured {
        let cost = cost(record) as f64;
        asked[record.arrival.account] += cost;
        if answered_in_time(scenario, record) {
            got[record.arrival.account] += cost;
        }
    }
    let fair = max_min(&asked, got.iter().sum());
    let shortfall = |(got, fair): (&f64, &f64)| {
        if *fair > 0.0 { (1.0 - got / fair).max(0.0) } else { 0.0 }
    };
    got.iter().zip(&fair).map(shortfall).fold(0.0, f64::max)
}

fn max_min(asked: &[f64], all: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..asked.len()).collect();
    order.sort_by(|a, b| asked[*a].total_cmp(&asked[*b]));
    let mut left = all;
    let mut fair = vec![0.0; asked.len()];
    for (done, account) in order.iter().enumerate() {
        let equal = left / (asked.len() - done) as f64;
        fair[*account] = asked[*account].min(equal);
        left -= fair[*account];
    }
    fair
}
