//! Between load digests and the load book's types.

use std::time::Duration;

use ringbend_gateway::{Held, Waiting, Work, WorkId};
use ringbend_types::{EndpointId, ParseIdError, Timestamp};

use crate::generated::{HeldMemory, PlacedWork, WaitingWork};
use crate::map::WireError;

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

/// Work as told to peers at `now`.
pub fn placed_work(now: Timestamp, id: WorkId, work: &Work, writing: bool) -> PlacedWork {
    PlacedWork {
        sequence: id.sequence,
        lead: work.lead.to_string(),
        helpers: work.helpers.iter().map(EndpointId::to_string).collect(),
        part_us: u64::try_from(work.part.as_micros()).unwrap_or(u64::MAX),
        memory_tokens: work.memory_tokens,
        gap_ms: millis(work.gap),
        first_in_ms: millis(work.first_by.since(now)),
        left_ms: millis(work.until.since(now)),
        stake: work.stake,
        writing,
        held: work.held.iter().map(held_memory).collect(),
        long: work.long,
    }
}

fn held_memory(held: &Held) -> HeldMemory {
    HeldMemory { endpoint: held.endpoint.to_string(), tokens: held.tokens }
}

fn held_of(held: &HeldMemory) -> Result<Held, ParseIdError> {
    Ok(Held { endpoint: held.endpoint.parse()?, tokens: held.tokens })
}

/// Work as told by a peer and received at `now`.
///
/// # Errors
///
/// An endpoint's id is malformed.
pub fn work_of(now: Timestamp, placed: &PlacedWork) -> Result<Work, WireError> {
    let helpers = placed.helpers.iter().map(|id| id.parse());
    Ok(Work {
        lead: placed.lead.parse()?,
        helpers: helpers.collect::<Result<_, ParseIdError>>()?,
        part: Duration::from_micros(placed.part_us),
        memory_tokens: placed.memory_tokens,
        held: placed.held.iter().map(held_of).collect::<Result<_, _>>()?,
        gap: Duration::from_millis(placed.gap_ms),
        first_by: now + Duration::from_millis(placed.first_in_ms),
        stake: placed.stake,
        until: now + Duration::from_millis(placed.left_ms),
        long: placed.long,
    })
}

/// A long prompt that waits, as told to peers at `now`.
pub fn waiting_work(now: Timestamp, id: WorkId, waiting: &Waiting) -> WaitingWork {
    WaitingWork {
        sequence: id.sequence,
        read_us: u64::try_from(waiting.read.as_micros()).unwrap_or(u64::MAX),
        age_ms: millis(now.since(waiting.since)),
        first_in_ms: millis(waiting.first_by.since(now)),
        left_ms: millis(waiting.until.since(now)),
        service: waiting.service.to_string(),
    }
}

/// A long prompt that waits, as told by a peer and received at `now`.
///
/// # Errors
///
/// The service's name is malformed.
pub fn waiting_of(now: Timestamp, told: &WaitingWork) -> Result<Waiting, WireError> {
    Ok(Waiting {
        service: told.service.parse()?,
        read: Duration::from_micros(told.read_us),
        since: now - Duration::from_millis(told.age_ms),
        first_by: now + Duration::from_millis(told.first_in_ms),
        until: now + Duration::from_millis(told.left_ms),
    })
}
