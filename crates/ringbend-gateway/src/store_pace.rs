//! How long calls to the store may take, by how long its latest responses took.

use std::ops::Range;
use std::time::Duration;

use ringbend_types::Timestamp;

/// How long the store may take for a response as long as it is not known to be slow. It usually
/// responds within milliseconds.
const MIN_TIMEOUT: Duration = Duration::from_millis(1_000);

/// How long a response is waited for at most: one that takes longer proves a state that is too old
/// to be of use.
pub const MAX_STORE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The factor by which a response may take longer than the latest one.
const TIMEOUT_FACTOR: u32 = 2;

/// The store is slow if its responses take longer than this. A second call is then made before the
/// first one is answered, as the proofs of one call at a time would be too far apart.
const SLOW_FROM: Duration = Duration::from_millis(500);

/// The interval between calls to a slow store. One that is quick is called about as often.
pub const SLOW_CALL_INTERVAL: Duration = Duration::from_millis(800);

/// How long no proof may arrive from an instance that reads a slow store before a scheduler reads
/// it; drawn from this range so that not all start at once. The proofs themselves are old when they
/// arrive, so their age does not show that no instance reads.
const SILENCE_MS: Range<f64> = 1_400.0..1_700.0;

/// The same for an instance that does not schedule.
const MEMBER_SILENCE_MS: Range<f64> = 1_750.0..1_900.0;

/// How long the store's latest response took, and when other instances last proved the copies.
#[derive(Debug, Clone, Copy, Default)]
pub struct StorePace {
    latest: Duration,
    proof_received_at: Option<Timestamp>,
}

impl StorePace {
    /// Records a response that arrived `elapsed` after its call, which had the store wait up to
    /// `wait` for a change.
    pub fn record_response(&mut self, elapsed: Duration, wait: Duration) {
        // The response to a call that waits may come early, which says little about the store.
        if wait.is_zero() || elapsed > wait {
            self.latest = elapsed.saturating_sub(wait);
        }
    }

    /// Records that a proof made at `at` by another instance, later than all before, arrived at
    /// `now`.
    pub fn record_proof_elsewhere(&mut self, now: Timestamp, at: Timestamp) {
        self.latest = self.latest.min(now.since(at));
        self.proof_received_at = Some(now);
    }

    /// When an instance that has been running since `started_at` and does not read starts to read a
    /// slow store; `draw` is in `0.0..1.0`. `None` if the store is quick.
    pub fn read_due(&self, started_at: Timestamp, schedules: bool, draw: f64) -> Option<Timestamp> {
        let silence = if schedules { SILENCE_MS } else { MEMBER_SILENCE_MS };
        let silence = silence.start + draw * (silence.end - silence.start);
        let due = self.proof_received_at.unwrap_or(started_at)
            + Duration::from_secs_f64(silence / 1_000.0);
        self.is_slow().then_some(due)
    }

    /// How long the store may take for a response, beyond the wait that it was asked for, until it
    /// counts as unavailable.
    pub fn timeout(&self) -> Duration {
        (self.latest * TIMEOUT_FACTOR).clamp(MIN_TIMEOUT, MAX_STORE_TIMEOUT)
    }

    /// Whether the store is slow.
    pub fn is_slow(&self) -> bool {
        self.latest > SLOW_FROM
    }

    /// How much later than those of a quick store the proofs of a slow one arrive.
    pub fn proof_delay(&self) -> Duration {
        if self.is_slow() { self.latest + SLOW_CALL_INTERVAL } else { Duration::ZERO }
    }
}
