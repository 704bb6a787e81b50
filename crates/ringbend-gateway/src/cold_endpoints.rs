//! Endpoints that are cold, and until when.

use std::collections::HashMap;
use std::time::Duration;

use ringbend_types::{EndpointId, Timestamp};

/// The endpoints that are cold. Most of the time there is none.
#[derive(Debug, Clone, Default)]
pub(crate) struct ColdEndpoints {
    until: HashMap<EndpointId, Timestamp>,
}

impl ColdEndpoints {
    /// Records that an endpoint is cold until this time at least: rows may be read late, so one that
    /// says less does not shorten the time.
    pub(crate) fn note(&mut self, now: Timestamp, endpoint: &EndpointId, until: Timestamp) {
        if until > now {
            let known = self.until.entry(endpoint.clone()).or_insert(until);
            *known = until.max(*known);
        }
    }

    /// Drops endpoints that are no longer cold.
    pub(crate) fn sweep(&mut self, now: Timestamp) {
        self.until.retain(|_, until| *until > now);
    }

    /// Whether there is none; endpoints that ceased to be cold count until they are swept.
    pub(crate) fn is_empty(&self) -> bool {
        self.until.is_empty()
    }

    /// Drops what is known of an endpoint.
    pub(crate) fn forget(&mut self, endpoint: &EndpointId) {
        self.until.remove(endpoint);
    }

    /// How much longer an endpoint is cold; zero if it is not.
    pub(crate) fn left(&self, now: Timestamp, endpoint: &EndpointId) -> Duration {
        self.until.get(endpoint).map_or(Duration::ZERO, |until| until.since(now))
    }

    /// The number of endpoints that are cold.
    pub(crate) fn count(&self, now: Timestamp) -> usize {
        self.until.values().filter(|until| **until > now).count()
    }
}
