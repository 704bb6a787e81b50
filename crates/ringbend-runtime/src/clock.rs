//! The clocks of the process. Timestamps come from this module only.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use ringbend_types::Timestamp;

/// A monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Returns the time since an origin that stays fixed for the lifetime of the process.
    read: fn() -> Duration,
    /// The value of `read` when the clock was created.
    start: Duration,
    /// The timestamp of the clock when it was created.
    at_start: Timestamp,
}

/// The time since the machine booted, including the time it was suspended. Leases, keys and reservations
/// expire during a suspension, so a clock that stops would still consider them valid. Falls back to
/// [`monotonic_time`] on machines without such a clock.
fn time_since_boot() -> Duration {
    let boot_time = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
    boot_time.unwrap_or_else(|_| monotonic_time())
}

/// The machine's monotonic time, since the first call of this function.
fn monotonic_time() -> Duration {
    static FIRST: OnceLock<Instant> = OnceLock::new();
    FIRST.get_or_init(Instant::now).elapsed()
}

/// Longest sleep before the clock is read again. Timers of the runtime do not count the time of a
/// suspension, so this bounds how much longer a wait lasts after a suspension in which it expired.
const MAX_SLEEP: Duration = Duration::from_millis(500);

impl Clock {
    /// Creates a clock that starts at zero.
    pub fn start() -> Self {
        Self::start_at(Timestamp::default())
    }

    /// Creates a clock that starts at `at_start`, so that timestamps before its start can be represented.
    pub fn start_at(at_start: Timestamp) -> Self {
        Self::with_source(time_since_boot, at_start)
    }

    /// Creates a clock that takes its time from `read` and starts at `at_start`.
    pub fn with_source(read: fn() -> Duration, at_start: Timestamp) -> Self {
        Self { read, start: read(), at_start }
    }

    /// The current time.
    pub fn now(&self) -> Timestamp {
        self.at_start + (self.read)().saturating_sub(self.start)
    }

    /// The time at which the clock was started.
    pub fn started_at(&self) -> Timestamp {
        self.at_start
    }

    /// Converts a timestamp to an instant of the runtime. A timestamp in the past becomes the current instant.
    pub fn instant(&self, at: Timestamp) -> tokio::time::Instant {
        const MAX_DELAY: Duration = Duration::from_secs(365 * 24 * 3600);
        tokio::time::Instant::now() + at.since(self.now()).min(MAX_DELAY)
    }

    /// Waits until the clock reaches `at`.
    pub async fn sleep_until(&self, at: Timestamp) {
        loop {
            let left = at.since(self.now());
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left.min(MAX_SLEEP)).await;
        }
    }
}

/// The wall clock time, in milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
