//! Backoff between calls to a store that cannot be reached.

use std::time::Duration;

/// The maximum delay after a first failed call. It doubles with each further failure. The delay is
/// drawn between a third of the maximum and the maximum, so that instances that lost the store
/// together do not return together.
const FIRST_DELAY: Duration = Duration::from_millis(400);

/// The maximum delay of an instance that knows of few others: callers retry for three seconds at an
/// instance that is reachable.
const MAX_DELAY: Duration = Duration::from_millis(1_200);

/// The fleet together polls an unreachable store as often as this many isolated instances would,
/// whatever its size.
const POLLING_INSTANCES: f64 = 8.0;

/// The maximum delay of a watch that leaves polling of an unreachable store to another one, the
/// sentinel. After that time at the latest it must receive what other instances know, whatever
/// messages it missed.
pub const MAX_SECONDARY_BACKOFF: Duration = Duration::from_secs(3);

/// The lower bound of the delay, as a share of the maximum.
const MIN_DELAY_SHARE: f64 = 0.33;

/// The factor by which an instance in a fleet of this size polls an unreachable store less often
/// than an isolated one. An instance that reaches the store again tells all others.
pub fn fleet_backoff_factor(instances: usize) -> f64 {
    (instances as f64 / POLLING_INSTANCES).max(1.0)
}

/// The backoff state of one watch.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreBackoff {
    failures: u32,
}

impl StoreBackoff {
    /// Resets the backoff after a successful call.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// The delay after a failed call with this many known instances; `draw` is in `0.0..1.0`. The
    /// sentinel, the watch that detects for all others that the store is back, polls less often the
    /// more instances there are; the delay of any other watch is bounded.
    pub fn next_delay(&mut self, instances: usize, is_sentinel: bool, draw: f64) -> Duration {
        let max_delay = (FIRST_DELAY * 2u32.saturating_pow(self.failures)).min(MAX_DELAY);
        self.failures += 1;
        let share = MIN_DELAY_SHARE + draw * (1.0 - MIN_DELAY_SHARE);
        let delay = max_delay.mul_f64(share * fleet_backoff_factor(instances));
        if is_sentinel { delay } else { delay.min(MAX_SECONDARY_BACKOFF) }
    }
}
