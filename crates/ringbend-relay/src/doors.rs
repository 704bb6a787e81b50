//! The small addresses beside the callers' one: readiness and metrics.

use std::rc::Rc;

use actix_http::{Method, StatusCode};
use futures_util::future::LocalBoxFuture;
use ringbend_gateway::{STRIKES_TO_HOLD, Suspicion};
use ringbend_runtime::{Handler, HttpRequest, HttpResponse, empty, json, text};
use ringbend_types::Fingerprint;
use serde::Serialize;

use crate::node::Node;

/// Tells the balancer whether this instance takes requests: 200 or 503, whatever the path.
pub(crate) struct Ready {
    pub(crate) node: Rc<Node>,
}

impl Handler for Ready {
    fn handle(self: Rc<Self>, _: HttpRequest) -> LocalBoxFuture<'static, HttpResponse> {
        let ready = self.node.is_ready();
        let status = if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        Box::pin(std::future::ready(empty(status)))
    }
}

/// Where suspected and held requests are listed; one of them is cleared beneath it.
const SUSPECTS_PATH: &str = "/v1/suspects";

/// What the path of a call ends with that clears a request.
const CLEAR: &str = "/clear";

/// One suspected or held request, as operators are told.
#[derive(Serialize)]
struct SuspectLine {
    fingerprint: String,
    held: bool,
    ended: Vec<String>,
    tries: u8,
}

/// Serves metrics as text to whoever watches the instance, and to operators what is suspected or held.
pub(crate) struct MetricsPage {
    pub(crate) node: Rc<Node>,
}

impl MetricsPage {
    fn answer(&self, req: &HttpRequest) -> HttpResponse {
        let path = req.path();
        match (req.method(), path.strip_prefix(SUSPECTS_PATH)) {
            (&Method::GET, Some("")) => json(StatusCode::OK, &self.suspects()),
            (&Method::POST, Some(rest)) => self.clear(rest),
            (_, Some(_)) => empty(StatusCode::NOT_FOUND),
            (_, None) => {
                text(StatusCode::OK, "text/plain; version=0.0.4", self.node.metrics.render())
            }
        }
    }

    fn suspects(&self) -> Vec<SuspectLine> {
        let quarantine = self.node.quarantine.borrow();
        let line = |suspicion: &Suspicion| SuspectLine {
            fingerprint: suspicion.fingerprint.to_string(),
            held: suspicion.ended.len() >= STRIKES_TO_HOLD,
            ended: suspicion.ended.iter().map(|process| process.endpoint.to_string()).collect(),
            tries: suspicion.tries,
        };
        quarantine.suspicions().map(line).collect()
    }

    /// Clears one request at all instances, as a run that ends well does.
    fn clear(&self, rest: &str) -> HttpResponse {
        let named = rest.strip_prefix('/').and_then(|rest| rest.strip_suffix(CLEAR));
        let Some(of) = named.and_then(|name| name.parse::<Fingerprint>().ok()) else {
            return empty(StatusCode::BAD_REQUEST);
        };
        if self.node.quarantine.borrow().strikes(of) == 0 {
            return empty(StatusCode::NOT_FOUND);
        }
        log::info!(target: "suspects", fingerprint:% = of; "cleared by an operator");
        self.node.clear_suspect(of);
        json(StatusCode::OK, &self.suspects())
    }
}

impl Handler for MetricsPage {
    fn handle(self: Rc<Self>, req: HttpRequest) -> LocalBoxFuture<'static, HttpResponse> {
        Box::pin(std::future::ready(self.answer(&req)))
    }
}
