//! The answers that the relay makes itself.

use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use ringbend_gateway::Denied;
use ringbend_runtime::{BodyError, HttpResponse, json};
use ringbend_types::RunState;
use serde::Serialize;

/// Why the relay ends a request without an endpoint's answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// Not let in.
    Denied(Denied),
    /// The instance stops and could not see the request to its end.
    Stopping,
    /// The head holds a value that cannot be read.
    BadHead,
    /// The body is too large.
    BodyTooLarge,
    /// The body did not come in time, or broke off.
    BodyBroken,
    /// The route leads to no service.
    NoService,
    /// No endpoint of the service takes work.
    NoEndpoint,
    /// Endpoints refused it; none ran it.
    NotTaken,
    /// It was sent, and what came of it is not known or was of no use.
    MayHaveRun,
    /// It is held because it ends endpoints, and was not sent.
    Held,
    /// Endpoints that are left take few requests and have no place for it in time. It was not sent.
    Limited,
    /// All endpoints have asked this instance to back off. It was not sent.
    BackingOff,
    /// It may end endpoints, and no instance that places such requests answers. It was not sent.
    Suspected,
    /// Its time is up and it was not run.
    LateNotRun,
    /// Its time is up.
    Late,
}

/// When to come back if nothing better is known.
const COME_BACK: Duration = Duration::from_millis(250);

/// When to come back to an instance that has no current configuration.
const COME_BACK_STALE: Duration = Duration::from_millis(500);

#[derive(Serialize)]
struct Body {
    error: &'static str,
    run: RunState,
}

impl Refusal {
    /// The refusal of a request that ended in this state.
    pub(crate) fn of_state(state: RunState) -> Self {
        match state {
            RunState::NotRun => Self::NotTaken,
            RunState::MayHaveRun | RunState::Failed => Self::MayHaveRun,
        }
    }

    /// Whether the request was run.
    pub(crate) fn run_state(self) -> RunState {
        match self {
            Self::MayHaveRun | Self::Late => RunState::MayHaveRun,
            _ => RunState::NotRun,
        }
    }

    /// Its code in bodies, logs and metrics.
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
            Self::NoService => "no-service",
            Self::NoEndpoint => "no-endpoint",
            Self::NotTaken => "not-taken",
            Self::MayHaveRun => "may-have-run",
            Self::Held => "held",
            Self::Limited => "limited",
            Self::BackingOff => "backing-off",
            Self::Suspected => "suspected",
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
            Self::MayHaveRun => StatusCode::BAD_GATEWAY,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
            _ => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// When the caller should come back, where that helps.
    fn come_back(self, hint: Option<Duration>) -> Option<Duration> {
        match self {
            Self::Denied(Denied::NoConfig | Denied::StaleConfig) => Some(COME_BACK_STALE),
            Self::Stopping => Some(Duration::ZERO),
            Self::NoService
            | Self::NoEndpoint
            | Self::NotTaken
            | Self::Held
            | Self::Limited
            | Self::BackingOff
            | Self::Suspected
            | Self::LateNotRun => Some(hint.unwrap_or(COME_BACK)),
            _ => None,
        }
    }

    /// The answer. `hint` is when endpoints are expected to take requests again.
    pub(crate) fn answer(self, hint: Option<Duration>) -> HttpResponse {
        let body = Body { error: self.code(), run: self.run_state() };
        let mut res = json(self.status(), &body);
        if let Some(seconds) = self.come_back(hint).map(|after| after.as_secs_f64())
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
        }
    }
}
