//! How far endpoints are trusted, from the results of the requests they were given.

use std::collections::BTreeMap;
use std::time::Duration;

use ringbend_types::{EndpointId, Timestamp};

/// A result of one request at one endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthEvent {
    /// It answered in full.
    Good,
    /// It could not be reached, broke off, or answered nonsense.
    Bad,
    /// It was full.
    Full,
    /// Another endpoint answered at its address.
    Foreign,
}

/// How long a failure counts against an endpoint.
const BAD_TIME: Duration = Duration::from_millis(2_500);

/// The most failures that count at once.
const MOST_BAD: f64 = 4.0;

/// How long a refusal for want of room counts.
const FULL_TIME: Duration = Duration::from_millis(300);

/// How long an endpoint at whose address another one answered is left spread_seed: longer than rows of
/// endpoints that have ended stand in the table.
const FOREIGN_TIME: Duration = Duration::from_secs(10);

/// What one failure costs against other endpoints, in milliseconds of waiting.
const BAD_MS: f64 = 2_000.0;

/// What a refusal costs, in milliseconds of waiting.
const FULL_MS: f64 = 500.0;

#[derive(Debug, Clone, Default)]
struct Record {
    bad: f64,
    bad_until: Timestamp,
    full_until: Timestamp,
}

/// Results by endpoint.
#[derive(Debug, Clone, Default)]
pub struct HealthTracker {
    records: BTreeMap<EndpointId, Record>,
}

impl HealthTracker {
    /// Takes in a result.
    pub fn note(&mut self, now: Timestamp, id: &EndpointId, event: HealthEvent) {
        if event == HealthEvent::Good && !self.records.contains_key(id) {
            return;
        }
        let record = self.records.entry(id.clone()).or_default();
        match event {
            HealthEvent::Good => record.bad *= 0.5,
            HealthEvent::Bad => {
                record.bad = (record.bad + 1.0).min(MOST_BAD);
                record.bad_until = now + BAD_TIME.mul_f64(record.bad);
            }
            HealthEvent::Full => record.full_until = now + FULL_TIME,
            HealthEvent::Foreign => {
                record.bad = MOST_BAD;
                record.bad_until = now + FOREIGN_TIME;
            }
        }
    }

    /// What choosing the endpoint costs for its past, in milliseconds of waiting.
    pub fn penalty_ms(&self, now: Timestamp, id: &EndpointId) -> f64 {
        let Some(record) = self.records.get(id) else { return 0.0 };
        let bad = if now < record.bad_until { record.bad * BAD_MS } else { 0.0 };
        let full = if now < record.full_until { FULL_MS } else { 0.0 };
        bad + full
    }

    /// Forgets an endpoint's past, as its process has ended.
    pub fn forget(&mut self, id: &EndpointId) {
        self.records.remove(id);
    }

    /// Forgets endpoints that are no longer registered.
    pub fn retain(&mut self, is_registered: impl Fn(&EndpointId) -> bool) {
        self.records.retain(|id, _| is_registered(id));
    }
}
