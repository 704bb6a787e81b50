//! Construction of HTTP responses.

use std::cell::Cell;
use std::fmt;
use std::rc::Rc;
use std::task::{Poll, ready};

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Response, ResponseHead, StatusCode};
use bytes::Bytes;
use futures_util::stream;
use serde::Serialize;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::{SendError, TrySendError};

use crate::server::HttpResponse;

/// The statuses by which clients know that a request was not run and may be sent again.
pub const NOT_RUN_STATUSES: [StatusCode; 4] = [
    StatusCode::REQUEST_TIMEOUT,
    StatusCode::MISDIRECTED_REQUEST,
    StatusCode::TOO_MANY_REQUESTS,
    StatusCode::SERVICE_UNAVAILABLE,
];

/// Creates a response without a body.
pub fn empty(status: StatusCode) -> HttpResponse {
    Response::with_body(status, BoxBody::new(()))
}

/// Creates a JSON response.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    with_content_type(status, "application/json", body.into())
}

/// Creates a response with the given content type.
pub fn text(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> HttpResponse {
    with_content_type(status, content_type, body.into())
}

fn with_content_type(status: StatusCode, content_type: &'static str, body: Bytes) -> HttpResponse {
    let mut res = Response::with_body(status, body.boxed());
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    res
}

/// A streamed response was aborted before its end. The connection is closed, so that the reader notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamError;

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the response was aborted before its end")
    }
}

impl std::error::Error for StreamError {}

/// A part of a streamed response. It is dropped once all of its bytes were taken to be written.
pub trait StreamChunk: 'static {
    /// The bytes that were not taken yet.
    fn remaining(&mut self) -> &mut Bytes;
}

impl StreamChunk for Bytes {
    fn remaining(&mut self) -> &mut Bytes {
        self
    }
}

/// The sending half of a streamed response. If it is dropped without [`Self::finish`], the response is
/// aborted after what was sent.
#[derive(Debug)]
pub struct StreamSender<T = Bytes> {
    tx: mpsc::Sender<Result<T, StreamError>>,
    is_finished: Rc<Cell<bool>>,
}

impl<T> StreamSender<T> {
    /// Sends a chunk, or aborts the response. Waits while the buffer is full.
    ///
    /// # Errors
    ///
    /// The reader has disconnected.
    pub async fn send(
        &self,
        chunk: Result<T, StreamError>,
    ) -> Result<(), SendError<Result<T, StreamError>>> {
        self.tx.send(chunk).await
    }

    /// Like [`Self::send`], without waiting.
    ///
    /// # Errors
    ///
    /// The buffer is full or the reader has disconnected.
    pub fn try_send(
        &self,
        chunk: Result<T, StreamError>,
    ) -> Result<(), TrySendError<Result<T, StreamError>>> {
        self.tx.try_send(chunk)
    }

    /// Waits until the reader disconnects.
    pub async fn closed(&self) {
        self.tx.closed().await;
    }

    /// Ends the response after what was sent.
    pub fn finish(self) {
        self.is_finished.set(true);
    }
}

/// How many bytes of a chunk are taken to be written at once.
const MAX_WRITE_BYTES: usize = 16 << 10;

/// Creates a streamed response that buffers at most `depth` chunks. Its sender is closed when the reader
/// disconnects.
pub fn stream<T: StreamChunk>(status: StatusCode, depth: usize) -> (StreamSender<T>, HttpResponse) {
    let (tx, mut rx) = mpsc::channel(depth);
    let is_finished = Rc::new(Cell::new(false));
    let tx = StreamSender { tx, is_finished: is_finished.clone() };
    let mut current: Option<T> = None;
    let chunks = stream::poll_fn(move |cx| {
        if current.is_none() {
            current = match ready!(rx.poll_recv(cx)) {
                Some(Ok(chunk)) => Some(chunk),
                Some(Err(e)) => return Poll::Ready(Some(Err(e))),
                None if is_finished.get() => return Poll::Ready(None),
                None => return Poll::Ready(Some(Err(StreamError))),
            };
        }
        Poll::Ready(take_part(&mut current).map(Ok))
    });
    let head: Response<()> = Response::with_body(status, ());
    let body = BodyStream::new(chunks).boxed();
    let res = head.map_body(|_: &mut ResponseHead, ()| body);
    (tx, res)
}

fn take_part<T: StreamChunk>(current: &mut Option<T>) -> Option<Bytes> {
    let remaining = current.as_mut()?.remaining();
    let part = remaining.split_to(remaining.len().min(MAX_WRITE_BYTES));
    if remaining.is_empty() {
        *current = None;
    }
    Some(part)
}
