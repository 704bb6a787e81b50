//! Recent use of scarce capacity by each client account.
//!
//! A queue that always serves the waiting account with the least recent use shares capacity max-min
//! fairly: an account that asks for less than its share is served in full, and what it leaves is
//! divided evenly among the others. Requests without a client account form one account.
//!
//! Use decays by forward decay: a charge is multiplied by a weight that grows with its time, and the
//! sums are compared as they are. Two sums therefore keep their order while neither is charged, and
//! a charge that arrives late counts as it would have in time.

use std::collections::HashMap;
use std::time::Duration;

use ringbend_types::{ClientAccountId, Timestamp};
use smallvec::SmallVec;

/// The time after which use counts half.
///
/// It covers the time for which a served request occupies its slot (1 to 2 s) and for which the
/// caller of a short prompt waits at most for a first event (2 s). With a longer one, an account
/// that returns after a pause would take precedence for longer than others can wait: among `n`
/// accounts that use all capacity evenly, it is served alone for up to `HALF_LIFE / ln 2 / n`.
const HALF_LIFE: Duration = Duration::from_secs(2);

/// The number of half-lives for which use is kept after the last charge. Less than a thousandth of
/// it is left then.
const KEPT_HALF_LIVES: u32 = 10;

/// How long use is kept after the last charge.
const RETENTION: Duration = Duration::from_secs(HALF_LIFE.as_secs() * KEPT_HALF_LIVES as u64);

/// Use of one account, scaled to the epoch of its `AccountShares`.
#[derive(Debug, Clone, Copy, Default)]
struct Usage {
    scaled: f64,
    /// The time of the latest charge.
    charged: Timestamp,
}

impl Usage {
    fn charge(&mut self, now: Timestamp, scaled: f64) {
        self.scaled += scaled;
        self.charged = self.charged.max(now);
    }

    fn is_kept(&self, now: Timestamp) -> bool {
        self.scaled > 0.0 && now.since(self.charged) < RETENTION
    }

    /// The scaled use at `now`, zero if it is no longer kept.
    fn at(&self, now: Timestamp) -> f64 {
        if self.is_kept(now) { self.scaled } else { 0.0 }
    }
}

/// Recent use by client account. Memory is bounded by the accounts that were charged within the
/// last 40 s, twice the retention time.
#[derive(Debug, Clone, Default)]
pub struct AccountShares {
    /// The time to which use is scaled; set by the first charge.
    epoch: Option<Timestamp>,
    accounts: HashMap<ClientAccountId, Usage>,
    /// Use by requests without a client account.
    anonymous: Usage,
}

impl AccountShares {
    /// Charges a request that is served now. `cost` is in any unit that is used throughout, such as
    /// the expected time on an engine. Costs that are not positive and finite are ignored.
    ///
    /// Only served requests are charged: an account whose requests are rejected has used nothing,
    /// and gains nothing by repeating them, because its place depends on use alone.
    pub fn charge(&mut self, now: Timestamp, account: Option<&ClientAccountId>, cost: f64) {
        if !cost.is_finite() || cost <= 0.0 {
            return;
        }
        let epoch = self.advance_epoch(now);
        let scaled = cost * growth(epoch, now);
        match account {
            None => self.anonymous.charge(now, scaled),
            Some(id) => match self.accounts.get_mut(id) {
                Some(usage) => usage.charge(now, scaled),
                None => {
                    self.accounts.insert(id.clone(), Usage { scaled, charged: now });
                }
            },
        }
    }

    /// The recent use of an account, in the unit of the charges.
    pub fn usage(&self, now: Timestamp, account: Option<&ClientAccountId>) -> f64 {
        self.epoch.map_or(0.0, |epoch| self.scaled(now, account) / growth(epoch, now))
    }

    /// Sorts accounts by recent use, the least first, and removes duplicates. Accounts without use
    /// come first. Equal ones are sorted by id, requests without an account before others.
    pub fn order<'a>(
        &self,
        now: Timestamp,
        accounts: impl IntoIterator<Item = Option<&'a ClientAccountId>>,
    ) -> SmallVec<[Option<&'a ClientAccountId>; 8]> {
        let mut sorted: SmallVec<[_; 8]> =
            accounts.into_iter().map(|account| (self.scaled(now, account), account)).collect();
        sorted.sort_unstable_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        sorted.dedup_by_key(|(_, account)| *account);
        sorted.into_iter().map(|(_, account)| account).collect()
    }

    /// The account to serve next: the first one of their `order`.
    pub fn least_used<'a>(
        &self,
        now: Timestamp,
        accounts: impl IntoIterator<Item = Option<&'a ClientAccountId>>,
    ) -> Option<Option<&'a ClientAccountId>> {
        let scaled = accounts.into_iter().map(|account| (self.scaled(now, account), account));
        let least = scaled.min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        least.map(|(_, account)| account)
    }

    /// The number of client accounts whose use is stored.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no use by client accounts is stored.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    fn scaled(&self, now: Timestamp, account: Option<&ClientAccountId>) -> f64 {
        match account {
            None => self.anonymous.at(now),
            Some(id) => self.accounts.get(id).map_or(0.0, |usage| usage.at(now)),
        }
    }

    /// Moves the epoch by whole retention times, so that scaled use stays within the range of its
    /// type, and drops accounts without recent use. The factor is a power of two, so sums keep
    /// their order.
    fn advance_epoch(&mut self, now: Timestamp) -> Timestamp {
        let epoch = *self.epoch.get_or_insert(now);
        let steps = now.since(epoch).as_micros() / RETENTION.as_micros();
        let steps = u32::try_from(steps).unwrap_or(u32::MAX);
        if steps == 0 {
            return epoch;
        }
        let moved = epoch + RETENTION.saturating_mul(steps);
        let factor = growth(epoch, moved).recip();
        self.epoch = Some(moved);
        self.anonymous.scaled = self.anonymous.at(now) * factor;
        self.accounts.retain(|_, usage| {
            usage.scaled *= factor;
            usage.is_kept(now)
        });
        moved
    }
}

/// The weight of a charge at `at`, relative to one at `epoch`.
fn growth(epoch: Timestamp, at: Timestamp) -> f64 {
    let half_lives = |duration: Duration| duration.as_secs_f64() / HALF_LIFE.as_secs_f64();
    (half_lives(at.since(epoch)) - half_lives(epoch.since(at))).exp2()
}
