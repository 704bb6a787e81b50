//! Requests in the overload queue, and what is decided about them.

use std::time::Duration;

use ringbend_types::{ClientAccountId, Fingerprint, RetryAfter, Timestamp};

use crate::load::WorkId;

/// Reserve before the latest start, as an engine without a free slot takes about 110 ms to free
/// one.
const START_RESERVE: Duration = Duration::from_millis(110);

/// A request that waits for an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingRequest {
    /// The id of its work.
    pub id: WorkId,
    /// Equal for repetitions of the same request; `None` if unknown.
    pub fingerprint: Option<Fingerprint>,
    /// The client account of its caller; `None` on a public route.
    pub account: Option<ClientAccountId>,
    /// Its priority; zero is the highest.
    pub priority: u8,
    /// When it arrived.
    pub since: Timestamp,
    /// When its first event is due.
    pub first_by: Timestamp,
    /// When its caller disconnects if no event has arrived.
    pub until: Timestamp,
    /// When its response must have ended, retries included.
    pub deadline: Timestamp,
    /// How long it occupies a slot of an engine.
    pub work: Duration,
    /// The time from its start on an engine with capacity to its first event.
    pub begin: Duration,
}

impl WaitingRequest {
    /// The latest start that is on time.
    pub(crate) fn start_by(&self) -> Timestamp {
        self.first_by - self.begin
    }

    /// The latest start after which it begins before its caller disconnects.
    pub(crate) fn last_chance(&self) -> Timestamp {
        self.until - self.begin - START_RESERVE
    }
}

/// The decision about an arriving request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It starts now.
    PlaceNow,
    /// It waits; a later [`Decision`] names it.
    Queued,
    /// It is not expected to begin before its caller disconnects.
    Rejected(RetryAfter),
}

/// Why a waiting request starts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlaceReason {
    /// It is first among those that can be on time.
    OnTime,
    /// It is late, and none that can be on time waits.
    Late,
    /// Its class has received less than the minimum share.
    MinimumShare,
    /// It has to start now to begin before its caller disconnects.
    LastChance,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// Place this request.
    Place(WorkId, PlaceReason),
    /// Reject this request.
    Reject(WorkId, RetryAfter),
    /// Nothing until engines have capacity, and for at most this time.
    Wait(Duration),
}
