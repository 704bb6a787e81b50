//! Permits for endpoints that announce a rate limit.
//!
//! Each instance sends freely to endpoints without a limit. The permits of a rate-limited endpoint
//! are issued by one instance across all data centres, the limit coordinator, which the other
//! instances ask.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use ringbend_gateway::{
    Arbiter, Endpoint, EngineProfile, Job, Peers, PermitWaiter, Placement, WorkId,
};
use ringbend_types::{EndpointId, RequestRate, ServiceName, Timestamp};
use smallvec::SmallVec;

use crate::node::Node;
use crate::placement::{NotPlaced, PermitIssuer, PlacementError};

/// Interval between checks for an available permit.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Minimum time between two checks.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// How long the limit coordinator is asked again if it does not reply. An instance that has used up
/// its processor quota resumes within a tenth of a second.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(250);

/// When callers should retry if no instance is the limit coordinator. Another instance takes over
/// about two seconds after the last message of the previous one, half of which has passed on
/// average.
const NO_COORDINATOR_RETRY_AFTER: Duration = Duration::from_millis(1_000);

/// Endpoints that a request must not be placed on now, because of their rate limits.
pub(crate) type ClosedEndpoints = SmallVec<[EndpointId; 4]>;

/// A request queued for a permit. Dropping it removes the request from the queue.
struct PermitRequest {
    node: Rc<Node>,
    service: ServiceName,
    waiter: PermitWaiter,
}

impl PermitRequest {
    fn new(node: Rc<Node>, id: WorkId, job: &Job) -> Self {
        let (service, waiter) = (job.service.clone(), PermitWaiter::new(node.clock.now(), id, job));
        node.permits.borrow_mut().enqueue(&service, waiter);
        Self { node, service, waiter }
    }

    /// The number of permits that have to become available until there is one for this request.
    fn needed(&self) -> usize {
        self.node.permits.borrow().ahead_of(&self.service, &self.waiter) + 1
    }
}

impl Drop for PermitRequest {
    fn drop(&mut self) {
        self.node.permits.borrow_mut().dequeue(&self.service, self.waiter);
    }
}

impl Node {
    /// Updates the permit counts of all rate-limited endpoints, also while no request needs a
    /// permit.
    pub(crate) fn update_permits(&self) {
        let now = self.clock.now();
        let services: BTreeSet<ServiceName> = {
            let (directory, limits) = (self.directory.borrow(), self.limits.borrow());
            let limited = limits.all().filter_map(|known| directory.get(&known.endpoint));
            limited.map(|endpoint| endpoint.service.clone()).collect()
        };
        for service in &services {
            self.available_permits(now, service);
        }
    }

    /// Whether this instance is the limit coordinator of a service's rate-limited endpoints.
    fn is_limit_coordinator(&self, service: &ServiceName) -> bool {
        let coordinator = self.peers.borrow().limit_coordinator(self.clock.now(), service);
        let counts = coordinator == Some(Arbiter::Local);
        if self.permits.borrow_mut().set_coordinating(service, counts) {
            log::info!(target: "limits", service:%, counts; "limit coordinator role changed");
        }
        counts
    }

    /// The endpoints of a service that announce a rate limit.
    pub(crate) fn rate_limited_endpoints(&self, service: &ServiceName) -> ClosedEndpoints {
        let (directory, limits) = (self.directory.borrow(), self.limits.borrow());
        let all = directory.of_service(self.clock.now(), service);
        all.filter(|e| limits.rate(e).is_some()).map(|e| e.id.clone()).collect()
    }

    /// The endpoints that the request cannot get a permit for now, because none is left or other
    /// requests are ahead in the queue. An instance that is not the coordinator passes at most as
    /// many requests to the coordinator as the limit allows.
    pub(crate) fn endpoints_without_permit(&self, id: WorkId, job: &Job) -> ClosedEndpoints {
        let service = &job.service;
        if self.limits.borrow().is_empty() || self.rate_limited_endpoints(service).is_empty() {
            return ClosedEndpoints::new();
        }
        let limited = self.available_permits(self.clock.now(), service);
        let is_next = !job.suspects.is_empty() || self.permits.borrow().is_next(service, id);
        let closed = limited.into_iter().filter(|(_, has_permit)| !(*has_permit && is_next));
        closed.map(|(endpoint, _)| endpoint).collect()
    }

    /// The rate-limited endpoints of a service, each with whether it has a permit now.
    fn available_permits(
        &self,
        now: Timestamp,
        service: &ServiceName,
    ) -> SmallVec<[(EndpointId, bool); 4]> {
        let is_limit_coordinator = self.is_limit_coordinator(service);
        let share =
            if is_limit_coordinator { self.peers.borrow().reachable_share(now) } else { 1.0 };
        let (directory, limits) = (self.directory.borrow(), self.limits.borrow());
        let mut permits = self.permits.borrow_mut();
        let limited = |endpoint: &Endpoint| {
            let rate = limits.rate(endpoint)?.as_f64() * share;
            let is_in_reports = limits.is_in_reports(&endpoint.id);
            Some((endpoint.id.clone(), permits.has_permit(now, endpoint, rate, is_in_reports)))
        };
        directory.of_service(now, service).filter_map(limited).collect()
    }

    /// Takes a permit of the chosen endpoint if it is rate-limited.
    ///
    /// # Errors
    ///
    /// This instance is not the limit coordinator, which has to decide.
    pub(crate) fn take_permit(&self, job: &Job, placement: &Placement) -> Result<(), NotPlaced> {
        let directory = self.directory.borrow();
        let lead = directory.get(&placement.lead);
        if lead.is_none_or(|lead| self.limits.borrow().rate(lead).is_none()) {
            return Ok(());
        }
        self.permits.borrow_mut().take(self.clock.now(), &placement.lead);
        if self.is_limit_coordinator(&job.service) { Ok(()) } else { Err(NotPlaced::MustWait) }
    }

    /// Has the limit coordinator place a request that needs a permit, or for which no other
    /// endpoint is left. If no coordinator replies, the request is placed on an endpoint without a
    /// limit.
    pub(crate) async fn place_via_coordinator(
        self: &Rc<Self>,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
        issuer: PermitIssuer,
    ) -> Result<Placement, PlacementError> {
        let until = self.clock.now() + COORDINATOR_TIMEOUT;
        loop {
            if self.is_limit_coordinator(&job.service) {
                match self.wait_for_permit(id, job, engine).await {
                    // Another instance has become the coordinator.
                    Err(PlacementError::NotCoordinator) if issuer == PermitIssuer::Any => continue,
                    placed => return placed,
                }
            }
            if issuer == PermitIssuer::Local {
                return Err(PlacementError::NotCoordinator);
            }
            let coordinator = |peers: &Peers, now, asked: &[_]| {
                let coordinator =
                    peers.limit_coordinator(now, &job.service).and_then(Arbiter::address);
                coordinator.filter(|address| !asked.contains(address))
            };
            if let Some(result) = self.request_placement(id, job, coordinator).await {
                return result;
            }
            if let Some(placement) = self.place_on_unlimited(id, job, engine) {
                return Ok(placement);
            }
            if self.clock.now() >= until {
                log::warn!(
                    target: "request", id = job.request.as_ref(), service:% = job.service;
                    "no limit coordinator replied"
                );
                return Err(PlacementError::Limited(NO_COORDINATOR_RETRY_AFTER));
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Queues the request for a permit on the limit coordinator. A request that would be late is
    /// refused at once.
    async fn wait_for_permit(
        self: &Rc<Self>,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
    ) -> Result<Placement, PlacementError> {
        let started_at = self.clock.now();
        let queued = PermitRequest::new(self.clone(), id, job);
        loop {
            match self.try_place(id, job, engine) {
                Ok(placement) => {
                    let waited_ms = self.clock.now().since(started_at).as_millis() as u64;
                    log::info!(target: "request", id = job.request.as_ref(), waited_ms; "permit granted");
                    return Ok(placement);
                }
                Err(NotPlaced::NoEndpoint) => return Err(PlacementError::NoEndpoint),
                Err(NotPlaced::MustWait) => {}
            }
            if !self.is_limit_coordinator(&job.service) {
                return Err(PlacementError::NotCoordinator);
            }
            let wait = self.time_until_permit(job, queued.needed(), queued.waiter.due)?;
            tokio::time::sleep(wait.clamp(MIN_POLL_INTERVAL, POLL_INTERVAL)).await;
        }
    }

    /// Time until the `needed`th permit becomes available, for a request that needs it by `due`.
    ///
    /// # Errors
    ///
    /// The permit would come too late.
    fn time_until_permit(
        &self,
        job: &Job,
        needed: usize,
        due: Timestamp,
    ) -> Result<Duration, PlacementError> {
        let now = self.clock.now();
        let limited = self.rate_limited_endpoints(&job.service);
        let directory = self.directory.borrow();
        let is_allowed = |id: &&EndpointId| {
            directory.get(id).is_some_and(|e| job.data_centres.contains(&e.data_centre))
        };
        let usable = limited.iter().filter(|id| !job.backing_off.contains(id)).filter(is_allowed);
        let wait = self.permits.borrow().time_until(now, usable, needed);
        match wait {
            Some(wait) if now + wait <= due => Ok(wait),
            _ => Err(PlacementError::Limited(self.permit_retry_after(job, needed, wait))),
        }
    }

    /// Checks that a suspect may continue to wait until it can be sent, if all remaining endpoints
    /// are rate-limited.
    ///
    /// # Errors
    ///
    /// The next permit comes after `due`.
    pub(crate) fn check_permit_wait(
        &self,
        job: &Job,
        due: Timestamp,
    ) -> Result<(), PlacementError> {
        let limited = self.rate_limited_endpoints(&job.service);
        if self.running_endpoints(&job.service).iter().any(|id| !limited.contains(id)) {
            return Ok(());
        }
        self.time_until_permit(job, 1, due).map(drop)
    }

    /// The `Retry-After` of a request that gets no permit; logs it.
    fn permit_retry_after(&self, job: &Job, needed: usize, wait: Option<Duration>) -> Duration {
        let now = self.clock.now();
        let rate = self.total_rate(&job.service);
        let within = job.deadline.since(now);
        let mut permits = self.permits.borrow_mut();
        let after = permits.retry_after(now, &job.service, wait, rate, within);
        let after_ms = after.as_millis() as u64;
        log::info!(
            target: "request", id = job.request.as_ref(), service:% = job.service, rate, needed, after_ms;
            "no permit in time"
        );
        after
    }

    /// The sum of the rate limits of a service's endpoints, in requests per second.
    fn total_rate(&self, service: &ServiceName) -> f64 {
        let (directory, limits) = (self.directory.borrow(), self.limits.borrow());
        let all = directory.of_service(self.clock.now(), service);
        all.filter_map(|e| limits.rate(e)).map(RequestRate::as_f64).sum()
    }
}
