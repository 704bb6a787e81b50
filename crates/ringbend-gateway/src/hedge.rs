//! When a request whose first event is overdue is begun on a second engine as well.

use std::time::Duration;

use ringbend_types::Timestamp;

/// How many times the expected time passes before a second run is begun. Four in five first events come
/// earlier where engines are as fast as configured. Later, another engine could hardly be in time: aims
/// are some three times what is expected.
const OVERDUE_FACTOR: f64 = 1.6;

/// When a second run is begun of a request that was sent at `sent` and is expected to begin its answer
/// after `expected`; none if it could not be in time by then.
pub fn hedge_at(sent: Timestamp, expected: Duration, first_by: Timestamp) -> Option<Timestamp> {
    let at = sent + expected.mul_f64(OVERDUE_FACTOR);
    (at < first_by).then_some(at)
}
