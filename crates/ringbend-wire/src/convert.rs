//! Conversions between generated messages and the types of membership, quota and settings.

use std::fmt;
use std::net::AddrParseError;

use ringbend_membership as gossip;
use ringbend_policy as policy;
use ringbend_settings::{LogEntry, Replica, Snapshot};
use ringbend_types::{
    Incarnation, ParseFingerprintError, ParseIdError, ParsePromptPartError, SettingsVersion,
};

use crate::generated as wire;

/// The reason why a message from a peer cannot be decoded.
#[derive(Debug)]
pub enum WireError {
    /// An identifier is malformed.
    Id(ParseIdError),
    /// An address is malformed.
    Address(AddrParseError),
    /// An enum value is unknown to this release.
    UnknownEnumValue(i32),
    /// A required field is missing.
    MissingField(&'static str),
    /// A settings log entry or snapshot is malformed.
    Settings(serde_json::Error),
    /// The bytes are not a valid Protobuf message.
    Decode(prost::DecodeError),
    /// A fingerprint is malformed.
    Fingerprint(ParseFingerprintError),
    /// The id of a prompt part is malformed.
    Part(ParsePromptPartError),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Id(e) => write!(f, "invalid identifier: {e}"),
            Self::Address(e) => write!(f, "invalid address: {e}"),
            Self::UnknownEnumValue(n) => write!(f, "unknown enum value {n}"),
            Self::MissingField(field) => write!(f, "missing field {field}"),
            Self::Settings(e) => write!(f, "invalid settings: {e}"),
            Self::Decode(e) => write!(f, "invalid message: {e}"),
            Self::Fingerprint(e) => write!(f, "invalid fingerprint: {e}"),
            Self::Part(e) => write!(f, "invalid prompt part: {e}"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<ParseIdError> for WireError {
    fn from(e: ParseIdError) -> Self {
        Self::Id(e)
    }
}

impl From<ParseFingerprintError> for WireError {
    fn from(e: ParseFingerprintError) -> Self {
        Self::Fingerprint(e)
    }
}

impl From<ParsePromptPartError> for WireError {
    fn from(e: ParsePromptPartError) -> Self {
        Self::Part(e)
    }
}

impl From<AddrParseError> for WireError {
    fn from(e: AddrParseError) -> Self {
        Self::Address(e)
    }
}

impl From<prost::DecodeError> for WireError {
    fn from(e: prost::DecodeError) -> Self {
        Self::Decode(e)
    }
}

impl From<gossip::MemberState> for wire::MemberState {
    fn from(state: gossip::MemberState) -> Self {
        match state {
            gossip::MemberState::Alive => Self::Alive,
            gossip::MemberState::Suspect => Self::Suspect,
            gossip::MemberState::Leaving => Self::Leaving,
            gossip::MemberState::Dead => Self::Dead,
        }
    }
}

impl From<wire::MemberState> for gossip::MemberState {
    fn from(state: wire::MemberState) -> Self {
        match state {
            wire::MemberState::Alive => Self::Alive,
            wire::MemberState::Suspect => Self::Suspect,
            wire::MemberState::Leaving => Self::Leaving,
            wire::MemberState::Dead => Self::Dead,
        }
    }
}

impl From<&gossip::Update> for wire::Update {
    fn from(update: &gossip::Update) -> Self {
        let news = match update {
            gossip::Update::EndpointLeaving(id) => {
                wire::update::News::EndpointLeaving(id.to_string())
            }
            gossip::Update::Member { id, address, incarnation, state } => {
                wire::update::News::Member(wire::Member {
                    id: id.to_string(),
                    address: address.to_string(),
                    incarnation: incarnation.0,
                    state: wire::MemberState::from(*state).into(),
                })
            }
        };
        Self { news: Some(news) }
    }
}

impl TryFrom<wire::Update> for gossip::Update {
    type Error = WireError;

    fn try_from(update: wire::Update) -> Result<Self, WireError> {
        match update.news.ok_or(WireError::MissingField("news"))? {
            wire::update::News::EndpointLeaving(id) => Ok(Self::EndpointLeaving(id.parse()?)),
            wire::update::News::Member(member) => {
                let state = wire::MemberState::try_from(member.state)
                    .map_err(|e| WireError::UnknownEnumValue(e.0))?;
                Ok(Self::Member {
                    id: member.id.parse()?,
                    address: member.address.parse()?,
                    incarnation: Incarnation(member.incarnation),
                    state: state.into(),
                })
            }
        }
    }
}

impl From<&gossip::Message> for wire::Gossip {
    fn from(message: &gossip::Message) -> Self {
        let (kind, target) = match &message.kind {
            gossip::MessageKind::Ping => (wire::GossipKind::Ping, String::new()),
            gossip::MessageKind::Ack => (wire::GossipKind::Ack, String::new()),
            gossip::MessageKind::PingRequest { target } => {
                (wire::GossipKind::PingRequest, target.to_string())
            }
            gossip::MessageKind::Join => (wire::GossipKind::Join, String::new()),
            gossip::MessageKind::News => (wire::GossipKind::News, String::new()),
        };
        Self {
            from: message.from.to_string(),
            from_address: message.from_address.to_string(),
            incarnation: message.incarnation.0,
            sequence: message.sequence,
            kind: kind.into(),
            target,
            settings_version: message.settings.0,
            updates: message.updates.iter().map(Into::into).collect(),
        }
    }
}

impl TryFrom<wire::Gossip> for gossip::Message {
    type Error = WireError;

    fn try_from(message: wire::Gossip) -> Result<Self, WireError> {
        let kind = wire::GossipKind::try_from(message.kind)
            .map_err(|e| WireError::UnknownEnumValue(e.0))?;
        let kind = match kind {
            wire::GossipKind::Ping => gossip::MessageKind::Ping,
            wire::GossipKind::Ack => gossip::MessageKind::Ack,
            wire::GossipKind::PingRequest => {
                gossip::MessageKind::PingRequest { target: message.target.parse()? }
            }
            wire::GossipKind::Join => gossip::MessageKind::Join,
            wire::GossipKind::News => gossip::MessageKind::News,
        };
        // Updates of a kind that this release does not know are skipped.
        let updates = message.updates.into_iter().filter(|u| u.news.is_some());
        Ok(Self {
            from: message.from.parse()?,
            from_address: message.from_address.parse()?,
            incarnation: Incarnation(message.incarnation),
            sequence: message.sequence,
            kind,
            settings: SettingsVersion(message.settings_version),
            updates: updates.map(TryInto::try_into).collect::<Result<_, _>>()?,
        })
    }
}

impl From<&policy::GrantRequest> for wire::GrantRequest {
    fn from(request: &policy::GrantRequest) -> Self {
        let demand = request.demand.iter().map(|(account, tokens_per_s)| wire::Demand {
            account: account.to_string(),
            tokens_per_s: *tokens_per_s,
        });
        Self { from: request.from.to_string(), demand: demand.collect() }
    }
}

impl TryFrom<wire::GrantRequest> for policy::GrantRequest {
    type Error = WireError;

    fn try_from(request: wire::GrantRequest) -> Result<Self, WireError> {
        let demand = request.demand.into_iter();
        let demand = demand.map(|d| Ok((d.account.parse()?, d.tokens_per_s)));
        Ok(Self { from: request.from.parse()?, demand: demand.collect::<Result<_, WireError>>()? })
    }
}

impl From<&policy::GrantReply> for wire::GrantReply {
    fn from(reply: &policy::GrantReply) -> Self {
        let shares = reply.shares.iter();
        let shares = shares
            .map(|(account, share)| wire::Share { account: account.to_string(), share: *share });
        Self { shares: shares.collect() }
    }
}

impl TryFrom<wire::GrantReply> for policy::GrantReply {
    type Error = WireError;

    fn try_from(reply: wire::GrantReply) -> Result<Self, WireError> {
        let shares = reply.shares.into_iter().map(|s| Ok((s.account.parse()?, s.share)));
        Ok(Self { shares: shares.collect::<Result<_, WireError>>()? })
    }
}

impl wire::EntriesReply {
    /// Creates a reply with what a replica has after `version`: log entries, or a snapshot if some of the
    /// entries are no longer kept.
    pub fn from_replica(replica: &Replica, version: SettingsVersion) -> Self {
        let json = |entry: &LogEntry| serde_json::to_string(entry).unwrap_or_default();
        match replica.entries_after(version) {
            Some(entries) => {
                Self { entries: entries.iter().map(json).collect(), snapshot: String::new() }
            }
            None => {
                let snapshot = serde_json::to_string(replica.snapshot()).unwrap_or_default();
                Self { entries: Vec::new(), snapshot }
            }
        }
    }

    /// Updates a replica with the content of this reply.
    ///
    /// # Errors
    ///
    /// Fails if an entry or the snapshot is malformed. Entries before it have been applied.
    pub fn apply_to(&self, replica: &mut Replica) -> Result<(), WireError> {
        if !self.snapshot.is_empty() {
            let snapshot: Snapshot =
                serde_json::from_str(&self.snapshot).map_err(WireError::Settings)?;
            replica.load(snapshot);
        }
        for entry in &self.entries {
            let entry: LogEntry = serde_json::from_str(entry).map_err(WireError::Settings)?;
            replica.apply(&entry);
        }
        Ok(())
    }
}
