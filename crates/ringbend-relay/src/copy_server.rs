//! Serves the watched tables' copies to other instances.

use std::rc::Rc;

use actix_http::body::MessageBody;
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use ringbend_gateway::{Endpoint, EndpointChange};
use ringbend_runtime::{Handler, HttpRequest, HttpResponse, empty};
use ringbend_types::Cursor;
use ringbend_wire::{
    self as wire, EndpointChanges, Message, encode_endpoint_change, encode_evacuations,
};

use crate::guarded_body::GuardedBytes;
use crate::node::Node;
use crate::peer_copies::{CONFIG_PATH, ENDPOINTS_PATH};

/// Maximum number of copies served at once. A large configuration takes a while over a slow link,
/// and instances that already have it can serve it as well.
const MAX_COPY_RESPONSES: usize = 4;

/// Serves copies to other instances.
pub(crate) struct CopyServer {
    pub(crate) node: Rc<Node>,
}

/// Counts a response with a copy as active until it has been written.
struct ActiveCopyResponse(Rc<Node>);

impl ActiveCopyResponse {
    fn new(node: Rc<Node>) -> Self {
        node.active_copy_responses.set(node.active_copy_responses.get() + 1);
        Self(node)
    }
}

impl Drop for ActiveCopyResponse {
    fn drop(&mut self) {
        self.0.active_copy_responses.set(self.0.active_copy_responses.get() - 1);
    }
}

impl Handler for CopyServer {
    fn handle(self: Rc<Self>, req: HttpRequest) -> LocalBoxFuture<'static, HttpResponse> {
        Box::pin(std::future::ready(self.respond(req.head().uri.path())))
    }
}

impl CopyServer {
    fn respond(&self, path: &str) -> HttpResponse {
        if self.node.active_copy_responses.get() >= MAX_COPY_RESPONSES {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let copy = match path {
            CONFIG_PATH => config_copy(&self.node),
            ENDPOINTS_PATH => Some(endpoints_copy(&self.node)),
            _ => return empty(StatusCode::NOT_FOUND),
        };
        let Some(copy) = copy else { return empty(StatusCode::SERVICE_UNAVAILABLE) };
        let body = GuardedBytes::new(copy, ActiveCopyResponse::new(self.node.clone()));
        Response::with_body(StatusCode::OK, body.boxed())
    }
}

/// Encodes the configuration for a peer. `None` while a later configuration is unreadable: the
/// cursor would make the receiver skip that one.
fn config_copy(node: &Node) -> Option<Bytes> {
    if node.replica.borrow().has_unreadable() {
        return None;
    }
    let row = node.encoded_config.borrow().as_ref()?.to_vec();
    let Cursor { era, version: cursor } = node.config_cursor.get();
    let evacuations = Some(encode_evacuations(node.directory.borrow().evacuations()));
    Some(wire::ConfigCopy { row, cursor, evacuations, era }.encode_to_vec().into())
}

fn endpoints_copy(node: &Node) -> Bytes {
    let directory = node.directory.borrow();
    let now = node.clock.now();
    let as_of_now =
        |e: &Endpoint| Endpoint { cold_left: directory.cold_left(now, &e.id), ..e.clone() };
    let rows = directory
        .registered()
        .map(|e| encode_endpoint_change(&EndpointChange::Present(as_of_now(e))));
    let Cursor { era, version: to_cursor } = node.endpoints_cursor.get();
    EndpointChanges { from_cursor: 0, to_cursor, rows: rows.collect(), era }.encode_to_vec().into()
}
