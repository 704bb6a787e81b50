//! Serves the requests of an HTTP/1.1 connection one after the other, with the codec of `actix-http`.
//!
//! The dispatcher of `actix-http` decodes all requests in its read buffer, whatever their number, and
//! has no bound on the time for which a response remains unread. Here a connection holds one request
//! and a bounded part of what follows it.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use actix_codec::{Encoder, Framed, FramedParts};
use actix_http::body::{BodySize, BoxBody, MessageBody};
use actix_http::h1::{Codec, Message};
use actix_http::{
    BoxedPayloadStream, ConnectionType, Method, Payload, Request, Response, ServiceConfig,
    StatusCode,
};
use actix_rt::net::TcpStream;
use bytes::{Buf, BytesMut};
use socket2::SockRef;
use tokio::time::Instant;

use crate::connections::{ConnectionState, Phase};
use crate::http1_io::{HeadProgress, Http1Io, ReadAhead, RequestBody};
use crate::response::empty;
use crate::server::{
    ConnectionLimits, Handler, HttpResponse, PendingTunnel, TunnelHandler, handle,
};

/// The response body is read until this many bytes wait to be written.
const WRITE_BUFFER_BYTES: usize = 32 << 10;

/// How long a connection that this side has closed stays open for the client to read the response.
const LINGER_TIME: Duration = Duration::from_secs(1);

/// How often a connection from which no more is read is checked for its end.
const DISCONNECT_POLL_INTERVAL: Duration = Duration::from_millis(200);

const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What the connections of a server share.
pub(crate) struct Http1Server {
    pub(crate) http_config: ServiceConfig,
    pub(crate) limits: Rc<Cell<ConnectionLimits>>,
    pub(crate) handler: Rc<dyn Handler>,
    pub(crate) tunnels: Option<Rc<dyn TunnelHandler>>,
}

/// Whether the server has room for the requests of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Admission {
    Accepted,
    Refused,
}

/// The client has disconnected, or its connection is to be closed at once.
struct Disconnected;

/// What follows a request head.
enum NextRequest {
    Request(Box<Request>),
    /// The head is refused with this status.
    Invalid(StatusCode),
    Disconnected,
}

/// One connection.
struct Connection {
    server: Rc<Http1Server>,
    io: Rc<RefCell<Http1Io>>,
    state: Rc<ConnectionState>,
}

impl Http1Server {
    /// Serves a connection until it is closed.
    pub(crate) async fn serve(
        self: Rc<Self>,
        tcp: TcpStream,
        state: Rc<ConnectionState>,
        admission: Admission,
    ) {
        let codec = Codec::new(self.http_config.clone());
        let io = Rc::new(RefCell::new(Http1Io::new(tcp, codec)));
        let connection = Connection { server: self, io, state };
        connection.serve(admission).await;
    }
}

impl Connection {
    async fn serve(self, admission: Admission) {
        loop {
            let req = match self.next_request().await {
                NextRequest::Request(req) => *req,
                NextRequest::Invalid(status) => {
                    let res = closing(empty(status));
                    if self.respond(res).await.is_ok() {
                        self.linger().await;
                    }
                    return;
                }
                NextRequest::Disconnected => return,
            };
            if req.method() == Method::CONNECT
                && let Some(tunnels) = self.server.tunnels.clone()
            {
                return self.open_tunnel(req, tunnels).await;
            }
            let res = match admission {
                Admission::Accepted => self.handle(req).await,
                Admission::Refused => Ok(closing(self.server.handler.refuse(&req))),
            };
            let Ok(res) = res else { return };
            if self.respond(res).await.is_err() {
                return;
            }
            if !self.is_kept() {
                return self.linger().await;
            }
            // Pipelined requests are served without waiting for the connection.
            tokio::task::consume_budget().await;
        }
    }

    /// Waits for the head of a request.
    async fn next_request(&self) -> NextRequest {
        let limits = self.server.limits.get();
        let idle_deadline = Instant::now() + limits.idle_timeout;
        let mut head_deadline = None;
        self.state.enter(Phase::Idle);
        loop {
            let head = self.io.borrow_mut().decode_head(limits.head_bytes);
            match head {
                HeadProgress::Complete(req) => return NextRequest::Request(self.with_body(req)),
                HeadProgress::Partial => {}
                HeadProgress::TooLarge => {
                    let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
                    return NextRequest::Invalid(status);
                }
                HeadProgress::Malformed(e) => {
                    log::debug!("malformed request head: {e}");
                    return NextRequest::Invalid(StatusCode::BAD_REQUEST);
                }
            }
            let has_begun = !self.io.borrow().buf.is_empty();
            if has_begun && head_deadline.is_none() {
                self.state.enter(Phase::Head);
                head_deadline = Some(Instant::now() + limits.head_timeout);
            }
            let deadline = head_deadline.unwrap_or(idle_deadline);
            let read = poll_fn(|cx| self.io.borrow_mut().poll_read_head(cx, limits.head_bytes));
            tokio::select! {
                biased;
                read = read => if !matches!(read, Ok(1..)) {
                    return NextRequest::Disconnected;
                },
                () = self.state.closing() => return NextRequest::Disconnected,
                () = tokio::time::sleep_until(deadline) => return match has_begun {
                    true => NextRequest::Invalid(StatusCode::REQUEST_TIMEOUT),
                    false => NextRequest::Disconnected,
                },
            }
        }
    }

    /// Attaches the body, which the handler reads from the connection.
    fn with_body(&self, mut req: Request) -> Box<Request> {
        let has_body = {
            let mut io = self.io.borrow_mut();
            let is_tunnel = req.method() == Method::CONNECT && self.server.tunnels.is_some();
            let has_body =
                !is_tunnel && io.codec.message_type() != actix_http::h1::MessageType::None;
            io.start_body(has_body);
            has_body
        };
        self.state.enter(if has_body { Phase::Body } else { Phase::Handler });
        if has_body {
            let body = RequestBody { io: self.io.clone(), state: self.state.clone() };
            let body: BoxedPayloadStream = Box::pin(body);
            req = req.replace_payload(Payload::from(body)).0;
        }
        Box::new(req)
    }

    async fn open_tunnel(self, req: Request, tunnels: Rc<dyn TunnelHandler>) {
        let Self { io, .. } = self;
        let Some(io) = Rc::into_inner(io) else { return };
        let Http1Io { tcp, codec, buf, .. } = io.into_inner();
        let framed = Framed::from_parts(FramedParts::with_read_buf(tcp, codec, buf));
        tunnels.handle(req, PendingTunnel::new(framed)).await;
    }

    /// Runs the handler, which is dropped if the client disconnects.
    async fn handle(&self, req: Request) -> Result<HttpResponse, Disconnected> {
        if req.head().expect() {
            self.write_all(&mut BytesMut::from(CONTINUE)).await?;
        }
        let mut handling = std::pin::pin!(handle(self.server.handler.clone(), req));
        let mut is_closing = std::pin::pin!(self.state.closing());
        let mut may_close = true;
        loop {
            tokio::select! {
                biased;
                res = &mut handling => return Ok(res),
                () = self.disconnected() => return Err(Disconnected),
                // The body that the handler reads ends with an error.
                () = &mut is_closing, if may_close => may_close = false,
            }
        }
    }

    async fn disconnected(&self) {
        let read_ahead = poll_fn(|cx| self.io.borrow_mut().poll_read_ahead(cx)).await;
        if read_ahead == ReadAhead::Disconnected {
            return;
        }
        // No more is read, so the end of the connection has to be looked for.
        while !self.io.borrow().is_closed_by_client() {
            tokio::time::sleep(DISCONNECT_POLL_INTERVAL).await;
        }
    }

    /// Whether the connection serves another request.
    fn is_kept(&self) -> bool {
        let io = self.io.borrow();
        io.codec.keep_alive() && io.has_complete_body() && !self.state.is_closing()
    }

    async fn respond(&self, mut res: HttpResponse) -> Result<(), Disconnected> {
        if !self.io.borrow().has_complete_body() {
            res = closing(res);
        }
        let (head, body) = res.into_parts();
        let size = body.size();
        let mut out = BytesMut::new();
        self.encode(Message::Item((head, size)), &mut out)?;
        match size {
            BodySize::None | BodySize::Sized(0) => self.write_all(&mut out).await,
            BodySize::Sized(_) | BodySize::Stream => self.write_body(body, out).await,
        }
    }

    async fn write_body(&self, body: BoxBody, mut out: BytesMut) -> Result<(), Disconnected> {
        let mut body = std::pin::pin!(body);
        loop {
            let next = match out.len() {
                WRITE_BUFFER_BYTES.. => Poll::Pending,
                _ => poll_fn(|cx| Poll::Ready(body.as_mut().poll_next(cx))).await,
            };
            let next = match next {
                Poll::Ready(next) => next,
                Poll::Pending if !out.is_empty() => {
                    self.write_all(&mut out).await?;
                    continue;
                }
                Poll::Pending => {
                    self.state.enter(Phase::Handler);
                    tokio::select! {
                        biased;
                        next = poll_fn(|cx| body.as_mut().poll_next(cx)) => next,
                        () = self.disconnected() => return Err(Disconnected),
                        () = self.state.closing() => return Err(Disconnected),
                    }
                }
            };
            match next {
                Some(Ok(chunk)) => self.encode(Message::Chunk(Some(chunk)), &mut out)?,
                None => {
                    self.encode(Message::Chunk(None), &mut out)?;
                    return self.write_all(&mut out).await;
                }
                Some(Err(e)) => {
                    log::debug!("response aborted: {e}");
                    // The client reads what was sent before, and notices that the end is missing.
                    self.write_all(&mut out).await?;
                    self.linger().await;
                    return Err(Disconnected);
                }
            }
        }
    }

    fn encode(
        &self,
        message: Message<(Response<()>, BodySize)>,
        out: &mut BytesMut,
    ) -> Result<(), Disconnected> {
        let encoded = self.io.borrow_mut().codec.encode(message, out);
        encoded.map_err(|e| {
            log::warn!("response cannot be encoded: {e}");
            Disconnected
        })
    }

    /// Writes all bytes, unless the client stops reading.
    async fn write_all(&self, out: &mut BytesMut) -> Result<(), Disconnected> {
        while !out.is_empty() {
            self.state.enter(Phase::Response);
            let timeout = self.server.limits.get().write_timeout;
            let written = tokio::select! {
                biased;
                written = poll_fn(|cx| self.io.borrow().poll_write(cx, out)) => written,
                () = self.state.closing() => return Err(Disconnected),
                () = tokio::time::sleep(timeout) => return Err(Disconnected),
            };
            match written {
                Ok(count @ 1..) => out.advance(count),
                Ok(0) | Err(_) => return Err(Disconnected),
            }
        }
        Ok(())
    }

    /// Closes this side, and reads what the client still sends: closing both sides at once can
    /// discard the response before the client has read it.
    async fn linger(&self) {
        self.state.enter(Phase::Closing);
        if let Err(e) = SockRef::from(&self.io.borrow().tcp).shutdown(std::net::Shutdown::Write) {
            log::debug!("connection not shut down: {e}");
        }
        tokio::select! {
            biased;
            () = poll_fn(|cx| self.io.borrow_mut().poll_discard(cx)) => {}
            () = self.state.closing() => {}
            () = tokio::time::sleep(LINGER_TIME) => {}
        }
    }
}

/// The last response of a connection.
fn closing(mut res: HttpResponse) -> HttpResponse {
    res.head_mut().set_connection_type(ConnectionType::Close);
    res
}
