//! The one place where clocks are read.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ringbend_types::Timestamp;

/// A monotonic clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
    /// What it showed at its start.
    at_start: Timestamp,
}

impl Clock {
    /// A clock that starts now, at zero.
    pub fn start() -> Self {
        Self::start_at(Timestamp::default())
    }

    /// A clock that starts now and shows `at_start`, so that moments up to so long before its start
    /// can be told.
    pub fn start_at(at_start: Timestamp) -> Self {
        Self { start: Instant::now(), at_start }
    }

    /// The time now.
    pub fn now(&self) -> Timestamp {
        self.at_start + self.start.elapsed()
    }

    /// The time at the start.
    pub fn started_at(&self) -> Timestamp {
        self.at_start
    }

    /// The runtime's instant of a timestamp; that of the start for what lies before it.
    pub fn instant(&self, at: Timestamp) -> tokio::time::Instant {
        const FAR: Duration = Duration::from_secs(365 * 24 * 3600);
        let offset = at.since(self.at_start).min(FAR);
        tokio::time::Instant::from_std(self.start + offset)
    }
}

/// Milliseconds since the Unix epoch, by the wall clock.
pub fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
