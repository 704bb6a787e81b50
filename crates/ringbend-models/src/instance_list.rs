//! Model of the platform's list of live and leaving endpoints, which lags behind their real state.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ringbend_platform::EndpointEntry;
use ringbend_types::{EndpointId, Timestamp};

#[derive(Debug, Clone)]
enum Change {
    Put(EndpointEntry),
    Remove(EndpointId),
}

/// An endpoint list whose readers see each change only after a fixed delay.
#[derive(Debug, Clone)]
pub struct InstanceListModel {
    lag: Duration,
    visible: BTreeMap<EndpointId, EndpointEntry>,
    pending: VecDeque<(Timestamp, Change)>,
}

impl InstanceListModel {
    /// Creates an empty list.
    pub fn new(lag: Duration) -> Self {
        Self { lag, visible: BTreeMap::new(), pending: VecDeque::new() }
    }

    /// Creates a list whose readers see `entries` immediately.
    pub fn with_entries(lag: Duration, entries: Vec<EndpointEntry>) -> Self {
        let visible = entries.into_iter().map(|entry| (entry.id.clone(), entry)).collect();
        Self { lag, visible, pending: VecDeque::new() }
    }

    /// Adds or replaces an entry; readers see the change after the delay.
    pub fn put(&mut self, now: Timestamp, entry: EndpointEntry) {
        self.pending.push_back((now + self.lag, Change::Put(entry)));
    }

    /// Removes an entry; readers see the change after the delay.
    pub fn remove(&mut self, now: Timestamp, id: EndpointId) {
        self.pending.push_back((now + self.lag, Change::Remove(id)));
    }

    /// Returns the entries that are visible to readers at `now`.
    pub fn view(&mut self, now: Timestamp) -> Vec<EndpointEntry> {
        while let Some((_, change)) = self.pending.pop_front_if(|(due, _)| *due <= now) {
            match change {
                Change::Put(entry) => {
                    self.visible.insert(entry.id.clone(), entry);
                }
                Change::Remove(id) => {
                    self.visible.remove(&id);
                }
            }
        }
        self.visible.values().cloned().collect()
    }
}
