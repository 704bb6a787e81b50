//! Data centres that the operator evacuates: their endpoints take no requests until the evacuation
//! ends.
//!
//! The set is replicated as a whole with the position in the operator table's history that it
//! reflects. Of two copies the one with the later position is right, so instances converge whatever
//! the order and number of messages.

use ringbend_types::{Cursor, DataCentre};
use smallvec::SmallVec;

/// The start or the end of an evacuation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The endpoints of this data centre must get no requests.
    Started(DataCentre),
    /// The endpoints of this data centre may be used again.
    Ended(DataCentre),
}

/// The evacuated data centres as of a position in the operator table's history.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    position: Cursor,
    /// Sorted, so that equal sets compare equal.
    data_centres: SmallVec<[DataCentre; 2]>,
}

impl Evacuations {
    /// The data centres that were evacuated at `position`.
    pub fn new(position: Cursor, data_centres: impl IntoIterator<Item = DataCentre>) -> Self {
        let mut data_centres: SmallVec<[DataCentre; 2]> = data_centres.into_iter().collect();
        data_centres.sort();
        data_centres.dedup();
        Self { position, data_centres }
    }

    /// The position in the operator table's history up to which evacuations are known.
    pub fn position(&self) -> Cursor {
        self.position
    }

    /// The evacuated data centres, sorted.
    pub fn data_centres(&self) -> &[DataCentre] {
        &self.data_centres
    }

    /// Whether the endpoints of a data centre must get no requests.
    pub fn contains(&self, data_centre: &DataCentre) -> bool {
        self.data_centres.contains(data_centre)
    }

    /// This set with changes up to `position` applied in order. Changes before the own position are
    /// part of the set already; applying them again ends in the same state, as all changes up to
    /// the later position follow.
    pub fn with_changes(
        &self,
        position: Cursor,
        changes: impl IntoIterator<Item = EvacuationChange>,
    ) -> Self {
        let mut data_centres = self.data_centres.clone();
        for change in changes {
            match change {
                EvacuationChange::Started(started) => data_centres.push(started),
                EvacuationChange::Ended(ended) => data_centres.retain(|other| *other != ended),
            }
        }
        Self::new(position, data_centres)
    }

    /// Adopts `other` unless this copy is as recent. Returns whether the set has changed.
    pub fn merge(&mut self, other: Self) -> bool {
        if other.position <= self.position {
            return false;
        }
        let has_changed = other.data_centres != self.data_centres;
        *self = other;
        has_changed
    }
}
