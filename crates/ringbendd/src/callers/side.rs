//! The caller's side of a request: waiting for the head of its answer, then reading it.

use std::time::Duration;

use bytes::Bytes;
use ringbend_runtime::{HttpResponse, StreamSender};
use tokio::sync::oneshot;

/// A caller that does not read for this long is taken for gone.
const STALLED: Duration = Duration::from_secs(5);

/// Where the answer goes.
pub(crate) enum CallerSide {
    /// Nothing has been answered yet.
    Waiting(oneshot::Sender<HttpResponse>),
    /// The head is out; the body follows.
    Streaming(StreamSender),
    /// The answer has ended.
    Ended,
}

/// The caller hung up or stopped reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct CallerGone;

impl CallerSide {
    /// Resolves when the caller has gone.
    pub(crate) async fn gone(&mut self) {
        match self {
            Self::Waiting(tx) => tx.closed().await,
            Self::Streaming(tx) => tx.closed().await,
            Self::Ended => std::future::pending().await,
        }
    }

    /// Whether nothing has been answered yet.
    pub(crate) fn is_waiting(&self) -> bool {
        matches!(self, Self::Waiting(_))
    }

    /// Answers with a whole response.
    pub(crate) fn respond(&mut self, res: HttpResponse) {
        if let Self::Waiting(tx) = std::mem::replace(self, Self::Ended) {
            let _ = tx.send(res);
        }
    }

    /// Answers with the head of a streamed response.
    pub(crate) fn begin(&mut self, res: HttpResponse, body: StreamSender) {
        if let Self::Waiting(tx) = std::mem::replace(self, Self::Streaming(body)) {
            let _ = tx.send(res);
        }
    }

    /// Passes a chunk on, within `left`, the time until the request's deadline.
    pub(crate) async fn write(&mut self, chunk: Bytes, left: Duration) -> Result<(), CallerGone> {
        let Self::Streaming(tx) = self else { return Ok(()) };
        if let Ok(place) = tx.try_reserve() {
            place.send(Ok(chunk));
            return Ok(());
        }
        match tokio::time::timeout(STALLED.min(left), tx.send(Ok(chunk))).await {
            Ok(Ok(())) => Ok(()),
            _ => Err(CallerGone),
        }
    }
}
