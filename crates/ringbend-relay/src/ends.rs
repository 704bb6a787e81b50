//! Endpoints whose processes have ended: their work is off the books, and requests on them go on
//! elsewhere in place of waiting for silence.

use ringbend_gateway::Endpoint;
use ringbend_types::{EndpointId, EndpointStart};

use crate::node::Node;

impl Node {
    /// Forgets what endpoints held and worked on, as their processes have ended.
    pub(crate) fn lose_endpoints(&self, ended: &[EndpointId]) {
        if ended.is_empty() {
            return;
        }
        let now = self.clock.now();
        for endpoint in ended {
            log::info!(target: "endpoints", endpoint:%; "ended");
            self.load.borrow_mut().remove_endpoint(now, endpoint);
            self.trust.borrow_mut().forget(endpoint);
        }
        self.endpoint_ended.notify_waiters();
        self.load_news.notify_waiters();
    }

    /// Notes an endpoint's own word of when it started, and tells others if that is news.
    pub(crate) fn note_start(&self, endpoint: &EndpointId, start: EndpointStart) {
        let ended = self.directory.borrow_mut().note_start(endpoint, start);
        if ended.is_empty() {
            return;
        }
        self.lose_endpoints(&ended);
        self.outbox.borrow_mut().restarts.push((endpoint.clone(), start));
        self.signals.now.notify_one();
    }

    /// Waits until the process of one of these endpoints is known to have ended.
    pub(crate) async fn ended(&self, endpoints: &[Endpoint]) {
        loop {
            let mut told = std::pin::pin!(self.endpoint_ended.notified());
            // What ends from here on is told.
            told.as_mut().enable();
            let has_ended = |endpoint| self.directory.borrow().has_ended(endpoint);
            if endpoints.iter().any(has_ended) {
                return;
            }
            told.await;
        }
    }
}
