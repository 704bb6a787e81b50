//! HTTP client of the operators' API.

use std::fmt;
use std::time::Duration;

use actix_http::StatusCode;
use awc::http::Method;
use awc::http::uri::Authority;
use serde_json::Value;

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Largest accepted response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Why a command failed.
#[derive(Debug)]
pub(crate) enum CliError {
    /// No operator's key was given.
    MissingKey,
    /// A file cannot be read.
    ReadFile(std::io::Error),
    /// A file does not hold valid JSON.
    InvalidJson(serde_json::Error),
    /// The certificates could not be written.
    Certificates(ringbend_cli::CertificatesError),
    /// The request could not be sent or its response not received.
    Unreachable(awc::error::SendRequestError),
    /// The response body is incomplete or not JSON.
    InvalidResponse,
    /// The instance returned an error status.
    ErrorStatus(StatusCode, Value),
}

impl CliError {
    /// Returns the exit code, see `docs/OPERATIONS.md`.
    pub(crate) fn exit_code(&self) -> u8 {
        match self {
            Self::MissingKey | Self::ReadFile(_) | Self::InvalidJson(_) | Self::Certificates(_) => {
                1
            }
            Self::ErrorStatus(StatusCode::CONFLICT, _) => 3,
            Self::ErrorStatus(StatusCode::UNPROCESSABLE_ENTITY | StatusCode::BAD_REQUEST, _) => 4,
            Self::ErrorStatus(StatusCode::GATEWAY_TIMEOUT, _) => 5,
            Self::ErrorStatus(StatusCode::SERVICE_UNAVAILABLE, _) => 6,
            Self::ErrorStatus(StatusCode::UNAUTHORIZED, _) => 7,
            Self::ErrorStatus(..) | Self::InvalidResponse | Self::Unreachable(_) => 8,
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingKey => {
                write!(f, "no operator's key: pass --key-file or set RINGBEND_ADMIN_KEY")
            }
            Self::ReadFile(e) => write!(f, "{e}"),
            Self::InvalidJson(e) => write!(f, "the file does not hold valid JSON: {e}"),
            Self::Certificates(e) => write!(f, "{e}"),
            Self::Unreachable(e) => write!(f, "the instance cannot be reached: {e}"),
            Self::InvalidResponse => write!(f, "the instance's response is incomplete or not JSON"),
            Self::ErrorStatus(status, body) => match body.get("error").and_then(Value::as_str) {
                Some(error) => write!(f, "{error}"),
                None => write!(f, "{status}: {body}"),
            },
        }
    }
}

impl std::error::Error for CliError {}

/// Client of one instance's operators' API.
pub(crate) struct AdminClient {
    client: awc::Client,
    base: String,
    key: String,
}

impl AdminClient {
    pub(crate) fn new(admin: &Authority, key: String) -> Self {
        let client = awc::Client::builder().timeout(CALL_TIMEOUT).finish();
        Self { client, base: format!("http://{admin}"), key }
    }

    pub(crate) async fn get(
        &self,
        path: &str,
        query: &[(&str, String)],
    ) -> Result<Value, CliError> {
        let query = serde_urlencoded::to_string(query).unwrap_or_default();
        self.call(Method::GET, &format!("{path}?{query}"), None).await
    }

    pub(crate) async fn post(&self, path: &str, body: &Value) -> Result<Value, CliError> {
        self.call(Method::POST, path, Some(body)).await
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Option<&Value>,
    ) -> Result<Value, CliError> {
        let url = format!("{}{path}", self.base);
        let req = self.client.request(method, url).bearer_auth(&self.key);
        let sent = match body {
            Some(body) => req.send_json(body).await,
            None => req.send().await,
        };
        let mut res = sent.map_err(CliError::Unreachable)?;
        let body =
            res.body().limit(MAX_RESPONSE_BYTES).await.map_err(|_| CliError::InvalidResponse)?;
        let value: Value = serde_json::from_slice(&body).map_err(|_| CliError::InvalidResponse)?;
        if res.status().is_success() {
            return Ok(value);
        }
        Err(CliError::ErrorStatus(res.status(), value))
    }
}
