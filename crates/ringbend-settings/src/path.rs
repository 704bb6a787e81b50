//! Places in the settings tree.

use std::fmt;
use std::str::FromStr;

use ringbend_types::{ClassName, ClientAccountId, ParseIdError, ServiceName};
use serde::{Deserialize, Serialize};

/// A node of the tree: `/` is the fleet, `/ACCOUNT`, `/ACCOUNT/SERVICE`, `/ACCOUNT/SERVICE/CLASS`.
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
    /// The node this one inherits from.
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

    /// The nodes from the fleet down to this one.
    pub fn path_from_root(&self) -> Vec<Self> {
        let mut nodes = vec![self.clone()];
        while let Some(parent) = nodes.last().and_then(Self::parent) {
            nodes.push(parent);
        }
        nodes.reverse();
        nodes
    }

    /// Whether `other` is this node or below it.
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

/// Why a text is not a place in the tree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ParseNodePathError {
    /// It does not start with `/`.
    NoSlash,
    /// It has more than three levels below the fleet.
    TooDeep,
    /// One part is not an identifier.
    Part(ParseIdError),
}

impl fmt::Display for ParseNodePathError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSlash => write!(f, "a path starts with '/'"),
            Self::TooDeep => write!(f, "a path has at most /ACCOUNT/SERVICE/CLASS"),
            Self::Part(e) => write!(f, "a part of the path: {e}"),
        }
    }
}

impl std::error::Error for ParseNodePathError {}

impl From<ParseIdError> for ParseNodePathError {
    fn from(e: ParseIdError) -> Self {
        Self::Part(e)
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
