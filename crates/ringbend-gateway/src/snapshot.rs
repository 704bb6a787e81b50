//! One version of the configuration, decoded from the operator's format.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use ringbend_types::{ClientAccountId, ServiceName};
use smallvec::SmallVec;

use crate::cold_pacing::ColdProfile;
use crate::engine::EngineProfile;
use crate::priorities::Priorities;
use crate::regions::AllowedRegions;

/// The version number of a configuration. Later versions have larger numbers, not necessarily
/// consecutive.
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
    /// At most once.
    AtMostOnce,
    /// An event stream that a second run may resume after the last delivered event.
    Resumable,
}

impl RepeatPolicy {
    /// Whether a second run is allowed.
    pub fn may_repeat(self) -> bool {
        self != Self::AtMostOnce
    }
}

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: ServiceName,
    /// Its weight, relative to the sum of the route's weights.
    pub weight: u32,
}

/// The destination and the limits of requests with one host and path prefix.
#[derive(Debug, Clone)]
pub struct Route {
    /// The name given by the operator.
    pub name: Arc<str>,
    /// The services that share its requests.
    pub split: SmallVec<[WeightedService; 2]>,
    /// How often a request may be run.
    pub repeat: RepeatPolicy,
    /// Whether responses are event streams.
    pub streaming: bool,
    /// The maximum time until the end of the response.
    pub timeout: Duration,
    /// The target latency of a response, or of a stream's first event.
    pub target_latency: Duration,
    /// The longest gap between events that counts as on time.
    pub target_gap: Option<Duration>,
    /// The priority of its requests; zero is the highest.
    pub priority: u8,
    /// The maximum number of endpoints on which one request may run.
    pub max_runs: u8,
    /// Whether requests need no key.
    pub public: bool,
    /// The regions in which its requests may run.
    pub regions: AllowedRegions,
}

/// A service that routes refer to.
#[derive(Debug, Clone)]
pub struct Service {
    /// The name of the service.
    pub name: ServiceName,
    /// The performance profile of its engines; `None` for a plain service.
    pub engine: Option<EngineProfile>,
    /// How its endpoints behave while they are cold, if that differs.
    pub cold: Option<ColdProfile>,
}

/// Limits on the size and duration of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerLimits {
    /// The maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// The maximum body size in bytes.
    pub body_bytes: usize,
    /// The maximum time for a request head to arrive.
    pub head_time: Duration,
    /// The maximum idle time of a keep-alive connection.
    pub idle_time: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        // Used until a configuration sets its own limits.
        Self {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// The client account of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Account {
    /// The id of the account.
    pub id: ClientAccountId,
    /// Its priority, which overrides that of the route.
    pub priority: Option<u8>,
    /// The regions in which its requests may run, in addition to the restrictions of the route.
    pub regions: AllowedRegions,
}

/// One route as listed by an operator.
#[derive(Debug, Clone)]
pub struct RouteEntry {
    /// The host of the requests.
    pub host: Arc<str>,
    /// The path prefix; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// The route.
    pub route: Route,
}

/// The parts of a configuration before indexing.
#[derive(Debug, Clone, Default)]
pub struct SnapshotParts {
    /// The version of the configuration.
    pub version: ConfigVersion,
    /// All routes.
    pub routes: Vec<RouteEntry>,
    /// All services.
    pub services: Vec<Service>,
    /// The account of each key; `None` if requests need no key.
    pub keys: Option<Vec<(Arc<str>, Account)>>,
    /// Limits on callers.
    pub limits: CallerLimits,
}

/// One version of the configuration, indexed for lookups.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// The version of the configuration.
    pub version: ConfigVersion,
    /// Limits on callers.
    pub limits: CallerLimits,
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>>,
    services: HashMap<ServiceName, Service>,
    keys: Option<HashMap<Arc<str>, Account>>,
    priorities: HashMap<ServiceName, Priorities>,
}

impl Snapshot {
    /// Indexes the parts.
    pub fn new(parts: SnapshotParts) -> Self {
        let mut hosts: HashMap<Arc<str>, HashMap<Arc<str>, Arc<Route>>> = HashMap::new();
        for entry in parts.routes {
            let routes = hosts.entry(entry.host.to_ascii_lowercase().into()).or_default();
            routes.insert(entry.prefix, Arc::new(entry.route));
        }
        let routes = hosts.values().flat_map(HashMap::values).map(Arc::as_ref);
        let priorities = priorities_by_service(routes, parts.keys.as_deref());
        Self {
            version: parts.version,
            priorities,
            limits: parts.limits,
            hosts,
            services: parts.services.into_iter().map(|s| (s.name.clone(), s)).collect(),
            keys: parts.keys.map(|keys| keys.into_iter().collect()),
        }
    }

    /// The route of a host with the longest matching path prefix. A port in `host` is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(name.to_ascii_lowercase().as_str())?;
        // Prefixes end with a slash, so only the substrings up to a slash can match.
        let cuts = path.bytes().enumerate().rev().filter(|(_, byte)| *byte == b'/');
        cuts.map(|(at, _)| &path[..=at]).find_map(|prefix| routes.get(prefix))
    }

    /// The service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        self.services.get(name)
    }

    /// The priorities that requests of a service have; none if no route refers to it.
    pub fn priorities(&self, service: &ServiceName) -> Priorities {
        self.priorities.get(service).copied().unwrap_or_default()
    }

    /// Whether requests on routes that are not public need a key.
    pub fn needs_keys(&self) -> bool {
        self.keys.is_some()
    }

    /// The client account of `key`.
    pub fn account(&self, key: &str) -> Option<&Account> {
        self.keys.as_ref()?.get(key)
    }

    /// The number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(HashMap::len).sum()
    }
}

impl Route {
    /// Selects the service of a request by weight; `draw` is in `0.0..1.0`.
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

/// The priorities of requests by service. Those of client accounts override those of routes where
/// requests need a key.
fn priorities_by_service<'a>(
    routes: impl Iterator<Item = &'a Route>,
    keys: Option<&[(Arc<str>, Account)]>,
) -> HashMap<ServiceName, Priorities> {
    let of_accounts: Option<BTreeSet<Option<u8>>> =
        keys.map(|keys| keys.iter().map(|(_, account)| account.priority).collect());
    let mut priorities: HashMap<ServiceName, Priorities> = HashMap::new();
    for route in routes {
        let of_route: Priorities = match &of_accounts {
            Some(accounts) if !route.public => {
                accounts.iter().map(|priority| priority.unwrap_or(route.priority)).collect()
            }
            _ => [route.priority].into_iter().collect(),
        };
        for split in route.split.iter().filter(|split| split.weight > 0) {
            priorities.entry(split.service.clone()).or_default().extend(of_route.iter());
        }
    }
    priorities
}
