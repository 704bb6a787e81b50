//! The daemon's own settings file: addresses, data centre, keys. What operators change all day
//! lies in the settings tree instead.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use ringbend_settings::closest_match;
use ringbend_telemetry::LogConfig;
use ringbend_types::{ClientAccountId, DataCentre, InstanceId};
use serde::{Deserialize, Serialize};

use crate::error::DaemonError;

/// Names that the file knows, for suggestions.
const KNOWN_NAMES: [&str; 30] = [
    "instance",
    "data_centre",
    "callers_address",
    "admin_address",
    "peers_address",
    "seeds",
    "seed",
    "platform",
    "table_url",
    "objects_url",
    "instances_url",
    "poll_ms",
    "call_timeout_ms",
    "endpoint_subset",
    "tls",
    "certificate",
    "key",
    "authority",
    "callers",
    "account",
    "admin",
    "keys",
    "log",
    "format",
    "level",
    "traces",
    "otlp_url",
    "shutdown",
    "grace_s",
    "unready_s",
];

/// One instance's settings.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DaemonConfig {
    /// This instance's name; a replacement may take it over.
    pub instance: InstanceId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Where callers connect.
    pub callers_address: SocketAddr,
    /// Where operators connect.
    pub admin_address: SocketAddr,
    /// Where other instances connect, over UDP.
    pub peers_address: SocketAddr,
    /// Peers' addresses of some other instances, to begin with.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Seed of random decisions; taken from the clock when left out.
    #[serde(default)]
    pub seed: Option<u64>,
    /// The platform's services.
    pub platform: PlatformConfig,
    /// Keys and certificates between instances.
    pub tls: TlsConfig,
    /// Callers' bearer keys.
    #[serde(default)]
    pub callers: Vec<CallerKey>,
    /// Operators' access.
    pub admin: AdminConfig,
    /// Logs.
    #[serde(default)]
    pub log: LogConfig,
    /// Traces.
    #[serde(default)]
    pub traces: TracesConfig,
    /// Shutdown.
    #[serde(default)]
    pub shutdown: ShutdownConfig,
}

/// The platform's services.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlatformConfig {
    /// The table service, `http://IP:port`.
    pub table_url: Arc<str>,
    /// The object store.
    pub objects_url: Arc<str>,
    /// The instance list.
    pub instances_url: Arc<str>,
    /// How often the list, and engines that have not reported, are polled, in milliseconds.
    /// Settings, which peers push, are polled half as often.
    #[serde(default = "PlatformConfig::default_poll_ms")]
    pub poll_ms: u64,
    /// Bound of one call, in milliseconds.
    #[serde(default = "PlatformConfig::default_call_timeout_ms")]
    pub call_timeout_ms: u64,
    /// Most endpoints of one service that this instance uses; 0 uses all. With many instances and
    /// many endpoints each instance needs only some, chosen by rendezvous.
    #[serde(default)]
    pub endpoint_subset: usize,
}

impl PlatformConfig {
    /// One second.
    fn default_poll_ms() -> u64 {
        1_000
    }

    /// One second.
    fn default_call_timeout_ms() -> u64 {
        1_000
    }
}

/// Keys and certificates between instances, as PEM files.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TlsConfig {
    /// This instance's certificate.
    pub certificate: PathBuf,
    /// Its private key.
    pub key: PathBuf,
    /// The authority that signed all instances' certificates.
    pub authority: PathBuf,
}

/// One caller's key.
#[derive(Clone, Serialize, Deserialize)]
pub struct CallerKey {
    /// The client account that the key stands for.
    pub account: ClientAccountId,
    /// The bearer key.
    pub key: Arc<str>,
}

impl std::fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CallerKey").field("account", &self.account).finish_non_exhaustive()
    }
}

/// Operators' access.
#[derive(Clone, Serialize, Deserialize)]
pub struct AdminConfig {
    /// Operators' bearer keys; callers' keys do not open the operators' API.
    pub keys: Vec<Arc<str>>,
}

impl std::fmt::Debug for AdminConfig {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "AdminConfig {{ {} keys }}", self.keys.len())
    }
}

/// Traces.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct TracesConfig {
    /// The collector's traces route, such as `http://127.0.0.1:4318/v1/traces`; without it no
    /// spans are made.
    #[serde(default)]
    pub otlp_url: Option<Arc<str>>,
}

/// Shutdown.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default)]
pub struct ShutdownConfig {
    /// How long the instance is unready and still takes requests, so that the balancer sees it
    /// first, in seconds.
    pub unready_s: u64,
    /// How long running requests may take after that, in seconds.
    pub grace_s: u64,
}

impl Default for ShutdownConfig {
    fn default() -> Self {
        Self { unready_s: 3, grace_s: 3_600 }
    }
}

impl DaemonConfig {
    /// Reads a settings file. Names it does not know are returned as warnings, each with the path
    /// of the name and the nearest known one.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or a value is missing or does not hold.
    pub fn read(path: &Path) -> Result<(Self, Vec<String>), Report<DaemonError>> {
        let text = std::fs::read_to_string(path)
            .change_context(DaemonError::Config)
            .attach_with(|| format!("reading {}", path.display()))?;
        Self::parse(&text)
    }

    /// As [`read`](Self::read), from the file's text.
    ///
    /// # Errors
    ///
    /// A value is missing or does not hold.
    pub fn parse(text: &str) -> Result<(Self, Vec<String>), Report<DaemonError>> {
        let mut warnings = Vec::new();
        let values = toml::Deserializer::parse(text).change_context(DaemonError::Config)?;
        let cfg = serde_ignored::deserialize(values, |path| {
            warnings.push(unknown_name(&path.to_string()));
        })
        .change_context(DaemonError::Config)?;
        Ok((cfg, warnings))
    }
}

fn unknown_name(path: &str) -> String {
    let name = path.rsplit('.').next().unwrap_or(path);
    match closest_match(name, KNOWN_NAMES.into_iter()) {
        Some(known) => format!("unknown setting {path:?}; did you mean {known:?}?"),
        None => format!("unknown setting {path:?}; see docs/SETTINGS.md"),
    }
}
