//! The report on a load.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use ringbend_types::PromptBucket;
use serde::Serialize;

use crate::mixed_load::{CallOutcome, CallResult};

/// Percentiles of the time to first token of one prompt bucket, in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct TtftPercentiles {
    /// 50th percentile.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Number of measured prompts.
    pub n: u64,
}

/// Outcomes and latencies of a load.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Number of requests sent.
    pub requests: u64,
    /// Number of complete and correct answers.
    pub answered: u64,
    /// Number of admitted requests that failed with a well-formed error.
    pub failed: u64,
    /// Number of requests that were rejected and not run.
    pub not_run: u64,
    /// Number of requests with neither a complete answer nor a well-formed error.
    pub lost: u64,
    /// Number of requests that the instances counted as admitted.
    pub admitted: u64,
    /// Number of keys whose call ran more than once.
    pub double_runs: u64,
    /// Number of requests that got the answer to another request.
    pub crossed: u64,
    /// KV memory that the engines still held some time after the last answer, in tokens.
    pub leaked_tokens: u64,
    /// Time from sending a settings change until it is in force at all instances, in milliseconds.
    pub settings_in_force_ms: f64,
    /// Time to first token by prompt bucket.
    pub ttft_ms: BTreeMap<&'static str, TtftPercentiles>,
}

impl Report {
    /// Creates a report from the callers' results. The counts of the instances and stand-ins are left
    /// at zero.
    pub fn from_results(results: &[CallResult]) -> Self {
        let count =
            |f: fn(CallOutcome) -> bool| results.iter().filter(|r| f(r.outcome)).count() as u64;
        let mut report = Self {
            requests: results.len() as u64,
            answered: count(|v| v == CallOutcome::Answered),
            failed: count(|v| matches!(v, CallOutcome::Failed(_))),
            not_run: count(|v| v == CallOutcome::NotRun),
            lost: count(|v| v == CallOutcome::Lost),
            crossed: count(|v| v == CallOutcome::Crossed),
            ..Self::default()
        };
        for bucket in PromptBucket::ALL {
            report.ttft_ms.insert(bucket.label(), ttft_percentiles(results, bucket));
        }
        report
    }

    /// Returns whether no request was lost, crossed or run twice, no memory leaked, the instances'
    /// count of admitted requests matches the callers', and each bucket was measured.
    pub fn passes(&self) -> bool {
        self.admitted == self.answered + self.failed
            && self.lost + self.double_runs + self.crossed + self.leaked_tokens == 0
            && self.ttft_ms.values().all(|percentiles| percentiles.n > 0)
    }

    /// Formats the report as a plain-text table.
    pub fn to_table(&self) -> String {
        let mut text = format!(
            "{} requests: {} answered, {} failed, {} not run, {} lost\n\
             {} double runs, {} crossed, {} tokens leaked, settings in force after {:.0} ms\n\n\
             {:>8} {:>8} {:>10} {:>10} {:>10}\n",
            self.requests,
            self.answered,
            self.failed,
            self.not_run,
            self.lost,
            self.double_runs,
            self.crossed,
            self.leaked_tokens,
            self.settings_in_force_ms,
            "prompt",
            "n",
            "p50 ms",
            "p95 ms",
            "p99 ms",
        );
        for bucket in PromptBucket::ALL {
            let Some(percentiles) = self.ttft_ms.get(bucket.label()) else { continue };
            text.push_str(&format!(
                "{:>8} {:>8} {:>10.1} {:>10.1} {:>10.1}\n",
                bucket, percentiles.n, percentiles.p50, percentiles.p95, percentiles.p99
            ));
        }
        text
    }
}

fn ttft_percentiles(results: &[CallResult], bucket: PromptBucket) -> TtftPercentiles {
    const MICROS_PER_MILLI: f64 = 1_000.0;
    let Ok(mut histogram) = Histogram::<u64>::new(3) else { return TtftPercentiles::default() };
    let first_token_times = results
        .iter()
        .filter(|r| r.bucket == Some(bucket) && r.outcome == CallOutcome::Answered)
        .filter_map(|r| r.first_token);
    for time in first_token_times {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let _ = histogram.record(micros);
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI;
    TtftPercentiles { p50: at(0.5), p95: at(0.95), p99: at(0.99), n: histogram.len() }
}
