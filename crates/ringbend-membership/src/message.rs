//! Gossip messages.

use std::net::SocketAddr;

use ringbend_types::{EndpointId, Incarnation, InstanceId, SettingsVersion};

use crate::member::MemberState;

/// An update that is piggybacked on messages.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// The state of an instance.
    Member {
        /// The id of the instance.
        id: InstanceId,
        /// Its address.
        address: SocketAddr,
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its state.
        state: MemberState,
    },
    /// An endpoint announced that it is leaving.
    EndpointLeaving(EndpointId),
}

/// The kind of a message.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MessageKind {
    /// A probe, to be acknowledged by the receiver.
    Ping,
    /// Acknowledges the ping with the same sequence number.
    Ack,
    /// Asks the receiver to probe another instance.
    PingRequest {
        /// The instance to probe.
        target: InstanceId,
    },
    /// Asks for the list of members, sent by an instance that joins.
    Join,
    /// Carries the list of members to an instance that joins, or urgent updates.
    News,
}

/// A message between instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Message {
    /// The sender.
    pub from: InstanceId,
    /// The address at which the sender receives messages.
    pub from_address: SocketAddr,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
    /// Matches an acknowledgement to its ping.
    pub sequence: u64,
    /// The kind of the message.
    pub kind: MessageKind,
    /// The settings version in force at the sender.
    pub settings: SettingsVersion,
    /// Piggybacked updates.
    pub updates: Vec<Update>,
}
