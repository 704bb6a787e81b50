//! The endpoints where suspects run or recently ran.

use std::collections::BTreeSet;
use std::time::Duration;

use ringbend_types::{EndpointId, Fingerprint, Timestamp};
use smallvec::SmallVec;

use crate::load::WorkId;
use crate::quarantine::Suspects;

/// How long after a suspect's run on an endpoint a crash of that endpoint is still attributed to
/// it. A crash follows its cause within 100 ms, even if the request was cancelled, and is detected
/// and propagated within another 100 ms. Otherwise an unrelated request that arrives in between
/// would get the strike.
const ATTRIBUTION_TIME: Duration = Duration::from_millis(250);

/// A run of a suspect that has ended.
#[derive(Debug, Clone)]
struct RecentRun {
    suspects: Suspects,
    on: SmallVec<[EndpointId; 4]>,
    ended_at: Timestamp,
}

impl RecentRun {
    /// Whether its endpoint may still crash because of it.
    fn is_undecided(&self, now: Timestamp) -> bool {
        now.since(self.ended_at) < ATTRIBUTION_TIME
    }
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
        suspects: Suspects,
        on: impl Iterator<Item = &'a EndpointId>,
    ) {
        self.open.remove(&id);
        if suspects.is_empty() {
            return;
        }
        self.recent.retain(|recent| recent.is_undecided(now));
        self.recent.push(RecentRun { suspects, on: on.cloned().collect(), ended_at: now });
    }

    /// When the latest run of a suspect ended whose endpoint may still crash because of it.
    pub(crate) fn last_ended(&self, now: Timestamp, suspect: Fingerprint) -> Option<Timestamp> {
        let of_suspect = self.recent.iter().filter(|recent| recent.suspects.contains(&suspect));
        of_suspect.filter(|recent| recent.is_undecided(now)).map(|recent| recent.ended_at).max()
    }

    /// Forgets the runs on an endpoint that has crashed.
    pub(crate) fn forget(&mut self, endpoint: &EndpointId) {
        self.recent.retain(|recent| !recent.on.contains(endpoint));
    }

    /// The suspects whose runs on this endpoint have just ended.
    pub(crate) fn recent(
        &self,
        now: Timestamp,
        endpoint: &EndpointId,
    ) -> impl Iterator<Item = Fingerprint> {
        let was_there =
            move |recent: &&RecentRun| recent.is_undecided(now) && recent.on.contains(endpoint);
        self.recent.iter().filter(was_there).flat_map(|recent| recent.suspects.iter().copied())
    }
}
