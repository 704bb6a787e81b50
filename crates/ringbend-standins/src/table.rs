//! A simulated transactional table service over HTTP.
//!
//! `POST /v1/call` takes a [`TableRequest`] as JSON and returns a
//! [`TableReply`](ringbend_platform::TableReply), or 503 if the request had no effect. To simulate a
//! lost reply, the connection is closed without one. `PUT /faults` takes [`TableFaults`],
//! `GET /stats` returns [`TableStats`].

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, StatusCode};
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ringbend_models::{TableFaults, TableModel, TablePage, TableRates};
use ringbend_platform::{TableError, TableRequest};
use ringbend_runtime::{
    Clock, Handler, HttpRequest, HttpResponse, Server, ServerConfig, empty, json, read_body, serve,
    stream,
};
use serde::{Deserialize, Serialize};

/// Largest accepted request body, in bytes.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Numbers of calls that took effect.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableStats {
    /// Number of commits.
    pub commits: u64,
    /// Number of reads and scans.
    pub reads: u64,
}

struct TableService {
    clock: Clock,
    model: RefCell<TableModel>,
}

/// Starts an empty table service that listens on `address`. Replies to scans are at most as large as
/// `page`.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn start(
    address: SocketAddr,
    rates: TableRates,
    page: TablePage,
) -> std::io::Result<Server> {
    let mut model = TableModel::new(rates);
    model.set_page(page);
    let service = Rc::new(TableService { clock: Clock::start(), model: RefCell::new(model) });
    serve(address, ServerConfig::default(), service).await
}

impl Handler for TableService {
    fn handle(self: Rc<Self>, req: HttpRequest) -> LocalBoxFuture<'static, HttpResponse> {
        async move { self.route(req).await }.boxed_local()
    }
}

impl TableService {
    async fn route(&self, mut req: HttpRequest) -> HttpResponse {
        let method = req.method().clone();
        let path = req.path().to_owned();
        let body = read_body(req.take_payload(), MAX_BODY_BYTES, Duration::from_secs(10)).await;
        let Ok(body) = body else { return empty(StatusCode::BAD_REQUEST) };
        match (method, path.as_str()) {
            (Method::POST, "/v1/call") => match serde_json::from_slice(&body) {
                Ok(call) => self.call(&call).await,
                Err(e) => json(StatusCode::BAD_REQUEST, &e.to_string()),
            },
            (Method::PUT, "/faults") => match serde_json::from_slice::<TableFaults>(&body) {
                Ok(faults) => {
                    self.model.borrow_mut().faults = faults;
                    empty(StatusCode::NO_CONTENT)
                }
                Err(e) => json(StatusCode::BAD_REQUEST, &e.to_string()),
            },
            (Method::GET, "/stats") => {
                let model = self.model.borrow();
                let stats = TableStats { commits: model.commits(), reads: model.reads() };
                json(StatusCode::OK, &stats)
            }
            _ => empty(StatusCode::NOT_FOUND),
        }
    }

    async fn call(&self, call: &TableRequest) -> HttpResponse {
        let delay = self.model.borrow().faults.delay_ms;
        let reply = self.model.borrow_mut().call(self.clock.now(), call);
        if delay > 0 {
            actix_rt::time::sleep(Duration::from_millis(delay)).await;
        }
        match reply {
            Ok(reply) => json(StatusCode::OK, &reply),
            Err(TableError::NotApplied) => empty(StatusCode::SERVICE_UNAVAILABLE),
            Err(TableError::OutcomeUnknown) => truncated_response(),
        }
    }
}

/// Returns a response whose connection is closed before the body ends.
fn truncated_response() -> HttpResponse {
    let (tx, res) = stream::<Bytes>(StatusCode::OK, 1);
    let _ = tx.try_send(Err(ringbend_runtime::StreamError));
    res
}
