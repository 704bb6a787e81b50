//! Errors as callers see them: a JSON body with a code and whether the request was run.

use std::fmt;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use ringbend_policy::FailureCode;
use ringbend_runtime::{BodyError, HttpResponse, json};
use ringbend_types::RunState;
use serde::Serialize;

/// The header that says whether the request was run.
pub(crate) const RUN_STATE: &str = "x-ringbend-run-state";

/// Why a request failed.
#[derive(Debug)]
pub(crate) enum Failure {
    /// The bearer key is missing or unknown.
    Unauthorized,
    /// There is no such route.
    NotFound,
    /// The instance is starting or draining.
    NotReady,
    /// A header has an invalid value.
    BadHeader { name: &'static str, expected: &'static str },
    /// The body exceeds the maximum size in bytes.
    BodyTooLarge(usize),
    /// The body could not be read.
    Body(BodyError),
    /// The memory budget for request bodies is exhausted.
    NoMemory,
    /// The body is not valid for the route.
    BadBody(serde_json::Error),
    /// A required field of the body is missing.
    MissingField(&'static str),
    /// A number in the body exceeds its maximum.
    FieldTooLarge { name: &'static str, max: u64 },
    /// There is no such model or service.
    UnknownService(String),
    /// The policy rejected or failed the request.
    Policy { code: FailureCode, run_state: RunState, retry_after: Option<Duration> },
    /// A request with the same key is in progress.
    InProgress,
    /// An earlier request with the same key may have run.
    EarlierMayHaveRun,
    /// The request key was used for a different request.
    KeyReused,
    /// The request key could not be claimed.
    NoClaim,
    /// The instance was told to stop immediately.
    CutOff(RunState),
}

#[derive(Serialize)]
struct ErrorBody {
    error: ErrorDetail,
}

#[derive(Serialize)]
struct ErrorDetail {
    message: String,
    #[serde(rename = "type")]
    kind: &'static str,
    code: &'static str,
    run_state: RunState,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u64>,
}

impl From<BodyError> for Failure {
    fn from(e: BodyError) -> Self {
        match e {
            BodyError::TooLarge(limit) => Self::BodyTooLarge(limit),
            other => Self::Body(other),
        }
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unauthorized => write!(f, "a valid bearer key is required"),
            Self::NotFound => write!(f, "no such route"),
            Self::NotReady => write!(f, "this instance is not accepting requests now"),
            Self::BadHeader { name, expected } => {
                write!(f, "invalid header {name}: expected {expected}")
            }
            Self::BodyTooLarge(limit) => write!(f, "the request body exceeds {limit} bytes"),
            Self::Body(e) => write!(f, "{e}"),
            Self::NoMemory => write!(f, "too many request bodies are being processed at once"),
            Self::BadBody(e) => write!(f, "invalid request body: {e}"),
            Self::MissingField(name) => write!(f, "the request body has no field {name:?}"),
            Self::FieldTooLarge { name, max } => write!(f, "{name} must be at most {max}"),
            Self::UnknownService(name) => write!(f, "there is no model or service {name:?}"),
            Self::Policy { code, .. } => write!(f, "{}", policy_message(*code)),
            Self::InProgress => write!(f, "a request with this key is in progress"),
            Self::EarlierMayHaveRun => write!(f, "an earlier request with this key may have run"),
            Self::KeyReused => write!(f, "this key was used for a different request"),
            Self::NoClaim => write!(f, "the request's key could not be claimed"),
            Self::CutOff(_) => write!(f, "the instance was told to stop immediately"),
        }
    }
}

impl std::error::Error for Failure {}

fn policy_message(code: FailureCode) -> &'static str {
    match code {
        FailureCode::OverLimit => "the client account exceeded its limit",
        FailureCode::QueueFull => "too many requests are queued",
        FailureCode::DeadlineTooNear => "the response could not start before the deadline",
        FailureCode::NoEndpoint => "no endpoint is available for this request",
        FailureCode::TooLarge => "the prompt is too long",
        FailureCode::DeadlineExceeded => "the deadline was exceeded",
        FailureCode::EndpointFailed => "the endpoint failed",
    }
}

impl Failure {
    /// Returns the code used in the body and in metrics.
    pub(crate) fn code(&self) -> &'static str {
        match self {
            Self::Unauthorized => "unauthorized",
            Self::NotFound => "not_found",
            Self::NotReady => "not_ready",
            Self::BadHeader { .. } => "bad_header",
            Self::BodyTooLarge(_) => "too_large",
            Self::Body(_) => "body_not_read",
            Self::NoMemory => "no_memory",
            Self::BadBody(_) | Self::MissingField(_) | Self::FieldTooLarge { .. } => "bad_body",
            Self::UnknownService(_) => "unknown_service",
            Self::Policy { code, .. } => code.as_str(),
            Self::InProgress => "in_progress",
            Self::EarlierMayHaveRun => "earlier_may_have_run",
            Self::KeyReused => "key_reused",
            Self::NoClaim => "no_claim",
            Self::CutOff(_) => "cut_off",
        }
    }

    fn status(&self) -> StatusCode {
        match self {
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::NotFound | Self::UnknownService(_) => StatusCode::NOT_FOUND,
            Self::NotReady | Self::NoMemory | Self::NoClaim | Self::CutOff(_) => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Self::BadHeader { .. }
            | Self::BadBody(_)
            | Self::MissingField(_)
            | Self::FieldTooLarge { .. } => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Body(BodyError::TooSlow) => StatusCode::REQUEST_TIMEOUT,
            Self::Body(_) => StatusCode::BAD_REQUEST,
            Self::InProgress | Self::EarlierMayHaveRun => StatusCode::CONFLICT,
            Self::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Policy { code, .. } => match code {
                FailureCode::OverLimit => StatusCode::TOO_MANY_REQUESTS,
                FailureCode::QueueFull | FailureCode::DeadlineTooNear | FailureCode::NoEndpoint => {
                    StatusCode::SERVICE_UNAVAILABLE
                }
                FailureCode::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
                FailureCode::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
                FailureCode::EndpointFailed => StatusCode::BAD_GATEWAY,
            },
        }
    }

    /// Returns whether the request was run.
    pub(crate) fn run_state(&self) -> RunState {
        match self {
            Self::Policy { run_state, .. } | Self::CutOff(run_state) => *run_state,
            Self::EarlierMayHaveRun | Self::InProgress => RunState::MayHaveRun,
            _ => RunState::NotRun,
        }
    }

    fn retry_after(&self) -> Option<u64> {
        let wait = match self {
            Self::Policy { retry_after, .. } => (*retry_after)?,
            Self::NotReady | Self::NoMemory | Self::NoClaim | Self::InProgress => {
                ringbend_policy::jittered_retry_after(Duration::from_secs(1), &mut rand::rng())
            }
            _ => return None,
        };
        Some(wait.as_secs_f64().ceil() as u64)
    }

    fn body(&self) -> ErrorBody {
        ErrorBody {
            error: ErrorDetail {
                message: self.to_string(),
                kind: "ringbend_error",
                code: self.code(),
                run_state: self.run_state(),
                retry_after_s: self.retry_after(),
            },
        }
    }

    /// Converts the failure to a response.
    pub(crate) fn into_response(self) -> HttpResponse {
        let body = self.body();
        let mut res = json(self.status(), &body);
        let headers = res.headers_mut();
        let run_state = HeaderValue::from_static(self.run_state().as_str());
        headers.insert(HeaderName::from_static(RUN_STATE), run_state);
        if let Some(seconds) = body.error.retry_after_s {
            headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        res
    }

    /// Converts the failure to a server-sent event, for a response that is already being streamed.
    pub(crate) fn into_event(self) -> bytes::Bytes {
        let body = serde_json::to_string(&self.body()).unwrap_or_default();
        format!("event: error\ndata: {body}\n\n").into()
    }
}
