//! Selection of gossip partners. In a small fleet all instances are partners; in a large one each instance
//! has a few, stable partners.
//!
//! Instances form a ring, ordered by a hash of their id. The partners of an instance are the ones at
//! distances 1, 2, 4, 8, … on the ring. So all instances have the same number of partners and are the
//! partner of equally many others, updates reach all instances in a logarithmic number of hops, and
//! connections are reused instead of opened for each round.

use ringbend_types::InstanceId;
use xxhash_rust::xxh3::xxh3_64;

/// Up to this number of other instances, all of them are partners.
const MAX_FULL_MESH: usize = 12;

/// The ring of all live instances, from the view of one of them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Ring {
    partners: Vec<InstanceId>,
    stale: bool,
}

impl Ring {
    /// Marks the ring as outdated after a change of the live instances.
    pub(crate) fn invalidate(&mut self) {
        self.stale = true;
    }

    /// The partners of `own` among the live instances `others`.
    pub(crate) fn partners<'a>(
        &mut self,
        own: &InstanceId,
        others: impl Iterator<Item = &'a InstanceId>,
    ) -> &[InstanceId] {
        if std::mem::take(&mut self.stale) {
            self.partners = choose_partners(own, others.cloned().collect());
        }
        &self.partners
    }
}

fn choose_partners(own: &InstanceId, others: Vec<InstanceId>) -> Vec<InstanceId> {
    if others.len() <= MAX_FULL_MESH {
        return others;
    }
    let hash_key = |id: &InstanceId| (xxh3_64(id.as_str().as_bytes()), id.clone());
    let mut ring = others;
    ring.push(own.clone());
    ring.sort_by_cached_key(hash_key);
    let at = ring.iter().position(|id| id == own).unwrap_or(0);
    let mut partners = Vec::new();
    let mut distance = 1;
    while distance < ring.len() {
        partners.push(ring[(at + distance) % ring.len()].clone());
        distance *= 2;
    }
    partners
}
