//! An instance's copy of the configuration: only rises, and knows how old it may be.

use std::sync::Arc;
use std::time::Duration;

use ringbend_types::Timestamp;

use crate::freshness::{Freshness, Proof};
use crate::snapshot::{ConfigVersion, Snapshot};

/// What became of a configuration that was read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferResult {
    /// It is in force now.
    Newer {
        /// The version it replaces.
        before: Option<ConfigVersion>,
    },
    /// It is the one in force.
    Same,
    /// It is older than the one in force and was ignored.
    Older,
}

/// The configuration in force on this instance.
#[derive(Debug, Clone, Default)]
pub struct Replica {
    snapshot: Option<Arc<Snapshot>>,
    freshness: Freshness,
    /// A later configuration was seen and could not be read.
    missed: bool,
}

impl Replica {
    /// Takes in a configuration; one that is older than the one in force is ignored.
    pub fn offer(&mut self, snapshot: Snapshot) -> OfferResult {
        let before = self.version();
        match before {
            Some(version) if snapshot.version < version => return OfferResult::Older,
            Some(version) if snapshot.version == version => return OfferResult::Same,
            _ => {}
        }
        self.snapshot = Some(Arc::new(snapshot));
        self.missed = false;
        OfferResult::Newer { before }
    }

    /// Notes that a configuration was seen that cannot be read. The one in force may not be the
    /// newest then, so nothing proves it until another one can be read.
    pub fn mark_unreadable(&mut self) {
        self.missed = true;
    }

    /// Whether a later configuration was seen that cannot be read.
    pub fn has_unreadable(&self) -> bool {
        self.missed
    }

    /// Notes an answer of the store that showed nothing newer than what has been offered.
    pub fn prove(&mut self, proof: Proof, paired: bool) {
        if !self.missed {
            self.freshness.prove(proof, paired);
        }
    }

    /// Notes that another instance proved `version` the newest at `at`, on this one's clock. Says
    /// nothing about any other version.
    pub fn prove_at(&mut self, version: ConfigVersion, at: Timestamp) {
        if self.version() == Some(version) && !self.missed {
            self.freshness.prove_at(at);
        }
    }

    /// When it was last proved the newest.
    pub fn proved_at(&self) -> Option<Timestamp> {
        self.freshness.proved_at()
    }

    /// The configuration in force.
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.snapshot.as_ref()
    }

    /// Its version.
    pub fn version(&self) -> Option<ConfigVersion> {
        self.snapshot.as_ref().map(|s| s.version)
    }

    /// How long ago it was last proved to be the newest.
    pub fn age(&self, now: Timestamp) -> Option<Duration> {
        self.freshness.age(now)
    }
}
