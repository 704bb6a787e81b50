//! The queue of admitted requests that wait for an endpoint.
//!
//! Requests are ordered by priority, which rises with waiting time, then by weighted fair queueing
//! between client accounts (each request advances its account's start tag by cost / weight), then
//! by arrival.

use std::collections::BTreeMap;
use std::time::Duration;

use ringbend_types::{ClientAccountId, RequestId, Timestamp};

use crate::profile::RequestProfile;

/// The position of a request in the queue; the lowest key is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueKey {
    priority: u8,
    start_tag: u64,
    request: RequestId,
}

#[derive(Debug, Clone)]
struct QueuedRequest {
    key: QueueKey,
    base_priority: u8,
    ageing: Duration,
    queued_at: Timestamp,
    cost: u64,
}

/// The waiting requests of one instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct Queue {
    order: BTreeMap<QueueKey, RequestId>,
    waiting: BTreeMap<RequestId, QueuedRequest>,
    /// The start tag that the next request of each account gets at the earliest.
    next_start_tags: BTreeMap<ClientAccountId, u64>,
    /// The start tag of the request served last; accounts that were idle start here.
    virtual_time: u64,
    queued_tokens: u64,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    /// Returns the tokens of the queued requests that would be served before a new one of this
    /// priority.
    pub(crate) fn tokens_ahead(&self, priority: u8) -> u64 {
        if priority >= 7 {
            return self.queued_tokens;
        }
        let ahead = self.waiting.values().filter(|w| w.key.priority <= priority);
        ahead.map(|w| w.cost).sum()
    }

    pub(crate) fn push(&mut self, now: Timestamp, profile: &RequestProfile) {
        let cost = profile.cost().0;
        let weight = u64::from(profile.settings.limits.weight.max(1));
        let start_tag =
            self.next_start_tags.get(&profile.account).copied().unwrap_or(0).max(self.virtual_time);
        self.next_start_tags.insert(profile.account.clone(), start_tag + 1 + cost / weight);
        let base_priority = profile.settings.class.priority;
        let key = QueueKey { priority: base_priority, start_tag, request: profile.id };
        self.order.insert(key, profile.id);
        self.queued_tokens += cost;
        let waiting = QueuedRequest {
            key,
            base_priority,
            ageing: Duration::from_millis(profile.settings.class.ageing_ms),
            queued_at: now,
            cost,
        };
        self.waiting.insert(profile.id, waiting);
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> bool {
        let Some(waiting) = self.waiting.remove(&request) else { return false };
        self.order.remove(&waiting.key);
        self.queued_tokens -= waiting.cost;
        true
    }

    /// Removes a request that is being dispatched and advances the virtual time to its start tag.
    pub(crate) fn start_service(&mut self, request: RequestId) {
        if let Some(waiting) = self.waiting.get(&request) {
            self.virtual_time = self.virtual_time.max(waiting.key.start_tag);
        }
        self.remove(request);
    }

    /// Raises the priority of requests by one step for each ageing period that they have waited.
    pub(crate) fn age(&mut self, now: Timestamp) {
        let mut rekeyed = Vec::new();
        for (request, waiting) in &mut self.waiting {
            if waiting.ageing.is_zero() {
                continue;
            }
            let steps = now.since(waiting.queued_at).as_micros() / waiting.ageing.as_micros();
            let priority = waiting.base_priority.saturating_sub(steps.min(7) as u8);
            if priority != waiting.key.priority {
                rekeyed.push((waiting.key, QueueKey { priority, ..waiting.key }, *request));
                waiting.key.priority = priority;
            }
        }
        for (old, new, request) in rekeyed {
            self.order.remove(&old);
            self.order.insert(new, request);
        }
    }

    /// Iterates over the requests in service order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = RequestId> {
        self.order.values().copied()
    }
}
