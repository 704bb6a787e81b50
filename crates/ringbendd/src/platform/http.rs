//! The HTTP client for short calls to platform services, with a timeout.

use std::fmt;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::{ETAG, IF_NONE_MATCH};
use awc::error::{ConnectError, SendRequestError};
use awc::http::Method;
use bytes::Bytes;
use ringbend_runtime::{CodecPanic, catch_codec_panic};

/// Maximum size of a response, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Why a call has no response.
#[derive(Debug)]
pub(crate) enum CallError {
    /// No byte was sent.
    NotSent,
    /// The call may have been received.
    Unknown,
    /// The service responded with this error status.
    Status(StatusCode),
    /// The response cannot be parsed.
    Malformed,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotSent => write!(f, "cannot open a connection"),
            Self::Unknown => write!(f, "no response arrived"),
            Self::Status(status) => write!(f, "status {status}"),
            Self::Malformed => write!(f, "the response is malformed"),
        }
    }
}

impl std::error::Error for CallError {}

/// Makes calls with a timeout.
#[derive(Clone)]
pub(crate) struct HttpClient {
    client: awc::Client,
    timeout: Duration,
}

impl HttpClient {
    pub(crate) fn new(client: awc::Client, timeout: Duration) -> Self {
        Self { client, timeout }
    }

    /// Makes a call; the timeout includes reading the response's body.
    pub(crate) async fn call(
        &self,
        method: Method,
        url: &str,
        body: impl Into<Bytes>,
    ) -> Result<Bytes, CallError> {
        let call = catch_codec_panic(self.send(method, url, body.into()));
        match tokio::time::timeout(self.timeout, call).await {
            Ok(Ok(response)) => response,
            Ok(Err(CodecPanic)) | Err(_) => Err(CallError::Unknown),
        }
    }

    /// Reads a resource if it has changed since the entity tag, and returns its body and new tag.
    /// Returns `None` if it has not changed.
    pub(crate) async fn get_if_changed(
        &self,
        url: &str,
        tag: Option<&str>,
    ) -> Result<Option<(Bytes, Option<String>)>, CallError> {
        let read = async {
            let mut req = self.client.get(url).timeout(self.timeout);
            if let Some(tag) = tag {
                req = req.insert_header((IF_NONE_MATCH, tag));
            }
            let mut res = req.send().await.map_err(to_call_error)?;
            if res.status() == StatusCode::NOT_MODIFIED {
                return Ok(None);
            }
            if !res.status().is_success() {
                return Err(CallError::Status(res.status()));
            }
            let tag = res.headers().get(ETAG).and_then(|tag| tag.to_str().ok()).map(str::to_owned);
            let body = res.body().limit(MAX_RESPONSE_BYTES).await;
            Ok(Some((body.map_err(|_| CallError::Unknown)?, tag)))
        };
        match tokio::time::timeout(self.timeout, catch_codec_panic(read)).await {
            Ok(Ok(response)) => response,
            Ok(Err(CodecPanic)) | Err(_) => Err(CallError::Unknown),
        }
    }

    async fn send(&self, method: Method, url: &str, body: Bytes) -> Result<Bytes, CallError> {
        let req = self.client.request(method, url).timeout(self.timeout);
        let req = req.content_type("application/json");
        let mut res = req.send_body(body).await.map_err(to_call_error)?;
        if !res.status().is_success() {
            return Err(CallError::Status(res.status()));
        }
        res.body().limit(MAX_RESPONSE_BYTES).await.map_err(|_| CallError::Unknown)
    }
}

fn to_call_error(e: SendRequestError) -> CallError {
    if is_unsent(&e) { CallError::NotSent } else { CallError::Unknown }
}

/// Whether no byte of the request was sent. A connection that is closed before a byte of the response
/// counts as a failed connect for the client, although the request was sent.
pub(crate) fn is_unsent(e: &SendRequestError) -> bool {
    match e {
        SendRequestError::Connect(e) => !matches!(e, ConnectError::Disconnected),
        SendRequestError::Url(_) => true,
        _ => false,
    }
}
