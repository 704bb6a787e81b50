//! Memory reservations for prompts that need several engines at once.
//!
//! Memory is reserved on one engine after another, always in the order of the engines' ranks, which
//! every instance computes the same way. Memory that is held stays held while the next reservation
//! is pending. With this lock ordering no two such requests can hold part of the memory and wait
//! for each other, and none of them starves. The last engine in the order runs the prompt.

use ringbend_types::{AttemptId, EndpointId, Timestamp, TokenCount};
use smallvec::SmallVec;

use crate::choice::rendezvous_weight;
use crate::event::HeldMemory;

/// Share of an engine's memory that a multi-engine prompt may use, in percent.
const USABLE_KV_PERCENT: u64 = 90;

/// Returns an engine's position in the reservation order, which is the same on all instances.
pub(crate) fn reservation_rank(endpoint: &EndpointId) -> u64 {
    rendezvous_weight(endpoint.as_str(), 0)
}

/// Returns the memory that may be requested from an engine of this capacity.
pub(crate) fn usable_kv(capacity: TokenCount) -> TokenCount {
    TokenCount(capacity.0 * USABLE_KV_PERCENT / 100)
}

/// Returns how many engines of this capacity a request needs.
pub(crate) fn engines_needed(need: TokenCount, capacity: TokenCount) -> usize {
    need.0.div_ceil(usable_kv(capacity).0.max(1)) as usize
}

/// A multi-engine reservation in progress.
#[derive(Debug, Clone)]
pub(crate) struct GroupReservation {
    pub(crate) attempt: AttemptId,
    /// The engines in reservation order; the last one runs the prompt.
    pub(crate) engines: SmallVec<[EndpointId; 4]>,
    pub(crate) tokens_per_engine: TokenCount,
    pub(crate) held: SmallVec<[HeldMemory; 4]>,
    /// Whether a reservation request is in flight.
    pub(crate) pending: bool,
    pub(crate) retry_at: Timestamp,
}

impl GroupReservation {
    pub(crate) fn new(
        attempt: AttemptId,
        engines: SmallVec<[EndpointId; 4]>,
        need: TokenCount,
    ) -> Self {
        let tokens_per_engine = TokenCount(need.0.div_ceil(engines.len().max(1) as u64));
        let retry_at = Timestamp::default();
        Self {
            attempt,
            engines,
            tokens_per_engine,
            held: SmallVec::new(),
            pending: false,
            retry_at,
        }
    }

    /// Returns the next reservation to make; `None` once all engines but the last hold their
    /// memory.
    pub(crate) fn next(&self) -> Option<HeldMemory> {
        let next = self.held.len();
        if next + 1 >= self.engines.len() {
            return None;
        }
        Some(HeldMemory { endpoint: self.engines[next].clone(), tokens: self.tokens_per_engine })
    }

    /// Returns the engine that runs the prompt.
    pub(crate) fn lead_engine(&self) -> Option<&EndpointId> {
        self.engines.last()
    }
}
