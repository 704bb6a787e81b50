//! A simulated object store over HTTP: `PUT` and `GET /objects/NAME`. `PUT /faults/outage` starts an
//! outage and `DELETE /faults/outage` ends it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ringbend_runtime::{
    Handler, HttpRequest, HttpResponse, Server, ServerConfig, empty, read_body, serve, text,
};

/// Largest accepted object, in bytes.
const MAX_OBJECT_BYTES: usize = 64 << 20;

#[derive(Default)]
struct ObjectStore {
    objects: RefCell<BTreeMap<String, Bytes>>,
    outage: Cell<bool>,
}

/// Starts an empty object store that listens on `address`.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn start(address: SocketAddr) -> std::io::Result<Server> {
    serve(address, ServerConfig::default(), Rc::new(ObjectStore::default())).await
}

impl Handler for ObjectStore {
    fn handle(self: Rc<Self>, req: HttpRequest) -> LocalBoxFuture<'static, HttpResponse> {
        async move { self.route(req).await }.boxed_local()
    }
}

impl ObjectStore {
    async fn route(&self, mut req: HttpRequest) -> HttpResponse {
        let method = req.method().clone();
        let path = req.path().to_owned();
        if path == "/faults/outage" {
            self.outage.set(method == Method::PUT);
            return empty(StatusCode::NO_CONTENT);
        }
        let Some(name) = path.strip_prefix("/objects/") else {
            return empty(StatusCode::NOT_FOUND);
        };
        if self.outage.get() {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        match method {
            Method::PUT => self.put(name, &mut req).await,
            Method::GET => match self.objects.borrow().get(name) {
                Some(object) => text(StatusCode::OK, "application/octet-stream", object.clone()),
                None => empty(StatusCode::NOT_FOUND),
            },
            _ => empty(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    async fn put(&self, name: &str, req: &mut HttpRequest) -> HttpResponse {
        let timeout = Duration::from_secs(30);
        match read_body(req.take_payload(), MAX_OBJECT_BYTES, timeout).await {
            Ok(object) => {
                self.objects.borrow_mut().insert(name.to_owned(), object);
                empty(StatusCode::NO_CONTENT)
            }
            Err(_) => empty(StatusCode::BAD_REQUEST),
        }
    }
}
