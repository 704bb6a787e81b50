//! A token bucket whose time is passed in.

use std::time::Duration;

use ringbend_types::{Timestamp, TokenCount, TokensPerSecond};

/// Fills at a rate up to a burst. May be overdrawn by a cost larger than the burst, which then
/// has to be paid off before the next take.
#[derive(Debug, Clone)]
pub struct TokenBucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: Timestamp,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(now: Timestamp, rate: TokensPerSecond, burst: TokenCount) -> Self {
        let burst = burst.0 as f64;
        Self { rate: rate.0 as f64, burst, level: burst, at: now }
    }

    /// An empty bucket, for one that follows another whose level is not known.
    pub fn empty(now: Timestamp, rate: TokensPerSecond, burst: TokenCount) -> Self {
        Self { level: 0.0, ..Self::new(now, rate, burst) }
    }

    /// Changes rate and burst, keeping the level as far as the new burst holds it.
    pub fn reconfigure(&mut self, now: Timestamp, rate: f64, burst: f64) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst;
        self.level = self.level.min(burst);
    }

    /// Tokens that can be taken now; negative while overdrawn.
    pub fn level(&mut self, now: Timestamp) -> f64 {
        self.fill(now);
        self.level
    }

    /// Takes `cost`, when the bucket holds it, or is full and the cost is more than it ever holds.
    pub fn try_take(&mut self, now: Timestamp, cost: TokenCount) -> bool {
        self.fill(now);
        let cost = cost.0 as f64;
        let enough = self.level >= cost.min(self.burst);
        if enough {
            self.level -= cost;
        }
        enough
    }

    /// Takes up to `most` of what is there.
    pub fn take_up_to(&mut self, now: Timestamp, most: TokenCount) -> TokenCount {
        self.fill(now);
        let taken = (most.0 as f64).min(self.level).max(0.0).floor();
        self.level -= taken;
        TokenCount(taken as u64)
    }

    /// Puts tokens back.
    pub fn refund(&mut self, tokens: TokenCount) {
        self.level = (self.level + tokens.0 as f64).min(self.burst);
    }

    /// How long until `cost` can be taken.
    pub fn time_until(&mut self, now: Timestamp, cost: TokenCount) -> Duration {
        self.fill(now);
        let missing = ((cost.0 as f64).min(self.burst) - self.level).max(0.0);
        Duration::from_secs_f64((missing / self.rate.max(1.0)).min(86_400.0))
    }

    fn fill(&mut self, now: Timestamp) {
        let gained = now.since(self.at).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(self.burst);
        self.at = self.at.max(now);
    }
}
