//! The minimum share of each class, so that more urgent classes cannot take all capacity for ever.

use std::collections::BTreeMap;

/// What each class with waiting requests has not received of its minimum share, in starts.
pub(super) struct Arrears {
    share: f64,
    owed: BTreeMap<u8, f64>,
}

impl Arrears {
    pub(super) fn new(share: f64) -> Self {
        Self { share, owed: BTreeMap::new() }
    }

    /// Records a start; `waiting` are the classes that still have waiting requests. A class without
    /// waiting requests is owed nothing.
    pub(super) fn record_start(&mut self, rank: u8, waiting: impl Iterator<Item = u8>) {
        let mut before = std::mem::take(&mut self.owed);
        for waiting in waiting {
            let owed = before.remove(&waiting).unwrap_or(0.0);
            let owed = if waiting == rank { owed - 1.0 } else { owed + self.share };
            self.owed.insert(waiting, owed.clamp(0.0, 1.0));
        }
    }

    /// The most urgent of the waiting classes that is owed a start.
    pub(super) fn due(&self, mut waiting: impl Iterator<Item = u8>) -> Option<u8> {
        // Twenty shares of a twentieth add up to slightly less than one.
        waiting.find(|rank| self.owed.get(rank).is_some_and(|owed| *owed > 1.0 - self.share / 2.0))
    }
}
