//! An HTTP/1.1 and HTTP/2 server that runs on the thread that starts it.

use std::cell::Cell;
use std::convert::Infallible;
use std::fmt::Debug;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_codec::Framed;
use actix_http::body::{BodySize, BoxBody};
use actix_http::error::DispatchError;
use actix_http::h1::{Codec, Message};
use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{HttpServiceBuilder, KeepAlive, Request, Response, StatusCode};
use actix_rt::net::{TcpListener, TcpStream};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::BytesMut;
use futures_util::SinkExt;
use futures_util::future::LocalBoxFuture;
use tokio::task::JoinHandle;

/// The request type of handlers.
pub type HttpRequest = Request;

/// The response type of handlers.
pub type HttpResponse = Response<BoxBody>;

/// Handles HTTP requests.
pub trait Handler {
    /// Handles one request.
    fn handle(self: Rc<Self>, req: HttpRequest) -> LocalBoxFuture<'static, HttpResponse>;
}

/// A CONNECT request that is not answered yet.
pub struct PendingTunnel(Framed<TcpStream, Codec>);

impl PendingTunnel {
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

/// Limits of a server.
#[derive(Debug, Clone)]
pub struct ServerConfig {
    /// How long a connection may stay idle between requests.
    pub keep_alive: Duration,
    /// How long the head of a request may take to arrive.
    pub head_timeout: Duration,
    /// Maximum number of open connections. Further ones wait in the system's backlog.
    pub max_connections: usize,
}

impl Default for ServerConfig {
    fn default() -> Self {
        Self {
            keep_alive: Duration::from_secs(75),
            head_timeout: Duration::from_secs(10),
            max_connections: 10_000,
        }
    }
}

/// A running server. Dropping it stops accepting connections; open ones continue.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    connections: Rc<Cell<usize>>,
    task: JoinHandle<()>,
}

/// Counts an open connection until it is dropped.
struct ConnectionGuard(Rc<Cell<usize>>);

impl ConnectionGuard {
    fn new(connections: &Rc<Cell<usize>>) -> Self {
        connections.set(connections.get() + 1);
        Self(connections.clone())
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Server {
    /// The address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of open connections.
    pub fn connections(&self) -> usize {
        self.connections.get()
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
    let service = builder(&cfg).finish(responder(handler)).tcp_auto_h2c();
    listen(address, &cfg, service).await
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
    let connect = fn_service(move |(req, framed): (Request, Framed<TcpStream, Codec>)| {
        let tunnels = tunnels.clone();
        async move {
            tunnels.handle(req, PendingTunnel(framed)).await;
            Ok::<_, Infallible>(())
        }
    });
    let service = builder(&cfg).upgrade(connect).finish(responder(handler)).tcp_auto_h2c();
    listen(address, &cfg, service).await
}

fn builder<S>(cfg: &ServerConfig) -> HttpServiceBuilder<TcpStream, S>
where
    S: ServiceFactory<Request, Config = ()>,
    S::Error: Into<HttpResponse> + 'static,
    S::InitError: Debug,
    <S::Service as Service<Request>>::Future: 'static,
{
    HttpServiceBuilder::default()
        .keep_alive(KeepAlive::Timeout(cfg.keep_alive))
        .client_request_timeout(cfg.head_timeout)
        .client_disconnect_timeout(Duration::from_secs(1))
        .h1_allow_half_closed(false)
}

fn responder(
    handler: Rc<dyn Handler>,
) -> impl ServiceFactory<Request, Config = (), Response = HttpResponse, Error = Infallible, InitError = ()>
{
    fn_service(move |req: Request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(req).await) }
    })
}

async fn listen(
    address: SocketAddr,
    cfg: &ServerConfig,
    service: impl ServiceFactory<
        TcpStream,
        Config = (),
        Response = (),
        Error = DispatchError,
        InitError = (),
        Service: 'static,
    >,
) -> std::io::Result<Server> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let service = match service.new_service(()).await {
        Ok(service) => Rc::new(service),
        Err(()) => return Err(std::io::Error::other("the HTTP service failed to start")),
    };
    let connections = Rc::new(Cell::new(0));
    let open_connections = connections.clone();
    let permits = Rc::new(tokio::sync::Semaphore::new(cfg.max_connections));
    let task = tokio::task::spawn_local(async move {
        loop {
            let Ok(permit) = tokio::sync::Semaphore::acquire(&permits).await else { return };
            permit.forget();
            let connection = match listener.accept().await {
                Ok((connection, _)) => connection,
                Err(e) => {
                    log::warn!("failed to accept a connection: {e}");
                    permits.add_permits(1);
                    actix_rt::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            };
            let _ = connection.set_nodelay(true);
            let (service, permits) = (service.clone(), permits.clone());
            let guard = ConnectionGuard::new(&open_connections);
            tokio::task::spawn_local(async move {
                let _guard = guard;
                if let Err(e) = service.call(connection).await {
                    log::debug!("connection closed with an error: {e}");
                }
                permits.add_permits(1);
            });
        }
    });
    Ok(Server { address, connections, task })
}
