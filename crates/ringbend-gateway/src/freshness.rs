//! When a watched table was last proved current.
//!
//! An answer proves the table current as of the moment the store made it. That moment lies between
//! sending and receiving, which for a call that waits for changes is seconds apart. The store tells
//! its own steady clock in each answer; pairing it once with the local clock on a quick call places
//! later answers exactly, on the early side.

use std::time::Duration;

use ringbend_types::Timestamp;

/// One answer of the store.
#[derive(Debug, Clone, Copy)]
pub struct Proof {
    /// When the call was sent.
    pub sent: Timestamp,
    /// The store's steady clock as the answer was made.
    pub store_clock: Duration,
}

/// The earliest local time that a reading of the store's clock can stand for, and the last proof.
#[derive(Debug, Clone, Default)]
pub struct Freshness {
    pairing: Option<Proof>,
    proved_at: Option<Timestamp>,
}

impl Freshness {
    /// Takes in an answer. Returns when the table was current by it.
    ///
    /// `paired` says that the call did not wait, so that it gives a tight pairing of the clocks.
    pub fn prove(&mut self, proof: Proof, paired: bool) -> Timestamp {
        let by_clock = self.pairing.and_then(|p| {
            let passed = proof.store_clock.checked_sub(p.store_clock)?;
            Some(p.sent + passed)
        });
        if paired || by_clock.is_none_or(|at| at < proof.sent) {
            // A clock that fell back belongs to a store that started anew.
            self.pairing = Some(proof);
        }
        let at = by_clock.filter(|_| !paired).map_or(proof.sent, |at| at.max(proof.sent));
        self.proved_at = Some(self.proved_at.map_or(at, |last| last.max(at)));
        at
    }

    /// Takes in a proof that another instance made, placed on this one's clock.
    pub fn prove_at(&mut self, at: Timestamp) {
        self.proved_at = Some(self.proved_at.map_or(at, |last| last.max(at)));
    }

    /// When the table was last known to be current.
    pub fn proved_at(&self) -> Option<Timestamp> {
        self.proved_at
    }

    /// How long ago that was.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.proved_at.map(|at| now.since(at))
    }
}
