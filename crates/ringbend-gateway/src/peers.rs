//! Which other instances are there, and which of them schedule.
//!
//! Schedulers tell each other what runs where, so that they do not choose the same idle engine. What
//! they tell is a hint: nothing that must hold rests on it.

mod roles;

pub use roles::Arbiter;

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use ringbend_types::{DataCentre, Timestamp};

use crate::schedulers::{InstanceRank, Role};
use crate::snapshot::ConfigVersion;

/// How long a silent peer still counts as there. A datagram goes out every `HEARTBEAT_INTERVAL` at least, so
/// three in a row were lost or not sent.
pub const PEER_TIMEOUT: Duration = Duration::from_millis(3_500);

/// The longest time between two digests to a peer.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// How long a silent peer is still told things, in case only its own digests were lost.
const FORGET: Duration = Duration::from_secs(30);

/// The most peers that are kept; above the fleet's size, so that only forged addresses meet it.
const MAX_PEERS: usize = 2_000;

/// How long a scheduler that did not answer in time is passed over: long enough for one that is
/// short of processor time to catch up, short against the time in which others find its work.
const DOUBT_TIME: Duration = Duration::from_secs(1);

/// How long an instance that starts looks for others before it schedules, if rows of others do not
/// tell it sooner what to do: some greetings take a trip each, and a read of the store some more.
const START_TIME: Duration = Duration::from_millis(250);

/// How long a greeting may go without an answer before the next.
const ANSWER_TIME: Duration = Duration::from_millis(40);

/// How far a peer's copies of the watched tables go, as it told last.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CopyVersions {
    /// The configuration in force there.
    pub config: ConfigVersion,
    /// How far it knows the changes of the endpoints' table.
    pub endpoints: u64,
}

/// What an instance tells of its part among the others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerStatus {
    /// What it does for the others of its data centre.
    pub role: Role,
    /// How many instances it knows in its data centre, itself included.
    pub instances: usize,
    /// How many it knows in all data centres.
    pub fleet: usize,
}

#[derive(Debug, Clone)]
struct Peer {
    heard: Option<(Timestamp, u64)>,
    since: Timestamp,
    greeted_at: Option<Timestamp>,
    holds: CopyVersions,
    data_centre: Option<DataCentre>,
    capacity: u32,
    part: PeerStatus,
    doubted_at: Option<Timestamp>,
}

impl Peer {
    fn new(now: Timestamp) -> Self {
        Self {
            heard: None,
            since: now,
            greeted_at: None,
            holds: CopyVersions::default(),
            data_centre: None,
            capacity: 0,
            part: PeerStatus::default(),
            doubted_at: None,
        }
    }

    fn is_alive(&self, now: Timestamp) -> bool {
        self.was_heard_within(now, PEER_TIMEOUT)
    }

    fn was_heard_within(&self, now: Timestamp, time: Duration) -> bool {
        self.heard.is_some_and(|(at, _)| now.since(at) < time)
    }

    fn schedules(&self) -> bool {
        self.part.role == Role::Scheduler
    }

    fn runs_in(&self, data_centre: &DataCentre) -> bool {
        self.data_centre.as_ref() == Some(data_centre)
    }

    fn is_doubted(&self, now: Timestamp) -> bool {
        let Some(doubted_at) = self.doubted_at else { return false };
        let heard_since = self.heard.is_some_and(|(at, _)| at > doubted_at);
        !heard_since || now.since(doubted_at) < DOUBT_TIME
    }
}

/// What a received digest means for the book.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerObservation {
    /// A peer that was there.
    Known,
    /// A peer that was not there or started anew; its earlier work, if any, has ended.
    New {
        /// The start whose work has ended.
        replaced: Option<u64>,
    },
}

/// The other instances, and this one's part among them.
#[derive(Debug, Clone)]
pub struct Peers {
    home: DataCentre,
    own: InstanceRank,
    role: Role,
    /// Until when it looks for others before it takes up scheduling.
    starts_until: Timestamp,
    /// When one that schedules at home was last there.
    served_at: Timestamp,
    peers: BTreeMap<SocketAddrV4, Peer>,
}

impl Peers {
    /// An instance in `home` that starts and knows of no other.
    pub fn new(now: Timestamp, home: DataCentre, own: InstanceRank) -> Self {
        Self {
            home,
            own,
            role: Role::Starting,
            starts_until: now + START_TIME,
            served_at: now,
            peers: BTreeMap::new(),
        }
    }

    /// Sets where this instance listens, once it does.
    pub fn set_own_address(&mut self, address: SocketAddrV4) {
        self.own = InstanceRank::new(self.own.capacity(), address);
    }

    /// Notes that an instance is said to be at `address`.
    pub fn add(&mut self, now: Timestamp, address: SocketAddrV4) {
        if self.peers.len() < MAX_PEERS {
            self.peers.entry(address).or_insert_with(|| Peer::new(now));
        }
    }

    /// Notes a digest from `address`.
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

    /// Notes where the instance at `address` runs, and the processor time that it may use.
    pub fn describe(&mut self, address: SocketAddrV4, data_centre: DataCentre, capacity: u32) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.data_centre = Some(data_centre);
            peer.capacity = capacity;
        }
    }

    /// Notes what the instance at `address` tells of its part.
    pub fn set_status(&mut self, address: SocketAddrV4, part: PeerStatus) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.part = part;
        }
    }

    /// Notes how far the copies at `address` go.
    pub fn set_copy_versions(&mut self, address: SocketAddrV4, holds: CopyVersions) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.holds = holds;
        }
    }

    /// The instances whose copies go as far as is `wanted`: those at home if there are any.
    pub fn holders(
        &self,
        now: Timestamp,
        wanted: impl Fn(CopyVersions) -> bool,
    ) -> Vec<SocketAddrV4> {
        let holders = || self.there(now).filter(|(_, peer)| wanted(peer.holds));
        let near = holders().filter(|(_, peer)| peer.runs_in(&self.home));
        let near: Vec<SocketAddrV4> = near.map(|(address, _)| address).collect();
        if near.is_empty() { holders().map(|(address, _)| address).collect() } else { near }
    }

    /// Whether the copy of the endpoints' table at `address` is not known to go as far as `endpoints`.
    pub fn is_behind(&self, address: SocketAddrV4, endpoints: u64) -> bool {
        self.peers.get(&address).is_none_or(|peer| peer.holds.endpoints < endpoints)
    }

    /// Notes that the instance at `address` stops.
    pub fn remove(&mut self, address: SocketAddrV4) {
        self.peers.remove(&address);
    }

    /// Whether the instance that is said to be at `address` should be greeted: it is not heard, and
    /// has had the time to answer an earlier greeting. Notes that it is.
    pub fn begin_greeting(&mut self, now: Timestamp, address: SocketAddrV4) -> bool {
        self.add(now, address);
        let Some(peer) = self.peers.get_mut(&address) else { return false };
        let waits = peer.greeted_at.is_some_and(|at| now.since(at) < ANSWER_TIME);
        if peer.is_alive(now) || waits {
            return false;
        }
        peer.greeted_at = Some(now);
        true
    }

    /// Whether the instance at `address` is heard.
    pub fn is_alive(&self, now: Timestamp, address: SocketAddrV4) -> bool {
        self.peers.get(&address).is_some_and(|peer| peer.is_alive(now))
    }

    /// All addresses that are known.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.peers.keys().copied()
    }

    /// How many instances are there, this one included: those that are heard, and those that
    /// schedulers tell of.
    pub fn instances(&self, now: Timestamp) -> usize {
        let heard = self.count_by_centre(|peer| peer.is_alive(now));
        if self.schedules() {
            return heard;
        }
        let at_home = self.there(now).filter(|(_, peer)| peer.runs_in(&self.home));
        let schedulers = at_home.filter(|(_, peer)| peer.schedules());
        schedulers.map(|(_, peer)| peer.part.fleet).fold(heard, usize::max)
    }

    /// How many instances there are, this one included, by the peers that are meant and by what they tell.
    fn count_by_centre(&self, is_meant: impl Fn(&Peer) -> bool) -> usize {
        let mut counts: BTreeMap<&DataCentre, (usize, usize)> = BTreeMap::new();
        counts.insert(&self.home, (1, 0));
        let mut elsewhere = 0;
        for peer in self.peers.values().filter(|peer| is_meant(peer)) {
            let Some(data_centre) = &peer.data_centre else {
                elsewhere += 1;
                continue;
            };
            let (heard, told) = counts.entry(data_centre).or_default();
            *heard += 1;
            if peer.schedules() {
                *told = (*told).max(peer.part.instances);
            }
        }
        counts.values().map(|(heard, told)| heard.max(told)).sum::<usize>() + elsewhere
    }

    /// How many instances of its data centre this one hears, itself included.
    pub fn local_instances(&self, now: Timestamp) -> usize {
        self.there(now).filter(|(_, peer)| peer.runs_in(&self.home)).count() + 1
    }

    /// Drops peers that were silent for long. Returns the starts that have just fallen silent, whose
    /// work is no longer believed in, with their addresses.
    pub fn sweep(&mut self, now: Timestamp) -> Vec<(SocketAddrV4, u64)> {
        let silent = |(address, peer): (&SocketAddrV4, &Peer)| match peer.heard {
            Some((at, start)) if now.since(at) >= PEER_TIMEOUT => Some((*address, start)),
            _ => None,
        };
        let starts = self.peers.iter().filter_map(silent).collect();
        self.peers.retain(|_, peer| {
            let last = peer.heard.map_or(peer.since, |(at, _)| at);
            now.since(last) < FORGET
        });
        starts
    }

    fn there(&self, now: Timestamp) -> impl Iterator<Item = (SocketAddrV4, &Peer)> {
        self.peers.iter().filter(move |(_, p)| p.is_alive(now)).map(|(a, peer)| (*a, peer))
    }
}
