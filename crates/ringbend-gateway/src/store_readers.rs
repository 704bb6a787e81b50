//! Selects the instances that read the watched tables from the store; the others receive the tables
//! from them.
//!
//! One reader suffices for a fleet, and there is no election: an instance reads when its copy has
//! not been proved current for a while, and its reads prove the copies of all others, which then
//! have no reason to read. Of several readers the one with the smallest incarnation continues. If
//! instances are partitioned or a reader is lost, copies age and more instances read.

use std::collections::BTreeMap;
use std::time::Duration;

use ringbend_types::Timestamp;

/// The age from which a copy is read from the store again, unless another instance has proved it
/// meanwhile; drawn from this range so that not all instances start at once. A reader proves copies
/// once per second.
pub const READ_AGE_MS: std::ops::Range<u64> = 1_500..2_100;

/// The same for an instance that does not schedule. What it reads takes longer to reach all others,
/// so it leaves reading to schedulers while a copy of that age still admits requests.
pub const MEMBER_READ_AGE_MS: std::ops::Range<u64> = 2_200..2_600;

/// A moment on this instance's clock that is no later than a moment on a peer's clock.
#[derive(Debug, Clone, Copy)]
struct ClockPairing {
    own: Timestamp,
    peer: Timestamp,
}

/// Whether this instance reads, and the clocks of its peers.
#[derive(Debug, Clone)]
pub struct StoreReaders {
    own_incarnation: u64,
    reads: bool,
    clocks: BTreeMap<u64, ClockPairing>,
    /// When this instance's copy was last proved, and by the read of which incarnation.
    proved: Option<(Timestamp, u64)>,
}

impl StoreReaders {
    /// Creates an instance that does not read until its copy has not been proved current for a
    /// while.
    pub fn new(own_incarnation: u64) -> Self {
        Self { own_incarnation, reads: false, clocks: BTreeMap::new(), proved: None }
    }

    /// Whether this instance reads the tables.
    pub fn reads(&self) -> bool {
        self.reads
    }

    /// Starts reading, because the copy has not been proved current for too long.
    pub fn begin(&mut self) {
        self.reads = true;
    }

    /// Stops reading if the store has been unreachable since `lost_at` and another instance has
    /// proved the copy later, at `proved_at`. Returns whether it stops.
    pub fn yield_to_others(
        &mut self,
        lost_at: Option<Timestamp>,
        proved_at: Option<Timestamp>,
    ) -> bool {
        let others_reach_it = lost_at.is_some_and(|lost_at| proved_at > Some(lost_at));
        let stops = self.reads && others_reach_it;
        if stops {
            self.reads = false;
        }
        stops
    }

    /// Pairs the clocks: this instance sent a greeting at `own` on its clock, and `incarnation`
    /// answered it at `peer` on the clock of that instance.
    pub fn pair_clocks(&mut self, incarnation: u64, own: Timestamp, peer: Timestamp) {
        self.clocks.insert(incarnation, ClockPairing { own, peer });
    }

    /// Drops the clock of an incarnation that has ended.
    pub fn forget(&mut self, incarnation: u64) {
        self.clocks.remove(&incarnation);
    }

    /// Converts `at` on a peer's clock to a moment on this instance's clock that is no later.
    /// Returns `None` for an unknown clock and for a moment before the zero of this instance's
    /// clock: clamped to zero it would be later than it was.
    pub fn to_own_clock(&self, incarnation: u64, at: Timestamp) -> Option<Timestamp> {
        let pairing = self.clocks.get(&incarnation)?;
        if at >= pairing.peer {
            return Some(pairing.own + at.since(pairing.peer));
        }
        let before = pairing.peer.since(at);
        let is_representable = before <= pairing.own.since(Timestamp::default());
        is_representable.then(|| pairing.own - before)
    }

    /// Records that a read by `incarnation`, this one or another, proved this instance's copy
    /// at `at`.
    pub fn proved_by(&mut self, incarnation: u64, at: Timestamp) {
        if self.proved.is_none_or(|(before, _)| at > before) {
            self.proved = Some((at, incarnation));
        }
    }

    /// The incarnation whose read last proved this instance's copy, if it is another one. An
    /// earlier reader must not be named beside a later proof: it may have ended, and the current
    /// reader would stop because of it.
    pub fn reader(&self) -> Option<u64> {
        self.proved
            .map(|(_, incarnation)| incarnation)
            .filter(|incarnation| *incarnation != self.own_incarnation)
    }

    /// Records that another instance reads and proved this one's copy `age` ago. Returns whether
    /// this one stops reading.
    pub fn yield_to_reader(&mut self, incarnation: u64, age: Duration) -> bool {
        let fresh = age < Duration::from_millis(READ_AGE_MS.start);
        let stops = self.reads && incarnation < self.own_incarnation && fresh;
        if stops {
            self.reads = false;
        }
        stops
    }
}
