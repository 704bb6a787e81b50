//! Who schedules, who plans long prompts, and whom an instance asks.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddrV4;
use std::time::Duration;

use ringbend_types::{DataCentre, EndpointId, ServiceName, Timestamp};
use smallvec::SmallVec;

use super::{Peer, Peers};
use crate::schedulers::{InstanceRank, Role, SCHEDULERS_PER_DATA_CENTRE};

/// How long an instance that hears no scheduler any more waits before it becomes one: the last one
/// may have named others, which are being greeted.
const UNSERVED_TIME: Duration = Duration::from_millis(300);

/// How long an instance that counts for all may be silent until another one does: two heartbeats.
const COUNTER_SILENCE: Duration = Duration::from_millis(2_200);

/// The instance that places all suspects of a service, or counts for all what its limited endpoints get.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arbiter {
    /// This one.
    Local,
    /// The one that listens there.
    Remote(SocketAddrV4),
}

impl Arbiter {
    /// Where it listens; none if it is this instance.
    pub fn address(self) -> Option<SocketAddrV4> {
        match self {
            Self::Remote(address) => Some(address),
            Self::Local => None,
        }
    }
}

impl Peers {
    /// Whether this instance schedules.
    pub fn schedules(&self) -> bool {
        self.role == Role::Scheduler
    }

    /// What this instance does.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Takes up scheduling, as another scheduler asks for it, or as too few are said to be better
    /// placed.
    pub fn become_scheduler(&mut self) {
        self.role = Role::Scheduler;
    }

    /// Whether too few of these instances are better placed for this one to leave scheduling to them.
    pub fn is_needed_beside(&self, others: impl Iterator<Item = InstanceRank>) -> bool {
        others.filter(|standing| *standing < self.own).count() < SCHEDULERS_PER_DATA_CENTRE
    }

    /// Looks at this instance's role again. True if it has changed.
    ///
    /// One that schedules goes on until enough better placed ones of its data centre do. One that
    /// starts leaves it to such that schedule or start as well; those will not leave it to this one.
    /// One that does not schedule begins once it has heard none that does for a moment.
    pub fn update_role(&mut self, now: Timestamp) -> bool {
        if self.standings(now, &self.home, Peer::schedules).next().is_some() {
            self.served_at = now;
        }
        let is_needed = |candidate: fn(&Peer) -> bool| {
            self.is_needed_beside(self.standings(now, &self.home, candidate))
        };
        let role = match self.role {
            Role::Scheduler if is_needed(Peer::schedules) => Role::Scheduler,
            Role::Scheduler => Role::Member,
            Role::Starting if !is_needed(|peer| peer.part.role != Role::Member) => Role::Member,
            Role::Starting if now >= self.starts_until => Role::Scheduler,
            Role::Member if now.since(self.served_at) >= UNSERVED_TIME => Role::Scheduler,
            unchanged => unchanged,
        };
        if role == Role::Member && self.role == Role::Starting {
            // Those that it leaves scheduling to may still be starting.
            self.served_at = now;
        }
        std::mem::replace(&mut self.role, role) != role
    }

    /// The other schedulers: the best placed of each data centre.
    pub fn other_schedulers(&self, now: Timestamp) -> Vec<SocketAddrV4> {
        self.best_of_each(now, Peer::schedules)
    }

    /// Those that are or may have become the other schedulers: one that was heard while it started has not told
    /// this one what it became.
    pub fn likely_other_schedulers(&self, now: Timestamp) -> Vec<SocketAddrV4> {
        self.best_of_each(now, |peer| peer.part.role != Role::Member)
    }

    /// The best placed of each data centre.
    fn best_of_each(&self, now: Timestamp, is_meant: fn(&Peer) -> bool) -> Vec<SocketAddrV4> {
        let mut centres: Vec<&DataCentre> =
            self.there(now).filter_map(|(_, peer)| peer.data_centre.as_ref()).collect();
        centres.sort();
        centres.dedup();
        let named = centres.into_iter().flat_map(|centre| self.best(now, centre, is_meant));
        let unplaced = self.there(now).filter(|(_, p)| p.data_centre.is_none() && is_meant(p));
        named.chain(unplaced.map(|(address, _)| address)).collect()
    }

    /// Schedulers that have fallen silent. They may be cut off, and hear of the others once they are
    /// not; they are told no more than that this instance is there.
    pub fn silent_schedulers(&self, now: Timestamp) -> impl Iterator<Item = SocketAddrV4> + '_ {
        let silent = move |peer: &Peer| peer.schedules() && !peer.is_alive(now);
        self.peers.iter().filter(move |(_, peer)| silent(peer)).map(|(address, _)| *address)
    }

    /// The instances of this data centre that are told of this one and of the watched tables, but of no
    /// work: those that do not schedule, and any that schedules beside enough better placed ones, which
    /// leaves it to those once it hears them.
    pub fn members(&self, now: Timestamp) -> impl Iterator<Item = SocketAddrV4> + '_ {
        let schedulers = self.local_schedulers(now);
        let is_member = move |address: SocketAddrV4, peer: &Peer| {
            peer.runs_in(&self.home) && !schedulers.contains(&address)
        };
        self.there(now).filter(move |(address, peer)| is_member(*address, peer)).map(|(a, _)| a)
    }

    /// The schedulers of this data centre: the best placed.
    pub fn local_schedulers(
        &self,
        now: Timestamp,
    ) -> SmallVec<[SocketAddrV4; SCHEDULERS_PER_DATA_CENTRE]> {
        self.best(now, &self.home, Peer::schedules)
    }

    /// The scheduler that this instance asks, but for those in `asked`. Instances prefer different
    /// ones, always the same, and pass over one that did not answer.
    pub fn scheduler(&self, now: Timestamp, asked: &[SocketAddrV4]) -> Option<SocketAddrV4> {
        let usable = self.best(now, &self.home, |peer| peer.schedules() && !peer.is_doubted(now));
        let rank = |address: &SocketAddrV4| {
            let mut hasher = DefaultHasher::new();
            (self.own.address(), address).hash(&mut hasher);
            hasher.finish()
        };
        usable.into_iter().filter(|address| !asked.contains(address)).min_by_key(rank)
    }

    /// The scheduler that plans the long prompts of a service for all, but for those in `asked`; none if
    /// this instance does. All find the same one: the best placed, in an order that differs by service.
    ///
    /// Answers bursts of long prompts that wait for the same engines. Where each scheduler planned its
    /// own, several took the same dozen engines in the same millisecond, before they had heard of each
    /// other, and parts that were each within the pause of a stream added up to two seconds. Beside 150
    /// engines 167 of 277 prompts above 110,000 tokens were on time with one planner, and 123 of 278
    /// where each scheduler planned its own, one run each.
    pub fn planner(
        &self,
        now: Timestamp,
        service: &ServiceName,
        asked: &[SocketAddrV4],
    ) -> Option<SocketAddrV4> {
        self.placing_for(now, service, asked, true).and_then(Arbiter::address)
    }

    /// The instance that places the suspects of a service for all, but for those in `asked`, so that two
    /// tries of one request cannot begin at once, nor two suspects on one engine. None if no instance that
    /// schedules is heard and this one does not.
    pub fn arbiter(
        &self,
        now: Timestamp,
        service: &ServiceName,
        asked: &[SocketAddrV4],
    ) -> Option<Arbiter> {
        self.placing_for(now, service, asked, self.schedules())
    }

    /// The instance that counts for all what the limited endpoints of a service get. None if no instance that
    /// schedules is heard and this one does not.
    ///
    /// One that did not answer in time is still the one: of two that count, each would give away the whole limit.
    /// Another takes its part once it is not heard any more.
    pub fn limit_coordinator(&self, now: Timestamp, service: &ServiceName) -> Option<Arbiter> {
        let usable =
            |_, peer: &Peer| peer.schedules() && peer.was_heard_within(now, COUNTER_SILENCE);
        self.best_for(now, service, usable, self.schedules())
    }

    /// The part of the known instances that is heard, this one included, from zero to one. Those that have fallen
    /// silent may be cut off and send to the same endpoints.
    pub fn reachable_share(&self, now: Timestamp) -> f64 {
        let heard = self.count_by_centre(|peer| peer.was_heard_within(now, COUNTER_SILENCE));
        let known = self.count_by_centre(|peer| peer.heard.is_some());
        heard as f64 / known.max(1) as f64
    }

    /// The best placed scheduler that is not doubted; this instance only if `with_own`.
    fn placing_for(
        &self,
        now: Timestamp,
        service: &ServiceName,
        asked: &[SocketAddrV4],
        with_own: bool,
    ) -> Option<Arbiter> {
        let usable = |address: SocketAddrV4, peer: &Peer| {
            peer.schedules() && !peer.is_doubted(now) && !asked.contains(&address)
        };
        self.best_for(now, service, usable, with_own)
    }

    /// The best placed of the usable instances, in an order that differs by service; this one only if `with_own`.
    fn best_for(
        &self,
        now: Timestamp,
        service: &ServiceName,
        usable: impl Fn(SocketAddrV4, &Peer) -> bool,
        with_own: bool,
    ) -> Option<Arbiter> {
        let rank = |standing: &InstanceRank| {
            let mut hasher = DefaultHasher::new();
            (service.as_str(), standing.address()).hash(&mut hasher);
            (Reverse(standing.capacity()), hasher.finish())
        };
        let others = self.there(now).filter(|(address, peer)| usable(*address, peer));
        let others = others.map(|(address, peer)| InstanceRank::new(peer.capacity, address));
        let best = others.chain(with_own.then_some(self.own)).min_by_key(rank)?;
        Some(if best == self.own { Arbiter::Local } else { Arbiter::Remote(best.address()) })
    }

    /// The scheduler that asks an engine how it is; none if it is this instance. Engines are spread over
    /// all schedulers, so that each is asked once whoever suspects it.
    pub fn probing_scheduler(&self, now: Timestamp, engine: &EndpointId) -> Option<SocketAddrV4> {
        let rank = |standing: &InstanceRank| {
            let mut hasher = DefaultHasher::new();
            (engine.as_str(), standing.address()).hash(&mut hasher);
            hasher.finish()
        };
        let others = self.there(now).filter(|(_, peer)| peer.schedules() && !peer.is_doubted(now));
        let others = others.map(|(address, peer)| InstanceRank::new(peer.capacity, address));
        let asker = others.chain([self.own]).min_by_key(rank)?;
        (asker != self.own).then(|| asker.address())
    }

    /// Notes that the scheduler at `address` did not answer in time.
    pub fn mark_unresponsive(&mut self, now: Timestamp, address: SocketAddrV4) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.doubted_at = Some(now);
        }
    }

    /// The instances of this data centre that should schedule as well, the best placed first.
    pub fn promotion_candidates(&self, now: Timestamp) -> Vec<SocketAddrV4> {
        let scheduling = self.standings(now, &self.home, Peer::schedules).count() + 1;
        let mut members: Vec<InstanceRank> =
            self.standings(now, &self.home, |peer| peer.part.role == Role::Member).collect();
        members.sort();
        let missing = SCHEDULERS_PER_DATA_CENTRE.saturating_sub(scheduling);
        members.into_iter().take(missing).map(|standing| standing.address()).collect()
    }

    fn standings<'a>(
        &'a self,
        now: Timestamp,
        data_centre: &'a DataCentre,
        is_meant: impl Fn(&Peer) -> bool + 'a,
    ) -> impl Iterator<Item = InstanceRank> + 'a {
        self.there(now)
            .filter(move |(_, peer)| peer.runs_in(data_centre) && is_meant(peer))
            .map(|(address, peer)| InstanceRank::new(peer.capacity, address))
    }

    fn best(
        &self,
        now: Timestamp,
        data_centre: &DataCentre,
        is_meant: impl Fn(&Peer) -> bool,
    ) -> SmallVec<[SocketAddrV4; SCHEDULERS_PER_DATA_CENTRE]> {
        let mut all: Vec<InstanceRank> = self.standings(now, data_centre, is_meant).collect();
        all.sort();
        all.into_iter()
            .take(SCHEDULERS_PER_DATA_CENTRE)
            .map(|standing| standing.address())
            .collect()
    }
}
