//! What came of a load.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use ringbend_types::PromptBucket;
use serde::Serialize;

use crate::load::{CallResult, Verdict};

/// Time to first token of one bucket, in milliseconds.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct TtftLine {
    /// Half were faster.
    pub p50: f64,
    /// 95 in 100 were faster.
    pub p95: f64,
    /// 99 in 100 were faster.
    pub p99: f64,
    /// How many were measured.
    pub n: u64,
}

/// A load's report.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Report {
    /// Requests sent.
    pub requests: u64,
    /// Whole and right answers.
    pub answered: u64,
    /// Admitted, and failed clearly.
    pub failed: u64,
    /// Refused, and not run.
    pub not_run: u64,
    /// Neither an answer nor a clear failure.
    pub lost: u64,
    /// Admitted, as the instances count.
    pub admitted: u64,
    /// Keys that ran more than once.
    pub double_runs: u64,
    /// Answers of another request.
    pub crossed: u64,
    /// KV memory still held after the last answer, in tokens.
    pub leaked_tokens: u64,
    /// From an accepted settings change until every instance has it in force, in milliseconds.
    pub settings_in_force_ms: f64,
    /// Time to first token by prompt length.
    pub ttft_ms: BTreeMap<&'static str, TtftLine>,
}

impl Report {
    /// Counts the callers' results; the instances' and stand-ins' counts are filled in after.
    pub fn of(results: &[CallResult]) -> Self {
        let count = |f: fn(Verdict) -> bool| results.iter().filter(|r| f(r.verdict)).count() as u64;
        let mut report = Self {
            requests: results.len() as u64,
            answered: count(|v| v == Verdict::Answered),
            failed: count(|v| matches!(v, Verdict::Failed(_))),
            not_run: count(|v| v == Verdict::NotRun),
            lost: count(|v| v == Verdict::Lost),
            crossed: count(|v| v == Verdict::Crossed),
            ..Self::default()
        };
        for bucket in PromptBucket::ALL {
            report.ttft_ms.insert(bucket.label(), ttft(results, bucket));
        }
        report
    }

    /// Whether everything that must hold does.
    pub fn holds(&self) -> bool {
        self.admitted == self.answered + self.failed
            && self.lost + self.double_runs + self.crossed + self.leaked_tokens == 0
            && self.ttft_ms.values().all(|line| line.n > 0)
    }

    /// The report as a table for people.
    pub fn table(&self) -> String {
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
            let Some(line) = self.ttft_ms.get(bucket.label()) else { continue };
            text.push_str(&format!(
                "{:>8} {:>8} {:>10.1} {:>10.1} {:>10.1}\n",
                bucket, line.n, line.p50, line.p95, line.p99
            ));
        }
        text
    }
}

fn ttft(results: &[CallResult], bucket: PromptBucket) -> TtftLine {
    const MICROS_PER_MILLI: f64 = 1_000.0;
    let Ok(mut histogram) = Histogram::<u64>::new(3) else { return TtftLine::default() };
    let of_bucket = results
        .iter()
        .filter(|r| r.bucket == Some(bucket) && r.verdict == Verdict::Answered)
        .filter_map(|r| r.first_token);
    for time in of_bucket {
        let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        let _ = histogram.record(micros);
    }
    let at = |quantile| histogram.value_at_quantile(quantile) as f64 / MICROS_PER_MILLI;
    TtftLine { p50: at(0.5), p95: at(0.95), p99: at(0.99), n: histogram.len() }
}
