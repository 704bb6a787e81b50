//! Paths of nodes in the settings tree.

use std::fmt;
use std::str::FromStr;

use ringbend_types::{ClassName, ClientAccountId, ParseIdError, ServiceName};
use serde::{Deserialize, Serialize};

/// The path of a node: `/` is the fleet, `/ACCOUNT`, `/ACCOUNT/SERVICE`, `/ACCOUNT/SERVICE/CLASS`.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub enum NodePath {
    /// The whole fleet.
    Fleet,
    /// One client account.
    Account(ClientAccountId),
    /// One service of an account.
    Service(ClientAccountId, ServiceName),
    /// One request class of a service.
    Class(ClientAccountId, ServiceName, ClassName),
}

impl NodePath {
    /// The path of the node that this one inherits from.
    pub fn parent(&self) -> Option<Self> {
        match self {
            Self::Fleet => None,
            Self::Account(_) => Some(Self::Fleet),
            Self::Service(account, _) => Some(Self::Account(account.clone())),
            Self::Class(account, service, _) => {
                Some(Self::Service(account.clone(), service.clone()))
            }
        }
    }

    /// The paths from the root down to this one, both included.
    pub fn path_from_root(&self) -> Vec<Self> {
        let mut nodes = vec![self.clone()];
        while let Some(parent) = nodes.last().and_then(Self::parent) {
            nodes.push(parent);
        }
        nodes.reverse();
        nodes
    }

    /// Whether `other` is this node or one of its descendants.
    pub fn covers(&self, other: &Self) -> bool {
        other.path_from_root().contains(self)
    }
}

impl fmt::Display for NodePath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Fleet => write!(f, "/"),
            Self::Account(account) => write!(f, "/{account}"),
            Self::Service(account, service) => write!(f, "/{account}/{service}"),
            Self::Class(account, service, class) => write!(f, "/{account}/{service}/{class}"),
        }
    }
}

/// The reason why a string is not a path in the settings tree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseNodePathError {
    /// The path does not start with `/`.
    NoSlash,
    /// The path has more than three levels.
    TooDeep,
    /// A segment of the path is not an identifier.
    InvalidSegment(ParseIdError),
}

impl fmt::Display for ParseNodePathError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSlash => write!(f, "the path must start with '/'"),
            Self::TooDeep => write!(f, "the path has more levels than /ACCOUNT/SERVICE/CLASS"),
            Self::InvalidSegment(e) => write!(f, "invalid path segment: {e}"),
        }
    }
}

impl std::error::Error for ParseNodePathError {}

impl From<ParseIdError> for ParseNodePathError {
    fn from(e: ParseIdError) -> Self {
        Self::InvalidSegment(e)
    }
}

impl FromStr for NodePath {
    type Err = ParseNodePathError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let rest = text.strip_prefix('/').ok_or(ParseNodePathError::NoSlash)?;
        if rest.is_empty() {
            return Ok(Self::Fleet);
        }
        let parts: Vec<&str> = rest.split('/').collect();
        match parts[..] {
            [account] => Ok(Self::Account(account.parse()?)),
            [account, service] => Ok(Self::Service(account.parse()?, service.parse()?)),
            [account, service, class] => {
                Ok(Self::Class(account.parse()?, service.parse()?, class.parse()?))
            }
            _ => Err(ParseNodePathError::TooDeep),
        }
    }
}

impl TryFrom<String> for NodePath {
    type Error = ParseNodePathError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<NodePath> for String {
    fn from(path: NodePath) -> String {
        path.to_string()
    }
}
