//! The state of one instance as seen by another one.

use std::net::SocketAddr;

use ringbend_types::{Incarnation, InstanceId, Timestamp};

/// The state of an instance. Within one incarnation, later states override earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// The instance responds to probes.
    Alive,
    /// The instance did not respond to a probe and can still refute the suspicion.
    Suspect,
    /// The instance announced that it is leaving, and finishes its open requests.
    Leaving,
    /// The instance did not refute the suspicion in time, or it has left.
    Dead,
}

/// One instance as seen by this one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The id of the instance.
    pub id: InstanceId,
    /// The address for messages from peers.
    pub address: SocketAddr,
    /// The latest known incarnation.
    pub incarnation: Incarnation,
    /// The current state.
    pub state: MemberState,
    /// When the member entered this state.
    pub since: Timestamp,
}

impl Member {
    /// Whether an update with this incarnation and state overrides the known state.
    pub(crate) fn is_older_than(&self, incarnation: Incarnation, state: MemberState) -> bool {
        (self.incarnation, self.state) < (incarnation, state)
    }
}
