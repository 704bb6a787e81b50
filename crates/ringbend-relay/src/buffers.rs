//! Bound on the bytes of bodies that this instance holds for callers and endpoints.
//!
//! A caller that sends or reads slowly makes the instance hold a body for a long time. Without a
//! bound, many of them at once exhaust the memory of the process, which ends all requests.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use ringbend_runtime::Connections;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The share of the room for bodies that those of requests may take. The rest is left for responses, whose
/// requests have run already.
const REQUEST_SHARE: f64 = 0.75;

/// The share of either that large bodies may take. The rest is left for small ones.
const LARGE_SHARE: f64 = 15.0 / 16.0;

/// Maximum size of a small body, in bytes.
const SMALL_BODY_BYTES: usize = 64 << 10;

/// The first capacity of a body of unknown size, in bytes.
const FIRST_CAPACITY: usize = 4 << 10;

/// How long a body waits for the room of connections that are closed for it.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(100);

/// Counts the bytes of all bodies that are held.
#[derive(Debug)]
pub(crate) struct BufferBudget {
    limit: usize,
    requests: Cell<usize>,
    responses: Cell<usize>,
    /// Notified when bytes are released.
    released: Notify,
    /// Callers' connections. Those whose client stalls are closed when there is no room.
    connections: Rc<Connections>,
}

/// There is no room for further bytes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct NoRoom;

/// What a body belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyKind {
    Request,
    Response,
}

/// Counts the bytes of one body until it is dropped.
#[derive(Debug)]
pub(crate) struct HeldBytes {
    budget: Rc<BufferBudget>,
    kind: BodyKind,
    bytes: usize,
}

impl BufferBudget {
    /// Creates a budget of `limit` bytes.
    pub(crate) fn new(limit: usize, connections: Rc<Connections>) -> Rc<Self> {
        Rc::new(Self {
            limit,
            requests: Cell::default(),
            responses: Cell::default(),
            released: Notify::new(),
            connections,
        })
    }

    /// The bytes that are held.
    pub(crate) fn held(&self) -> usize {
        self.requests.get() + self.responses.get()
    }

    /// Starts to count a body.
    pub(crate) fn body(self: &Rc<Self>, kind: BodyKind) -> HeldBytes {
        HeldBytes { budget: self.clone(), kind, bytes: 0 }
    }

    fn counter(&self, kind: BodyKind) -> &Cell<usize> {
        match kind {
            BodyKind::Request => &self.requests,
            BodyKind::Response => &self.responses,
        }
    }

    /// Whether a body that has `size` bytes then may take `bytes` more.
    fn has_room(&self, kind: BodyKind, size: usize, bytes: usize) -> bool {
        let share = if size > SMALL_BODY_BYTES { LARGE_SHARE } else { 1.0 };
        let limit = self.limit as f64 * share;
        let fits = |held: usize, limit: f64| (held + bytes) as f64 <= limit;
        let kind_fits = match kind {
            BodyKind::Request => fits(self.requests.get(), limit * REQUEST_SHARE),
            BodyKind::Response => true,
        };
        kind_fits && fits(self.held(), limit)
    }
}

impl HeldBytes {
    /// Counts further bytes of the body.
    ///
    /// # Errors
    ///
    /// There is no room for them.
    fn add(&mut self, bytes: usize) -> Result<(), NoRoom> {
        if !self.budget.has_room(self.kind, self.bytes + bytes, bytes) {
            return Err(NoRoom);
        }
        let counter = self.budget.counter(self.kind);
        counter.set(counter.get() + bytes);
        self.bytes += bytes;
        Ok(())
    }

    /// Counts further bytes of the body. Closes connections whose client stalls if they take the room.
    ///
    /// # Errors
    ///
    /// There is no room for them.
    pub(crate) async fn reserve(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let budget = self.budget.clone();
        let until = Instant::now() + RELEASE_TIMEOUT;
        loop {
            let mut released = std::pin::pin!(budget.released.notified());
            // Registered before the check, so that no notification in between is missed.
            released.as_mut().enable();
            if self.add(bytes).is_ok() {
                return Ok(());
            }
            if !budget.connections.close_stalled() {
                return Err(NoRoom);
            }
            tokio::time::timeout_at(until, released).await.map_err(|_| NoRoom)?;
        }
    }

    /// Counts this many bytes in place of those that were counted before.
    ///
    /// # Errors
    ///
    /// There is no room for the further ones.
    pub(crate) async fn resize(&mut self, bytes: usize) -> Result<(), NoRoom> {
        match bytes.checked_sub(self.bytes) {
            Some(0) => Ok(()),
            Some(more) => self.reserve(more).await,
            None => {
                self.release(self.bytes - bytes);
                Ok(())
            }
        }
    }

    fn release(&mut self, bytes: usize) {
        let counter = self.budget.counter(self.kind);
        counter.set(counter.get() - bytes);
        self.bytes -= bytes;
        self.budget.released.notify_waiters();
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.release(self.bytes);
    }
}

/// A body that is being read. Its capacity is counted, as that is what it takes of the memory.
pub(crate) struct BodyBuffer {
    bytes: BytesMut,
    held: HeldBytes,
    limit: usize,
}

impl BodyBuffer {
    /// Creates the buffer of a body of at most `limit` bytes. If its size is known, its room is
    /// reserved now, so that a body which does not fit is refused before it is read.
    ///
    /// # Errors
    ///
    /// There is no room for a body of this size.
    pub(crate) async fn new(
        mut held: HeldBytes,
        size: Option<usize>,
        limit: usize,
    ) -> Result<Self, NoRoom> {
        let capacity = size.unwrap_or_default().min(limit);
        held.reserve(capacity).await?;
        Ok(Self { bytes: BytesMut::with_capacity(capacity), held, limit })
    }

    /// Whether the body exceeds its limit with `bytes` more.
    pub(crate) fn exceeds_limit(&self, bytes: usize) -> bool {
        self.bytes.len() + bytes > self.limit
    }

    /// Appends a part of the body.
    ///
    /// # Errors
    ///
    /// There is no room for it.
    pub(crate) async fn push(&mut self, part: &[u8]) -> Result<(), NoRoom> {
        let size = self.bytes.len() + part.len();
        if size > self.bytes.capacity() {
            self.grow(size).await?;
        }
        self.bytes.extend_from_slice(part);
        Ok(())
    }

    async fn grow(&mut self, size: usize) -> Result<(), NoRoom> {
        let old = self.bytes.capacity();
        let capacity = (2 * old).max(FIRST_CAPACITY).min(self.limit).max(size);
        // Both exist while the bytes are copied.
        self.held.reserve(capacity).await?;
        let mut grown = BytesMut::with_capacity(capacity);
        grown.extend_from_slice(&self.bytes);
        self.bytes = grown;
        self.held.release(old);
        Ok(())
    }

    /// The complete body, and what counts its bytes.
    pub(crate) fn finish(self) -> (Bytes, HeldBytes) {
        (self.bytes.freeze(), self.held)
    }
}
