//! The receiver of a response: first waiting for its head, then reading its body.

use std::time::Duration;

use bytes::Bytes;
use ringbend_runtime::{HttpResponse, StreamSender};
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::oneshot;

/// A caller that reads nothing for this long counts as disconnected.
const STALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Where the response goes.
pub(crate) enum ResponseSink {
    /// Nothing has been sent yet.
    Waiting(oneshot::Sender<HttpResponse>),
    /// The head has been sent and the body is being streamed.
    Streaming(StreamSender),
    /// The response is complete.
    Ended,
}

/// The caller disconnected or stopped reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallerGone;

impl ResponseSink {
    /// Resolves when the caller disconnects.
    pub(crate) async fn closed(&mut self) {
        match self {
            Self::Waiting(tx) => tx.closed().await,
            Self::Streaming(tx) => tx.closed().await,
            Self::Ended => std::future::pending().await,
        }
    }

    /// Returns whether nothing has been sent yet.
    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self, Self::Waiting(_))
    }

    /// Sends a complete response.
    pub(crate) fn respond(&mut self, res: HttpResponse) {
        if let Self::Waiting(tx) = std::mem::replace(self, Self::Ended) {
            let _ = tx.send(res);
        }
    }

    /// Sends the head of a streamed response.
    pub(crate) fn begin(&mut self, res: HttpResponse, body: StreamSender) {
        if let Self::Waiting(tx) = std::mem::replace(self, Self::Streaming(body)) {
            let _ = tx.send(res);
        }
    }

    /// Ends a streamed response. One that is not ended is aborted.
    pub(crate) fn finish(&mut self) {
        if let Self::Streaming(tx) = std::mem::replace(self, Self::Ended) {
            tx.finish();
        }
    }

    /// Writes a chunk of the body. `remaining` is the time until the request's deadline.
    pub(crate) async fn write(
        &mut self,
        chunk: Bytes,
        remaining: Duration,
    ) -> Result<(), CallerGone> {
        let Self::Streaming(tx) = self else { return Ok(()) };
        let chunk = match tx.try_send(Ok(chunk)) {
            Ok(()) => return Ok(()),
            Err(TrySendError::Full(chunk)) => chunk,
            Err(TrySendError::Closed(_)) => return Err(CallerGone),
        };
        match tokio::time::timeout(STALL_TIMEOUT.min(remaining), tx.send(chunk)).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(CallerGone),
        }
    }
}
