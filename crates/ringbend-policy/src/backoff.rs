//! When and whether an attempt follows another.
//!
//! Full jitter, the endpoint's Retry-After as a floor, and a budget of retries for the whole
//! instance are ideas of "Your Agent Fleet Kept Its Own Quota Pinned for Forty Minutes"; the
//! measurements that keep each of them are in `docs/design/retries.md`.

use std::time::Duration;

use rand::Rng;
use ringbend_settings::configs::RetriesConfig;
use ringbend_types::Timestamp;

/// First attempts forgotten by half after this long.
const BUDGET_HALF_LIFE: Duration = Duration::from_secs(10);

/// Retries always allowed, so that a quiet instance can retry at all.
const BUDGET_FLOOR: f64 = 10.0;

/// The delay before an attempt.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
}

impl Backoff {
    /// A backoff with these settings.
    pub fn new(cfg: &RetriesConfig) -> Self {
        Self {
            base: Duration::from_millis(cfg.backoff_base_ms),
            cap: Duration::from_millis(cfg.backoff_cap_ms),
        }
    }

    /// Uniform over the whole window, on top of the endpoint's Retry-After.
    pub fn delay(&self, failed: u32, floor: Option<Duration>, rng: &mut impl Rng) -> Duration {
        let doublings = failed.saturating_sub(1).min(16);
        let window = self.base.saturating_mul(1 << doublings).min(self.cap);
        floor.unwrap_or_default() + window.mul_f64(rng.random::<f64>())
    }
}

/// A Retry-After for a caller: the estimate, spread over as much again, so that callers who were
/// refused together do not return together.
pub fn jittered_retry_after(estimate: Duration, rng: &mut impl Rng) -> Duration {
    let estimate = estimate.max(Duration::from_millis(500));
    estimate + estimate.mul_f64(rng.random::<f64>())
}

/// Retries allowed against first attempts, both decaying with time.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    first: f64,
    retries: f64,
    at: Timestamp,
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn first_attempt(&mut self, now: Timestamp) {
        self.decay(now);
        self.first += 1.0;
    }

    /// Takes a retry out of the budget, unless it is used up.
    pub fn try_retry(&mut self, now: Timestamp, ratio_percent: u32) -> bool {
        self.decay(now);
        let allowed = BUDGET_FLOOR + self.first * f64::from(ratio_percent) / 100.0;
        let within = self.retries + 1.0 <= allowed;
        if within {
            self.retries += 1.0;
        }
        within
    }

    fn decay(&mut self, now: Timestamp) {
        let halves = now.since(self.at).as_secs_f64() / BUDGET_HALF_LIFE.as_secs_f64();
        let keep = 0.5_f64.powf(halves);
        self.first *= keep;
        self.retries *= keep;
        self.at = now;
    }
}
