//! An HTTP/1.1 and HTTP/2 server that runs on the thread that starts it.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpService, KeepAlive, Request, Response};
use actix_rt::net::TcpListener;
use actix_service::{Service, ServiceFactory, fn_service};
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
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let service = HttpService::build()
        .keep_alive(KeepAlive::Timeout(cfg.keep_alive))
        .client_request_timeout(cfg.head_timeout)
        .client_disconnect_timeout(Duration::from_secs(1))
        .h1_allow_half_closed(false)
        .finish(fn_service(move |req: Request| {
            let handler = handler.clone();
            async move { Ok::<_, Infallible>(handler.handle(req).await) }
        }))
        .tcp_auto_h2c();
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
