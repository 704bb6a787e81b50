//! One send to an endpoint: the request head, and the interpretation of the response head.

use std::net::SocketAddrV4;

use actix_http::{RequestHead, StatusCode};
use ringbend_gateway::{Endpoint, EventId, HealthEvent, LimitSignal, Placement, SendOutcome};
use ringbend_types::EndpointId;
use smallvec::SmallVec;

use crate::active_request::{ActiveRequest, SendFailure};
use crate::exchange::ExchangeError;
use crate::headers::end_to_end;
use crate::ports::{ForwardContext, PrefillHelper, ResponseMetadata};
use crate::reservations::MemoryReservations;
use crate::timeouts::RunError;

impl ActiveRequest {
    /// Checks that the response belongs to this request and that the request was run.
    pub(crate) fn check_response(
        &mut self,
        endpoint: &Endpoint,
        response: &ResponseMetadata,
        status: StatusCode,
    ) -> Result<(), SendFailure> {
        let (id, status) = (self.request_id(), status.as_u16());
        if response.not_run {
            log::info!(target: "request", id, endpoint:% = endpoint.id, status; "endpoint did not run the request");
            match response.faulty_engine.filter(|address| *address != endpoint.address) {
                Some(address) => self.record_unhealthy_address(address),
                None if response.is_wrong_endpoint => self.record_wrong_endpoint(&endpoint.id),
                // The endpoint enforces its announced rate limit, which is no sign of bad health.
                None if matches!(response.signals.limit, LimitSignal::Rate(_)) => {}
                None => self.record_health(&endpoint.id, HealthEvent::Full),
            }
            return Err(SendFailure::Send(SendOutcome::NotRun));
        }
        if response.request_id != self.metadata.request_id {
            log::warn!(target: "request", id, endpoint:% = endpoint.id, status; "response belongs to another request");
            self.record_health(&endpoint.id, HealthEvent::Bad);
            return Err(SendFailure::Send(SendOutcome::Unknown));
        }
        Ok(())
    }

    /// Records that the endpoint at this address has failed, and reports it to other instances.
    pub(crate) fn record_unhealthy_address(&self, address: SocketAddrV4) {
        let directory = self.node.directory.borrow();
        let Some(endpoint) = directory.by_address(address) else { return };
        self.record_health(&endpoint.id, HealthEvent::Bad);
        self.gossip_unfit(&endpoint.id);
    }

    /// Records that another endpoint responded at this endpoint's address, so this one has ended.
    fn record_wrong_endpoint(&self, endpoint: &EndpointId) {
        self.record_health(endpoint, HealthEvent::Foreign);
        self.gossip_unfit(endpoint);
    }

    /// Reports the endpoint to other instances, which would otherwise each find out with a request
    /// of their own, as the endpoint table lags behind.
    fn gossip_unfit(&self, endpoint: &EndpointId) {
        self.node.outbox.borrow_mut().unfit.push(endpoint.clone());
        self.node.flush.batched.notify_one();
    }

    pub(crate) fn record_health(&self, endpoint: &EndpointId, event: HealthEvent) {
        self.node.health.borrow_mut().note(self.node.clock.now(), endpoint, event);
        if !self.node.is_scheduler() {
            // The scheduler that places the next request needs this result.
            self.node.outbox.borrow_mut().results.push((endpoint.clone(), event));
            self.node.flush.batched.notify_one();
        }
    }

    /// Records a failed run and returns the resulting failure of the send.
    /// Records why a run failed, once it is known whether its endpoint has crashed.
    pub(crate) async fn fail_run(&mut self, endpoint: &Endpoint, why: &RunError) -> SendFailure {
        self.check_for_crash(endpoint, why).finished().await;
        self.record_run_error(endpoint, why)
    }

    pub(crate) fn record_run_error(&mut self, endpoint: &Endpoint, why: &RunError) -> SendFailure {
        if matches!(why, RunError::Held) {
            log::warn!(
                target: "request", id = self.request_id(), fingerprint:% = self.original.keys.request,
                endpoint:% = endpoint.id, why:%;
                "send cancelled: request is held"
            );
            self.attempts.record_aborted();
            return SendFailure::Held;
        }
        if matches!(why, RunError::Exchange(ExchangeError::NoRoom)) {
            // Says nothing about the endpoint.
            log::warn!(target: "request", id = self.request_id(), endpoint:% = endpoint.id, why:%; "response dropped");
            return SendFailure::NoBufferRoom;
        }
        // Other instances reach the endpoint if only the path is lost, so it must not be avoided.
        let is_path_lost = self.node.reachability.borrow().is_lost(endpoint.address);
        if !matches!(why, RunError::Ended) && !is_path_lost {
            self.record_health(&endpoint.id, HealthEvent::Bad);
        }
        let is_engine = self.config.service.engine.is_some();
        if matches!(why, RunError::Exchange(_)) && is_engine && !is_path_lost {
            // If the engine's report fails as well, schedulers of other data centres learn of it.
            self.node.suspect_engine(&endpoint.id);
        }
        if matches!(why, RunError::Replaced) {
            log::warn!(target: "request", id = self.request_id(), endpoint:% = endpoint.id, why:%; "replacing silent run");
            return SendFailure::Replaced;
        }
        let end = if why.is_unsent() { SendOutcome::NotSent } else { SendOutcome::Unknown };
        log::warn!(
            target: "request", id = self.request_id(), fingerprint:% = self.original.keys.request,
            endpoint:% = endpoint.id, why:%, end:? = end;
            "send failed"
        );
        SendFailure::Send(end)
    }

    pub(crate) fn request_head(
        &self,
        endpoint: &Endpoint,
        placement: &Placement,
        memory: Option<&MemoryReservations>,
        last_event: Option<EventId>,
    ) -> RequestHead {
        let mut head = RequestHead::default();
        head.method = self.original.head.method.clone();
        head.uri = self.original.head.uri.clone();
        head.headers = end_to_end(&self.original.head.headers);
        let directory = self.node.directory.borrow();
        let helper = |id| {
            let address = directory.get(id)?.address;
            let reservation = memory.and_then(|memory| memory.reservation_at(address));
            Some(PrefillHelper { address, reservation })
        };
        let helpers: SmallVec<_> = placement.helpers.iter().filter_map(helper).collect();
        let context = ForwardContext {
            endpoint: endpoint.id.clone(),
            account: self.config.account.as_ref().map(|a| a.id.clone()),
            time_left: self.attempts.remaining(self.node.clock.now()),
            last_event_id: last_event.or(self.metadata.last_event_id),
            helpers,
            priority: self.config.service.engine.map(|_| self.engine_priority()),
        };
        self.node.dialect.set_forward_headers(&context, &mut head.headers);
        head.set_connection_type(actix_http::ConnectionType::Close);
        head
    }
}
