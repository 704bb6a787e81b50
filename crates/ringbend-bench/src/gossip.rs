//! Benchmark of the membership gossip at growing numbers of instances: bandwidth, CPU time, memory,
//! and the time until all instances know of a crash, a leave, a settings version or a leaving
//! endpoint.

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

/// Random number stream of the simulated network.
const NETWORK_STREAM: u64 = 21;

/// Bytes that the QUIC, UDP and IP headers add to a datagram.
pub(crate) const DATAGRAM_OVERHEAD: u64 = 28 + 31;

/// One-way latency between instances.
const LATENCY: Duration = Duration::from_micros(1_500);

/// Time for the membership to converge before the measurements start.
const CONVERGENCE_TIME: Duration = Duration::from_secs(20);

/// Time over which bandwidth and CPU time are measured.
const MEASUREMENT_TIME: Duration = Duration::from_secs(30);

/// Upper bound of a measured propagation time.
const MAX_PROPAGATION_TIME: Duration = Duration::from_secs(60);

/// Parameters of a gossip benchmark.
#[derive(Debug, Clone)]
pub struct GossipConfig {
    /// Number of instances.
    pub instances: usize,
    /// Fraction of messages to drop.
    pub loss: f64,
    /// Seed of the instances and the network.
    pub seed: u64,
    /// Whether to measure CPU time; without it, runs with the same seed give identical reports.
    pub processor_time: bool,
}

/// Result of a gossip benchmark. Rates and sizes are per instance.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct GossipReport {
    /// Number of instances.
    pub instances: usize,
    /// Fraction of messages that were dropped.
    pub loss: f64,
    /// Bytes sent and received per second, including the datagram overhead.
    pub bytes_per_s: f64,
    /// Messages sent and received per second.
    pub messages_per_s: f64,
    /// CPU time of the membership logic and the codec, in percent of one core.
    pub core_percent: Option<f64>,
    /// Estimated memory of the member table, from the size of its type and the length of its text.
    pub memory_bytes: u64,
    /// Time until every live instance knew of a crash, in seconds.
    pub death_known_s: f64,
    /// Time until every live instance knew of a leave, in seconds.
    pub leave_known_s: f64,
    /// Time until every live instance knew of a settings version, in seconds.
    pub settings_known_s: f64,
    /// Time until every live instance knew of a leaving endpoint, in seconds.
    pub endpoint_leaving_known_s: f64,
    /// Times that an instance declared a live one dead while all joined at once.
    pub false_deaths_joining: u64,
    /// Times that an instance declared a live one dead after that. One instance pauses for 1 s in
    /// this time.
    pub false_deaths: u64,
    /// Suspicions that live instances refuted.
    pub refuted: u64,
}

enum NetworkEvent {
    Wake(usize),
    Deliver(usize, Box<Message>),
}

struct GossipSimulation {
    now: Timestamp,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    events: BTreeMap<u64, NetworkEvent>,
    event_id: u64,
    rng: ChaCha8Rng,
    loss: f64,
    nodes: Vec<Membership>,
    crashed: Vec<bool>,
    paused_until: Vec<Timestamp>,
    known_version: Vec<SettingsVersion>,
    knows_leaving: Vec<bool>,
    bytes: u64,
    messages: u64,
    false_deaths: u64,
    cpu_time: Option<Duration>,
}

/// Runs the benchmark at one number of instances.
pub fn measure_gossip(cfg: &GossipConfig) -> GossipReport {
    let mut simulation = GossipSimulation::new(cfg);
    simulation.run_for(CONVERGENCE_TIME);
    let false_deaths_joining = std::mem::take(&mut simulation.false_deaths);
    simulation.bytes = 0;
    simulation.messages = 0;
    simulation.cpu_time = cfg.processor_time.then_some(Duration::ZERO);
    simulation.run_for(MEASUREMENT_TIME);
    let per_instance = MEASUREMENT_TIME.as_secs_f64() * cfg.instances as f64;
    // Each byte is sent by one instance and received by another.
    let bytes_per_s = 2.0 * simulation.bytes as f64 / per_instance;
    let messages_per_s = 2.0 * simulation.messages as f64 / per_instance;
    let core_percent =
        simulation.cpu_time.take().map(|cpu_time| 100.0 * cpu_time.as_secs_f64() / per_instance);
    let settings_known_s = simulation.measure_settings_propagation();
    let endpoint_leaving_known_s = simulation.measure_endpoint_propagation();
    simulation.pause_one_instance();
    let leave_known_s =
        simulation.measure_state_propagation(cfg.instances - 1, MemberState::Leaving);
    let death_known_s = simulation.measure_state_propagation(cfg.instances - 2, MemberState::Dead);
    GossipReport {
        instances: cfg.instances,
        loss: cfg.loss,
        bytes_per_s,
        messages_per_s,
        core_percent,
        memory_bytes: member_table_bytes(&simulation.nodes[0]),
        death_known_s,
        leave_known_s,
        settings_known_s,
        endpoint_leaving_known_s,
        false_deaths_joining,
        false_deaths: simulation.false_deaths,
        refuted: simulation.nodes.iter().map(Membership::refuted_suspicions).sum(),
    }
}

fn member_table_bytes(node: &Membership) -> u64 {
    let members = node.members();
    let member_bytes = |m: &Member| std::mem::size_of::<Member>() + 2 * m.id.as_str().len() + 64;
    members.map(member_bytes).sum::<usize>() as u64
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (n / 250) as u8, (n % 250) as u8], 7_000))
}

fn id(n: usize) -> InstanceId {
    format!("instance-{n}").parse().unwrap_or_else(|_| unreachable!("a valid id"))
}

fn node_index(address: SocketAddr) -> usize {
    match address.ip() {
        std::net::IpAddr::V4(ip) => usize::from(ip.octets()[2]) * 250 + usize::from(ip.octets()[3]),
        std::net::IpAddr::V6(_) => 0,
    }
}

impl GossipSimulation {
    fn new(cfg: &GossipConfig) -> Self {
        let n = cfg.instances;
        let seeds: Vec<SocketAddr> = (0..3.min(n)).map(address).collect();
        let node = |at: usize| {
            let seed = Seed(cfg.seed.wrapping_mul(10_000).wrapping_add(at as u64));
            let incarnation = Incarnation(1_000_000);
            let gossip = MembershipConfig::default();
            Membership::new(gossip, id(at), address(at), incarnation, seeds.clone(), seed)
        };
        let mut simulation = Self {
            now: Timestamp::default(),
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            event_id: 0,
            rng: Seed(cfg.seed).rng(NETWORK_STREAM),
            loss: cfg.loss,
            nodes: (0..n).map(node).collect(),
            crashed: vec![false; n],
            paused_until: vec![Timestamp::default(); n],
            known_version: vec![SettingsVersion(0); n],
            knows_leaving: vec![false; n],
            bytes: 0,
            messages: 0,
            false_deaths: 0,
            cpu_time: None,
        };
        for at in 0..n {
            let start = Timestamp(simulation.rng.random_range(0..200_000));
            simulation.schedule_at(start, NetworkEvent::Wake(at));
        }
        simulation
    }

    fn schedule_at(&mut self, at: Timestamp, network_event: NetworkEvent) {
        self.event_id += 1;
        self.events.insert(self.event_id, network_event);
        self.queue.push(Reverse((at, self.event_id)));
    }

    fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        self.run_until(end, |_| false);
        self.now = end;
    }

    /// Runs until `done` returns true or the time reaches `end`.
    fn run_until(&mut self, end: Timestamp, done: impl Fn(&Self) -> bool) {
        while let Some(Reverse((at, event_id))) = self.queue.peek().copied() {
            if at > end || done(self) {
                return;
            }
            self.queue.pop();
            self.now = at;
            match self.events.remove(&event_id) {
                Some(NetworkEvent::Wake(node)) => {
                    let resumes_at = self.paused_until[node];
                    if resumes_at > self.now {
                        self.schedule_at(resumes_at, NetworkEvent::Wake(node));
                        continue;
                    }
                    self.handle(node, Event::Tick);
                    let wake =
                        self.nodes[node].next_wakeup().max(self.now + Duration::from_millis(1));
                    self.schedule_at(wake, NetworkEvent::Wake(node));
                }
                Some(NetworkEvent::Deliver(node, message)) => {
                    let resumes_at = self.paused_until[node];
                    if resumes_at > self.now {
                        self.schedule_at(resumes_at, NetworkEvent::Deliver(node, message));
                    } else {
                        self.handle(node, Event::Received(*message));
                    }
                }
                None => {}
            }
        }
    }

    fn handle(&mut self, node: usize, event: Event) {
        if self.crashed[node] {
            return;
        }
        let started = self.cpu_time.is_some().then(Instant::now);
        let actions = self.nodes[node].handle(self.now, event);
        if let (Some(started), Some(cpu_time)) = (started, &mut self.cpu_time) {
            *cpu_time += started.elapsed();
        }
        for action in actions {
            match action {
                Action::Send(to, message) => self.send(to, message),
                Action::Changed(member) => {
                    let about = node_index(member.address);
                    if member.state == MemberState::Dead && !self.crashed[about] {
                        self.false_deaths += 1;
                    }
                }
                Action::NewerSettings(_, version) => {
                    // A real driver fetches the settings entries first and then applies them.
                    self.known_version[node] = version;
                    self.handle(node, Event::Settings(version));
                }
                Action::EndpointLeaving(endpoint) => {
                    if !std::mem::replace(&mut self.knows_leaving[node], true) {
                        self.handle(node, Event::EndpointLeaving(endpoint));
                    }
                }
            }
        }
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        let started = self.cpu_time.is_some().then(Instant::now);
        let envelope = Envelope { body: Some(envelope::Body::Gossip(Gossip::from(&message))) };
        let bytes = envelope.encode_to_vec();
        self.bytes += bytes.len() as u64 + DATAGRAM_OVERHEAD;
        self.messages += 1;
        if self.rng.random_bool(self.loss) {
            return;
        }
        let jitter = Duration::from_micros(self.rng.random_range(0..500));
        let decoded = Envelope::decode(bytes.as_slice()).ok().and_then(|e| e.body);
        if let (Some(started), Some(cpu_time)) = (started, &mut self.cpu_time) {
            *cpu_time += started.elapsed();
        }
        if let Some(envelope::Body::Gossip(gossip)) = decoded
            && let Ok(message) = Message::try_from(gossip)
        {
            let arrival = NetworkEvent::Deliver(node_index(to), Box::new(message));
            self.schedule_at(self.now + LATENCY + jitter, arrival);
        }
    }

    fn measure_settings_propagation(&mut self) -> f64 {
        let version = SettingsVersion(1);
        self.known_version[0] = version;
        self.handle(0, Event::Settings(version));
        self.time_until(|simulation| {
            simulation.known_version.iter().all(|current| *current == version)
        })
    }

    fn measure_endpoint_propagation(&mut self) -> f64 {
        let Ok(endpoint) = "engine-1".parse::<EndpointId>() else { return 0.0 };
        self.knows_leaving[0] = true;
        self.handle(0, Event::EndpointLeaving(endpoint));
        self.time_until(|simulation| simulation.knows_leaving.iter().all(|informed| *informed))
    }

    /// Pauses one instance for 1 s and runs for 10 s, to check for false deaths.
    fn pause_one_instance(&mut self) {
        self.paused_until[1] = self.now + Duration::from_secs(1);
        self.run_for(Duration::from_secs(10));
    }

    fn measure_state_propagation(&mut self, node: usize, state: MemberState) -> f64 {
        if state == MemberState::Leaving {
            self.handle(node, Event::Leave);
        } else {
            self.crashed[node] = true;
        }
        let changed = id(node);
        self.time_until(move |simulation| {
            simulation.nodes.iter().enumerate().all(|(at, other)| {
                let known = other.members().find(|m| m.id == changed);
                at == node || simulation.crashed[at] || known.is_none_or(|m| m.state >= state)
            })
        })
    }

    fn time_until(&mut self, done: impl Fn(&Self) -> bool) -> f64 {
        let started = self.now;
        self.run_until(started + MAX_PROPAGATION_TIME, done);
        self.now.since(started).as_secs_f64()
    }
}
