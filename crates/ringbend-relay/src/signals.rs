//! Processing of the signals in endpoints' response headers.

use std::collections::HashSet;

use ringbend_gateway::{Drain, Endpoint, EndpointSignals, LimitSource, MalformedSignal, Signal};
use ringbend_types::{EndpointId, RetryAfter, Timestamp};
use ringbend_wire::{EndpointDrain, LoadDigest, decode_drain, encode_drain};

use crate::node::Node;

/// Maximum number of announcements per datagram, so that it stays well below the receive buffer.
const MAX_PER_DATAGRAM: usize = 64;

/// Maximum number of endpoints and headers whose log messages are remembered.
const MAX_LOGGED: usize = 256;

/// Signals that were already logged, so that endpoints cannot flood the log.
#[derive(Default)]
pub(crate) struct LoggedSignals {
    malformed: HashSet<EndpointId>,
    unknown: HashSet<Box<str>>,
}

/// Whether this is the first occurrence, which is logged.
fn is_first<T: Eq + std::hash::Hash>(logged: &mut HashSet<T>, of: T) -> bool {
    logged.len() < MAX_LOGGED && logged.insert(of)
}

impl Node {
    /// Processes the signals in the response to a request that was sent at `sent_at`.
    pub(crate) fn apply_signals(
        &self,
        endpoint: &Endpoint,
        sent_at: Timestamp,
        signals: &EndpointSignals,
        from: LimitSource,
    ) {
        self.record_limit_signal(endpoint, sent_at, signals.limit, from);
        match signals.draining {
            Signal::Present(_) => {
                let (id, start) = (endpoint.id.clone(), endpoint.start);
                self.record_drain(Drain { endpoint: id, start }, "response", true);
            }
            Signal::Malformed(why) => self.log_malformed(endpoint, "draining", why),
            Signal::Absent => {}
        }
        match signals.backoff {
            Signal::Present(after) => self.begin_backoff(endpoint, after),
            Signal::Malformed(why) => self.log_malformed(endpoint, "retry-after", why),
            // A response to a report request does not imply that the endpoint accepts requests.
            Signal::Absent if from == LimitSource::Response && !signals.rejected => {
                self.end_backoff(endpoint, sent_at);
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

    /// Records that an endpoint is draining and queues this for the members of this data centre,
    /// and with `for_all` for all instances.
    fn record_drain(&self, drain: Drain, from: &str, for_all: bool) {
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
        self.flush.immediate.notify_one();
    }

    /// Merges draining endpoints known to another instance. Those from a member are forwarded to
    /// all instances, those from a scheduler to the members.
    pub(crate) fn merge_drains(&self, digest: &LoadDigest, from_scheduler: bool) {
        for encoded in &digest.drains {
            match decode_drain(encoded) {
                Ok(drain) => self.record_drain(drain, "another instance", !from_scheduler),
                Err(e) => log::warn!(target: "peers", error:% = e; "invalid drain in digest"),
            }
        }
    }

    /// The announcements of these endpoints and all recent ones, encoded for other instances.
    pub(crate) fn drain_updates(
        &self,
        endpoints: &[EndpointId],
        now: Timestamp,
    ) -> Vec<EndpointDrain> {
        let directory = self.directory.borrow();
        let drains = directory.drains();
        let requested = endpoints.iter().filter_map(|endpoint| drains.get(endpoint));
        let recent = drains.recent(now).filter(|drain| !endpoints.contains(&drain.endpoint));
        requested.chain(recent).take(MAX_PER_DATAGRAM).map(encode_drain).collect()
    }

    /// All announcements, for an instance that has just started.
    pub(crate) fn drain_snapshot(&self) -> Vec<LoadDigest> {
        let all: Vec<_> = self.directory.borrow().drains().all().map(encode_drain).collect();
        let digest = |part: &[_]| LoadDigest { drains: part.to_vec(), ..self.digest() };
        all.chunks(MAX_PER_DATAGRAM).map(digest).collect()
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

    fn end_backoff(&self, endpoint: &Endpoint, sent_at: Timestamp) {
        let mut backoffs = self.backoffs.borrow_mut();
        if backoffs.record_accepted(sent_at, endpoint) {
            log::info!(target: "endpoints", endpoint:% = endpoint.id; "back-off ended");
            self.metrics.endpoint_backoffs.set(backoffs.len() as i64);
        }
    }

    fn log_malformed(&self, endpoint: &Endpoint, signal: &str, why: MalformedSignal) {
        if is_first(&mut self.logged_signals.borrow_mut().malformed, endpoint.id.clone()) {
            log::warn!(target: "endpoints", endpoint:% = endpoint.id, signal, why:%; "malformed signal");
        }
    }

    /// Removes signals of endpoints that no longer exist, and back-offs that ended long ago.
    pub(crate) fn sweep_signals(&self, now: Timestamp) {
        self.directory.borrow_mut().sweep_drains(now);
        self.backoffs.borrow_mut().sweep(now);
        self.metrics.draining_endpoints.set(self.directory.borrow().drains().len() as i64);
        self.metrics.endpoint_backoffs.set(self.backoffs.borrow().len() as i64);
    }
}
