//! Detection of a standing delay, with hysteresis.

use std::time::Duration;

use ringbend_types::Timestamp;

/// Whether requests are delayed for longer than a short burst causes.
pub(super) struct StandingDelay {
    enter_after: Duration,
    leave_after: Duration,
    /// Since when requests wait without interruption.
    waiting_since: Option<Timestamp>,
    /// Since when no request waits and none was placed late.
    calm_since: Option<Timestamp>,
    is_overloaded: bool,
}

impl StandingDelay {
    pub(super) fn new(enter_after: Duration, leave_after: Duration) -> Self {
        let (waiting_since, calm_since) = (None, None);
        Self { enter_after, leave_after, waiting_since, calm_since, is_overloaded: false }
    }

    /// Records whether requests wait now.
    pub(super) fn observe(&mut self, now: Timestamp, is_waiting: bool) {
        if is_waiting {
            self.calm_since = None;
            let since = *self.waiting_since.get_or_insert(now);
            self.is_overloaded |= now.since(since) >= self.enter_after;
        } else {
            self.waiting_since = None;
            let since = *self.calm_since.get_or_insert(now);
            self.is_overloaded &= now.since(since) < self.leave_after;
        }
    }

    /// Records that a request was placed too late to be on time.
    pub(super) fn record_late(&mut self, now: Timestamp) {
        if let Some(since) = &mut self.calm_since {
            *since = now;
        }
    }

    pub(super) fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }
}
