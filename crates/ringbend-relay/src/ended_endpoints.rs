//! Endpoints whose processes have ended: their work is removed from the load tracker, and their
//! requests are sent elsewhere without waiting for a timeout.

use ringbend_gateway::Endpoint;
use ringbend_types::{EndpointId, EndpointStart};

use crate::node::Node;

impl Node {
    /// Removes the reservations and the work of endpoints whose processes have ended.
    pub(crate) fn handle_ended_endpoints(&self, ended: &[EndpointId]) {
        if ended.is_empty() {
            return;
        }
        let now = self.clock.now();
        for endpoint in ended {
            log::info!(target: "endpoints", endpoint:%; "endpoint's process ended");
            self.load.borrow_mut().remove_endpoint(now, endpoint);
            self.health.borrow_mut().forget(endpoint);
        }
        self.endpoint_ended.notify_waiters();
        self.load_changed.notify_waiters();
    }

    /// Records the process start that an endpoint reports, and informs other instances if it is
    /// new.
    pub(crate) fn record_endpoint_start(&self, endpoint: &EndpointId, start: EndpointStart) {
        let ended = self.directory.borrow_mut().note_start(endpoint, start);
        if ended.is_empty() {
            return;
        }
        self.handle_ended_endpoints(&ended);
        self.note_cold_start(endpoint);
        self.outbox.borrow_mut().restarts.push((endpoint.clone(), start));
        self.flush.immediate.notify_one();
    }

    /// Waits until the process of one of these endpoints is known to have ended.
    pub(crate) async fn wait_until_ended(&self, endpoints: &[Endpoint]) {
        loop {
            let mut notified = std::pin::pin!(self.endpoint_ended.notified());
            // Registered before the check, so that no notification in between is missed.
            notified.as_mut().enable();
            let has_ended = |endpoint| self.directory.borrow().has_ended(endpoint);
            if endpoints.iter().any(has_ended) {
                return;
            }
            notified.await;
        }
    }
}
