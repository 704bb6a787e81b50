//! The Ringbend daemon as a library: the sockets, timers and codecs around the decision crates.
//!
//! [`Instance::start`] runs one instance on the current thread; both the `ringbendd` binary and the
//! playground call it. All state is owned by one `App`, which is passed to each module:
//!
//! | module | purpose |
//! |---|---|
//! | `callers` | the callers' API and the handling of each request |
//! | `admin` | the operators' API and the metrics |
//! | `platform` | clients of the table service, object store, instance list and endpoints |
//! | `peers` | gossip, limit shares and settings between instances |
//! | `policy_driver` | runs the policy: its events, actions and timer |
//! | `claims`, `settings_sync`, `sweep` | run the state machines of the same names |

mod admin;
mod app;
mod base_url;
mod callers;
mod claims;
mod config;
mod error;
mod instance;
mod peers;
mod platform;
mod policy_driver;
mod settings_sync;
mod sweep;

pub use base_url::{BaseUrl, ParseBaseUrlError};
pub use config::{
    AdminConfig, CallerKey, DaemonConfig, PlatformConfig, ShutdownConfig, TlsConfig, TracesConfig,
};
pub use error::DaemonError;
pub use instance::{Instance, StopReport};
