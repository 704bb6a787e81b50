//! Health of endpoints, from the results of the requests they were sent.

use std::collections::BTreeMap;
use std::time::Duration;

use ringbend_types::{EndpointId, Timestamp};

/// The result of one request at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthEvent {
    /// It responded completely.
    Good,
    /// It could not be reached, broke off or sent an invalid response.
    Bad,
    /// It rejected the request because it was full.
    Full,
    /// Another endpoint responded at its address.
    Foreign,
}

/// How long a failure counts against an endpoint, multiplied by the number of recent failures.
const FAILURE_TIME: Duration = Duration::from_millis(2_500);

/// The maximum number of failures that count at once.
const MAX_FAILURES: f64 = 4.0;

/// How long a rejection by a full endpoint counts.
const FULL_TIME: Duration = Duration::from_millis(300);

/// How long an endpoint is avoided after another one responded at its address: longer than rows of
/// ended endpoints remain in the table.
const FOREIGN_TIME: Duration = Duration::from_secs(10);

/// The cost of one failure, in milliseconds of waiting.
const FAILURE_PENALTY_MS: f64 = 2_000.0;

/// The cost of a rejection, in milliseconds of waiting.
const FULL_PENALTY_MS: f64 = 500.0;

#[derive(Debug, Clone, Default)]
struct Record {
    failures: f64,
    failing_until: Timestamp,
    full_until: Timestamp,
}

/// The recent results of each endpoint.
#[derive(Debug, Clone, Default)]
pub struct HealthTracker {
    records: BTreeMap<EndpointId, Record>,
}

impl HealthTracker {
    /// Records a result.
    pub fn note(&mut self, now: Timestamp, id: &EndpointId, event: HealthEvent) {
        if event == HealthEvent::Good && !self.records.contains_key(id) {
            return;
        }
        let record = self.records.entry(id.clone()).or_default();
        match event {
            HealthEvent::Good => record.failures *= 0.5,
            HealthEvent::Bad => {
                record.failures = (record.failures + 1.0).min(MAX_FAILURES);
                record.failing_until = now + FAILURE_TIME.mul_f64(record.failures);
            }
            HealthEvent::Full => record.full_until = now + FULL_TIME,
            HealthEvent::Foreign => {
                record.failures = MAX_FAILURES;
                record.failing_until = now + FOREIGN_TIME;
            }
        }
    }

    /// The cost of choosing the endpoint because of its recent results, in milliseconds of waiting.
    pub fn penalty_ms(&self, now: Timestamp, id: &EndpointId) -> f64 {
        let Some(record) = self.records.get(id) else { return 0.0 };
        let failures =
            if now < record.failing_until { record.failures * FAILURE_PENALTY_MS } else { 0.0 };
        let full = if now < record.full_until { FULL_PENALTY_MS } else { 0.0 };
        failures + full
    }

    /// Drops the results of an endpoint whose process has ended.
    pub fn forget(&mut self, id: &EndpointId) {
        self.records.remove(id);
    }

    /// Drops endpoints that are no longer registered.
    pub fn retain(&mut self, is_registered: impl Fn(&EndpointId) -> bool) {
        self.records.retain(|id, _| is_registered(id));
    }
}
