//! Selection of the protocol that the client of a new connection uses.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{HttpService, KeepAlive, Request, ServiceConfig};
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceFactory, fn_service};
use futures_util::future::LocalBoxFuture;

use crate::connections::ConnectionState;
use crate::http1::{Admission, Http1Server};
use crate::server::{Handler, ServerConfig, TunnelHandler, handle};

/// The first bytes of the preface of HTTP/2. No method of HTTP/1.1 begins with them.
const HTTP2_PREFACE: &[u8] = b"PRI ";

/// How often the first bytes of a connection are checked until there are enough of them.
const PREFACE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long an HTTP/2 connection may take to close.
const HTTP2_CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves a connection until it is closed.
type ServeHttp2 = Box<dyn Fn(TcpStream) -> LocalBoxFuture<'static, ()>>;

/// The protocols of a server.
pub(crate) struct Protocols {
    http1: Rc<Http1Server>,
    http2: Option<ServeHttp2>,
}

impl Protocols {
    /// # Errors
    ///
    /// The HTTP/2 service failed to start.
    pub(crate) async fn new(
        cfg: &ServerConfig,
        handler: Rc<dyn Handler>,
        tunnels: Option<Rc<dyn TunnelHandler>>,
    ) -> std::io::Result<Self> {
        let http2 = match cfg.http2 {
            true => Some(http2(cfg, handler.clone()).await?),
            false => None,
        };
        // Enables keep-alive in the codec; timeouts come from `ConnectionLimits`.
        let http_config = ServiceConfig::default();
        let limits = cfg.limits.clone();
        let http1 = Rc::new(Http1Server { http_config, limits, handler, tunnels });
        Ok(Self { http1, http2 })
    }

    pub(crate) async fn serve(
        &self,
        io: TcpStream,
        state: Rc<ConnectionState>,
        admission: Admission,
    ) {
        if let Some(http2) = &self.http2 {
            let timeout = self.http1.limits.get().idle_timeout;
            match tokio::time::timeout(timeout, begins_with_preface(&io)).await {
                Ok(Ok(true)) => return http2(io).await,
                Ok(Ok(false)) => {}
                Ok(Err(_)) | Err(_) => return,
            }
        }
        self.http1.clone().serve(io, state, admission).await;
    }
}

async fn begins_with_preface(io: &TcpStream) -> std::io::Result<bool> {
    let mut first = [0; HTTP2_PREFACE.len()];
    loop {
        let count = io.peek(&mut first).await?;
        if count == first.len() || first[..count] != HTTP2_PREFACE[..count] || count == 0 {
            return Ok(first == *HTTP2_PREFACE);
        }
        tokio::time::sleep(PREFACE_POLL_INTERVAL).await;
    }
}

async fn http2(cfg: &ServerConfig, handler: Rc<dyn Handler>) -> std::io::Result<ServeHttp2> {
    let limits = cfg.limits.get();
    let handle = fn_service(move |req: Request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handle(handler, req).await) }
    });
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(limits.idle_timeout))
        .client_request_timeout(limits.head_timeout)
        .client_disconnect_timeout(HTTP2_CLOSE_TIMEOUT)
        .finish(handle)
        .tcp_auto_h2c();
    let service = match factory.new_service(()).await {
        Ok(service) => Rc::new(service),
        Err(()) => return Err(std::io::Error::other("the HTTP/2 service failed to start")),
    };
    Ok(Box::new(move |io| {
        let service = service.clone();
        Box::pin(async move {
            if let Err(e) = service.call(io).await {
                log::debug!("connection closed with an error: {e}");
            }
        })
    }))
}
