//! How the memory and the descriptors of the process are divided.

use std::cell::Cell;
use std::rc::Rc;

use ringbend_gateway::CallerLimits;
use ringbend_runtime::{ConnectionLimits, Connections, ServerConfig};

use crate::config::RelayConfig;

/// The share of the memory that bodies of requests and responses may take.
const BODY_SHARE: f64 = 0.5;

/// The share of the memory that callers' connections may take, without the bodies of their requests
/// and responses.
const CONNECTION_SHARE: f64 = 0.25;

/// What a connection takes at most without bodies, in bytes: what the system has received, a request
/// head, and a response that is being written.
const CONNECTION_BYTES: f64 = 64.0 * 1_024.0;

/// The system's buffer for what a caller's connection has received, in bytes. Callers that send ahead
/// fill it.
const RECEIVE_BUFFER_BYTES: u32 = 32 << 10;

/// The descriptors that are reserved for files; sockets and pipes share the others.
const FILE_DESCRIPTORS: f64 = 200.0;

/// The share of the descriptors for sockets that callers' connections may take. A request also needs a
/// connection to its endpoint.
const CALLERS_DESCRIPTOR_SHARE: f64 = 0.5;

/// The maximum number of connections of the readiness and the metrics server each.
const MAX_ADMIN_CONNECTIONS: usize = 64;

/// Bytes per megabyte.
const MEGABYTE: f64 = 1_048_576.0;

/// The number of callers' connections for which every process has memory.
const MIN_CONNECTIONS: f64 = 64.0;

/// The bytes that bodies of requests and responses may take.
pub(crate) fn body_bytes(cfg: &RelayConfig) -> usize {
    (cfg.memory_mb * MEGABYTE * BODY_SHARE) as usize
}

/// The maximum number of callers' connections.
fn max_callers(cfg: &RelayConfig) -> usize {
    let by_memory = cfg.memory_mb * MEGABYTE * CONNECTION_SHARE / CONNECTION_BYTES;
    let by_descriptors = (cfg.max_descriptors - FILE_DESCRIPTORS) * CALLERS_DESCRIPTOR_SHARE;
    by_memory.max(MIN_CONNECTIONS).min(by_descriptors).max(1.0) as usize
}

/// The connections of callers, and the limits on them, which follow the configuration.
#[derive(Debug)]
pub(crate) struct CallerConnections {
    pub(crate) connections: Rc<Connections>,
    limits: Rc<Cell<ConnectionLimits>>,
}

impl CallerConnections {
    pub(crate) fn new(cfg: &RelayConfig) -> Self {
        let connections = Connections::new(max_callers(cfg));
        let callers = Self { connections, limits: Rc::default() };
        callers.set_limits(&CallerLimits::default());
        callers
    }

    /// Applies the limits of a configuration.
    pub(crate) fn set_limits(&self, limits: &CallerLimits) {
        self.limits.set(ConnectionLimits {
            head_bytes: limits.head_bytes,
            head_timeout: limits.head_time,
            idle_timeout: limits.idle_time,
            ..ConnectionLimits::default()
        });
    }

    /// The configuration of the callers' server.
    pub(crate) fn server_config(&self) -> ServerConfig {
        ServerConfig {
            limits: self.limits.clone(),
            connections: self.connections.clone(),
            receive_buffer_bytes: Some(RECEIVE_BUFFER_BYTES),
            ..ServerConfig::default()
        }
    }
}

/// The configuration of the readiness and metrics servers.
pub(crate) fn admin_server_config() -> ServerConfig {
    ServerConfig { connections: Connections::new(MAX_ADMIN_CONNECTIONS), ..ServerConfig::default() }
}
