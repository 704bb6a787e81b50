//! This instance's part of each client account's limits.

use std::collections::BTreeMap;
use std::time::Duration;

use ringbend_settings::configs::LimitsConfig;
use ringbend_types::{ClientAccountId, Timestamp, TokenCount, TokensPerSecond};

use crate::bucket::TokenBucket;

/// Whether a request is within its account's limits here.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitVerdict {
    /// It is, and its cost has been taken.
    Within,
    /// It is not; the bucket here will hold its cost after this time.
    Over(Duration),
}

/// The buckets of one instance: the account's rate times this instance's share of it.
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
    /// The share of accounts that no owner has given one for.
    pub fn set_default_share(&mut self, share: f64) {
        self.default_share = share;
    }

    /// The share of one account's limits; `None` returns to the default.
    pub fn set_share(&mut self, account: ClientAccountId, share: Option<f64>) {
        match share {
            Some(share) => self.shares.insert(account, share),
            None => self.shares.remove(&account),
        };
    }

    /// Takes a request's cost out of its account's limits, when they hold it.
    pub fn try_take(
        &mut self,
        now: Timestamp,
        account: &ClientAccountId,
        cost: TokenCount,
        cfg: &LimitsConfig,
    ) -> LimitVerdict {
        let share = self.shares.get(account).copied().unwrap_or(self.default_share);
        let in_use = self.in_use.get(account).copied().unwrap_or(0);
        let most = (cfg.concurrent_tokens as f64 * share) as u64;
        if cfg.concurrent_tokens > 0 && in_use > 0 && in_use + cost.0 > most {
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

    /// A request that was within the limits has ended.
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
        let new = || TokenBucket::new(now, TokensPerSecond(rate as u64), TokenCount(burst as u64));
        let bucket = self.buckets.entry(account.clone()).or_insert_with(new);
        bucket.reconfigure(now, rate, burst);
        bucket.try_take(now, cost)
    }
}
