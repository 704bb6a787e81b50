//! The table service and its HTTP client.

use actix_http::StatusCode;
use async_trait::async_trait;
use awc::http::Method;
use ringbend_platform::{TableError, TableReply, TableRequest};
use ringbend_telemetry::Metrics;

use super::http::{CallError, HttpClient};
use crate::base_url::BaseUrl;

/// The platform's transactional table service.
#[async_trait(?Send)]
pub(crate) trait TableService {
    /// Makes a call, subject to the client's timeout.
    async fn call(&self, request: TableRequest) -> Result<TableReply, TableError>;
}

/// The table service over HTTP: `POST URL/v1/call`. Status 503 and 429 mean that nothing was
/// applied.
pub(crate) struct HttpTable {
    http: HttpClient,
    url: String,
    metrics: Metrics,
}

impl HttpTable {
    pub(crate) fn new(http: HttpClient, base: &BaseUrl, metrics: Metrics) -> Self {
        Self { http, url: base.join(&["v1", "call"]), metrics }
    }
}

#[async_trait(?Send)]
impl TableService for HttpTable {
    async fn call(&self, request: TableRequest) -> Result<TableReply, TableError> {
        self.metrics.table_call();
        let body = serde_json::to_vec(&request).unwrap_or_default();
        match self.http.call(Method::POST, &self.url, body).await {
            // A truncated reply does not parse.
            Ok(reply) => serde_json::from_slice(&reply).map_err(|_| TableError::OutcomeUnknown),
            Err(CallError::NotSent) => Err(TableError::NotApplied),
            Err(CallError::Status(
                StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS,
            )) => Err(TableError::NotApplied),
            Err(CallError::Unknown | CallError::Status(_) | CallError::Malformed) => {
                Err(TableError::OutcomeUnknown)
            }
        }
    }
}
