//! The control interface of endpoints (everything but requests), and its HTTP client.

use std::net::SocketAddr;

use async_trait::async_trait;
use awc::http::Method;
use bytes::Bytes;
use ringbend_platform::{LoadReport, Order, Reservation};
use ringbend_types::AttemptId;

use super::http::{CallError, HttpClient};

/// Load reports, cancels, reservations and orders.
#[async_trait(?Send)]
pub(crate) trait EndpointControl {
    /// Returns the endpoint's load report, which is delayed.
    async fn load(&self, endpoint: SocketAddr) -> Result<LoadReport, CallError>;

    /// Cancels an attempt; does nothing if it is not there.
    async fn cancel(&self, endpoint: SocketAddr, attempt: AttemptId) -> Result<(), CallError>;

    /// Reserves memory for an attempt that runs on another engine.
    async fn reserve(&self, endpoint: SocketAddr, held: Reservation) -> Result<(), CallError>;

    /// Releases reserved memory; does nothing if there is none.
    async fn release(&self, endpoint: SocketAddr, attempt: AttemptId) -> Result<(), CallError>;

    /// Returns the memory reserved for attempts that run on other engines.
    async fn reservations(&self, endpoint: SocketAddr) -> Result<Vec<Reservation>, CallError>;

    /// Sends an order.
    async fn order(&self, endpoint: SocketAddr, order: Order) -> Result<(), CallError>;
}

/// Endpoint control over HTTP.
pub(crate) struct HttpEndpoints {
    http: HttpClient,
}

impl HttpEndpoints {
    pub(crate) fn new(http: HttpClient) -> Self {
        Self { http }
    }
}

#[async_trait(?Send)]
impl EndpointControl for HttpEndpoints {
    async fn load(&self, endpoint: SocketAddr) -> Result<LoadReport, CallError> {
        let url = format!("http://{endpoint}/load");
        let report = self.http.call(Method::GET, &url, Bytes::new()).await?;
        serde_json::from_slice(&report).map_err(|_| CallError::Malformed)
    }

    async fn cancel(&self, endpoint: SocketAddr, attempt: AttemptId) -> Result<(), CallError> {
        let url = format!("http://{endpoint}/cancel/{attempt}");
        self.http.call(Method::POST, &url, Bytes::new()).await.map(drop)
    }

    async fn reserve(&self, endpoint: SocketAddr, held: Reservation) -> Result<(), CallError> {
        let url = format!("http://{endpoint}/reservations");
        let body = serde_json::to_vec(&held).unwrap_or_default();
        self.http.call(Method::POST, &url, body).await.map(drop)
    }

    async fn release(&self, endpoint: SocketAddr, attempt: AttemptId) -> Result<(), CallError> {
        let url = format!("http://{endpoint}/reservations/{attempt}");
        self.http.call(Method::DELETE, &url, Bytes::new()).await.map(drop)
    }

    async fn reservations(&self, endpoint: SocketAddr) -> Result<Vec<Reservation>, CallError> {
        let url = format!("http://{endpoint}/reservations");
        let held = self.http.call(Method::GET, &url, Bytes::new()).await?;
        serde_json::from_slice(&held).map_err(|_| CallError::Malformed)
    }

    async fn order(&self, endpoint: SocketAddr, order: Order) -> Result<(), CallError> {
        let url = format!("http://{endpoint}/orders");
        let body = serde_json::to_vec(&order).unwrap_or_default();
        self.http.call(Method::POST, &url, body).await.map(drop)
    }
}
