//! This instance's share of each client account's rate and concurrency limits.

use std::collections::BTreeMap;
use std::time::Duration;

use ringbend_settings::configs::LimitsConfig;
use ringbend_types::{ClientAccountId, Timestamp, TokenCount, TokensPerSecond};

use crate::bucket::TokenBucket;

/// Whether a request is within this instance's share of its account's limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitVerdict {
    /// It is within the limits, and its cost has been taken.
    Within,
    /// It exceeds them; its cost can be taken after this time.
    Over(Duration),
}

/// The limits of all accounts on one instance, each scaled by this instance's share of them.
#[derive(Debug, Clone)]
pub struct Limits {
    default_share: f64,
    shares: BTreeMap<ClientAccountId, f64>,
    buckets: BTreeMap<ClientAccountId, TokenBucket>,
    in_use: BTreeMap<ClientAccountId, u64>,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            default_share: 1.0,
            shares: BTreeMap::new(),
            buckets: BTreeMap::new(),
            in_use: BTreeMap::new(),
        }
    }
}

impl Limits {
    /// Sets the share used for accounts that have none of their own.
    pub fn set_default_share(&mut self, share: f64) {
        self.default_share = share;
    }

    /// Sets the share of one account's limits; `None` restores the default.
    pub fn set_share(&mut self, account: ClientAccountId, share: Option<f64>) {
        match share {
            Some(share) => self.shares.insert(account, share),
            None => self.shares.remove(&account),
        };
    }

    /// Takes a request's cost from its account's limits if it is within them.
    pub fn try_take(
        &mut self,
        now: Timestamp,
        account: &ClientAccountId,
        cost: TokenCount,
        cfg: &LimitsConfig,
    ) -> LimitVerdict {
        let share = self.shares.get(account).copied().unwrap_or(self.default_share);
        let in_use = self.in_use.get(account).copied().unwrap_or(0);
        let max_in_use = (cfg.concurrent_tokens as f64 * share) as u64;
        if cfg.concurrent_tokens > 0 && in_use > 0 && in_use + cost.0 > max_in_use {
            return LimitVerdict::Over(Duration::from_secs(1));
        }
        if cfg.tokens_per_s > 0 && !self.take_rate(now, account, cost, cfg, share) {
            let bucket = self.buckets.get_mut(account);
            let wait = bucket.map_or(Duration::ZERO, |b| b.time_until(now, cost));
            return LimitVerdict::Over(wait);
        }
        *self.in_use.entry(account.clone()).or_default() += cost.0;
        LimitVerdict::Within
    }

    /// Releases the concurrency used by a request that has ended.
    pub fn release(&mut self, account: &ClientAccountId, cost: TokenCount) {
        let Some(in_use) = self.in_use.get_mut(account) else { return };
        *in_use = in_use.saturating_sub(cost.0);
        if *in_use == 0 {
            self.in_use.remove(account);
        }
    }

    fn take_rate(
        &mut self,
        now: Timestamp,
        account: &ClientAccountId,
        cost: TokenCount,
        cfg: &LimitsConfig,
        share: f64,
    ) -> bool {
        let rate = cfg.tokens_per_s as f64 * share;
        let burst = rate * cfg.burst_s as f64;
        let new_bucket =
            || TokenBucket::new(now, TokensPerSecond(rate as u64), TokenCount(burst as u64));
        let bucket = self.buckets.entry(account.clone()).or_insert_with(new_bucket);
        bucket.reconfigure(now, rate, burst);
        bucket.try_take(now, cost)
    }
}
