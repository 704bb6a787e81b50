//! A model of a fleet: the decision modules of all instances, a network and a store, without real time.
//!
//! Instances have no seeds, and all of them schedule, as they do in data centres of up to three. The
//! driver of the relay is reproduced as far as it acts on the decisions.

use std::collections::{BTreeSet, VecDeque};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use ringbend_gateway::{
    HEARTBEAT_INTERVAL, InstanceRank, Membership, PeerStatus, Peers, RECOVERY_INTERVAL,
    RegisteredInstance, Role,
};
use ringbend_types::{DataCentre, Timestamp};

/// The processor time of all instances.
const CAPACITY: u32 = 100;

/// What may happen to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Event {
    Start(usize),
    /// The process ends without notice; its row remains.
    Kill(usize),
    /// The process announces its end and removes its row, if the store is available.
    Stop(usize),
    /// The network between the data centres fails, or works again.
    TogglePartition,
    /// The network between the first instance and all others fails, or works again.
    ToggleIsolation,
    /// The store becomes unavailable, or available again.
    ToggleStore,
    /// All rows are lost.
    LoseRows,
    /// All datagrams are lost for a while.
    LoseDatagrams,
    /// Longer than silent peers are remembered.
    Wait,
}

#[derive(Debug, Clone)]
struct Instance {
    start: u64,
    peers: Peers,
    membership: Membership,
    /// Whether it has still to register, and has written its row already.
    registration: Option<bool>,
    /// The incarnations whose clocks are paired, so that they get no further hello.
    paired: BTreeSet<u64>,
    next_heartbeat: Timestamp,
}

#[derive(Debug, Clone, Copy)]
enum Kind {
    Hello,
    Reply,
    Heartbeat,
}

#[derive(Debug, Clone)]
pub(crate) struct Fleet {
    pub(crate) now: Timestamp,
    per_centre: usize,
    instances: Vec<Option<Instance>>,
    rows: BTreeSet<usize>,
    is_partitioned: bool,
    is_first_isolated: bool,
    is_store_available: bool,
    loses_datagrams: bool,
    starts: u64,
    /// Pairs of incarnations that have heard each other.
    acquainted: BTreeSet<(u64, u64)>,
    queue: VecDeque<(usize, usize, Kind)>,
    pub(crate) store_calls: usize,
}

impl Fleet {
    pub(crate) fn new(per_centre: usize) -> Self {
        Self {
            now: Timestamp::from_millis(60_000),
            per_centre,
            instances: vec![None; 2 * per_centre],
            rows: BTreeSet::new(),
            is_partitioned: false,
            is_first_isolated: false,
            is_store_available: true,
            loses_datagrams: false,
            starts: 0,
            acquainted: BTreeSet::new(),
            queue: VecDeque::new(),
            store_calls: 0,
        }
    }

    pub(crate) fn size(&self) -> usize {
        self.instances.len()
    }

    pub(crate) fn is_running(&self, i: usize) -> bool {
        self.instances[i].is_some()
    }

    fn centre(&self, i: usize) -> DataCentre {
        if i < self.per_centre { "z1" } else { "z2" }.parse().unwrap()
    }

    fn running(&self) -> Vec<usize> {
        (0..self.size()).filter(|i| self.is_running(*i)).collect()
    }

    fn is_connected(&self, i: usize, j: usize) -> bool {
        let is_isolated = self.is_first_isolated && (i == 0 || j == 0);
        let is_cut = self.is_partitioned && (i < self.per_centre) != (j < self.per_centre);
        !is_isolated && !is_cut
    }

    /// Applies an event and lets some time pass.
    pub(crate) fn apply(&mut self, event: Event) {
        match event {
            Event::Start(i) => self.start(i),
            Event::Kill(i) => self.instances[i] = None,
            Event::Stop(i) => self.stop(i),
            Event::TogglePartition => self.is_partitioned ^= true,
            Event::ToggleIsolation => self.is_first_isolated ^= true,
            Event::ToggleStore => self.is_store_available ^= true,
            Event::LoseRows => self.rows.clear(),
            Event::LoseDatagrams => self.loses_datagrams = true,
            Event::Wait => (0..36).for_each(|_| self.advance(HEARTBEAT_INTERVAL)),
        }
        self.advance(RECOVERY_INTERVAL);
        self.loses_datagrams = false;
    }

    /// Ends the partitions, and the outage of the store if `store` is set.
    pub(crate) fn heal(&mut self, store: bool) {
        (self.is_partitioned, self.is_first_isolated) = (false, false);
        self.is_store_available |= store;
    }

    fn start(&mut self, i: usize) {
        self.starts += 1;
        let home = self.centre(i);
        let mut peers = Peers::new(self.now, home.clone(), InstanceRank::new(CAPACITY, address(i)));
        peers.become_scheduler();
        let mut membership = Membership::new(home);
        membership.set_own_address(address(i));
        self.instances[i] = Some(Instance {
            start: self.starts,
            peers,
            membership,
            registration: Some(false),
            paired: BTreeSet::new(),
            next_heartbeat: self.now,
        });
    }

    fn stop(&mut self, i: usize) {
        if self.is_store_available {
            self.rows.remove(&i);
        }
        self.instances[i] = None;
        for j in self.running() {
            if self.is_connected(i, j) {
                let instance = self.instances[j].as_mut().unwrap();
                instance.peers.remove(address(i));
                instance.membership.remove(address(i));
            }
        }
    }

    /// Lets time pass in one step, with all that is due after it.
    pub(crate) fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
        if self.is_store_available {
            self.register_all();
            self.follow_registry();
        }
        for i in self.running() {
            self.greet_unheard(i);
            self.send_heartbeats(i);
            self.instances[i].as_mut().unwrap().peers.sweep(self.now);
        }
        while let Some((from, to, kind)) = self.queue.pop_front() {
            self.deliver(from, to, kind);
        }
    }

    /// All instances that start read before any of them writes, the worst order.
    fn register_all(&mut self) {
        let due: Vec<usize> = self
            .running()
            .into_iter()
            .filter(|i| self.instance(*i).registration.is_some())
            .collect();
        let rows = self.rows.clone();
        for i in due {
            self.store_calls += 1;
            self.read_rows(i, &rows);
            let has_written = self.instance(i).registration == Some(true);
            let is_done = has_written || rows.contains(&i);
            if !is_done {
                self.store_calls += 1;
                self.rows.insert(i);
            }
            self.instances[i].as_mut().unwrap().registration = (!is_done).then_some(true);
        }
    }

    /// In each group of instances that hear each other, one follows the registry.
    fn follow_registry(&mut self) {
        let (now, rows) = (self.now, self.rows.clone());
        let hears = |i: usize, j: usize| self.instance(i).peers.is_alive(now, address(j));
        let running = self.running();
        let is_reader = |i: &usize| !running.iter().any(|j| j < i && hears(*i, *j));
        let readers: Vec<usize> = running.iter().copied().filter(is_reader).collect();
        for reader in readers {
            self.read_rows(reader, &rows);
            let membership = &mut self.instances[reader].as_mut().unwrap().membership;
            let lacks_own_row = membership.lacks_own_row();
            let missing = membership.unregistered(now);
            let is_asked = |i: &usize| {
                let is_reached = missing.contains(&address(*i)) && self.is_connected(reader, *i);
                is_reached || (*i == reader && lacks_own_row)
            };
            let asked: Vec<usize> = running.iter().copied().filter(is_asked).collect();
            self.rows.extend(asked);
        }
    }

    fn read_rows(&mut self, i: usize, rows: &BTreeSet<usize>) {
        let row = |j: &usize| RegisteredInstance {
            address: address(*j),
            data_centre: Some(self.centre(*j)),
            capacity: CAPACITY,
        };
        let rows: Vec<_> = rows.iter().map(row).collect();
        let now = self.now;
        self.instances[i].as_mut().unwrap().membership.set_rows(now, &rows);
    }

    fn instance(&self, i: usize) -> &Instance {
        self.instances[i].as_ref().unwrap()
    }

    fn greet_unheard(&mut self, i: usize) {
        let now = self.now;
        let Instance { peers, membership, .. } = self.instances[i].as_mut().unwrap();
        membership.observe(now, peers);
        let addresses = membership.greetings(now, peers);
        self.greet(i, &addresses);
    }

    fn greet(&mut self, i: usize, addresses: &[SocketAddrV4]) {
        let now = self.now;
        for to in addresses.iter().filter(|to| **to != address(i)) {
            if self.instances[i].as_mut().unwrap().peers.begin_greeting(now, *to) {
                self.queue.push_back((i, number(*to), Kind::Hello));
            }
        }
    }

    fn send_heartbeats(&mut self, i: usize) {
        let now = self.now;
        if self.instance(i).next_heartbeat > now {
            return;
        }
        let peers = &self.instance(i).peers;
        let recipients: BTreeSet<SocketAddrV4> = peers
            .other_schedulers(now)
            .into_iter()
            .chain(peers.members(now))
            .chain(peers.silent_schedulers(now))
            .collect();
        self.queue.extend(recipients.iter().map(|to| (i, number(*to), Kind::Heartbeat)));
        self.instances[i].as_mut().unwrap().next_heartbeat = now + HEARTBEAT_INTERVAL;
    }

    fn deliver(&mut self, from: usize, to: usize, kind: Kind) {
        let is_lost = self.loses_datagrams || !self.is_connected(from, to);
        if is_lost || !self.is_running(from) || !self.is_running(to) {
            return;
        }
        let (now, start, centre) = (self.now, self.instance(from).start, self.centre(from));
        let status = PeerStatus { role: Role::Scheduler, instances: 1, fleet: 1, possible: 1 };
        let sender_names = self.instance(from).peers.other_schedulers(now);
        let receiver = self.instances[to].as_mut().unwrap();
        receiver.peers.record_digest(now, address(from), start);
        receiver.peers.describe(address(from), centre, CAPACITY);
        receiver.peers.set_status(address(from), status);
        self.acquainted.insert((receiver.start, start));
        match kind {
            Kind::Hello => self.queue.push_back((to, from, Kind::Reply)),
            Kind::Reply => {
                receiver.paired.insert(start);
                receiver.membership.add_named(now, &sender_names);
                self.greet(to, &sender_names);
            }
            Kind::Heartbeat => {}
        }
        let receiver = self.instances[to].as_mut().unwrap();
        if !receiver.paired.contains(&start) && receiver.peers.begin_hello(now, address(from)) {
            self.queue.push_back((to, from, Kind::Hello));
        }
    }

    /// Pairs of running instances of which the first does not know the second; with `acquainted`
    /// only pairs that had heard each other.
    pub(crate) fn unknown_pairs(&self, acquainted: bool) -> Vec<(usize, usize)> {
        let running = self.running();
        let pairs = running.iter().flat_map(|i| running.iter().map(move |j| (*i, *j)));
        let knows = |i: usize, j: usize| self.instance(i).peers.is_alive(self.now, address(j));
        let counts = |i: usize, j: usize| {
            let (a, b) = (self.instance(i).start, self.instance(j).start);
            let is_mutual = self.acquainted.contains(&(a, b)) && self.acquainted.contains(&(b, a));
            !acquainted || is_mutual
        };
        pairs.filter(|(i, j)| i != j && counts(*i, *j) && !knows(*i, *j)).collect()
    }

    /// The largest number of instances, including those that do not run, that one instance knows.
    pub(crate) fn most_known(&self) -> usize {
        let known = self.running().into_iter().map(|i| self.instance(i).peers.instances(self.now));
        known.max().unwrap_or(0)
    }

    pub(crate) fn running_count(&self) -> usize {
        self.running().len()
    }
}

fn address(i: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, i as u8), 7_000)
}

fn number(address: SocketAddrV4) -> usize {
    usize::from(address.ip().octets()[3])
}
