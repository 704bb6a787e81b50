//! Tunnels to endpoints for other instances: the side that connects to the endpoint.

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::{HeaderName, HeaderValue};
use bytes::BytesMut;
use futures_util::SinkExt;
use futures_util::future::LocalBoxFuture;
use ringbend_runtime::{HttpRequest, PendingTunnel, TunnelHandler};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::{FramedWrite, LengthDelimitedCodec};

use crate::connection::is_reset;
use crate::network::{self, ConnectError};
use crate::node::Node;
use crate::tunnel::ALTERNATIVES_HEADER;

/// The maximum number of tunnels that an instance carries.
const MAX_TUNNELS: usize = 512;

/// The size of the buffer for each direction of a tunnel, in bytes.
const BUFFER_BYTES: usize = 8 << 10;

/// Timeout of connecting to the endpoint, shorter than that of the instance that asks.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// The maximum number of instances that a rejection names.
const MAX_ALTERNATIVES: usize = 3;

/// Carries connections for other instances.
pub(crate) struct TunnelServer {
    pub(crate) node: Rc<Node>,
}

/// Counts a tunnel as open until it is dropped.
struct OpenTunnel(Rc<Node>);

impl OpenTunnel {
    fn new(node: Rc<Node>) -> Self {
        node.open_tunnels.set(node.open_tunnels.get() + 1);
        Self(node)
    }
}

impl Drop for OpenTunnel {
    fn drop(&mut self) {
        self.0.open_tunnels.set(self.0.open_tunnels.get() - 1);
    }
}

impl TunnelHandler for TunnelServer {
    fn handle(
        self: Rc<Self>,
        req: HttpRequest,
        tunnel: PendingTunnel,
    ) -> LocalBoxFuture<'static, ()> {
        Box::pin(async move {
            let target = req.uri().authority().and_then(|target| target.as_str().parse().ok());
            let Some(target) = target else {
                return tunnel.reject(StatusCode::BAD_REQUEST, None).await;
            };
            self.carry(target, tunnel).await;
        })
    }
}

impl TunnelServer {
    async fn carry(&self, target: SocketAddrV4, tunnel: PendingTunnel) {
        let node = &self.node;
        if node.directory.borrow().by_address(target).is_none() {
            return tunnel.reject(StatusCode::NOT_FOUND, None).await;
        }
        if node.refuses_new_requests() || node.open_tunnels.get() >= MAX_TUNNELS {
            return tunnel.reject(StatusCode::SERVICE_UNAVAILABLE, None).await;
        }
        // The stop of this instance waits for it.
        let (_open, _tunnel) = (node.track_request(), OpenTunnel::new(node.clone()));
        match self.connect(target).await {
            Ok(endpoint) => {
                node.metrics.tunnel_carried();
                if let Ok((peer, buf)) = tunnel.accept().await
                    && network::enable_keep_alive(&peer).is_ok()
                {
                    forward(peer, buf, endpoint).await;
                }
            }
            Err(ConnectError::Refused) if node.reaches_other_endpoint(target).await => {
                tunnel.reject(StatusCode::BAD_GATEWAY, None).await;
            }
            Err(_) => {
                let named = self.alternatives();
                tunnel.reject(StatusCode::GATEWAY_TIMEOUT, named).await;
            }
        }
    }

    /// Connects directly, never through another instance.
    async fn connect(&self, target: SocketAddrV4) -> Result<TcpStream, ConnectError> {
        if self.node.reachability.borrow().would_time_out(self.node.clock.now(), target) {
            self.node.check_path(target);
            return Err(ConnectError::TimedOut);
        }
        self.node.connect_directly(target, CONNECT_TIMEOUT).await
    }

    /// Instances that may reach an endpoint that this one does not reach.
    fn alternatives(&self) -> Option<(HeaderName, HeaderValue)> {
        let now = self.node.clock.now();
        let latest = self.node.carriers.borrow().latest(now);
        let remote = self.node.carrier_candidates().remote;
        let named = latest.into_iter().chain(remote).take(MAX_ALTERNATIVES);
        let named: Vec<String> = named.map(|address| address.to_string()).collect();
        let value = HeaderValue::from_str(&named.join(",")).ok()?;
        (!named.is_empty()).then(|| (HeaderName::from_static(ALTERNATIVES_HEADER), value))
    }
}

/// Passes bytes until one side closes its connection, which closes the other one.
async fn forward(peer: TcpStream, buf: BytesMut, endpoint: TcpStream) {
    let (mut peer_read, peer_write) = peer.into_split();
    let (mut endpoint_read, mut endpoint_write) = endpoint.into_split();
    let frames = FramedWrite::new(peer_write, LengthDelimitedCodec::new());
    // After a write has failed with a reset, reads return a clean EOF.
    let has_reset_write = Cell::new(false);
    let to_endpoint = async {
        endpoint_write.write_all(&buf).await?;
        copy(&mut peer_read, &mut endpoint_write, &has_reset_write).await
    };
    tokio::select! {
        ended = to_endpoint => log_end(ended),
        ended = copy_framed(&mut endpoint_read, frames, &has_reset_write) => log_end(ended),
    }
}

/// A broken connection is handled by the instance that asked, for which the tunnel ends.
fn log_end(ended: std::io::Result<()>) {
    if let Err(e) = ended {
        log::debug!(target: "paths", error:% = e; "tunnel ended");
    }
}

/// Copies until `from` ends. A write that fails does not end the copy: a response that the endpoint
/// has already sent is still to be read.
async fn copy(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    has_reset_write: &Cell<bool>,
) -> std::io::Result<()> {
    let mut buf = vec![0; BUFFER_BYTES];
    let mut is_open = true;
    loop {
        let count = from.read(&mut buf).await?;
        if count == 0 {
            return Ok(());
        }
        if is_open && let Err(e) = to.write_all(&buf[..count]).await {
            is_open = false;
            has_reset_write.set(is_reset(&e));
        }
    }
}

/// Copies in frames, and sends an empty one when `from` is closed cleanly.
async fn copy_framed(
    from: &mut (impl AsyncRead + Unpin),
    mut to: FramedWrite<impl AsyncWrite + Unpin, LengthDelimitedCodec>,
    has_reset_write: &Cell<bool>,
) -> std::io::Result<()> {
    let mut buf = BytesMut::with_capacity(BUFFER_BYTES);
    loop {
        buf.reserve(BUFFER_BYTES);
        let count = from.read_buf(&mut buf).await?;
        if count == 0 && has_reset_write.get() {
            return Err(std::io::ErrorKind::ConnectionReset.into());
        }
        to.send(buf.split().freeze()).await?;
        if count == 0 {
            return Ok(());
        }
    }
}
