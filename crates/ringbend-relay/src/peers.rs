//! Tells other instances what this one puts on endpoints, and listens to them.

use std::net::{SocketAddr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use ringbend_gateway::{HEARTBEAT, Heard, Outbox, TrustEvent, WorkId};
use ringbend_types::{EndpointId, Timestamp};
use ringbend_wire::{
    LoadDigest, Message, PlacedWork, WaitingWork, placed_work, waiting_of, waiting_work, work_of,
};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::node::Node;
use crate::ports::Presence;
use crate::relayed::{self, currency};

/// How long the end of a request may wait to be told together with others. New work is told at once.
const GATHER: Duration = Duration::from_millis(15);

/// The most work told in one datagram, so that it fits a packet.
const WORK_PER_DATAGRAM: usize = 8;

/// The longest datagram that is read, in bytes.
const MAX_DATAGRAM: usize = 8 << 10;

/// How often this instance asks the store for others until it has been told.
const PRESENCE_RETRY: Duration = Duration::from_millis(700);

/// How long the seeds are given to answer.
const SEED_TIME: Duration = Duration::from_millis(120);

/// The pauses before each greeting of the seeds.
const GREETINGS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(300),
    Duration::from_millis(1_500),
];

/// How long writing and reading presence may take. A slow store takes up to a third of a second a
/// call; an answer that was lost never comes.
const PRESENCE_TIME: Duration = Duration::from_millis(1_500);

/// Wakes the sender.
#[derive(Default)]
pub(crate) struct Signals {
    /// New work was placed.
    pub(crate) now: Notify,
    /// Work has begun to write or ended.
    pub(crate) soon: Notify,
}

/// The link to all other instances.
pub(crate) struct PeerLink {
    node: Rc<Node>,
    socket: UdpSocket,
    address: SocketAddrV4,
}

impl PeerLink {
    pub(crate) async fn open(node: Rc<Node>, address: SocketAddrV4) -> std::io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(address).await?;
        let address = SocketAddrV4::new(*address.ip(), socket.local_addr()?.port());
        Ok(Rc::new(Self { node, socket, address }))
    }

    pub(crate) fn address(&self) -> SocketAddrV4 {
        self.address
    }

    /// Finds other instances by their presence in the store, and writes this one's.
    pub(crate) async fn join(self: Rc<Self>, presence: Rc<dyn Presence>, has_seeds: bool) {
        if has_seeds {
            // Their answers come first; then presence need not be read.
            tokio::time::sleep(SEED_TIME).await;
        }
        loop {
            // A call that hangs since the store was lost is not waited for once it is back.
            let announced = tokio::select! {
                done = tokio::time::timeout(PRESENCE_TIME, self.announce(&*presence)) => done,
                () = self.node.store_regained.notified() => continue,
            };
            match announced.unwrap_or(Err(crate::SourceError::TimedOut)) {
                Ok(count) => {
                    log::info!(target: "peers", told = count; "joined");
                    return;
                }
                Err(e) => {
                    log::info!(target: "peers", error:% = e; "presence not written, trying again");
                    tokio::select! {
                        () = tokio::time::sleep(PRESENCE_RETRY.mul_f64(self.node.asking_factor())) => {}
                        () = self.node.store_regained.notified() => {}
                    }
                }
            }
        }
    }

    /// Greets the seeds, more than once as they may just be starting. Their answers name the others.
    pub(crate) async fn greet(self: Rc<Self>, seeds: Vec<SocketAddrV4>) {
        let at_own_port = |seed: &SocketAddrV4| SocketAddrV4::new(*seed.ip(), self.address.port());
        let seeds: Vec<SocketAddrV4> = seeds.iter().map(at_own_port).collect();
        for pause in GREETINGS {
            tokio::time::sleep(pause).await;
            self.introduce(&seeds);
        }
    }

    /// Greets instances that are said to be at these addresses.
    fn introduce(&self, addresses: &[SocketAddrV4]) {
        let now = self.node.clock.now();
        let hello = self.hello();
        for address in addresses.iter().filter(|address| **address != self.address) {
            self.node.peers.borrow_mut().told(now, *address);
            self.tell(&hello, *address);
        }
    }

    fn hello(&self) -> LoadDigest {
        let data_centre = self.node.cfg.borrow().data_centre.to_string();
        LoadDigest { hello: true, data_centre, ..self.digest() }
    }

    /// Whether other instances have been heard.
    fn hears_others(&self) -> bool {
        self.node.peers.borrow().instances(self.node.clock.now()) > 1
    }

    /// Returns how many others were greeted.
    ///
    /// An instance that was killed finds its own row and those of all others as they were, so one
    /// call is enough after a loss of all instances; writes of so many would take turns. Where its
    /// row is new it reads once more: of two that start together, the later reader sees the other.
    async fn announce(&self, presence: &dyn Presence) -> Result<usize, crate::SourceError> {
        let others = if self.hears_others() { Vec::new() } else { presence.all().await? };
        self.introduce(&others);
        if others.contains(&self.address) {
            return Ok(others.len() - 1);
        }
        presence.announce(self.address).await?;
        if self.hears_others() {
            // They named all others.
            return Ok(others.len());
        }
        let others = presence.all().await?;
        self.introduce(&others);
        Ok(others.len().saturating_sub(1))
    }

    /// Sends digests for as long as the process lives.
    pub(crate) async fn send(self: Rc<Self>) {
        let signals = &self.node.signals;
        loop {
            tokio::select! {
                () = signals.now.notified() => {}
                () = signals.soon.notified() => tokio::time::sleep(GATHER).await,
                () = tokio::time::sleep(HEARTBEAT) => {}
            }
            self.sweep();
            let outbox = std::mem::take(&mut *self.node.outbox.borrow_mut());
            self.broadcast(&outbox);
        }
    }

    /// Tells all peers that this instance stops.
    pub(crate) fn bye(&self) {
        let digest = LoadDigest { bye: true, ..self.digest() };
        let addresses: Vec<_> = self.node.peers.borrow().addresses().collect();
        addresses.into_iter().for_each(|address| self.tell(&digest, address));
    }

    fn sweep(&self) {
        let now = self.node.clock.now();
        let mut peers = self.node.peers.borrow_mut();
        for start in peers.sweep(now) {
            self.node.load.borrow_mut().forget_instance(now, start);
            self.node.readers.borrow_mut().forget(start);
        }
        let instances = peers.instances(now);
        if self.node.metrics.live_instances.get() != instances as i64 {
            log::info!(target: "peers", instances; "instances");
            self.node.metrics.live_instances.set(instances as i64);
            self.node.budget.borrow_mut().set_instances(instances);
        }
    }

    fn digest(&self) -> LoadDigest {
        LoadDigest {
            incarnation: self.node.incarnation(),
            clock_us: self.node.clock.now().0,
            currency: currency(&self.node),
            ..LoadDigest::default()
        }
    }

    fn broadcast(&self, outbox: &Outbox) {
        let sequences = |ids: &[WorkId]| ids.iter().map(|id| id.sequence).collect();
        let placed = self.placed(|id| outbox.placed.contains(&id));
        let first = LoadDigest {
            waiting: self.waiting(|id| outbox.waiting.contains(&id)),
            writing: sequences(&outbox.writing),
            ended: sequences(&outbox.ended),
            unfit: outbox.unfit.iter().map(EndpointId::to_string).collect(),
            endpoint_changes: self.node.endpoint_changes.borrow_mut().take(),
            ..self.digest()
        };
        let addresses: Vec<_> = self.node.peers.borrow().addresses().collect();
        for digest in self.split(first, placed) {
            addresses.iter().for_each(|address| self.tell(&digest, *address));
        }
    }

    /// This instance's open work that is asked for.
    fn placed(&self, is_asked: impl Fn(WorkId) -> bool) -> Vec<PlacedWork> {
        let (now, load) = (self.node.clock.now(), self.node.load.borrow());
        let mine = load.of_instance(self.node.incarnation());
        mine.filter(|(id, _, _)| is_asked(*id))
            .map(|(id, work, writing)| placed_work(now, id, work, writing))
            .collect()
    }

    /// This instance's long prompts that wait and are asked for.
    fn waiting(&self, is_asked: impl Fn(WorkId) -> bool) -> Vec<WaitingWork> {
        let (now, load) = (self.node.clock.now(), self.node.load.borrow());
        let own = self.node.incarnation();
        load.waiting()
            .filter(|(id, _)| id.instance == own && is_asked(*id))
            .map(|(id, waiting)| waiting_work(now, id, waiting))
            .collect()
    }

    fn split(&self, first: LoadDigest, placed: Vec<PlacedWork>) -> Vec<LoadDigest> {
        let mut digests = vec![first];
        for (at, work) in placed.into_iter().enumerate() {
            if at > 0 && at % WORK_PER_DATAGRAM == 0 {
                digests.push(self.digest());
            }
            digests.last_mut().expect("has a first").placed.push(work);
        }
        digests
    }

    fn tell(&self, digest: &LoadDigest, address: SocketAddrV4) {
        let bytes = digest.encode_to_vec();
        match self.socket.try_send_to(&bytes, address.into()) {
            Ok(sent) => self.node.metrics.peer_bytes(sent as u64),
            // A full link or a dead peer: the digest is a hint and goes without.
            Err(e) => log::debug!(target: "peers", peer:% = address, error:% = e; "not told"),
        }
    }

    /// Takes in digests for as long as the process lives.
    pub(crate) async fn receive(self: Rc<Self>) {
        let mut buf = vec![0; MAX_DATAGRAM];
        loop {
            let (len, from) = match self.socket.recv_from(&mut buf).await {
                Ok(received) => received,
                Err(e) => {
                    log::debug!(target: "peers", error:% = e; "nothing received");
                    continue;
                }
            };
            let SocketAddr::V4(from) = from else { continue };
            match LoadDigest::decode(&buf[..len]) {
                Ok(digest) => self.take_in(from, &digest),
                Err(e) => {
                    log::warn!(target: "peers", peer:% = from, error:% = e; "digest refused");
                }
            }
        }
    }

    fn take_in(&self, from: SocketAddrV4, digest: &LoadDigest) {
        let now = self.node.clock.now();
        let start = digest.incarnation;
        if start == self.node.incarnation() {
            return;
        }
        if digest.bye {
            self.node.peers.borrow_mut().left(from);
            self.node.load.borrow_mut().forget_instance(now, start);
            self.node.readers.borrow_mut().forget(start);
            log::info!(target: "peers", peer:% = from, start; "left");
            return;
        }
        let heard = self.node.peers.borrow_mut().heard(now, from, start);
        if let Heard::New { replaced } = heard {
            log::info!(target: "peers", peer:% = from, start; "heard");
            if let Some(replaced) = replaced {
                self.node.load.borrow_mut().forget_instance(now, replaced);
                self.node.readers.borrow_mut().forget(replaced);
            }
            // Its answer pairs the clocks.
            self.tell(&self.hello(), from);
        }
        if let Ok(data_centre) = digest.data_centre.parse() {
            self.node.peers.borrow_mut().runs_in(from, data_centre);
        }
        self.introduce_unknown(&digest.peers);
        if digest.hello {
            let all = self.placed(|_| true);
            let answer = LoadDigest {
                hello_clock_us: Some(digest.clock_us),
                waiting: self.waiting(|_| true),
                data_centre: self.node.cfg.borrow().data_centre.to_string(),
                peers: self.known_besides(from),
                ..self.digest()
            };
            for digest in self.split(answer, all) {
                self.tell(&digest, from);
            }
        }
        if let Some(own) = digest.hello_clock_us {
            let (own, peers) = (Timestamp(own), Timestamp(digest.clock_us));
            self.node.readers.borrow_mut().pair(start, own, peers);
        }
        self.note(now, start, digest);
        self.note_unfit(now, &digest.unfit);
        relayed::take_in(&self.node, now, from, digest);
    }

    /// The addresses of the instances that are there, but for one.
    fn known_besides(&self, one: SocketAddrV4) -> Vec<String> {
        let peers = self.node.peers.borrow();
        peers.heard_addresses().filter(|a| *a != one).map(|a| a.to_string()).collect()
    }

    /// Greets instances that another one named and that are not known yet.
    fn introduce_unknown(&self, named: &[String]) {
        let mut unknown: Vec<SocketAddrV4> = Vec::new();
        for address in named {
            match address.parse() {
                Ok(address) => unknown.push(address),
                Err(e) => log::warn!(target: "peers", address, error:% = e; "no address"),
            }
        }
        unknown.retain(|address| !self.node.peers.borrow().knows(*address));
        self.introduce(&unknown);
    }

    fn note_unfit(&self, now: Timestamp, unfit: &[String]) {
        for id in unfit {
            match id.parse() {
                Ok(id) => self.node.trust.borrow_mut().note(now, &id, TrustEvent::Bad),
                Err(e) => log::warn!(target: "peers", id, error:% = e; "no endpoint's id"),
            }
        }
    }

    fn note(&self, now: Timestamp, instance: u64, digest: &LoadDigest) {
        let mut load = self.node.load.borrow_mut();
        let id = |sequence: u64| WorkId { instance, sequence };
        for waiting in &digest.waiting {
            match waiting_of(now, waiting) {
                Ok(told) => load.wait(id(waiting.sequence), told),
                Err(e) => {
                    log::warn!(target: "peers", instance, error:% = e; "waiting work refused")
                }
            }
        }
        for placed in &digest.placed {
            match work_of(now, placed) {
                Ok(work) => {
                    load.place(now, id(placed.sequence), work);
                    if placed.writing {
                        load.first_event(id(placed.sequence));
                    }
                }
                Err(e) => log::warn!(target: "peers", instance, error:% = e; "work refused"),
            }
        }
        digest.writing.iter().for_each(|sequence| load.first_event(id(*sequence)));
        digest.ended.iter().for_each(|sequence| load.end(now, id(*sequence)));
        self.node.load_news.notify_waiters();
    }
}
