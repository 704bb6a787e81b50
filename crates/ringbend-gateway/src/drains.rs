//! Endpoints that have announced that they are draining.
//!
//! A draining process never takes work again, so an announcement is final for it: neither a later row of the
//! endpoints' table nor a later response revokes it. A process that starts again under the same id is another one.

use std::collections::HashMap;
use std::time::Duration;

use ringbend_types::{EndpointId, EndpointStart, Timestamp};

use crate::directory::Endpoint;

/// The most announcements that are kept, some 100 bytes each; the oldest gives way.
const MAX_KEPT: usize = 4_096;

/// How long an announcement outlives the endpoint's row: rows that lapse around an outage of the store come back.
const KEPT_AFTER_ROW: Duration = Duration::from_secs(600);

/// How long an announcement is repeated with each heartbeat, as datagrams are lost. Longer than an instance may be
/// silent before it counts as gone.
const REPEATED_FOR: Duration = Duration::from_secs(5);

/// An announcement, as exchanged between instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Drain {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The start time of its process, where endpoints report it.
    pub start: Option<EndpointStart>,
}

#[derive(Debug, Clone)]
struct Entry {
    drain: Drain,
    noted_at: Timestamp,
}

/// The announcements that are known.
#[derive(Debug, Clone, Default)]
pub struct Drains {
    entries: HashMap<EndpointId, Entry>,
}

/// Whether a process started later than another one. Unknown starts are the same process.
fn is_later(start: Option<EndpointStart>, than: Option<EndpointStart>) -> bool {
    start.zip(than).is_some_and(|(start, than)| start > than)
}

impl Drains {
    /// Notes an announcement. Returns whether it is news.
    pub fn note(&mut self, now: Timestamp, drain: Drain) -> bool {
        if let Some(known) = self.entries.get(&drain.endpoint)
            && !is_later(drain.start, known.drain.start)
        {
            return false;
        }
        if self.entries.len() >= MAX_KEPT {
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

    /// The announcements to be repeated to other instances.
    pub fn recent(&self, now: Timestamp) -> impl Iterator<Item = &Drain> {
        let recent = move |entry: &&Entry| now.since(entry.noted_at) < REPEATED_FOR;
        self.entries.values().filter(recent).map(|entry| &entry.drain)
    }

    /// The announcement of an endpoint.
    pub fn get(&self, endpoint: &EndpointId) -> Option<&Drain> {
        self.entries.get(endpoint).map(|entry| &entry.drain)
    }

    /// How many are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Drops old announcements of endpoints that are gone.
    pub fn sweep(&mut self, now: Timestamp, is_registered: impl Fn(&EndpointId) -> bool) {
        self.entries
            .retain(|id, entry| now.since(entry.noted_at) < KEPT_AFTER_ROW || is_registered(id));
    }
}
