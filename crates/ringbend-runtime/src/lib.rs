//! What every Ringbend program runs on: a clock, a timer service that parts subscribe to, and
//! HTTP serving over `actix-http` with bounded bodies and answers streamed with back pressure.
//!
//! All of it lives on the thread that starts it.

mod body;
mod clock;
mod response;
mod server;
mod timers;

pub use body::{BodyError, read_body, read_body_with};
pub use clock::{Clock, unix_millis};
pub use response::{StreamError, StreamSender, empty, json, stream, text};
pub use server::{Handler, HttpRequest, HttpResponse, Server, ServerConfig, serve};
pub use timers::{Subscription, TimerService};
