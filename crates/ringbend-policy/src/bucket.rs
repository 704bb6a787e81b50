//! A token bucket that takes the current time as an argument.

use std::time::Duration;

use ringbend_types::{Timestamp, TokenCount, TokensPerSecond};

/// A rate limiter that refills at a constant rate up to a burst size. A cost larger than the burst
/// may overdraw it; the deficit must refill before anything else can be taken.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    updated_at: Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(now: Timestamp, rate: TokensPerSecond, burst: TokenCount) -> Self {
        let burst = burst.0 as f64;
        Self { rate: rate.0 as f64, burst, level: burst, updated_at: now }
    }

    /// Creates an empty bucket, to replace one whose level is unknown.
    pub fn empty(now: Timestamp, rate: TokensPerSecond, burst: TokenCount) -> Self {
        Self { level: 0.0, ..Self::new(now, rate, burst) }
    }

    /// Changes rate and burst. The level is kept, capped at the new burst.
    pub fn reconfigure(&mut self, now: Timestamp, rate: f64, burst: f64) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Returns the tokens available now; negative while overdrawn.
    pub fn level(&mut self, now: Timestamp) -> f64 {
        self.fill(now);
        self.level
    }

    /// Takes `cost` if that many tokens are available, or if the bucket is full and `cost` exceeds
    /// the burst. Returns whether it was taken.
    pub fn try_take(&mut self, now: Timestamp, cost: TokenCount) -> bool {
        self.fill(now);
        let cost = cost.0 as f64;
        let sufficient = self.level >= cost.min(self.burst);
        if sufficient {
            self.level -= cost;
        }
        sufficient
    }

    /// Takes up to `max` of the available tokens and returns how many were taken.
    pub fn take_up_to(&mut self, now: Timestamp, max: TokenCount) -> TokenCount {
        self.fill(now);
        let taken = (max.0 as f64).min(self.level).max(0.0).floor();
        self.level -= taken;
        TokenCount(taken as u64)
    }

    /// Returns tokens to the bucket, up to the burst.
    pub fn refund(&mut self, tokens: TokenCount) {
        self.level = (self.level + tokens.0 as f64).min(self.burst);
    }

    /// Returns how long until `cost` can be taken, at most a day.
    pub fn time_until(&mut self, now: Timestamp, cost: TokenCount) -> Duration {
        self.fill(now);
        let missing = ((cost.0 as f64).min(self.burst) - self.level).max(0.0);
        Duration::from_secs_f64((missing / self.rate.max(1.0)).min(86_400.0))
    }

    fn fill(&mut self, now: Timestamp) {
        let gained = now.since(self.updated_at).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.burst);
        self.updated_at = self.updated_at.max(now);
    }
}
