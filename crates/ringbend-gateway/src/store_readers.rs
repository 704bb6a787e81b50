//! Which instances read the watched tables from the store, and which hear of them from others.
//!
//! One reader is enough for a fleet. Nobody elects it: an instance reads when its copy has not been
//! proved current for a while, and what it reads proves the copies of all others, which then have no
//! reason to read. Of several readers the one with the smallest start goes on. Where instances do
//! not reach each other, or a reader is lost, copies age and more instances read.

use std::collections::BTreeMap;
use std::time::Duration;

use ringbend_types::Timestamp;

/// A copy that is older than this is read again, if nobody else proved it meanwhile; drawn between
/// the two so that not all begin at once. A reader proves copies once a second.
pub const READ_AGE_MS: std::ops::Range<u64> = 1_500..2_100;

/// The same for an instance that does not schedule: what it reads takes longer to reach all others, so
/// it leaves reading to one that does, while a copy of that age still lets requests in.
pub const MEMBER_READ_AGE_MS: std::ops::Range<u64> = 2_200..2_600;

/// A moment on this instance's clock that is no later than a moment on a peer's clock.
#[derive(Debug, Clone, Copy)]
struct Pairing {
    own: Timestamp,
    peers: Timestamp,
}

/// This instance's part in reading, and its peers' clocks.
#[derive(Debug, Clone)]
pub struct StoreReaders {
    own_start: u64,
    reads: bool,
    clocks: BTreeMap<u64, Pairing>,
    /// When this instance's copy was last proved, and by whose reading.
    proved: Option<(Timestamp, u64)>,
}

impl StoreReaders {
    /// An instance that does not read until its copy has not been proved current for a while.
    pub fn new(own_start: u64) -> Self {
        Self { own_start, reads: false, clocks: BTreeMap::new(), proved: None }
    }

    /// Whether this instance reads the tables.
    pub fn reads(&self) -> bool {
        self.reads
    }

    /// Begins to read, as the copy has not been proved for too long.
    pub fn begin(&mut self) {
        self.reads = true;
    }

    /// Stops reading if the store is not reached since `lost_at` and another instance has proved the
    /// copy later, at `proved_at`. Returns whether it stops.
    pub fn yield_to_others(
        &mut self,
        lost_at: Option<Timestamp>,
        proved_at: Option<Timestamp>,
    ) -> bool {
        let others_reach = lost_at.is_some_and(|lost_at| proved_at > Some(lost_at));
        let stops = self.reads && others_reach;
        if stops {
            self.reads = false;
        }
        stops
    }

    /// Notes that the instance that started as `start` answered, at `peers` on its clock, a greeting
    /// that was sent at `own` on ours.
    pub fn pair_clocks(&mut self, start: u64, own: Timestamp, peers: Timestamp) {
        self.clocks.insert(start, Pairing { own, peers });
    }

    /// Forgets the clock of a start that has ended.
    pub fn forget(&mut self, start: u64) {
        self.clocks.remove(&start);
    }

    /// A moment on our clock that is no later than `at` on the peer's. None for a clock unknown, and
    /// for a moment that our clock cannot tell as it lies before its zero: placed at zero it would
    /// be later than it was.
    pub fn to_own_clock(&self, start: u64, at: Timestamp) -> Option<Timestamp> {
        let pairing = self.clocks.get(&start)?;
        if at >= pairing.peers {
            return Some(pairing.own + at.since(pairing.peers));
        }
        let before = pairing.peers.since(at);
        let is_told = before <= pairing.own.since(Timestamp::default());
        is_told.then(|| pairing.own - before)
    }

    /// Notes that the reading of the instance that started as `start`, this one or another, proved
    /// this one's copy at `at`.
    pub fn proved_by(&mut self, start: u64, at: Timestamp) {
        if self.proved.is_none_or(|(before, _)| at > before) {
            self.proved = Some((at, start));
        }
    }

    /// The start of the instance whose reading proved this one's copy last, if another one's did. The
    /// word of an earlier reader must not be told beside a later proof: it may have ended, and whoever
    /// reads now would stop for it.
    pub fn reader(&self) -> Option<u64> {
        self.proved.map(|(_, start)| start).filter(|start| *start != self.own_start)
    }

    /// Notes that another instance reads and proved this one's copy `age` ago. Returns whether this
    /// one stops reading.
    pub fn yield_to_reader(&mut self, start: u64, age: Duration) -> bool {
        let fresh = age < Duration::from_millis(READ_AGE_MS.start);
        let stops = self.reads && start < self.own_start && fresh;
        if stops {
            self.reads = false;
        }
        stops
    }
}
