//! The operators' API, on its own port and with its own keys.

mod reply;

use std::rc::Rc;
use std::time::Duration;

use actix_http::{HttpMessage, Method, StatusCode};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use ringbend_runtime::{Handler, HttpRequest, HttpResponse, json, read_body, text};
use ringbend_settings::{Change, NodePath, schema};
use ringbend_telemetry::Outcome;
use serde::Deserialize;
use serde::de::DeserializeOwned;
use subtle::ConstantTimeEq;

use crate::app::{App, Phase};
use crate::callers::bearer;
use reply::{AdminError, EndpointStatus, MemberStatus, Status, commit_response};

/// Maximum size of a request body, in bytes.
const MAX_BODY_BYTES: usize = 4 << 20;

/// Time limit for receiving a body.
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Default number of entries in the settings history.
const DEFAULT_HISTORY_ENTRIES: usize = 50;

/// Serves the operators' API.
pub(crate) struct AdminApi {
    app: Rc<App>,
    drain: tokio::sync::mpsc::UnboundedSender<()>,
}

#[derive(Deserialize)]
struct PathQuery {
    path: NodePath,
}

#[derive(Deserialize)]
struct DiffQuery {
    left: NodePath,
    right: NodePath,
}

#[derive(Deserialize)]
struct HistoryQuery {
    most: Option<usize>,
}

impl AdminApi {
    pub(crate) fn new(app: Rc<App>, drain: tokio::sync::mpsc::UnboundedSender<()>) -> Self {
        Self { app, drain }
    }

    async fn respond(&self, req: HttpRequest) -> HttpResponse {
        match self.route(req).await {
            Ok(res) => res,
            Err(e) => e.into_response(),
        }
    }

    async fn route(&self, mut req: HttpRequest) -> Result<HttpResponse, AdminError> {
        let method = req.method().clone();
        let path = req.path().to_owned();
        match (&method, path.as_str()) {
            (&Method::GET, "/healthz") => return Ok(text(StatusCode::OK, "text/plain", "ok\n")),
            (&Method::GET, "/metrics") => return Ok(self.metrics()),
            _ if !self.is_operator(&req) => return Err(AdminError::Unauthorized),
            _ => {}
        }
        let query = req.uri().query().unwrap_or("").to_owned();
        match (method, path.as_str()) {
            (Method::GET, "/v1/status") => Ok(json(StatusCode::OK, &self.status())),
            (Method::GET, "/v1/endpoints") => Ok(json(StatusCode::OK, &self.endpoints())),
            (Method::POST, "/v1/drain") => {
                let _ = self.drain.send(());
                Ok(json(StatusCode::ACCEPTED, &"draining"))
            }
            (Method::GET, path) => self.read_settings(path, &query),
            (Method::POST, "/v1/settings/changes") => {
                let change = self.read_change(&mut req).await?;
                let outcome = self.app.settings.commit(&self.app, change).await;
                Ok(commit_response(&outcome))
            }
            (Method::POST, "/v1/settings/validate") => {
                let change = self.read_change(&mut req).await?;
                self.app.settings.read(|r| r.tree().check(&change))?;
                Ok(json(StatusCode::OK, &"valid"))
            }
            _ => Err(AdminError::NotFound),
        }
    }

    fn read_settings(&self, path: &str, query: &str) -> Result<HttpResponse, AdminError> {
        let settings = &self.app.settings;
        match path {
            "/v1/settings/effective" => {
                let PathQuery { path } = parse_query(query)?;
                Ok(json(StatusCode::OK, &*settings.effective(&path)))
            }
            "/v1/settings/explain" => {
                let PathQuery { path } = parse_query(query)?;
                Ok(json(StatusCode::OK, &settings.read(|r| r.tree().explain(&path))))
            }
            "/v1/settings/node" => {
                let PathQuery { path } = parse_query(query)?;
                Ok(json(StatusCode::OK, &settings.read(|r| r.tree().node(&path).cloned())))
            }
            "/v1/settings/tree" => Ok(settings.read(|r| json(StatusCode::OK, r.snapshot()))),
            "/v1/settings/diff" => {
                let DiffQuery { left, right } = parse_query(query)?;
                Ok(json(StatusCode::OK, &settings.read(|r| r.tree().diff(&left, &right))))
            }
            "/v1/settings/history" => {
                let HistoryQuery { most } = parse_query(query)?;
                let max = most.unwrap_or(DEFAULT_HISTORY_ENTRIES);
                Ok(json(StatusCode::OK, &settings.read(|r| r.history(max))))
            }
            "/v1/settings/schema" => Ok(json(StatusCode::OK, &schema())),
            _ => Err(AdminError::NotFound),
        }
    }

    fn is_operator(&self, req: &HttpRequest) -> bool {
        let Some(given) = bearer(req.headers()) else { return false };
        let mut matches = false;
        for key in &self.app.cfg.admin.keys {
            matches |= bool::from(key.as_bytes().ct_eq(given));
        }
        matches
    }

    async fn read_change(&self, req: &mut HttpRequest) -> Result<Change, AdminError> {
        let body = read_body(req.take_payload(), MAX_BODY_BYTES, BODY_TIMEOUT).await?;
        serde_json::from_slice(&body).map_err(AdminError::BadChange)
    }

    fn metrics(&self) -> HttpResponse {
        let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
        text(StatusCode::OK, content_type, self.app.metrics.render())
    }

    fn status(&self) -> Status {
        let app = &self.app;
        let confirmed = app.now().since(app.settings.confirmed_at());
        let member = |m: ringbend_membership::Member| MemberStatus {
            instance: m.id,
            address: m.address,
            incarnation: m.incarnation,
            state: format!("{:?}", m.state).to_lowercase(),
        };
        Status {
            instance: app.cfg.instance.clone(),
            data_centre: app.cfg.data_centre.clone(),
            incarnation: app.incarnation,
            phase: phase_name(app.phase.get()),
            settings_version: app.settings.version(),
            settings_confirmed_ms_ago: u64::try_from(confirmed.as_millis()).unwrap_or(u64::MAX),
            open_requests: app.policy.open_requests(),
            admitted: app.metrics.admitted_total(),
            answered: app.metrics.ended_total(Outcome::Answered),
            failed: app.metrics.ended_total(Outcome::Failed),
            caller_gone: app.metrics.ended_total(Outcome::CallerGone),
            unsettled_claims: app.claims.unsettled(),
            members: app.peers.members().into_iter().map(member).collect(),
        }
    }

    fn endpoints(&self) -> Vec<EndpointStatus> {
        let line = |(entry, open, own)| EndpointStatus { entry, open, own_requests: own };
        self.app.policy.endpoint_states(&self.app).into_iter().map(line).collect()
    }
}

impl Handler for AdminApi {
    fn handle(self: Rc<Self>, req: HttpRequest) -> LocalBoxFuture<'static, HttpResponse> {
        async move { self.respond(req).await }.boxed_local()
    }
}

fn phase_name(phase: Phase) -> &'static str {
    match phase {
        Phase::Starting => "starting",
        Phase::Serving => "serving",
        Phase::Unready => "unready",
        Phase::Draining => "draining",
    }
}

fn parse_query<T: DeserializeOwned>(query: &str) -> Result<T, AdminError> {
    serde_urlencoded::from_str(query).map_err(AdminError::BadQuery)
}
