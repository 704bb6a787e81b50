//! The callers' API: prompts, models and plain services.

mod attempt;
mod auth;
mod budget;
mod failure;
mod headers;
mod plain;
mod prompt;
mod request_task;
mod response_sink;
mod sse;
mod stored;
mod unpooled;

use std::rc::Rc;
use std::time::Duration;

use actix_http::{ConnectionType, HttpMessage, Method, StatusCode};
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ringbend_platform::EndpointKind;
use ringbend_runtime::{Handler, HttpRequest, HttpResponse, json, read_body, text};
use serde::Serialize;

use crate::app::{App, Phase};
use auth::CallerKeys;
pub(crate) use auth::bearer;
use budget::{BodyBudget, BodyPermit};
use failure::Failure;
use headers::CallHeaders;

/// Maximum size of a request body, in bytes. A prompt of a million tokens has about four million
/// bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Maximum size of all request bodies in memory at once, in bytes.
const MAX_BUFFERED_BYTES: usize = 1 << 30;

/// Time limit for receiving a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(60);

/// Path prefix of plain services.
const SERVICES_PREFIX: &str = "/services/";

/// Serves the callers' API.
pub(crate) struct CallerApi {
    app: Rc<App>,
    keys: CallerKeys,
    budget: BodyBudget,
}

/// A request whose headers and body have been read.
struct Call {
    req: HttpRequest,
    headers: CallHeaders,
    body: Bytes,
    permit: BodyPermit,
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<Model>,
}

#[derive(Serialize)]
struct Model {
    id: String,
    object: &'static str,
    owned_by: &'static str,
}

impl CallerApi {
    pub(crate) fn new(app: Rc<App>) -> Self {
        let keys = CallerKeys::new(&app.cfg.callers);
        Self { app, keys, budget: BodyBudget::new(MAX_BUFFERED_BYTES) }
    }

    async fn respond(&self, req: HttpRequest) -> HttpResponse {
        let mut res = self.handle_request(req).await;
        if self.app.phase.get() >= Phase::Unready {
            // Close the connection after this response, so that a drain can tell when it was
            // delivered.
            res.head_mut().set_connection_type(ConnectionType::Close);
        }
        res
    }

    async fn handle_request(&self, req: HttpRequest) -> HttpResponse {
        match (req.method().clone(), req.path()) {
            (Method::GET, "/healthz") => text(StatusCode::OK, "text/plain", "ok\n"),
            (Method::GET, "/readyz") => self.readiness(),
            _ => match self.route(req).await {
                Ok(res) => res,
                Err(failure) => {
                    self.app.metrics.failure(failure.code());
                    failure.into_response()
                }
            },
        }
    }

    fn readiness(&self) -> HttpResponse {
        if self.app.phase.get() == Phase::Serving {
            return text(StatusCode::OK, "text/plain", "ready\n");
        }
        text(StatusCode::SERVICE_UNAVAILABLE, "text/plain", "not ready\n")
    }

    async fn route(&self, req: HttpRequest) -> Result<HttpResponse, Failure> {
        let account = self.keys.account(req.headers()).ok_or(Failure::Unauthorized)?;
        match self.app.phase.get() {
            Phase::Starting | Phase::Draining => return Err(Failure::NotReady),
            Phase::Serving | Phase::Unready => {}
        }
        let path = req.path().to_owned();
        match (req.method().clone(), path.as_str()) {
            (Method::GET, "/v1/models") => Ok(self.models()),
            (Method::POST, "/v1/completions") => {
                let call = self.read_call(req, account).await?;
                prompt::serve(&self.app, call, false).await
            }
            (Method::POST, "/v1/chat/completions") => {
                let call = self.read_call(req, account).await?;
                prompt::serve(&self.app, call, true).await
            }
            (_, path) if path.starts_with(SERVICES_PREFIX) => {
                let call = self.read_call(req, account).await?;
                plain::serve(&self.app, call).await
            }
            _ => Err(Failure::NotFound),
        }
    }

    async fn read_call(
        &self,
        mut req: HttpRequest,
        account: ringbend_types::ClientAccountId,
    ) -> Result<Call, Failure> {
        let headers = CallHeaders::read(req.headers(), account)?;
        // A body without a content length may be as long as the maximum.
        let max_len = headers::content_length(req.headers())?.unwrap_or(MAX_BODY_BYTES);
        if max_len > MAX_BODY_BYTES {
            return Err(Failure::BodyTooLarge(MAX_BODY_BYTES));
        }
        let mut permit = self.budget.take(max_len).ok_or(Failure::NoMemory)?;
        let body = read_body(req.take_payload(), MAX_BODY_BYTES, BODY_TIMEOUT).await?;
        permit.shrink_to(body.len());
        Ok(Call { req, headers, body, permit })
    }

    fn models(&self) -> HttpResponse {
        let mut names: Vec<String> = self
            .app
            .policy
            .entries()
            .iter()
            .filter(|e| e.kind == EndpointKind::Engine)
            .map(|e| e.service.to_string())
            .collect();
        names.sort();
        names.dedup();
        let model = |id| Model { id, object: "model", owned_by: "ringbend" };
        let data = names.into_iter().map(model).collect();
        json(StatusCode::OK, &ModelList { object: "list", data })
    }
}

impl Handler for CallerApi {
    fn handle(self: Rc<Self>, req: HttpRequest) -> LocalBoxFuture<'static, HttpResponse> {
        async move { self.respond(req).await }.boxed_local()
    }
}
