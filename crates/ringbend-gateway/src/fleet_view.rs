//! The input of placement and turn decisions: the estimated state of the fleet at one moment.

use ringbend_types::{DataCentre, EndpointId, Timestamp};

use crate::account_shares::AccountShares;
use crate::directory::Endpoint;
use crate::engine::EngineProfile;
use crate::health::HealthTracker;
use crate::limits::Limits;
use crate::load::{EndpointLoad, LoadTracker};
use crate::priorities::{Priorities, Rank};
use crate::spread::SpreadOrder;
use crate::weights::PlacementWeights;

/// The share of an engine's memory that placement uses.
const MEMORY_SHARE: f64 = 0.95;

/// The input of a placement decision.
#[derive(Clone, Copy)]
pub struct FleetView<'a> {
    /// The current time.
    pub now: Timestamp,
    /// The data centre of this instance.
    pub home: &'a DataCentre,
    /// The load of all endpoints.
    pub load: &'a LoadTracker,
    /// Set if other instances may place requests that are not known here: the order in which this
    /// request prefers engines. The load of others is unknown then, so requests are not concentrated on few engines, and the order
    /// breaks ties between engines of the same cost. Without it, a burst of callers that return to
    /// instances which have just started would reach the same engines.
    pub spread: Option<SpreadOrder>,
    /// Whether the instance is alone and has just started, so that others may be heard soon. Long
    /// prompts wait for that: after a loss of all instances, each instance sent the returning long
    /// prompts to the same engines at once.
    pub starting: bool,
    /// Whether a prompt that is read by one engine avoids engines without enough memory for it as
    /// long as others have some.
    pub avoids_full_memory: bool,
    /// The weights of the cost function.
    pub weights: &'a PlacementWeights,
    /// The health of endpoints.
    pub health: &'a HealthTracker,
    /// The endpoints to which this request was already sent.
    pub tried: &'a [EndpointId],
    /// Whether the request is suspected of ending endpoints.
    pub is_suspect: bool,
    /// The rate limits that endpoints named.
    pub limits: &'a Limits,
    /// The priorities in use at the service; none if the configuration is unknown.
    pub priorities: Priorities,
    /// The rank of this request, raised by the time that it has waited.
    pub rank: Rank,
    /// Recent use by the client accounts of the service's long prompts; `None` if they have no
    /// shares.
    pub shares: Option<&'a AccountShares>,
}

/// Cost of placing a suspect beside another, in stakes: more than being late, and less than using
/// the last endpoint without a suspect. If the endpoint ends, it is unknown which of the two caused
/// it.
const BESIDE_SUSPECT_COST: f64 = 20.0;

/// The cost if a suspect already runs on the endpoint.
pub(crate) fn beside_suspect(view: FleetView<'_>, endpoint: &EndpointId) -> f64 {
    let is_beside = view.is_suspect && view.load.suspects_on(view.now, endpoint).next().is_some();
    if is_beside { BESIDE_SUSPECT_COST } else { 0.0 }
}

/// Cost of using a permit of a rate-limited endpoint, in stakes. A permit admits one request,
/// however long its prompt, so permits are left to the requests that gain most from them.
const LIMITED_COST: f64 = 0.1;

/// The cost if the endpoint names a rate limit.
pub(crate) fn limit_cost(view: FleetView<'_>, endpoint: &Endpoint) -> f64 {
    if view.limits.rate(endpoint).is_some() { LIMITED_COST } else { 0.0 }
}

/// Free memory of an engine, in tokens.
pub(crate) fn free_memory(profile: &EngineProfile, load: &EndpointLoad) -> u64 {
    let planned = (profile.memory_tokens as f64 * MEMORY_SHARE) as u64;
    planned.saturating_sub(load.memory_tokens())
}
