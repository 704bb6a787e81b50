//! Endpoints in the platform's instance list, and the messages exchanged with them.

use std::fmt;
use std::str::FromStr;

use ringbend_types::{
    AttemptId, DataCentre, EndpointId, FencingToken, ModelName, ServiceName, TokenCount,
};
use serde::{Deserialize, Serialize};

/// Names of the HTTP headers between instances and endpoints.
pub mod headers {
    /// The attempt id, which the endpoint echoes in the response.
    pub const ATTEMPT_ID: &str = "x-attempt-id";
    /// The request id, which a model engine includes as `id` in each event.
    pub const REQUEST_ID: &str = "x-request-id";
    /// The priority of the request at the engine; 0 is the highest.
    pub const PRIORITY: &str = "x-priority";
    /// KV cache tokens that are reserved for this attempt on other engines.
    pub const BORROWED_TOKENS: &str = "x-borrowed-tokens";
    /// Set by an endpoint that rejected a request without running it.
    pub const NOT_RUN: &str = "x-not-run";
    /// A [`super::LoadReport`] as JSON, set by endpoints on every response.
    pub const LOAD_REPORT: &str = "x-load-report";
}

/// The kind of an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// A model engine, which generates tokens from prompts.
    Engine,
    /// A plain HTTP service.
    Service,
}

/// Whether an endpoint accepts new requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Accepts new requests.
    Live,
    /// Finishes its open requests and accepts no new ones.
    Leaving,
}

/// The string is not the name of an endpoint state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseEndpointStateError;

impl fmt::Display for ParseEndpointStateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected live or leaving")
    }
}

impl std::error::Error for ParseEndpointStateError {}

impl FromStr for EndpointState {
    type Err = ParseEndpointStateError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "live" => Ok(Self::Live),
            "leaving" => Ok(Self::Leaving),
            _ => Err(ParseEndpointStateError),
        }
    }
}

/// An entry in the platform's instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// The endpoint's id. A restarted endpoint gets a new one.
    pub id: EndpointId,
    /// The address that it listens on, as `IP:port`.
    pub address: std::net::SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: DataCentre,
    /// The kind of the endpoint.
    pub kind: EndpointKind,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Whether it rejects orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// KV cache capacity of an engine; zero for a plain service.
    pub kv_capacity: TokenCount,
    /// The state according to the list, which may lag behind the actual state.
    pub state: EndpointState,
}

/// The load that an endpoint reports. May be outdated on arrival.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests in prefill or decode.
    pub running: u32,
    /// Requests waiting for KV cache memory or for a slot in the batch.
    pub waiting: u32,
    /// Prompt tokens of running and waiting requests that are not prefilled yet.
    pub prefill_backlog: TokenCount,
    /// KV cache memory used by requests and reservations.
    pub kv_used: TokenCount,
    /// Total KV cache memory.
    pub kv_capacity: TokenCount,
    /// The state of the endpoint.
    pub state: EndpointState,
}

/// A change in an engine's prefix cache. Events may be delayed or lost, so they are only a hint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number, increasing by one per engine. A jump indicates lost events.
    pub sequence: u64,
    /// Hash of the prefix up to and including the block.
    pub block: u64,
    /// `true` if the block was stored, `false` if it was evicted.
    pub stored: bool,
}

/// KV cache memory held on one engine for an attempt that runs on another one, or for an export.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The attempt that the memory is reserved for. Its incarnation identifies the holder.
    pub attempt: AttemptId,
    /// The amount of memory held.
    pub tokens: TokenCount,
}

/// The content of an order. All orders are idempotent, because they specify the desired state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load this version of a model.
    LoadModel {
        /// The model.
        model: ModelName,
        /// Its version.
        version: u64,
    },
    /// Load this adapter.
    LoadAdapter {
        /// The adapter.
        adapter: ModelName,
    },
    /// Take this role.
    SetRole {
        /// The role.
        role: ModelName,
    },
    /// Free the reservations of these attempts.
    FreeReservations {
        /// The attempts whose reservations are freed.
        attempts: Vec<AttemptId>,
    },
}

/// An order issued under a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing token of the lease under which the order is issued.
    pub fencing: FencingToken,
    /// The content of the order.
    pub kind: OrderKind,
}

/// The endpoint rejected an order, because it has seen a higher fencing token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRefusal {
    /// The highest fencing token seen.
    pub highest: FencingToken,
}
