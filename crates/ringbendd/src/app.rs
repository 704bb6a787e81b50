//! The application state shared by all parts of an instance.

use std::cell::Cell;
use std::rc::Rc;

use ringbend_runtime::{Clock, TimerService};
use ringbend_telemetry::{Metrics, Tracing};
use ringbend_types::{Incarnation, Timestamp};

use crate::claims::Claims;
use crate::config::DaemonConfig;
use crate::peers::Peers;
use crate::platform::{EndpointControl, InstanceList, ObjectStore, TableService};
use crate::policy_driver::PolicyDriver;
use crate::settings_sync::SettingsSync;

/// Lifecycle phase of an instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Not ready: settings or endpoints have not been loaded yet.
    Starting,
    /// Ready and accepting requests.
    Serving,
    /// Reports not ready but still accepts requests until the load balancer has noticed.
    Unready,
    /// Accepts no new requests and finishes the open ones.
    Draining,
}

/// Everything that makes up an instance.
pub(crate) struct App {
    pub(crate) cfg: DaemonConfig,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) timers: TimerService,
    pub(crate) metrics: Metrics,
    pub(crate) tracing: Tracing,
    pub(crate) http_client: awc::Client,
    pub(crate) table: Rc<dyn TableService>,
    pub(crate) objects: Rc<dyn ObjectStore>,
    pub(crate) instance_list: Rc<dyn InstanceList>,
    pub(crate) endpoint_control: Rc<dyn EndpointControl>,
    pub(crate) policy: PolicyDriver,
    pub(crate) claims: Claims,
    pub(crate) settings: SettingsSync,
    pub(crate) peers: Peers,
    pub(crate) phase: Cell<Phase>,
    /// Number of requests cut off, by a second signal or at the end of the grace time.
    pub(crate) cut_off: Cell<usize>,
}

impl App {
    /// Returns the current time.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Switches to serving once settings and endpoints have been loaded.
    pub(crate) fn check_ready(&self) {
        let loaded = self.settings.is_loaded() && self.policy.has_endpoints();
        if self.phase.get() == Phase::Starting && loaded {
            self.phase.set(Phase::Serving);
            log::info!("ready");
        }
    }
}
