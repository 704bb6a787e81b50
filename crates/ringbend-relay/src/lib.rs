//! The driver of the opaque path: it carries out what `ringbend-gateway` decides.
//!
//! Callers come in over HTTP/1.1; each send to an endpoint has a connection of its own; two watched
//! tables keep configuration and endpoints current. The words on the wire and the store's protocol
//! belong to an adapter that implements [`Dialect`] and [`Source`].

mod admission;
mod asking;
mod callers;
mod config;
mod copies;
mod crashes;
mod doors;
mod ends;
mod exchange;
mod fetch;
mod fields;
mod fingerprint;
mod granting;
mod headers;
mod hearing;
mod joining;
mod keeping;
mod life;
mod limits;
mod link;
mod memory;
mod node;
mod pacing;
mod places;
mod placing;
mod ports;
mod refusal;
mod relay;
mod relayed;
mod runs;
mod scheduled;
mod sending;
mod signals;
mod silence;
mod stopping;
mod streams;
mod suspects;
mod telling;
mod turns;
mod watch;

pub use config::{BoundsConfig, ListenConfig, RelayConfig, RelayConfigError, StoreConfig};
pub use ports::{
    Batch, ConfigDecoder, ConfigItem, ConfigSource, Cursor, Dialect, DurableRow, DurableStore,
    EndpointSource, EngineReport, ForwardContext, InstanceRecord, InstanceRegistry,
    InvalidRequestHead, InvalidRow, PrefillHelper, ReportRequest, RequestMetadata,
    ReservationCommand, ReservationRequest, ResponseMetadata, Source, SourceError,
};
pub use relay::{Ports, Relay, RelayError};
pub use stopping::StopSummary;
