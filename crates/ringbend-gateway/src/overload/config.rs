//! Parameters of overload control.

use std::time::Duration;

use ringbend_types::Timestamp;

use super::requests::WaitingRequest;

/// Parameters of overload control. The defaults derive from targets of 250 to 300 ms and callers
/// that disconnect after 2 s.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OverloadConfig {
    /// After each such share of its caller's waiting time, a request counts as one class more
    /// urgent.
    pub aging_share: f64,
    /// The share of its slack within which a request must be expected to start to count as on time.
    /// The rest covers errors of the estimate.
    pub on_time_share: f64,
    /// The smallest share of the starts that a class with waiting requests receives.
    pub min_class_share: f64,
    /// Requests must have waited without interruption for this long before the service counts as
    /// overloaded: a third of the shortest target.
    pub enter_after: Duration,
    /// The queue must have been empty, and placements on time, for this long before the service no
    /// longer counts as overloaded.
    pub leave_after: Duration,
    /// The window in which the rates of arrivals and starts are measured.
    pub rate_window: Duration,
    /// The largest `Retry-After`, as a share of the caller's remaining time. Callers honour at most
    /// a third.
    pub retry_limit_share: f64,
    /// The share of the starts that is kept for requests that were told to retry.
    pub retry_share: f64,
    /// How long after its return time a slot is kept for a request that was told to retry.
    pub retry_margin: Duration,
}

impl Default for OverloadConfig {
    fn default() -> Self {
        Self {
            aging_share: 0.4,
            on_time_share: 0.8,
            min_class_share: 0.05,
            enter_after: Duration::from_millis(100),
            leave_after: Duration::from_secs(1),
            rate_window: Duration::from_millis(700),
            retry_limit_share: 1.0 / 3.0,
            retry_share: 0.1,
            retry_margin: Duration::from_millis(100),
        }
    }
}

impl OverloadConfig {
    /// When a request counts as one class more urgent.
    pub(super) fn aging_times(
        &self,
        request: &WaitingRequest,
    ) -> impl Iterator<Item = Timestamp> + use<> {
        let WaitingRequest { since, until, .. } = *request;
        let step = until.since(since).mul_f64(self.aging_share).max(Duration::from_millis(1));
        let steps = (1.0 / self.aging_share).ceil() as u32;
        (1..steps.max(1)).map(move |number| since + step * number).take_while(move |at| *at < until)
    }
}
