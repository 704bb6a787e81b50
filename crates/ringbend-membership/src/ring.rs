//! Whom an instance talks to: among few all, among many a few that stay the same.
//!
//! Instances are ordered by a hash of their name, as a ring. Each one's partners are those one,
//! two, four, eight … places on. So each instance has the same number of partners and is the
//! partner of as many others, news reaches all in a logarithm of hops, and connections are kept
//! rather than opened for each round.

use ringbend_types::InstanceId;
use xxhash_rust::xxh3::xxh3_64;

/// Among up to this many others, all are partners.
const MAX_FULL_MESH: usize = 12;

/// The ring of all live instances, as one of them sees it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Ring {
    partners: Vec<InstanceId>,
    stale: bool,
}

impl Ring {
    /// The live instances have changed.
    pub(crate) fn changed(&mut self) {
        self.stale = true;
    }

    /// The partners of `own` among the `others` that live.
    pub(crate) fn partners<'a>(
        &mut self,
        own: &InstanceId,
        others: impl Iterator<Item = &'a InstanceId>,
    ) -> &[InstanceId] {
        if std::mem::take(&mut self.stale) {
            self.partners = choose(own, others.cloned().collect());
        }
        &self.partners
    }
}

fn choose(own: &InstanceId, others: Vec<InstanceId>) -> Vec<InstanceId> {
    if others.len() <= MAX_FULL_MESH {
        return others;
    }
    let place = |id: &InstanceId| (xxh3_64(id.as_str().as_bytes()), id.clone());
    let mut ring = others;
    ring.push(own.clone());
    ring.sort_by_cached_key(place);
    let at = ring.iter().position(|id| id == own).unwrap_or(0);
    let mut partners = Vec::new();
    let mut step = 1;
    while step < ring.len() {
        partners.push(ring[(at + step) % ring.len()].clone());
        step *= 2;
    }
    partners
}
