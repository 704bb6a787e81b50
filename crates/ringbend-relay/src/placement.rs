//! Placement of requests: the choice of endpoints and its entry in the load tracker.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use ringbend_gateway::{
    Endpoint, EngineProfile, FleetView, Job, Peers, Placement, SpreadOrder, WorkId, is_long,
    place_on_engines, place_on_service,
};
use ringbend_types::{EndpointId, Timestamp};

use crate::log_fields::{AccountName, Millis};
use crate::node::Node;
use crate::permits::ClosedEndpoints;

/// How long an instance that has just started waits for other instances before it assumes that it
/// is the only one. It finds them by reading the store, which takes up to a third of a second if
/// the store is slow.
pub(crate) const DISCOVERY_TIME: Duration = Duration::from_millis(400);

/// Why a request was not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PlacementError {
    /// The deadline passed before the request's turn came.
    TurnExpired,
    /// No eligible endpoint was left.
    NoEndpoint,
    /// The request is held because it crashes endpoints.
    Held,
    /// The request may crash endpoints, and no arbiter is available to place it.
    NoArbiter,
    /// All remaining endpoints are rate-limited and have no permit for at least this time.
    Limited(Duration),
    /// Engines are overloaded; capacity is expected after this time.
    Overloaded(Duration),
    /// This instance was asked as the limit coordinator, but does not have that role.
    NotCoordinator,
}

/// Why a request could not be placed at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum NotPlaced {
    /// No eligible endpoint was left.
    NoEndpoint,
    /// The remaining endpoints are rate-limited, so the request waits for a permit from the limit
    /// coordinator.
    MustWait,
}

/// A placement that is not recorded yet.
pub(crate) struct ProposedPlacement {
    pub(crate) placement: Placement,
    /// The number of endpoints that were considered.
    candidates: usize,
}

/// Which instance may issue a permit for a rate-limited endpoint and place the request there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PermitIssuer {
    /// The limit coordinator, whichever instance that is.
    Any,
    /// Only this instance, because another one asked it as the limit coordinator.
    Local,
}

impl Node {
    /// Places a request. A member asks the schedulers and decides itself only if none of them
    /// replies.
    pub(crate) async fn schedule(
        self: &Rc<Self>,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
    ) -> Result<Placement, PlacementError> {
        if !job.suspects.is_empty() {
            return self.schedule_suspect(id, job, engine).await;
        }
        if self.is_scheduler() {
            return self.place_or_delegate(id, job, engine).await;
        }
        if let Some(placed) = self.request_admissible_placement(id, job, Peers::scheduler).await {
            return placed;
        }
        log::info!(target: "request", id = job.request.as_ref(); "placing without a scheduler");
        self.place_when_due(id, job, engine, PermitIssuer::Any).await
    }

    /// Asks a scheduler. `None` if it does not reply, or if it chose an endpoint that this instance
    /// knows to accept no requests.
    pub(crate) async fn request_admissible_placement(
        self: &Rc<Self>,
        id: WorkId,
        job: &Job,
        next: impl Fn(&Peers, Timestamp, &[SocketAddrV4]) -> Option<SocketAddrV4>,
    ) -> Option<Result<Placement, PlacementError>> {
        let placed = self.request_placement(id, job, next).await?;
        let placement = placed.as_ref().ok();
        let rejected = placement.and_then(|placement| self.inadmissible(job, placement));
        let Some((endpoint, why)) = rejected else { return Some(placed) };
        log::info!(
            target: "request", id = job.request.as_ref(), endpoint:%, why:%;
            "scheduler chose an endpoint that accepts no requests; placing locally"
        );
        self.metrics.inadmissible();
        self.load.borrow_mut().end(self.clock.now(), id);
        None
    }

    /// Has a long prompt placed by the scheduler that plans all long prompts of the service. All
    /// other requests, and the long prompt if that scheduler does not reply, are placed here.
    pub(crate) async fn place_or_delegate(
        self: &Rc<Self>,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
    ) -> Result<Placement, PlacementError> {
        if let Some(prompt) = self.controlled_prompt(job, engine) {
            return self.place_short(id, job, prompt).await;
        }
        if !job.at_once && self.is_long(job, engine) {
            let planner = |peers: &Peers, now, asked: &[SocketAddrV4]| {
                peers.planner(now, &job.service, asked)
            };
            if let Some(placed) = self.request_admissible_placement(id, job, planner).await {
                return placed;
            }
        }
        self.place_when_due(id, job, engine, PermitIssuer::Any).await
    }

    /// Waits for the request's turn, chooses endpoints and records the placement.
    pub(crate) async fn place_when_due(
        self: &Rc<Self>,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
        issuer: PermitIssuer,
    ) -> Result<Placement, PlacementError> {
        self.wait_for_turn(id, job, engine).await?;
        match self.try_place(id, job, engine) {
            Ok(placement) => Ok(placement),
            Err(NotPlaced::NoEndpoint) => Err(PlacementError::NoEndpoint),
            Err(NotPlaced::MustWait) => self.place_via_coordinator(id, job, engine, issuer).await,
        }
    }

    /// Chooses endpoints, records the placement and reports it to other schedulers.
    pub(crate) fn try_place(
        &self,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
    ) -> Result<Placement, NotPlaced> {
        let proposal = self.propose_placement(id, job, engine)?;
        self.commit_placement(id, job, engine, proposal)
    }

    /// The cheapest placement, which is not recorded.
    pub(crate) fn propose_placement(
        &self,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
    ) -> Result<ProposedPlacement, NotPlaced> {
        let closed = self.endpoints_without_permit(id, job);
        let proposal = self.cheapest_placement(job, engine, &closed);
        proposal.ok_or(if closed.is_empty() { NotPlaced::NoEndpoint } else { NotPlaced::MustWait })
    }

    /// Records a proposed placement and reports it to other schedulers.
    pub(crate) fn commit_placement(
        &self,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
        proposal: ProposedPlacement,
    ) -> Result<Placement, NotPlaced> {
        self.log_placement(job, engine, &proposal);
        self.take_permit(job, &proposal.placement)?;
        Ok(self.record_placement(id, job, engine, proposal.placement))
    }

    /// Like [`Self::try_place`], on endpoints without a rate limit; `None` if there is none.
    pub(crate) fn place_on_unlimited(
        &self,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
    ) -> Option<Placement> {
        let closed = self.rate_limited_endpoints(&job.service);
        let proposal = self.cheapest_placement(job, engine, &closed)?;
        self.log_placement(job, engine, &proposal);
        Some(self.record_placement(id, job, engine, proposal.placement))
    }

    /// Adds the work to the load tracker and reports it to other schedulers.
    fn record_placement(
        &self,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
        placement: Placement,
    ) -> Placement {
        let (is_long, rank) = (self.is_long(job, engine), self.rank(job));
        if let (true, Some(engine), Some(demand)) = (is_long, &engine, job.demand) {
            self.charge_long_prompt(job, engine, demand);
        }
        let work = job.work(&self.cfg.borrow().placement, &placement, is_long, rank);
        self.record_cold_placement(&work.lead);
        self.load.borrow_mut().place(self.clock.now(), id, work);
        self.outbox.borrow_mut().placed.push(id);
        self.flush.immediate.notify_one();
        placement
    }

    /// Whether the prompt is long, so that it waits for its turn.
    pub(crate) fn is_long(&self, job: &Job, engine: Option<EngineProfile>) -> bool {
        let engine = engine.as_ref().zip(job.demand);
        engine.is_some_and(|(e, demand)| is_long(&self.cfg.borrow().placement, e, demand))
    }

    /// The order in which the next request prefers engines if no other instance is known.
    fn next_spread_order(&self) -> SpreadOrder {
        if self.cfg.borrow().overload.is_enabled() {
            self.spread.borrow_mut().next_order()
        } else {
            SpreadOrder::Random(self.rng.borrow_mut().random())
        }
    }

    /// Calls `evaluate` with the current state of the service's endpoints, without those that are
    /// closed to the request.
    pub(crate) fn with_view<T>(
        &self,
        job: &Job,
        closed: &ClosedEndpoints,
        evaluate: impl FnOnce(FleetView<'_>, &[&Endpoint]) -> T,
    ) -> T {
        let now = self.clock.now();
        self.load.borrow_mut().advance(now);
        let directory = self.directory.borrow();
        let all = directory.of_service(now, &job.service);
        let cold_share = self.cold_share(now, &directory, &job.service);
        let is_closed = |e: &Endpoint| {
            closed.contains(&e.id)
                || job.backing_off.contains(&e.id)
                || !job.data_centres.contains(&e.data_centre)
                || cold_share.is_some_and(|share| self.is_paced_out(now, &directory, &e.id, share))
        };
        let is_open = |e: &&Endpoint| !is_closed(e) && self.may_run_on(job, e);
        let candidates: Vec<&Endpoint> = all.filter(is_open).collect();
        let limits = self.limits.borrow();
        let (cfg, load, health) = (self.cfg.borrow(), self.load.borrow(), self.health.borrow());
        let (priorities, shares) = (self.priorities(&job.service), self.prompt_shares.borrow());
        let (is_scheduler, instances) = (self.is_scheduler(), self.peers.borrow().instances(now));
        // If other instances schedule, this instance's load tracker lacks their placements.
        let alone = !is_scheduler || instances <= 1;
        let is_new = now.since(self.clock.started_at()) < DISCOVERY_TIME;
        let view = FleetView {
            now,
            home: &cfg.data_centre,
            load: &load,
            spread: (alone || self.is_split_after_start(now)).then(|| self.next_spread_order()),
            starting: instances <= 1 && is_new,
            avoids_full_memory: cfg.overload.is_enabled(),
            weights: &cfg.placement,
            health: &health,
            tried: &job.tried,
            is_suspect: !job.suspects.is_empty(),
            limits: &limits,
            priorities,
            rank: job.rank(now, &priorities),
            shares: shares.get(&job.service).filter(|_| cfg.overload.is_enabled()),
        };
        evaluate(view, &candidates)
    }

    /// The cheapest placement on endpoints that are not closed to the request.
    fn cheapest_placement(
        &self,
        job: &Job,
        engine: Option<EngineProfile>,
        closed: &ClosedEndpoints,
    ) -> Option<ProposedPlacement> {
        self.with_view(job, closed, |view, candidates| {
            let placement = match (engine, job.demand) {
                (Some(engine), Some(demand)) => {
                    place_on_engines(view, &engine, candidates, &job.goal(view.now, demand))
                }
                _ => place_on_service(view, candidates),
            };
            let candidates = candidates.len();
            placement.map(|placement| ProposedPlacement { placement, candidates })
        })
    }

    /// Logs a placement with the state it was decided on and the expected result.
    fn log_placement(
        &self,
        job: &Job,
        engine: Option<EngineProfile>,
        proposal: &ProposedPlacement,
    ) {
        let ProposedPlacement { placement, candidates } = proposal;
        let (now, load) = (self.clock.now(), self.load.borrow());
        let lead = load.of(&placement.lead);
        let config_age_ms = Millis(self.replica.borrow().age(now));
        let config = self.replica.borrow().version().unwrap_or_default();
        let instances = self.metrics.live_instances.get();
        let prompt = job.demand.map_or(0, |demand| demand.prompt_tokens);
        let with: Vec<&str> = placement.helpers.iter().map(EndpointId::as_str).collect();
        let cost_percent = (placement.cost * 100.0) as i64;
        let places = engine.map_or(0, |engine| engine.slots);
        log::info!(
            target: "request", id = job.request.as_ref(), service:% = job.service,
            endpoint:% = placement.lead, with = with.join(" "), prompt, candidates,
            config:%, config_age_ms:%, instances,
            part_ms:% = Millis(Some(placement.part)), first_ms = placement.first_ms as u64,
            cost_percent, backlog_ms:% = Millis(Some(lead.backlog())),
            writers = lead.decodes().len(), places, memory = lead.memory_tokens(),
            priority = job.priority, rank:% = self.rank(job), account:% = AccountName(job.account.as_ref());
            "placed"
        );
    }
}
