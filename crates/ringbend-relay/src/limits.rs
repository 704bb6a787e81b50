//! The limits that endpoints name in their answers, and how all instances know of them.

use std::rc::Rc;
use std::time::Duration;

use ringbend_gateway::{Endpoint, KnownLimit, LimitSignal, LimitSource, LimitUpdate};
use ringbend_types::{EndpointId, RequestRate, Timestamp};
use ringbend_wire::{EndpointLimit, LoadDigest, decode_limit, encode_limit};

use crate::node::Node;

/// The most limits told in one datagram, so that it stays well below what is read.
const TOLD_AT_ONCE: usize = 64;

/// Limits below one request in this time are too seldom for requests to tell in time that they are gone.
const SELDOM: Duration = Duration::from_secs(2);

impl Node {
    /// Takes in what an answer to something that was sent at `asked` says of its endpoint's limit.
    pub(crate) fn hear_limit(
        &self,
        endpoint: &Endpoint,
        asked: Timestamp,
        word: LimitSignal,
        from: LimitSource,
    ) {
        let heard = self.limits.borrow_mut().observe(self.clock.now(), endpoint, asked, word, from);
        match heard {
            LimitUpdate::Unchanged => {}
            LimitUpdate::Changed => self.changed_limit(&endpoint.id, "its answer", true),
            LimitUpdate::Malformed(why) => {
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
        outbox.local_limits.push(endpoint.clone());
        if for_all {
            outbox.limits.push(endpoint.clone());
        }
        drop((limits, outbox));
        self.signals.now.notify_one();
        self.count_places();
    }

    /// What is known of the limits of these endpoints, as told to others, and what has changed lately.
    pub(crate) fn told_limits(&self, of: &[EndpointId], now: Timestamp) -> Vec<EndpointLimit> {
        let limits = self.limits.borrow();
        let named = of.iter().filter_map(|endpoint| limits.known(endpoint));
        let recent = limits.recent(now).filter(|known| !of.contains(&known.endpoint));
        named.chain(recent).take(TOLD_AT_ONCE).map(encode_limit).collect()
    }

    /// All limits, for an instance that has just started.
    pub(crate) fn all_limits(&self) -> Vec<LoadDigest> {
        let all: Vec<_> = self.limits.borrow().all().map(encode_limit).collect();
        let digest = |part: &[_]| LoadDigest { limits: part.to_vec(), ..self.digest() };
        all.chunks(TOLD_AT_ONCE).map(digest).collect()
    }

    /// Takes in what another instance knows of limits. What one that does not schedule tells is told on to all,
    /// what a scheduler tells to those that do not schedule.
    pub(crate) fn note_limits(&self, digest: &LoadDigest, from_scheduler: bool) {
        let now = self.clock.now();
        for told in &digest.limits {
            match decode_limit(told) {
                Ok(told) => self.note_limit(now, &told, from_scheduler),
                Err(e) => log::warn!(target: "peers", error:% = e; "limit refused"),
            }
        }
    }

    fn note_limit(&self, now: Timestamp, told: &KnownLimit, from_scheduler: bool) {
        let has_changed = self.limits.borrow_mut().merge(now, told);
        if has_changed {
            self.changed_limit(&told.endpoint, "another instance", !from_scheduler);
        }
    }

    /// Forgets limits of endpoints that are gone, and has those asked that hardly get a request that could tell
    /// when the limit ends.
    pub(crate) fn sweep_limits(self: &Rc<Self>, now: Timestamp) {
        if self.limits.borrow().has_no_records() {
            return;
        }
        let directory = self.directory.borrow();
        self.limits.borrow_mut().sweep(now, |id| directory.get(id).is_none());
        let limits = self.limits.borrow();
        self.places.borrow_mut().retain(|id| limits.known(id).is_some_and(|l| l.rate.is_some()));
        let seldom = limits.all().filter(|known| known.rate.is_some_and(is_seldom));
        let engines = seldom.filter(|known| self.is_engine(directory.get(&known.endpoint)));
        let asked: Vec<EndpointId> = engines.map(|known| known.endpoint.clone()).collect();
        drop((limits, directory));
        self.count_places();
        if self.schedules() {
            let own = |id: &EndpointId| self.peers.borrow().probing_scheduler(now, id).is_none();
            self.look_into(asked.into_iter().filter(own).collect::<Vec<_>>());
        }
    }

    fn is_engine(&self, endpoint: Option<&Endpoint>) -> bool {
        let replica = self.replica.borrow();
        let service = endpoint.zip(replica.snapshot()).and_then(|(e, s)| s.service(&e.service));
        service.is_some_and(|service| service.engine.is_some())
    }
}

fn is_seldom(rate: RequestRate) -> bool {
    rate.requests_in(SELDOM) < 1.0
}
