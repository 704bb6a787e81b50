//! Responses that the relay generates itself.

use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use ringbend_gateway::Denied;
use ringbend_runtime::{BodyError, HttpResponse, json};
use ringbend_types::RunState;
use serde::Serialize;

/// Why the relay ends a request without an endpoint's response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The request was not admitted.
    Denied(Denied),
    /// The instance is stopping and could not complete the request.
    Stopping,
    /// The request head has an invalid header value.
    BadHead,
    /// The body is too large.
    BodyTooLarge,
    /// The body did not arrive in time, or the connection broke.
    BodyBroken,
    /// Other bodies take all the memory for them.
    NoBufferRoom,
    /// Other connections take all the memory or descriptors for them.
    NoConnectionRoom,
    /// The route leads to no service.
    NoService,
    /// No endpoint of the service accepts work.
    NoEndpoint,
    /// Endpoints refused the request; none ran it.
    NotTaken,
    /// The request was sent, and its result is unknown or unusable.
    MayHaveRun,
    /// The request is held because it crashes endpoints. It was not sent.
    Held,
    /// The request is held because a part of its prompt crashes endpoints. It was not sent.
    HeldPart,
    /// The remaining endpoints are rate-limited and have no permit in time. The request was not
    /// sent.
    Limited,
    /// Engines are overloaded, and the request would not begin before its caller disconnects. It
    /// was not sent.
    Overloaded,
    /// All endpoints asked this instance to back off. The request was not sent.
    BackingOff,
    /// The request may crash endpoints, and no arbiter is available to place it. It was not sent.
    Suspected,
    /// No instance reaches any endpoint of the service. The request was not sent.
    OutOfReach,
    /// The task of the request panicked before the request was sent.
    InternalNotRun,
    /// The task of the request panicked after the request was sent.
    Internal,
    /// The deadline passed and the request was not run.
    LateNotRun,
    /// The deadline passed.
    Late,
}

/// `Retry-After` if there is no better estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);

/// `Retry-After` of an instance without a current configuration.
const STALE_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(500);

#[derive(Serialize)]
struct Body {
    error: &'static str,
    run: RunState,
}

impl Refusal {
    /// The refusal of a request that ended in this run state.
    pub(crate) fn of_state(state: RunState) -> Self {
        match state {
            RunState::NotRun => Self::NotTaken,
            RunState::MayHaveRun | RunState::Failed => Self::MayHaveRun,
        }
    }

    /// The run state that the response reports.
    pub(crate) fn run_state(self) -> RunState {
        match self {
            Self::MayHaveRun | Self::Internal | Self::Late => RunState::MayHaveRun,
            _ => RunState::NotRun,
        }
    }

    /// The code in response bodies, logs and metrics.
    pub(crate) fn code(self) -> &'static str {
        match self {
            Self::Denied(Denied::NoConfig) => "no-config",
            Self::Denied(Denied::StaleConfig) => "stale-config",
            Self::Denied(Denied::NoRoute) => "no-route",
            Self::Denied(Denied::BadKey) => "bad-key",
            Self::Stopping => "stopping",
            Self::BadHead => "bad-head",
            Self::BodyTooLarge => "body-too-large",
            Self::BodyBroken => "body-broken",
            Self::NoBufferRoom => "no-buffer-room",
            Self::NoConnectionRoom => "no-connection-room",
            Self::NoService => "no-service",
            Self::NoEndpoint => "no-endpoint",
            Self::NotTaken => "not-taken",
            Self::MayHaveRun => "may-have-run",
            Self::Held => "held",
            Self::HeldPart => "held-part",
            Self::Limited => "limited",
            Self::Overloaded => "overloaded",
            Self::BackingOff => "backing-off",
            Self::Suspected => "suspected",
            Self::OutOfReach => "out-of-reach",
            Self::InternalNotRun => "internal-not-run",
            Self::Internal => "internal",
            Self::LateNotRun => "late-not-run",
            Self::Late => "late",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::Denied(Denied::NoRoute) => StatusCode::NOT_FOUND,
            Self::Denied(Denied::BadKey) => StatusCode::UNAUTHORIZED,
            Self::BadHead => StatusCode::BAD_REQUEST,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyBroken => StatusCode::REQUEST_TIMEOUT,
            Self::MayHaveRun | Self::Internal => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The `Retry-After` of the response, if a retry is useful.
    fn retry_delay(self, hint: Option<Duration>) -> Option<Duration> {
        match self {
            Self::Denied(Denied::NoConfig | Denied::StaleConfig) => Some(STALE_CONFIG_RETRY_AFTER),
            Self::Stopping => Some(Duration::ZERO),
            Self::NoBufferRoom
            | Self::NoConnectionRoom
            | Self::NoService
            | Self::NoEndpoint
            | Self::NotTaken
            | Self::Held
            | Self::HeldPart
            | Self::Limited
            | Self::Overloaded
            | Self::BackingOff
            | Self::Suspected
            | Self::OutOfReach
            | Self::InternalNotRun
            | Self::LateNotRun => Some(hint.unwrap_or(DEFAULT_RETRY_AFTER)),
            _ => None,
        }
    }

    /// Builds the response. `hint` is when endpoints are expected to accept requests again.
    pub(crate) fn into_response(self, hint: Option<Duration>) -> HttpResponse {
        let body = Body { error: self.code(), run: self.run_state() };
        let mut res = json(self.status(), &body);
        if let Some(seconds) = self.retry_delay(hint).map(|after| after.as_secs_f64())
            && let Ok(value) = HeaderValue::from_str(&format!("{seconds:.3}"))
        {
            res.headers_mut().insert(RETRY_AFTER, value);
        }
        let run = HeaderValue::from_static(self.run_state().as_str());
        res.headers_mut().insert(HeaderName::from_static("x-ringbend-run-state"), run);
        res
    }
}

impl From<&BodyError> for Refusal {
    fn from(e: &BodyError) -> Self {
        match e {
            BodyError::TooLarge(_) => Self::BodyTooLarge,
            BodyError::TooSlow | BodyError::Broken(_) => Self::BodyBroken,
            BodyError::NoRoom => Self::NoBufferRoom,
        }
    }
}
