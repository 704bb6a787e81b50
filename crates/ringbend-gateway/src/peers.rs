//! Which other instances are there, and what is still to be told to them.
//!
//! Each instance tells all others what it puts on endpoints, so that they do not choose the same
//! idle one. What they tell is a hint: nothing that must hold rests on it.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use ringbend_types::{DataCentre, EndpointId, Timestamp};

use crate::load::WorkId;
use crate::snapshot::ConfigVersion;

/// How long a silent peer still counts as there. A datagram goes out every `HEARTBEAT` at least, so
/// three in a row were lost or not sent.
pub const SILENCE: Duration = Duration::from_millis(3_500);

/// The longest time between two digests to a peer.
pub const HEARTBEAT: Duration = Duration::from_secs(1);

/// How long a silent peer is still told things, in case only its own digests were lost.
const FORGET: Duration = Duration::from_secs(30);

/// The most peers that are kept; above the fleet's size, so that only forged addresses meet it.
const MAX_PEERS: usize = 2_000;

/// How far a peer's copies of the watched tables go, as it told last.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Holds {
    /// The configuration in force there.
    pub config: ConfigVersion,
    /// How far it knows the changes of the endpoints' table.
    pub endpoints: u64,
}

#[derive(Debug, Clone)]
struct Peer {
    heard: Option<(Timestamp, u64)>,
    since: Timestamp,
    holds: Holds,
    data_centre: Option<DataCentre>,
}

impl Peer {
    fn is_there(&self, now: Timestamp) -> bool {
        self.heard.is_some_and(|(at, _)| now.since(at) < SILENCE)
    }
}

/// What a received digest means for the book.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// A peer that was there.
    Known,
    /// A peer that was not there or started anew; its earlier work, if any, has ended.
    New {
        /// The start whose work has ended.
        replaced: Option<u64>,
    },
}

/// The other instances.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    peers: BTreeMap<SocketAddrV4, Peer>,
}

impl Peers {
    /// Notes that an instance is said to be at `address`.
    pub fn told(&mut self, now: Timestamp, address: SocketAddrV4) {
        if self.peers.len() < MAX_PEERS {
            let (holds, data_centre) = (Holds::default(), None);
            let peer = Peer { heard: None, since: now, holds, data_centre };
            self.peers.entry(address).or_insert(peer);
        }
    }

    /// Notes a digest from `address`.
    pub fn heard(&mut self, now: Timestamp, address: SocketAddrV4, incarnation: u64) -> Heard {
        self.told(now, address);
        let Some(peer) = self.peers.get_mut(&address) else { return Heard::Known };
        let before = peer.heard.replace((now, incarnation));
        match before {
            Some((at, same)) if same == incarnation && now.since(at) < SILENCE => Heard::Known,
            _ => {
                let replaced = before.map(|(_, other)| other).filter(|other| *other != incarnation);
                Heard::New { replaced }
            }
        }
    }

    /// Notes where the instance at `address` runs.
    pub fn runs_in(&mut self, address: SocketAddrV4, data_centre: DataCentre) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.data_centre = Some(data_centre);
        }
    }

    /// Notes how far the copies at `address` go.
    pub fn holds(&mut self, address: SocketAddrV4, holds: Holds) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.holds = holds;
        }
    }

    /// The instances whose copies go as far as is `wanted`: those in `home` if there are any.
    pub fn holders(
        &self,
        now: Timestamp,
        home: &DataCentre,
        wanted: impl Fn(Holds) -> bool,
    ) -> Vec<SocketAddrV4> {
        let holders = || self.peers.iter().filter(|(_, p)| p.is_there(now) && wanted(p.holds));
        let near = holders().filter(|(_, peer)| peer.data_centre.as_ref() == Some(home));
        let near: Vec<SocketAddrV4> = near.map(|(address, _)| *address).collect();
        if near.is_empty() { holders().map(|(address, _)| *address).collect() } else { near }
    }

    /// Notes that the instance at `address` stops.
    pub fn left(&mut self, address: SocketAddrV4) {
        self.peers.remove(&address);
    }

    /// The addresses to tell things to.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.peers.keys().copied()
    }

    /// The addresses that were heard.
    pub fn heard_addresses(&self) -> impl Iterator<Item = SocketAddrV4> + '_ {
        self.peers.iter().filter(|(_, peer)| peer.heard.is_some()).map(|(address, _)| *address)
    }

    /// Whether an instance at `address` was heard or is being greeted.
    pub fn knows(&self, address: SocketAddrV4) -> bool {
        self.peers.contains_key(&address)
    }

    /// How many instances are there, this one included.
    pub fn instances(&self, now: Timestamp) -> usize {
        self.peers.values().filter(|peer| peer.is_there(now)).count() + 1
    }

    /// Drops peers that were silent for long. Returns the starts that have just fallen silent, whose
    /// work is no longer believed in.
    pub fn sweep(&mut self, now: Timestamp) -> Vec<u64> {
        let silent = |peer: &Peer| match peer.heard {
            Some((at, start)) if now.since(at) >= SILENCE => Some(start),
            _ => None,
        };
        let starts = self.peers.values().filter_map(silent).collect();
        self.peers.retain(|_, peer| {
            let last = peer.heard.map_or(peer.since, |(at, _)| at);
            now.since(last) < FORGET
        });
        starts
    }
}

/// What is still to be told to peers.
#[derive(Debug, Clone, Default)]
pub struct Outbox {
    /// Long prompts that have begun to wait.
    pub waiting: Vec<WorkId>,
    /// Work that was placed.
    pub placed: Vec<WorkId>,
    /// Work whose first event has come.
    pub writing: Vec<WorkId>,
    /// Work that has ended.
    pub ended: Vec<WorkId>,
    /// Endpoints that an engine named as unable to help it.
    pub unfit: Vec<EndpointId>,
}

impl Outbox {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
            && self.placed.is_empty()
            && self.writing.is_empty()
            && self.ended.is_empty()
            && self.unfit.is_empty()
    }
}
