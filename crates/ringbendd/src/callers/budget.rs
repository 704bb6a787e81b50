//! A bound on the memory of all bodies held at once.

use std::cell::Cell;
use std::rc::Rc;

/// How much may still be held.
pub(crate) struct BodyBudget {
    left: Rc<Cell<usize>>,
}

/// Memory taken out of the budget; dropping it gives it back.
pub(crate) struct BodyPermit {
    left: Rc<Cell<usize>>,
    bytes: usize,
}

impl BodyBudget {
    pub(crate) fn new(bytes: usize) -> Self {
        Self { left: Rc::new(Cell::new(bytes)) }
    }

    /// Takes `bytes` out, when they are there.
    pub(crate) fn take(&self, bytes: usize) -> Option<BodyPermit> {
        let left = self.left.get().checked_sub(bytes)?;
        self.left.set(left);
        Some(BodyPermit { left: self.left.clone(), bytes })
    }
}

impl BodyPermit {
    /// Gives back what is not needed beyond `bytes`.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        let over = self.bytes.saturating_sub(bytes);
        self.bytes -= over;
        self.left.set(self.left.get() + over);
    }
}

impl Drop for BodyPermit {
    fn drop(&mut self) {
        self.left.set(self.left.get() + self.bytes);
    }
}
