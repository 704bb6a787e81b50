//! Benchmark of how instances share an account's rate limit, for different placements of the demand.

use std::collections::VecDeque;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use ringbend_policy::{
    GrantReply, GrantRequest, LimitShares, LimitVerdict, Limits, ShareAction, ShareConfig,
    ShareEvent,
};
use ringbend_settings::configs::LimitsConfig;
use ringbend_types::{ClientAccountId, InstanceId, Timestamp, TokenCount};
use ringbend_wire::{Envelope, Message, envelope};
use serde::Serialize;

use crate::gossip::DATAGRAM_OVERHEAD;

/// Rate limit of the account, in tokens per second.
const RATE: u64 = 100_000;

/// Cost of one request, in tokens.
const COST: u64 = 1_000;

/// Offered load of all instances together, as a multiple of the limit.
const OFFERED_LOAD: f64 = 3.0;

/// One-way latency between instances.
const LATENCY: Duration = Duration::from_micros(1_500);

/// Time step of the simulation.
const STEP: Duration = Duration::from_millis(1);

/// Duration of a run.
const DURATION: Duration = Duration::from_secs(90);

/// Start of the measurement. Before this, the token buckets drain: they start full.
const WARM_UP: Duration = Duration::from_secs(20);

/// Length of the sliding window over which usage is measured.
const WINDOW: Duration = Duration::from_secs(10);

/// Where the demand is, and which fault occurs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareScenario {
    /// All demand is at one instance.
    Skewed,
    /// All demand is at one instance, and moves to another one every 15 s.
    Moving,
    /// Equal demand at all instances; the instance that owns the account's limit crashes.
    OwnerLoss,
    /// Equal demand at all instances; a network partition separates four of nine instances from the
    /// other five for 40 s.
    Cut,
}

impl ShareScenario {
    /// All scenarios, in declaration order.
    pub const ALL: [Self; 4] = [Self::Skewed, Self::Moving, Self::OwnerLoss, Self::Cut];

    /// Name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Skewed => "skewed",
            Self::Moving => "moving",
            Self::OwnerLoss => "owner-loss",
            Self::Cut => "cut",
        }
    }
}

/// The text is not the name of a scenario.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseShareScenarioError;

impl fmt::Display for ParseShareScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected one of {}", ShareScenario::ALL.map(ShareScenario::as_str).join(", "))
    }
}

impl std::error::Error for ParseShareScenarioError {}

impl FromStr for ShareScenario {
    type Err = ParseShareScenarioError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL.into_iter().find(|s| s.as_str() == text).ok_or(ParseShareScenarioError)
    }
}

/// Result of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ShareRun {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Number of instances that share the limit.
    pub instances: usize,
    /// `owner-leased` if instances lease shares from an owner, `equal-split` if they split the limit
    /// equally.
    pub policy: &'static str,
    /// Highest usage above the limit over any 10 s, in percent of the limit.
    pub overshoot_percent: f64,
    /// Largest unused part of the limit over any 10 s, in percent of the limit.
    pub under_use_percent: f64,
    /// Unused part of the limit over the whole measurement, in percent of the limit.
    pub mean_under_use_percent: f64,
    /// Messages between instances per second.
    pub messages_per_s: f64,
    /// Bytes that an instance sends and receives per second for this one account, including the
    /// datagram overhead.
    pub bytes_per_s: f64,
}

enum InFlightMessage {
    Request(usize, GrantRequest),
    Reply(usize, GrantReply),
}

struct ShareSimulation {
    scenario: ShareScenario,
    leased: bool,
    now: Timestamp,
    shares: Vec<LimitShares>,
    limits: Vec<Limits>,
    alive: Vec<bool>,
    in_flight: VecDeque<(Timestamp, InFlightMessage)>,
    n: usize,
    messages: u64,
    bytes: u64,
    pending_demand: Vec<f64>,
    cfg: LimitsConfig,
}

fn account() -> ClientAccountId {
    "peach".parse().unwrap_or_else(|_| unreachable!("a valid account"))
}

fn instance(n: usize) -> InstanceId {
    format!("instance-{n}").parse().unwrap_or_else(|_| unreachable!("a valid instance"))
}

fn instance_index(id: &InstanceId) -> usize {
    id.as_str().trim_start_matches("instance-").parse().unwrap_or(0)
}

/// Runs one scenario. If `leased`, instances lease shares from an owner; otherwise they split the
/// limit equally.
pub fn measure_shares(scenario: ShareScenario, leased: bool, instances: usize) -> ShareRun {
    let mut simulation = ShareSimulation::new(scenario, leased, instances);
    let steps = DURATION.as_millis() / STEP.as_millis();
    let mut used = Vec::new();
    for _ in 0..steps {
        used.push(simulation.step());
        simulation.now = simulation.now + STEP;
    }
    let seconds = DURATION.as_secs_f64();
    simulation.report(&used, seconds)
}

impl ShareSimulation {
    fn new(scenario: ShareScenario, leased: bool, n: usize) -> Self {
        let shares = (0..n).map(|n| LimitShares::new(ShareConfig::default(), instance(n)));
        let cfg = LimitsConfig { tokens_per_s: RATE, burst_s: 1, ..LimitsConfig::default() };
        let mut simulation = Self {
            scenario,
            leased,
            now: Timestamp::default(),
            shares: shares.collect(),
            limits: (0..n).map(|_| Limits::default()).collect(),
            alive: vec![true; n],
            in_flight: VecDeque::new(),
            n,
            messages: 0,
            bytes: 0,
            pending_demand: vec![0.0; n],
            cfg,
        };
        simulation.update_peers();
        simulation
    }

    fn update_peers(&mut self) {
        for n in 0..self.n {
            let live = (0..self.n).filter(|o| self.alive[*o] && self.can_reach(n, *o));
            let live: Vec<InstanceId> = live.map(instance).collect();
            let event = ShareEvent::Peers { live, expected: self.n };
            self.handle_event(n, event);
            let equal = self.shares[n].equal_share();
            self.limits[n].set_default_share(equal);
        }
    }

    fn seconds(&self) -> f64 {
        self.now.as_secs_f64()
    }

    fn is_partitioned(&self) -> bool {
        self.scenario == ShareScenario::Cut && (30.0..70.0).contains(&self.seconds())
    }

    fn can_reach(&self, one: usize, other: usize) -> bool {
        !self.is_partitioned() || (one < self.n * 4 / 9) == (other < self.n * 4 / 9)
    }

    fn demand(&self, n: usize) -> f64 {
        let all = RATE as f64 * OFFERED_LOAD;
        match self.scenario {
            ShareScenario::Skewed => {
                if n == 3 {
                    all
                } else {
                    0.0
                }
            }
            ShareScenario::Moving => {
                let at = (self.seconds() / 15.0) as usize * 2 % self.n;
                if n == at { all } else { 0.0 }
            }
            ShareScenario::OwnerLoss | ShareScenario::Cut => {
                if self.alive[n] {
                    all / self.n as f64
                } else {
                    0.0
                }
            }
        }
    }

    /// Runs one time step and returns the tokens used in it.
    fn step(&mut self) -> u64 {
        self.apply_faults();
        self.deliver();
        let mut used = 0;
        for n in 0..self.n {
            if !self.alive[n] {
                continue;
            }
            if self.leased && self.shares[n].next_wakeup() <= self.now {
                self.handle_event(n, ShareEvent::Tick);
            }
            self.pending_demand[n] += self.demand(n) * STEP.as_secs_f64();
            while self.pending_demand[n] >= COST as f64 {
                self.pending_demand[n] -= COST as f64;
                if self.leased {
                    self.handle_event(n, ShareEvent::Demand(account(), COST as f64));
                }
                let cost = TokenCount(COST);
                let verdict = self.limits[n].try_take(self.now, &account(), cost, &self.cfg);
                if verdict == LimitVerdict::Within {
                    self.limits[n].release(&account(), cost);
                    used += COST;
                }
            }
        }
        used
    }

    fn apply_faults(&mut self) {
        let at = |seconds: u64| Timestamp::from_millis(seconds * 1_000);
        match self.scenario {
            ShareScenario::OwnerLoss => {
                let owner = instance_index(self.shares[0].owner(&account()));
                if self.now == at(40) && self.alive[owner] {
                    self.alive[owner] = false;
                }
                if self.now == at(44) {
                    self.update_peers();
                }
            }
            // Both sides take 4 s to detect the partition and its end.
            ShareScenario::Cut if self.now == at(34) || self.now == at(74) => self.update_peers(),
            _ => {}
        }
    }

    fn deliver(&mut self) {
        while let Some((due, _)) = self.in_flight.front() {
            if *due > self.now {
                return;
            }
            match self.in_flight.pop_front() {
                Some((_, InFlightMessage::Request(to, request))) => {
                    let from = instance_index(&request.from);
                    if self.alive[to] && self.can_reach(from, to) {
                        self.handle_event(to, ShareEvent::Request(request));
                    }
                }
                Some((_, InFlightMessage::Reply(to, reply))) => {
                    self.handle_event(to, ShareEvent::Reply(reply))
                }
                None => return,
            }
        }
    }

    fn handle_event(&mut self, n: usize, event: ShareEvent) {
        let due = self.now + LATENCY;
        for action in self.shares[n].handle(self.now, event) {
            match action {
                ShareAction::SendRequest(owner, request) => {
                    let body = envelope::Body::GrantRequest((&request).into());
                    self.count_message(body);
                    self.in_flight.push_back((
                        due,
                        InFlightMessage::Request(instance_index(&owner), request),
                    ));
                }
                ShareAction::SendReply(to, reply) => {
                    self.count_message(envelope::Body::GrantReply((&reply).into()));
                    self.in_flight
                        .push_back((due, InFlightMessage::Reply(instance_index(&to), reply)));
                }
                ShareAction::SetShare(account, share) => {
                    self.limits[n].set_share(account, Some(share));
                }
            }
        }
    }

    fn count_message(&mut self, body: envelope::Body) {
        self.messages += 1;
        let envelope = Envelope { body: Some(body) };
        self.bytes += envelope.encoded_len() as u64 + DATAGRAM_OVERHEAD;
    }

    fn report(&self, used: &[u64], seconds: f64) -> ShareRun {
        let per_window = (WINDOW.as_millis() / STEP.as_millis()) as usize;
        let warm = (WARM_UP.as_millis() / STEP.as_millis()) as usize;
        let measured = &used[warm..];
        let rate = RATE as f64;
        let allowed = rate * WINDOW.as_secs_f64();
        let mut sum: u64 = measured[..per_window].iter().sum();
        let (mut most, mut least) = (sum, sum);
        for n in per_window..measured.len() {
            sum = sum + measured[n] - measured[n - per_window];
            most = most.max(sum);
            least = least.min(sum);
        }
        let percent = |part: f64| (part * 1e4).round() / 1e2;
        let all = measured.iter().sum::<u64>() as f64;
        let could = rate * (seconds - WARM_UP.as_secs_f64());
        ShareRun {
            scenario: self.scenario.as_str(),
            instances: self.n,
            policy: if self.leased { "owner-leased" } else { "equal-split" },
            overshoot_percent: percent((most as f64 / allowed - 1.0).max(0.0)),
            under_use_percent: percent((1.0 - least as f64 / allowed).max(0.0)),
            mean_under_use_percent: percent((1.0 - all / could).max(0.0)),
            bytes_per_s: (2.0 * self.bytes as f64 / seconds / self.n as f64 * 10.0).round() / 10.0,
            messages_per_s: (self.messages as f64 / seconds * 10.0).round() / 10.0,
        }
    }
}
