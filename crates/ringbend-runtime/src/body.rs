//! Reading a request's body within bounds.

use std::fmt;
use std::time::Duration;

use actix_http::Payload;
use actix_http::error::PayloadError;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;

/// Why a body could not be read.
#[derive(Debug)]
pub enum BodyError {
    /// Longer than the limit, in bytes.
    TooLarge(usize),
    /// The sender was too slow.
    TooSlow,
    /// The connection broke or the body was malformed.
    Broken(PayloadError),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge(limit) => write!(f, "the body is longer than {limit} bytes"),
            Self::TooSlow => write!(f, "the body did not arrive in time"),
            Self::Broken(e) => write!(f, "the body could not be read: {e}"),
        }
    }
}

impl std::error::Error for BodyError {}

/// Reads a whole body of at most `limit` bytes within `time`.
///
/// # Errors
///
/// The body is too large, too slow, or broken.
pub async fn read_body(payload: Payload, limit: usize, time: Duration) -> Result<Bytes, BodyError> {
    read_body_with(payload, limit, time, |_| {}).await
}

/// The same, and shows each piece of the body as it comes.
///
/// # Errors
///
/// The body is too large, too slow, or broken.
pub async fn read_body_with(
    payload: Payload,
    limit: usize,
    time: Duration,
    show: impl FnMut(&[u8]),
) -> Result<Bytes, BodyError> {
    match tokio::time::timeout(time, collect(payload, limit, show)).await {
        Ok(body) => body,
        Err(_) => Err(BodyError::TooSlow),
    }
}

async fn collect(
    mut payload: Payload,
    limit: usize,
    mut show: impl FnMut(&[u8]),
) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    let mut only = None;
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(BodyError::Broken)?;
        if body.len() + only.as_ref().map_or(0, Bytes::len) + chunk.len() > limit {
            return Err(BodyError::TooLarge(limit));
        }
        show(&chunk);
        if body.is_empty() && only.is_none() {
            // Most bodies are one chunk, which is kept as it is.
            only = Some(chunk);
            continue;
        }
        if let Some(first) = only.take() {
            body.extend_from_slice(&first);
        }
        body.extend_from_slice(&chunk);
    }
    Ok(only.unwrap_or_else(|| body.freeze()))
}
