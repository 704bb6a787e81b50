//! The settings file of one relay: addresses, its place, and the bounds it keeps to.

use std::fmt;
use std::net::SocketAddrV4;
use std::path::Path;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use ringbend_gateway::{AdmissionBounds, PlacementWeights, RetryBudgetBounds};
use ringbend_settings::closest_match;
use ringbend_telemetry::LogConfig;
use ringbend_types::{DataCentre, InstanceId};
use serde::{Deserialize, Serialize};

/// Why settings cannot be used.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RelayConfigError {
    /// The file cannot be read.
    Unreadable,
    /// It is no TOML, or a value has the wrong type.
    Malformed,
    /// A value lies outside its range.
    OutOfRange {
        /// The setting.
        setting: &'static str,
        /// What is allowed.
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

/// One relay's settings.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RelayConfig {
    /// This instance's name.
    pub instance: InstanceId,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// The share of a processor core that it may use. Of the instances of a data centre those with
    /// most of it schedule for all.
    #[serde(default = "whole_core")]
    pub cpu_share: f64,
    /// Where it listens.
    pub listen: ListenConfig,
    /// Where the store of configuration and endpoints is.
    pub store: StoreConfig,
    /// Bounds that it keeps to.
    #[serde(default)]
    pub bounds: BoundsConfig,
    /// What counts how much when a request is placed on engines.
    #[serde(default)]
    pub placement: PlacementWeights,
    /// Logs.
    #[serde(default)]
    pub log: LogConfig,
    /// Warnings about settings that this version does not know, each with its path.
    #[serde(skip)]
    pub unknown: Vec<String>,
}

/// What an instance may use where its settings do not say.
fn whole_core() -> f64 {
    1.0
}

/// Thousandths of a core in one.
const MILLIS_PER_CORE: f64 = 1_000.0;

/// More cores than any machine has.
const MOST_CORES: f64 = 1_024.0;

/// Where a relay listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListenConfig {
    /// Callers' requests, TCP.
    pub callers: SocketAddrV4,
    /// The balancer's question whether this instance takes requests, TCP.
    pub ready: SocketAddrV4,
    /// Metrics, TCP; none are served when left out.
    pub metrics: Option<SocketAddrV4>,
    /// Other instances, UDP and TCP; load is not shared when left out.
    pub peers: Option<SocketAddrV4>,
    /// Instances that may be there, to find the others by; they are greeted at the port of `peers`,
    /// which is the same on all.
    #[serde(default)]
    pub seeds: Vec<SocketAddrV4>,
}

/// The store that is watched.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoreConfig {
    /// Its address.
    pub address: SocketAddrV4,
}

/// Bounds on time and repeats, as agreed with those who run the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct BoundsConfig {
    /// Milliseconds after which a key that was taken away must be refused; zero for no bound.
    pub key_revoked_ms: f64,
    /// Milliseconds within which a configuration is in force.
    pub config_apply_ms: f64,
    /// Seconds from a stop signal to the end of the process.
    pub grace_s: f64,
    /// Repeats allowed for each request of a service.
    pub repeat_ratio: f64,
    /// Seconds over which repeats are counted.
    pub repeat_window_s: f64,
    /// Repeats allowed besides, over all instances.
    pub repeat_allowance: f64,
}

impl Default for BoundsConfig {
    fn default() -> Self {
        // What holds until an operator says otherwise; the ratio is the field's usual fifth.
        Self {
            key_revoked_ms: 5_000.0,
            config_apply_ms: 2_000.0,
            grace_s: 8.0,
            repeat_ratio: 0.2,
            repeat_window_s: 10.0,
            repeat_allowance: 50.0,
        }
    }
}

/// Names that the file knows, for suggestions.
const KNOWN_NAMES: [&str; 32] = [
    "instance",
    "data_centre",
    "cpu_share",
    "listen",
    "callers",
    "ready",
    "metrics",
    "peers",
    "seeds",
    "store",
    "address",
    "bounds",
    "key_revoked_ms",
    "config_apply_ms",
    "grace_s",
    "repeat_ratio",
    "repeat_window_s",
    "repeat_allowance",
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
    "log",
    "format",
    "level",
    "output",
];

/// The part of the bound on revoked keys after which a copy of the configuration lets no key in.
/// What is left covers the call that is on its way when the copy was last proved current.
const KEY_AGE_SHARE: f64 = 0.7;

impl RelayConfig {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// It cannot be read, is malformed or holds a value out of range.
    pub fn read(path: &Path) -> Result<Self, Report<RelayConfigError>> {
        let text = std::fs::read_to_string(path).change_context(RelayConfigError::Unreadable)?;
        Self::parse(&text)
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// They are malformed or hold a value out of range.
    pub fn parse(text: &str) -> Result<Self, Report<RelayConfigError>> {
        let values = toml::Deserializer::parse(text).change_context(RelayConfigError::Malformed)?;
        let mut unknown = Vec::new();
        let cfg: Self = serde_ignored::deserialize(values, |path| {
            unknown.push(unknown_name(&path.to_string()));
        })
        .change_context(RelayConfigError::Malformed)?;
        cfg.bounds.check()?;
        check_placement(&cfg.placement)?;
        let is_share = cfg.cpu_share > 0.0 && cfg.cpu_share <= MOST_CORES;
        check_all(&[("cpu_share", "above 0, at most 1,024", is_share)])?;
        Ok(Self { unknown, ..cfg })
    }

    /// The processor time that it may use, in thousandths of a core.
    pub(crate) fn capacity(&self) -> u32 {
        (self.cpu_share * MILLIS_PER_CORE) as u32
    }
}

/// Settings with what is allowed, and whether that holds.
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
    let is_span = |ms: f64| ms.is_finite() && ms >= 0.0;
    check_all(&[
        ("placement.stake_power", "between 0 and 4", (0.0..=4.0).contains(&w.stake_power)),
        ("placement.late_at", "above placement.late_from", w.late_at > w.late_from),
        ("placement.part_ms", "above zero", w.part_ms.is_finite() && w.part_ms > 0.0),
        ("placement.long_ms", "zero or more", is_span(w.long_ms)),
        ("placement.free_ms", "zero or more", is_span(w.free_ms)),
        ("placement.longest_ms", "above zero", w.longest_ms.is_finite() && w.longest_ms > 0.0),
        ("placement.full_share", "above 0, at most 1", w.full_share > 0.0 && w.full_share <= 1.0),
        ("placement.dear", "zero or more", is_span(w.dear)),
        ("placement.spare_ms", "zero or more", is_span(w.spare_ms)),
        ("placement.quiet_growth", "zero or more", is_span(w.quiet_growth)),
        ("placement.quiet_spare", "zero or more", is_span(w.quiet_spare)),
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
        ];
        check_all(&checks)
    }

    /// The bounds of the repeat budget.
    pub(crate) fn budget(&self) -> RetryBudgetBounds {
        RetryBudgetBounds {
            ratio: self.repeat_ratio,
            window: Duration::from_secs_f64(self.repeat_window_s),
            allowance: self.repeat_allowance,
        }
    }

    /// The bounds on how old the configuration may be.
    pub(crate) fn gate(&self) -> AdmissionBounds {
        let revoked = millis(self.key_revoked_ms);
        let key_age = (self.key_revoked_ms > 0.0).then(|| revoked.mul_f64(KEY_AGE_SHARE));
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
