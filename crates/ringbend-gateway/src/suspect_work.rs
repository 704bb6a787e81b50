//! The endpoints where suspects run or recently ran.

use std::collections::BTreeSet;
use std::time::Duration;

use ringbend_types::{EndpointId, Fingerprint, Timestamp};
use smallvec::SmallVec;

use crate::load::WorkId;

/// How long after a suspect's run on an endpoint a crash of that endpoint is still attributed to
/// it. A crash follows its cause within 100 ms, even if the request was cancelled, and is detected
/// and propagated within another 100 ms. Otherwise an unrelated request that arrives in between
/// would get the strike.
const ATTRIBUTION_TIME: Duration = Duration::from_millis(250);

/// A run of a suspect that has ended.
#[derive(Debug, Clone)]
struct RecentRun {
    suspect: Fingerprint,
    on: SmallVec<[EndpointId; 4]>,
    until: Timestamp,
}

/// The open work of suspects, and their runs that have just ended.
#[derive(Debug, Clone, Default)]
pub(crate) struct SuspectWork {
    /// A small subset of all open work, which is about ten thousand entries.
    open: BTreeSet<WorkId>,
    recent: Vec<RecentRun>,
}

impl SuspectWork {
    /// Marks open work as belonging to a suspect.
    pub(crate) fn begin(&mut self, id: WorkId) {
        self.open.insert(id);
    }

    /// The open work of suspects.
    pub(crate) fn open(&self) -> impl Iterator<Item = &WorkId> {
        self.open.iter()
    }

    /// Records that work has ended. It may belong to a suspect.
    pub(crate) fn end<'a>(
        &mut self,
        now: Timestamp,
        id: WorkId,
        suspect: Option<Fingerprint>,
        on: impl Iterator<Item = &'a EndpointId>,
    ) {
        self.open.remove(&id);
        let Some(suspect) = suspect else { return };
        self.recent.retain(|recent| recent.until > now);
        self.recent.push(RecentRun {
            suspect,
            on: on.cloned().collect(),
            until: now + ATTRIBUTION_TIME,
        });
    }

    /// The suspects whose runs on this endpoint have just ended.
    pub(crate) fn recent(
        &self,
        now: Timestamp,
        endpoint: &EndpointId,
    ) -> impl Iterator<Item = Fingerprint> {
        let was_there =
            move |recent: &&RecentRun| recent.until > now && recent.on.contains(endpoint);
        self.recent.iter().filter(was_there).map(|recent| recent.suspect)
    }
}
