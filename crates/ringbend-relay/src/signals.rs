//! Signals in the heads of endpoints' responses: each is noted in one place.

use std::collections::HashSet;

use ringbend_gateway::{Drain, Endpoint, EndpointSignals, LimitSource, MalformedSignal, Signal};
use ringbend_types::{EndpointId, RetryAfter, Timestamp};
use ringbend_wire::{EndpointDrain, LoadDigest, decode_drain, encode_drain};

use crate::node::Node;

/// The most announcements told in one datagram, so that it stays well below what is read.
const TOLD_AT_ONCE: usize = 64;

/// The most endpoints and headers that a line is remembered for.
const MAX_LOGGED: usize = 256;

/// What was logged already, so that endpoints cannot flood the log.
#[derive(Default)]
pub(crate) struct LoggedSignals {
    malformed: HashSet<EndpointId>,
    unknown: HashSet<Box<str>>,
}

/// Whether a line is the first one of its kind.
fn is_first<T: Eq + std::hash::Hash>(logged: &mut HashSet<T>, of: T) -> bool {
    logged.len() < MAX_LOGGED && logged.insert(of)
}

impl Node {
    /// Notes the signals of a response to something that was sent at `sent`.
    pub(crate) fn apply_signals(
        &self,
        endpoint: &Endpoint,
        sent: Timestamp,
        signals: &EndpointSignals,
        from: LimitSource,
    ) {
        self.hear_limit(endpoint, sent, signals.limit, from);
        match signals.draining {
            Signal::Present(_) => {
                let (id, start) = (endpoint.id.clone(), endpoint.start);
                self.note_drain(Drain { endpoint: id, start }, "response", true);
            }
            Signal::Malformed(why) => self.log_malformed(endpoint, "draining", why),
            Signal::Absent => {}
        }
        match signals.backoff {
            Signal::Present(after) => self.begin_backoff(endpoint, after),
            Signal::Malformed(why) => self.log_malformed(endpoint, "retry-after", why),
            // That an endpoint tells how it is does not mean that it takes requests.
            Signal::Absent if from == LimitSource::Response && !signals.rejected => {
                self.end_backoff(endpoint, sent);
            }
            Signal::Absent => {}
        }
        for name in &signals.unknown {
            self.metrics.unknown_signal();
            if is_first(&mut self.logged_signals.borrow_mut().unknown, name.clone()) {
                log::warn!(target: "endpoints", endpoint:% = endpoint.id, header = name; "unknown response header");
            }
        }
    }

    fn note_drain(&self, drain: Drain, from: &str, for_all: bool) {
        let (endpoint, now) = (drain.endpoint.clone(), self.clock.now());
        if !self.directory.borrow_mut().note_drain(now, drain) {
            return;
        }
        let draining = self.directory.borrow().drains().len();
        log::info!(target: "endpoints", endpoint:%, from, draining; "endpoint is draining");
        self.metrics.draining_endpoints.set(draining as i64);
        let mut outbox = self.outbox.borrow_mut();
        outbox.local_drains.push(endpoint.clone());
        if for_all {
            outbox.drains.push(endpoint);
        }
        self.signals.now.notify_one();
    }

    /// Notes what another instance knows of draining endpoints. What one that does not schedule tells is told on to
    /// all, what a scheduler tells to those that do not schedule.
    pub(crate) fn note_drains(&self, digest: &LoadDigest, from_scheduler: bool) {
        for told in &digest.drains {
            match decode_drain(told) {
                Ok(drain) => self.note_drain(drain, "another instance", !from_scheduler),
                Err(e) => log::warn!(target: "peers", error:% = e; "drain refused"),
            }
        }
    }

    /// The announcements of these endpoints as told to others, and recent ones.
    pub(crate) fn told_drains(&self, of: &[EndpointId], now: Timestamp) -> Vec<EndpointDrain> {
        let directory = self.directory.borrow();
        let drains = directory.drains();
        let named = of.iter().filter_map(|endpoint| drains.get(endpoint));
        let recent = drains.recent(now).filter(|drain| !of.contains(&drain.endpoint));
        named.chain(recent).take(TOLD_AT_ONCE).map(encode_drain).collect()
    }

    /// All announcements, for an instance that has just started.
    pub(crate) fn all_drains(&self) -> Vec<LoadDigest> {
        let all: Vec<_> = self.directory.borrow().drains().all().map(encode_drain).collect();
        let digest = |part: &[_]| LoadDigest { drains: part.to_vec(), ..self.digest() };
        all.chunks(TOLD_AT_ONCE).map(digest).collect()
    }

    fn begin_backoff(&self, endpoint: &Endpoint, after: RetryAfter) {
        let mut backoffs = self.backoffs.borrow_mut();
        if !backoffs.begin(self.clock.now(), endpoint, after) {
            return;
        }
        let (delay_ms, backing_off) = (after.delay().as_millis() as u64, backoffs.len());
        log::info!(target: "endpoints", endpoint:% = endpoint.id, delay_ms, backing_off; "endpoint requests back-off");
        self.metrics.endpoint_backoffs.set(backing_off as i64);
    }

    fn end_backoff(&self, endpoint: &Endpoint, sent: Timestamp) {
        let mut backoffs = self.backoffs.borrow_mut();
        if backoffs.taken(sent, endpoint) {
            log::info!(target: "endpoints", endpoint:% = endpoint.id; "back-off ended");
            self.metrics.endpoint_backoffs.set(backoffs.len() as i64);
        }
    }

    fn log_malformed(&self, endpoint: &Endpoint, signal: &str, why: MalformedSignal) {
        if is_first(&mut self.logged_signals.borrow_mut().malformed, endpoint.id.clone()) {
            log::warn!(target: "endpoints", endpoint:% = endpoint.id, signal, why:%; "malformed signal");
        }
    }

    /// Drops signals of endpoints that are gone, and delays that ended long ago.
    pub(crate) fn sweep_signals(&self, now: Timestamp) {
        self.directory.borrow_mut().sweep_drains(now);
        self.backoffs.borrow_mut().sweep(now);
        self.metrics.draining_endpoints.set(self.directory.borrow().drains().len() as i64);
        self.metrics.endpoint_backoffs.set(self.backoffs.borrow().len() as i64);
    }
}
