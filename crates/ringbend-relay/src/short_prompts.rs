//! Placement of short prompts under overload control.
//!
//! A scheduler places a short prompt itself while it expects the first event on time. Otherwise the
//! planner of the service decides, whose queue sees all waiting requests.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ringbend_gateway::{Demand, EngineProfile, Job, Peers, Placement, WorkId};

use crate::node::Node;
use crate::overload_driver::Pushed;
use crate::overload_queues::{QueueResult, QueuedRequest};
use crate::placement::{NotPlaced, PermitIssuer, PlacementError};

/// A planner that fails to reply within this time had the request in its queue: a request that has
/// no reply at all is given up after 40 ms, and one that is queued is repeated after 150 ms; see
/// `placement_requests.rs`.
const QUEUED_AFTER: Duration = Duration::from_millis(150);

/// Maximum number of planners that are asked for one request.
const MAX_PLANNERS: usize = 3;

/// How a short prompt is placed.
pub(crate) enum ShortPlacement {
    /// It was decided at once.
    Decided(Result<Placement, PlacementError>),
    /// It waits in this instance's queue.
    Queued(QueuedRequest),
    /// The planner of the service decides.
    Delegated,
    /// It needs a permit of a rate-limited endpoint.
    NeedsPermit,
}

/// The outcome of asking the planner.
enum Delegation {
    /// It decided.
    Decided(Result<Placement, PlacementError>),
    /// It did not reply, or is not a scheduler.
    Silent,
    /// It had the request in its queue and stopped replying.
    PlannerEnded,
}

impl Node {
    /// The engine profile and size of a request that is subject to overload control.
    pub(crate) fn controlled_prompt(
        &self,
        job: &Job,
        engine: Option<EngineProfile>,
    ) -> Option<(EngineProfile, Demand)> {
        if !self.cfg.borrow().overload.is_enabled() || job.at_once || !job.suspects.is_empty() {
            return None;
        }
        engine.zip(job.demand).filter(|_| !self.is_long(job, engine))
    }

    /// Places a short prompt if it is expected on time or this instance decides about it.
    /// `is_delegated` is whether another scheduler asks for it.
    pub(crate) fn begin_short(
        self: &Rc<Self>,
        id: WorkId,
        job: &Job,
        (engine, demand): (EngineProfile, Demand),
        is_delegated: bool,
    ) -> ShortPlacement {
        let now = self.clock.now();
        let is_queueing = self.overload.borrow_mut().is_queueing(now, &job.service);
        let must_queue =
            is_delegated || is_queueing || self.overload.borrow().is_delegated(now, &job.service);
        if !must_queue {
            let left_ms = job.first_by.since(now).as_secs_f64() * 1e3;
            match self.propose_placement(id, job, Some(engine)) {
                Ok(proposal) if proposal.placement.first_ms > left_ms => {}
                Ok(proposal) => {
                    return from_result(self.commit_placement(id, job, Some(engine), proposal));
                }
                Err(e) => return from_result(Err(e)),
            }
        }
        if !is_delegated && self.peers.borrow().planner(now, &job.service, &[]).is_some() {
            return ShortPlacement::Delegated;
        }
        match self.push_short(id, job, engine, demand) {
            Pushed::Queued(queued) => ShortPlacement::Queued(queued),
            Pushed::Decided(QueueResult::Turn(placed)) => from_result(placed),
            Pushed::Decided(QueueResult::Rejected(after)) => {
                ShortPlacement::Decided(Err(PlacementError::Overloaded(after)))
            }
            Pushed::Decided(QueueResult::RoleLost) => ShortPlacement::Delegated,
        }
    }

    /// Places a short prompt of this instance or of one of its members.
    pub(crate) async fn place_short(
        self: &Rc<Self>,
        id: WorkId,
        job: &Job,
        prompt: (EngineProfile, Demand),
    ) -> Result<Placement, PlacementError> {
        let engine = Some(prompt.0);
        for _ in 0..MAX_PLANNERS {
            match self.begin_short(id, job, prompt, false) {
                ShortPlacement::Decided(placed) => return placed,
                ShortPlacement::NeedsPermit => break,
                ShortPlacement::Queued(queued) => {
                    match self.await_queued(id, job, engine, queued, PermitIssuer::Any).await {
                        Err(PlacementError::NotCoordinator) => {}
                        placed => return placed,
                    }
                }
                ShortPlacement::Delegated => match self.delegate_short(id, job).await {
                    Delegation::Decided(placed) => return placed,
                    Delegation::Silent => break,
                    Delegation::PlannerEnded => {}
                },
            }
        }
        self.place_when_due(id, job, engine, PermitIssuer::Any).await
    }

    /// Has the planner place the request. If it does not reply at all, the request is placed here at
    /// once.
    async fn delegate_short(self: &Rc<Self>, id: WorkId, job: &Job) -> Delegation {
        let started_at = self.clock.now();
        let planner = |peers: &Peers, now, asked: &[SocketAddrV4]| {
            peers.planner(now, &job.service, asked).filter(|_| asked.is_empty())
        };
        match self.request_admissible_placement(id, job, planner).await {
            Some(placed) => Delegation::Decided(placed),
            None if self.clock.now() < started_at + QUEUED_AFTER => Delegation::Silent,
            None => Delegation::PlannerEnded,
        }
    }

    /// Waits in this instance's queue.
    ///
    /// # Errors
    ///
    /// [`PlacementError::NotCoordinator`] if this instance is no longer a scheduler.
    pub(crate) async fn await_queued(
        self: &Rc<Self>,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
        queued: QueuedRequest,
        issuer: PermitIssuer,
    ) -> Result<Placement, PlacementError> {
        match queued.wait().await {
            QueueResult::Turn(Ok(placement)) => Ok(placement),
            QueueResult::Turn(Err(NotPlaced::NoEndpoint)) => Err(PlacementError::NoEndpoint),
            QueueResult::Turn(Err(NotPlaced::MustWait)) => {
                self.place_via_coordinator(id, job, engine, issuer).await
            }
            QueueResult::Rejected(after) => Err(PlacementError::Overloaded(after)),
            QueueResult::RoleLost => Err(PlacementError::NotCoordinator),
        }
    }
}

fn from_result(placed: Result<Placement, NotPlaced>) -> ShortPlacement {
    match placed {
        Ok(placement) => ShortPlacement::Decided(Ok(placement)),
        Err(NotPlaced::NoEndpoint) => ShortPlacement::Decided(Err(PlacementError::NoEndpoint)),
        Err(NotPlaced::MustWait) => ShortPlacement::NeedsPermit,
    }
}
