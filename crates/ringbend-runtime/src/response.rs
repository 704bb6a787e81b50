//! Construction of HTTP responses.

use std::fmt;
use std::task::Poll;

use actix_http::body::{BodyStream, BoxBody, MessageBody};
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Response, ResponseHead, StatusCode};
use bytes::Bytes;
use futures_util::stream;
use serde::Serialize;
use tokio::sync::mpsc;

use crate::server::HttpResponse;

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

/// The sending half of a streamed response. Dropping it ends the response.
pub type StreamSender = mpsc::Sender<Result<Bytes, StreamError>>;

/// Creates a streamed response that buffers at most `depth` chunks. Its sender is closed when the reader
/// disconnects.
///
/// An error that aborts the response is reported one poll late. The server flushes its buffer only when
/// the body is pending, and discards the buffer on an error, so without this pause the reader would miss
/// chunks that were sent just before the abort.
pub fn stream(status: StatusCode, depth: usize) -> (StreamSender, HttpResponse) {
    let (tx, mut rx) = mpsc::channel(depth);
    let mut pending_error = None;
    let chunks = stream::poll_fn(move |cx| {
        if let Some(error) = pending_error.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match rx.poll_recv(cx) {
            Poll::Ready(Some(Err(error))) => {
                pending_error = Some(error);
                cx.waker().wake_by_ref();
                Poll::Pending
            }
            other => other,
        }
    });
    let head: Response<()> = Response::with_body(status, ());
    let body = BodyStream::new(chunks).boxed();
    let res = head.map_body(|_: &mut ResponseHead, ()| body);
    (tx, res)
}
