//! Memory that is held on engines for a prompt which is too large for one of them.
//!
//! A ticket is held for `RESERVATION_TTL` from the last order that named it and is renewed while its request
//! runs. An instance that is killed renews nothing, so the memory is free again soon after.

use std::fmt;
use std::time::Duration;

use ringbend_types::EndpointId;

use crate::load::WorkId;

/// How long an engine holds memory after an order. It must be free again within four seconds of the
/// end of its request, also when nobody is left to release it.
pub const RESERVATION_TTL: Duration = Duration::from_millis(3_400);

/// How often tickets are renewed: twice may fail before one lapses.
pub const RESERVATION_RENEWAL: Duration = Duration::from_millis(1_100);

/// The name of one ticket. Never used again, so a late order does no harm.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReservationId {
    /// The request's work.
    pub work: WorkId,
    /// Counts the tickets of that work.
    pub number: u32,
}

impl fmt::Display for ReservationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}-{}", self.work.instance, self.work.sequence, self.number)
    }
}

/// Memory held on one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// Its name.
    pub id: ReservationId,
    /// The engine.
    pub endpoint: EndpointId,
    /// How much, in tokens.
    pub tokens: u64,
}

/// What an engine says to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReservationReply {
    /// The memory is held, or free, as ordered.
    Done,
    /// The engine has too little free memory.
    NoRoom,
    /// The order does not fit this engine at all.
    Refused,
}
