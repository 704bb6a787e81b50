//! The events that a policy handles and the actions it returns to its driver.

use std::fmt;
use std::time::Duration;

use ringbend_platform::{EndpointEntry, LoadReport};
use ringbend_types::{
    AttemptId, ClientAccountId, EndpointId, InstanceId, RequestId, RunState, Timestamp, TokenCount,
};
use smallvec::SmallVec;

use crate::profile::RequestProfile;

/// How an attempt at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The complete response arrived.
    Complete,
    /// No byte of the request was sent: the connection was refused or could not be opened.
    NotSent,
    /// The endpoint reported that it did not run the request.
    Refused {
        /// The Retry-After that the endpoint sent.
        retry_after: Option<Duration>,
    },
    /// The connection broke, the response stalled, or it belonged to another attempt.
    Broken,
    /// The endpoint reported that running the request failed.
    EndpointError,
}

/// An input to a policy.
#[derive(Debug, Clone)]
pub enum Event {
    /// The current endpoint list.
    Endpoints(Vec<EndpointEntry>),
    /// An endpoint is leaving, as reported by itself or by a peer.
    EndpointLeaving(EndpointId),
    /// The live instances, this one included.
    Peers(Vec<InstanceId>),
    /// This instance's share of an account's limits, or of all accounts that have no share of their
    /// own.
    Share {
        /// The account; `None` sets the default share.
        account: Option<ClientAccountId>,
        /// A fraction between 0 and 1.
        share: f64,
    },
    /// A load report of an endpoint.
    Load {
        /// The endpoint.
        endpoint: EndpointId,
        /// The reported load.
        report: LoadReport,
        /// The time at which the load was measured.
        at: Timestamp,
    },
    /// A request arrived.
    Arrived(RequestProfile),
    /// The claim on the request's key was granted.
    Claimed(RequestId),
    /// The driver ended the request: the caller disconnected, another request holds the claim, or
    /// the claim could not be made.
    Withdrawn(RequestId),
    /// The result of a reservation.
    Reserved {
        /// The attempt that needs the memory.
        attempt: AttemptId,
        /// The engine that was asked.
        endpoint: EndpointId,
        /// Whether the engine now holds the memory.
        held: bool,
    },
    /// Tokens of an attempt arrived.
    Progress {
        /// The attempt.
        attempt: AttemptId,
        /// Tokens delivered so far, including those of earlier attempts.
        tokens: u64,
    },
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        end: AttemptEnd,
    },
    /// This instance failed to renew its presence lease. The memory it holds on engines may be
    /// freed, so attempts that depend on it end.
    PresenceLapsed,
    /// A wakeup that was requested through [`Policy::next_wakeup`].
    Tick,
}

/// Memory held on another engine for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldMemory {
    /// The engine.
    pub endpoint: EndpointId,
    /// The amount of KV cache memory.
    pub tokens: TokenCount,
}

/// An attempt of a request at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// The request.
    pub request: RequestId,
    /// The attempt's id.
    pub attempt: AttemptId,
    /// The endpoint it is sent to.
    pub endpoint: EndpointId,
    /// Memory held for it on other engines.
    pub held: SmallVec<[HeldMemory; 4]>,
    /// Priority at the engine; 0 is served first.
    pub priority: u8,
    /// Tokens already delivered by earlier attempts.
    pub resume_from: u64,
    /// The number of the attempt within its request, starting at 1.
    pub number: u32,
}

/// Why a request was rejected or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FailureCode {
    /// The client account's rate or concurrency limit is exhausted.
    OverLimit,
    /// The queue of this instance is full.
    QueueFull,
    /// The response could not start before the deadline.
    DeadlineTooNear,
    /// No endpoint of the service is known and live.
    NoEndpoint,
    /// The prompt exceeds the configured maximum, or the memory of all engines together.
    TooLarge,
    /// The deadline passed.
    DeadlineExceeded,
    /// The endpoint failed, and the request may not be retried or has no retries left.
    EndpointFailed,
}

impl FailureCode {
    /// Returns the code used in error bodies and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OverLimit => "over_limit",
            Self::QueueFull => "queue_full",
            Self::DeadlineTooNear => "deadline_too_near",
            Self::NoEndpoint => "no_endpoint",
            Self::TooLarge => "too_large",
            Self::DeadlineExceeded => "deadline_exceeded",
            Self::EndpointFailed => "endpoint_failed",
        }
    }
}

impl fmt::Display for FailureCode {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// How an admitted request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestEnd {
    /// The complete response was delivered.
    Answered,
    /// The request failed.
    Failed {
        /// The cause.
        code: FailureCode,
        /// Whether the request was executed.
        run_state: RunState,
        /// When the caller may retry, if a retry can help.
        retry_after: Option<Duration>,
    },
}

/// A command to the driver.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// The request is admitted. It ends with an [`Action::Finish`] unless it is withdrawn.
    Admitted(RequestId),
    /// The request is rejected without being run.
    Rejected {
        /// The request.
        request: RequestId,
        /// The cause.
        code: FailureCode,
        /// When the caller may retry.
        retry_after: Option<Duration>,
    },
    /// Reserve memory on an engine; the driver replies with [`Event::Reserved`].
    Reserve {
        /// The attempt that needs the memory.
        attempt: AttemptId,
        /// The engine and the amount.
        memory: HeldMemory,
    },
    /// Release memory held on an engine.
    Release {
        /// The attempt it was held for.
        attempt: AttemptId,
        /// The engine.
        endpoint: EndpointId,
    },
    /// Send the request to an endpoint.
    Dispatch(Dispatch),
    /// Cancel an attempt at its endpoint and close its connection.
    Cancel {
        /// The attempt.
        attempt: AttemptId,
        /// The endpoint.
        endpoint: EndpointId,
    },
    /// The request has ended; respond to the caller immediately.
    Finish {
        /// The request.
        request: RequestId,
        /// How it ended.
        end: RequestEnd,
    },
}

/// A scheduling policy. Each instance has its own.
pub trait Policy {
    /// Handles an event and returns the resulting actions in order.
    fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action>;

    /// Returns when the next [`Event::Tick`] is needed.
    fn next_wakeup(&self) -> Timestamp;
}
