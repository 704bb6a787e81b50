//! Events of a stream that its caller has not read yet.

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use ringbend_runtime::StreamChunk;
use tokio::sync::Notify;

use crate::buffers::{HeldBytes, NoRoom};

/// Maximum number of queued bytes. A larger event is queued alone.
const MAX_QUEUED_BYTES: usize = 64 << 10;

/// Counts the queued bytes of one stream.
#[derive(Debug, Default)]
pub(crate) struct EventQueue {
    bytes: Cell<usize>,
    taken: Notify,
}

/// A queued event.
pub(crate) struct QueuedEvent {
    remaining: Bytes,
    /// The length of the whole event.
    bytes: usize,
    queue: Rc<EventQueue>,
    _held: HeldBytes,
}

impl EventQueue {
    /// Waits until the caller has read enough to queue an event, whose bytes are counted in `held`.
    ///
    /// # Errors
    ///
    /// Other bodies take all the memory for them.
    pub(crate) async fn push(
        self: &Rc<Self>,
        event: Bytes,
        mut held: HeldBytes,
    ) -> Result<QueuedEvent, NoRoom> {
        let bytes = event.len();
        while self.bytes.get() > 0 && self.bytes.get() + bytes > MAX_QUEUED_BYTES {
            self.taken.notified().await;
        }
        held.reserve(bytes).await?;
        self.bytes.set(self.bytes.get() + bytes);
        Ok(QueuedEvent { remaining: event, bytes, queue: self.clone(), _held: held })
    }
}

impl StreamChunk for QueuedEvent {
    fn remaining(&mut self) -> &mut Bytes {
        &mut self.remaining
    }
}

impl Drop for QueuedEvent {
    fn drop(&mut self) {
        self.queue.bytes.set(self.queue.bytes.get() - self.bytes);
        self.queue.taken.notify_one();
    }
}
