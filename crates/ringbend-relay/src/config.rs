//! The settings file of a relay: addresses, location and bounds.

use std::fmt;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use ringbend_gateway::{
    AdmissionBounds, ColdTolerance, PlacementWeights, RegionMap, RetryBudgetBounds,
};
use ringbend_settings::closest_match;
use ringbend_telemetry::LogConfig;
use ringbend_types::{DataCentre, InstanceId};
use serde::{Deserialize, Serialize};

/// Why the settings cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayConfigError {
    /// The file cannot be read.
    Unreadable,
    /// The file is not valid TOML, or a value has the wrong type.
    Malformed,
    /// A value is out of range.
    OutOfRange {
        /// The setting's name.
        setting: &'static str,
        /// The allowed range.
        allowed: &'static str,
    },
}

impl fmt::Display for RelayConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreadable => write!(f, "the settings file cannot be read"),
            Self::Malformed => write!(f, "the settings file is malformed"),
            Self::OutOfRange { setting, allowed } => write!(f, "{setting} must be {allowed}"),
        }
    }
}

impl std::error::Error for RelayConfigError {}

/// The settings of a relay.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayConfig {
    /// The name of this instance.
    pub instance: InstanceId,
    /// The data centre of this instance.
    pub data_centre: DataCentre,
    /// The processor time available to this instance, in cores. The instances with the highest
    /// values in a data centre schedule requests for all of it.
    #[serde(default = "whole_core")]
    pub cpu_share: f64,
    /// The memory that the process may use, in megabytes. Bodies of requests and responses are
    /// rejected before they take more than a share of it.
    #[serde(default = "default_memory")]
    pub memory_mb: f64,
    /// The descriptors that the process may open. Callers' connections are refused before they take
    /// those that are needed for endpoints, the store and other instances.
    #[serde(default = "default_descriptors")]
    pub max_descriptors: f64,
    /// The addresses that the relay listens on.
    pub listen: ListenConfig,
    /// The store of configuration and endpoints.
    pub store: StoreConfig,
    /// Bounds on staleness, shutdown and retries.
    #[serde(default)]
    pub bounds: BoundsConfig,
    /// The region of each data centre; requests may be confined to regions.
    #[serde(default)]
    pub regions: RegionMap,
    /// Weights for the placement of requests on engines.
    #[serde(default)]
    pub placement: PlacementWeights,
    /// Overload control.
    #[serde(default)]
    pub overload: OverloadSettings,
    /// Logging.
    #[serde(default)]
    pub log: LogConfig,
    /// Warnings about unknown settings, each with its path.
    #[serde(skip)]
    pub unknown: Vec<String>,
}

/// The default of `cpu_share`.
fn whole_core() -> f64 {
    1.0
}

/// The default of `memory_mb`.
fn default_memory() -> f64 {
    256.0
}

/// The default of `max_descriptors`.
fn default_descriptors() -> f64 {
    4_096.0
}

/// Thousandths per core.
const MILLIS_PER_CORE: f64 = 1_000.0;

/// More cores than any machine has.
const MAX_CORES: f64 = 1_024.0;

/// The addresses that a relay listens on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListenConfig {
    /// Callers' requests, over TCP.
    pub callers: SocketAddrV4,
    /// The load balancer's readiness check, over TCP.
    pub ready: SocketAddrV4,
    /// Metrics, over TCP; not served if omitted.
    pub metrics: Option<SocketAddrV4>,
    /// Traffic between instances, over UDP and TCP; load is not shared if omitted.
    pub peers: Option<SocketAddrV4>,
    /// Instances that may be running, through which the others are found. They are greeted on the
    /// port of `peers`, which is the same on all instances.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
    /// The local address of connections to endpoints and other instances; the system chooses one if
    /// omitted.
    pub source: Option<Ipv4Addr>,
}

/// The store with the watched tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreConfig {
    /// The store's address.
    pub address: SocketAddrV4,
}

/// Bounds on time and retries, as agreed with the operators of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct BoundsConfig {
    /// Milliseconds after which a revoked key must be refused; zero for no bound.
    pub key_revoked_ms: f64,
    /// Milliseconds within which a new configuration must be active.
    pub config_apply_ms: f64,
    /// Seconds from a stop signal to the end of the process.
    pub grace_s: f64,
    /// Retries allowed per request of a service.
    pub repeat_ratio: f64,
    /// Seconds over which retries are counted.
    pub repeat_window_s: f64,
    /// Additional retries allowed, over all instances.
    pub repeat_allowance: f64,
    /// Multiple of its rate that a cold endpoint tolerates within a second.
    pub cold_over: f64,
    /// Requests that a cold endpoint tolerates beyond that within a second.
    pub cold_slack: f64,
}

/// Whether overload control is on. The deployment's own settings decide, either directly or through
/// the terms of service that they list.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
pub struct OverloadSettings {
    /// Turns overload control on, whatever the terms of service.
    pub enabled: bool,
    /// The terms of service of this deployment.
    pub terms: Vec<Arc<str>>,
    /// The term that turns overload control on if the deployment lists it.
    pub enabling_term: Option<Arc<str>>,
}

impl OverloadSettings {
    /// Whether overload control is on.
    pub fn is_enabled(&self) -> bool {
        let is_listed = |term: &Arc<str>| self.terms.contains(term);
        self.enabled || self.enabling_term.as_ref().is_some_and(is_listed)
    }
}

impl Default for BoundsConfig {
    fn default() -> Self {
        // A retry ratio of one fifth is usual for retry budgets.
        Self {
            key_revoked_ms: 5_000.0,
            config_apply_ms: 2_000.0,
            grace_s: 8.0,
            repeat_ratio: 0.2,
            repeat_window_s: 10.0,
            repeat_allowance: 50.0,
            cold_over: 1.0,
            cold_slack: 0.0,
        }
    }
}

/// Setting names that are suggested for unknown ones.
const KNOWN_NAMES: [&str; 42] = [
    "instance",
    "data_centre",
    "cpu_share",
    "memory_mb",
    "max_descriptors",
    "listen",
    "callers",
    "ready",
    "metrics",
    "peers",
    "seeds",
    "source",
    "store",
    "address",
    "bounds",
    "key_revoked_ms",
    "config_apply_ms",
    "grace_s",
    "repeat_ratio",
    "repeat_window_s",
    "repeat_allowance",
    "cold_over",
    "cold_slack",
    "regions",
    "placement",
    "long_ms",
    "part_ms",
    "free_ms",
    "longest_ms",
    "dear",
    "spare_ms",
    "full_share",
    "quiet_growth",
    "quiet_spare",
    "overload",
    "enabled",
    "terms",
    "enabling_term",
    "log",
    "format",
    "level",
    "output",
];

/// Share of `key_revoked_ms` after which a copy of the configuration admits no key. The rest covers
/// the call that was in progress when the copy was last proved current.
const KEY_MAX_AGE_SHARE: f64 = 0.7;

impl RelayConfig {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// The file cannot be read, is malformed or has a value out of range.
    pub fn read(path: &Path) -> Result<Self, Report<RelayConfigError>> {
        let text = std::fs::read_to_string(path).change_context(RelayConfigError::Unreadable)?;
        Self::parse(&text)
    }

    /// Parses and validates settings.
    ///
    /// # Errors
    ///
    /// The settings are malformed or have a value out of range.
    pub fn parse(text: &str) -> Result<Self, Report<RelayConfigError>> {
        let values = toml::Deserializer::parse(text).change_context(RelayConfigError::Malformed)?;
        let mut unknown = Vec::new();
        let cfg: Self = serde_ignored::deserialize(values, |path| {
            unknown.push(unknown_name(&path.to_string()));
        })
        .change_context(RelayConfigError::Malformed)?;
        cfg.bounds.check()?;
        check_placement(&cfg.placement)?;
        let is_share = cfg.cpu_share > 0.0 && cfg.cpu_share <= MAX_CORES;
        let is_memory = cfg.memory_mb > 0.0 && cfg.memory_mb.is_finite();
        let is_descriptors = cfg.max_descriptors > 0.0 && cfg.max_descriptors.is_finite();
        check_all(&[
            ("cpu_share", "above 0, at most 1,024", is_share),
            ("memory_mb", "above zero", is_memory),
            ("max_descriptors", "above zero", is_descriptors),
        ])?;
        Ok(Self { unknown, ..cfg })
    }

    /// The available processor time, in thousandths of a core.
    pub(crate) fn capacity(&self) -> u32 {
        (self.cpu_share * MILLIS_PER_CORE) as u32
    }
}

/// A setting's name, its allowed range, and whether the value is in it.
type Check = (&'static str, &'static str, bool);

fn check_all(checks: &[Check]) -> Result<(), Report<RelayConfigError>> {
    match checks.iter().find(|(_, _, holds)| !holds) {
        Some((setting, allowed, _)) => {
            Err(Report::new(RelayConfigError::OutOfRange { setting, allowed }))
        }
        None => Ok(()),
    }
}

fn check_placement(w: &PlacementWeights) -> Result<(), Report<RelayConfigError>> {
    let is_non_negative = |ms: f64| ms.is_finite() && ms >= 0.0;
    check_all(&[
        ("placement.stake_power", "between 0 and 4", (0.0..=4.0).contains(&w.stake_power)),
        ("placement.late_at", "above placement.late_from", w.late_at > w.late_from),
        ("placement.part_ms", "above zero", w.part_ms.is_finite() && w.part_ms > 0.0),
        ("placement.long_ms", "zero or more", is_non_negative(w.long_ms)),
        ("placement.free_ms", "zero or more", is_non_negative(w.free_ms)),
        ("placement.longest_ms", "above zero", w.longest_ms.is_finite() && w.longest_ms > 0.0),
        ("placement.full_share", "above 0, at most 1", w.full_share > 0.0 && w.full_share <= 1.0),
        ("placement.dear", "zero or more", is_non_negative(w.dear)),
        ("placement.spare_ms", "zero or more", is_non_negative(w.spare_ms)),
        ("placement.quiet_growth", "zero or more", is_non_negative(w.quiet_growth)),
        ("placement.quiet_spare", "zero or more", is_non_negative(w.quiet_spare)),
    ])
}

fn unknown_name(path: &str) -> String {
    let name = path.rsplit('.').next().unwrap_or(path);
    match closest_match(name, KNOWN_NAMES.into_iter()) {
        Some(known) => format!("unknown setting {path:?}; did you mean {known:?}?"),
        None => format!("unknown setting {path:?}; see docs/SETTINGS.md"),
    }
}

impl BoundsConfig {
    fn check(&self) -> Result<(), Report<RelayConfigError>> {
        let checks = [
            ("bounds.key_revoked_ms", "zero or more", self.key_revoked_ms >= 0.0),
            ("bounds.config_apply_ms", "zero or more", self.config_apply_ms >= 0.0),
            ("bounds.grace_s", "above zero", self.grace_s > 0.0),
            ("bounds.repeat_ratio", "between 0 and 1", (0.0..=1.0).contains(&self.repeat_ratio)),
            ("bounds.repeat_window_s", "above zero", self.repeat_window_s > 0.0),
            ("bounds.repeat_allowance", "zero or more", self.repeat_allowance >= 0.0),
            ("bounds.cold_over", "one or more", self.cold_over >= 1.0),
            ("bounds.cold_slack", "zero or more", self.cold_slack >= 0.0),
        ];
        check_all(&checks)
    }

    /// The bounds of the retry budget.
    pub(crate) fn budget(&self) -> RetryBudgetBounds {
        RetryBudgetBounds {
            ratio: self.repeat_ratio,
            window: Duration::from_secs_f64(self.repeat_window_s),
            allowance: self.repeat_allowance,
        }
    }

    /// How far the rate of cold endpoints may be exceeded.
    pub(crate) fn cold_tolerance(&self) -> ColdTolerance {
        ColdTolerance { factor: self.cold_over, slack: self.cold_slack }
    }

    /// The bounds on the age of the configuration.
    pub(crate) fn admission_bounds(&self) -> AdmissionBounds {
        let revoked = millis(self.key_revoked_ms);
        let key_age = (self.key_revoked_ms > 0.0).then(|| revoked.mul_f64(KEY_MAX_AGE_SHARE));
        AdmissionBounds { key_age, denial_age: millis(self.config_apply_ms) }
    }

    /// The time from a stop signal to the end of the process.
    pub(crate) fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.grace_s)
    }
}

fn millis(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1_000.0)
}
