//! The Ringbend daemon as a library: sockets, timers and codecs around the decision crates.
//!
//! [`Instance::start`] runs one instance on the current thread; `ringbendd` and the playground
//! both call it. All state hangs from one `App` that is passed down; each part is one module:
//!
//! | module | drives |
//! |---|---|
//! | `callers` | the API that callers speak, and the life of each request |
//! | `admin` | the operators' API and the metrics |
//! | `platform` | table service, object store, instance list, endpoints |
//! | `peers` | gossip, shares of limits and settings between instances |
//! | `decisions` | the policy: its events, actions and timer |
//! | `claims`, `settings_sync`, `sweep` | the machines of the same subject |

mod admin;
mod app;
mod callers;
mod claims;
mod config;
mod decisions;
mod error;
mod instance;
mod peers;
mod platform;
mod settings_sync;
mod sweep;

pub use config::{
    AdminConfig, CallerKey, DaemonConfig, PlatformConfig, ShutdownConfig, TlsConfig, TracesConfig,
};
pub use error::DaemonError;
pub use instance::{Instance, StopReport};
