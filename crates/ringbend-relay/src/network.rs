//! TCP connections to endpoints and other instances.

use std::fmt;
use std::io::{self, ErrorKind};
use std::net::SocketAddrV4;
use std::time::Duration;

use async_trait::async_trait;
use tokio::net::TcpStream;

use crate::ports::Network;

/// Why a connection could not be established.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ConnectError {
    /// No reply within the timeout.
    TimedOut,
    /// The address refuses connections.
    Refused,
    /// Another failure.
    Failed(ErrorKind),
}

impl fmt::Display for ConnectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TimedOut => write!(f, "connect timed out"),
            Self::Refused => write!(f, "connection refused"),
            Self::Failed(kind) => write!(f, "cannot connect: {kind}"),
        }
    }
}

impl std::error::Error for ConnectError {}

impl From<io::Error> for ConnectError {
    fn from(e: io::Error) -> Self {
        match e.kind() {
            ErrorKind::ConnectionRefused => Self::Refused,
            ErrorKind::TimedOut => Self::TimedOut,
            kind => Self::Failed(kind),
        }
    }
}

impl ConnectError {
    /// The label in metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::TimedOut => "timed-out",
            Self::Refused => "refused",
            Self::Failed(_) => "failed",
        }
    }
}

/// Connects within `timeout`.
pub(crate) async fn connect(
    network: &dyn Network,
    address: SocketAddrV4,
    timeout: Duration,
) -> Result<TcpStream, ConnectError> {
    match tokio::time::timeout(timeout, network.connect(address)).await {
        Ok(connected) => connected.map_err(ConnectError::from),
        Err(_) => Err(ConnectError::TimedOut),
    }
}

/// The network of the machine that the instance runs on.
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpNetwork;

#[async_trait(?Send)]
impl Network for TcpNetwork {
    async fn connect(&self, address: SocketAddrV4) -> io::Result<TcpStream> {
        let connection = TcpStream::connect(address).await?;
        if let Err(e) = connection.set_nodelay(true) {
            log::debug!(target: "paths", error:% = e; "cannot set TCP_NODELAY");
        }
        Ok(connection)
    }
}
