//! The fingerprints by which crashes are attributed to a request: its own, and those of the parts of
//! its prompt.

use std::cell::OnceCell;

use ringbend_gateway::{Assessment, MAX_SUSPECTS, Quarantine, SuspectState, Suspects};
use ringbend_types::{Fingerprint, PromptPartId, ServiceName, SharedParts};
use smallvec::SmallVec;

use crate::fingerprint::part_fingerprint;

/// Strikes of a request and of its parts, in the order of [`SuspectKeys::all`].
pub(crate) type StrikeCounts = SmallVec<[usize; 4]>;

/// The fingerprints of a request and of the parts of its prompt.
#[derive(Debug)]
pub(crate) struct SuspectKeys {
    /// Equal for repeats of the same request under another request id.
    pub(crate) request: Fingerprint,
    /// The parts that other requests may have as well.
    pub(crate) parts: SharedParts,
    service: ServiceName,
    /// Computed only once some part is known to have strikes.
    part_keys: OnceCell<SmallVec<[Fingerprint; 4]>>,
}

impl SuspectKeys {
    pub(crate) fn new(request: Fingerprint, service: ServiceName, parts: SharedParts) -> Self {
        Self { request, parts, service, part_keys: OnceCell::new() }
    }

    /// The fingerprints of the parts, in order.
    pub(crate) fn part_keys(&self) -> &[Fingerprint] {
        self.part_keys.get_or_init(|| {
            let parts = self.parts.as_slice().iter();
            parts.map(|part| part_fingerprint(&self.service, part.id)).collect()
        })
    }

    /// The parts and their fingerprints, in order.
    pub(crate) fn keyed_parts(&self) -> impl Iterator<Item = (Fingerprint, PromptPartId)> {
        self.part_keys().iter().copied().zip(self.parts.as_slice().iter().map(|part| part.id))
    }

    /// The fingerprints of the parts, and then that of the request.
    pub(crate) fn all(&self) -> impl Iterator<Item = Fingerprint> + Clone {
        self.part_keys().iter().copied().chain([self.request])
    }

    /// The fingerprints by which the request is kept apart from others while it is suspected.
    pub(crate) fn suspects(&self) -> Suspects {
        let parts = self.part_keys().iter().copied().take(MAX_SUSPECTS - 1);
        parts.chain([self.request]).collect()
    }

    /// How the request is treated.
    pub(crate) fn assess(&self, quarantine: &Quarantine) -> Assessment {
        if quarantine.is_empty() {
            return Assessment { state: SuspectState::Clear, cause: None };
        }
        quarantine.assess(self.all())
    }

    /// The current strikes; empty if nothing has any.
    pub(crate) fn strikes(&self, quarantine: &Quarantine) -> StrikeCounts {
        if quarantine.is_empty() {
            return StrikeCounts::new();
        }
        self.all().map(|fingerprint| quarantine.strikes(fingerprint)).collect()
    }
}
