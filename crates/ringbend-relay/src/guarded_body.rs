//! A response body whose guard is dropped once it has been written.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use actix_http::body::{BodySize, MessageBody};
use bytes::Bytes;

/// Maximum chunk size when a body is written, in bytes.
const CHUNK_BYTES: usize = 16 << 10;

/// The body of a response, and what is released with it.
pub(crate) struct GuardedBody<G> {
    remaining: Bytes,
    _guard: G,
}

impl<G> GuardedBody<G> {
    pub(crate) fn new(remaining: Bytes, guard: G) -> Self {
        Self { remaining, _guard: guard }
    }
}

impl<G: Unpin> MessageBody for GuardedBody<G> {
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
