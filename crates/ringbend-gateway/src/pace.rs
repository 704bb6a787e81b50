//! How fast engines are against what their configuration tells, and when one is asked.
//!
//! Configured speeds hold until an engine turns slow, for seconds or for good. Work on it then takes a
//! multiple of what is expected, and more is sent there, since it looks no busier than others. Whoever
//! relays a stream sees it first: an event that is long overdue. That may as well be a long prompt that
//! is read on the engine, so it is a reason to ask the engine itself and no more.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use ringbend_types::{EndpointId, Timestamp};

/// The time that an engine's work takes, as a multiple of what its configuration tells.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Pace(f64);

impl Pace {
    /// As fast as configured.
    pub const USUAL: Self = Self(1.0);

    /// The slowest that is told apart. An engine that is slower gets nothing either way.
    const SLOWEST: f64 = 50.0;

    /// From this on an engine counts as slow; below, what is expected of it is off by less than two
    /// passes.
    const SLOW: f64 = 1.25;

    /// The pace that takes `factor` times as long. An engine that is faster than configured, and a
    /// number that makes no sense, count as usual.
    pub fn new(factor: f64) -> Self {
        if factor.is_finite() { Self(factor.clamp(1.0, Self::SLOWEST)) } else { Self::USUAL }
    }

    /// The multiple.
    pub fn factor(self) -> f64 {
        self.0
    }

    /// Whether less should be expected of the engine than of others.
    pub fn is_slow(self) -> bool {
        self.0 >= Self::SLOW
    }

    /// In percent, for messages.
    pub fn percent(self) -> u32 {
        (self.0 * 100.0).round() as u32
    }

    /// From percent.
    pub fn from_percent(percent: u32) -> Self {
        Self::new(f64::from(percent) / 100.0)
    }
}

impl Default for Pace {
    fn default() -> Self {
        Self::USUAL
    }
}

impl fmt::Display for Pace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.2}", self.0)
    }
}

/// How long an engine is not asked again. Its answer shows it as it was some hundred milliseconds ago,
/// and each question costs a connection.
const ASK_AGAIN: Duration = Duration::from_millis(700);

/// The same for an engine that names a limit: it may count questions as requests.
pub const LIMITED_QUERY_INTERVAL: Duration = Duration::from_secs(2);

/// How much later than expected a first event is a reason to ask: more than the pass that most first
/// events wait for.
const OVERDUE: Duration = Duration::from_millis(120);

/// How many times the expected time is a reason to ask.
const OVERDUE_FACTOR: f64 = 2.0;

/// When an event that was expected after `expected` is a reason to ask its engine for its pace.
pub fn overdue_after(expected: Duration) -> Duration {
    expected.mul_f64(OVERDUE_FACTOR).max(expected + OVERDUE)
}

/// Which engines were asked for their pace, and when.
#[derive(Debug, Clone, Default)]
pub struct PaceQueries {
    asked: BTreeMap<EndpointId, Timestamp>,
}

impl PaceQueries {
    /// Whether the engine should be asked now; notes that it is. One that names a limit is asked more seldom.
    pub fn begin(&mut self, now: Timestamp, engine: &EndpointId, is_limited: bool) -> bool {
        self.asked.retain(|_, at| now.since(*at) < LIMITED_QUERY_INTERVAL);
        let again = if is_limited { LIMITED_QUERY_INTERVAL } else { ASK_AGAIN };
        if self.asked.get(engine).is_some_and(|at| now.since(*at) < again) {
            return false;
        }
        self.asked.insert(engine.clone(), now);
        true
    }
}
