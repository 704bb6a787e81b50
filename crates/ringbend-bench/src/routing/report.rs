//! The result of a simulation run.

use std::time::Duration;

use ringbend_policy::FailureCode;
use ringbend_types::{RunState, Timestamp, TokenCount};

use crate::scenario::Arrival;

/// Outcome of a request as seen by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerEnd {
    /// The caller received the complete answer.
    Answered,
    /// The request was refused and not run.
    Rejected(FailureCode),
    /// The request failed after admission.
    Failed(FailureCode, RunState),
    /// The instance crashed while it handled the request.
    InstanceLost,
}

/// Record of one request.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// The request as it arrived.
    pub arrival: Arrival,
    /// Time at which the first token reached the caller.
    pub first_token: Option<Timestamp>,
    /// Time and outcome for the caller; `None` while the request is open.
    pub end: Option<(Timestamp, CallerEnd)>,
    /// Whether an instance admitted the request.
    pub admitted: bool,
    /// Number of attempts dispatched to engines.
    pub attempts: u32,
    /// Number of times that an engine ran the request from its first token.
    pub runs: u32,
    /// Number of distinct tokens that reached the instance.
    pub delivered_tokens: u64,
    /// Progress events that repeated tokens or arrived out of order.
    pub out_of_order_events: u64,
    /// Number of retries by the caller after a refusal.
    pub caller_retries: u32,
    /// Retry-After values that the caller received.
    pub retry_after: Vec<Duration>,
}

/// Result of a run.
#[derive(Debug, Clone, Default)]
pub struct RoutingReport {
    /// Records of all requests.
    pub records: Vec<RequestRecord>,
    /// Sequences submitted to an engine that had too little free memory at that moment.
    pub overcommits: u64,
    /// KV memory that attempts and reservations still hold at the end. An engine that crashed lost
    /// what it held before.
    pub held_at_end: TokenCount,
    /// Requests without an outcome at the end of the run.
    pub open_at_end: usize,
    /// Longest time after the start of an engine's leave at which a request was still dispatched to
    /// it.
    pub last_dispatch_after_leave: Option<Duration>,
    /// Peak KV memory use of any engine, as a fraction of its capacity.
    pub peak_kv_ratio: f64,
}
