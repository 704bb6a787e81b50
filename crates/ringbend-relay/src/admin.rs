//! The auxiliary servers: readiness, metrics and the operators' API for suspected requests.

use std::rc::Rc;

use actix_http::{Method, StatusCode};
use futures_util::future::LocalBoxFuture;
use ringbend_gateway::{SuspectState, Suspicion, WatchedTable};
use ringbend_runtime::{Handler, HttpRequest, HttpResponse, empty, json, text};
use ringbend_types::Fingerprint;
use serde::Serialize;

use crate::node::Node;
use crate::table_copies::copy_age;

/// The load balancer's readiness check: 200 or 503, whatever the path.
pub(crate) struct ReadinessCheck {
    pub(crate) node: Rc<Node>,
}

impl Handler for ReadinessCheck {
    fn handle(self: Rc<Self>, _: HttpRequest) -> LocalBoxFuture<'static, HttpResponse> {
        let ready = self.node.is_ready();
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        Box::pin(std::future::ready(empty(status)))
    }
}

/// Path that lists suspected and held requests. A request is cleared through
/// `/v1/suspects/{fingerprint}/clear`.
const SUSPECTS_PATH: &str = "/v1/suspects";

/// The suffix of the path that clears a request.
const CLEAR_SUFFIX: &str = "/clear";

/// A suspected or held request in API responses.
#[derive(Serialize)]
struct SuspectEntry {
    fingerprint: String,
    /// The part of prompts; absent for a request.
    #[serde(skip_serializing_if = "Option::is_none")]
    part: Option<String>,
    held: bool,
    ended: Vec<String>,
    tries: u8,
}

/// Serves metrics, and the API for suspected and held requests.
pub(crate) struct AdminServer {
    pub(crate) node: Rc<Node>,
}

impl AdminServer {
    fn respond(&self, req: &HttpRequest) -> HttpResponse {
        let path = req.path();
        match (req.method(), path.strip_prefix(SUSPECTS_PATH)) {
            (&Method::GET, Some("")) => json(StatusCode::OK, &self.suspects()),
            (&Method::POST, Some(rest)) => self.clear(rest),
            (_, Some(_)) => empty(StatusCode::NOT_FOUND),
            (_, None) => {
                self.update_copy_metrics();
                text(StatusCode::OK, "text/plain; version=0.0.4", self.node.metrics.render())
            }
        }
    }

    fn update_copy_metrics(&self) {
        let age = |table| copy_age(&self.node, table).as_secs_f64();
        self.node.metrics.settings_age.set(age(WatchedTable::Config));
        let now = self.node.clock.now();
        let mut queues = self.node.overload.borrow_mut();
        self.node.metrics.overloaded_services.set(queues.overloaded(now) as i64);
        self.node.metrics.set_overload_queue(queues.len_by_priority());
        self.node.metrics.buffered_bytes.set(self.node.buffers.held() as i64);
        self.update_connection_metrics();
        let unreachable = self.node.reachability.borrow().lost();
        self.node.metrics.unreachable_endpoints.set(unreachable as i64);
        self.node.metrics.open_tunnels.set(self.node.open_tunnels.get() as i64);
        self.node.metrics.endpoints_age.set(age(WatchedTable::Endpoints));
        self.node.metrics.reads_store.set(self.node.readers.borrow().reads().into());
    }

    fn update_connection_metrics(&self) {
        let (connections, metrics) = (&self.node.callers.connections, &self.node.metrics);
        metrics.caller_connections.set(connections.open() as i64);
        let counts = connections.counts();
        metrics.set_connections_closed("unused", counts.closed_unused);
        metrics.set_connections_closed("stalled", counts.closed_stalled);
        metrics.set_connections_closed("refused", counts.refused);
    }

    fn suspects(&self) -> Vec<SuspectEntry> {
        let quarantine = self.node.quarantine.borrow();
        let entry = |suspicion: &Suspicion| SuspectEntry {
            fingerprint: suspicion.fingerprint.to_string(),
            part: suspicion.part.map(|part| part.to_string()),
            held: quarantine.state(suspicion.fingerprint) == SuspectState::Held,
            ended: suspicion.ended.iter().map(|process| process.endpoint.to_string()).collect(),
            tries: suspicion.tries,
        };
        quarantine.suspicions().map(entry).collect()
    }

    /// Clears a request on all instances, like a run that succeeds.
    fn clear(&self, rest: &str) -> HttpResponse {
        let named = rest.strip_prefix('/').and_then(|rest| rest.strip_suffix(CLEAR_SUFFIX));
        let Some(fingerprint) = named.and_then(|name| name.parse::<Fingerprint>().ok()) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        if self.node.quarantine.borrow().strikes(fingerprint) == 0 {
            return empty(StatusCode::NOT_FOUND);
        }
        log::info!(target: "suspects", fingerprint:% = fingerprint; "suspect cleared by an operator");
        self.node.clear_suspect(fingerprint);
        json(StatusCode::OK, &self.suspects())
    }
}

impl Handler for AdminServer {
    fn handle(self: Rc<Self>, req: HttpRequest) -> LocalBoxFuture<'static, HttpResponse> {
        Box::pin(std::future::ready(self.respond(&req)))
    }
}
