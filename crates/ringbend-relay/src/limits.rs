//! Rate limits that endpoints announce in their responses, and their distribution to all instances.

use std::rc::Rc;
use std::time::Duration;

use ringbend_gateway::{Endpoint, KnownLimit, LimitSignal, LimitSource, LimitUpdate};
use ringbend_types::{EndpointId, RequestRate, Timestamp};
use ringbend_wire::{EndpointLimit, LoadDigest, decode_limit, encode_limit};

use crate::node::Node;

/// Maximum number of limits per datagram, so that it stays well below the receive buffer.
const MAX_PER_DATAGRAM: usize = 64;

/// With a limit below one request in this time, requests are too infrequent to show in time that
/// the limit was removed.
const INFREQUENT_PERIOD: Duration = Duration::from_secs(2);

impl Node {
    /// Processes the rate limit in the response to a request that was sent at `sent_at`.
    pub(crate) fn record_limit_signal(
        &self,
        endpoint: &Endpoint,
        sent_at: Timestamp,
        signal: LimitSignal,
        from: LimitSource,
    ) {
        let update =
            self.limits.borrow_mut().observe(self.clock.now(), endpoint, sent_at, signal, from);
        match update {
            LimitUpdate::Unchanged => {}
            LimitUpdate::Changed => self.publish_limit(&endpoint.id, "its answer", true),
            LimitUpdate::Malformed(why) => {
                log::warn!(target: "limits", endpoint:% = endpoint.id, why:%; "invalid rate limit in response");
            }
        }
    }

    /// Logs an endpoint's current limit and queues it for the members of this data centre, and with
    /// `for_all` for all instances.
    fn publish_limit(&self, endpoint: &EndpointId, from: &str, for_all: bool) {
        let limits = self.limits.borrow();
        let known = limits.known(endpoint);
        let rate = known.and_then(|known| known.rate);
        let version = known.map_or(0, |known| known.version);
        let (rate_text, limited) = (rate.as_ref().map(RequestRate::to_string), limits.len());
        log::info!(
            target: "limits", endpoint:%, rate = rate_text.as_deref().unwrap_or("none"), version, from, limited;
            "rate limit changed"
        );
        self.metrics.limited_endpoints.set(limited as i64);
        self.metrics.set_endpoint_limit(endpoint.as_str(), rate.map(RequestRate::as_f64));
        let mut outbox = self.outbox.borrow_mut();
        outbox.local_limits.push(endpoint.clone());
        if for_all {
            outbox.limits.push(endpoint.clone());
        }
        drop((limits, outbox));
        self.flush.immediate.notify_one();
        self.update_permits();
    }

    /// The known limits of these endpoints and all recently changed ones, encoded for other
    /// instances.
    pub(crate) fn limit_updates(
        &self,
        endpoints: &[EndpointId],
        now: Timestamp,
    ) -> Vec<EndpointLimit> {
        let limits = self.limits.borrow();
        let requested = endpoints.iter().filter_map(|endpoint| limits.known(endpoint));
        let recent = limits.recent(now).filter(|known| !endpoints.contains(&known.endpoint));
        requested.chain(recent).take(MAX_PER_DATAGRAM).map(encode_limit).collect()
    }

    /// All limits, for an instance that has just started.
    pub(crate) fn limit_snapshot(&self) -> Vec<LoadDigest> {
        let all: Vec<_> = self.limits.borrow().all().map(encode_limit).collect();
        let digest = |part: &[_]| LoadDigest { limits: part.to_vec(), ..self.digest() };
        all.chunks(MAX_PER_DATAGRAM).map(digest).collect()
    }

    /// Merges limits known to another instance. Those from a member are forwarded to all instances,
    /// those from a scheduler to the members.
    pub(crate) fn merge_limits(&self, digest: &LoadDigest, from_scheduler: bool) {
        let now = self.clock.now();
        for limit in &digest.limits {
            match decode_limit(limit) {
                Ok(limit) => self.merge_limit(now, &limit, from_scheduler),
                Err(e) => log::warn!(target: "peers", error:% = e; "invalid rate limit in digest"),
            }
        }
    }

    fn merge_limit(&self, now: Timestamp, limit: &KnownLimit, from_scheduler: bool) {
        let has_changed = self.limits.borrow_mut().merge(now, limit);
        if has_changed {
            self.publish_limit(&limit.endpoint, "another instance", !from_scheduler);
        }
    }

    /// Removes limits of endpoints that no longer exist, and queries endpoints that receive too few
    /// requests to show when their limit ends.
    pub(crate) fn sweep_limits(self: &Rc<Self>, now: Timestamp) {
        if self.limits.borrow().has_no_records() {
            return;
        }
        let directory = self.directory.borrow();
        self.limits.borrow_mut().sweep(now, |id| directory.get(id).is_none());
        let limits = self.limits.borrow();
        self.permits.borrow_mut().retain(|id| limits.known(id).is_some_and(|l| l.rate.is_some()));
        let infrequent = limits.all().filter(|known| known.rate.is_some_and(is_infrequent));
        let engines = infrequent.filter(|known| self.is_engine(directory.get(&known.endpoint)));
        let queried: Vec<EndpointId> = engines.map(|known| known.endpoint.clone()).collect();
        drop((limits, directory));
        self.update_permits();
        if self.is_scheduler() {
            let is_responsible =
                |id: &EndpointId| self.peers.borrow().probing_scheduler(now, id).is_none();
            self.query_engines(queried.into_iter().filter(is_responsible).collect::<Vec<_>>());
        }
    }

    fn is_engine(&self, endpoint: Option<&Endpoint>) -> bool {
        let replica = self.replica.borrow();
        let service = endpoint.zip(replica.snapshot()).and_then(|(e, s)| s.service(&e.service));
        service.is_some_and(|service| service.engine.is_some())
    }
}

fn is_infrequent(rate: RequestRate) -> bool {
    rate.requests_in(INFREQUENT_PERIOD) < 1.0
}
