//! A simulated instance list over HTTP: `GET /v1/endpoints` returns the entries that are visible
//! after the lag, `PUT /v1/endpoints` adds or replaces an [`EndpointEntry`], and
//! `DELETE /v1/endpoints/ID` removes one. `POST /v1/endpoints` adds any JSON value as an entry, as
//! another writer may.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use actix_http::{HttpMessage, Method, StatusCode};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ringbend_models::InstanceListModel;
use ringbend_platform::EndpointEntry;
use ringbend_runtime::{
    Clock, Handler, HttpRequest, HttpResponse, Server, ServerConfig, empty, json, read_body, serve,
};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64;

/// Largest accepted entry, in bytes.
const MAX_ENTRY_BYTES: usize = 64 << 10;

struct InstanceList {
    clock: Clock,
    model: RefCell<InstanceListModel>,
    /// Entries that need not describe an endpoint.
    other_entries: RefCell<Vec<Box<RawValue>>>,
}

/// Starts an instance list that listens on `address`. `entries` are visible at once; later changes
/// become visible after `lag`.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn start(
    address: SocketAddr,
    lag: Duration,
    entries: Vec<EndpointEntry>,
) -> std::io::Result<Server> {
    let model = InstanceListModel::with_entries(lag, entries);
    let list = Rc::new(InstanceList {
        clock: Clock::start(),
        model: RefCell::new(model),
        other_entries: RefCell::default(),
    });
    serve(address, ServerConfig::default(), list).await
}

impl Handler for InstanceList {
    fn handle(self: Rc<Self>, req: HttpRequest) -> LocalBoxFuture<'static, HttpResponse> {
        async move { self.route(req).await }.boxed_local()
    }
}

impl InstanceList {
    async fn route(&self, mut req: HttpRequest) -> HttpResponse {
        let method = req.method().clone();
        let path = req.path().to_owned();
        let now = self.clock.now();
        match (method, path.as_str()) {
            (Method::GET, "/v1/endpoints") => self.get(&req),
            (Method::PUT, "/v1/endpoints") => self.put(&mut req).await,
            (Method::POST, "/v1/endpoints") => self.add_other(&mut req).await,
            (Method::DELETE, path) => {
                let id = path.strip_prefix("/v1/endpoints/").and_then(|id| id.parse().ok());
                let Some(id) = id else { return empty(StatusCode::NOT_FOUND) };
                self.model.borrow_mut().remove(now, id);
                empty(StatusCode::NO_CONTENT)
            }
            _ => empty(StatusCode::NOT_FOUND),
        }
    }

    /// Returns the list, or 304 if its entity tag is the one in the request's `If-None-Match`.
    fn get(&self, req: &HttpRequest) -> HttpResponse {
        let list = self.model.borrow_mut().view(self.clock.now());
        let other_entries = self.other_entries.borrow();
        let list: Vec<ListEntry<'_>> = list
            .iter()
            .map(ListEntry::Endpoint)
            .chain(other_entries.iter().map(|entry| ListEntry::Other(entry)))
            .collect();
        let mut res = json(StatusCode::OK, &list);
        let text = serde_json::to_vec(&list).unwrap_or_default();
        let tag = format!("\"{:016x}\"", xxh3_64(&text));
        if req
            .headers()
            .get(IF_NONE_MATCH)
            .is_some_and(|known_tag| known_tag.as_bytes() == tag.as_bytes())
        {
            res = empty(StatusCode::NOT_MODIFIED);
        }
        if let Ok(tag) = HeaderValue::from_str(&tag) {
            res.headers_mut().insert(ETAG, tag);
        }
        res
    }

    async fn put(&self, req: &mut HttpRequest) -> HttpResponse {
        match read_entry::<EndpointEntry>(req).await {
            Ok(entry) => {
                self.model.borrow_mut().put(self.clock.now(), entry);
                empty(StatusCode::NO_CONTENT)
            }
            Err(res) => res,
        }
    }

    async fn add_other(&self, req: &mut HttpRequest) -> HttpResponse {
        match read_entry::<Box<RawValue>>(req).await {
            Ok(entry) => {
                self.other_entries.borrow_mut().push(entry);
                empty(StatusCode::NO_CONTENT)
            }
            Err(res) => res,
        }
    }
}

/// An entry as it is sent.
#[derive(Serialize)]
#[serde(untagged)]
enum ListEntry<'a> {
    Endpoint(&'a EndpointEntry),
    Other(&'a RawValue),
}

/// Reads the entry in the body of a request.
async fn read_entry<T: DeserializeOwned>(req: &mut HttpRequest) -> Result<T, HttpResponse> {
    let timeout = Duration::from_secs(10);
    let body = read_body(req.take_payload(), MAX_ENTRY_BYTES, timeout).await;
    let body = body.map_err(|_| empty(StatusCode::BAD_REQUEST))?;
    serde_json::from_slice(&body).map_err(|e| json(StatusCode::BAD_REQUEST, &e.to_string()))
}
