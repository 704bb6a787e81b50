//! Measured rates of arrivals and starts.

use std::collections::BTreeMap;
use std::time::Duration;

use ringbend_types::Timestamp;

/// The weight of the rate that the engines' profile suggests, as a time of measurement.
const PRIOR_S: f64 = 0.2;

/// The smallest rate that is assumed, in requests per second.
const MIN_RATE: f64 = 0.1;

/// A count that decays with time.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingCount {
    count: f64,
    at: Timestamp,
}

impl DecayingCount {
    fn at(&self, now: Timestamp, window: Duration) -> f64 {
        self.count * decay(now.since(self.at), window)
    }

    fn add(&mut self, now: Timestamp, window: Duration, amount: f64) {
        (self.count, self.at) = (self.at(now, window) + amount, now);
    }
}

fn decay(elapsed: Duration, window: Duration) -> f64 {
    (-elapsed.as_secs_f64() / window.as_secs_f64()).exp()
}

/// The rates of one service.
pub(super) struct Rates {
    window: Duration,
    /// Admitted requests by priority.
    arrivals: BTreeMap<u8, DecayingCount>,
    /// Requests per second that the engines' profile suggests.
    prior: f64,
    /// Starts while requests were waiting.
    starts: DecayingCount,
    /// Seconds in which requests were waiting.
    busy_s: DecayingCount,
    observed: Option<(Timestamp, bool)>,
}

impl Rates {
    pub(super) fn new(window: Duration) -> Self {
        Self {
            window,
            arrivals: BTreeMap::new(),
            prior: MIN_RATE,
            starts: DecayingCount::default(),
            busy_s: DecayingCount::default(),
            observed: None,
        }
    }

    /// Sets the rate at which this many slots start requests with this work.
    pub(super) fn set_prior(&mut self, slots: u32, work: Duration) {
        self.prior = (f64::from(slots) / work.as_secs_f64().max(1e-3)).max(MIN_RATE);
    }

    /// Records whether requests wait, from now until the next call.
    pub(super) fn observe(&mut self, now: Timestamp, is_busy: bool) {
        if let Some((before, true)) = self.observed {
            self.busy_s.add(now, self.window, now.since(before).as_secs_f64());
        }
        self.observed = Some((now, is_busy));
    }

    pub(super) fn record_arrival(&mut self, now: Timestamp, priority: u8) {
        self.arrivals.entry(priority).or_default().add(now, self.window, 1.0);
    }

    /// Records the start of a request that had to wait.
    pub(super) fn record_busy_start(&mut self) {
        if let Some((now, _)) = self.observed {
            self.starts.add(now, self.window, 1.0);
        }
    }

    /// The rate at which waiting requests start, per second.
    pub(super) fn service(&self, now: Timestamp) -> f64 {
        let (starts, busy_s) = (self.starts.at(now, self.window), self.busy_s.at(now, self.window));
        ((self.prior * PRIOR_S + starts) / (PRIOR_S + busy_s)).max(MIN_RATE)
    }

    /// The rate of admitted requests, per second.
    pub(super) fn arrivals(&self, now: Timestamp) -> f64 {
        self.sum(now, |_| true)
    }

    /// The rate of admitted requests of more urgent priorities.
    pub(super) fn arrivals_before(&self, now: Timestamp, rank: u8) -> f64 {
        self.sum(now, |priority| priority < rank)
    }

    fn sum(&self, now: Timestamp, matches: impl Fn(u8) -> bool) -> f64 {
        let counts = self.arrivals.iter().filter(|(priority, _)| matches(**priority));
        let count: f64 = counts.map(|(_, count)| count.at(now, self.window)).sum();
        count / self.window.as_secs_f64()
    }
}
