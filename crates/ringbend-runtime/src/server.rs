//! A listener that serves HTTP/1.1 and HTTP/2 on the thread that starts it.

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

/// A request as handlers get it.
pub type HttpRequest = Request;

/// A response as handlers give it.
pub type HttpResponse = Response<BoxBody>;

/// Answers requests.
pub trait Handler {
    /// Answers one request.
    fn handle(self: Rc<Self>, req: HttpRequest) -> LocalBoxFuture<'static, HttpResponse>;
}

/// Bounds of a listener.
#[derive(Debug, Clone)]
pub struct ServerConfig {
    /// How long a connection may be idle between requests.
    pub keep_alive: Duration,
    /// How long the head of a request may take to arrive.
    pub head_timeout: Duration,
    /// Most connections open at once; more wait in the system's backlog.
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

/// A running listener. Dropping it stops accepting; open connections go on.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    connections: Rc<Cell<usize>>,
    task: JoinHandle<()>,
}

/// Counts a connection for as long as it lives.
struct Counted(Rc<Cell<usize>>);

impl Counted {
    fn new(connections: &Rc<Cell<usize>>) -> Self {
        connections.set(connections.get() + 1);
        Self(connections.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Server {
    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connections open now.
    pub fn connections(&self) -> usize {
        self.connections.get()
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Listens on `address` and serves requests on this thread.
///
/// # Errors
///
/// The address cannot be bound.
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
        Err(()) => return Err(std::io::Error::other("the HTTP service did not start")),
    };
    let connections = Rc::new(Cell::new(0));
    let counted = connections.clone();
    let places = Rc::new(tokio::sync::Semaphore::new(cfg.max_connections));
    let task = tokio::task::spawn_local(async move {
        loop {
            let Ok(place) = tokio::sync::Semaphore::acquire(&places).await else { return };
            place.forget();
            let connection = match listener.accept().await {
                Ok((connection, _)) => connection,
                Err(e) => {
                    log::warn!("accept failed: {e}");
                    places.add_permits(1);
                    actix_rt::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            };
            let _ = connection.set_nodelay(true);
            let (service, places) = (service.clone(), places.clone());
            let count = Counted::new(&counted);
            tokio::task::spawn_local(async move {
                let _count = count;
                if let Err(e) = service.call(connection).await {
                    log::debug!("connection ended: {e}");
                }
                places.add_permits(1);
            });
        }
    });
    Ok(Server { address, connections, task })
}
