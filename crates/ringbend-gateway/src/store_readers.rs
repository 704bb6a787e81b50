//! Selects the instances that read the watched tables from the store; the others receive the tables
//! from them.
//!
//! One reader suffices for a fleet, and there is no election: an instance reads when one of its
//! copies has not been proved current for a while, and its reads prove the copies of all others,
//! which then have no reason to read. Of several readers the one with the smallest incarnation
//! continues. If instances are partitioned or a reader is lost, copies age and more instances read.

use std::collections::BTreeMap;
use std::ops::Range;
use std::time::Duration;

use ringbend_types::Timestamp;

/// The ages from which a copy is read from the store again, unless another instance proves it
/// first; drawn from this range so that not all instances start at once. Longer than the interval
/// between two proofs of a reader, about 1.2 s, and short enough that endpoint changes are known to
/// all instances within two seconds.
const READ_AGE_MS: Range<f64> = 1_400.0..1_700.0;

/// The same for an instance that does not schedule. What it reads takes longer to reach all others,
/// so it leaves reading to schedulers as long as there are any.
const MEMBER_READ_AGE_MS: Range<f64> = 1_750.0..1_900.0;

/// The age from which an instance reads its copies from the store again; `draw` is in `0.0..1.0`.
pub fn read_age(schedules: bool, draw: f64) -> Duration {
    let ages = if schedules { READ_AGE_MS } else { MEMBER_READ_AGE_MS };
    Duration::from_secs_f64((ages.start + draw * (ages.end - ages.start)) / 1_000.0)
}

/// A moment on this instance's clock that is no later than a moment on a peer's clock.
#[derive(Debug, Clone, Copy)]
struct ClockPairing {
    own: Timestamp,
    peer: Timestamp,
}

/// A table that the instances keep copies of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WatchedTable {
    /// The configuration.
    Config,
    /// The list of endpoints.
    Endpoints,
}

/// The latest proof that this instance's copy of a table was current.
#[derive(Debug, Clone, Copy)]
struct CopyProof {
    at: Timestamp,
    /// The incarnation whose read made it, if known.
    reader: Option<u64>,
}

/// Whether this instance reads, and the clocks of its peers.
#[derive(Debug, Clone)]
pub struct StoreReaders {
    own_incarnation: u64,
    /// Since when this instance reads, if it does.
    reads_since: Option<Timestamp>,
    /// Since when the calls of this instance fail, if they do. A loss from before it began to read
    /// does not count: it may reach the store by now.
    failing_since: Option<Timestamp>,
    clocks: BTreeMap<u64, ClockPairing>,
    config: Option<CopyProof>,
    endpoints: Option<CopyProof>,
    /// When another instance last proved its own list of endpoints, which may be ahead of this one.
    endpoints_proved_elsewhere: Option<Timestamp>,
}

impl StoreReaders {
    /// Creates an instance that does not read until its copy has not been proved current for a
    /// while.
    pub fn new(own_incarnation: u64) -> Self {
        Self {
            own_incarnation,
            reads_since: None,
            failing_since: None,
            clocks: BTreeMap::new(),
            config: None,
            endpoints: None,
            endpoints_proved_elsewhere: None,
        }
    }

    /// Whether this instance reads the tables.
    pub fn reads(&self) -> bool {
        self.reads_since.is_some()
    }

    /// Starts reading, because the copy has not been proved current for too long.
    pub fn begin(&mut self, now: Timestamp) {
        self.reads_since = Some(now);
        self.failing_since = None;
    }

    /// Records that a call of this instance to the store has failed.
    pub fn call_failed(&mut self, now: Timestamp) {
        self.failing_since.get_or_insert(now);
    }

    /// Records that the store has responded to this instance.
    pub fn call_answered(&mut self) {
        self.failing_since = None;
    }

    /// Stops reading if the calls of this instance fail and other instances have proved the copies
    /// since. Returns whether it stops.
    pub fn yield_to_others(&mut self) -> bool {
        let proved_at = self.all_proved_at();
        let others_reach_it = self.failing_since.is_some_and(|since| proved_at > Some(since));
        let stops = self.reads() && others_reach_it;
        if stops {
            self.reads_since = None;
        }
        stops
    }

    /// Pairs the clocks: this instance sent a greeting at `own` on its clock, and `incarnation`
    /// answered it at `peer` on the clock of that instance.
    pub fn pair_clocks(&mut self, incarnation: u64, own: Timestamp, peer: Timestamp) {
        self.clocks.insert(incarnation, ClockPairing { own, peer });
    }

    /// Whether the clock of an incarnation is paired with this instance's.
    pub fn is_paired(&self, incarnation: u64) -> bool {
        self.clocks.contains_key(&incarnation)
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

    /// Records that a read by the incarnation `reader`, this one or another, proved this instance's
    /// copy of a table at `at`. The reader may be unknown.
    pub fn proved_by(&mut self, table: WatchedTable, reader: Option<u64>, at: Timestamp) {
        let proof = self.proof_mut(table);
        if proof.is_none_or(|before| at > before.at) {
            *proof = Some(CopyProof { at, reader });
        }
    }

    fn proof_mut(&mut self, table: WatchedTable) -> &mut Option<CopyProof> {
        match table {
            WatchedTable::Config => &mut self.config,
            WatchedTable::Endpoints => &mut self.endpoints,
        }
    }

    /// When this instance's copy of a table was last proved current.
    pub fn proved_at(&self, table: WatchedTable) -> Option<Timestamp> {
        let proof = match table {
            WatchedTable::Config => self.config,
            WatchedTable::Endpoints => self.endpoints,
        };
        proof.map(|proof| proof.at)
    }

    /// The time up to which the copies of all tables are proved current.
    pub fn all_proved_at(&self) -> Option<Timestamp> {
        let (config, endpoints) = self.config.zip(self.endpoints)?;
        Some(config.at.min(endpoints.at))
    }

    /// Records that another instance proved its own list of endpoints at `at`. What is missing here
    /// is fetched from that instance.
    pub fn endpoints_proved_elsewhere(&mut self, at: Timestamp) {
        self.endpoints_proved_elsewhere = self.endpoints_proved_elsewhere.max(Some(at));
    }

    /// The time since which no instance may have read one of the tables. Before the first proof of
    /// the endpoints it is that of the configuration: a starting instance gets its first list from
    /// others, which takes a while where all start at once.
    pub fn unread_since(&self) -> Option<Timestamp> {
        let config = self.proved_at(WatchedTable::Config);
        let own = self.proved_at(WatchedTable::Endpoints);
        let endpoints = own.max(self.endpoints_proved_elsewhere);
        config.zip(endpoints).map(|(config, endpoints)| config.min(endpoints)).or(config)
    }

    /// Whether this instance has proved its copy of a table by a read of its own since it began to
    /// read.
    pub fn has_read(&self, table: WatchedTable) -> bool {
        self.reads_since.is_some_and(|since| self.proved_at(table) >= Some(since))
    }

    /// The reader to be named to others beside the latest proofs: the incarnation whose reads made
    /// them, and this one only while it reads. Any other could be unable to reach the store, and
    /// the current reader would stop because of it.
    pub fn reader(&self) -> Option<u64> {
        let (config, endpoints) = (self.config?.reader?, self.endpoints?.reader?);
        let is_known = config == endpoints && (config != self.own_incarnation || self.reads());
        is_known.then_some(config)
    }

    /// Records that reads by another incarnation proved this instance's copies at `proved_at`.
    /// Returns whether this instance stops reading: only if those reads were made after this
    /// instance had begun to read, as the other one may have lost the store before.
    pub fn yield_to_reader(&mut self, incarnation: u64, proved_at: Timestamp) -> bool {
        let is_later = self.reads_since.is_some_and(|since| proved_at > since);
        let stops = incarnation < self.own_incarnation && is_later;
        if stops {
            self.reads_since = None;
        }
        stops
    }
}
