//! A limit on the memory used by request bodies.

use std::cell::Cell;
use std::rc::Rc;

/// The memory budget of all request bodies.
pub(crate) struct BodyBudget {
    remaining: Rc<Cell<usize>>,
}

/// Memory reserved for a body; dropping it releases the memory.
pub(crate) struct BodyPermit {
    remaining: Rc<Cell<usize>>,
    bytes: usize,
}

impl BodyBudget {
    pub(crate) fn new(bytes: usize) -> Self {
        Self { remaining: Rc::new(Cell::new(bytes)) }
    }

    /// Reserves `bytes`; `None` if less than that is left.
    pub(crate) fn take(&self, bytes: usize) -> Option<BodyPermit> {
        let remaining = self.remaining.get().checked_sub(bytes)?;
        self.remaining.set(remaining);
        Some(BodyPermit { remaining: self.remaining.clone(), bytes })
    }
}

impl BodyPermit {
    /// Releases what was reserved beyond `bytes`.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        let unused = self.bytes.saturating_sub(bytes);
        self.bytes -= unused;
        self.remaining.set(self.remaining.get() + unused);
    }
}

impl Drop for BodyPermit {
    fn drop(&mut self) {
        self.remaining.set(self.remaining.get() + self.bytes);
    }
}
