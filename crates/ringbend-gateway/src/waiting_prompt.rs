//! A waiting long prompt, as exchanged between instances.

use std::time::Duration;

use ringbend_types::{ClientAccountId, ServiceName, Timestamp};

use crate::priorities::{Priorities, Rank};

/// A long prompt that waits for its turn.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WaitingPrompt {
    /// The service whose engines it waits for.
    pub service: ServiceName,
    /// The time in which one engine would read it.
    pub read_time: Duration,
    /// When its request arrived.
    pub since: Timestamp,
    /// When its first event is due.
    pub first_by: Timestamp,
    /// When its caller disconnects if no event has arrived.
    pub until: Timestamp,
    /// Its priority; zero is the highest.
    pub priority: u8,
    /// The client account of its caller; `None` on a public route.
    pub account: Option<ClientAccountId>,
}

impl WaitingPrompt {
    /// The rank of the prompt in the order of waiting ones. It rises until its caller disconnects,
    /// so that ranks also order prompts that are late.
    pub fn rank(&self, now: Timestamp, priorities: &Priorities) -> Rank {
        let patience = self.until.since(self.since);
        priorities.rank(self.priority).aged(now.since(self.since), patience)
    }
}
