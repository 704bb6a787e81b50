//! Admitted requests that wait for an endpoint, in order of service.
//!
//! First by priority, which rises with waiting; then fairly between client accounts, each
//! request moving its account on by its cost over the account's weight; then by arrival.

use std::collections::BTreeMap;
use std::time::Duration;

use ringbend_types::{ClientAccountId, RequestId, Timestamp};

use crate::profile::RequestProfile;

/// Order of service; the lowest goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    priority: u8,
    turn: u64,
    request: RequestId,
}

#[derive(Debug, Clone)]
struct Waiting {
    place: Place,
    base_priority: u8,
    ageing: Duration,
    since: Timestamp,
    cost: u64,
}

/// The waiting requests of one instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct Queue {
    order: BTreeMap<Place, RequestId>,
    waiting: BTreeMap<RequestId, Waiting>,
    /// The turn that the next request of an account would get.
    turns: BTreeMap<ClientAccountId, u64>,
    /// The turn last served; accounts that were idle start here.
    served: u64,
    tokens: u64,
}

impl Queue {
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }

    /// Tokens of the requests that go before a new one of this priority.
    pub(crate) fn tokens_before(&self, priority: u8) -> u64 {
        if priority >= 7 {
            return self.tokens;
        }
        let ahead = self.waiting.values().filter(|w| w.place.priority <= priority);
        ahead.map(|w| w.cost).sum()
    }

    pub(crate) fn push(&mut self, now: Timestamp, profile: &RequestProfile) {
        let cost = profile.cost().0;
        let weight = u64::from(profile.settings.limits.weight.max(1));
        let turn = self.turns.get(&profile.account).copied().unwrap_or(0).max(self.served);
        self.turns.insert(profile.account.clone(), turn + 1 + cost / weight);
        let base_priority = profile.settings.class.priority;
        let place = Place { priority: base_priority, turn, request: profile.id };
        self.order.insert(place, profile.id);
        self.tokens += cost;
        let waiting = Waiting {
            place,
            base_priority,
            ageing: Duration::from_millis(profile.settings.class.ageing_ms),
            since: now,
            cost,
        };
        self.waiting.insert(profile.id, waiting);
    }

    pub(crate) fn remove(&mut self, request: RequestId) -> bool {
        let Some(waiting) = self.waiting.remove(&request) else { return false };
        self.order.remove(&waiting.place);
        self.tokens -= waiting.cost;
        true
    }

    /// Removes a request that is served, and moves the turns on.
    pub(crate) fn serve(&mut self, request: RequestId) {
        if let Some(waiting) = self.waiting.get(&request) {
            self.served = self.served.max(waiting.place.turn);
        }
        self.remove(request);
    }

    /// Raises the priority of those that have waited.
    pub(crate) fn age(&mut self, now: Timestamp) {
        let mut moved = Vec::new();
        for (request, waiting) in &mut self.waiting {
            if waiting.ageing.is_zero() {
                continue;
            }
            let steps = now.since(waiting.since).as_micros() / waiting.ageing.as_micros();
            let priority = waiting.base_priority.saturating_sub(steps.min(7) as u8);
            if priority != waiting.place.priority {
                moved.push((waiting.place, Place { priority, ..waiting.place }, *request));
                waiting.place.priority = priority;
            }
        }
        for (old, new, request) in moved {
            self.order.remove(&old);
            self.order.insert(new, request);
        }
    }

    /// The requests in order of service.
    pub(crate) fn iter(&self) -> impl Iterator<Item = RequestId> {
        self.order.values().copied()
    }
}
