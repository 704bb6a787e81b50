//! The endpoints that are registered, and since when some of them are not.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use ringbend_types::{DataCentre, EndpointId, ServiceName, Timestamp};

/// One registered endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Its id; each start of an endpoint has another.
    pub id: EndpointId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Where it listens. An address is used again by others once its endpoint has ended.
    pub address: SocketAddrV4,
    /// Where it runs.
    pub data_centre: DataCentre,
    /// Requests it processes at once.
    pub slots: u32,
    /// Whether it is about to leave and takes no new work.
    pub leaving: bool,
}

/// One change of the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointChange {
    /// The endpoint is registered as told.
    Present(Endpoint),
    /// Its entry is gone.
    Gone(EndpointId),
}

/// How long an entry that vanished around an outage of the store is still believed in. Entries that
/// lapsed meanwhile are back within about two seconds of the store's return.
pub const RETURN_TIME: Duration = Duration::from_millis(2_200);

#[derive(Debug, Clone)]
struct Entry {
    endpoint: Endpoint,
    /// Its entry is missing; dropped for good at this time.
    missing_until: Option<Timestamp>,
}

/// The registered endpoints.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    entries: BTreeMap<EndpointId, Entry>,
    regained_at: Option<Timestamp>,
}

impl Directory {
    /// Notes that the store answers again after it did not.
    pub fn regained(&mut self, now: Timestamp) {
        self.regained_at = Some(now);
    }

    /// Takes in one change.
    pub fn apply(&mut self, now: Timestamp, change: EndpointChange) {
        match change {
            EndpointChange::Present(endpoint) => {
                let entry = Entry { endpoint, missing_until: None };
                self.entries.insert(entry.endpoint.id.clone(), entry);
            }
            EndpointChange::Gone(id) => self.miss(now, &id),
        }
    }

    /// Takes in the whole list.
    pub fn replace(&mut self, now: Timestamp, all: Vec<Endpoint>) {
        let mut missing: Vec<EndpointId> = self.entries.keys().cloned().collect();
        missing.retain(|id| !all.iter().any(|e| e.id == *id));
        for id in missing {
            self.miss(now, &id);
        }
        for endpoint in all {
            self.apply(now, EndpointChange::Present(endpoint));
        }
    }

    fn miss(&mut self, now: Timestamp, id: &EndpointId) {
        let doubt_until = self.regained_at.map(|at| at + RETURN_TIME).filter(|until| now < *until);
        let Some(entry) = self.entries.get_mut(id) else { return };
        match doubt_until {
            Some(until) if !entry.endpoint.leaving => entry.missing_until = Some(until),
            _ => drop(self.entries.remove(id)),
        }
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
            .map(|e| &e.endpoint)
            .filter(move |e| e.service == *service && !e.leaving)
    }

    /// The endpoints whose entries are there, leaving ones included.
    pub fn registered(&self) -> impl Iterator<Item = &Endpoint> {
        self.entries.values().filter(|e| e.missing_until.is_none()).map(|e| &e.endpoint)
    }

    /// An endpoint by id.
    pub fn get(&self, id: &EndpointId) -> Option<&Endpoint> {
        self.entries.get(id).map(|e| &e.endpoint)
    }

    /// The endpoint at an address.
    pub fn by_address(&self, address: SocketAddrV4) -> Option<&Endpoint> {
        self.entries.values().map(|e| &e.endpoint).find(|e| e.address == address)
    }

    /// How many endpoints are registered, leaving ones included.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// How many registered endpoints are about to leave.
    pub fn leaving(&self) -> usize {
        self.entries.values().filter(|entry| entry.endpoint.leaving).count()
    }

    /// Whether none is registered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
