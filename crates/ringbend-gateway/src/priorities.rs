//! The priorities in use at a service, and ranks relative to the most urgent of them.
//!
//! Decisions compare ranks instead of priorities. Where all requests of a service have the same
//! priority, all have the same rank and decisions do not depend on it. An instance that does not
//! know the configuration takes every request for one of the highest rank.

use std::fmt;
use std::time::Duration;

/// The share of a request's waiting time after which it has the highest rank, and after which a
/// long prompt precedes all others, however late it is.
pub(crate) const AGED_SHARE: f64 = 0.6;

/// The lowest rank. Lower ones would make a request's lateness cost next to nothing.
const MAX_RANK: u8 = 3;

/// The share of a request's stake that remains at each further rank.
///
/// Callers with three priorities lose 1, 1.1 and 2.8 (in units of the first) if a prompt of 5,000,
/// 45,000 or 190,000 tokens is late, while stakes grow with the prompt length as 1, 5.2 and 15.3.
/// With this share they are 1, 3.1 and 5.5. A share of 0.4 (1, 2.1 and 2.4) is closer to the losses,
/// but at loads of 1.0 to 1.4 of `tests/priority_strictness.rs` cost the least urgent kind 0.13 to
/// 0.18 of its value more and gained the others 0.02 at most.
const STAKE_SHARE_PER_RANK: f64 = 0.6;

/// The share of the retry budget up to which each further rank may use it.
const BUDGET_SHARE_PER_RANK: f64 = 0.75;

/// The position of a request's priority among those in use at its service; zero is the most urgent.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank(u8);

impl Rank {
    /// The highest rank. Also that of all requests if their priorities are equal or unknown.
    pub const MOST_URGENT: Self = Self(0);

    /// The rank of a request that has waited for `waited` of the `available` time. It rises in even
    /// steps and is the highest from `AGED_SHARE` on, so the least urgent do not starve.
    pub fn aged(self, waited: Duration, available: Duration) -> Self {
        let full = available.mul_f64(AGED_SHARE);
        if waited >= full {
            return Self::MOST_URGENT;
        }
        let left = 1.0 - waited.as_secs_f64() / full.as_secs_f64();
        Self((f64::from(self.0) * left).ceil() as u8)
    }

    /// The factor of the stake of a request with this rank.
    pub fn stake_factor(self) -> f64 {
        STAKE_SHARE_PER_RANK.powi(self.0.into())
    }

    /// The share of the retry budget up to which requests of this rank may use it. The rest is kept
    /// for more urgent ones.
    pub(crate) fn budget_share(self) -> f64 {
        BUDGET_SHARE_PER_RANK.powi(self.0.into())
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// The set of priorities that requests of one service have.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Priorities {
    /// One bit for each priority.
    used: [u64; 4],
}

impl Priorities {
    /// The most urgent priority in use.
    pub fn most_urgent(&self) -> Option<u8> {
        self.iter().next()
    }

    /// The number of priorities in use.
    pub fn count(&self) -> usize {
        self.used.iter().map(|bits| bits.count_ones() as usize).sum()
    }

    /// Whether this priority is in use.
    pub fn contains(&self, priority: u8) -> bool {
        let (word, bit) = position(priority);
        self.used[word] & bit != 0
    }

    /// The rank of a request with this priority. A priority that is not in use, as of a request
    /// that was admitted with another configuration, ranks by those in use that precede it.
    pub fn rank(&self, priority: u8) -> Rank {
        if self.count() <= 1 {
            return Rank::MOST_URGENT;
        }
        let (word, bit) = position(priority);
        let before = self.used[..word].iter().map(|bits| bits.count_ones()).sum::<u32>()
            + (self.used[word] & (bit - 1)).count_ones();
        Rank(u8::try_from(before).map_or(MAX_RANK, |before| before.min(MAX_RANK)))
    }

    /// The priorities in use, the most urgent first.
    pub fn iter(&self) -> impl Iterator<Item = u8> + '_ {
        (0..=u8::MAX).filter(|priority| self.contains(*priority))
    }

    fn insert(&mut self, priority: u8) {
        let (word, bit) = position(priority);
        self.used[word] |= bit;
    }
}

impl Extend<u8> for Priorities {
    fn extend<T: IntoIterator<Item = u8>>(&mut self, priorities: T) {
        priorities.into_iter().for_each(|priority| self.insert(priority));
    }
}

impl FromIterator<u8> for Priorities {
    fn from_iter<T: IntoIterator<Item = u8>>(priorities: T) -> Self {
        let mut set = Self::default();
        set.extend(priorities);
        set
    }
}

/// The word and the bit of a priority.
fn position(priority: u8) -> (usize, u64) {
    (usize::from(priority / 64), 1 << (priority % 64))
}
