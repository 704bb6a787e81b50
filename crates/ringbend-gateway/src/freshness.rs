//! Tracks when a watched table was last known to be current.
//!
//! A response proves that the table was current when the store created the response. That moment
//! lies between sending the call and receiving the response, which can be seconds apart for a long
//! poll. Each response carries the store's monotonic clock. Pairing that clock once with the local
//! clock on a quick call places later responses exactly, never later than they were created.

use std::time::Duration;

use ringbend_types::Timestamp;

/// A response of the store that proves the table current.
#[derive(Debug, Clone, Copy)]
pub struct Proof {
    /// When the call was sent.
    pub sent: Timestamp,
    /// The store's monotonic clock when the response was created.
    pub store_clock: Duration,
}

/// The pairing of the store's clock with the local clock, and the time of the last proof.
#[derive(Debug, Clone, Default)]
pub struct Freshness {
    pairing: Option<Proof>,
    proved_at: Option<Timestamp>,
}

impl Freshness {
    /// Records a response. Returns the time at which it proves the table current.
    ///
    /// `paired` means that the call did not wait, so that it gives a tight pairing of the clocks.
    pub fn prove(&mut self, proof: Proof, paired: bool) -> Timestamp {
        let by_clock = self.pairing.and_then(|p| {
            let passed = proof.store_clock.checked_sub(p.store_clock)?;
            Some(p.sent + passed)
        });
        if paired || by_clock.is_none_or(|at| at < proof.sent) {
            // A clock that went backwards belongs to a restarted store.
            self.pairing = Some(proof);
        }
        let at = by_clock.filter(|_| !paired).map_or(proof.sent, |at| at.max(proof.sent));
        self.proved_at = Some(self.proved_at.map_or(at, |last| last.max(at)));
        at
    }

    /// Records a proof made by another instance, converted to this instance's clock.
    pub fn prove_at(&mut self, at: Timestamp) {
        self.proved_at = Some(self.proved_at.map_or(at, |last| last.max(at)));
    }

    /// When the table was last known to be current.
    pub fn proved_at(&self) -> Option<Timestamp> {
        self.proved_at
    }

    /// The time since the table was last known to be current.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.proved_at.map(|at| now.since(at))
    }
}
