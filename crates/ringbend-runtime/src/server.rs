//! An HTTP server that runs on the thread that starts it: HTTP/1.1, and HTTP/2 where it is enabled.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_codec::Framed;
use actix_http::body::{BodySize, BoxBody};
use actix_http::h1::{Codec, Message};
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Request, Response, StatusCode};
use actix_rt::net::{TcpListener, TcpStream};
use bytes::BytesMut;
use futures_util::SinkExt;
use futures_util::future::LocalBoxFuture;
use tokio::net::TcpSocket;
use tokio::task::JoinHandle;

use crate::connections::Connections;
use crate::http1::Admission;
use crate::panics::catch_panic;
use crate::protocols::Protocols;
use crate::response::empty;

/// The request type of handlers.
pub type HttpRequest = Request;

/// The response type of handlers.
pub type HttpResponse = Response<BoxBody>;

/// Handles HTTP requests.
pub trait Handler {
    /// Handles one request.
    fn handle(self: Rc<Self>, req: HttpRequest) -> LocalBoxFuture<'static, HttpResponse>;

    /// The response to a request on a connection for which there is no room. The request is not
    /// handled.
    fn refuse(&self, _: &HttpRequest) -> HttpResponse {
        empty(StatusCode::SERVICE_UNAVAILABLE)
    }
}

/// Handles a request. A panic of the handler is answered with 500, so that the connection and its other
/// requests are not affected.
pub(crate) async fn handle(handler: Rc<dyn Handler>, req: HttpRequest) -> HttpResponse {
    catch_panic(handler.handle(req).as_mut()).await.unwrap_or_else(|panic| {
        log::error!("request handler {panic}");
        empty(StatusCode::INTERNAL_SERVER_ERROR)
    })
}

/// A CONNECT request that is not answered yet.
pub struct PendingTunnel(Framed<TcpStream, Codec>);

impl PendingTunnel {
    pub(crate) fn new(framed: Framed<TcpStream, Codec>) -> Self {
        Self(framed)
    }

    /// Accepts the request. Returns the connection and what was already read from it.
    ///
    /// # Errors
    ///
    /// The connection broke.
    pub async fn accept(mut self) -> std::io::Result<(TcpStream, BytesMut)> {
        self.respond(Response::new(StatusCode::OK)).await?;
        let parts = self.0.into_parts();
        Ok((parts.io, parts.read_buf))
    }

    /// Rejects the request and closes the connection.
    pub async fn reject(mut self, status: StatusCode, header: Option<(HeaderName, HeaderValue)>) {
        let mut res = Response::new(status);
        if let Some((name, value)) = header {
            res.headers_mut().insert(name, value);
        }
        if let Err(e) = self.respond(res).await {
            log::debug!("tunnel request not answered: {e}");
        }
    }

    async fn respond(&mut self, res: HttpResponse) -> std::io::Result<()> {
        self.0.send(Message::Item((res.drop_body(), BodySize::None))).await
    }
}

impl std::fmt::Debug for PendingTunnel {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PendingTunnel").finish_non_exhaustive()
    }
}

/// Handles CONNECT requests.
pub trait TunnelHandler {
    /// Handles one request until its tunnel has ended.
    fn handle(
        self: Rc<Self>,
        req: HttpRequest,
        tunnel: PendingTunnel,
    ) -> LocalBoxFuture<'static, ()>;
}

/// Limits on what the client of a connection may send, and for how long it may hold up the connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// The maximum size of a request head in bytes; a larger one is refused with 431.
    pub head_bytes: usize,
    /// How long the head of a request may take to arrive.
    pub head_timeout: Duration,
    /// How long a connection may stay idle between requests.
    pub idle_timeout: Duration,
    /// How long a response may remain unread.
    pub write_timeout: Duration,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            head_bytes: 64 << 10,
            head_timeout: Duration::from_secs(10),
            idle_timeout: Duration::from_secs(75),
            write_timeout: Duration::from_secs(30),
        }
    }
}

/// Configuration of a server.
#[derive(Debug, Clone)]
pub struct ServerConfig {
    /// Limits on connections. A change applies to the next request of each connection.
    pub limits: Rc<Cell<ConnectionLimits>>,
    /// The open connections. If there is no room for another one, one whose client does not use it is
    /// closed, or the new one is refused.
    pub connections: Rc<Connections>,
    /// The size of the system's buffer for what a connection has received; the system's default if
    /// omitted.
    pub receive_buffer_bytes: Option<u32>,
    /// Whether clients that begin with the preface of HTTP/2 are served.
    pub http2: bool,
}

/// The default of the maximum number of open connections.
const MAX_CONNECTIONS: usize = 10_000;

/// Maximum number of rejected connections that are answered concurrently. Others are closed without a
/// response.
const MAX_REFUSALS: usize = 16;

/// The length of the queue of connections that are not accepted yet.
const BACKLOG: u32 = 1_024;

impl Default for ServerConfig {
    fn default() -> Self {
        Self {
            limits: Rc::default(),
            connections: Connections::new(MAX_CONNECTIONS),
            receive_buffer_bytes: None,
            http2: false,
        }
    }
}

/// A running server. Dropping it stops accepting connections; open ones continue.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    connections: Rc<Connections>,
    task: JoinHandle<()>,
}

impl Server {
    /// The address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.open()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Listens on `address` and serves requests on the current thread.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve(
    address: SocketAddr,
    cfg: ServerConfig,
    handler: Rc<dyn Handler>,
) -> std::io::Result<Server> {
    listen(address, cfg, handler, None).await
}

/// Like [`serve`], with CONNECT requests handled by `tunnels`.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn serve_with_tunnels(
    address: SocketAddr,
    cfg: ServerConfig,
    handler: Rc<dyn Handler>,
    tunnels: Rc<dyn TunnelHandler>,
) -> std::io::Result<Server> {
    listen(address, cfg, handler, Some(tunnels)).await
}

async fn listen(
    address: SocketAddr,
    cfg: ServerConfig,
    handler: Rc<dyn Handler>,
    tunnels: Option<Rc<dyn TunnelHandler>>,
) -> std::io::Result<Server> {
    let listener = bind(address, cfg.receive_buffer_bytes)?;
    let address = listener.local_addr()?;
    let connections = cfg.connections.clone();
    let protocols = Protocols::new(&cfg, handler, tunnels).await?;
    let task = tokio::task::spawn_local(accept(listener, connections.clone(), Rc::new(protocols)));
    Ok(Server { address, connections, task })
}

fn bind(address: SocketAddr, receive_buffer_bytes: Option<u32>) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    if let Some(bytes) = receive_buffer_bytes {
        // Accepted connections inherit it.
        socket.set_recv_buffer_size(bytes)?;
    }
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

async fn accept(listener: TcpListener, connections: Rc<Connections>, protocols: Rc<Protocols>) {
    let refusals = Arc::new(tokio::sync::Semaphore::new(MAX_REFUSALS));
    loop {
        let io = match listener.accept().await {
            Ok((io, _)) => io,
            Err(e) => {
                log::warn!("failed to accept a connection: {e}");
                actix_rt::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let _ = io.set_nodelay(true);
        let refusal = match connections.has_room().await {
            true => None,
            false => match refusals.clone().try_acquire_owned() {
                Ok(refusal) => Some(refusal),
                Err(_) => continue,
            },
        };
        let admission = match refusal {
            Some(_) => Admission::Refused,
            None => Admission::Accepted,
        };
        let (open, protocols) = (connections.add(), protocols.clone());
        tokio::task::spawn_local(async move {
            protocols.serve(io, open.state.clone(), admission).await;
            drop((open, refusal));
        });
    }
}
