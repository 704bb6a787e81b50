//! Distinguishes store outages from a local loss of connectivity.
//!
//! An outage is a period in which the store responded to no instance. Digests carry the time since
//! which the store has responded without an outage, so an instance that was partitioned can
//! determine whether the store was available to others.

use std::time::Duration;

use ringbend_types::Timestamp;

/// The shortest time without an answer to any instance that counts as an outage. The loss of the
/// reader alone leaves a shorter gap. A row expires after three missed heartbeats, which takes
/// longer.
pub const MIN_OUTAGE: Duration = Duration::from_millis(2_300);

/// What an answer of the store says about an outage.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OutageUpdate {
    /// Nothing new.
    Unchanged,
    /// The store was away until this time.
    Ended(Timestamp),
    /// The store answered other instances in what this one had taken for an outage.
    Refuted,
}

/// When the store last answered any instance, on this instance's clock.
#[derive(Debug, Clone, Default)]
pub struct StoreOutages {
    answered_at: Option<Timestamp>,
    answering_since: Option<Timestamp>,
    /// The last answer before the latest outage, unless that was refuted.
    before_outage: Option<Timestamp>,
}

impl StoreOutages {
    /// Since when the store has answered without an outage.
    pub fn answering_since(&self) -> Option<Timestamp> {
        self.answering_since
    }

    /// Records an answer of the store to this instance.
    pub fn answered(&mut self, now: Timestamp) -> OutageUpdate {
        match self.advance(now) {
            Some(before) => self.end_outage(before, now),
            None => {
                self.answering_since.get_or_insert(now);
                OutageUpdate::Unchanged
            }
        }
    }

    /// Records an answer to another instance at `at`. By that instance's account, the store has
    /// answered since `since`.
    pub fn peer_answered(&mut self, at: Timestamp, since: Option<Timestamp>) -> OutageUpdate {
        let gap_start = self.advance(at);
        if let Some(before) = gap_start.filter(|before| since.is_none_or(|since| since > *before)) {
            return self.end_outage(before, since.unwrap_or(at));
        }
        let refuted = self.before_outage.zip(since).is_some_and(|(before, since)| since <= before);
        if refuted {
            self.before_outage = None;
            self.answering_since = since;
            return OutageUpdate::Refuted;
        }
        self.answering_since = self.answering_since.or(since).or(Some(at));
        OutageUpdate::Unchanged
    }

    /// Takes in the time of an answer. Returns the time of the one before if that is so long ago
    /// that the store may have been away.
    fn advance(&mut self, at: Timestamp) -> Option<Timestamp> {
        let before = self.answered_at;
        self.answered_at = Some(before.map_or(at, |before| before.max(at)));
        before.filter(|before| at.since(*before) >= MIN_OUTAGE)
    }

    fn end_outage(&mut self, before: Timestamp, end: Timestamp) -> OutageUpdate {
        self.before_outage = Some(before);
        self.answering_since = Some(end);
        OutageUpdate::Ended(end)
    }
}
