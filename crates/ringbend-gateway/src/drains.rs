//! Endpoints that have announced that they are draining.
//!
//! A draining process never takes work again, so an announcement is final for it: neither a later
//! row in the endpoint table nor a later response revokes it. A process that is restarted under the
//! same id is a different process.

use std::collections::HashMap;
use std::time::Duration;

use ringbend_types::{EndpointId, EndpointStart, Timestamp};

use crate::directory::Endpoint;

/// The maximum number of announcements, about 100 bytes each; the oldest is evicted.
const MAX_ENTRIES: usize = 4_096;

/// How long an announcement outlives the endpoint's row. Rows that expire around a store outage
/// come back.
const RETENTION: Duration = Duration::from_secs(600);

/// How long an announcement is repeated with each heartbeat, since datagrams can be lost. Longer
/// than the time after which a silent instance counts as gone.
const REPEAT_TIME: Duration = Duration::from_secs(5);

/// A drain announcement, as exchanged between instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Drain {
    /// The draining endpoint.
    pub endpoint: EndpointId,
    /// The start time of its process, if endpoints report it.
    pub start: Option<EndpointStart>,
}

#[derive(Debug, Clone)]
struct Entry {
    drain: Drain,
    noted_at: Timestamp,
}

/// The known drain announcements.
#[derive(Debug, Clone, Default)]
pub struct Drains {
    entries: HashMap<EndpointId, Entry>,
}

/// Whether a process started later than another one. Processes with an unknown start time count as
/// the same.
fn is_later(start: Option<EndpointStart>, than: Option<EndpointStart>) -> bool {
    start.zip(than).is_some_and(|(start, than)| start > than)
}

impl Drains {
    /// Records an announcement. Returns whether it is new.
    pub fn note(&mut self, now: Timestamp, drain: Drain) -> bool {
        if let Some(known) = self.entries.get(&drain.endpoint)
            && !is_later(drain.start, known.drain.start)
        {
            return false;
        }
        if self.entries.len() >= MAX_ENTRIES {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| entry.noted_at);
            if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
                self.entries.remove(&oldest);
            }
        }
        self.entries.insert(drain.endpoint.clone(), Entry { drain, noted_at: now });
        true
    }

    /// Whether this process of the endpoint is draining.
    pub fn contains(&self, endpoint: &Endpoint) -> bool {
        let entry = self.entries.get(&endpoint.id);
        entry.is_some_and(|entry| !is_later(endpoint.start, entry.drain.start))
    }

    /// All announcements.
    pub fn all(&self) -> impl Iterator<Item = &Drain> {
        self.entries.values().map(|entry| &entry.drain)
    }

    /// The announcements to repeat to other instances.
    pub fn recent(&self, now: Timestamp) -> impl Iterator<Item = &Drain> {
        let recent = move |entry: &&Entry| now.since(entry.noted_at) < REPEAT_TIME;
        self.entries.values().filter(recent).map(|entry| &entry.drain)
    }

    /// The announcement of an endpoint.
    pub fn get(&self, endpoint: &EndpointId) -> Option<&Drain> {
        self.entries.get(endpoint).map(|entry| &entry.drain)
    }

    /// The number of announcements.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no announcement.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops old announcements of endpoints that are no longer registered.
    pub fn sweep(&mut self, now: Timestamp, is_registered: impl Fn(&EndpointId) -> bool) {
        self.entries.retain(|id, entry| now.since(entry.noted_at) < RETENTION || is_registered(id));
    }
}
