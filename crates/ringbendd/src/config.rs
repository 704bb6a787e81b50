//! The daemon's settings file: addresses, data centre and keys. Settings that operators change at
//! runtime are in the settings tree instead.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use ringbend_settings::closest_match;
use ringbend_telemetry::LogConfig;
use ringbend_types::{ClientAccountId, DataCentre, InstanceId};
use serde::{Deserialize, Serialize};

use crate::base_url::BaseUrl;
use crate::error::DaemonError;

/// All names in the file, used to suggest corrections.
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

/// The settings of one instance.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DaemonConfig {
    /// The instance's name; a replacement may reuse it.
    pub instance: InstanceId,
    /// The data centre it runs in.
    pub data_centre: DataCentre,
    /// Address of the callers' API.
    pub callers_address: SocketAddr,
    /// Address of the operators' API.
    pub admin_address: SocketAddr,
    /// UDP address for other instances.
    pub peers_address: SocketAddr,
    /// Peer addresses of a few other instances, used to join.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Seed of random decisions; taken from the clock if unset.
    #[serde(default)]
    pub seed: Option<u64>,
    /// The services of the platform.
    pub platform: PlatformConfig,
    /// Keys and certificates for connections between instances.
    pub tls: TlsConfig,
    /// The callers' bearer keys.
    #[serde(default)]
    pub callers: Vec<CallerKey>,
    /// Access for operators.
    pub admin: AdminConfig,
    /// Logging.
    #[serde(default)]
    pub log: LogConfig,
    /// Tracing.
    #[serde(default)]
    pub traces: TracesConfig,
    /// Shutdown.
    #[serde(default)]
    pub shutdown: ShutdownConfig,
}

/// The services of the platform.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct PlatformConfig {
    /// URL of the table service, `http://IP:port`.
    pub table_url: BaseUrl,
    /// URL of the object store.
    pub objects_url: BaseUrl,
    /// URL of the instance list.
    pub instances_url: BaseUrl,
    /// Poll interval of the instance list, and of engines that have not reported, in milliseconds.
    /// Settings are polled half as often, because peers push them.
    #[serde(default = "PlatformConfig::default_poll_ms")]
    pub poll_ms: u64,
    /// Timeout of a call, in milliseconds.
    #[serde(default = "PlatformConfig::default_call_timeout_ms")]
    pub call_timeout_ms: u64,
    /// Maximum number of endpoints per service that this instance uses; 0 uses all. With many
    /// instances and many endpoints each instance needs only some of them, chosen by rendezvous
    /// hashing.
    #[serde(default)]
    pub endpoint_subset: usize,
}

impl PlatformConfig {
    fn default_poll_ms() -> u64 {
        1_000
    }

    fn default_call_timeout_ms() -> u64 {
        1_000
    }
}

/// Key and certificates for connections between instances, as PEM files.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct TlsConfig {
    /// This instance's certificate.
    pub certificate: PathBuf,
    /// The certificate's private key.
    pub key: PathBuf,
    /// The authority that signed the certificates of all instances.
    pub authority: PathBuf,
}

/// A caller's key.
#[derive(Clone, Serialize, Deserialize)]
pub struct CallerKey {
    /// The client account that the key authenticates.
    pub account: ClientAccountId,
    /// The bearer key.
    pub key: Arc<str>,
}

impl std::fmt::Debug for CallerKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CallerKey").field("account", &self.account).finish_non_exhaustive()
    }
}

/// Access for operators.
#[derive(Clone, Serialize, Deserialize)]
pub struct AdminConfig {
    /// Operators' bearer keys. Callers' keys are not valid for the operators' API.
    pub keys: Vec<Arc<str>>,
}

impl std::fmt::Debug for AdminConfig {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "AdminConfig {{ {} keys }}", self.keys.len())
    }
}

/// Tracing.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct TracesConfig {
    /// The collector's traces URL, such as `http://127.0.0.1:4318/v1/traces`; without it no spans
    /// are created.
    #[serde(default)]
    pub otlp_url: Option<Arc<str>>,
}

/// Shutdown.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(default)]
pub struct ShutdownConfig {
    /// How long the instance reports not ready but still accepts requests, so that the load
    /// balancer notices first, in seconds.
    pub unready_s: u64,
    /// How long open requests may take after that, in seconds.
    pub grace_s: u64,
}

impl Default for ShutdownConfig {
    fn default() -> Self {
        Self { unready_s: 3, grace_s: 3_600 }
    }
}

impl DaemonConfig {
    /// Reads a settings file. Unknown names are returned as warnings, each with its path and the
    /// nearest known name.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or a value is missing or invalid.
    pub fn read(path: &Path) -> Result<(Self, Vec<String>), Report<DaemonError>> {
        let text = std::fs::read_to_string(path)
            .change_context(DaemonError::Config)
            .attach_with(|| format!("reading {}", path.display()))?;
        Self::parse(&text)
    }

    /// Same as [`read`](Self::read), but from the file's text.
    ///
    /// # Errors
    ///
    /// A value is missing or invalid.
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
