//! A simulated HTTP service that counts how often it ran the calls of each key.
//!
//! Each request to `/…` is run once, whatever its method, and is answered with
//! `{"path", "method", "run", "body"}`, where `run` is the number of runs for the request's
//! `x-call-key` so far. `GET /_stats` returns [`ServiceStats`], `PUT /_faults` takes
//! [`ServiceFaults`].

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{HttpMessage, Method, StatusCode};
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ringbend_platform::headers;
use ringbend_runtime::{
    Handler, HttpRequest, HttpResponse, Server, ServerConfig, StreamError, empty, json, read_body,
    serve, stream,
};
use serde::{Deserialize, Serialize};

/// Largest accepted request body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// The request header with the key under which the service counts runs.
pub const CALL_KEY_HEADER: &str = "x-call-key";

/// Faults that a test can inject.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct ServiceFaults {
    /// Run the call, then close the connection without a response.
    pub lose_answer: bool,
    /// Reject each call without running it.
    pub refuse: bool,
    /// Accept calls but never respond.
    pub freeze: bool,
    /// Delay of each response, in milliseconds.
    pub delay_ms: u64,
}

/// Numbers of runs.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStats {
    /// Number of runs in all.
    pub runs: u64,
    /// Number of runs by key.
    pub by_key: BTreeMap<String, u64>,
}

/// The body of the response to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceResponse {
    /// The request's path.
    pub path: String,
    /// The request's method.
    pub method: String,
    /// Number of runs of the call's key, including this one; always 1 for a call without a key.
    pub run: u64,
    /// The request's body.
    pub body: String,
}

#[derive(Default)]
struct CountingService {
    stats: RefCell<ServiceStats>,
    faults: RefCell<ServiceFaults>,
}

/// Starts a service that listens on `address`.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn start(address: SocketAddr) -> std::io::Result<Server> {
    serve(address, ServerConfig::default(), Rc::new(CountingService::default())).await
}

impl Handler for CountingService {
    fn handle(self: Rc<Self>, req: HttpRequest) -> LocalBoxFuture<'static, HttpResponse> {
        async move { self.route(req).await }.boxed_local()
    }
}

impl CountingService {
    async fn route(&self, mut req: HttpRequest) -> HttpResponse {
        let timeout = Duration::from_secs(10);
        let Ok(body) = read_body(req.take_payload(), MAX_BODY_BYTES, timeout).await else {
            return empty(StatusCode::BAD_REQUEST);
        };
        match req.path() {
            "/_stats" => json(StatusCode::OK, &*self.stats.borrow()),
            "/_faults" if req.method() == Method::PUT => match serde_json::from_slice(&body) {
                Ok(faults) => {
                    *self.faults.borrow_mut() = faults;
                    empty(StatusCode::NO_CONTENT)
                }
                Err(_) => empty(StatusCode::BAD_REQUEST),
            },
            _ => self.call(&req, &body).await,
        }
    }

    async fn call(&self, req: &HttpRequest, body: &[u8]) -> HttpResponse {
        let faults = self.faults.borrow().clone();
        if faults.refuse {
            let mut res = empty(StatusCode::SERVICE_UNAVAILABLE);
            let name = HeaderName::from_static(headers::NOT_RUN);
            res.headers_mut().insert(name, HeaderValue::from_static("1"));
            return res;
        }
        if faults.freeze {
            std::future::pending::<()>().await;
        }
        let run = self.record_run(req);
        if faults.delay_ms > 0 {
            actix_rt::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.lose_answer {
            let (tx, res) = stream::<Bytes>(StatusCode::OK, 1);
            let _ = tx.try_send(Err(StreamError));
            return res;
        }
        let response = ServiceResponse {
            path: req.path().to_owned(),
            method: req.method().to_string(),
            run,
            body: String::from_utf8_lossy(body).into_owned(),
        };
        let mut res = json(StatusCode::OK, &response);
        if let Some(attempt) = req.headers().get(headers::ATTEMPT_ID) {
            let name = HeaderName::from_static(headers::ATTEMPT_ID);
            res.headers_mut().insert(name, attempt.clone());
        }
        res
    }

    /// Counts a run of the call and returns the number of runs of its key so far.
    fn record_run(&self, req: &HttpRequest) -> u64 {
        let mut stats = self.stats.borrow_mut();
        stats.runs += 1;
        let key = req.headers().get(CALL_KEY_HEADER).and_then(|key| key.to_str().ok());
        match key {
            Some(key) => {
                let runs = stats.by_key.entry(key.to_owned()).or_default();
                *runs += 1;
                *runs
            }
            None => 1,
        }
    }
}
