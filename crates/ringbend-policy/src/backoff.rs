//! Retry delays and the retry budget.
//!
//! Full jitter, the endpoint's Retry-After as a lower bound, and one retry budget for the whole
//! instance are taken from "Your Agent Fleet Kept Its Own Quota Pinned for Forty Minutes". The
//! measurements that justify each of them are in `docs/design/retries.md`.

use std::time::Duration;

use rand::Rng;
use ringbend_settings::configs::RetriesConfig;
use ringbend_types::Timestamp;

/// Half-life of the counts of first attempts and of retries.
const BUDGET_HALF_LIFE: Duration = Duration::from_secs(10);

/// Retries that are always allowed, so that an instance with little traffic can retry at all.
const MIN_RETRIES: f64 = 10.0;

/// Exponential backoff with full jitter.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    base: Duration,
    cap: Duration,
}

impl Backoff {
    /// Creates a backoff from the retry settings.
    pub fn new(cfg: &RetriesConfig) -> Self {
        Self {
            base: Duration::from_millis(cfg.backoff_base_ms),
            cap: Duration::from_millis(cfg.backoff_cap_ms),
        }
    }

    /// Returns the delay before the next attempt after `failed` failed ones: uniform over the
    /// backoff window, added to `floor`, the endpoint's Retry-After.
    pub fn delay(&self, failed: u32, floor: Option<Duration>, rng: &mut impl Rng) -> Duration {
        let doublings = failed.saturating_sub(1).min(16);
        let window = self.base.saturating_mul(1 << doublings).min(self.cap);
        floor.unwrap_or_default() + window.mul_f64(rng.random::<f64>())
    }
}

/// Returns the Retry-After for a caller: between one and two times the estimate, at random, so
/// that callers rejected at the same time do not all retry at the same time. The estimate counts
/// as at least 500 ms.
pub fn jittered_retry_after(estimate: Duration, rng: &mut impl Rng) -> Duration {
    let estimate = estimate.max(Duration::from_millis(500));
    estimate + estimate.mul_f64(rng.random::<f64>())
}

/// Limits retries to a fraction of first attempts. Both counts decay exponentially.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    first_attempts: f64,
    retries: f64,
    updated_at: Timestamp,
}

impl RetryBudget {
    /// Records the first attempt of a request.
    pub fn first_attempt(&mut self, now: Timestamp) {
        self.decay(now);
        self.first_attempts += 1.0;
    }

    /// Uses one retry of the budget; returns false if it is exhausted.
    pub fn try_retry(&mut self, now: Timestamp, ratio_percent: u32) -> bool {
        self.decay(now);
        let allowed = MIN_RETRIES + self.first_attempts * f64::from(ratio_percent) / 100.0;
        let allowed_now = self.retries + 1.0 <= allowed;
        if allowed_now {
            self.retries += 1.0;
        }
        allowed_now
    }

    fn decay(&mut self, now: Timestamp) {
        let half_lives = now.since(self.updated_at).as_secs_f64() / BUDGET_HALF_LIFE.as_secs_f64();
        let factor = 0.5_f64.powf(half_lives);
        self.first_attempts *= factor;
        self.retries *= factor;
        self.updated_at = now;
    }
}
