//! Responses of the operators' API.

use std::fmt;
use std::net::SocketAddr;

use actix_http::StatusCode;
use ringbend_platform::EndpointEntry;
use ringbend_runtime::{BodyError, HttpResponse, json};
use ringbend_settings::{CommitOutcome, NodePath, SettingsError};
use ringbend_types::{DataCentre, Incarnation, InstanceId, SettingsVersion};
use serde::Serialize;

/// Why an operator's request failed.
#[derive(Debug)]
pub(crate) enum AdminError {
    Unauthorized,
    NotFound,
    BadQuery(serde_urlencoded::de::Error),
    BadChange(serde_json::Error),
    Body(BodyError),
    Settings(SettingsError),
}

impl fmt::Display for AdminError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unauthorized => write!(f, "a valid operator bearer key is required"),
            Self::NotFound => write!(f, "no such route"),
            Self::BadQuery(e) => write!(f, "invalid query: {e}"),
            Self::BadChange(e) => write!(f, "invalid change: {e}"),
            Self::Body(e) => write!(f, "{e}"),
            Self::Settings(e) => write!(f, "{e}"),
        }
    }
}

impl std::error::Error for AdminError {}

impl From<BodyError> for AdminError {
    fn from(e: BodyError) -> Self {
        Self::Body(e)
    }
}

impl From<SettingsError> for AdminError {
    fn from(e: SettingsError) -> Self {
        Self::Settings(e)
    }
}

#[derive(Serialize)]
struct ErrorBody {
    error: String,
}

impl AdminError {
    pub(crate) fn into_response(self) -> HttpResponse {
        let status = match self {
            Self::Unauthorized => StatusCode::UNAUTHORIZED,
            Self::NotFound => StatusCode::NOT_FOUND,
            Self::BadQuery(_) | Self::BadChange(_) | Self::Body(_) => StatusCode::BAD_REQUEST,
            Self::Settings(_) => StatusCode::UNPROCESSABLE_ENTITY,
        };
        json(status, &ErrorBody { error: self.to_string() })
    }
}

/// The current status of the instance.
#[derive(Serialize)]
pub(crate) struct Status {
    pub(crate) instance: InstanceId,
    pub(crate) data_centre: DataCentre,
    pub(crate) incarnation: Incarnation,
    pub(crate) phase: &'static str,
    pub(crate) settings_version: SettingsVersion,
    pub(crate) settings_confirmed_ms_ago: u64,
    pub(crate) open_requests: usize,
    pub(crate) admitted: u64,
    pub(crate) answered: u64,
    pub(crate) failed: u64,
    pub(crate) caller_gone: u64,
    pub(crate) unsettled_claims: usize,
    pub(crate) members: Vec<MemberStatus>,
}

/// Another instance.
#[derive(Serialize)]
pub(crate) struct MemberStatus {
    pub(crate) instance: InstanceId,
    pub(crate) address: SocketAddr,
    pub(crate) incarnation: Incarnation,
    pub(crate) state: String,
}

/// An endpoint.
#[derive(Serialize)]
pub(crate) struct EndpointStatus {
    #[serde(flatten)]
    pub(crate) entry: EndpointEntry,
    pub(crate) open: bool,
    pub(crate) own_requests: usize,
}

#[derive(Serialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
enum CommitBody<'a> {
    Accepted { version: SettingsVersion },
    Conflict { path: &'a NodePath, version: SettingsVersion },
    Invalid { error: String },
    NotApplied { error: &'static str },
    OutcomeUnknown { error: &'static str },
}

/// Converts the outcome of a settings change to a response.
pub(crate) fn commit_response(outcome: &CommitOutcome) -> HttpResponse {
    let (status, body) = match outcome {
        CommitOutcome::Accepted(entry) => {
            (StatusCode::OK, CommitBody::Accepted { version: entry.version })
        }
        CommitOutcome::AlreadyAccepted(version) => {
            (StatusCode::OK, CommitBody::Accepted { version: *version })
        }
        CommitOutcome::Conflict { path, version } => {
            (StatusCode::CONFLICT, CommitBody::Conflict { path, version: *version })
        }
        CommitOutcome::Invalid(e) => {
            (StatusCode::UNPROCESSABLE_ENTITY, CommitBody::Invalid { error: e.to_string() })
        }
        CommitOutcome::NotApplied => {
            let error = "the store rejected every attempt; nothing was written";
            (StatusCode::SERVICE_UNAVAILABLE, CommitBody::NotApplied { error })
        }
        CommitOutcome::OutcomeUnknown => {
            let error = "the store's response was lost; retry with the same change id";
            (StatusCode::GATEWAY_TIMEOUT, CommitBody::OutcomeUnknown { error })
        }
    };
    json(status, &body)
}
