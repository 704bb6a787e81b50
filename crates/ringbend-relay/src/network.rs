//! TCP connections to endpoints and other instances.

use std::fmt;
use std::io::{self, ErrorKind};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use async_trait::async_trait;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};

use crate::ports::Network;

/// How long a connection is idle before it is probed, and the time between probes. The system counts
/// whole seconds.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The number of unanswered probes after which a connection counts as broken. Machines may be silent
/// for about a second.
const KEEP_ALIVE_PROBES: u32 = 2;

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

/// Makes the system probe an idle connection, so that one whose link is lost breaks. No
/// `TCP_USER_TIMEOUT` is set: it would replace the number of probes.
pub(crate) fn enable_keep_alive(connection: &TcpStream) -> io::Result<()> {
    let probes = TcpKeepalive::new()
        .with_time(KEEP_ALIVE_INTERVAL)
        .with_interval(KEEP_ALIVE_INTERVAL)
        .with_retries(KEEP_ALIVE_PROBES);
    SockRef::from(connection).set_tcp_keepalive(&probes)
}

/// The network of the machine that the instance runs on.
#[derive(Debug, Clone, Copy, Default)]
pub struct TcpNetwork {
    source: Option<Ipv4Addr>,
}

impl TcpNetwork {
    /// A network whose connections come from `source`, or from an address that the system chooses.
    pub fn new(source: Option<Ipv4Addr>) -> Self {
        Self { source }
    }
}

#[async_trait(?Send)]
impl Network for TcpNetwork {
    async fn connect(&self, address: SocketAddrV4) -> io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        if let Some(source) = self.source {
            socket.bind(SocketAddrV4::new(source, 0).into())?;
        }
        let connection = socket.connect(address.into()).await?;
        if let Err(e) = connection.set_nodelay(true).and_then(|()| enable_keep_alive(&connection)) {
            log::debug!(target: "paths", error:% = e; "cannot set socket options");
        }
        Ok(connection)
    }
}
