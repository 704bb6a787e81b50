//! Cluster membership and failure detection by a SWIM-style gossip protocol, without I/O. The cost per
//! round is constant.
//!
//! Each round probes one other instance and piggybacks a few updates, the settings version and notices of
//! leaving endpoints. An instance is suspected before it is declared dead, and it refutes a suspicion by
//! incrementing its incarnation. Membership is used for load balancing and for speed only; no guarantee
//! depends on it.

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
