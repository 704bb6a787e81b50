//! Response bodies whose guard is dropped once they have been written.

use std::convert::Infallible;
use std::error::Error;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;

/// Maximum chunk size when a body is written, in bytes.
const CHUNK_BYTES: usize = 16 << 10;

/// The body of a response, and what is released with it.
pub(crate) struct GuardedBody<G> {
    body: BoxBody,
    _guard: G,
}

impl<G> GuardedBody<G> {
    pub(crate) fn new(body: BoxBody, guard: G) -> Self {
        Self { body, _guard: guard }
    }
}

impl<G: Unpin> MessageBody for GuardedBody<G> {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        Pin::new(&mut self.body).poll_next(cx)
    }
}

/// The bytes of a response, and what is released with them.
pub(crate) struct GuardedBytes<G> {
    remaining: Bytes,
    _guard: G,
}

impl<G> GuardedBytes<G> {
    pub(crate) fn new(remaining: Bytes, guard: G) -> Self {
        Self { remaining, _guard: guard }
    }
}

impl<G: Unpin> MessageBody for GuardedBytes<G> {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.remaining.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        let size = self.remaining.len().min(CHUNK_BYTES);
        let chunk = self.remaining.split_to(size);
        Poll::Ready((size > 0).then_some(Ok(chunk)))
    }
}
