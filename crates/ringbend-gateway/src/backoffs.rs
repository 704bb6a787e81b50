//! Endpoints that have asked this instance to back off.
//!
//! An overloaded endpoint rejects a request and names a delay. The delay binds only the instance
//! that received the response, and applies to its end: a later success does not shorten it. After
//! the delay one request at a time is sent until the endpoint accepts one, so that the requests
//! that waited do not overload it again at once.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::Duration;

use ringbend_types::{EndpointId, EndpointStart, RetryAfter, Timestamp};

use crate::directory::Endpoint;

/// The maximum number of tracked endpoints, about 100 bytes each. The one whose delay ends first is
/// evicted.
const MAX_ENTRIES: usize = 4_096;

/// How long to wait for the response to the probe request that follows a delay before sending
/// another one.
const PROBE_TIME: Duration = Duration::from_secs(1);

/// How long a delay is remembered after its end if nothing is sent to the endpoint.
const RETENTION: Duration = Duration::from_secs(30);

#[derive(Debug, Clone)]
struct Backoff {
    start: Option<EndpointStart>,
    until: Timestamp,
    /// Set while the response to the probe request is pending.
    probed_until: Option<Timestamp>,
}

impl Backoff {
    /// Compares the process of `endpoint` with the one that requested the delay. Processes with an
    /// unknown start time compare as equal.
    fn order(&self, endpoint: &Endpoint) -> Ordering {
        endpoint.start.zip(self.start).map_or(Ordering::Equal, |(start, known)| start.cmp(&known))
    }

    fn state(&self, now: Timestamp) -> BackoffState {
        match self.probed_until {
            _ if now < self.until => BackoffState::Closed(self.until),
            Some(until) if now < until => BackoffState::Probed,
            _ => BackoffState::Open,
        }
    }
}

/// Whether requests may be sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackoffState {
    /// Requests may be sent.
    Open,
    /// The delay has ended and a probe request is pending. Other requests use other endpoints if
    /// they can.
    Probed,
    /// No request may be sent before this time.
    Closed(Timestamp),
}

/// The delays that endpoints requested from this instance.
#[derive(Debug, Clone, Default)]
pub struct Backoffs {
    entries: HashMap<EndpointId, Backoff>,
}

impl Backoffs {
    /// Records a delay that starts now. Returns whether it ends later than the known one.
    pub fn begin(&mut self, now: Timestamp, endpoint: &Endpoint, delay: RetryAfter) -> bool {
        let until = now + delay.delay();
        if let Some(known) = self.entries.get_mut(&endpoint.id) {
            match known.order(endpoint) {
                Ordering::Less => return false,
                Ordering::Equal => {
                    let is_later = until > known.until;
                    known.until = known.until.max(until);
                    known.probed_until = None;
                    return is_later;
                }
                Ordering::Greater => {}
            }
        }
        if until <= now {
            return false;
        }
        if self.entries.len() >= MAX_ENTRIES {
            let first = self.entries.iter().min_by_key(|(_, backoff)| backoff.until);
            if let Some(first) = first.map(|(id, _)| id.clone()) {
                self.entries.remove(&first);
            }
        }
        let backoff = Backoff { start: endpoint.start, until, probed_until: None };
        self.entries.insert(endpoint.id.clone(), backoff);
        true
    }

    /// Records that the endpoint accepted a request that was sent at `sent`. Returns whether this
    /// ends the backoff.
    pub fn record_accepted(&mut self, sent: Timestamp, endpoint: &Endpoint) -> bool {
        let backoff = self.entries.get(&endpoint.id);
        let is_over = backoff.is_some_and(|b| sent >= b.until && b.order(endpoint).is_ge());
        if is_over {
            self.entries.remove(&endpoint.id);
        }
        is_over
    }

    /// Whether requests may be sent to the endpoint.
    pub fn state(&self, now: Timestamp, endpoint: &Endpoint) -> BackoffState {
        let backoff = self.entries.get(&endpoint.id).filter(|b| b.order(endpoint).is_le());
        backoff.map_or(BackoffState::Open, |backoff| backoff.state(now))
    }

    /// Records that a request is sent to an endpoint whose state permits it. The first one after a
    /// delay is the probe request.
    pub fn record_sent(&mut self, now: Timestamp, endpoint: &Endpoint) {
        if let Some(backoff) = self.entries.get_mut(&endpoint.id) {
            backoff.probed_until = Some(now + PROBE_TIME);
        }
    }

    /// The number of tracked delays.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no delay is tracked.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops delays that ended long ago.
    pub fn sweep(&mut self, now: Timestamp) {
        self.entries.retain(|_, backoff| now.since(backoff.until) < RETENTION);
    }
}
