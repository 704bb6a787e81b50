//! Prompts that need the memory of several engines at once.
//!
//! Memory is reserved on one engine after the other, always in the order of the engines' ranks,
//! which every instance computes alike. What is held stays held while the next is waited for, so
//! no two such requests can hold halves and wait for each other, and each gets its turn. The last
//! engine of the order runs the prompt.

use ringbend_types::{AttemptId, EndpointId, Timestamp, TokenCount};
use smallvec::SmallVec;

use crate::choice::rendezvous_weight;
use crate::event::HeldMemory;

/// The part of an engine's memory that a several-engine prompt may take, in percent.
const USABLE_PERCENT: u64 = 90;

/// The place of an engine in the order that all instances share.
pub(crate) fn rank(endpoint: &EndpointId) -> u64 {
    rendezvous_weight(endpoint.as_str(), 0)
}

/// Memory that may be asked of an engine of this capacity.
pub(crate) fn usable(capacity: TokenCount) -> TokenCount {
    TokenCount(capacity.0 * USABLE_PERCENT / 100)
}

/// How many engines of this capacity a request needs.
pub(crate) fn engines_needed(need: TokenCount, capacity: TokenCount) -> usize {
    need.0.div_ceil(usable(capacity).0.max(1)) as usize
}

/// A reservation under way.
#[derive(Debug, Clone)]
pub(crate) struct Collect {
    pub(crate) attempt: AttemptId,
    /// In the order of reservation; the last one runs the prompt.
    pub(crate) engines: SmallVec<[EndpointId; 4]>,
    pub(crate) share: TokenCount,
    pub(crate) held: SmallVec<[HeldMemory; 4]>,
    /// A reservation is under way.
    pub(crate) asking: bool,
    pub(crate) retry_at: Timestamp,
}

impl Collect {
    pub(crate) fn new(
        attempt: AttemptId,
        engines: SmallVec<[EndpointId; 4]>,
        need: TokenCount,
    ) -> Self {
        let share = TokenCount(need.0.div_ceil(engines.len().max(1) as u64));
        let retry_at = Timestamp::default();
        Self { attempt, engines, share, held: SmallVec::new(), asking: false, retry_at }
    }

    /// The next reservation to make; `None` when all but the last engine's are held.
    pub(crate) fn next(&self) -> Option<HeldMemory> {
        let next = self.held.len();
        if next + 1 >= self.engines.len() {
            return None;
        }
        Some(HeldMemory { endpoint: self.engines[next].clone(), tokens: self.share })
    }

    /// The engine that runs the prompt.
    pub(crate) fn lead(&self) -> Option<&EndpointId> {
        self.engines.last()
    }
}
