//! The measured speed of engines relative to their configuration, and when to query it.
//!
//! Configured speeds hold until an engine becomes slow, for seconds or permanently. Its work then
//! takes a multiple of the expected time, and it receives more, since it looks no busier than
//! others. The instance that relays a stream notices first: an event is long overdue. The cause may
//! also be a long prompt that the engine is reading, so an overdue event only triggers a query of
//! the engine.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use ringbend_types::{EndpointId, Timestamp};

/// The time that an engine's work takes, as a multiple of the configured time.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
pub struct Pace(f64);

impl Pace {
    /// As fast as configured.
    pub const USUAL: Self = Self(1.0);

    /// The upper bound of the factor. A slower engine gets no work either way.
    const SLOWEST: f64 = 50.0;

    /// The factor from which an engine counts as slow. Below it, expectations are off by less than
    /// two passes.
    const SLOW: f64 = 1.25;

    /// Creates the pace that takes `factor` times as long. Factors below one and non-finite numbers
    /// count as the usual pace.
    pub fn new(factor: f64) -> Self {
        if factor.is_finite() { Self(factor.clamp(1.0, Self::SLOWEST)) } else { Self::USUAL }
    }

    /// The factor.
    pub fn factor(self) -> f64 {
        self.0
    }

    /// Whether the engine counts as slow.
    pub fn is_slow(self) -> bool {
        self.0 >= Self::SLOW
    }

    /// The factor in percent, as sent in messages.
    pub fn percent(self) -> u32 {
        (self.0 * 100.0).round() as u32
    }

    /// Creates a pace from a factor in percent.
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

/// The minimum interval between queries of an engine. Its answer shows its state of a few hundred
/// milliseconds ago, and each query costs a connection.
const QUERY_INTERVAL: Duration = Duration::from_millis(700);

/// The minimum interval between queries of an engine with a rate limit, which may count queries as
/// requests.
pub const LIMITED_QUERY_INTERVAL: Duration = Duration::from_secs(2);

/// The minimum delay of a first event that triggers a query: more than the pass for which most
/// first events wait.
const OVERDUE_MARGIN: Duration = Duration::from_millis(120);

/// The multiple of the expected time that triggers a query.
const OVERDUE_FACTOR: f64 = 2.0;

/// The time after which an event expected after `expected` is overdue, so that its engine is
/// queried.
pub fn overdue_after(expected: Duration) -> Duration {
    expected.mul_f64(OVERDUE_FACTOR).max(expected + OVERDUE_MARGIN)
}

/// The engines that were queried recently, and when.
#[derive(Debug, Clone, Default)]
pub struct PaceQueries {
    asked: BTreeMap<EndpointId, Timestamp>,
}

impl PaceQueries {
    /// Whether to query the engine now; records the query if so. An engine with a rate limit is
    /// queried less often.
    pub fn begin(&mut self, now: Timestamp, engine: &EndpointId, is_limited: bool) -> bool {
        self.asked.retain(|_, at| now.since(*at) < LIMITED_QUERY_INTERVAL);
        let again = if is_limited { LIMITED_QUERY_INTERVAL } else { QUERY_INTERVAL };
        if self.asked.get(engine).is_some_and(|at| now.since(*at) < again) {
            return false;
        }
        self.asked.insert(engine.clone(), now);
        true
    }
}
