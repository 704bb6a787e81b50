//! Where suspects run, and where they ran a moment ago.

use std::collections::BTreeSet;
use std::time::Duration;

use ringbend_types::{EndpointId, Fingerprint, Timestamp};
use smallvec::SmallVec;

use crate::load::WorkId;

/// How long after a suspect's run on an endpoint a crash of that endpoint is still attributed to it. A crash follows
/// its cause within 100 ms, even if the request was cancelled, and is detected and propagated within another 100 ms.
/// Without this delay an unrelated request that arrives in between would get the strike.
const AFTERMATH: Duration = Duration::from_millis(250);

/// A run of a suspect that is over.
#[derive(Debug, Clone)]
struct Left {
    suspect: Fingerprint,
    on: SmallVec<[EndpointId; 4]>,
    until: Timestamp,
}

/// The open work of suspects, and the runs of them that have just ended.
#[derive(Debug, Clone, Default)]
pub(crate) struct SuspectWork {
    /// Few, where all open work is some ten thousand.
    open: BTreeSet<WorkId>,
    left: Vec<Left>,
}

impl SuspectWork {
    /// Notes that open work belongs to a suspect.
    pub(crate) fn begin(&mut self, id: WorkId) {
        self.open.insert(id);
    }

    /// The open work of suspects.
    pub(crate) fn open(&self) -> impl Iterator<Item = &WorkId> {
        self.open.iter()
    }

    /// Notes that work has ended that may belong to a suspect.
    pub(crate) fn end<'a>(
        &mut self,
        now: Timestamp,
        id: WorkId,
        suspect: Option<Fingerprint>,
        on: impl Iterator<Item = &'a EndpointId>,
    ) {
        self.open.remove(&id);
        let Some(suspect) = suspect else { return };
        self.left.retain(|left| left.until > now);
        self.left.push(Left { suspect, on: on.cloned().collect(), until: now + AFTERMATH });
    }

    /// The suspects whose runs on this endpoint have just ended.
    pub(crate) fn left(
        &self,
        now: Timestamp,
        endpoint: &EndpointId,
    ) -> impl Iterator<Item = Fingerprint> {
        let was_there = move |left: &&Left| left.until > now && left.on.contains(endpoint);
        self.left.iter().filter(was_there).map(|left| left.suspect)
    }
}
