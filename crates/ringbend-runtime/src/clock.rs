//! The one place where clocks are read.

use std::sync::OnceLock;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use nix::time::{ClockId, clock_gettime};
use ringbend_types::Timestamp;

/// A monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    /// Reads the time since some moment that does not change while the process lives.
    read: fn() -> Duration,
    /// What that was at the start.
    start: Duration,
    /// What the clock showed at its start.
    at_start: Timestamp,
}

/// The time since the machine was started, that in which it was suspended included. Leases of others, keys
/// and reservations run out while it is, so a clock that stands still would find them in force. A machine
/// without such a clock gets the steady one.
fn time_since_boot() -> Duration {
    let boot_time = clock_gettime(ClockId::CLOCK_BOOTTIME).map(Duration::from);
    boot_time.unwrap_or_else(|_| steady_time())
}

/// The machine's steady time, since the first time that it was asked for.
fn steady_time() -> Duration {
    static FIRST: OnceLock<Instant> = OnceLock::new();
    FIRST.get_or_init(Instant::now).elapsed()
}

/// How long a wait goes on at most after a suspension in which it would have ended: timers of the runtime
/// do not count that time. Each wait looks at the clock so often.
const LOOK_AGAIN: Duration = Duration::from_millis(500);

impl Clock {
    /// A clock that starts now, at zero.
    pub fn start() -> Self {
        Self::start_at(Timestamp::default())
    }

    /// A clock that starts now and shows `at_start`, so that moments up to so long before its start
    /// can be told.
    pub fn start_at(at_start: Timestamp) -> Self {
        Self::with_source(time_since_boot, at_start)
    }

    /// A clock that goes by what `read` tells and shows `at_start` now.
    pub fn with_source(read: fn() -> Duration, at_start: Timestamp) -> Self {
        Self { read, start: read(), at_start }
    }

    /// The time now.
    pub fn now(&self) -> Timestamp {
        self.at_start + (self.read)().saturating_sub(self.start)
    }

    /// The time at the start.
    pub fn started_at(&self) -> Timestamp {
        self.at_start
    }

    /// The runtime's instant of a timestamp; now for what has passed.
    pub fn instant(&self, at: Timestamp) -> tokio::time::Instant {
        const FAR: Duration = Duration::from_secs(365 * 24 * 3600);
        tokio::time::Instant::now() + at.since(self.now()).min(FAR)
    }

    /// Waits until the clock shows `at`.
    pub async fn sleep_until(&self, at: Timestamp) {
        loop {
            let left = at.since(self.now());
            if left.is_zero() {
                return;
            }
            tokio::time::sleep(left.min(LOOK_AGAIN)).await;
        }
    }
}

/// Milliseconds since the Unix epoch, by the wall clock.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
