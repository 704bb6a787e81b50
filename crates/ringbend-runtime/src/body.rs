//! Reading request bodies within a size and a time limit.

use std::fmt;
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

impl From<PayloadError> for BodyError {
    fn from(e: PayloadError) -> Self {
        match e {
            // The connection is closed to make room for others.
            PayloadError::Io(e) if e.kind() == std::io::ErrorKind::OutOfMemory => Self::NoRoom,
            e => Self::Broken(e),
        }
    }
}

/// Reads a complete body of at most `limit` bytes within `time`.
///
/// # Errors
///
/// Fails if the body is too large, too slow or malformed.
pub async fn read_body(payload: Payload, limit: usize, time: Duration) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    read_chunks(payload, time, async |chunk| {
        if body.len() + chunk.len() > limit {
            return Err(BodyError::TooLarge(limit));
        }
        body.extend_from_slice(&chunk);
        Ok(())
    })
    .await?;
    Ok(body.freeze())
}

/// Reads a complete body within `time` and passes each chunk to `on_chunk` as it arrives. Reading ends
/// if that fails.
///
/// # Errors
///
/// Fails if the body is too slow or malformed, or `on_chunk` fails.
pub async fn read_chunks(
    mut payload: Payload,
    time: Duration,
    mut on_chunk: impl AsyncFnMut(Bytes) -> Result<(), BodyError>,
) -> Result<(), BodyError> {
    let read = async {
        while let Some(chunk) = payload.next().await {
            on_chunk(chunk.map_err(BodyError::from)?).await?;
        }
        Ok(())
    };
    tokio::time::timeout(time, read).await.unwrap_or(Err(BodyError::TooSlow))
}
