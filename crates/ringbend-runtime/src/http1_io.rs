//! The bytes of an HTTP/1.1 connection. No more is read from it than its current request needs, so that
//! requests that are sent ahead wait in the system's buffers.

use std::cell::RefCell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use actix_http::Request;
use actix_http::error::{ParseError, PayloadError};
use actix_http::h1::{Codec, Message};
use actix_rt::net::TcpStream;
use bytes::{BufMut, Bytes, BytesMut};
use futures_util::{FutureExt, Stream};
use tokio::io::Interest;
use tokio_util::codec::Decoder;

use crate::connections::{ConnectionState, Phase};

/// The size of the first buffer for a request head, in bytes.
const HEAD_READ_BYTES: usize = 4 << 10;

/// The maximum size of a read from a body, in bytes.
const BODY_READ_BYTES: usize = 16 << 10;

/// How many bytes of further requests are read while a request is handled, which shows that the client
/// is still there.
const READ_AHEAD_BYTES: usize = 4 << 10;

/// How much of a request's body was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyProgress {
    Partial,
    Complete,
    Failed,
}

/// A connection with its codec and the bytes that were read but not decoded.
pub(crate) struct Http1Io {
    pub(crate) tcp: TcpStream,
    pub(crate) codec: Codec,
    pub(crate) buf: BytesMut,
    body: BodyProgress,
}

/// What ended reading ahead.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ReadAhead {
    Disconnected,
    Full,
}

/// The result of an attempt to decode a request head.
pub(crate) enum HeadProgress {
    Complete(Request),
    Partial,
    TooLarge,
    Malformed(ParseError),
}

impl Http1Io {
    pub(crate) fn new(tcp: TcpStream, codec: Codec) -> Self {
        Self { tcp, codec, buf: BytesMut::new(), body: BodyProgress::Complete }
    }

    /// Decodes a request head of at most `limit` bytes from what was read.
    pub(crate) fn decode_head(&mut self, limit: usize) -> HeadProgress {
        // Some clients send a line break after a body.
        if self.buf.iter().all(|byte| b"\r\n".contains(byte)) {
            // An idle connection keeps no buffer.
            self.buf = BytesMut::new();
            return HeadProgress::Partial;
        }
        match self.codec.decode(&mut self.buf) {
            Ok(Some(Message::Item(req))) => HeadProgress::Complete(req),
            Ok(Some(Message::Chunk(_))) => HeadProgress::Malformed(ParseError::Incomplete),
            Ok(None) if self.buf.len() >= limit => HeadProgress::TooLarge,
            Ok(None) => HeadProgress::Partial,
            Err(ParseError::TooLarge) => HeadProgress::TooLarge,
            Err(e) => HeadProgress::Malformed(e),
        }
    }

    /// Reads more of a request head, which has at most `limit` bytes. Zero is the end of the connection.
    pub(crate) fn poll_read_head(
        &mut self,
        cx: &mut Context<'_>,
        limit: usize,
    ) -> Poll<std::io::Result<usize>> {
        let room = limit.saturating_sub(self.buf.len()).max(1);
        self.poll_read(cx, room.min(self.buf.len().max(HEAD_READ_BYTES)))
    }

    /// Reads at most `room` bytes.
    fn poll_read(&mut self, cx: &mut Context<'_>, room: usize) -> Poll<std::io::Result<usize>> {
        loop {
            ready!(self.tcp.poll_read_ready(cx))?;
            self.buf.reserve(room);
            match self.tcp.try_read_buf(&mut (&mut self.buf).limit(room)) {
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                read => return Poll::Ready(read),
            }
        }
    }

    /// Reads and discards bytes until the client closes its side.
    pub(crate) fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        loop {
            self.buf.clear();
            if !matches!(ready!(self.poll_read(cx, BODY_READ_BYTES)), Ok(1..)) {
                return Poll::Ready(());
            }
        }
    }

    pub(crate) fn poll_write(
        &self,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        loop {
            ready!(self.tcp.poll_write_ready(cx))?;
            match self.tcp.try_write(bytes) {
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    /// Starts the body of the request whose head was decoded.
    pub(crate) fn start_body(&mut self, has_body: bool) {
        self.body = if has_body { BodyProgress::Partial } else { BodyProgress::Complete };
    }

    /// Whether the next request can be read.
    pub(crate) fn has_complete_body(&self) -> bool {
        self.body == BodyProgress::Complete
    }

    /// Reads ahead until the client has disconnected or sent as much as is read ahead. While it sends a
    /// body, the reader of the body notices that it has disconnected.
    pub(crate) fn poll_read_ahead(&mut self, cx: &mut Context<'_>) -> Poll<ReadAhead> {
        if !self.has_complete_body() {
            return Poll::Pending;
        }
        while self.buf.len() < READ_AHEAD_BYTES {
            let room = READ_AHEAD_BYTES - self.buf.len();
            if !matches!(ready!(self.poll_read(cx, room)), Ok(1..)) {
                return Poll::Ready(ReadAhead::Disconnected);
            }
        }
        Poll::Ready(ReadAhead::Full)
    }

    /// Whether the client has closed its side, even if it sent bytes before that are not read yet.
    pub(crate) fn is_closed_by_client(&self) -> bool {
        let ready = self.tcp.ready(Interest::READABLE).now_or_never();
        matches!(ready, Some(Ok(ready)) if ready.is_read_closed()) || matches!(ready, Some(Err(_)))
    }

    fn poll_body(
        &mut self,
        cx: &mut Context<'_>,
        state: &ConnectionState,
    ) -> Poll<Option<Result<Bytes, PayloadError>>> {
        loop {
            match self.body {
                BodyProgress::Partial => {}
                BodyProgress::Complete | BodyProgress::Failed => return Poll::Ready(None),
            }
            if state.is_closing() {
                return self.fail_body(PayloadError::Io(std::io::ErrorKind::OutOfMemory.into()));
            }
            match self.codec.decode(&mut self.buf) {
                Ok(Some(Message::Chunk(Some(chunk)))) => return Poll::Ready(Some(Ok(chunk))),
                Ok(Some(Message::Chunk(None))) => {
                    self.body = BodyProgress::Complete;
                    state.enter(Phase::Handler);
                    return Poll::Ready(None);
                }
                Ok(Some(Message::Item(_))) | Err(_) => {
                    return self.fail_body(PayloadError::EncodingCorrupted);
                }
                Ok(None) => {}
            }
            match ready!(self.poll_read(cx, BODY_READ_BYTES)) {
                Ok(0) => return self.fail_body(PayloadError::Incomplete(None)),
                Ok(_) => state.enter(Phase::Body),
                Err(e) => return self.fail_body(PayloadError::Io(e)),
            }
        }
    }

    fn fail_body(&mut self, e: PayloadError) -> Poll<Option<Result<Bytes, PayloadError>>> {
        self.body = BodyProgress::Failed;
        Poll::Ready(Some(Err(e)))
    }
}

/// The body of a request, which is read from its connection as the handler asks for it.
pub(crate) struct RequestBody {
    pub(crate) io: Rc<RefCell<Http1Io>>,
    pub(crate) state: Rc<ConnectionState>,
}

impl Stream for RequestBody {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        self.io.borrow_mut().poll_body(cx, &self.state)
    }
}
