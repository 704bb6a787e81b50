//! Where a request is put: the choice of endpoints and its work on the load book.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use ringbend_gateway::{
    Endpoint, EndpointLoad, EngineProfile, FleetView, Job, Peers, Placement, WorkId, is_long,
    place_on_engines, place_on_service,
};
use ringbend_types::{EndpointId, Timestamp};

use crate::fields::Millis;
use crate::node::Node;
use crate::places::Closed;

/// How long an instance that has just started listens for others before it takes itself for the only
/// one. A read of the store, which may take a third of a second when it is slow, tells of them.
const LISTEN_TIME: Duration = Duration::from_millis(400);

/// Why a request was not placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Denied {
    /// Its time is up before its turn came.
    NoTurn,
    /// No endpoint was left to send to.
    NoEndpoint,
    /// The request ends endpoints.
    Held,
    /// The request may end endpoints, and no instance that places such ones answers.
    NoArbiter,
    /// Endpoints that are left name limits, and have no place for it before this time.
    Limited(Duration),
    /// This instance was asked to count the places of such endpoints, and does not.
    NotHere,
}

/// Why a request could not be placed at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Unplaced {
    /// No endpoint was left to send to.
    NoEndpoint,
    /// It takes a place of an endpoint that names a limit: it waits for one, where they are counted.
    Elsewhere,
}

/// Who decides where a request goes that takes a place of an endpoint which names a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Counted {
    /// The one instance that counts such places.
    ByOne,
    /// This instance was asked as that one.
    Here,
}

impl Node {
    /// Places a request: asks those that schedule, or decides here if this instance does, or if none
    /// of them answers.
    pub(crate) async fn schedule(
        self: &Rc<Self>,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
    ) -> Result<Placement, Denied> {
        if let Some(of) = job.suspect {
            return self.schedule_suspect(id, job, engine, of).await;
        }
        if self.schedules() {
            return self.plan(id, job, engine).await;
        }
        if let Some(placed) = self.ask_for_placement(id, job, Peers::scheduler).await {
            return placed;
        }
        log::info!(target: "request", id = job.request.as_ref(); "placed without schedulers");
        self.place_in_turn(id, job, engine, Counted::ByOne).await
    }

    /// Asks a scheduler; none if it does not answer, or places the request where this instance knows that it may not
    /// be sent.
    async fn ask_for_placement(
        self: &Rc<Self>,
        id: WorkId,
        job: &Job,
        next: impl Fn(&Peers, Timestamp, &[SocketAddrV4]) -> Option<SocketAddrV4>,
    ) -> Option<Result<Placement, Denied>> {
        let placed = self.ask(id, job, next).await?;
        let placement = placed.as_ref().ok();
        let rejected = placement.and_then(|placement| self.inadmissible(job, placement));
        let Some((endpoint, why)) = rejected else { return Some(placed) };
        log::info!(
            target: "request", id = job.request.as_ref(), endpoint:%, why:%;
            "scheduled onto an endpoint that takes no requests; placing here"
        );
        self.metrics.inadmissible();
        self.load.borrow_mut().end(self.clock.now(), id);
        None
    }

    /// Has a long prompt placed by the scheduler that plans all those of its service; places any other
    /// here, and it too if that one does not answer.
    pub(crate) async fn plan(
        self: &Rc<Self>,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
    ) -> Result<Placement, Denied> {
        if !job.at_once && self.is_long(job, engine) {
            let planner = |peers: &Peers, now, asked: &[SocketAddrV4]| {
                peers.planner(now, &job.service, asked)
            };
            if let Some(placed) = self.ask_for_placement(id, job, planner).await {
                return placed;
            }
        }
        self.place_in_turn(id, job, engine, Counted::ByOne).await
    }

    /// Waits for a request's turn, chooses endpoints and puts its work on the book.
    pub(crate) async fn place_in_turn(
        self: &Rc<Self>,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
        counted: Counted,
    ) -> Result<Placement, Denied> {
        self.wait_for_turn(id, job, engine).await?;
        match self.place_now(id, job, engine) {
            Ok(placement) => Ok(placement),
            Err(Unplaced::NoEndpoint) => Err(Denied::NoEndpoint),
            Err(Unplaced::Elsewhere) => self.place_where_counted(id, job, engine, counted).await,
        }
    }

    /// Chooses endpoints, puts the work on the book and tells other schedulers of it.
    pub(crate) fn place_now(
        &self,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
    ) -> Result<Placement, Unplaced> {
        let closed = self.closed_to(id, job);
        let Some(placement) = self.choose(job, engine, &closed) else {
            return Err(if closed.is_empty() { Unplaced::NoEndpoint } else { Unplaced::Elsewhere });
        };
        self.take_place(job, &placement)?;
        Ok(self.commit(id, job, engine, placement))
    }

    /// The same on endpoints that name no limit; none if there is none.
    pub(crate) fn place_unlimited(
        &self,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
    ) -> Option<Placement> {
        let placement = self.choose(job, engine, &self.limited(&job.service))?;
        Some(self.commit(id, job, engine, placement))
    }

    /// Puts placed work on the book and tells other schedulers of it.
    fn commit(
        &self,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
        placement: Placement,
    ) -> Placement {
        let long = self.is_long(job, engine);
        let work = job.work(&self.cfg.borrow().placement, &placement, long);
        self.load.borrow_mut().place(self.clock.now(), id, work);
        self.outbox.borrow_mut().placed.push(id);
        self.signals.now.notify_one();
        placement
    }

    /// Whether the prompt is long, so that it waits for its turn.
    pub(crate) fn is_long(&self, job: &Job, engine: Option<EngineProfile>) -> bool {
        let engine = engine.as_ref().zip(job.demand);
        engine.is_some_and(|(e, demand)| is_long(&self.cfg.borrow().placement, e, demand))
    }

    /// Decides with what is known of the service's endpoints now, but for those that are closed.
    pub(crate) fn decide<T>(
        &self,
        job: &Job,
        closed: &Closed,
        with: impl FnOnce(FleetView<'_>, &[&Endpoint]) -> T,
    ) -> T {
        let now = self.clock.now();
        self.load.borrow_mut().advance(now);
        let directory = self.directory.borrow();
        let all = directory.of_service(now, &job.service);
        let is_closed = |e: &Endpoint| closed.contains(&e.id) || job.backing_off.contains(&e.id);
        let is_open = |e: &&Endpoint| !is_closed(e) && self.may_run_on(job, e);
        let candidates: Vec<&Endpoint> = all.filter(is_open).collect();
        let limits = self.limits.borrow();
        let (cfg, load, trust) = (self.cfg.borrow(), self.load.borrow(), self.trust.borrow());
        let (schedules, instances) = (self.schedules(), self.peers.borrow().instances(now));
        // Where others schedule, the book here misses what they place.
        let alone = !schedules || instances <= 1;
        let is_new = now.since(self.clock.started_at()) < LISTEN_TIME;
        let view = FleetView {
            now,
            home: &cfg.data_centre,
            load: &load,
            spread_seed: alone.then(|| self.rng.borrow_mut().random()),
            starting: instances <= 1 && is_new,
            weights: &cfg.placement,
            health: &trust,
            tried: &job.tried,
            is_suspect: job.suspect.is_some(),
            limits: &limits,
        };
        with(view, &candidates)
    }

    /// Picks endpoints and writes the line of that decision.
    fn choose(
        &self,
        job: &Job,
        engine: Option<EngineProfile>,
        closed: &Closed,
    ) -> Option<Placement> {
        let (placement, candidates) = self.decide(job, closed, |view, candidates| {
            let placement = match (engine, job.demand) {
                (Some(engine), Some(demand)) => {
                    place_on_engines(view, &engine, candidates, &job.goal(view.now, demand))
                }
                _ => place_on_service(view, candidates),
            };
            placement.map(|placement| (placement, candidates.len()))
        })?;
        let load = self.load.borrow();
        let lead = load.of(&placement.lead);
        self.log_choice(self.clock.now(), job, engine, &placement, lead, candidates);
        Some(placement)
    }

    /// Writes the line of a choice: what it was made from, and what it expects.
    fn log_choice(
        &self,
        now: Timestamp,
        job: &Job,
        engine: Option<EngineProfile>,
        placement: &Placement,
        lead: &EndpointLoad,
        candidates: usize,
    ) {
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
            writers = lead.decodes().len(), places, memory = lead.memory_tokens();
            "placed"
        );
    }
}
