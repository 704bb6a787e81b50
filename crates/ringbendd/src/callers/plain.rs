//! Plain services: requests to `/services/NAME/…` are forwarded with method, headers and body.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{HttpMessage, Method, StatusCode, Uri};
use bytes::Bytes;
use ringbend_platform::{EndpointEntry, EndpointKind, headers};
use ringbend_policy::{AttemptEnd, Dispatch, RequestProfile};
use ringbend_runtime::{HttpResponse, NOT_RUN_STATUSES};
use ringbend_telemetry::TraceContext;
use ringbend_types::{ServiceName, TokenCount};
use tokio::sync::mpsc;

use super::attempt::AttemptEvent;
use super::failure::Failure;
use super::request_task::{self, RequestKind, RequestTask};
use super::{Call, SERVICES_PREFIX, unpooled};
use crate::app::App;

/// Hop-by-hop headers, and headers that Ringbend sets itself or consumes. They are not forwarded.
const NOT_FORWARDED: [&str; 13] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "content-length",
    "host",
    "authorization",
    "expect",
    "traceparent",
];

/// The complete response of a plain service.
#[derive(Debug, Clone)]
pub(crate) struct PlainResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// The forwarded call, shared by all attempts.
pub(crate) struct PlainCall {
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    /// Whether the call may run again.
    is_repeatable: bool,
}

/// Serves a call to a plain service.
pub(crate) async fn serve(app: &Rc<App>, call: Call) -> Result<HttpResponse, Failure> {
    let path = call.req.path();
    let (name, rest) = split_service_path(path);
    let service: ServiceName =
        name.parse().map_err(|_| Failure::UnknownService(name.to_owned()))?;
    let entries = app.policy.entries();
    if !entries.iter().any(|e| e.kind == EndpointKind::Service && e.service == service) {
        return Err(Failure::UnknownService(service.to_string()));
    }
    let target = match call.req.uri().query() {
        Some(query) => format!("/{rest}?{query}"),
        None => format!("/{rest}"),
    };
    let uri: Uri = target.parse().map_err(|_| Failure::NotFound)?;
    let method = call.req.method().clone();
    let is_repeatable =
        method.is_idempotent() && !call.headers.not_repeatable && call.headers.key.is_none();
    let plain = PlainCall {
        is_repeatable,
        uri,
        headers: forwarded_headers(call.req.headers()),
        body: call.body.clone(),
        method,
    };
    let settings = request_task::effective_settings(app, &call.headers, &service);
    let (id, signals) = app.policy.register_request();
    let profile = RequestProfile {
        id,
        account: call.headers.account.clone(),
        service,
        kind: EndpointKind::Service,
        prompt_tokens: TokenCount(1),
        max_tokens: 0,
        prefix: 0,
        deadline: request_task::deadline(app, &call.headers, &settings),
        repeatable: is_repeatable,
        needs_claim: call.headers.key.is_some(),
        settings,
    };
    let kind = RequestKind::Plain { call: Rc::new(plain) };
    RequestTask::new(app, call, profile, kind, signals).run().await
}

/// Splits a path into the service's name and the rest.
fn split_service_path(path: &str) -> (&str, &str) {
    let service_path = path.strip_prefix(SERVICES_PREFIX).unwrap_or(path);
    service_path.split_once('/').unwrap_or((service_path, ""))
}

fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_headers: Vec<String> = headers
        .get_all("connection")
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let mut kept = HeaderMap::new();
    for (name, value) in headers {
        let internal = name.as_str().starts_with("x-ringbend-");
        let endpoint_header = [headers::ATTEMPT_ID, headers::NOT_RUN].contains(&name.as_str());
        let connection_header = NOT_FORWARDED.contains(&name.as_str())
            || connection_headers.iter().any(|n| n == name.as_str());
        if !internal && !endpoint_header && !connection_header {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// An attempt of a call at an endpoint.
pub(crate) struct PlainAttempt {
    pub(crate) dispatch: Dispatch,
    pub(crate) entry: EndpointEntry,
    pub(crate) call: Rc<PlainCall>,
    pub(crate) connect_timeout: Duration,
    pub(crate) trace: TraceContext,
    pub(crate) events: mpsc::Sender<AttemptEvent>,
}

impl PlainAttempt {
    /// Runs the attempt; dropping the future closes its connection.
    pub(crate) async fn run(self) {
        let end = match self.exchange().await {
            Ok(response) => {
                let _ = self.events.send(AttemptEvent::Response(response)).await;
                AttemptEnd::Complete
            }
            Err(end) => end,
        };
        let _ = self.events.send(AttemptEvent::Ended(end)).await;
    }

    async fn exchange(&self) -> Result<PlainResponse, AttemptEnd> {
        let call = &self.call;
        let mut headers = call.headers.clone();
        let attempt = self.dispatch.attempt.to_string();
        set_header(&mut headers, "host", &self.entry.address.to_string());
        set_header(&mut headers, headers::ATTEMPT_ID, &attempt);
        if let Some(trace) = self.trace.to_header() {
            set_header(&mut headers, "traceparent", &trace);
        }
        let (method, uri) = (call.method.clone(), call.uri.clone());
        let to = self.entry.address;
        let sent =
            unpooled::call(to, self.connect_timeout, method, uri, headers, call.body.clone());
        let res = sent.await?;
        if res.headers.contains_key(headers::NOT_RUN) {
            return Err(AttemptEnd::Refused { retry_after: None });
        }
        let echo = res.headers.get(headers::ATTEMPT_ID);
        if echo.is_some_and(|echo| echo.as_bytes() != attempt.as_bytes()) {
            return Err(AttemptEnd::Broken);
        }
        if !call.is_repeatable && NOT_RUN_STATUSES.contains(&res.status) {
            let status = res.status.as_u16();
            log::warn!(attempt, status; "service does not prove that the call was not run");
            return Err(AttemptEnd::Broken);
        }
        let headers = forwarded_headers(&res.headers);
        Ok(PlainResponse { status: res.status, headers, body: res.body })
    }
}

fn set_header(headers: &mut HeaderMap, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        headers.insert(HeaderName::from_static(name), value);
    }
}
