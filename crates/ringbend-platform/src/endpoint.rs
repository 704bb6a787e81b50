//! Endpoints as the platform lists them, and what they report and accept.

use std::fmt;
use std::str::FromStr;

use ringbend_types::{
    AttemptId, DataCentre, EndpointId, FencingToken, ModelName, ServiceName, TokenCount,
};
use serde::{Deserialize, Serialize};

/// Header names between instances and endpoints.
pub mod headers {
    /// The attempt id; the endpoint echoes it on the response.
    pub const ATTEMPT_ID: &str = "x-attempt-id";
    /// The request id; a model engine writes it as `id` into each event.
    pub const REQUEST_ID: &str = "x-request-id";
    /// Priority of the request at the engine; 0 goes first.
    pub const PRIORITY: &str = "x-priority";
    /// Tokens of KV memory reserved for this attempt on other engines.
    pub const BORROWED_TOKENS: &str = "x-borrowed-tokens";
    /// Set by an endpoint that refused a request without running it.
    pub const NOT_RUN: &str = "x-not-run";
    /// A [`super::LoadReport`] as JSON, set by endpoints on each response.
    pub const LOAD_REPORT: &str = "x-load-report";
}

/// What kind of back end an endpoint is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointKind {
    /// Runs a model: prompts in, tokens out.
    Engine,
    /// A plain HTTP service.
    Service,
}

/// Whether an endpoint takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EndpointState {
    /// Takes new work.
    Live,
    /// Finishes what it has and takes nothing new.
    Leaving,
}

/// The text is not one of the allowed words.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ParseEndpointStateError;

impl fmt::Display for ParseEndpointStateError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "expected one of engine, service, live, leaving")
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

/// One endpoint in the platform's instance list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointEntry {
    /// The endpoint's id; a restarted endpoint gets a new one.
    pub id: EndpointId,
    /// Where it listens, `IP:port`.
    pub address: std::net::SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Engine or plain service.
    pub kind: EndpointKind,
    /// The service whose requests it takes.
    pub service: ServiceName,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// KV memory of an engine; zero for a plain service.
    pub kv_capacity: TokenCount,
    /// As the list has it; the truth may be ahead.
    pub state: EndpointState,
}

/// What an endpoint says of its load. Arrives late.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Requests being prefilled or decoded.
    pub running: u32,
    /// Requests waiting for memory or a place in the batch.
    pub waiting: u32,
    /// Prompt tokens not yet prefilled, of running and waiting requests.
    pub prefill_backlog: TokenCount,
    /// KV memory held by requests and reservations.
    pub kv_used: TokenCount,
    /// All KV memory.
    pub kv_capacity: TokenCount,
    /// Whether the endpoint is leaving.
    pub state: EndpointState,
}

/// A change in an engine's prefix cache. Late and gappy: a hint only.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts up by one per engine; a jump shows a gap.
    pub sequence: u64,
    /// Hash of the prefix up to and including the block.
    pub block: u64,
    /// Stored, or evicted.
    pub stored: bool,
}

/// KV memory held on one engine for an attempt that runs on another, or for an export.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reservation {
    /// The attempt that the memory is for; its incarnation names the holder.
    pub attempt: AttemptId,
    /// How much is held.
    pub tokens: TokenCount,
}

/// What an order asks for. All are idempotent: they name the wanted state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Have this model version loaded.
    LoadModel {
        /// The model.
        model: ModelName,
        /// Its version.
        version: u64,
    },
    /// Have this adapter loaded.
    LoadAdapter {
        /// The adapter.
        adapter: ModelName,
    },
    /// Have this role.
    SetRole {
        /// The role.
        role: ModelName,
    },
    /// Free the reservations of these attempts.
    FreeReservations {
        /// Whose memory is freed.
        attempts: Vec<AttemptId>,
    },
}

/// An order under a lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The number of the lease under which the order is given.
    pub fencing: FencingToken,
    /// What is asked.
    pub kind: OrderKind,
}

/// The endpoint has seen a higher fencing number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRefusal {
    /// The highest number seen.
    pub highest: FencingToken,
}
