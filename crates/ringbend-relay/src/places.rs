//! Who gets the places of endpoints that name a limit.
//!
//! Each instance sends what it likes to endpoints that name none; a place of one that does is given away by one
//! instance of all data centres, which others ask for it.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use ringbend_gateway::{
    Arbiter, Endpoint, EngineProfile, Job, Peers, PermitWaiter, Placement, WorkId,
};
use ringbend_types::{EndpointId, RequestRate, ServiceName, Timestamp};
use smallvec::SmallVec;

use crate::node::Node;
use crate::placing::{Counted, Denied, Unplaced};

/// How often it is looked whether a place has come.
const LOOK: Duration = Duration::from_millis(20);

/// The shortest time between two looks.
const SHORTEST_LOOK: Duration = Duration::from_millis(2);

/// How long the instance that counts places is asked again if it does not answer; one that has used up its
/// processor time goes on within a tenth of a second.
const COUNTER_TIME: Duration = Duration::from_millis(250);

/// When to come back if nobody counts the places. Another instance does some two seconds after the last word of the
/// former one, half of which has passed on average.
const UNCOUNTED_WAIT: Duration = Duration::from_millis(1_000);

/// Endpoints that a request may not be put on now, as they have named a limit.
pub(crate) type Closed = SmallVec<[EndpointId; 4]>;

/// A request in line for a place. Dropping it leaves the line.
struct Waiting {
    node: Rc<Node>,
    service: ServiceName,
    place: PermitWaiter,
}

impl Waiting {
    fn new(node: Rc<Node>, id: WorkId, job: &Job) -> Self {
        let (service, place) = (job.service.clone(), PermitWaiter::new(node.clock.now(), id, job));
        node.places.borrow_mut().enqueue(&service, place);
        Self { node, service, place }
    }

    /// How many places have to come until there is one for it.
    fn needed(&self) -> usize {
        self.node.places.borrow().ahead_of(&self.service, &self.place) + 1
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.node.places.borrow_mut().dequeue(&self.service, self.place);
    }
}

impl Node {
    /// Goes on counting the places of all limited endpoints, also while nobody wants any.
    pub(crate) fn count_places(&self) {
        let now = self.clock.now();
        let services: BTreeSet<ServiceName> = {
            let (directory, limits) = (self.directory.borrow(), self.limits.borrow());
            let named = limits.all().filter_map(|known| directory.get(&known.endpoint));
            named.map(|endpoint| endpoint.service.clone()).collect()
        };
        for service in &services {
            self.limited_places(now, service);
        }
    }

    /// Whether this instance counts for all what limited endpoints of a service get.
    fn counts(&self, service: &ServiceName) -> bool {
        let counter = self.peers.borrow().limit_coordinator(self.clock.now(), service);
        let counts = counter == Some(Arbiter::Local);
        if self.places.borrow_mut().set_coordinating(service, counts) {
            log::info!(target: "limits", service:%, counts; "counts places");
        }
        counts
    }

    /// The endpoints of a service that name a limit.
    pub(crate) fn limited(&self, service: &ServiceName) -> Closed {
        let (directory, limits) = (self.directory.borrow(), self.limits.borrow());
        let all = directory.of_service(self.clock.now(), service);
        all.filter(|e| limits.rate(e).is_some()).map(|e| e.id.clone()).collect()
    }

    /// The endpoints that a request may not take a place of now: they have none left, or others go first. Where
    /// this instance does not count, it offers as many to the one that does as the limit allows.
    pub(crate) fn closed_to(&self, id: WorkId, job: &Job) -> Closed {
        let service = &job.service;
        if self.limits.borrow().is_empty() || self.limited(service).is_empty() {
            return Closed::new();
        }
        let limited = self.limited_places(self.clock.now(), service);
        let is_next = job.suspect.is_some() || self.places.borrow().is_next(service, id);
        let closed = limited.into_iter().filter(|(_, has_place)| !(*has_place && is_next));
        closed.map(|(endpoint, _)| endpoint).collect()
    }

    /// The endpoints of a service that name a limit, and whether each has a place now.
    fn limited_places(
        &self,
        now: Timestamp,
        service: &ServiceName,
    ) -> SmallVec<[(EndpointId, bool); 4]> {
        let counts = self.counts(service);
        let share = if counts { self.peers.borrow().reachable_share(now) } else { 1.0 };
        let (directory, limits) = (self.directory.borrow(), self.limits.borrow());
        let mut places = self.places.borrow_mut();
        let limited = |endpoint: &Endpoint| {
            let rate = limits.rate(endpoint)?.as_f64() * share;
            let tells = limits.is_in_reports(&endpoint.id);
            Some((endpoint.id.clone(), places.has_permit(now, endpoint, rate, tells)))
        };
        directory.of_service(now, service).filter_map(limited).collect()
    }

    /// Takes a place of the chosen endpoint if it names a limit.
    ///
    /// # Errors
    ///
    /// This instance does not count the places; the one that does decides.
    pub(crate) fn take_place(&self, job: &Job, placement: &Placement) -> Result<(), Unplaced> {
        let directory = self.directory.borrow();
        let lead = directory.get(&placement.lead);
        if lead.is_none_or(|lead| self.limits.borrow().rate(lead).is_none()) {
            return Ok(());
        }
        self.places.borrow_mut().take(self.clock.now(), &placement.lead);
        if self.counts(&job.service) { Ok(()) } else { Err(Unplaced::Elsewhere) }
    }

    /// Has a request placed that takes a place of a limited endpoint, or finds no other: by the instance that counts
    /// them, or on others if none answers.
    pub(crate) async fn place_where_counted(
        self: &Rc<Self>,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
        counted: Counted,
    ) -> Result<Placement, Denied> {
        let until = self.clock.now() + COUNTER_TIME;
        loop {
            if self.counts(&job.service) {
                match self.wait_for_place(id, job, engine).await {
                    // Another instance counts by now.
                    Err(Denied::NotHere) if counted == Counted::ByOne => continue,
                    placed => return placed,
                }
            }
            if counted == Counted::Here {
                return Err(Denied::NotHere);
            }
            let counter = |peers: &Peers, now, asked: &[_]| {
                let counter = peers.limit_coordinator(now, &job.service).and_then(Arbiter::address);
                counter.filter(|address| !asked.contains(address))
            };
            if let Some(answer) = self.ask(id, job, counter).await {
                return answer;
            }
            if let Some(placement) = self.place_unlimited(id, job, engine) {
                return Ok(placement);
            }
            if self.clock.now() >= until {
                log::warn!(
                    target: "request", id = job.request.as_ref(), service:% = job.service;
                    "nobody counts places"
                );
                return Err(Denied::Limited(UNCOUNTED_WAIT));
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Waits in line for a place, where this instance counts them. One that would be late is refused at once.
    async fn wait_for_place(
        self: &Rc<Self>,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
    ) -> Result<Placement, Denied> {
        let began = self.clock.now();
        let waiting = Waiting::new(self.clone(), id, job);
        loop {
            match self.place_now(id, job, engine) {
                Ok(placement) => {
                    let waited_ms = self.clock.now().since(began).as_millis() as u64;
                    log::info!(target: "request", id = job.request.as_ref(), waited_ms; "got a place");
                    return Ok(placement);
                }
                Err(Unplaced::NoEndpoint) => return Err(Denied::NoEndpoint),
                Err(Unplaced::Elsewhere) => {}
            }
            if !self.counts(&job.service) {
                return Err(Denied::NotHere);
            }
            let wait = self.until_place(job, waiting.needed(), waiting.place.due)?;
            tokio::time::sleep(wait.clamp(SHORTEST_LOOK, LOOK)).await;
        }
    }

    /// How long until there is a place for a request that needs the `needed`th one by `due`.
    ///
    /// # Errors
    ///
    /// It comes too late.
    fn until_place(&self, job: &Job, needed: usize, due: Timestamp) -> Result<Duration, Denied> {
        let now = self.clock.now();
        let limited = self.limited(&job.service);
        let usable = limited.iter().filter(|id| !job.backing_off.contains(id));
        let wait = self.places.borrow().time_until(now, usable, needed);
        match wait {
            Some(wait) if now + wait <= due => Ok(wait),
            _ => Err(Denied::Limited(self.come_back(job, needed, wait))),
        }
    }

    /// Whether a suspect may go on waiting until it may be sent, where all endpoints that are left name limits.
    ///
    /// # Errors
    ///
    /// The next place comes after `due`.
    pub(crate) fn may_wait(&self, job: &Job, due: Timestamp) -> Result<(), Denied> {
        let limited = self.limited(&job.service).len();
        let all = self.directory.borrow().of_service(self.clock.now(), &job.service).count();
        if all > limited {
            return Ok(());
        }
        self.until_place(job, 1, due).map(drop)
    }

    /// When a caller should come back that gets no place; writes the line of it.
    fn come_back(&self, job: &Job, needed: usize, wait: Option<Duration>) -> Duration {
        let now = self.clock.now();
        let rate = self.rate_of(&job.service);
        let within = job.deadline.since(now);
        let mut places = self.places.borrow_mut();
        let after = places.retry_after(now, &job.service, wait, rate, within);
        let after_ms = after.as_millis() as u64;
        log::info!(
            target: "request", id = job.request.as_ref(), service:% = job.service, rate, needed, after_ms;
            "no place"
        );
        after
    }

    /// What all endpoints of a service that name a limit take, in requests a second.
    fn rate_of(&self, service: &ServiceName) -> f64 {
        let (directory, limits) = (self.directory.borrow(), self.limits.borrow());
        let all = directory.of_service(self.clock.now(), service);
        all.filter_map(|e| limits.rate(e)).map(RequestRate::as_f64).sum()
    }
}
