//! Endpoints that have asked this instance to send them nothing for a while.
//!
//! An overloaded endpoint rejects a request and names a delay. The delay binds the instance that got the response
//! and no other, until its end: a later success does not shorten it. After it one request at a time is let
//! through until the endpoint takes one, so that requests that waited do not overload it again at once.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::time::Duration;

use ringbend_types::{EndpointId, EndpointStart, RetryAfter, Timestamp};

use crate::directory::Endpoint;

/// The most endpoints that are kept, some 100 bytes each; the one whose delay ends first gives way.
const MAX_KEPT: usize = 4_096;

/// How long the one request after a delay is waited for before another one is let through.
const PROBE_TIME: Duration = Duration::from_secs(1);

/// How long after its end a delay is forgotten if nothing was sent to the endpoint.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(30);

#[derive(Debug, Clone)]
struct Backoff {
    start: Option<EndpointStart>,
    until: Timestamp,
    /// Set while the one request after the delay is waited for.
    probed_until: Option<Timestamp>,
}

impl Backoff {
    /// How the process of `endpoint` relates to the one that asked. Unknown starts are the same process.
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

/// Whether an endpoint may be sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BackoffState {
    /// It may.
    Open,
    /// Its delay is over, and the one request after it has no response yet: others go elsewhere if they can.
    Probed,
    /// It may not until then.
    Closed(Timestamp),
}

/// The delays that endpoints asked of this instance.
#[derive(Debug, Clone, Default)]
pub struct Backoffs {
    entries: HashMap<EndpointId, Backoff>,
}

impl Backoffs {
    /// Notes a delay that begins now. Returns whether it ends later than what was known.
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
        if self.entries.len() >= MAX_KEPT {
            let first = self.entries.iter().min_by_key(|(_, backoff)| backoff.until);
            if let Some(first) = first.map(|(id, _)| id.clone()) {
                self.entries.remove(&first);
            }
        }
        let backoff = Backoff { start: endpoint.start, until, probed_until: None };
        self.entries.insert(endpoint.id.clone(), backoff);
        true
    }

    /// Notes that the endpoint took a request that was sent at `sent`. Returns whether it takes requests as before by
    /// that.
    pub fn taken(&mut self, sent: Timestamp, endpoint: &Endpoint) -> bool {
        let backoff = self.entries.get(&endpoint.id);
        let is_over = backoff.is_some_and(|b| sent >= b.until && b.order(endpoint).is_ge());
        if is_over {
            self.entries.remove(&endpoint.id);
        }
        is_over
    }

    /// Whether the endpoint may be sent to.
    pub fn state(&self, now: Timestamp, endpoint: &Endpoint) -> BackoffState {
        let backoff = self.entries.get(&endpoint.id).filter(|b| b.order(endpoint).is_le());
        backoff.map_or(BackoffState::Open, |backoff| backoff.state(now))
    }

    /// Notes that something is sent to an endpoint that may be sent to.
    pub fn sending(&mut self, now: Timestamp, endpoint: &Endpoint) {
        if let Some(backoff) = self.entries.get_mut(&endpoint.id) {
            backoff.probed_until = Some(now + PROBE_TIME);
        }
    }

    /// How many delays are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops delays that ended long ago.
    pub fn sweep(&mut self, now: Timestamp) {
        self.entries.retain(|_, backoff| now.since(backoff.until) < FORGOTTEN_AFTER);
    }
}
