//! Membership gossip at growing numbers of instances: bytes, processor time, memory, and how long
//! a death, a leave, a settings version or a leaving endpoint takes to be known by all.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use ringbend_membership::{
    Action, Event, Member, MemberState, Membership, MembershipConfig, Message,
};
use ringbend_types::{EndpointId, Incarnation, InstanceId, Seed, SettingsVersion, Timestamp};
use ringbend_wire::{Envelope, Gossip, Message as _, envelope};
use serde::Serialize;

/// Random stream of the network.
const NETWORK: u64 = 21;

/// Bytes that QUIC, UDP and IP add to a datagram.
pub(crate) const DATAGRAM_OVERHEAD: u64 = 28 + 31;

/// One way between instances.
const LATENCY: Duration = Duration::from_micros(1_500);

/// The gossip settles for this long before anything is measured.
const SETTLE: Duration = Duration::from_secs(20);

/// Bytes and processor time are measured over this long.
const STEADY: Duration = Duration::from_secs(30);

/// How long an event may take to be known.
const KNOWN_WITHIN: Duration = Duration::from_secs(60);

/// How the gossip is measured.
#[derive(Debug, Clone)]
pub struct GossipConfig {
    /// How many instances.
    pub instances: usize,
    /// Part of the messages that get lost.
    pub loss: f64,
    /// Of the instances and the network.
    pub seed: u64,
    /// Read the processor's clock; without it the report is the same each time.
    pub processor_time: bool,
}

/// What was measured, per instance.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct GossipReport {
    /// How many instances.
    pub instances: usize,
    /// Part of the messages that got lost.
    pub loss: f64,
    /// Sent and received a second, with the datagrams' overhead.
    pub bytes_per_s: f64,
    /// Messages sent and received a second.
    pub messages_per_s: f64,
    /// Processor time of the decisions and the codec, in percent of one core.
    pub core_percent: Option<f64>,
    /// Memory of the members known, by their types' sizes and text.
    pub memory_bytes: u64,
    /// Until every live instance knew of a death, in seconds.
    pub death_known_s: f64,
    /// Until every live instance knew of a leave, in seconds.
    pub leave_known_s: f64,
    /// Until every live instance had heard of a settings version, in seconds.
    pub settings_known_s: f64,
    /// Until every live instance knew of a leaving endpoint, in seconds.
    pub endpoint_leaving_known_s: f64,
    /// Live instances taken for dead by another while all joined at once.
    pub false_deaths_joining: u64,
    /// Live instances taken for dead by another after that, one paused for a second.
    pub false_deaths: u64,
    /// Suspicions that a live instance had to refute.
    pub refuted: u64,
}

enum Happening {
    Wake(usize),
    Arrive(usize, Box<Message>),
}

struct Net {
    now: Timestamp,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    order: u64,
    rng: ChaCha8Rng,
    loss: f64,
    nodes: Vec<Membership>,
    silent: Vec<bool>,
    paused_until: Vec<Timestamp>,
    heard_version: Vec<SettingsVersion>,
    heard_leaving: Vec<bool>,
    bytes: u64,
    messages: u64,
    false_deaths: u64,
    spent: Option<Duration>,
}

/// Measures one size.
pub fn measure_gossip(cfg: &GossipConfig) -> GossipReport {
    let mut net = Net::new(cfg);
    net.run_for(SETTLE);
    let false_deaths_joining = std::mem::take(&mut net.false_deaths);
    net.bytes = 0;
    net.messages = 0;
    net.spent = cfg.processor_time.then_some(Duration::ZERO);
    net.run_for(STEADY);
    let per_instance = STEADY.as_secs_f64() * cfg.instances as f64;
    // Each byte is sent by one instance and received by another.
    let bytes_per_s = 2.0 * net.bytes as f64 / per_instance;
    let messages_per_s = 2.0 * net.messages as f64 / per_instance;
    let core_percent = net.spent.take().map(|spent| 100.0 * spent.as_secs_f64() / per_instance);
    let settings_known_s = net.spread_settings();
    let endpoint_leaving_known_s = net.spread_endpoint();
    net.pause_one();
    let leave_known_s = net.spread_state(cfg.instances - 1, MemberState::Leaving);
    let death_known_s = net.spread_state(cfg.instances - 2, MemberState::Dead);
    GossipReport {
        instances: cfg.instances,
        loss: cfg.loss,
        bytes_per_s,
        messages_per_s,
        core_percent,
        memory_bytes: memory(&net.nodes[0]),
        death_known_s,
        leave_known_s,
        settings_known_s,
        endpoint_leaving_known_s,
        false_deaths_joining,
        false_deaths: net.false_deaths,
        refuted: net.nodes.iter().map(Membership::refuted_suspicions).sum(),
    }
}

fn memory(node: &Membership) -> u64 {
    let members = node.members();
    let of = |m: &Member| std::mem::size_of::<Member>() + 2 * m.id.as_str().len() + 64;
    members.map(of).sum::<usize>() as u64
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 7_000))
}

fn id(n: usize) -> InstanceId {
    format!("instance-{n}").parse().unwrap_or_else(|_| unreachable!("a valid id"))
}

fn node_at(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => 0,
    }
}

impl Net {
    fn new(cfg: &GossipConfig) -> Self {
        let n = cfg.instances;
        let seeds: Vec<SocketAddr> = (0..3.min(n)).map(address).collect();
        let node = |at: usize| {
            let seed = Seed(cfg.seed.wrapping_mul(10_000).wrapping_add(at as u64));
            let incarnation = Incarnation(1_000_000);
            let gossip = MembershipConfig::default();
            Membership::new(gossip, id(at), address(at), incarnation, seeds.clone(), seed)
        };
        let mut net = Self {
            now: Timestamp::default(),
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            order: 0,
            rng: Seed(cfg.seed).rng(NETWORK),
            loss: cfg.loss,
            nodes: (0..n).map(node).collect(),
            silent: vec![false; n],
            paused_until: vec![Timestamp::default(); n],
            heard_version: vec![SettingsVersion(0); n],
            heard_leaving: vec![false; n],
            bytes: 0,
            messages: 0,
            false_deaths: 0,
            spent: None,
        };
        for at in 0..n {
            let start = Timestamp(net.rng.random_range(0..200_000));
            net.at(start, Happening::Wake(at));
        }
        net
    }

    fn at(&mut self, at: Timestamp, happening: Happening) {
        self.order += 1;
        self.happenings.insert(self.order, happening);
        self.queue.push(Reverse((at, self.order)));
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        self.run_until(end, |_| false);
        self.now = end;
    }

    /// Runs until the condition holds or the time is over.
    fn run_until(&mut self, end: Timestamp, done: impl Fn(&Self) -> bool) {
        while let Some(Reverse((at, order))) = self.queue.peek().copied() {
            if at > end || done(self) {
                return;
            }
            self.queue.pop();
            self.now = at;
            match self.happenings.remove(&order) {
                Some(Happening::Wake(node)) => {
                    let resumes = self.paused_until[node];
                    if resumes > self.now {
                        self.at(resumes, Happening::Wake(node));
                        continue;
                    }
                    self.handle(node, Event::Tick);
                    let wake =
                        self.nodes[node].next_wakeup().max(self.now + Duration::from_millis(1));
                    self.at(wake, Happening::Wake(node));
                }
                Some(Happening::Arrive(node, message)) => {
                    let resumes = self.paused_until[node];
                    if resumes > self.now {
                        self.at(resumes, Happening::Arrive(node, message));
                    } else {
                        self.handle(node, Event::Received(*message));
                    }
                }
                None => {}
            }
        }
    }

    fn handle(&mut self, node: usize, event: Event) {
        if self.silent[node] {
            return;
        }
        let begun = self.spent.is_some().then(Instant::now);
        let actions = self.nodes[node].handle(self.now, event);
        if let (Some(begun), Some(spent)) = (begun, &mut self.spent) {
            *spent += begun.elapsed();
        }
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(to, message),
                Action::Changed(member) => {
                    let about = node_at(member.address);
                    if member.state == MemberState::Dead && !self.silent[about] {
                        self.false_deaths += 1;
                    }
                }
                Action::NewerSettings(_, version) => {
                    // The driver fetches the entries and then has them in force.
                    self.heard_version[node] = version;
                    self.handle(node, Event::Settings(version));
                }
                Action::EndpointLeaving(endpoint) => {
                    if !std::mem::replace(&mut self.heard_leaving[node], true) {
                        self.handle(node, Event::EndpointLeaving(endpoint));
                    }
                }
            }
        }
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        let begun = self.spent.is_some().then(Instant::now);
        let envelope = Envelope { body: Some(envelope::Body::Gossip(Gossip::from(&message))) };
        let bytes = envelope.encode_to_vec();
        self.bytes += bytes.len() as u64 + DATAGRAM_OVERHEAD;
        self.messages += 1;
        if self.rng.random_bool(self.loss) {
            return;
        }
        let jitter = Duration::from_micros(self.rng.random_range(0..500));
        let decoded = Envelope::decode(bytes.as_slice()).ok().and_then(|e| e.body);
        if let (Some(begun), Some(spent)) = (begun, &mut self.spent) {
            *spent += begun.elapsed();
        }
        if let Some(envelope::Body::Gossip(gossip)) = decoded
            && let Ok(message) = Message::try_from(gossip)
        {
            let arrival = Happening::Arrive(node_at(to), Box::new(message));
            self.at(self.now + LATENCY + jitter, arrival);
        }
    }

    fn spread_settings(&mut self) -> f64 {
        let version = SettingsVersion(1);
        self.heard_version[0] = version;
        self.handle(0, Event::Settings(version));
        self.time_until(|net| net.heard_version.iter().all(|heard| *heard == version))
    }

    fn spread_endpoint(&mut self) -> f64 {
        let Ok(endpoint) = "engine-1".parse::<EndpointId>() else { return 0.0 };
        self.heard_leaving[0] = true;
        self.handle(0, Event::EndpointLeaving(endpoint));
        self.time_until(|net| net.heard_leaving.iter().all(|heard| *heard))
    }

    /// One instance stands still for a second, then goes on.
    fn pause_one(&mut self) {
        self.paused_until[1] = self.now + Duration::from_secs(1);
        self.run_for(Duration::from_secs(10));
    }

    fn spread_state(&mut self, node: usize, state: MemberState) -> f64 {
        if state == MemberState::Leaving {
            self.handle(node, Event::Leave);
        } else {
            self.silent[node] = true;
        }
        let gone = id(node);
        self.time_until(move |net| {
            net.nodes.iter().enumerate().all(|(at, other)| {
                let known = other.members().find(|m| m.id == gone);
                at == node || net.silent[at] || known.is_none_or(|m| m.state >= state)
            })
        })
    }

    fn time_until(&mut self, done: impl Fn(&Self) -> bool) -> f64 {
        let begun = self.now;
        self.run_until(begun + KNOWN_WITHIN, done);
        self.now.since(begun).as_secs_f64()
    }
}
