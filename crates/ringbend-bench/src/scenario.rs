//! Benchmark scenarios: offered load, capacity and injected faults.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use ringbend_models::EngineSpec;
use ringbend_types::{Seed, Timestamp};

/// Random number stream of the arrivals.
const ARRIVAL_STREAM: u64 = 11;

/// Number of samples used to estimate the mean prompt size.
const MEAN_SAMPLES: u32 = 20_000;

/// The available scenarios.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ScenarioName {
    /// Drivers' short calls mixed with yearly reviews; 20 engines, 9 instances, 1.5 ms one-way
    /// latency.
    PeachLine,
    /// From quotes to portfolio checks, all interactive (a customer waits); 0.5 ms one-way latency.
    BlueMahoe,
    /// The request mix of `PeachLine` at a given load, by default 1.5 times the capacity.
    Overload,
    /// More prompts of up to 1,000,000 tokens, which need the memory of several engines at once, so
    /// that several of them wait at the same time.
    Million,
    /// Engines crash and restart; one freezes.
    EngineDeath,
    /// Load reports are delayed by 2 s.
    StaleLoad,
    /// All engines refuse requests for a while, and the refused callers retry in lockstep.
    RetryStorm,
    /// One account offers many times its fair share.
    NoisyAccount,
    /// Instances crash; one pauses.
    InstanceLoss,
    /// A network partition separates half of the instances and engines from the other half.
    RegionCut,
    /// Many prompts share prefixes, and engines lose their prefix caches.
    CacheGaps,
}

impl ScenarioName {
    /// All scenarios, in declaration order.
    pub const ALL: [Self; 11] = [
        Self::PeachLine,
        Self::BlueMahoe,
        Self::Overload,
        Self::Million,
        Self::EngineDeath,
        Self::StaleLoad,
        Self::RetryStorm,
        Self::NoisyAccount,
        Self::InstanceLoss,
        Self::RegionCut,
        Self::CacheGaps,
    ];

    /// Name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::PeachLine => "peach-line",
            Self::BlueMahoe => "blue-mahoe",
            Self::Overload => "overload",
            Self::Million => "million",
            Self::EngineDeath => "engine-death",
            Self::StaleLoad => "stale-load",
            Self::RetryStorm => "retry-storm",
            Self::NoisyAccount => "noisy-account",
            Self::InstanceLoss => "instance-loss",
            Self::RegionCut => "region-cut",
            Self::CacheGaps => "cache-gaps",
        }
    }
}

impl fmt::Display for ScenarioName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The text is not the name of a scenario.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseScenarioError;

impl fmt::Display for ParseScenarioError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected one of {}", ScenarioName::ALL.map(ScenarioName::as_str).join(", "))
    }
}

impl std::error::Error for ParseScenarioError {}

impl FromStr for ScenarioName {
    type Err = ParseScenarioError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Self::ALL.into_iter().find(|name| name.as_str() == text).ok_or(ParseScenarioError)
    }
}

/// A fault to inject.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// The engine crashes and loses its state; it restarts empty after this time.
    EngineCrash(usize, Duration),
    /// The engine accepts requests but makes no progress for this time.
    EngineFreeze(usize, Duration),
    /// The engine refuses new work from now on, while the instance list still shows it as live.
    EngineLeave(usize),
    /// All engines refuse new work for this time.
    RefuseAll(Duration),
    /// The instance crashes; its peers learn of it after a detection delay.
    InstanceCrash(usize),
    /// The instance processes no events for this time, then continues.
    InstancePause(usize, Duration),
    /// A network partition separates the first half of the instances and engines from the second
    /// half for this time.
    Partition(Duration),
    /// All engines lose their prefix caches without emitting cache events.
    CacheLoss,
}

/// A request class and its share of the mix.
#[derive(Debug, Clone)]
pub struct ClassMix {
    /// Share of this class, per 1,000 requests.
    pub per_mille: u32,
    /// Scheduling priority; 0 is the highest.
    pub priority: u8,
    /// Minimum and maximum prompt tokens; sizes are log-uniformly distributed.
    pub prompt: (u64, u64),
    /// Minimum and maximum generated tokens; log-uniformly distributed as well.
    pub output: (u64, u64),
    /// Time from arrival until the answer must be complete.
    pub deadline: Duration,
    /// Whether a request may be executed more than once.
    pub repeatable: bool,
}

/// One request of the offered load.
#[derive(Debug, Clone)]
pub struct Arrival {
    /// Time at which the caller sends it.
    pub at: Timestamp,
    /// Index of the request class.
    pub class: usize,
    /// Index of the client account.
    pub account: usize,
    /// Prompt length in tokens.
    pub prompt: u64,
    /// Number of tokens to generate.
    pub output: u64,
    /// Index of the shared prefix that the prompt starts with.
    pub prefix: u64,
    /// Index of the instance that the load balancer picks.
    pub instance: usize,
}

/// All parameters of a run except the policy and the seed.
#[derive(Debug, Clone)]
pub struct Scenario {
    /// Name of the scenario.
    pub name: ScenarioName,
    /// Number of engines.
    pub engines: usize,
    /// Capacity and speed of each engine.
    pub spec: EngineSpec,
    /// Number of instances.
    pub instances: usize,
    /// One-way latency between instances and engines.
    pub latency: Duration,
    /// One-way latency between callers and instances.
    pub caller_latency: Duration,
    /// Time during which requests arrive.
    pub duration: Duration,
    /// Requests that arrive within this time from the start are not measured.
    pub warm_up: Duration,
    /// Offered prompt tokens as a fraction of what the engines can prefill.
    pub load: f64,
    /// Request classes.
    pub classes: Vec<ClassMix>,
    /// Relative demand of each account.
    pub accounts: Vec<f64>,
    /// Number of distinct prefixes that the prompts share.
    pub prefixes: u64,
    /// Interval between the load reports of an engine.
    pub report_every: Duration,
    /// Delay of load reports.
    pub report_lag: Duration,
    /// Fraction of load reports that are lost.
    pub report_loss: f64,
    /// Refused callers retry after exactly this time, without jitter, at most this many times. A
    /// longer Retry-After takes precedence.
    pub caller_retry: Option<(Duration, u32)>,
    /// Faults and their times.
    pub faults: Vec<(Timestamp, Fault)>,
}

fn class(
    per_mille: u32,
    priority: u8,
    prompt: (u64, u64),
    output: (u64, u64),
    deadline_s: u64,
) -> ClassMix {
    let deadline = Duration::from_secs(deadline_s);
    ClassMix { per_mille, priority, prompt, output, deadline, repeatable: true }
}

/// Request mix of Peach Line: drivers, members at the machine, a quarter's sales logs, yearly
/// reviews and non-repeatable counts.
fn peach_line_classes() -> Vec<ClassMix> {
    let counts = ClassMix { repeatable: false, ..class(30, 1, (300, 900), (4, 16), 20) };
    vec![
        class(400, 0, (500, 2_000), (16, 64), 20),
        counts,
        class(400, 2, (800, 3_000), (32, 128), 60),
        class(150, 4, (8_000, 28_000), (64, 256), 180),
        class(18, 6, (100_000, 300_000), (128, 512), 1_800),
        class(2, 6, (700_000, 1_000_000), (128, 512), 3_600),
    ]
}

/// Request mix of Blue Mahoe: drafted quotes, contract packs and portfolio checks, all interactive
/// (a customer waits), and non-repeatable quote saves.
fn blue_mahoe_classes() -> Vec<ClassMix> {
    let saves = ClassMix { repeatable: false, ..class(30, 3, (300, 900), (4, 16), 20) };
    vec![
        class(600, 3, (500, 3_000), (64, 256), 60),
        saves,
        class(270, 3, (6_000, 28_000), (64, 256), 120),
        class(97, 3, (40_000, 200_000), (128, 384), 600),
        class(3, 3, (600_000, 900_000), (128, 384), 1_800),
    ]
}

/// Relative demand of ten accounts, a few of them large.
fn account_weights() -> Vec<f64> {
    vec![30.0, 20.0, 15.0, 8.0, 7.0, 6.0, 5.0, 4.0, 3.0, 2.0]
}

impl Scenario {
    /// Creates a scenario; `load` overrides its default load.
    pub fn new(name: ScenarioName, load: Option<f64>) -> Self {
        let base = Self {
            name,
            engines: 20,
            spec: EngineSpec::default(),
            instances: 9,
            latency: Duration::from_micros(1_500),
            caller_latency: Duration::from_millis(1),
            duration: Duration::from_secs(120),
            warm_up: Duration::from_secs(20),
            load: load.unwrap_or(0.8),
            classes: peach_line_classes(),
            accounts: account_weights(),
            prefixes: 200,
            report_every: Duration::from_millis(200),
            report_lag: Duration::from_millis(200),
            report_loss: 0.01,
            caller_retry: None,
            faults: Vec::new(),
        };
        base.with_overrides(load)
    }

    fn with_overrides(self, load: Option<f64>) -> Self {
        let at = |seconds| Timestamp::from_millis(seconds * 1_000);
        let secs = Duration::from_secs;
        match self.name {
            ScenarioName::PeachLine => self,
            ScenarioName::BlueMahoe => Self {
                classes: blue_mahoe_classes(),
                latency: Duration::from_micros(500),
                caller_latency: Duration::from_millis(3),
                ..self
            },
            ScenarioName::Overload => Self { load: load.unwrap_or(1.5), ..self },
            ScenarioName::Million => {
                let mut classes = peach_line_classes();
                classes[0].per_mille = 392;
                classes[5].per_mille = 10;
                Self { classes, load: load.unwrap_or(0.7), duration: secs(240), ..self }
            }
            ScenarioName::EngineDeath => {
                let dies = |n: usize| (at(30 + 8 * n as u64), Fault::EngineCrash(n, secs(20)));
                let mut faults: Vec<_> = (0..8).map(dies).collect();
                faults.push((at(50), Fault::EngineFreeze(12, secs(15))));
                Self { faults, load: load.unwrap_or(0.6), ..self }
            }
            ScenarioName::StaleLoad => Self { report_lag: secs(2), ..self },
            ScenarioName::RetryStorm => Self {
                faults: vec![(at(40), Fault::RefuseAll(secs(5)))],
                caller_retry: Some((secs(1), 8)),
                load: load.unwrap_or(0.7),
                ..self
            },
            ScenarioName::NoisyAccount => {
                let mut accounts = vec![10.0; 10];
                accounts[0] = 200.0;
                Self { accounts, load: load.unwrap_or(1.5), ..self }
            }
            ScenarioName::InstanceLoss => {
                let faults = vec![
                    (at(40), Fault::InstanceCrash(1)),
                    (at(55), Fault::InstanceCrash(4)),
                    (at(60), Fault::InstancePause(6, secs(20))),
                ];
                Self { faults, load: load.unwrap_or(0.7), ..self }
            }
            ScenarioName::RegionCut => Self {
                faults: vec![(at(40), Fault::Partition(secs(40)))],
                load: load.unwrap_or(0.6),
                ..self
            },
            ScenarioName::CacheGaps => Self {
                faults: vec![(at(50), Fault::CacheLoss), (at(80), Fault::CacheLoss)],
                prefixes: 40,
                report_loss: 0.05,
                ..self
            },
        }
    }

    /// Prompt tokens that one engine prefills per second while it decodes.
    fn engine_prefill_rate(&self) -> f64 {
        let chunk = self.spec.step_tokens as f64;
        let prefill = chunk / self.spec.prefill_rate.0 as f64;
        chunk / (prefill + self.spec.decode_step.as_secs_f64())
    }

    /// Prompt tokens that all engines together prefill per second.
    pub fn capacity(&self) -> f64 {
        self.engine_prefill_rate() * self.engines as f64
    }

    /// Generates the requests, with exponential gaps between them. Within a scenario they
    /// depend only on the seed and are the same for every policy.
    pub fn arrivals(&self, seed: u64) -> Vec<Arrival> {
        let mut rng = Seed(seed).rng(ARRIVAL_STREAM);
        let mean = self.mean_prompt_tokens(&mut rng);
        let per_second = self.load * self.capacity() / mean;
        let mut arrivals = Vec::new();
        let mut at = 0.0;
        loop {
            let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
            at += -uniform.ln() / per_second;
            if at >= self.duration.as_secs_f64() {
                return arrivals;
            }
            arrivals.push(self.arrival(Timestamp((at * 1e6) as u64), &mut rng));
        }
    }

    fn arrival(&self, at: Timestamp, rng: &mut ChaCha8Rng) -> Arrival {
        let class = self.pick_class(rng);
        let mix = &self.classes[class];
        Arrival {
            at,
            class,
            account: pick_weighted(&self.accounts, rng),
            prompt: log_uniform(mix.prompt, rng),
            output: log_uniform(mix.output, rng),
            prefix: rng.random_range(0..self.prefixes),
            instance: rng.random_range(0..self.instances),
        }
    }

    fn pick_class(&self, rng: &mut ChaCha8Rng) -> usize {
        let all: u32 = self.classes.iter().map(|c| c.per_mille).sum();
        let mut at = rng.random_range(0..all);
        for (n, class) in self.classes.iter().enumerate() {
            if at < class.per_mille {
                return n;
            }
            at -= class.per_mille;
        }
        0
    }

    fn mean_prompt_tokens(&self, rng: &mut ChaCha8Rng) -> f64 {
        let sample = |rng: &mut ChaCha8Rng| {
            let class = self.pick_class(rng);
            log_uniform(self.classes[class].prompt, rng) as f64
        };
        (0..MEAN_SAMPLES).map(|_| sample(rng)).sum::<f64>() / f64::from(MEAN_SAMPLES)
    }
}

fn pick_weighted(weights: &[f64], rng: &mut ChaCha8Rng) -> usize {
    let mut at = rng.random_range(0.0..weights.iter().sum::<f64>());
    for (n, weight) in weights.iter().enumerate() {
        if at < *weight {
            return n;
        }
        at -= weight;
    }
    weights.len() - 1
}

fn log_uniform((min, max): (u64, u64), rng: &mut ChaCha8Rng) -> u64 {
    let (min, max) = (min as f64, max as f64);
    (min * (max / min).powf(rng.random::<f64>())) as u64
}
