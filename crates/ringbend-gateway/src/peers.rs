//! The other instances and their roles.
//!
//! Schedulers tell each other what runs where, so that they do not choose the same idle engine.
//! These reports are hints: no guarantee depends on them.

mod expected;
mod roles;

pub use roles::Arbiter;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use ringbend_types::{Cursor, DataCentre, Timestamp};

use crate::carriers::Candidates;
use crate::schedulers::{InstanceRank, Role};
use crate::snapshot::ConfigVersion;

/// How long a silent peer still counts as alive. A datagram is sent at least every
/// `HEARTBEAT_INTERVAL`, so three in a row were lost or not sent.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(3_500);

/// The maximum interval between two digests to a peer.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// How long digests are still sent to a silent peer, in case only its own digests were lost.
const RETENTION: Duration = Duration::from_secs(30);

/// The maximum number of peers; larger than the fleet, so that only forged addresses reach it.
const MAX_PEERS: usize = 2_000;

/// How long a scheduler that did not answer in time is skipped: long enough for one that lacks
/// processor time to catch up, and short compared with `PEER_TIMEOUT`, after which others drop its
/// work.
const UNRESPONSIVE_TIME: Duration = Duration::from_secs(1);

/// How long a starting instance looks for others before it schedules, unless the rows of other
/// instances settle its role sooner: a few greetings take a round trip each, and a read of the
/// store somewhat longer.
const DISCOVERY_TIME: Duration = Duration::from_millis(250);

/// How long to wait for the answer to a greeting before sending the next one.
const GREETING_TIMEOUT: Duration = Duration::from_millis(40);

/// How long a peer may take to answer a hello before another one is sent. It doubles each time:
/// answers are lost where many instances start at once and lack processor time.
const FIRST_HELLO_RETRY: Duration = Duration::from_secs(2);

/// The upper bound of the time between two hellos to a peer.
const MAX_HELLO_RETRY: Duration = Duration::from_secs(16);

/// How current a peer's copies of the watched tables are, by its last digest.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CopyVersions {
    /// The version of the configuration in force there.
    pub config: ConfigVersion,
    /// The cursor in the changes of the endpoint table.
    pub endpoints: Cursor,
}

/// The role and instance counts that a peer reports.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerStatus {
    /// Its role in its data centre.
    pub role: Role,
    /// The number of instances it knows in its data centre, including itself.
    pub instances: usize,
    /// The number of instances it knows in all data centres.
    pub fleet: usize,
    /// The number of instances that may run, including those of data centres that it does not hear.
    pub possible: usize,
}

#[derive(Debug, Clone)]
struct Peer {
    /// When its last digest arrived, and the incarnation that sent it.
    heard: Option<(Timestamp, u64)>,
    /// When it was added.
    since: Timestamp,
    greeted_at: Option<Timestamp>,
    /// When the next hello may be sent if the previous one remains unanswered.
    next_hello_at: Option<Timestamp>,
    /// Number of hellos sent in reply to its digests.
    hellos: u32,
    copies: CopyVersions,
    data_centre: Option<DataCentre>,
    capacity: u32,
    status: PeerStatus,
    unresponsive_at: Option<Timestamp>,
}

impl Peer {
    fn new(now: Timestamp) -> Self {
        Self {
            heard: None,
            since: now,
            greeted_at: None,
            next_hello_at: None,
            hellos: 0,
            copies: CopyVersions::default(),
            data_centre: None,
            capacity: 0,
            status: PeerStatus::default(),
            unresponsive_at: None,
        }
    }

    fn is_alive(&self, now: Timestamp) -> bool {
        self.was_heard_within(now, PEER_TIMEOUT)
    }

    fn was_heard_within(&self, now: Timestamp, time: Duration) -> bool {
        self.heard.is_some_and(|(at, _)| now.since(at) < time)
    }

    fn schedules(&self) -> bool {
        self.status.role == Role::Scheduler
    }

    fn runs_in(&self, data_centre: &DataCentre) -> bool {
        self.data_centre.as_ref() == Some(data_centre)
    }

    fn is_unresponsive(&self, now: Timestamp) -> bool {
        let Some(unresponsive_at) = self.unresponsive_at else { return false };
        let heard_since = self.heard.is_some_and(|(at, _)| at > unresponsive_at);
        !heard_since || now.since(unresponsive_at) < UNRESPONSIVE_TIME
    }
}

/// The effect of a received digest on the known peers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerObservation {
    /// The peer was already alive.
    Known,
    /// The peer was not alive or was restarted; the work of its previous incarnation, if any, has
    /// ended.
    New {
        /// The incarnation whose work has ended.
        replaced: Option<u64>,
    },
}

/// The other instances, and this instance's role among them.
#[derive(Debug, Clone)]
pub struct Peers {
    home: DataCentre,
    own: InstanceRank,
    role: Role,
    /// Until when it looks for others before it becomes a scheduler.
    discovery_until: Timestamp,
    /// When a scheduler of its data centre was last alive.
    scheduler_seen_at: Timestamp,
    /// The data centres that the settings name.
    expected: BTreeSet<DataCentre>,
    peers: BTreeMap<SocketAddrV4, Peer>,
}

impl Peers {
    /// Creates a starting instance in data centre `home` that knows of no other.
    pub fn new(now: Timestamp, home: DataCentre, own: InstanceRank) -> Self {
        Self {
            home,
            own,
            role: Role::Starting,
            discovery_until: now + DISCOVERY_TIME,
            scheduler_seen_at: now,
            expected: BTreeSet::new(),
            peers: BTreeMap::new(),
        }
    }

    /// Sets the address of this instance once its socket is bound.
    pub fn set_own_address(&mut self, address: SocketAddrV4) {
        self.own = InstanceRank::new(self.own.capacity(), address);
    }

    /// Adds a peer that is said to listen at `address`.
    pub fn add(&mut self, now: Timestamp, address: SocketAddrV4) {
        if self.peers.len() < MAX_PEERS {
            self.peers.entry(address).or_insert_with(|| Peer::new(now));
        }
    }

    /// Records a digest from `address`.
    pub fn record_digest(
        &mut self,
        now: Timestamp,
        address: SocketAddrV4,
        incarnation: u64,
    ) -> PeerObservation {
        self.add(now, address);
        let Some(peer) = self.peers.get_mut(&address) else { return PeerObservation::Known };
        let before = peer.heard.replace((now, incarnation));
        match before {
            Some((at, same)) if same == incarnation && now.since(at) < PEER_TIMEOUT => {
                PeerObservation::Known
            }
            _ => {
                let replaced = before.map(|(_, other)| other).filter(|other| *other != incarnation);
                PeerObservation::New { replaced }
            }
        }
    }

    /// Sets the data centre and the processor time of the instance at `address`.
    pub fn describe(&mut self, address: SocketAddrV4, data_centre: DataCentre, capacity: u32) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.data_centre = Some(data_centre);
            peer.capacity = capacity;
        }
    }

    /// Sets the reported status of the instance at `address`.
    pub fn set_status(&mut self, address: SocketAddrV4, status: PeerStatus) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.status = status;
        }
    }

    /// Sets the versions of the copies at `address`.
    pub fn set_copy_versions(&mut self, address: SocketAddrV4, copies: CopyVersions) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.copies = copies;
        }
    }

    /// The instances whose copies satisfy `wanted`: those in this data centre if there are any.
    pub fn holders(
        &self,
        now: Timestamp,
        wanted: impl Fn(CopyVersions) -> bool,
    ) -> Vec<SocketAddrV4> {
        let holders = || self.alive(now).filter(|(_, peer)| wanted(peer.copies));
        let local = holders().filter(|(_, peer)| peer.runs_in(&self.home));
        let local: Vec<SocketAddrV4> = local.map(|(address, _)| address).collect();
        if local.is_empty() { holders().map(|(address, _)| address).collect() } else { local }
    }

    /// The live instances that may carry connections to endpoints.
    pub fn carrier_candidates(&self, now: Timestamp) -> Candidates {
        let (local, remote): (Vec<_>, Vec<_>) =
            self.alive(now).partition(|(_, peer)| peer.runs_in(&self.home));
        let addresses = |peers: Vec<(SocketAddrV4, &Peer)>| {
            peers.into_iter().map(|(address, _)| address).collect()
        };
        Candidates { local: addresses(local), remote: addresses(remote) }
    }

    /// Whether the copy of the endpoint table at `address` is not known to be as current as
    /// `endpoints`.
    pub fn is_behind(&self, address: SocketAddrV4, endpoints: Cursor) -> bool {
        self.peers.get(&address).is_none_or(|peer| peer.copies.endpoints < endpoints)
    }

    /// Removes the instance at `address`, which has announced that it stops.
    pub fn remove(&mut self, address: SocketAddrV4) {
        self.peers.remove(&address);
    }

    /// Whether to greet the instance that is said to be at `address`: it is not alive, and has had
    /// time to answer an earlier greeting. Records the greeting if so.
    pub fn begin_greeting(&mut self, now: Timestamp, address: SocketAddrV4) -> bool {
        self.add(now, address);
        let Some(peer) = self.peers.get_mut(&address) else { return false };
        let is_pending = peer.greeted_at.is_some_and(|at| now.since(at) < GREETING_TIMEOUT);
        if peer.is_alive(now) || is_pending {
            return false;
        }
        peer.greeted_at = Some(now);
        true
    }

    /// Whether to send a hello to the instance at `address`, which has not answered an earlier one.
    /// Records that it is sent if so.
    pub fn begin_hello(&mut self, now: Timestamp, address: SocketAddrV4) -> bool {
        let Some(peer) = self.peers.get_mut(&address) else { return false };
        let is_due = peer.next_hello_at.is_none_or(|at| now >= at);
        if is_due {
            let delay = FIRST_HELLO_RETRY * 2u32.saturating_pow(peer.hellos);
            peer.next_hello_at = Some(now + delay.min(MAX_HELLO_RETRY));
            peer.hellos += 1;
        }
        is_due
    }

    /// Whether the instance at `address` is alive.
    pub fn is_alive(&self, now: Timestamp, address: SocketAddrV4) -> bool {
        self.peers.get(&address).is_some_and(|peer| peer.is_alive(now))
    }

    /// All known addresses.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.peers.keys().copied()
    }

    /// The number of instances, including this one: those that are alive, and those that schedulers
    /// report.
    pub fn instances(&self, now: Timestamp) -> usize {
        let heard = self.count_by_centre(|peer| peer.is_alive(now));
        if self.schedules() {
            return heard;
        }
        let local_peers = self.alive(now).filter(|(_, peer)| peer.runs_in(&self.home));
        let schedulers = local_peers.filter(|(_, peer)| peer.schedules());
        schedulers.map(|(_, peer)| peer.status.fleet).fold(heard, usize::max)
    }

    /// The number of instances, including this one, by the matching peers and the counts they
    /// report.
    fn count_by_centre(&self, matches: impl Fn(&Peer) -> bool) -> usize {
        let mut counts: BTreeMap<&DataCentre, (usize, usize)> = BTreeMap::new();
        counts.insert(&self.home, (1, 0));
        let mut unknown_centre = 0;
        for peer in self.peers.values().filter(|peer| matches(peer)) {
            let Some(data_centre) = &peer.data_centre else {
                unknown_centre += 1;
                continue;
            };
            let (heard, reported) = counts.entry(data_centre).or_default();
            *heard += 1;
            if peer.schedules() {
                *reported = (*reported).max(peer.status.instances);
            }
        }
        counts.values().map(|(heard, reported)| heard.max(reported)).sum::<usize>() + unknown_centre
    }

    /// The number of instances of its data centre that this one receives digests from, plus itself.
    pub fn local_instances(&self, now: Timestamp) -> usize {
        self.alive(now).filter(|(_, peer)| peer.runs_in(&self.home)).count() + 1
    }

    /// Drops peers that were silent for long. Returns the addresses and incarnations of peers that
    /// have just fallen silent, and whose work is dropped.
    pub fn sweep(&mut self, now: Timestamp) -> Vec<(SocketAddrV4, u64)> {
        let silent = |(address, peer): (&SocketAddrV4, &Peer)| match peer.heard {
            Some((at, incarnation)) if now.since(at) >= PEER_TIMEOUT => {
                Some((*address, incarnation))
            }
            _ => None,
        };
        let silent_peers = self.peers.iter().filter_map(silent).collect();
        self.peers.retain(|_, peer| {
            let last = peer.heard.map_or(peer.since, |(at, _)| at);
            now.since(last) < RETENTION
        });
        silent_peers
    }

    fn alive(&self, now: Timestamp) -> impl Iterator<Item = (SocketAddrV4, &Peer)> {
        self.peers.iter().filter(move |(_, p)| p.is_alive(now)).map(|(a, peer)| (*a, peer))
    }
}
