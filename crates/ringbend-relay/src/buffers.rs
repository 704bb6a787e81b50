//! Bound on the bytes of bodies that this instance holds for callers and endpoints.
//!
//! A caller that sends or reads slowly makes the instance hold a body for a long time. Without a
//! bound, many of them at once exhaust the memory of the process, which ends all requests.

use std::cell::Cell;
use std::rc::Rc;

/// The share of the memory of the process that bodies may take.
const BODY_SHARE: f64 = 0.5;

/// The share of that which bodies of requests may take. The rest is left for responses, whose
/// requests have run already.
const REQUEST_SHARE: f64 = 0.75;

/// Bytes per megabyte.
const MEGABYTE: f64 = 1_048_576.0;

/// Counts the bytes of all bodies that are held.
#[derive(Debug)]
pub(crate) struct BufferBudget {
    limit: usize,
    held: Cell<usize>,
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
    /// Creates the budget of a process that may use this much memory.
    pub(crate) fn new(memory_mb: f64) -> Rc<Self> {
        let limit = (memory_mb * MEGABYTE * BODY_SHARE) as usize;
        Rc::new(Self { limit, held: Cell::new(0) })
    }

    /// The bytes that are held.
    pub(crate) fn held(&self) -> usize {
        self.held.get()
    }

    /// Starts to count a body.
    pub(crate) fn body(self: &Rc<Self>, kind: BodyKind) -> HeldBytes {
        HeldBytes { budget: self.clone(), kind, bytes: 0 }
    }

    fn limit_of(&self, kind: BodyKind) -> usize {
        match kind {
            BodyKind::Request => (self.limit as f64 * REQUEST_SHARE) as usize,
            BodyKind::Response => self.limit,
        }
    }
}

impl HeldBytes {
    /// Counts further bytes of the body.
    ///
    /// # Errors
    ///
    /// There is no room for them.
    pub(crate) fn add(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let held = self.budget.held() + bytes;
        if held > self.budget.limit_of(self.kind) {
            return Err(NoRoom);
        }
        self.budget.held.set(held);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for HeldBytes {
    fn drop(&mut self) {
        self.budget.held.set(self.budget.held() - self.bytes);
    }
}
