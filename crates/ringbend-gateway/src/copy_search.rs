//! The search for a newer copy of a watched table among other instances.

use std::net::SocketAddrV4;

use ringbend_types::Timestamp;

/// What the search does next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CopySearchStep {
    /// No instance is known to have a newer copy.
    UpToDate,
    /// Fetch the copy of one of these instances.
    Fetch(Vec<SocketAddrV4>),
    /// Wait for other instances to have the copy.
    Wait,
    /// No newer copy could be fetched in time.
    GiveUp,
}

/// One search. An instance that served an older copy than it had named is not asked again, because
/// nothing but the time limit would end a search that asks it over and over.
#[derive(Debug, Clone)]
pub struct CopySearch {
    until: Timestamp,
    stale: Vec<SocketAddrV4>,
}

impl CopySearch {
    /// Creates a search that is given up at `until`.
    pub fn new(until: Timestamp) -> Self {
        Self { until, stale: Vec::new() }
    }

    /// The next step, given the instances that are known to have a newer copy.
    pub fn next(&self, now: Timestamp, mut holders: Vec<SocketAddrV4>) -> CopySearchStep {
        if holders.is_empty() {
            return CopySearchStep::UpToDate;
        }
        if now >= self.until {
            return CopySearchStep::GiveUp;
        }
        holders.retain(|holder| !self.stale.contains(holder));
        if holders.is_empty() { CopySearchStep::Wait } else { CopySearchStep::Fetch(holders) }
    }

    /// Records that an instance served a copy that is not newer than the own one.
    pub fn record_stale(&mut self, holder: SocketAddrV4) {
        self.stale.push(holder);
    }
}
