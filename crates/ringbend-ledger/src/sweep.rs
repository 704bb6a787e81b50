//! Finds memory on engines that belongs to nobody.
//!
//! A reservation is swept when no attempt can still use it: it has been there longer than any
//! request may last, or its holder's presence row has stood still for the lease's time to live
//! and margin while the table answered, and membership has the holder dead as well. An instance
//! that cannot renew its presence ends its own reservations first (see the lease's validity).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ringbend_platform::{Reservation, RowVersion};
use ringbend_types::{AttemptId, EndpointId, Incarnation, Timestamp};

/// Times of the sweep.
#[derive(Debug, Clone)]
pub struct SweepConfig {
    /// The longest any request may last, with some room.
    pub max_hold: Duration,
    /// How long a presence row must stand still: its lease's time to live and margin.
    pub presence_timeout: Duration,
}

impl Default for SweepConfig {
    fn default() -> Self {
        Self { max_hold: Duration::from_secs(3_700), presence_timeout: Duration::from_secs(40) }
    }
}

/// What the sweeper has seen. One instance sweeps at a time, under a lease.
#[derive(Debug, Clone)]
pub struct Sweeper {
    cfg: SweepConfig,
    first_seen: BTreeMap<(EndpointId, AttemptId), Timestamp>,
    presence: BTreeMap<Incarnation, (Option<RowVersion>, Timestamp)>,
    live: BTreeSet<Incarnation>,
}

impl Sweeper {
    /// A sweeper that has seen nothing.
    pub fn new(cfg: SweepConfig) -> Self {
        Self { cfg, first_seen: BTreeMap::new(), presence: BTreeMap::new(), live: BTreeSet::new() }
    }

    /// Takes the presence row of an incarnation as the table has it now; `None` is no row.
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

    /// Takes the incarnations that membership has alive, as they are after any refutations.
    pub fn set_live(&mut self, live: BTreeSet<Incarnation>) {
        self.live = live;
    }

    /// A failed read of the table: presence counts anew, for a row may have stood still only
    /// because nobody could write it.
    pub fn reset_presence(&mut self) {
        self.presence.clear();
    }

    /// Takes an engine's reservations and returns those to free.
    pub fn find_orphaned(
        &mut self,
        now: Timestamp,
        endpoint: &EndpointId,
        held: &[Reservation],
    ) -> Vec<AttemptId> {
        let here: BTreeSet<AttemptId> = held.iter().map(|r| r.attempt).collect();
        self.first_seen.retain(|(e, attempt), _| e != endpoint || here.contains(attempt));
        for attempt in &here {
            self.first_seen.entry((endpoint.clone(), *attempt)).or_insert(now);
        }
        here.into_iter().filter(|attempt| self.is_orphaned(now, endpoint, *attempt)).collect()
    }

    fn is_orphaned(&self, now: Timestamp, endpoint: &EndpointId, attempt: AttemptId) -> bool {
        let first = self.first_seen.get(&(endpoint.clone(), attempt)).copied().unwrap_or(now);
        if now.since(first) >= self.cfg.max_hold {
            return true;
        }
        let holder = Incarnation(attempt.incarnation);
        let still = self.presence.get(&holder).map(|(_, since)| now.since(*since));
        still.is_some_and(|still| still >= self.cfg.presence_timeout) && !self.is_live(holder)
    }

    /// Attempts carry the incarnation of their holder's start, which refutations have raised since.
    fn is_live(&self, holder: Incarnation) -> bool {
        self.live.iter().any(|live| live.started_unix_ms() == holder.started_unix_ms())
    }
}
