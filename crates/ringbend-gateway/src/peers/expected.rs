//! Data centres that the settings name and without a live instance.
//!
//! Their instances may run and use the same endpoints without knowing of this one. Rules that divide
//! an allowance among instances or schedulers count such a data centre as if it were as large as
//! this one. While all data centres are live, nothing is added.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use ringbend_types::{DataCentre, Timestamp};

use super::{Peer, Peers};
use crate::schedulers::SCHEDULERS_PER_DATA_CENTRE;

impl Peers {
    /// Sets the data centres in which instances are expected to run.
    pub fn set_expected_data_centres(&mut self, expected: impl Iterator<Item = DataCentre>) {
        self.expected = expected.collect();
    }

    /// The data centres in which instances are expected to run.
    pub fn expected_data_centres(&self) -> impl Iterator<Item = &DataCentre> {
        self.expected.iter()
    }

    /// The data centres of the instances that are alive; that of this one only if another is.
    pub fn heard_data_centres(&self, now: Timestamp) -> impl Iterator<Item = &DataCentre> {
        self.alive(now).filter_map(|(_, peer)| peer.data_centre.as_ref())
    }

    /// The schedulers that are alive, with their data centre and capacity.
    pub fn scheduling_peers(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (SocketAddrV4, &DataCentre, u32)> {
        let schedulers = self.alive(now).filter(|(_, peer)| peer.schedules());
        schedulers.filter_map(|(address, peer)| {
            Some((address, peer.data_centre.as_ref()?, peer.capacity))
        })
    }

    /// The number of instances that may run, including this one: those that are known, and those of
    /// expected data centres without a live instance. A member receives digests only from its own data centre,
    /// so it takes the number from the schedulers.
    pub fn possible_instances(&self, now: Timestamp) -> usize {
        if self.schedules() {
            let missing = self.missing_data_centres(|peer| peer.is_alive(now));
            let home = if missing == 0 { 0 } else { self.home_instances(now) };
            return self.instances(now) + missing * home;
        }
        let local = self.alive(now).filter(|(_, peer)| peer.runs_in(&self.home));
        let schedulers = local.filter(|(_, peer)| peer.schedules());
        let reported = schedulers.map(|(_, peer)| peer.status.possible);
        reported.fold(self.instances(now), usize::max)
    }

    /// The number of schedulers in expected data centres in which none is known.
    pub(super) fn missing_schedulers(&self, now: Timestamp) -> usize {
        let own_and_local = 1 + self.local_schedulers(now).len();
        let missing = self.missing_data_centres(Peer::schedules);
        missing * own_and_local.min(SCHEDULERS_PER_DATA_CENTRE)
    }

    /// The number of instances in expected data centres in which none is known.
    pub(super) fn missing_instances(&self, now: Timestamp) -> usize {
        self.missing_data_centres(|peer| peer.heard.is_some()) * self.home_instances(now)
    }

    /// The number of expected data centres without a matching peer.
    fn missing_data_centres(&self, matches: impl Fn(&Peer) -> bool) -> usize {
        let peers = self.peers.values().filter(|peer| matches(peer));
        let found: BTreeSet<&DataCentre> =
            peers.filter_map(|peer| peer.data_centre.as_ref()).collect();
        let is_missing = |centre: &&DataCentre| **centre != self.home && !found.contains(centre);
        self.expected.iter().filter(is_missing).count()
    }

    /// The number of instances of this data centre, including this one.
    fn home_instances(&self, now: Timestamp) -> usize {
        let local = self.alive(now).filter(|(_, peer)| peer.runs_in(&self.home));
        let reports = local.filter(|(_, peer)| peer.schedules());
        let reported = reports.map(|(_, peer)| peer.status.instances);
        reported.fold(self.local_instances(now), usize::max)
    }
}
