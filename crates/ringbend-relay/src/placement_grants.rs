//! Scheduler side of placement: places requests for the members of this data centre.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ringbend_gateway::{Demand, EngineProfile, Job, Placement, WorkId};
use ringbend_types::{ServiceName, Timestamp};
use ringbend_wire::{Ask, Grant, LoadDigest, Verdict, decode_ask, encode_placed_work};
use tokio::task::JoinHandle;

use crate::node::Node;
use crate::placement::{NotPlaced, PermitIssuer, PlacementError};
use crate::short_prompts::ShortPlacement;

/// The state of one placement request.
struct GrantState {
    requester: SocketAddrV4,
    /// `None` while the request waits for its turn.
    grant: Option<Grant>,
    wait_task: Option<JoinHandle<()>>,
    deadline: Timestamp,
}

impl Drop for GrantState {
    fn drop(&mut self) {
        if let Some(wait_task) = &self.wait_task {
            wait_task.abort();
        }
    }
}

/// Placement requests received as a scheduler, and which scheduler reports the work of which
/// instance.
#[derive(Default)]
pub(crate) struct PlacementGrants {
    open: HashMap<WorkId, GrantState>,
    /// Incarnations of the instances that send their placement requests to this one.
    served: HashSet<u64>,
    /// The scheduler that last reported the work of each other incarnation.
    reporters: HashMap<u64, SocketAddrV4>,
}

impl PlacementGrants {
    /// Records that this instance is the scheduler of an incarnation.
    pub(crate) fn record_served(&mut self, incarnation: u64) {
        self.served.insert(incarnation);
        self.reporters.remove(&incarnation);
    }

    /// Whether this instance is the scheduler of an incarnation.
    pub(crate) fn serves(&self, incarnation: u64) -> bool {
        self.served.contains(&incarnation)
    }

    /// Records that a scheduler reported the work of an incarnation.
    pub(crate) fn record_reported_by(&mut self, incarnation: u64, scheduler: SocketAddrV4) {
        self.reporters.insert(incarnation, scheduler);
    }

    /// The scheduler that reports the work of an incarnation.
    pub(crate) fn reporter(&self, incarnation: u64) -> Option<SocketAddrV4> {
        self.reporters.get(&incarnation).copied()
    }

    /// Removes and returns the incarnations whose work was last reported by this scheduler.
    pub(crate) fn take_reported_by(&mut self, scheduler: SocketAddrV4) -> Vec<u64> {
        let mut incarnations = Vec::new();
        self.reporters.retain(|incarnation, by| {
            let is_reporter = *by == scheduler;
            if is_reporter {
                incarnations.push(*incarnation);
            }
            !is_reporter
        });
        incarnations
    }

    /// Removes the placement request of work that has ended.
    pub(crate) fn end(&mut self, id: WorkId) {
        self.open.remove(&id);
    }

    /// Removes everything about an incarnation that has ended.
    pub(crate) fn forget(&mut self, incarnation: u64) {
        self.open.retain(|id, _| id.instance != incarnation);
        self.served.remove(&incarnation);
        self.reporters.remove(&incarnation);
    }

    /// Removes placement requests whose deadline has passed.
    pub(crate) fn sweep(&mut self, now: Timestamp) {
        self.open.retain(|_, state| state.deadline > now);
    }

    /// Removes everything, as this instance is no longer a scheduler. Returns the replies to the
    /// requests that are still queued.
    pub(crate) fn clear(&mut self) -> Vec<(SocketAddrV4, Grant)> {
        let queued = self.open.iter().filter(|(_, state)| state.grant.is_none());
        let replies =
            queued.map(|(id, state)| (state.requester, grant_with_verdict(*id, Verdict::NotHere)));
        let replies = replies.collect();
        *self = Self::default();
        replies
    }
}

impl Node {
    /// Handles a placement request of a member. The same request may arrive again, as replies get
    /// lost.
    pub(crate) fn handle_placement_request(
        self: &Rc<Self>,
        from: SocketAddrV4,
        incarnation: u64,
        ask: &Ask,
    ) {
        let id = WorkId { instance: ask.owner.unwrap_or(incarnation), sequence: ask.sequence };
        let known = self.placement_grants.borrow().open.get(&id).map(|state| state.grant.clone());
        let grant = match known {
            Some(Some(grant)) => grant,
            Some(None) => grant_with_verdict(id, Verdict::Queued),
            None if self.is_scheduler() => self.begin_placement(from, id, ask),
            None => grant_with_verdict(id, Verdict::NotHere),
        };
        let grant = match ask.service.parse() {
            Ok(service) => self.with_overload_state(grant, &service),
            Err(_) => grant,
        };
        self.send_digest(&LoadDigest { grants: vec![grant], ..self.digest() }, from);
    }

    /// Adds whether the service is overloaded here, so that the requesting scheduler passes all of
    /// its short prompts.
    fn with_overload_state(&self, grant: Grant, service: &ServiceName) -> Grant {
        let overloaded = self.overload.borrow_mut().is_overloaded(self.clock.now(), service);
        Grant { overloaded, ..grant }
    }

    fn begin_placement(self: &Rc<Self>, from: SocketAddrV4, id: WorkId, ask: &Ask) -> Grant {
        let now = self.clock.now();
        let job = match decode_ask(now, ask) {
            Ok(job) => job,
            Err(e) => {
                log::warn!(target: "peers", peer:% = from, error:% = e; "invalid placement request");
                return grant_with_verdict(id, Verdict::NotHere);
            }
        };
        let snapshot = self.replica.borrow().snapshot().cloned();
        let service = snapshot.as_ref().and_then(|snapshot| snapshot.service(&job.service));
        let Some(service) = service else {
            // The sender has a newer configuration.
            return grant_with_verdict(id, Verdict::NotHere);
        };
        let engine = service.engine;
        let is_delegated = ask.owner.is_some();
        if !is_delegated && job.suspects.is_empty() {
            self.placement_grants.borrow_mut().record_served(id.instance);
        }
        if let Some(prompt) = self.controlled_prompt(&job, engine) {
            return self.begin_controlled(from, id, job, prompt, is_delegated);
        }
        let waits = !job.suspects.is_empty() || (!job.at_once && self.is_long(&job, engine));
        let deadline = job.deadline;
        let placed =
            if waits { Err(NotPlaced::MustWait) } else { self.try_place(id, &job, engine) };
        if let Some(placed) = immediate_result(placed) {
            let grant = self.build_grant(id, &job, placed);
            let (stored_grant, wait_task) = (Some(grant.clone()), None);
            let state = GrantState { requester: from, grant: stored_grant, wait_task, deadline };
            self.placement_grants.borrow_mut().open.insert(id, state);
            return grant;
        }
        let granted = self.clone().grant_when_due(from, id, job, engine, is_delegated);
        self.spawn_wait(from, id, deadline, granted)
    }

    /// Places a short prompt under overload control, or begins to wait.
    fn begin_controlled(
        self: &Rc<Self>,
        from: SocketAddrV4,
        id: WorkId,
        job: Job,
        prompt: (EngineProfile, Demand),
        is_delegated: bool,
    ) -> Grant {
        let (deadline, engine) = (job.deadline, Some(prompt.0));
        match self.begin_short(id, &job, prompt, is_delegated) {
            ShortPlacement::Decided(placed) => {
                let grant = self.build_grant(id, &job, placed);
                let (stored_grant, wait_task) = (Some(grant.clone()), None);
                let state =
                    GrantState { requester: from, grant: stored_grant, wait_task, deadline };
                self.placement_grants.borrow_mut().open.insert(id, state);
                grant
            }
            ShortPlacement::Queued(queued) => {
                let node = self.clone();
                self.spawn_wait(from, id, deadline, async move {
                    let issuer = PermitIssuer::Local;
                    let placed = node.await_queued(id, &job, engine, queued, issuer).await;
                    node.complete_grant(from, id, &job, placed);
                })
            }
            ShortPlacement::Delegated | ShortPlacement::NeedsPermit => {
                let granted = self.clone().grant_when_due(from, id, job, engine, is_delegated);
                self.spawn_wait(from, id, deadline, granted)
            }
        }
    }

    /// Starts the wait of a placement request, which replies at its end.
    fn spawn_wait(
        &self,
        requester: SocketAddrV4,
        id: WorkId,
        deadline: Timestamp,
        wait: impl Future<Output = ()> + 'static,
    ) -> Grant {
        let wait_task = Some(tokio::task::spawn_local(wait));
        let state = GrantState { requester, grant: None, wait_task, deadline };
        self.placement_grants.borrow_mut().open.insert(id, state);
        grant_with_verdict(id, Verdict::Queued)
    }

    /// Waits until a long prompt or a suspect may be sent, and replies. A member's request is
    /// passed to the instance that plans or places such requests for all data centres; a
    /// scheduler's request is placed here.
    async fn grant_when_due(
        self: Rc<Self>,
        from: SocketAddrV4,
        id: WorkId,
        job: Job,
        engine: Option<EngineProfile>,
        is_delegated: bool,
    ) {
        let placed = match (job.suspects.is_empty(), is_delegated) {
            (false, true) => self.place_suspect(id, &job, engine).await,
            (false, false) => self.schedule_suspect(id, &job, engine).await,
            (true, true) => self.place_when_due(id, &job, engine, PermitIssuer::Local).await,
            (true, false) => self.place_or_delegate(id, &job, engine).await,
        };
        self.complete_grant(from, id, &job, placed);
    }

    /// Replies to a placement request that had to wait.
    fn complete_grant(
        &self,
        from: SocketAddrV4,
        id: WorkId,
        job: &Job,
        placed: Result<Placement, PlacementError>,
    ) {
        let grant = self.build_grant(id, job, placed);
        let reply = self.with_overload_state(grant.clone(), &job.service);
        self.send_digest(&LoadDigest { grants: vec![reply], ..self.digest() }, from);
        if let Some(state) = self.placement_grants.borrow_mut().open.get_mut(&id) {
            state.grant = Some(grant);
            state.wait_task = None;
        }
    }

    fn build_grant(
        &self,
        id: WorkId,
        job: &Job,
        placed: Result<Placement, PlacementError>,
    ) -> Grant {
        let placement = match placed {
            Ok(placement) => placement,
            Err(PlacementError::TurnExpired) => {
                self.end_work(id);
                return grant_with_verdict(id, Verdict::TooLate);
            }
            Err(PlacementError::NoEndpoint) => return grant_with_verdict(id, Verdict::NoEndpoint),
            Err(PlacementError::Held) => return grant_with_verdict(id, Verdict::Held),
            Err(PlacementError::NoArbiter | PlacementError::NotCoordinator) => {
                return grant_with_verdict(id, Verdict::NotHere);
            }
            Err(PlacementError::Limited(after)) => {
                self.end_work(id);
                return grant_with_return_time(id, Verdict::Limited, after);
            }
            Err(PlacementError::Overloaded(after)) => {
                self.end_work(id);
                return grant_with_return_time(id, Verdict::TooLate, after);
            }
        };
        log::debug!(target: "peers", request = job.request.as_ref(); "placement granted");
        let load = self.load.borrow();
        let work =
            load.work(id).map(|(work, _)| encode_placed_work(self.clock.now(), id, work, false));
        let first = Duration::from_secs_f64(placement.first_ms.max(0.0) / 1e3);
        Grant {
            work,
            first_us: u64::try_from(first.as_micros()).unwrap_or(u64::MAX),
            cost: placement.cost,
            ..grant_with_verdict(id, Verdict::Placed)
        }
    }
}

/// The result if there is one at once; `None` if the request has to wait or another instance
/// decides.
fn immediate_result(
    placed: Result<Placement, NotPlaced>,
) -> Option<Result<Placement, PlacementError>> {
    match placed {
        Ok(placement) => Some(Ok(placement)),
        Err(NotPlaced::NoEndpoint) => Some(Err(PlacementError::NoEndpoint)),
        Err(NotPlaced::MustWait) => None,
    }
}

fn grant_with_return_time(id: WorkId, verdict: Verdict, after: Duration) -> Grant {
    let come_back_ms = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
    Grant { come_back_ms, ..grant_with_verdict(id, verdict) }
}

fn grant_with_verdict(id: WorkId, verdict: Verdict) -> Grant {
    let owner = Some(id.instance);
    Grant { sequence: id.sequence, verdict: verdict.into(), owner, ..Grant::default() }
}
