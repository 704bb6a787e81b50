//! How long an instance rests between calls to a store that it does not reach.

use std::time::Duration;

/// The longest pause after a first failed call. It doubles with each further one; the pause is drawn
/// between a third of it and the whole, so that instances that lost the store together do not return
/// together.
const FIRST_PAUSE: Duration = Duration::from_millis(400);

/// The longest pause of an instance that knows of few others: callers come back to an instance that
/// has contact for three seconds.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_200);

/// A lost store is asked about as often as by so many instances that know of no other, however many
/// there are.
const ASKING_INSTANCES: f64 = 8.0;

/// How long a watch of a further table leaves a lost store to the first one, at most: it must hear
/// within that time of what others know, whatever it missed.
pub const MAX_SECONDARY_BACKOFF: Duration = Duration::from_secs(3);

/// The least share of a pause that is waited.
const LEAST_SHARE: f64 = 0.33;

/// How much longer than alone an instance waits between calls to a lost store: one that reaches it
/// again tells all others.
pub fn fleet_backoff_factor(instances: usize) -> f64 {
    (instances as f64 / ASKING_INSTANCES).max(1.0)
}

/// The pauses of one watch.
#[derive(Debug, Clone, Copy, Default)]
pub struct StoreBackoff {
    failures: u32,
}

impl StoreBackoff {
    /// Notes that a call was answered.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// The pause after a call that failed, where so many instances are known; `draw` lies in
    /// `0.0..1.0`. The watch that notices first that the store is back for all others, the sentinel,
    /// asks the less often the more there are; any other is bounded.
    pub fn next_delay(&mut self, instances: usize, is_sentinel: bool, draw: f64) -> Duration {
        let longest = (FIRST_PAUSE * 2u32.saturating_pow(self.failures)).min(LONGEST_PAUSE);
        self.failures += 1;
        let share = LEAST_SHARE + draw * (1.0 - LEAST_SHARE);
        let pause = longest.mul_f64(share * fleet_backoff_factor(instances));
        if is_sentinel { pause } else { pause.min(MAX_SECONDARY_BACKOFF) }
    }
}
