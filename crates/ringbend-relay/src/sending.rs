//! One send to an endpoint: its head, and what the answer's head says of it.

use std::net::SocketAddrV4;

use actix_http::{RequestHead, StatusCode};
use ringbend_gateway::{Endpoint, EventId, HealthEvent, LimitSignal, Placement, SendOutcome};
use ringbend_types::EndpointId;
use smallvec::SmallVec;

use crate::headers::end_to_end;
use crate::life::{Failed, Life};
use crate::memory::HeldMemory;
use crate::ports::{ForwardContext, PrefillHelper, ResponseMetadata};
use crate::silence::Broken;

impl Life {
    /// Checks that the answer is this request's, and that it was run.
    pub(crate) fn check(
        &mut self,
        endpoint: &Endpoint,
        facts: &ResponseMetadata,
        status: StatusCode,
    ) -> Result<(), Failed> {
        let (id, status) = (self.id(), status.as_u16());
        if facts.not_run {
            log::info!(target: "request", id, endpoint:% = endpoint.id, status; "not run");
            match facts.faulty_engine.filter(|address| *address != endpoint.address) {
                Some(address) => self.distrust_address(address),
                None if facts.is_wrong_endpoint => self.distrust_foreign(&endpoint.id),
                // It takes no more for now than it has named, and is as good as before.
                None if matches!(facts.signals.limit, LimitSignal::Rate(_)) => {}
                None => self.trust(&endpoint.id, HealthEvent::Full),
            }
            return Err(Failed::Send(SendOutcome::NotRun));
        }
        if facts.request_id != self.call.request_id {
            log::warn!(target: "request", id, endpoint:% = endpoint.id, status; "foreign answer");
            self.trust(&endpoint.id, HealthEvent::Bad);
            return Err(Failed::Send(SendOutcome::Unknown));
        }
        Ok(())
    }

    pub(crate) fn distrust_address(&self, address: SocketAddrV4) {
        let directory = self.node.directory.borrow();
        let Some(endpoint) = directory.by_address(address) else { return };
        self.trust(&endpoint.id, HealthEvent::Bad);
        self.tell_unfit(&endpoint.id);
    }

    /// Notes that another endpoint answered at this one's address, so this one has ended.
    fn distrust_foreign(&self, endpoint: &EndpointId) {
        self.trust(endpoint, HealthEvent::Foreign);
        self.tell_unfit(endpoint);
    }

    /// Others would find out one request at a time, as the list lags.
    fn tell_unfit(&self, endpoint: &EndpointId) {
        self.node.outbox.borrow_mut().unfit.push(endpoint.clone());
        self.node.signals.soon.notify_one();
    }

    pub(crate) fn trust(&self, endpoint: &EndpointId, event: HealthEvent) {
        self.node.trust.borrow_mut().note(self.node.clock.now(), endpoint, event);
        if !self.node.schedules() {
            // Whoever places the next request must know.
            self.node.outbox.borrow_mut().results.push((endpoint.clone(), event));
            self.node.signals.soon.notify_one();
        }
    }

    /// Notes a send that broke.
    pub(crate) fn broken(&mut self, endpoint: &Endpoint, why: &Broken) -> Failed {
        if matches!(why, Broken::Held) {
            log::warn!(
                target: "request", id = self.id(), fingerprint:% = self.origin.fingerprint,
                endpoint:% = endpoint.id, why:%;
                "broken off"
            );
            self.attempts.record_aborted();
            return Failed::Held;
        }
        if !matches!(why, Broken::Ended) {
            self.trust(&endpoint.id, HealthEvent::Bad);
        }
        if matches!(why, Broken::Exchange(_)) && self.terms.service.engine.is_some() {
            // Schedulers of other data centres hear of it if it does not say how it is either.
            self.node.suspect(&endpoint.id);
        }
        if matches!(why, Broken::Replaced) {
            log::warn!(target: "request", id = self.id(), endpoint:% = endpoint.id, why:%; "left");
            return Failed::Replaced;
        }
        let end = if why.nothing_sent() { SendOutcome::NotSent } else { SendOutcome::Unknown };
        log::warn!(
            target: "request", id = self.id(), fingerprint:% = self.origin.fingerprint,
            endpoint:% = endpoint.id, why:%, end:? = end;
            "send failed"
        );
        Failed::Send(end)
    }

    pub(crate) fn request_head(
        &self,
        endpoint: &Endpoint,
        placement: &Placement,
        memory: Option<&HeldMemory>,
        last_event: Option<EventId>,
    ) -> RequestHead {
        let mut head = RequestHead::default();
        head.method = self.origin.head.method.clone();
        head.uri = self.origin.head.uri.clone();
        head.headers = end_to_end(&self.origin.head.headers);
        let directory = self.node.directory.borrow();
        let helper = |id| {
            let address = directory.get(id)?.address;
            let ticket = memory.and_then(|memory| memory.ticket_at(address));
            Some(PrefillHelper { address, ticket })
        };
        let helpers: SmallVec<_> = placement.helpers.iter().filter_map(helper).collect();
        let order = ForwardContext {
            endpoint: endpoint.id.clone(),
            account: self.terms.account.as_ref().map(|a| a.id.clone()),
            time_left: self.attempts.remaining(self.node.clock.now()),
            last_event_id: last_event.or(self.call.last_event_id),
            helpers,
            priority: self.terms.service.engine.map(|_| self.rank()),
        };
        self.node.dialect.set_forward_headers(&order, &mut head.headers);
        head.set_connection_type(actix_http::ConnectionType::Close);
        head
    }
}
