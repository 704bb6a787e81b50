//! When a request whose first event is overdue is hedged by a run on a second engine.

use std::time::Duration;

use ringbend_types::Timestamp;

/// The multiple of the expected time after which a hedged run starts. Four in five first events
/// arrive earlier if engines are as fast as configured. Later, another engine could hardly be in
/// time: target latencies are about three times the expected time.
const HEDGE_FACTOR: f64 = 1.6;

/// The time at which to start a hedged run of a request that was sent at `sent` and whose first
/// event is expected after `expected`; `None` if a hedged run could not be in time by then.
pub fn hedge_at(sent: Timestamp, expected: Duration, first_by: Timestamp) -> Option<Timestamp> {
    let at = sent + expected.mul_f64(HEDGE_FACTOR);
    (at < first_by).then_some(at)
}
