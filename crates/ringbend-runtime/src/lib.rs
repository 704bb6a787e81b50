//! Runtime services shared by all Ringbend programs: a clock, a timer service with subscriptions, and an
//! HTTP server on `actix-http` with bounded request bodies and backpressure on streamed responses.
//!
//! All of these run on the thread that starts them.

mod body;
mod clock;
mod connections;
mod http1;
mod http1_io;
mod panics;
mod protocols;
mod response;
mod response_decoder;
mod server;
mod timers;

pub use body::{BodyError, read_body, read_chunks};
pub use clock::{Clock, unix_millis};
pub use connections::{ConnectionCounts, Connections};
pub use panics::{Panicked, catch_panic};
pub use response::{
    NOT_RUN_STATUSES, StreamChunk, StreamError, StreamSender, empty, json, stream, text,
};
pub use response_decoder::{BodyDecoder, BodyPart, CodecPanic, ResponseDecoder, catch_codec_panic};
pub use server::{
    ConnectionLimits, Handler, HttpRequest, HttpResponse, PendingTunnel, Server, ServerConfig,
    TunnelHandler, serve, serve_with_tunnels,
};
pub use timers::{Subscription, TimerService};
