//! The limits that endpoints name in their answers: who knows of them, and who gets the places that they leave.
//!
//! A limit is a sum over all instances. Each of them sends what it likes to endpoints that name none; a place of one
//! that does is given away by one instance of all data centres, which others ask for it.

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use ringbend_gateway::{
    Arbiter, Endpoint, EngineProfile, HeardLimit, InLine, Job, LimitWord, NamedLimit, Peers,
    Placement, WordIn, WorkId,
};
use ringbend_types::{EndpointId, RequestRate, ServiceName, Timestamp};
use ringbend_wire::{LoadDigest, limit_of, told_limit};
use smallvec::SmallVec;

use crate::node::Node;
use crate::placing::{Counted, Denied, Unplaced};

/// The most limits told in one datagram, so that it stays well below what is read.
const TOLD_AT_ONCE: usize = 64;

/// How often it is looked whether a place has come.
const LOOK: Duration = Duration::from_millis(20);

/// The shortest time between two looks.
const SHORTEST_LOOK: Duration = Duration::from_millis(2);

/// How long the instance that counts places is asked again if it does not answer; one that has used up its
/// processor time goes on within a tenth of a second.
const COUNTER_TIME: Duration = Duration::from_millis(250);

/// When to come back if nobody counts the places: by then another instance does.
const UNCOUNTED_WAIT: Duration = Duration::from_millis(1_000);

/// Limits below one request in this time are too seldom for requests to tell in time that they are gone.
const SELDOM: Duration = Duration::from_secs(2);

/// Endpoints that a request may not be put on now, as they have named a limit.
pub(crate) type Closed = SmallVec<[EndpointId; 4]>;

/// A request in line for a place. Dropping it leaves the line.
struct Waiting {
    node: Rc<Node>,
    service: ServiceName,
    place: InLine,
}

impl Waiting {
    fn new(node: Rc<Node>, id: WorkId, job: &Job) -> Self {
        let (service, place) = (job.service.clone(), InLine::new(node.clock.now(), id, job));
        node.places.borrow_mut().wait(&service, place);
        Self { node, service, place }
    }

    /// How many places have to come until there is one for it.
    fn needed(&self) -> usize {
        self.node.places.borrow().ahead_of(&self.service, &self.place) + 1
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.node.places.borrow_mut().leave(&self.service, self.place);
    }
}

impl Node {
    /// Takes in what an answer to something that was sent at `asked` says of its endpoint's limit.
    pub(crate) fn hear_limit(
        &self,
        endpoint: &Endpoint,
        asked: Timestamp,
        word: LimitWord,
        from: WordIn,
    ) {
        let heard = self.limits.borrow_mut().hear(self.clock.now(), endpoint, asked, word, from);
        match heard {
            HeardLimit::Known => {}
            HeardLimit::Changed => self.changed_limit(&endpoint.id, "its answer", true),
            HeardLimit::Bad(why) => {
                log::warn!(target: "limits", endpoint:% = endpoint.id, why:%; "limit not read");
            }
        }
    }

    /// Writes the line of what an endpoint's limit is now, and has others told.
    fn changed_limit(&self, endpoint: &EndpointId, from: &str, for_all: bool) {
        let limits = self.limits.borrow();
        let known = limits.known(endpoint);
        let rate = known.and_then(|known| known.rate);
        let version = known.map_or(0, |known| known.version);
        let (named, limited) = (rate.as_ref().map(RequestRate::to_string), limits.len());
        log::info!(
            target: "limits", endpoint:%, rate = named.as_deref().unwrap_or("none"), version, from, limited;
            "limit"
        );
        self.metrics.limited_endpoints.set(limited as i64);
        self.metrics.set_endpoint_limit(endpoint.as_str(), rate.map(RequestRate::as_f64));
        let mut outbox = self.outbox.borrow_mut();
        outbox.limits_at_home.push(endpoint.clone());
        if for_all {
            outbox.limits.push(endpoint.clone());
        }
        drop((limits, outbox));
        self.signals.now.notify_one();
        self.count_places();
    }

    /// Counts on the places of all limited endpoints, also while nobody wants any.
    fn count_places(&self) {
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

    /// What is known of the limits of these endpoints, as told to others, and what has changed lately.
    pub(crate) fn told_limits(
        &self,
        of: &[EndpointId],
        now: Timestamp,
    ) -> Vec<ringbend_wire::EndpointLimit> {
        let limits = self.limits.borrow();
        let named = of.iter().filter_map(|endpoint| limits.known(endpoint));
        let recent = limits.recent(now).filter(|known| !of.contains(&known.endpoint));
        named.chain(recent).take(TOLD_AT_ONCE).map(told_limit).collect()
    }

    /// All limits, for an instance that has just started.
    pub(crate) fn all_limits(&self) -> Vec<LoadDigest> {
        let all: Vec<_> = self.limits.borrow().all().map(told_limit).collect();
        let digest = |part: &[_]| LoadDigest { limits: part.to_vec(), ..self.digest() };
        all.chunks(TOLD_AT_ONCE).map(digest).collect()
    }

    /// Takes in what another instance knows of limits. What one that does not schedule tells is told on to all,
    /// what a scheduler tells to those that do not schedule.
    pub(crate) fn note_limits(&self, digest: &LoadDigest, from_scheduler: bool) {
        let now = self.clock.now();
        for told in &digest.limits {
            match limit_of(told) {
                Ok(told) => self.note_limit(now, &told, from_scheduler),
                Err(e) => log::warn!(target: "peers", error:% = e; "limit refused"),
            }
        }
    }

    fn note_limit(&self, now: Timestamp, told: &NamedLimit, from_scheduler: bool) {
        let has_changed = self.limits.borrow_mut().merge(now, told);
        if has_changed {
            self.changed_limit(&told.endpoint, "another instance", !from_scheduler);
        }
    }

    /// Forgets limits of endpoints that are gone, and has those asked that hardly get a request that could tell
    /// when the limit ends.
    pub(crate) fn sweep_limits(self: &Rc<Self>, now: Timestamp) {
        if self.limits.borrow().is_unknown() {
            return;
        }
        let directory = self.directory.borrow();
        self.limits.borrow_mut().sweep(now, |id| directory.get(id).is_none());
        let limits = self.limits.borrow();
        self.places.borrow_mut().keep(|id| limits.known(id).is_some_and(|l| l.rate.is_some()));
        let seldom = limits.all().filter(|known| known.rate.is_some_and(is_seldom));
        let engines = seldom.filter(|known| self.is_engine(directory.get(&known.endpoint)));
        let asked: Vec<EndpointId> = engines.map(|known| known.endpoint.clone()).collect();
        drop((limits, directory));
        self.count_places();
        if self.schedules() {
            let own = |id: &EndpointId| self.peers.borrow().asker(now, id).is_none();
            self.look_into(asked.into_iter().filter(own).collect::<Vec<_>>());
        }
    }

    fn is_engine(&self, endpoint: Option<&Endpoint>) -> bool {
        let replica = self.replica.borrow();
        let service = endpoint.zip(replica.snapshot()).and_then(|(e, s)| s.service(&e.service));
        service.is_some_and(|service| service.engine.is_some())
    }

    /// Whether this instance counts for all what limited endpoints of a service get.
    fn counts(&self, service: &ServiceName) -> bool {
        let counter = self.peers.borrow().counter(self.clock.now(), service);
        let counts = counter == Some(Arbiter::Own);
        if self.places.borrow_mut().count(service, counts) {
            log::info!(target: "limits", service:%, counts; "counts places");
        }
        counts
    }

    /// The endpoints of a service that name a limit.
    pub(crate) fn limited(&self, service: &ServiceName) -> Closed {
        let (directory, limits) = (self.directory.borrow(), self.limits.borrow());
        let all = directory.of_service(self.clock.now(), service);
        all.filter(|e| limits.of(e).is_some()).map(|e| e.id.clone()).collect()
    }

    /// The endpoints that a request may not take a place of now: they have none left, or others go first. Where
    /// this instance does not count, it offers as many to the one that does as the limit allows.
    pub(crate) fn closed_to(&self, id: WorkId, job: &Job) -> Closed {
        if self.limits.borrow().is_empty() {
            return Closed::new();
        }
        let service = &job.service;
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
        let share = if counts { self.peers.borrow().heard_share(now) } else { 1.0 };
        let (directory, limits) = (self.directory.borrow(), self.limits.borrow());
        let mut places = self.places.borrow_mut();
        let limited = |endpoint: &Endpoint| {
            let rate = limits.of(endpoint)?.as_f64() * share;
            let tells = limits.is_in_reports(&endpoint.id);
            Some((endpoint.id.clone(), places.has_place(now, endpoint, rate, tells)))
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
        if lead.is_none_or(|lead| self.limits.borrow().of(lead).is_none()) {
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
                return self.wait_for_place(id, job, engine).await;
            }
            if counted == Counted::Here {
                return Err(Denied::NotHere);
            }
            let counter = |peers: &Peers, now, asked: &[_]| {
                let counter = peers.counter(now, &job.service).and_then(Arbiter::address);
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
            let now = self.clock.now();
            let needed = waiting.needed();
            let wait = self.until_places(job, needed);
            if wait.is_none_or(|wait| now + wait > waiting.place.due) {
                return Err(Denied::Limited(self.come_back(job, needed, wait)));
            }
            let look = wait.unwrap_or(LOOK).clamp(SHORTEST_LOOK, LOOK);
            tokio::time::sleep(look).await;
        }
    }

    fn until_places(&self, job: &Job, count: usize) -> Option<Duration> {
        let limited = self.limited(&job.service);
        self.places.borrow().until(self.clock.now(), limited.iter(), count)
    }

    /// When a caller should come back that gets no place; writes the line of it.
    fn come_back(&self, job: &Job, needed: usize, wait: Option<Duration>) -> Duration {
        let now = self.clock.now();
        let rate = self.rate_of(&job.service);
        let within = job.deadline.since(now);
        let mut places = self.places.borrow_mut();
        let after = places.come_back(now, &job.service, wait, rate, within);
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
        all.filter_map(|e| limits.of(e)).map(RequestRate::as_f64).sum()
    }
}

fn is_seldom(rate: RequestRate) -> bool {
    rate.in_time(SELDOM) < 1.0
}
