//! Return times of rejected requests, and the slots that are kept for them.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use ringbend_types::{Fingerprint, Timestamp};

use super::config::OverloadConfig;

/// The shortest `Retry-After`: a caller that returns sooner finds the queue unchanged.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// The random part of a return time, as a share of it.
const SPREAD: f64 = 0.25;

/// The shortest return time if no slot can be promised, as a share of the longest one.
const MIN_UNPROMISED_SHARE: f64 = 0.5;

/// How much earlier than told a caller may return and still use its slot: clocks and timers of
/// callers differ by some milliseconds.
const EARLY_TOLERANCE: Duration = Duration::from_millis(20);

/// Time after its return time at which a rejected request is forgotten. Only its repetition within
/// this time counts as late.
const RETRY_MEMORY: Duration = Duration::from_secs(5);

/// A request that was told to return.
#[derive(Debug, Clone, Copy)]
struct Rejected {
    return_at: Timestamp,
    /// The number of the slot that is kept for it.
    slot: Option<u64>,
}

/// How a returning request is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Return {
    /// It was not rejected before, as far as known.
    First,
    /// A slot was kept for it.
    Promised,
    /// No slot was kept for it. Its target has passed, whatever its repetition states.
    Unpromised,
}

/// The return times for which a slot is kept.
pub(super) struct Promises {
    /// The share of the starts that may be promised.
    share: f64,
    /// How long after the return time a slot is kept.
    margin: Duration,
    /// Return times, with the number of the slot.
    due: BTreeSet<(Timestamp, u64)>,
    rejected: HashMap<Fingerprint, Rejected>,
    forget_at: BTreeSet<(Timestamp, Fingerprint)>,
    count: u64,
    /// The slot that was promised last, before its random part.
    last: Timestamp,
}

impl Promises {
    pub(super) fn new(cfg: &OverloadConfig) -> Self {
        Self {
            share: cfg.retry_share,
            margin: cfg.retry_margin,
            due: BTreeSet::new(),
            rejected: HashMap::new(),
            forget_at: BTreeSet::new(),
            count: 0,
            last: Timestamp::default(),
        }
    }

    /// Drops slots whose requests have not returned in time.
    pub(super) fn expire(&mut self, now: Timestamp) {
        while self.due.first().is_some_and(|(at, _)| *at + self.margin < now) {
            self.due.pop_first();
        }
        while let Some((_, fingerprint)) = self.forget_at.first().copied().filter(|f| f.0 < now) {
            self.forget(fingerprint);
        }
    }

    /// The number of slots that are kept until `until`.
    pub(super) fn count_until(&self, until: Timestamp) -> usize {
        self.due.range(..=(until, u64::MAX)).count()
    }

    /// Records that a request arrives, and releases the slot that was kept for it.
    pub(super) fn record_return(&mut self, now: Timestamp, request: Option<Fingerprint>) -> Return {
        let Some(rejected) = request.and_then(|fingerprint| self.forget(fingerprint)) else {
            return Return::First;
        };
        let was_kept =
            rejected.slot.is_some_and(|slot| self.due.remove(&(rejected.return_at, slot)));
        let is_early = now + EARLY_TOLERANCE < rejected.return_at;
        if was_kept && !is_early { Return::Promised } else { Return::Unpromised }
    }

    /// The time after which a rejected request should return. `drain` is the time in which the
    /// queue empties, `rate` the number of starts per second and `jitter` between zero and one.
    /// Beyond `limit` no slot is kept, and the return times are spread over half of it.
    pub(super) fn promise(
        &mut self,
        now: Timestamp,
        request: Option<Fingerprint>,
        drain: Duration,
        rate: f64,
        limit: Duration,
        jitter: f64,
    ) -> Duration {
        let step = Duration::from_secs_f64(1.0 / (rate * self.share));
        let at = (now + drain.max(MIN_RETRY_AFTER)).max(self.last + step);
        let promised = at.since(now).mul_f64(1.0 + SPREAD * jitter);
        let (after, slot) = if promised > limit {
            (limit.mul_f64(MIN_UNPROMISED_SHARE + (1.0 - MIN_UNPROMISED_SHARE) * jitter), None)
        } else {
            (self.last, self.count) = (at, self.count + 1);
            self.due.insert((now + promised, self.count));
            (promised, Some(self.count))
        };
        if let Some(fingerprint) = request {
            self.forget(fingerprint);
            let return_at = now + after;
            self.rejected.insert(fingerprint, Rejected { return_at, slot });
            self.forget_at.insert((return_at + RETRY_MEMORY, fingerprint));
        }
        after
    }

    fn forget(&mut self, fingerprint: Fingerprint) -> Option<Rejected> {
        let rejected = self.rejected.remove(&fingerprint)?;
        self.forget_at.remove(&(rejected.return_at + RETRY_MEMORY, fingerprint));
        Some(rejected)
    }
}
