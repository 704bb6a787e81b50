//! Endpoints that this instance fails to connect to.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use ringbend_types::Timestamp;

/// The paths from this instance to endpoints on which connecting has failed, by address.
#[derive(Debug, Clone, Default)]
pub struct Reachability {
    failing: BTreeMap<SocketAddrV4, Timestamp>,
}

impl Reachability {
    /// Records that connecting failed. Returns whether it is the first failure since a success.
    pub fn record_failure(&mut self, now: Timestamp, address: SocketAddrV4) -> bool {
        let is_first = !self.failing.contains_key(&address);
        self.failing.entry(address).or_insert(now);
        is_first
    }

    /// Records that connecting succeeded. Returns for how long it had failed.
    pub fn record_success(&mut self, now: Timestamp, address: SocketAddrV4) -> Option<Duration> {
        self.failing.remove(&address).map(|since| now.since(since))
    }

    /// The number of endpoints to which connecting fails.
    pub fn failing(&self) -> usize {
        self.failing.len()
    }

    /// Drops endpoints that are no longer registered.
    pub fn retain(&mut self, is_registered: impl Fn(SocketAddrV4) -> bool) {
        self.failing.retain(|address, _| is_registered(*address));
    }
}
