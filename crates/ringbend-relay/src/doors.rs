//! The small addresses beside the callers' one: readiness and metrics.

use std::rc::Rc;

use actix_http::StatusCode;
use futures_util::future::LocalBoxFuture;
use ringbend_runtime::{Handler, HttpRequest, HttpResponse, empty, text};

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

/// Serves metrics as text.
pub(crate) struct MetricsPage {
    pub(crate) node: Rc<Node>,
}

impl Handler for MetricsPage {
    fn handle(self: Rc<Self>, _: HttpRequest) -> LocalBoxFuture<'static, HttpResponse> {
        let page = self.node.metrics.render();
        let res = text(StatusCode::OK, "text/plain; version=0.0.4", page);
        Box::pin(std::future::ready(res))
    }
}
