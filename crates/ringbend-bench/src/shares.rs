//! The sharing of an account's limit between instances, against how much was offered where.

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

/// The limit, in tokens a second.
const RATE: u64 = 100_000;

/// Tokens of one request.
const COST: u64 = 1_000;

/// Offered over the limit, on all instances together.
const OFFERED: f64 = 3.0;

/// One way between instances.
const LATENCY: Duration = Duration::from_micros(1_500);

/// A step of the run.
const STEP: Duration = Duration::from_millis(1);

/// The length of a run.
const DURATION: Duration = Duration::from_secs(90);

/// Nothing is measured before this: buckets begin full.
const WARM_UP: Duration = Duration::from_secs(20);

/// Use is looked at over windows of this length.
const WINDOW: Duration = Duration::from_secs(10);

/// How the limit is shared.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareScenario {
    /// All demand at one instance.
    Skewed,
    /// All demand, which moves to another instance every fifteen seconds.
    Moving,
    /// Equal demand everywhere; the account's owner dies.
    OwnerLoss,
    /// Equal demand everywhere; four instances cannot reach the other five for forty seconds.
    Cut,
}

impl ShareScenario {
    /// All of them.
    pub const ALL: [Self; 4] = [Self::Skewed, Self::Moving, Self::OwnerLoss, Self::Cut];

    /// The name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Skewed => "skewed",
            Self::Moving => "moving",
            Self::OwnerLoss => "owner-loss",
            Self::Cut => "cut",
        }
    }
}

/// The text names no way.
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

/// What was measured.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ShareRun {
    /// How the limit was shared.
    pub scenario: &'static str,
    /// How many instances shared it.
    pub instances: usize,
    /// With shares leased from an owner, or split equally.
    pub policy: &'static str,
    /// The most used over any ten seconds beyond the rate, in percent of it.
    pub overshoot_percent: f64,
    /// The least used over any ten seconds below the rate, in percent of it.
    pub under_use_percent: f64,
    /// Unused over the whole run, in percent.
    pub mean_under_use_percent: f64,
    /// Messages between instances a second.
    pub messages_per_s: f64,
    /// Sent and received by an instance a second, for this one account, with the datagrams'
    /// overhead.
    pub bytes_per_s: f64,
}

enum Letter {
    Request(usize, GrantRequest),
    Reply(usize, GrantReply),
}

struct Run {
    scenario: ShareScenario,
    leased: bool,
    now: Timestamp,
    shares: Vec<LimitShares>,
    limits: Vec<Limits>,
    alive: Vec<bool>,
    letters: VecDeque<(Timestamp, Letter)>,
    n: usize,
    messages: u64,
    bytes: u64,
    owed: Vec<f64>,
    cfg: LimitsConfig,
}

fn account() -> ClientAccountId {
    "peach".parse().unwrap_or_else(|_| unreachable!("a valid account"))
}

fn instance(n: usize) -> InstanceId {
    format!("instance-{n}").parse().unwrap_or_else(|_| unreachable!("a valid instance"))
}

fn index(id: &InstanceId) -> usize {
    id.as_str().trim_start_matches("instance-").parse().unwrap_or(0)
}

/// Measures one way, with shares leased from an owner or split equally.
pub fn measure_shares(scenario: ShareScenario, leased: bool, instances: usize) -> ShareRun {
    let mut run = Run::new(scenario, leased, instances);
    let steps = DURATION.as_millis() / STEP.as_millis();
    let mut used = Vec::new();
    for _ in 0..steps {
        used.push(run.step());
        run.now = run.now + STEP;
    }
    let seconds = DURATION.as_secs_f64();
    run.report(&used, seconds)
}

impl Run {
    fn new(scenario: ShareScenario, leased: bool, n: usize) -> Self {
        let shares = (0..n).map(|n| LimitShares::new(ShareConfig::default(), instance(n)));
        let cfg = LimitsConfig { tokens_per_s: RATE, burst_s: 1, ..LimitsConfig::default() };
        let mut run = Self {
            scenario,
            leased,
            now: Timestamp::default(),
            shares: shares.collect(),
            limits: (0..n).map(|_| Limits::default()).collect(),
            alive: vec![true; n],
            letters: VecDeque::new(),
            n,
            messages: 0,
            bytes: 0,
            owed: vec![0.0; n],
            cfg,
        };
        run.tell_peers();
        run
    }

    fn tell_peers(&mut self) {
        for n in 0..self.n {
            let live = (0..self.n).filter(|o| self.alive[*o] && self.same_side(n, *o));
            let live: Vec<InstanceId> = live.map(instance).collect();
            let event = ShareEvent::Peers { live, expected: self.n };
            self.share(n, event);
            let equal = self.shares[n].equal_share();
            self.limits[n].set_default_share(equal);
        }
    }

    fn seconds(&self) -> f64 {
        self.now.as_secs_f64()
    }

    fn is_cut(&self) -> bool {
        self.scenario == ShareScenario::Cut && (30.0..70.0).contains(&self.seconds())
    }

    fn same_side(&self, one: usize, other: usize) -> bool {
        !self.is_cut() || (one < self.n * 4 / 9) == (other < self.n * 4 / 9)
    }

    fn demand(&self, n: usize) -> f64 {
        let all = RATE as f64 * OFFERED;
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

    /// One step; returns the tokens used in it.
    fn step(&mut self) -> u64 {
        self.faults();
        self.deliver();
        let mut used = 0;
        for n in 0..self.n {
            if !self.alive[n] {
                continue;
            }
            if self.leased && self.shares[n].next_wakeup() <= self.now {
                self.share(n, ShareEvent::Tick);
            }
            self.owed[n] += self.demand(n) * STEP.as_secs_f64();
            while self.owed[n] >= COST as f64 {
                self.owed[n] -= COST as f64;
                if self.leased {
                    self.share(n, ShareEvent::Demand(account(), COST as f64));
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

    fn faults(&mut self) {
        let at = |seconds: u64| Timestamp::from_millis(seconds * 1_000);
        match self.scenario {
            ShareScenario::OwnerLoss => {
                let owner = index(self.shares[0].owner(&account()));
                if self.now == at(40) && self.alive[owner] {
                    self.alive[owner] = false;
                }
                if self.now == at(44) {
                    self.tell_peers();
                }
            }
            // Both sides take four seconds to notice the cut and its end.
            ShareScenario::Cut if self.now == at(34) || self.now == at(74) => self.tell_peers(),
            _ => {}
        }
    }

    fn deliver(&mut self) {
        while let Some((due, _)) = self.letters.front() {
            if *due > self.now {
                return;
            }
            match self.letters.pop_front() {
                Some((_, Letter::Request(to, request))) => {
                    let from = index(&request.from);
                    if self.alive[to] && self.same_side(from, to) {
                        self.share(to, ShareEvent::Request(request));
                    }
                }
                Some((_, Letter::Reply(to, reply))) => self.share(to, ShareEvent::Reply(reply)),
                None => return,
            }
        }
    }

    fn share(&mut self, n: usize, event: ShareEvent) {
        let due = self.now + LATENCY;
        for action in self.shares[n].handle(self.now, event) {
            match action {
                ShareAction::SendRequest(owner, request) => {
                    let body = envelope::Body::GrantRequest((&request).into());
                    self.count(body);
                    self.letters.push_back((due, Letter::Request(index(&owner), request)));
                }
                ShareAction::SendReply(to, reply) => {
                    self.count(envelope::Body::GrantReply((&reply).into()));
                    self.letters.push_back((due, Letter::Reply(index(&to), reply)));
                }
                ShareAction::SetShare(account, share) => {
                    self.limits[n].set_share(account, Some(share));
                }
            }
        }
    }

    fn count(&mut self, body: envelope::Body) {
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
