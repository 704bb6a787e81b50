//! Reading request bodies within a size and a time limit.

use std::fmt;
use std::ops::ControlFlow;
use std::time::Duration;

use actix_http::Payload;
use actix_http::error::PayloadError;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;

/// The reason why a body could not be read.
#[derive(Debug)]
pub enum BodyError {
    /// The body exceeds the limit; holds the limit in bytes.
    TooLarge(usize),
    /// The body did not arrive in time.
    TooSlow,
    /// The connection failed or the body is malformed.
    Broken(PayloadError),
    /// The reader has no room for the body.
    NoRoom,
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(limit) => write!(f, "the body is longer than {limit} bytes"),
            Self::TooSlow => write!(f, "the body did not arrive in time"),
            Self::Broken(e) => write!(f, "the body could not be read: {e}"),
            Self::NoRoom => write!(f, "there is no room for the body"),
        }
    }
}

impl std::error::Error for BodyError {}

/// Reads a complete body of at most `limit` bytes within `time`.
///
/// # Errors
///
/// Fails if the body is too large, too slow or malformed.
pub async fn read_body(payload: Payload, limit: usize, time: Duration) -> Result<Bytes, BodyError> {
    read_body_with(payload, limit, time, |_| ControlFlow::Continue(())).await
}

/// Like [`read_body`], and calls `on_chunk` with each chunk of the body as it arrives. Reading ends with
/// [`BodyError::NoRoom`] if it breaks.
///
/// # Errors
///
/// Fails if the body is too large, too slow or malformed, or there is no room for it.
pub async fn read_body_with(
    payload: Payload,
    limit: usize,
    time: Duration,
    on_chunk: impl FnMut(&[u8]) -> ControlFlow<()>,
) -> Result<Bytes, BodyError> {
    match tokio::time::timeout(time, collect(payload, limit, on_chunk)).await {
        Ok(body) => body,
        Err(_) => Err(BodyError::TooSlow),
    }
}

async fn collect(
    mut payload: Payload,
    limit: usize,
    mut on_chunk: impl FnMut(&[u8]) -> ControlFlow<()>,
) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    let mut first_chunk = None;
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(BodyError::Broken)?;
        if body.len() + first_chunk.as_ref().map_or(0, Bytes::len) + chunk.len() > limit {
            return Err(BodyError::TooLarge(limit));
        }
        if on_chunk(&chunk).is_break() {
            return Err(BodyError::NoRoom);
        }
        if body.is_empty() && first_chunk.is_none() {
            // Most bodies are a single chunk, which is kept without copying.
            first_chunk = Some(chunk);
            continue;
        }
        if let Some(first) = first_chunk.take() {
            body.extend_from_slice(&first);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(first_chunk.unwrap_or_else(|| body.freeze()))
}
