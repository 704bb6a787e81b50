//! The relay, which executes the decisions of `ringbend-gateway` for requests whose bodies are
//! passed through unread.
//!
//! Callers connect over HTTP/1.1. Each send to an endpoint uses a connection of its own. Two
//! watches keep local copies of the configuration and endpoint tables current. Headers and the
//! store's protocol belong to an adapter that implements [`Dialect`] and [`Source`].

mod active_request;
mod admin;
mod admission;
mod buffers;
mod callers;
mod cold_endpoints;
mod config;
mod config_copy;
mod connection;
mod connector;
mod copy_server;
mod crashes;
mod discovery;
mod ended_endpoints;
mod endpoint_copy;
mod engine_pace;
mod evacuations;
mod event_queue;
mod exchange;
mod fingerprint;
mod gossip_receiver;
mod gossip_sender;
mod guarded_body;
mod headers;
mod hedging;
mod limits;
mod listing;
mod log_fields;
mod lost_endpoints;
mod membership;
mod network;
mod node;
mod overload_driver;
mod overload_queues;
mod peer_copies;
mod peer_socket;
mod pending_calls;
mod permits;
mod placement;
mod placement_grants;
mod placement_requests;
mod ports;
mod prompt_queue;
mod ranks;
mod refusal;
mod registry_copy;
mod registry_watch;
mod relay;
mod reservations;
mod resources;
mod runs;
mod scheduling;
mod sending;
mod short_prompts;
mod shutdown;
mod signals;
mod start_survey;
mod streams;
mod survival;
mod suspect_keys;
mod suspect_store;
mod suspects;
mod table_copies;
mod table_gossip;
mod timeouts;
mod tunnel;
mod tunnel_server;
mod watch;

pub use config::{
    BoundsConfig, ListenConfig, OverloadSettings, RelayConfig, RelayConfigError, StoreConfig,
};
pub use network::TcpNetwork;
pub use ports::{
    Batch, ConfigDecoder, ConfigItem, ConfigSource, Dialect, DurableRow, DurableStore,
    EndpointSource, EngineReport, ForwardContext, InstanceRecord, InstanceRegistry,
    InvalidRequestHead, InvalidRow, Network, OperatorChange, Page, PagedTable, PrefillHelper,
    RegistryBatch, RegistryChange, ReportRequest, RequestMetadata, ReservationCommand,
    ReservationRequest, ResponseMetadata, Source, SourceError,
};
pub use relay::{Ports, Relay, RelayError};
pub use shutdown::StopSummary;
