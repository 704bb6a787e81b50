//! Reservations of engine memory for a prompt that is too large for one engine.
//!
//! A reservation lasts for `RESERVATION_TTL` from the last command that named it and is renewed
//! while its request runs. An instance that is killed renews nothing, so the memory is released
//! soon after.

use std::fmt;
use std::time::Duration;

use ringbend_types::EndpointId;

use crate::load::WorkId;

/// How long an engine keeps a reservation after a command. The memory must be free again within
/// four seconds of the end of its request, even if no instance is left to release it.
pub const RESERVATION_TTL: Duration = Duration::from_millis(3_400);

/// The interval at which reservations are renewed. Two renewals may fail before one expires.
pub const RESERVATION_RENEWAL: Duration = Duration::from_millis(1_100);

/// The id of a reservation. It is never reused, so a late command does no harm.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct ReservationId {
    /// The work of the request.
    pub work: WorkId,
    /// Counts the reservations of that work.
    pub number: u32,
}

impl fmt::Display for ReservationId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:x}-{:x}-{}", self.work.instance, self.work.sequence, self.number)
    }
}

/// Memory reserved on one engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// The id of the reservation.
    pub id: ReservationId,
    /// The engine.
    pub endpoint: EndpointId,
    /// The amount in tokens.
    pub tokens: u64,
}

/// An engine's reply to a reservation command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReservationReply {
    /// The memory is reserved or released as requested.
    Done,
    /// The engine has too little free memory.
    NoRoom,
    /// The command is not valid for this engine.
    Refused,
}
