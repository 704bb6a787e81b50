//! Building responses.

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

/// A response without a body.
pub fn empty(status: StatusCode) -> HttpResponse {
    Response::with_body(status, BoxBody::new(()))
}

/// A JSON response.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> HttpResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    typed(status, "application/json", body.into())
}

/// A response of the given content type.
pub fn text(
    status: StatusCode,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> HttpResponse {
    typed(status, content_type, body.into())
}

fn typed(status: StatusCode, content_type: &'static str, body: Bytes) -> HttpResponse {
    let mut res = Response::with_body(status, body.boxed());
    res.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    res
}

/// The answer was cut before its end; the connection is closed so that the reader sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StreamError;

impl fmt::Display for StreamError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the answer was cut before its end")
    }
}

impl std::error::Error for StreamError {}

/// The sending end of a streamed answer. Dropping it ends the answer.
pub type StreamSender = mpsc::Sender<Result<Bytes, StreamError>>;

/// A streamed response that holds at most `depth` chunks. Its sender is closed when the reader
/// has gone.
///
/// An error that cuts the answer is told one poll late: the server writes out what it holds only
/// when the body has nothing ready, and throws it away on an error. Without the pause the reader
/// would miss chunks that were sent just before the cut.
pub fn stream(status: StatusCode, depth: usize) -> (StreamSender, HttpResponse) {
    let (tx, mut rx) = mpsc::channel(depth);
    let mut cut = None;
    let chunks = stream::poll_fn(move |cx| {
        if let Some(error) = cut.take() {
            return Poll::Ready(Some(Err(error)));
        }
        match rx.poll_recv(cx) {
            Poll::Ready(Some(Err(error))) => {
                cut = Some(error);
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
