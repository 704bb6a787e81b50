//! A request as whoever places it needs to know it.

use std::sync::Arc;
use std::time::Duration;

use ringbend_types::{EndpointId, Fingerprint, ServiceName, Timestamp};
use smallvec::SmallVec;

use crate::load::Work;
use crate::placement::{Demand, Placement, PlacementGoal, stake};
use crate::weights::PlacementWeights;

/// A request that is to be placed.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// The caller's id of the request, for logs.
    pub request: Arc<str>,
    /// The service that serves it.
    pub service: ServiceName,
    /// What it asks of an engine; none for a plain service.
    pub demand: Option<Demand>,
    /// When it arrived.
    pub since: Timestamp,
    /// When its first event is due.
    pub first_by: Timestamp,
    /// The longest pause between events that is on time.
    pub gap: Duration,
    /// When its caller leaves if no event has come.
    pub caller_timeout_at: Timestamp,
    /// When it must have ended.
    pub deadline: Timestamp,
    /// Endpoints that it was sent to before.
    pub tried: SmallVec<[EndpointId; 4]>,
    /// Endpoints that its instance must not send to now, as they asked it to back off.
    pub backing_off: Vec<EndpointId>,
    /// Whether it is placed at once, however long its prompt is: its stream has begun.
    pub at_once: bool,
    /// Its rank among those that wait for a place, zero first: by its account, or by its route.
    pub rank: u8,
    /// Set if endpoints ended that ran the request: it runs on one at a time, apart from other suspects.
    pub suspect: Option<Fingerprint>,
}

impl Job {
    /// What is wanted of a placement; `demand` is the request's own.
    pub fn goal(&self, now: Timestamp, demand: Demand) -> PlacementGoal {
        PlacementGoal { demand, first_in: self.first_by.since(now), gap: self.gap }
    }

    /// The work that it puts on endpoints if it is placed like this.
    pub fn work(&self, w: &PlacementWeights, placement: &Placement, long: bool) -> Work {
        let demand = self.demand.unwrap_or(Demand { prompt_tokens: 0, answer_tokens: 0 });
        let memory = demand.prompt_tokens + demand.answer_tokens;
        Work {
            lead: placement.lead.clone(),
            helpers: placement.helpers.clone(),
            part: placement.part,
            memory_tokens: memory.saturating_sub(placement.held.iter().map(|h| h.tokens).sum()),
            held: placement.held.clone(),
            long,
            gap: self.gap,
            first_by: self.first_by,
            stake: stake(w, demand.prompt_tokens),
            until: self.deadline,
            suspect: self.suspect,
        }
    }
}
