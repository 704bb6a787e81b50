//! What happens to a policy, and what it asks of its driver.

use std::fmt;
use std::time::Duration;

use ringbend_platform::{EndpointEntry, LoadReport};
use ringbend_types::{
    AttemptId, ClientAccountId, EndpointId, InstanceId, RequestId, RunState, Timestamp, TokenCount,
};
use smallvec::SmallVec;

use crate::profile::RequestProfile;

/// How one attempt at an endpoint ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The whole answer arrived.
    Complete,
    /// No byte of the request left this instance: the connection was refused or never opened.
    NotSent,
    /// The endpoint says that it did not run the request.
    Refused {
        /// When the endpoint says to come back.
        retry_after: Option<Duration>,
    },
    /// The connection broke, the answer stalled, or it was not the answer to this attempt.
    Broken,
    /// The endpoint answered that running the request failed.
    EndpointError,
}

/// What happens to a policy.
#[derive(Debug, Clone)]
pub enum Event {
    /// The instance list as last read.
    Endpoints(Vec<EndpointEntry>),
    /// An endpoint is leaving, by its own word or a peer's.
    EndpointLeaving(EndpointId),
    /// The instances that take part, this one included.
    Peers(Vec<InstanceId>),
    /// This instance's share of the limits of an account, or of all accounts without one.
    Share {
        /// Whose limits; `None` is the default.
        account: Option<ClientAccountId>,
        /// A part of one.
        share: f64,
    },
    /// An endpoint's load as of `at`.
    Load {
        /// Which endpoint.
        endpoint: EndpointId,
        /// What it said.
        report: LoadReport,
        /// When it was so.
        at: Timestamp,
    },
    /// A request arrived.
    Arrived(RequestProfile),
    /// The request's claim was granted.
    Claimed(RequestId),
    /// The driver ended the request: caller gone, claim held by another, or given up.
    Withdrawn(RequestId),
    /// A reservation was made, or refused.
    Reserved {
        /// For which attempt.
        attempt: AttemptId,
        /// On which engine.
        endpoint: EndpointId,
        /// Whether the memory is held now.
        held: bool,
    },
    /// Tokens of an attempt arrived.
    Progress {
        /// Which attempt.
        attempt: AttemptId,
        /// How many in all.
        tokens: u64,
    },
    /// An attempt ended.
    Ended {
        /// Which attempt.
        attempt: AttemptId,
        /// How.
        end: AttemptEnd,
    },
    /// This instance could not renew its presence: memory it holds on engines may be swept, so
    /// attempts that rest on it end.
    PresenceLapsed,
    /// Time has passed.
    Tick,
}

/// Memory held on another engine for an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldMemory {
    /// Where.
    pub endpoint: EndpointId,
    /// How much.
    pub tokens: TokenCount,
}

/// One try of a request at an endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dispatch {
    /// Which request.
    pub request: RequestId,
    /// The attempt's id.
    pub attempt: AttemptId,
    /// Where it goes.
    pub endpoint: EndpointId,
    /// Memory held for it on other engines.
    pub held: SmallVec<[HeldMemory; 4]>,
    /// Priority at the engine; 0 goes first.
    pub priority: u8,
    /// Tokens that earlier attempts delivered.
    pub resume_from: u64,
    /// Counts the request's attempts from one.
    pub number: u32,
}

/// Why a request was refused or failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FailureCode {
    /// The client account's rate or concurrency is used up.
    OverLimit,
    /// Too many requests of the class wait here.
    QueueFull,
    /// The answer could not begin before the deadline.
    DeadlineTooNear,
    /// No endpoint of the service is known and live.
    NoEndpoint,
    /// The prompt is longer than allowed, or than all engines together can hold.
    TooLarge,
    /// The deadline passed.
    DeadlineExceeded,
    /// The endpoint failed, and the attempts allowed are used up or must not be repeated.
    EndpointFailed,
}

impl FailureCode {
    /// The code in error bodies and metrics.
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
    /// The whole answer was delivered.
    Answered,
    /// It failed.
    Failed {
        /// Why.
        code: FailureCode,
        /// Whether it was run.
        run_state: RunState,
        /// When to come back, where that helps.
        retry_after: Option<Duration>,
    },
}

/// What the driver does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// The request is taken in: it will end in a [`Action::Finish`], unless withdrawn.
    Admitted(RequestId),
    /// The request is not taken in, and was not run.
    Rejected {
        /// Which.
        request: RequestId,
        /// Why.
        code: FailureCode,
        /// When to come back.
        retry_after: Option<Duration>,
    },
    /// Hold memory on an engine; answer with [`Event::Reserved`].
    Reserve {
        /// For which attempt.
        attempt: AttemptId,
        /// Where, and how much.
        memory: HeldMemory,
    },
    /// Give held memory back.
    Release {
        /// Of which attempt.
        attempt: AttemptId,
        /// Where.
        endpoint: EndpointId,
    },
    /// Send the request to an endpoint.
    Dispatch(Dispatch),
    /// Stop an attempt at its endpoint and drop its connection.
    Cancel {
        /// Which attempt.
        attempt: AttemptId,
        /// Where.
        endpoint: EndpointId,
    },
    /// The request ended; tell the caller at once.
    Finish {
        /// Which.
        request: RequestId,
        /// How.
        end: RequestEnd,
    },
}

/// Decides on requests. One value serves one instance.
pub trait Policy {
    /// Takes an event and returns what is to be done, in order.
    fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action>;

    /// When [`Event::Tick`] is wanted next.
    fn next_wakeup(&self) -> Timestamp;
}
