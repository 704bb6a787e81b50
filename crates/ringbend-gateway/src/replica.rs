//! An instance's copy of the configuration. Its version never decreases, and its age is known.

use std::sync::Arc;
use std::time::Duration;

use ringbend_types::Timestamp;

use crate::freshness::{Freshness, Proof};
use crate::snapshot::{ConfigVersion, Snapshot};

/// The result of offering a configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferResult {
    /// It is in force now.
    Newer {
        /// The version it replaces.
        before: Option<ConfigVersion>,
    },
    /// It is already in force.
    Same,
    /// It is older than the one in force and was ignored.
    Older,
}

/// The configuration in force on this instance.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    snapshot: Option<Arc<Snapshot>>,
    freshness: Freshness,
    /// Whether a later configuration was seen that could not be decoded.
    unreadable: bool,
    /// Whether the store was last seen without the configuration in force or a later one, as after
    /// its return from an older copy.
    missing_in_store: bool,
}

impl Replica {
    /// Offers a configuration; one older than that in force is ignored.
    pub fn offer(&mut self, snapshot: Snapshot) -> OfferResult {
        let before = self.version();
        match before {
            Some(version) if snapshot.version < version => return OfferResult::Older,
            Some(version) if snapshot.version == version => return OfferResult::Same,
            _ => {}
        }
        self.snapshot = Some(Arc::new(snapshot));
        self.unreadable = false;
        OfferResult::Newer { before }
    }

    /// Records that a configuration was seen that cannot be decoded. The one in force may not be
    /// the newest then, so nothing proves it current until another one can be decoded.
    pub fn mark_unreadable(&mut self) {
        self.unreadable = true;
    }

    /// Whether a later configuration was seen that cannot be decoded.
    pub fn has_unreadable(&self) -> bool {
        self.unreadable
    }

    /// Records the configuration that the whole table was read with, if it holds one. If that is
    /// older than the one in force, the store has lost that one, and perhaps a later one that took
    /// keys away. Nothing proves the one in force current until the store has it again.
    pub fn note_stored(&mut self, stored: Option<ConfigVersion>) {
        self.missing_in_store = stored < self.version();
    }

    /// Records a response of the store that showed nothing newer than what has been offered.
    /// Returns the time at which it proves the copy current, if it does.
    pub fn prove(&mut self, proof: Proof, paired: bool) -> Option<Timestamp> {
        let proves = !self.unreadable && !self.missing_in_store;
        proves.then(|| self.freshness.prove(proof, paired))
    }

    /// Records that another instance proved `version` the newest at `at`, on this one's clock. This
    /// says nothing about any other version. Returns whether it proves this copy.
    pub fn prove_at(&mut self, version: ConfigVersion, at: Timestamp) -> bool {
        let proves = self.version() == Some(version) && !self.unreadable;
        if proves {
            self.freshness.prove_at(at);
        }
        proves
    }

    /// When it was last proved to be the newest.
    pub fn proved_at(&self) -> Option<Timestamp> {
        self.freshness.proved_at()
    }

    /// The configuration in force.
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// The version of the configuration in force.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.snapshot.as_ref().map(|s| s.version)
    }

    /// The time since it was last proved to be the newest.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.freshness.age(now)
    }
}
