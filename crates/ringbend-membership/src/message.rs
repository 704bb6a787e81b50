//! What instances tell each other.

use std::net::SocketAddr;

use ringbend_types::{EndpointId, Incarnation, InstanceId, SettingsVersion};

use crate::member::MemberState;

/// A piece of news, piggybacked on probes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// What an instance is taken for.
    Member {
        /// The instance.
        id: InstanceId,
        /// Its address.
        address: SocketAddr,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its state.
        state: MemberState,
    },
    /// An endpoint said itself that it is leaving.
    EndpointLeaving(EndpointId),
}

/// Why a message is sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MessageKind {
    /// Are you there?
    Ping,
    /// Yes, to the ping of this sequence number.
    Ack,
    /// Probe this instance for me.
    PingRequest {
        /// Whom to probe.
        target: InstanceId,
    },
    /// I am new; send me the members.
    Join,
    /// Members, for one that joins, or news that cannot wait.
    News,
}

/// One message between instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The sender.
    pub from: InstanceId,
    /// Where the sender takes messages.
    pub from_address: SocketAddr,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Ties an ack to its ping.
    pub sequence: u64,
    /// Why it is sent.
    pub kind: MessageKind,
    /// The settings version in force at the sender.
    pub settings: SettingsVersion,
    /// News.
    pub updates: Vec<Update>,
}
