//! Role of this instance, and which instance coordinates what.

use std::cmp::Reverse;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddrV4;
use std::time::Duration;

use ringbend_types::{DataCentre, EndpointId, ServiceName, Timestamp};
use smallvec::SmallVec;

use super::{Peer, Peers};
use crate::schedulers::{InstanceRank, Role, SCHEDULERS_PER_DATA_CENTRE};

/// How long an instance that hears no scheduler waits before it becomes one: the last scheduler may
/// have named others, which are being greeted.
const NO_SCHEDULER_TIMEOUT: Duration = Duration::from_millis(300);

/// How long a limit coordinator may be silent before another one takes over: two heartbeats.
const COORDINATOR_TIMEOUT: Duration = Duration::from_millis(2_200);

/// The instance that places all suspects of a service, or that grants the permits of its
/// rate-limited endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arbiter {
    /// This instance.
    Local,
    /// The instance at this address.
    Remote(SocketAddrV4),
}

impl Arbiter {
    /// The address of the instance; `None` if it is this one.
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

    /// The role of this instance.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Makes this instance a scheduler, because another scheduler asks for it or because too few
    /// instances rank before it.
    pub fn become_scheduler(&mut self) {
        self.role = Role::Scheduler;
    }

    /// Whether so few of these instances rank before this one that it has to schedule as well.
    pub fn is_needed_beside(&self, others: impl Iterator<Item = InstanceRank>) -> bool {
        others.filter(|instance| *instance < self.own).count() < SCHEDULERS_PER_DATA_CENTRE
    }

    /// Re-evaluates the role of this instance. Returns whether it has changed.
    ///
    /// A scheduler continues until enough instances of its data centre that rank before it
    /// schedule. A starting instance leaves scheduling to instances before it that schedule or are
    /// starting; those do not leave it to this one. A member becomes a scheduler after it has heard
    /// no scheduler for a moment.
    pub fn update_role(&mut self, now: Timestamp) -> bool {
        if self.ranks(now, &self.home, Peer::schedules).next().is_some() {
            self.scheduler_seen_at = now;
        }
        let is_needed = |candidate: fn(&Peer) -> bool| {
            self.is_needed_beside(self.ranks(now, &self.home, candidate))
        };
        let role = match self.role {
            Role::Scheduler if is_needed(Peer::schedules) => Role::Scheduler,
            Role::Scheduler => Role::Member,
            Role::Starting if !is_needed(|peer| peer.status.role != Role::Member) => Role::Member,
            Role::Starting if now >= self.discovery_until => Role::Scheduler,
            Role::Member if now.since(self.scheduler_seen_at) >= NO_SCHEDULER_TIMEOUT => {
                Role::Scheduler
            }
            unchanged => unchanged,
        };
        if role == Role::Member && self.role == Role::Starting {
            // The instances to which it leaves scheduling may still be starting.
            self.scheduler_seen_at = now;
        }
        std::mem::replace(&mut self.role, role) != role
    }

    /// The other schedulers: the best-ranked of each data centre.
    pub fn other_schedulers(&self, now: Timestamp) -> Vec<SocketAddrV4> {
        self.best_per_data_centre(now, Peer::schedules)
    }

    /// The instances that are or may have become the other schedulers: an instance that was
    /// starting when last heard has not reported what it became.
    pub fn likely_other_schedulers(&self, now: Timestamp) -> Vec<SocketAddrV4> {
        self.best_per_data_centre(now, |peer| peer.status.role != Role::Member)
    }

    /// The best-ranked matching instances of each data centre.
    fn best_per_data_centre(
        &self,
        now: Timestamp,
        matches: fn(&Peer) -> bool,
    ) -> Vec<SocketAddrV4> {
        let mut centres: Vec<&DataCentre> =
            self.alive(now).filter_map(|(_, peer)| peer.data_centre.as_ref()).collect();
        centres.sort();
        centres.dedup();
        let best = centres.into_iter().flat_map(|centre| self.best(now, centre, matches));
        let unknown_centre = self.alive(now).filter(|(_, p)| p.data_centre.is_none() && matches(p));
        best.chain(unknown_centre.map(|(address, _)| address)).collect()
    }

    /// Schedulers that have fallen silent. They may be partitioned and need to hear of the others
    /// once the partition ends, so they receive heartbeats and nothing else.
    pub fn silent_schedulers(&self, now: Timestamp) -> impl Iterator<Item = SocketAddrV4> + '_ {
        let silent = move |peer: &Peer| peer.schedules() && !peer.is_alive(now);
        self.peers.iter().filter(move |(_, peer)| silent(peer)).map(|(address, _)| *address)
    }

    /// The instances of this data centre that receive heartbeats and the watched tables, but no
    /// work: those that do not schedule, and any surplus scheduler, which stops scheduling once it
    /// hears the better-ranked ones.
    pub fn members(&self, now: Timestamp) -> impl Iterator<Item = SocketAddrV4> + '_ {
        let schedulers = self.local_schedulers(now);
        let is_member = move |address: SocketAddrV4, peer: &Peer| {
            peer.runs_in(&self.home) && !schedulers.contains(&address)
        };
        self.alive(now).filter(move |(address, peer)| is_member(*address, peer)).map(|(a, _)| a)
    }

    /// The schedulers of this data centre: the best-ranked ones.
    pub fn local_schedulers(
        &self,
        now: Timestamp,
    ) -> SmallVec<[SocketAddrV4; SCHEDULERS_PER_DATA_CENTRE]> {
        self.best(now, &self.home, Peer::schedules)
    }

    /// The scheduler that this instance asks, excluding those in `asked`. Each instance
    /// consistently prefers one scheduler, and different instances prefer different ones.
    /// Schedulers that did not answer are skipped.
    pub fn scheduler(&self, now: Timestamp, asked: &[SocketAddrV4]) -> Option<SocketAddrV4> {
        let usable =
            self.best(now, &self.home, |peer| peer.schedules() && !peer.is_unresponsive(now));
        let rank = |address: &SocketAddrV4| {
            let mut hasher = DefaultHasher::new();
            (self.own.address(), address).hash(&mut hasher);
            hasher.finish()
        };
        usable.into_iter().filter(|address| !asked.contains(address)).min_by_key(rank)
    }

    /// The scheduler that plans the long prompts of a service for all instances, excluding those in
    /// `asked`; `None` if it is this instance. All instances select the same one: the one with the
    /// highest capacity, with ties broken differently for each service.
    ///
    /// This handles bursts of long prompts that wait for the same engines. When each scheduler
    /// planned its own, several took the same dozen engines in the same millisecond, before they
    /// had heard of each other, and parts that were each within the allowed gap of a stream added
    /// up to two seconds. With 150 engines, 167 of 277 prompts above 110,000 tokens were on time
    /// with one planner, and 123 of 278 when each scheduler planned its own, in one run each.
    pub fn planner(
        &self,
        now: Timestamp,
        service: &ServiceName,
        asked: &[SocketAddrV4],
    ) -> Option<SocketAddrV4> {
        self.coordinator_for(now, service, asked, true).and_then(Arbiter::address)
    }

    /// The instance that places the suspects of a service for all instances, excluding those in
    /// `asked`. A single one ensures that two tries of one request cannot start at once, nor two
    /// suspects on one engine. `None` if no scheduler is known and this instance is not one.
    pub fn arbiter(
        &self,
        now: Timestamp,
        service: &ServiceName,
        asked: &[SocketAddrV4],
    ) -> Option<Arbiter> {
        self.coordinator_for(now, service, asked, self.schedules())
    }

    /// The instance that grants the permits of a service's rate-limited endpoints for all
    /// instances. `None` if no scheduler is known and this instance is not one.
    ///
    /// A coordinator that did not answer in time keeps the role: two coordinators would each grant
    /// the whole limit. Another one takes over once it is silent.
    pub fn limit_coordinator(&self, now: Timestamp, service: &ServiceName) -> Option<Arbiter> {
        let usable =
            |_, peer: &Peer| peer.schedules() && peer.was_heard_within(now, COORDINATOR_TIMEOUT);
        self.best_for(now, service, usable, self.schedules())
    }

    /// The number of schedulers of all data centres, including this instance and those that are
    /// silent or may run in expected data centres: they may be partitioned and send to the same
    /// endpoints.
    pub fn known_schedulers(&self, now: Timestamp) -> usize {
        let others = self.other_schedulers(now).len() + self.silent_schedulers(now).count();
        others + self.missing_schedulers(now) + 1
    }

    /// The share of the known instances that is reachable, including this one, from zero to one.
    /// Silent instances and those of expected data centres may be partitioned and send to the same
    /// endpoints.
    pub fn reachable_share(&self, now: Timestamp) -> f64 {
        let heard = self.count_by_centre(|peer| peer.was_heard_within(now, COORDINATOR_TIMEOUT));
        let known = self.count_by_centre(|peer| peer.heard.is_some());
        let known = known + self.missing_instances(now);
        heard as f64 / known.max(1) as f64
    }

    /// The best-ranked scheduler that is responsive; this instance only if `with_own` is set.
    fn coordinator_for(
        &self,
        now: Timestamp,
        service: &ServiceName,
        asked: &[SocketAddrV4],
        with_own: bool,
    ) -> Option<Arbiter> {
        let usable = |address: SocketAddrV4, peer: &Peer| {
            peer.schedules() && !peer.is_unresponsive(now) && !asked.contains(&address)
        };
        self.best_for(now, service, usable, with_own)
    }

    /// The best-ranked usable instance, with ties broken differently for each service; this
    /// instance only if `with_own` is set.
    fn best_for(
        &self,
        now: Timestamp,
        service: &ServiceName,
        usable: impl Fn(SocketAddrV4, &Peer) -> bool,
        with_own: bool,
    ) -> Option<Arbiter> {
        let rank = |instance: &InstanceRank| {
            let mut hasher = DefaultHasher::new();
            (service.as_str(), instance.address()).hash(&mut hasher);
            (Reverse(instance.capacity()), hasher.finish())
        };
        let others = self.alive(now).filter(|(address, peer)| usable(*address, peer));
        let others = others.map(|(address, peer)| InstanceRank::new(peer.capacity, address));
        let best = others.chain(with_own.then_some(self.own)).min_by_key(rank)?;
        Some(if best == self.own { Arbiter::Local } else { Arbiter::Remote(best.address()) })
    }

    /// The scheduler that queries the pace of an engine; `None` if it is this instance. Engines are
    /// spread over all schedulers, so that each is queried once, whichever instance suspects it.
    pub fn probing_scheduler(&self, now: Timestamp, engine: &EndpointId) -> Option<SocketAddrV4> {
        let rank = |instance: &InstanceRank| {
            let mut hasher = DefaultHasher::new();
            (engine.as_str(), instance.address()).hash(&mut hasher);
            hasher.finish()
        };
        let others =
            self.alive(now).filter(|(_, peer)| peer.schedules() && !peer.is_unresponsive(now));
        let others = others.map(|(address, peer)| InstanceRank::new(peer.capacity, address));
        let prober = others.chain([self.own]).min_by_key(rank)?;
        (prober != self.own).then(|| prober.address())
    }

    /// Records that the scheduler at `address` did not answer in time.
    pub fn mark_unresponsive(&mut self, now: Timestamp, address: SocketAddrV4) {
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.unresponsive_at = Some(now);
        }
    }

    /// The members of this data centre that should become schedulers, the best-ranked first.
    pub fn promotion_candidates(&self, now: Timestamp) -> Vec<SocketAddrV4> {
        let scheduling = self.ranks(now, &self.home, Peer::schedules).count() + 1;
        let mut members: Vec<InstanceRank> =
            self.ranks(now, &self.home, |peer| peer.status.role == Role::Member).collect();
        members.sort();
        let missing = SCHEDULERS_PER_DATA_CENTRE.saturating_sub(scheduling);
        members.into_iter().take(missing).map(|instance| instance.address()).collect()
    }

    fn ranks<'a>(
        &'a self,
        now: Timestamp,
        data_centre: &'a DataCentre,
        matches: impl Fn(&Peer) -> bool + 'a,
    ) -> impl Iterator<Item = InstanceRank> + 'a {
        self.alive(now)
            .filter(move |(_, peer)| peer.runs_in(data_centre) && matches(peer))
            .map(|(address, peer)| InstanceRank::new(peer.capacity, address))
    }

    fn best(
        &self,
        now: Timestamp,
        data_centre: &DataCentre,
        matches: impl Fn(&Peer) -> bool,
    ) -> SmallVec<[SocketAddrV4; SCHEDULERS_PER_DATA_CENTRE]> {
        let mut all: Vec<InstanceRank> = self.ranks(now, data_centre, matches).collect();
        all.sort();
        all.into_iter()
            .take(SCHEDULERS_PER_DATA_CENTRE)
            .map(|instance| instance.address())
            .collect()
    }
}
