//! The registered endpoints, and how long endpoints whose rows vanished are kept.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddrV4;
use std::time::Duration;

use ringbend_types::{EndpointId, EndpointStart, ServiceName, Timestamp};
use smallvec::SmallVec;

use crate::address_index::AddressIndex;
use crate::cold_endpoints::ColdEndpoints;
use crate::drains::{Drain, Drains};
pub use crate::endpoint::{Endpoint, EndpointChange};
use crate::evacuations::Evacuations;

/// Endpoints whose processes have ended; their memory and work are lost.
pub type EndedEndpoints = SmallVec<[EndpointId; 2]>;

/// How long an endpoint whose row vanished around a store outage is still considered registered.
/// Rows that expired during the outage are back within about two seconds of the store's return.
pub const OUTAGE_GRACE: Duration = Duration::from_millis(2_200);

/// How long a removed endpoint is remembered. Heartbeats of an earlier process have reappeared as
/// rows about four seconds after its row had expired.
const FORMER_RETENTION: Duration = Duration::from_secs(30);

#[derive(Debug, Clone)]
struct Entry {
    endpoint: Endpoint,
    /// When this instance first saw it.
    since: Timestamp,
    /// Set while its row is missing; it is removed at this time.
    missing_until: Option<Timestamp>,
    /// The endpoint that took over its address, which proves that this one has ended.
    replaced_by: Option<EndpointId>,
    /// Whether its process has announced that it is draining.
    draining: bool,
}

impl Entry {
    fn is_leaving(&self) -> bool {
        self.endpoint.leaving || self.draining
    }
}

/// An endpoint whose row was removed.
#[derive(Debug, Clone)]
struct FormerEndpoint {
    start: Option<EndpointStart>,
    removed_at: Timestamp,
    until: Timestamp,
}

/// The registered endpoints.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    entries: BTreeMap<EndpointId, Entry>,
    at_address: AddressIndex,
    former: BTreeMap<EndpointId, FormerEndpoint>,
    drains: Drains,
    evacuations: Evacuations,
    cold: ColdEndpoints,
    store_recovered_at: Option<Timestamp>,
}

impl Directory {
    /// Records that an outage of the store ended at this time.
    pub fn store_recovered(&mut self, at: Timestamp) {
        self.store_recovered_at = Some(at);
    }

    /// Records that the store was not away, so that endpoints whose rows are missing have left.
    pub fn outage_refuted(&mut self, now: Timestamp) {
        self.store_recovered_at = None;
        let missing = self.entries.iter().filter(|(_, entry)| entry.missing_until.is_some());
        for id in missing.map(|(id, _)| id.clone()).collect::<Vec<_>>() {
            self.remove(now, &id);
        }
    }

    /// Applies one change. Returns the endpoints whose processes it proves to have ended.
    pub fn apply(&mut self, now: Timestamp, change: EndpointChange) -> EndedEndpoints {
        match change {
            EndpointChange::Present(endpoint) => self.present(now, endpoint),
            EndpointChange::Gone(id) => {
                self.mark_missing(now, &id);
                EndedEndpoints::new()
            }
            EndpointChange::Unreadable(id) => {
                self.remove(now, &id);
                EndedEndpoints::new()
            }
        }
    }

    /// Replaces the whole list. Returns the endpoints whose processes it proves to have ended.
    pub fn replace(&mut self, now: Timestamp, all: Vec<Endpoint>) -> EndedEndpoints {
        let named: HashSet<&EndpointId> = all.iter().map(|endpoint| &endpoint.id).collect();
        let missing = self.entries.keys().filter(|id| !named.contains(id));
        for id in missing.cloned().collect::<Vec<_>>() {
            self.mark_missing(now, &id);
        }
        all.into_iter().flat_map(|endpoint| self.present(now, endpoint)).collect()
    }

    /// Records the start time that an endpoint reported itself. Returns the endpoint if this proves
    /// that an earlier process has ended.
    pub fn note_start(&mut self, id: &EndpointId, start: EndpointStart) -> EndedEndpoints {
        let Some(entry) = self.entries.get_mut(id) else { return EndedEndpoints::new() };
        let before = entry.endpoint.start;
        if before.is_none_or(|before| start <= before) {
            return EndedEndpoints::new();
        }
        entry.endpoint.start = Some(start);
        entry.draining = self.drains.contains(&entry.endpoint);
        EndedEndpoints::from_iter([id.clone()])
    }

    /// Records an endpoint's announcement that it is draining. Returns whether it is new.
    pub fn note_drain(&mut self, now: Timestamp, drain: Drain) -> bool {
        let known = self.entries.get(&drain.endpoint).and_then(|entry| entry.endpoint.start);
        let is_former = known.zip(drain.start).is_some_and(|(known, start)| known > start);
        let id = drain.endpoint.clone();
        let is_new_drain = !is_former && self.drains.note(now, drain);
        if let Some(entry) = self.entries.get_mut(&id).filter(|_| is_new_drain) {
            entry.draining = self.drains.contains(&entry.endpoint);
        }
        is_new_drain
    }

    /// Whether an endpoint is leaving, by its row or by its own announcement.
    pub fn is_leaving(&self, endpoint: &Endpoint) -> bool {
        endpoint.leaving || self.drains.contains(endpoint)
    }

    /// The endpoints that have announced that they are draining.
    pub fn drains(&self) -> &Drains {
        &self.drains
    }

    /// Drops old announcements of endpoints that are no longer registered.
    pub fn sweep_drains(&mut self, now: Timestamp) {
        let Self { drains, entries, .. } = self;
        drains.sweep(now, |id| entries.contains_key(id));
    }

    /// Adopts a later set of evacuated data centres. Returns whether the set has changed.
    pub fn merge_evacuations(&mut self, evacuations: Evacuations) -> bool {
        self.evacuations.merge(evacuations)
    }

    /// The evacuated data centres.
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Records that an endpoint is cold until this time at least.
    pub fn note_cold(&mut self, now: Timestamp, id: &EndpointId, until: Timestamp) {
        if self.entries.contains_key(id) {
            self.cold.note(now, id, until);
        }
    }

    /// How much longer an endpoint is cold; zero if it is not.
    pub fn cold_left(&self, now: Timestamp, id: &EndpointId) -> Duration {
        self.cold.left(now, id)
    }

    /// Drops endpoints from the cold ones that are no longer cold.
    pub fn sweep_cold(&mut self, now: Timestamp) {
        self.cold.sweep(now);
    }

    /// Whether endpoints may be cold.
    pub fn has_cold(&self) -> bool {
        !self.cold.is_empty()
    }

    /// The number of endpoints that are cold.
    pub fn cold_count(&self, now: Timestamp) -> usize {
        self.cold.count(now)
    }

    /// Whether an endpoint must get no requests because its data centre is evacuated.
    pub fn is_evacuated(&self, endpoint: &Endpoint) -> bool {
        self.evacuations.contains(&endpoint.data_centre)
    }

    fn present(&mut self, now: Timestamp, endpoint: Endpoint) -> EndedEndpoints {
        let mut ended = EndedEndpoints::new();
        let known = self.entries.get(&endpoint.id);
        let former = self.former.get(&endpoint.id).filter(|former| now < former.until);
        let before = known.map(|entry| entry.endpoint.start).or(former.map(|former| former.start));
        match (before.flatten(), endpoint.start) {
            // A late row of an earlier process.
            (Some(before), Some(start)) if start < before => return ended,
            (Some(before), Some(start)) if start > before => ended.push(endpoint.id.clone()),
            // Endpoints that report their start time always do, so another writer made this row.
            (Some(_), None) => {
                self.remove(now, &endpoint.id);
                return ended;
            }
            _ => {}
        }
        let is_new = known.is_none() && (former.is_none() || !ended.is_empty());
        let replaced_by = match known {
            Some(entry) if ended.is_empty() => entry.replaced_by.clone(),
            Some(_) => None,
            None if is_new => None,
            // An endpoint that reappears has ended if another one uses its address by now.
            None => self.current_at_address(&endpoint).map(|current| current.id.clone()),
        };
        if endpoint.leaving {
            let (id, start) = (endpoint.id.clone(), endpoint.start);
            self.drains.note(now, Drain { endpoint: id, start });
        }
        let since = known.map_or(now, |entry| entry.since);
        if !ended.is_empty() {
            self.cold.forget(&endpoint.id);
        }
        self.cold.note(now, &endpoint.id, now + endpoint.cold_left);
        if is_new {
            ended.extend(self.replace_at_address(now, &endpoint));
        }
        let draining = self.drains.contains(&endpoint);
        let entry = Entry { endpoint, since, missing_until: None, replaced_by, draining };
        self.former.remove(&entry.endpoint.id);
        self.insert(entry);
        ended
    }

    fn insert(&mut self, entry: Entry) {
        let (id, address) = (entry.endpoint.id.clone(), entry.endpoint.address);
        if let Some(before) = self.entries.insert(id.clone(), entry) {
            self.at_address.remove(&before.endpoint);
        }
        self.at_address.add(address, id);
    }

    /// The endpoints at an address that no other endpoint has replaced.
    fn listening(&self, address: SocketAddrV4) -> impl Iterator<Item = &Entry> {
        let ids = self.at_address.at(address);
        ids.filter_map(|id| self.entries.get(id)).filter(|entry| entry.replaced_by.is_none())
    }

    /// The endpoint of the same service that listens at this endpoint's address.
    fn current_at_address(&self, endpoint: &Endpoint) -> Option<&Endpoint> {
        let mut others = self.listening(endpoint.address).map(|entry| &entry.endpoint);
        others.find(|other| other.is_at_address_of(endpoint))
    }

    /// Marks the previous endpoints at this address as ended, because one that has just started
    /// listens there. Applies only within a service: a row of an unknown service proves nothing
    /// about others. Of two endpoints that were first seen together it is unknown which started
    /// later, and a row without a later start may be another writer's.
    fn replace_at_address(&mut self, now: Timestamp, endpoint: &Endpoint) -> EndedEndpoints {
        let others = self.listening(endpoint.address).filter(|entry| entry.since < now);
        let others = others.filter(|entry| {
            let other = &entry.endpoint;
            // `None` orders before every start.
            let started_later = other.start.is_none() || endpoint.start > other.start;
            other.is_at_address_of(endpoint) && started_later
        });
        let ended: EndedEndpoints = others.map(|entry| entry.endpoint.id.clone()).collect();
        for id in &ended {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.replaced_by = Some(endpoint.id.clone());
            }
        }
        ended
    }

    fn mark_missing(&mut self, now: Timestamp, id: &EndpointId) {
        let grace_until =
            self.store_recovered_at.map(|at| at + OUTAGE_GRACE).filter(|until| now < *until);
        let Some(entry) = self.entries.get_mut(id) else { return };
        match grace_until {
            Some(until) if !entry.is_leaving() => entry.missing_until = Some(until),
            _ => self.remove(now, id),
        }
    }

    fn remove(&mut self, now: Timestamp, id: &EndpointId) {
        let Some(entry) = self.entries.remove(id) else { return };
        self.at_address.remove(&entry.endpoint);
        self.cold.forget(id);
        self.former.retain(|_, former| now < former.until);
        let (start, until) = (entry.endpoint.start, now + FORMER_RETENTION);
        let former = FormerEndpoint { start, removed_at: now, until };
        self.former.insert(id.clone(), former);
        for other in self.at_address.at(entry.endpoint.address) {
            if let Some(other) = self.entries.get_mut(other) {
                other.replaced_by.take_if(|by| by == id);
            }
        }
    }

    /// When this instance learnt that an endpoint's row was removed; `None` if it has a row or was
    /// removed long ago.
    pub fn removed_at(&self, id: &EndpointId) -> Option<Timestamp> {
        self.former.get(id).map(|former| former.removed_at)
    }

    /// Whether the process that was known as `endpoint` has ended, so that it will send nothing
    /// more.
    pub fn has_ended(&self, endpoint: &Endpoint) -> bool {
        let Some(entry) = self.entries.get(&endpoint.id) else { return false };
        let is_later = entry.endpoint.start.zip(endpoint.start).is_some_and(|(new, old)| new > old);
        is_later || entry.replaced_by.is_some()
    }

    /// Whether an endpoint is registered unchanged and is neither leaving nor missing. If the
    /// process of such an endpoint ends, it was not shut down deliberately.
    pub fn is_settled(&self, endpoint: &Endpoint) -> bool {
        let Some(entry) = self.entries.get(&endpoint.id) else { return false };
        let is_same = entry.endpoint.start == endpoint.start;
        is_same && !entry.is_leaving() && entry.missing_until.is_none()
    }

    /// The endpoints of a service that take new work.
    pub fn of_service<'a>(
        &'a self,
        now: Timestamp,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a Endpoint> + 'a {
        self.entries
            .values()
            .filter(move |e| e.missing_until.is_none_or(|until| now < until))
            .filter(|e| e.replaced_by.is_none() && !e.is_leaving())
            .map(|e| &e.endpoint)
            .filter(move |e| e.service == *service && !self.is_evacuated(e))
    }

    /// The endpoints whose rows are present, including leaving ones.
    pub fn registered(&self) -> impl Iterator<Item = &Endpoint> {
        self.entries.values().filter(|e| e.missing_until.is_none()).map(|e| &e.endpoint)
    }

    /// The endpoint with this id.
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.entries.get(id).map(|e| &e.endpoint)
    }

    /// The endpoint at an address.
    pub fn by_address(&self, address: SocketAddrV4) -> Option<&Endpoint> {
        self.listening(address).next().map(|entry| &entry.endpoint)
    }

    /// The number of registered endpoints, including leaving ones.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// The number of registered endpoints that are leaving.
    pub fn leaving(&self) -> usize {
        self.entries.values().filter(|entry| entry.is_leaving()).count()
    }

    /// Whether no endpoint is registered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
