//! Which instances are alive, by gossip of constant size per round, without I/O.
//!
//! Each round probes one other instance and piggybacks a few updates, the settings version and
//! notices of leaving endpoints. Suspicion comes before death, and an instance refutes a suspicion
//! by raising its incarnation. Membership steers load and speeds things up; no promise rests on it.

mod broadcasts;
mod config;
mod member;
mod membership;
mod message;
mod ring;

pub use config::MembershipConfig;
pub use member::{Member, MemberState};
pub use membership::{Action, Event, Membership};
pub use message::{Message, MessageKind, Update};
