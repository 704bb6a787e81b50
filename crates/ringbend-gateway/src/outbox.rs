//! Updates to be sent to other instances.

use ringbend_types::{EndpointId, EndpointStart, Fingerprint};

use crate::health::HealthEvent;
use crate::load::WorkId;
use crate::pace::Pace;
use crate::residual_load::UsageReport;

/// Updates to be sent to other instances. The listed work is this instance's own, or that of
/// instances for which it schedules.
#[derive(Debug, Clone, Default)]
pub struct Outbox {
    /// Long prompts that have started to wait.
    pub waiting: Vec<WorkId>,
    /// Placed work.
    pub placed: Vec<WorkId>,
    /// Work whose first event has arrived.
    pub writing: Vec<WorkId>,
    /// Work that has ended.
    pub ended: Vec<WorkId>,
    /// Endpoints that an engine reported as unable to help it.
    pub unfit: Vec<EndpointId>,
    /// Endpoints that reported a restart, with their new start time.
    pub restarts: Vec<(EndpointId, EndpointStart)>,
    /// Engines that were slower than expected, for the scheduler that queries them.
    pub slow_engines: Vec<EndpointId>,
    /// How much slower than configured engines are.
    pub paces: Vec<(EndpointId, Pace)>,
    /// What engines reported to run when this instance had just started, for other schedulers.
    pub usages: Vec<(EndpointId, UsageReport)>,
    /// Incarnations of instances that have ended, and whose work has ended with them.
    pub ended_instances: Vec<u64>,
    /// Results of this instance's requests at endpoints, for the scheduler that places them.
    pub results: Vec<(EndpointId, HealthEvent)>,
    /// Requests that became or ceased to be suspected of ending endpoints, for all instances.
    pub suspicions: Vec<Fingerprint>,
    /// The same, for the instances of this data centre that do not schedule.
    pub local_suspicions: Vec<Fingerprint>,
    /// Endpoints whose limit has changed, for all instances.
    pub limits: Vec<EndpointId>,
    /// The same, for the instances of this data centre that do not schedule.
    pub local_limits: Vec<EndpointId>,
    /// Endpoints newly known to be draining, for all instances.
    pub drains: Vec<EndpointId>,
    /// The same, for the instances of this data centre that do not schedule.
    pub local_drains: Vec<EndpointId>,
}
