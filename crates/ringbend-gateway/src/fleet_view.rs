//! What placement and turns are decided from: what is believed of the fleet at one moment.

use std::hash::{DefaultHasher, Hash, Hasher};

use ringbend_types::{DataCentre, EndpointId, Timestamp};

use crate::directory::Endpoint;
use crate::engine::EngineProfile;
use crate::health::HealthTracker;
use crate::limits::Limits;
use crate::load::{EndpointLoad, LoadTracker};
use crate::weights::PlacementWeights;

/// The share of an engine's memory that is planned with.
const MEMORY_SHARE: f64 = 0.95;

/// What a choice is made from.
#[derive(Clone, Copy)]
pub struct FleetView<'a> {
    /// The time.
    pub now: Timestamp,
    /// Where this instance runs.
    pub home: &'a DataCentre,
    /// What runs where.
    pub load: &'a LoadTracker,
    /// Where no other instance is known, a number drawn for this request. The book misses what
    /// others place then, so requests are not gathered on few engines, and the number orders those
    /// that cost the same: without it a crowd of callers that comes back to instances that have just
    /// started meets the same engines.
    pub spread_seed: Option<u64>,
    /// Whether it is alone and started moments ago, so that others may be heard soon. Long prompts
    /// wait for that: those that come back after a loss of all instances were sent by each of them to
    /// the same engines at once.
    pub starting: bool,
    /// What counts how much.
    pub weights: &'a PlacementWeights,
    /// Which endpoints answered well.
    pub health: &'a HealthTracker,
    /// Endpoints that this request was sent to before.
    pub tried: &'a [EndpointId],
    /// Whether the request is suspected of ending endpoints.
    pub is_suspect: bool,
    /// What endpoints take, by their own word.
    pub limits: &'a Limits,
}

/// What it costs to put a suspect beside another, in stakes: more than to be late, and less than to leave
/// the last endpoint. If the endpoint ends, neither can be told from the other.
const BESIDE_SUSPECT_COST: f64 = 20.0;

/// What it costs that a suspect is on the endpoint already.
pub(crate) fn beside_suspect(view: FleetView<'_>, endpoint: &EndpointId) -> f64 {
    let is_beside = view.is_suspect && view.load.suspects_on(view.now, endpoint).next().is_some();
    if is_beside { BESIDE_SUSPECT_COST } else { 0.0 }
}

/// What it costs to take a place of an endpoint that has few, in stakes. A place is one request, however long its
/// prompt, so it is left to those that gain most by it.
const LIMITED_COST: f64 = 0.1;

/// What it costs that the endpoint names a limit.
pub(crate) fn limited(view: FleetView<'_>, endpoint: &Endpoint) -> f64 {
    if view.limits.rate(endpoint).is_some() { LIMITED_COST } else { 0.0 }
}

/// Memory that is free on an engine, in tokens.
pub(crate) fn room(profile: &EngineProfile, load: &EndpointLoad) -> u64 {
    let planned = (profile.memory_tokens as f64 * MEMORY_SHARE) as u64;
    planned.saturating_sub(load.memory_tokens())
}

/// A number between zero and one, always the same for a seed and an endpoint.
pub(crate) fn spread(seed: u64, endpoint: &EndpointId) -> f64 {
    let mut hasher = DefaultHasher::new();
    (seed, endpoint.as_str()).hash(&mut hasher);
    (hasher.finish() % 1_000) as f64 / 1_000.0
}
