//! Metrics of one run.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use ringbend_types::{PromptBucket, Timestamp, TokenCount};
use serde::Serialize;

use crate::routing::{CallerEnd, RequestRecord, RoutingReport};
use crate::scenario::Scenario;

/// Prompts of at least this many tokens count as long in the reports.
pub(crate) const LONG_TOKENS: u64 = 50_000;

/// Time to first token in one prompt length bucket, in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct BucketReport {
    /// 50th percentile.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Number of requests with a first token.
    pub n: f64,
}

/// Metrics of one policy in one scenario. Counts are `f64` because the same fields hold the means
/// over several seeds.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct RunReport {
    /// Requests that arrived after the warm-up.
    pub requests: f64,
    /// Of those, requests that an instance admitted.
    pub admitted: f64,
    /// Requests answered completely within their deadline.
    pub answered_in_time: f64,
    /// Requests that failed after admission.
    pub failed: f64,
    /// Requests that were refused and not run.
    pub rejected: f64,
    /// Requests lost in the crash of their instance.
    pub instance_lost: f64,
    /// Requests of the whole run that had no outcome at its end.
    pub open_at_end: f64,
    /// Prompt and output tokens per second of answers that completed within their deadline, after
    /// the warm-up and while requests were still arriving.
    pub goodput_tokens_per_s: f64,
    /// Long requests that were admitted but not answered.
    pub long_dropped: f64,
    /// Attempts per admitted request.
    pub attempts_per_request: f64,
    /// Retries by callers after a refusal.
    pub came_back: f64,
    /// Coefficient of variation of the Retry-After values; 0 means that callers retry in lockstep.
    pub retry_after_spread: f64,
    /// Largest shortfall of an account against its max-min fair share, as a fraction of the share.
    pub worst_shortfall: f64,
    /// Sequences submitted to an engine that had too little free memory at that moment.
    pub overcommits: f64,
    /// Non-repeatable requests that ran more than once.
    pub double_runs: f64,
    /// KV memory in use after the last answer, in tokens.
    pub held_at_end: f64,
    /// Time to first token by prompt length bucket.
    pub ttft: BTreeMap<&'static str, BucketReport>,
    /// p99 time to first token of the shortest bucket, divided by the same in a run without long
    /// prompts.
    pub short_slowdown_p99: f64,
}

impl RunReport {
    /// Computes the metrics of a run.
    pub fn of(scenario: &Scenario, routing_report: &RoutingReport) -> Self {
        let warm_up_time = scenario.warm_up;
        let measured: Vec<&RequestRecord> = routing_report
            .records
            .iter()
            .filter(|r| r.arrival.at.since(Timestamp::default()) >= warm_up_time)
            .collect();
        let count =
            |f: &dyn Fn(&RequestRecord) -> bool| measured.iter().filter(|r| f(r)).count() as f64;
        let in_time = |r: &RequestRecord| answered_in_time(scenario, r);
        let seconds = (scenario.duration - scenario.warm_up).as_secs_f64();
        let window_start = Timestamp::default() + scenario.warm_up;
        let window_end = Timestamp::default() + scenario.duration;
        let in_window =
            |r: &RequestRecord| r.end.is_some_and(|(at, _)| at >= window_start && at <= window_end);
        let goodput = routing_report.records.iter().filter(|r| in_time(r) && in_window(r));
        let goodput: u64 = goodput.map(total_tokens).sum();
        let admitted = count(&|r| r.admitted);
        let attempts: u32 = measured.iter().map(|r| r.attempts).sum();
        let ended = |r: &RequestRecord, f: fn(CallerEnd) -> bool| r.end.is_some_and(|(_, e)| f(e));
        let buckets = PromptBucket::ALL.map(|b| (b.label(), bucket_report(&measured, b)));
        Self {
            requests: measured.len() as f64,
            admitted,
            answered_in_time: count(&in_time),
            failed: count(&|r| ended(r, |e| matches!(e, CallerEnd::Failed(..)))),
            rejected: count(&|r| ended(r, |e| matches!(e, CallerEnd::Rejected(_)))),
            instance_lost: count(&|r| ended(r, |e| e == CallerEnd::InstanceLost)),
            open_at_end: routing_report.open_at_end as f64,
            goodput_tokens_per_s: goodput as f64 / seconds,
            long_dropped: count(&|r| {
                let long = r.arrival.prompt >= LONG_TOKENS;
                long && r.admitted && !ended(r, |e| e == CallerEnd::Answered)
            }),
            attempts_per_request: f64::from(attempts) / admitted.max(1.0),
            came_back: measured.iter().map(|r| f64::from(r.caller_retries)).sum(),
            retry_after_spread: coefficient_of_variation(&measured),
            worst_shortfall: worst_shortfall(scenario, &measured),
            overcommits: routing_report.overcommits as f64,
            double_runs: count(&|r| !scenario.classes[r.arrival.class].repeatable && r.runs > 1),
            held_at_end: routing_report.held_at_end.0 as f64,
            ttft: buckets.into_iter().collect(),
            short_slowdown_p99: 0.0,
        }
    }
}

fn answered_in_time(scenario: &Scenario, record: &RequestRecord) -> bool {
    let deadline = record.arrival.at + scenario.classes[record.arrival.class].deadline;
    record.end.is_some_and(|(at, end)| end == CallerEnd::Answered && at <= deadline)
}

fn total_tokens(record: &RequestRecord) -> u64 {
    record.arrival.prompt + record.arrival.output
}

/// Time to first token of the requests in `bucket`. Requests without a first token are left out.
fn bucket_report(measured: &[&RequestRecord], bucket: PromptBucket) -> BucketReport {
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

fn coefficient_of_variation(measured: &[&RequestRecord]) -> f64 {
    let delays: Vec<f64> =
        measured.iter().flat_map(|r| &r.retry_after).map(Duration::as_secs_f64).collect();
    if delays.is_empty() {
        return 0.0;
    }
    let mean = delays.iter().sum::<f64>() / delays.len() as f64;
    let variance = delays.iter().map(|w| (w - mean).powi(2)).sum::<f64>() / delays.len() as f64;
    if mean > 0.0 { variance.sqrt() / mean } else { 0.0 }
}

/// The fair shares of the served tokens follow max-min fairness with equal weights: no account gets
/// more than its demand, and the remainder is divided among the accounts with unmet demand.
fn worst_shortfall(scenario: &Scenario, measured: &[&RequestRecord]) -> f64 {
    let mut demand = vec![0.0; scenario.accounts.len()];
    let mut served = vec![0.0; scenario.accounts.len()];
    for record in measured {
        let total_tokens = total_tokens(record) as f64;
        demand[record.arrival.account] += total_tokens;
        if answered_in_time(scenario, record) {
            served[record.arrival.account] += total_tokens;
        }
    }
    let fair = max_min_shares(&demand, served.iter().sum());
    let shortfall = |(served, fair): (&f64, &f64)| {
        if *fair > 0.0 { (1.0 - served / fair).max(0.0) } else { 0.0 }
    };
    served.iter().zip(&fair).map(shortfall).fold(0.0, f64::max)
}

fn max_min_shares(asked: &[f64], total: f64) -> Vec<f64> {
    let mut order: Vec<usize> = (0..asked.len()).collect();
    order.sort_by(|a, b| asked[*a].total_cmp(&asked[*b]));
    let mut remaining = total;
    let mut fair = vec![0.0; asked.len()];
    for (done, account) in order.iter().enumerate() {
        let equal = remaining / (asked.len() - done) as f64;
        fair[*account] = asked[*account].min(equal);
        remaining -= fair[*account];
    }
    fair
}
