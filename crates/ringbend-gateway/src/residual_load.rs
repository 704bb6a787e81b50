//! Load on an engine that no known instance has placed.
//!
//! After all instances have ended, engines still run requests whose callers are gone. An instance
//! that starts then knows of none of them; the engine's report is its only source.

use std::time::Duration;

use ringbend_types::Timestamp;

use crate::engine::EngineProfile;

/// Approximate age of the values in a report when it arrives.
const REPORT_AGE: Duration = Duration::from_millis(200);

/// The least age of the values in a report when it arrives. Work placed before that is taken to be
/// among the reported work, so that none is counted twice as long as the values are at least this
/// old. Work placed between this time and the actual time of the values reduces the residual load
/// by more than it should.
const MIN_REPORT_AGE: Duration = Duration::from_millis(100);

/// Approximate number of tokens in a response. The profile of an engine does not contain it. It
/// corresponds to the 1.7 s that decoding a response took on the measured engines, at about 1 ms
/// per step.
const USUAL_RESPONSE_TOKENS: f64 = 1_700.0;

/// The longest fade time. A profile with very long steps must not keep an engine out of use.
const MAX_FADE_TIME: Duration = Duration::from_secs(10);

/// What an engine states that it runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EngineUsage {
    /// The number of requests, running or waiting for a slot.
    pub requests: u32,
    /// Memory used, in tokens.
    pub memory_tokens: u64,
}

impl EngineUsage {
    /// The usage without the part that belongs to `known` work.
    fn without(self, known: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(known.requests),
            memory_tokens: self.memory_tokens.saturating_sub(known.memory_tokens),
        }
    }
}

/// The usage that an engine reported, and when the report arrived.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsageReport {
    /// The reported usage.
    pub usage: EngineUsage,
    /// When the report arrived at the instance that requested it.
    pub received_at: Timestamp,
}

impl UsageReport {
    /// Whether work placed at this time counts as reported.
    pub(crate) fn covers(&self, placed_at: Timestamp) -> bool {
        self.received_at.since(placed_at) >= MIN_REPORT_AGE
    }
}

/// How long a response usually takes on an engine whose slots are all in use. Unknown load has ended
/// by then.
pub fn fade_time(profile: &EngineProfile) -> Duration {
    let step_ms = profile.step_ms + f64::from(profile.slots) * profile.per_sequence_ms;
    let ms = (USUAL_RESPONSE_TOKENS * step_ms).max(0.0);
    Duration::try_from_secs_f64(ms / 1e3).map_or(MAX_FADE_TIME, |time| time.min(MAX_FADE_TIME))
}

/// Load that decreases linearly to zero: requests of equal duration that have started at uniformly
/// distributed times end like that.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ResidualLoad {
    usage: EngineUsage,
    since: Timestamp,
    fade: Duration,
}

impl ResidualLoad {
    /// The part of a report that is not `known` work. `None` if there is none.
    pub fn new(report: UsageReport, known: EngineUsage, fade: Duration) -> Option<Self> {
        let usage = report.usage.without(known);
        let is_none = usage == EngineUsage::default() || fade.is_zero();
        (!is_none).then_some(Self { usage, since: report.received_at, fade })
    }

    /// The number of requests that are expected to be left.
    pub fn requests(&self, now: Timestamp) -> f64 {
        f64::from(self.usage.requests) * self.share_left(now)
    }

    /// The memory that is expected to be in use, in tokens.
    pub fn memory_tokens(&self, now: Timestamp) -> u64 {
        (self.usage.memory_tokens as f64 * self.share_left(now)) as u64
    }

    /// Whether nothing is left.
    pub fn is_over(&self, now: Timestamp) -> bool {
        self.share_left(now) == 0.0
    }

    fn share_left(&self, now: Timestamp) -> f64 {
        let age = now.since(self.since) + REPORT_AGE;
        (1.0 - age.as_secs_f64() / self.fade.as_secs_f64()).max(0.0)
    }
}
