//! One version of the configuration, as decoded from whatever an operator writes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use ringbend_types::{ClientAccountId, ServiceName};
use smallvec::SmallVec;

use crate::engine::EngineProfile;

/// The number of a configuration. Later ones are larger, in uneven steps.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConfigVersion(pub u64);

impl std::fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// How often a request may be run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RepeatPolicy {
    /// Any number of times.
    Idempotent,
    /// Once at most.
    AtMostOnce,
    /// An event stream that a second run may continue after the last delivered event.
    Resumable,
}

impl RepeatPolicy {
    /// Whether a second run is allowed.
    pub fn may_repeat(self) -> bool {
        self != Self::AtMostOnce
    }
}

/// A service's part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight against the sum of the route's weights.
    pub weight: u32,
}

/// Where requests of one host and path prefix go, and within which bounds.
#[derive(Debug, Clone)]
pub struct Route {
    /// The operator's name for it.
    pub name: Arc<str>,
    /// The services that share its requests.
    pub split: SmallVec<[WeightedService; 2]>,
    /// How often a request may be run.
    pub repeat: RepeatPolicy,
    /// Whether answers are event streams.
    pub streaming: bool,
    /// The longest a caller is kept waiting for the end of the answer.
    pub timeout: Duration,
    /// The time within which an answer, or a stream's first event, is worth most.
    pub aim: Duration,
    /// The longest pause between events that counts as on time.
    pub gap_aim: Option<Duration>,
    /// Rank of its requests; zero goes first.
    pub priority: u8,
    /// How many endpoints one request may be run on.
    pub max_runs: u8,
    /// Whether requests need no key.
    pub public: bool,
}

/// A service that routes lead to.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its name.
    pub name: ServiceName,
    /// How its engines read and write; none for a plain service.
    pub engine: Option<EngineProfile>,
}

/// What callers may send and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The longest body, in bytes.
    pub body_bytes: usize,
    /// How long a head may take to arrive.
    pub head_time: Duration,
    /// How long a kept connection may be idle.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        // Used until a configuration names limits of its own.
        Self {
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// The account that a key belongs to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// Its name.
    pub id: ClientAccountId,
    /// Its rank, which goes before the route's.
    pub priority: Option<u8>,
}

/// One route as an operator lists it.
#[derive(Debug, Clone)]
pub struct RouteEntry {
    /// The host that requests name.
    pub host: Arc<str>,
    /// The path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// The route.
    pub route: Route,
}

/// The parts of a configuration, before it is indexed.
#[derive(Debug, Clone, Default)]
pub struct SnapshotParts {
    /// Its version.
    pub version: ConfigVersion,
    /// All routes.
    pub routes: Vec<RouteEntry>,
    /// All services.
    pub services: Vec<Service>,
    /// Each key with its account; none when requests need no key.
    pub keys: Option<Vec<(Arc<str>, Account)>>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// One version of the configuration, indexed for look-ups.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// Its version.
    pub version: ConfigVersion,
    /// Limits on callers.
    pub limits: CallerLimits,
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
    services: HashMap<ServiceName, Service>,
    keys: Option<HashMap<Arc<str>, Account>>,
}

impl Snapshot {
    /// Indexes the parts.
    pub fn new(parts: SnapshotParts) -> Self {
        let mut hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>> = HashMap::new();
        for entry in parts.routes {
            let routes = hosts.entry(entry.host.to_ascii_lowercase().into()).or_default();
            routes.insert(entry.prefix, Arc::new(entry.route));
        }
        Self {
            version: parts.version,
            limits: parts.limits,
            hosts,
            services: parts.services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            keys: parts.keys.map(|keys| keys.into_iter().collect()),
        }
    }

    /// The route of a host with the longest prefix that begins `path`. A port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        // Prefixes end with a slash, so only the cuts after a slash can match.
        let cuts = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        cuts.map(|(at, _)| &path[..=at]).find_map(|prefix| routes.get(prefix))
    }

    /// A service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// Whether requests on routes that are not public need a key.
    pub fn needs_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// The account that holds `key`.
    pub fn account(&self, key: &str) -> Option<&Account> {
        self.keys.as_ref()?.get(key)
    }

    /// How many routes there are.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }
}

impl Route {
    /// The service of a request, drawn by weight; `draw` lies in `0.0..1.0`.
    pub fn pick_service(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.split.iter().map(|s| s.weight).sum();
        let mut left = draw * f64::from(total);
        for split in self.split.iter().filter(|s| s.weight > 0) {
            left -= f64::from(split.weight);
            if left < 0.0 {
                return Some(&split.service);
            }
        }
        self.split.iter().rfind(|s| s.weight > 0).map(|s| &s.service)
    }
}
