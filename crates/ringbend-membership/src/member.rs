//! One instance as another one sees it.

use std::net::SocketAddr;

use ringbend_types::{Incarnation, InstanceId, Timestamp};

/// What an instance is taken for. Later states override earlier ones of the same incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemberState {
    /// Answers.
    Alive,
    /// Did not answer, and may yet refute.
    Suspect,
    /// Says that it is leaving: finishes what it has.
    Leaving,
    /// Did not refute in time, or has left.
    Dead,
}

/// One instance as seen here.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The instance.
    pub id: InstanceId,
    /// Where it takes peers' messages.
    pub address: SocketAddr,
    /// Its latest incarnation known.
    pub incarnation: Incarnation,
    /// What it is taken for.
    pub state: MemberState,
    /// Since when.
    pub since: Timestamp,
}

impl Member {
    /// Whether news with this incarnation and state overrides what is known.
    pub(crate) fn is_older_than(&self, incarnation: Incarnation, state: MemberState) -> bool {
        (self.incarnation, self.state) < (incarnation, state)
    }
}
