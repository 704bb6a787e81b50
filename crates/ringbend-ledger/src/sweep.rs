//! Detection of orphaned memory reservations on engines.
//!
//! A reservation is freed when no attempt can use it any more: it is older than the longest possible
//! request, or its holder's presence row has not changed for the lease's time to live plus margin while the
//! table was reachable, and membership also considers the holder dead. An instance that cannot renew its
//! presence ends its own reservations before that (see the validity of a [`Lease`](crate::Lease)).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ringbend_platform::{Reservation, RowVersion};
use ringbend_types::{AttemptId, EndpointId, Incarnation, Timestamp};

/// Durations of the sweep.
#[derive(Debug, Clone)]
pub struct SweepConfig {
    /// Maximum duration of a request, plus some slack.
    pub max_hold: Duration,
    /// How long a presence row must stay unchanged: the time to live plus the margin of its lease.
    pub presence_timeout: Duration,
}

impl Default for SweepConfig {
    fn default() -> Self {
        Self { max_hold: Duration::from_secs(3_700), presence_timeout: Duration::from_secs(40) }
    }
}

/// The observations of the sweeper. Only one instance sweeps at a time, under a lease.
#[derive(Debug, Clone)]
pub struct Sweeper {
    cfg: SweepConfig,
    first_seen: BTreeMap<(EndpointId, AttemptId), Timestamp>,
    presence: BTreeMap<Incarnation, (Option<RowVersion>, Timestamp)>,
    live: BTreeSet<Incarnation>,
}

impl Sweeper {
    /// Creates a sweeper without observations.
    pub fn new(cfg: SweepConfig) -> Self {
        Self { cfg, first_seen: BTreeMap::new(), presence: BTreeMap::new(), live: BTreeSet::new() }
    }

    /// Records the current presence row of an incarnation in the table; `None` if there is no row.
    pub fn observe_presence(
        &mut self,
        now: Timestamp,
        incarnation: Incarnation,
        row: Option<RowVersion>,
    ) {
        match self.presence.get(&incarnation) {
            Some((version, _)) if *version == row => {}
            _ => {
                self.presence.insert(incarnation, (row, now));
            }
        }
    }

    /// Sets the incarnations that membership considers alive, as incremented by any refutations.
    pub fn set_live(&mut self, live: BTreeSet<Incarnation>) {
        self.live = live;
    }

    /// Restarts the observation of all presence rows after a failed read of the table, because a row may have
    /// stayed unchanged only because nobody could write to it.
    pub fn reset_presence(&mut self) {
        self.presence.clear();
    }

    /// Records the reservations of an engine and returns the orphaned ones, which are to be freed.
    pub fn find_orphaned(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        held: &[Reservation],
    ) -> Vec<AttemptId> {
        let current: BTreeSet<AttemptId> = held.iter().map(|r| r.attempt).collect();
        self.first_seen.retain(|(e, attempt), _| e != endpoint || current.contains(attempt));
        for attempt in &current {
            self.first_seen.entry((endpoint.clone(), *attempt)).or_insert(now);
        }
        current.into_iter().filter(|attempt| self.is_orphaned(now, endpoint, *attempt)).collect()
    }

    fn is_orphaned(&self, now: Timestamp, endpoint: &EndpointId, attempt: AttemptId) -> bool {
        let first = self.first_seen.get(&(endpoint.clone(), attempt)).copied().unwrap_or(now);
        if now.since(first) >= self.cfg.max_hold {
            return true;
        }
        let holder = Incarnation(attempt.incarnation);
        let unchanged_for = self.presence.get(&holder).map(|(_, since)| now.since(*since));
        unchanged_for.is_some_and(|time| time >= self.cfg.presence_timeout) && !self.is_live(holder)
    }

    /// Compares start times, because attempts carry the incarnation of their holder's start, which refutations
    /// may have incremented since.
    fn is_live(&self, holder: Incarnation) -> bool {
        self.live.iter().any(|live| live.started_unix_ms() == holder.started_unix_ms())
    }
}
