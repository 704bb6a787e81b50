//! What is still to be told to other instances.

use ringbend_types::{EndpointId, EndpointStart, Fingerprint};

use crate::health::HealthEvent;
use crate::load::WorkId;
use crate::pace::Pace;

/// What is still to be told to other instances. Work is this instance's own, or that of instances
/// which it schedules for.
#[derive(Debug, Clone, Default)]
pub struct Outbox {
    /// Long prompts that have begun to wait.
    pub waiting: Vec<WorkId>,
    /// Work that was placed.
    pub placed: Vec<WorkId>,
    /// Work whose first event has come.
    pub writing: Vec<WorkId>,
    /// Work that has ended.
    pub ended: Vec<WorkId>,
    /// Endpoints that an engine named as unable to help it.
    pub unfit: Vec<EndpointId>,
    /// Endpoints that have started again, by their own word.
    pub restarts: Vec<(EndpointId, EndpointStart)>,
    /// Engines that were slower than expected, for whoever asks them.
    pub slow_engines: Vec<EndpointId>,
    /// How much slower than configured engines are.
    pub paces: Vec<(EndpointId, Pace)>,
    /// Starts of instances that have ended, whose work has ended with them.
    pub ended_instances: Vec<u64>,
    /// How this instance's requests went at endpoints; for the one that schedules for it.
    pub results: Vec<(EndpointId, HealthEvent)>,
    /// Requests that are suspected of ending endpoints, or no more, for all instances.
    pub suspicions: Vec<Fingerprint>,
    /// The same, for those of this data centre that do not schedule.
    pub local_suspicions: Vec<Fingerprint>,
    /// Endpoints whose limit is another now, for all instances.
    pub limits: Vec<EndpointId>,
    /// The same, for those of this data centre that do not schedule.
    pub local_limits: Vec<EndpointId>,
    /// Endpoints that are now known to be draining, for all instances.
    pub drains: Vec<EndpointId>,
    /// The same, for those of this data centre that do not schedule.
    pub local_drains: Vec<EndpointId>,
}
