//! Shared builders for the tests.

#![allow(dead_code, unreachable_pub)]

pub mod burst;

use std::time::Duration;

use ringbend_gateway::{
    AccountShares, AllowedDataCentres, ConfigVersion, Demand, Endpoint, EngineProfile, FleetView,
    HealthTracker, Job, Limits, LoadTracker, PlacementWeights, Priorities, Rank, RepeatPolicy,
    Route, RouteEntry, Snapshot, SnapshotParts, SpreadOrder, WeightedService, Work, WorkId,
};
use ringbend_types::{DataCentre, ServiceName, Timestamp};
use smallvec::{SmallVec, smallvec};

pub fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

pub const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn service(name: &str) -> ServiceName {
    name.parse().unwrap()
}

/// The engines of the measured deployments.
pub fn profile() -> EngineProfile {
    EngineProfile {
        slots: 16,
        memory_tokens: 450_000,
        steps_per_pass: 46,
        step_ms: 0.925,
        per_sequence_ms: 0.00483,
        per_context_k_ms: 0.00254,
        prefill_tokens_per_s: 256_000.0,
        pairs_per_m_ms: 0.0917,
        chunk_tokens: 2_048,
        hop_ms: 0.1,
    }
}

pub fn endpoint(number: usize) -> Endpoint {
    Endpoint {
        id: format!("e-{number:02}").parse().unwrap(),
        start: None,
        service: service("engines"),
        address: format!("10.0.{}.{}:80", number / 250, number % 250).parse().unwrap(),
        data_centre: "z1".parse().unwrap(),
        slots: 16,
        leaving: false,
        cold_left: Duration::ZERO,
    }
}

pub fn fleet(count: usize) -> Vec<Endpoint> {
    (1..=count).map(endpoint).collect()
}

pub fn work_id(sequence: u64) -> WorkId {
    WorkId { instance: 1, sequence }
}

/// Work with one part on the endpoint with this number.
pub fn work(lead: usize, part: Duration) -> Work {
    Work {
        lead: endpoint(lead).id,
        helpers: SmallVec::new(),
        part,
        memory_tokens: 5_000,
        held: SmallVec::new(),
        gap: ms(200),
        first_by: at(1_000_000),
        stake: 1.0,
        until: at(2_000_000),
        long: false,
        suspects: Default::default(),
    }
}

/// The state of one instance that uses a set of engines.
pub struct Scene {
    pub fleet: Vec<Endpoint>,
    pub load: LoadTracker,
    pub health: HealthTracker,
    pub limits: Limits,
    pub weights: PlacementWeights,
    pub home: DataCentre,
    pub now: Timestamp,
    pub spread: Option<SpreadOrder>,
    pub starting: bool,
    pub priorities: Priorities,
    pub rank: Rank,
    pub shares: Option<AccountShares>,
    pub avoids_full_memory: bool,
}

impl Scene {
    pub fn new(engines: usize) -> Self {
        Self {
            fleet: fleet(engines),
            load: LoadTracker::default(),
            health: HealthTracker::default(),
            limits: Limits::default(),
            weights: PlacementWeights::default(),
            home: "z1".parse().unwrap(),
            now: at(0),
            spread: None,
            starting: false,
            priorities: Priorities::default(),
            rank: Rank::MOST_URGENT,
            shares: None,
            avoids_full_memory: false,
        }
    }

    pub fn candidates(&self) -> Vec<&Endpoint> {
        self.fleet.iter().collect()
    }

    pub fn view(&self) -> FleetView<'_> {
        FleetView {
            now: self.now,
            home: &self.home,
            load: &self.load,
            spread: self.spread,
            starting: self.starting,
            avoids_full_memory: self.avoids_full_memory,
            weights: &self.weights,
            health: &self.health,
            tried: &[],
            is_suspect: false,
            limits: &self.limits,
            priorities: self.priorities,
            rank: self.rank,
            shares: self.shares.as_ref(),
        }
    }
}

/// A configuration with one route `/a/` and the given keys.
pub fn snapshot(version: u64, keys: Option<&[&str]>) -> Snapshot {
    let route = Route {
        name: "a".into(),
        split: smallvec![WeightedService { service: service("engines"), weight: 1 }],
        repeat: RepeatPolicy::Idempotent,
        streaming: false,
        timeout: ms(2_000),
        target_latency: ms(300),
        target_gap: None,
        priority: 1,
        max_runs: 2,
        public: false,
        regions: Default::default(),
    };
    let account = ringbend_gateway::Account {
        id: "account".parse().unwrap(),
        priority: None,
        regions: Default::default(),
    };
    Snapshot::new(SnapshotParts {
        version: ConfigVersion(version),
        routes: vec![RouteEntry { host: "h".into(), prefix: "/a/".into(), route }],
        keys: keys.map(|keys| keys.iter().map(|k| ((*k).into(), account.clone())).collect()),
        ..SnapshotParts::default()
    })
}

/// A request that arrives at time zero, and whose first event is due after 300 ms.
pub fn job(prompt_tokens: u64) -> Job {
    Job {
        request: "r".into(),
        service: service("engines"),
        demand: Some(Demand { prompt_tokens, answer_tokens: 500 }),
        since: at(0),
        first_by: at(300),
        gap: ms(200),
        caller_timeout_at: at(2_000),
        deadline: at(10_000),
        tried: SmallVec::new(),
        backing_off: Vec::new(),
        data_centres: AllowedDataCentres::Any,
        at_once: false,
        priority: 0,
        account: None,
        fingerprint: None,
        suspects: Default::default(),
    }
}
