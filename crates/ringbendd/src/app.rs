//! The one context value that is passed down.

use std::cell::Cell;
use std::rc::Rc;

use ringbend_runtime::{Clock, TimerService};
use ringbend_telemetry::{Metrics, Tracing};
use ringbend_types::{Incarnation, Timestamp};

use crate::claims::Claims;
use crate::config::DaemonConfig;
use crate::decisions::Decisions;
use crate::peers::Peers;
use crate::platform::{EndpointControl, InstanceList, ObjectStore, TableService};
use crate::settings_sync::SettingsSync;

/// How far the instance is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// Not ready: settings or endpoints are not known yet.
    Starting,
    /// Takes requests.
    Serving,
    /// Says that it is not ready, and takes requests while the balancer has not seen it.
    Unready,
    /// Takes no requests and finishes what runs.
    Draining,
}

/// Everything one instance is made of.
pub(crate) struct App {
    pub(crate) cfg: DaemonConfig,
    pub(crate) incarnation: Incarnation,
    pub(crate) clock: Clock,
    pub(crate) timers: TimerService,
    pub(crate) metrics: Metrics,
    pub(crate) tracing: Tracing,
    pub(crate) pooled: awc::Client,
    pub(crate) table: Rc<dyn TableService>,
    pub(crate) objects: Rc<dyn ObjectStore>,
    pub(crate) list: Rc<dyn InstanceList>,
    pub(crate) control: Rc<dyn EndpointControl>,
    pub(crate) decisions: Decisions,
    pub(crate) claims: Claims,
    pub(crate) settings: SettingsSync,
    pub(crate) peers: Peers,
    pub(crate) phase: Cell<Phase>,
    /// Requests cut off by a second signal.
    pub(crate) cut_off: Cell<usize>,
}

impl App {
    /// The time now.
    pub(crate) fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Becomes ready once settings and endpoints are known.
    pub(crate) fn check_ready(&self) {
        let known = self.settings.is_known() && self.decisions.has_endpoints();
        if self.phase.get() == Phase::Starting && known {
            self.phase.set(Phase::Serving);
            log::info!("ready");
        }
    }
}
