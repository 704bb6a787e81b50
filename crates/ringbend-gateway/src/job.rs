//! A request in the form that placement needs.

use std::sync::Arc;
use std::time::Duration;

use ringbend_types::{ClientAccountId, EndpointId, Fingerprint, ServiceName, Timestamp};
use smallvec::SmallVec;

use crate::load::Work;
use crate::placement::{Demand, Placement, PlacementGoal, stake};
use crate::priorities::{Priorities, Rank};
use crate::quarantine::Suspects;
use crate::regions::AllowedDataCentres;
use crate::weights::PlacementWeights;

/// A request to be placed.
#[derive(Debug, Clone, PartialEq)]
pub struct Job {
    /// The caller's request id, for logs.
    pub request: Arc<str>,
    /// The service that handles the request.
    pub service: ServiceName,
    /// The size of the request in tokens; `None` for a plain service.
    pub demand: Option<Demand>,
    /// When the request arrived.
    pub since: Timestamp,
    /// When its first event is due.
    pub first_by: Timestamp,
    /// The longest gap between events that counts as on time.
    pub gap: Duration,
    /// When its caller disconnects if no event has arrived.
    pub caller_timeout_at: Timestamp,
    /// The deadline of the request.
    pub deadline: Timestamp,
    /// The endpoints to which it was already sent.
    pub tried: SmallVec<[EndpointId; 4]>,
    /// Endpoints that its instance must not use now, because they asked it to back off.
    pub backing_off: Vec<EndpointId>,
    /// The data centres in which it may run.
    pub data_centres: AllowedDataCentres,
    /// Whether to place it at once, however long its prompt is, because its stream has begun.
    pub at_once: bool,
    /// Its priority, zero first: that of its client account, or of its route.
    pub priority: u8,
    /// The client account of its caller; `None` on a public route.
    pub account: Option<ClientAccountId>,
    /// Equal for repetitions of the same request; `None` if no decision needs it.
    pub fingerprint: Option<Fingerprint>,
    /// Set if endpoints ended while they ran the request, or another one with the same part of its
    /// prompt. Requests that have a suspect in common run on one endpoint at a time, apart from other
    /// suspects.
    pub suspects: Suspects,
}

impl Job {
    /// The placement goal of the request; `demand` is its own size.
    pub fn goal(&self, now: Timestamp, demand: Demand) -> PlacementGoal {
        PlacementGoal { demand, first_in: self.first_by.since(now), gap: self.gap }
    }

    /// The rank of the request among those of its service. It rises until the first event is due, so
    /// that a less urgent request is placed while it can still be on time.
    pub fn rank(&self, now: Timestamp, priorities: &Priorities) -> Rank {
        let due_in = self.first_by.since(self.since);
        priorities.rank(self.priority).aged(now.since(self.since), due_in)
    }

    /// The load that the request puts on endpoints with this placement. Its stake, which other
    /// schedulers receive, includes its rank.
    pub fn work(
        &self,
        w: &PlacementWeights,
        placement: &Placement,
        long: bool,
        rank: Rank,
    ) -> Work {
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
            stake: stake(w, demand.prompt_tokens) * rank.stake_factor(),
            until: self.deadline,
            suspects: self.suspects.clone(),
        }
    }
}
