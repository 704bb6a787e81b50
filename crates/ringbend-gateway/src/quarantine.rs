//! Which requests have ended the engines that ran them, over all tries of their callers and all instances.
//!
//! A request is known by its fingerprint. A process of an endpoint that ended while it ran the request is a
//! strike. One strike makes a suspect: most suspects only ran beside the request that is to blame, and are
//! cleared by the first run that ends well anywhere. With `STRIKES_TO_HOLD` strikes the request is held: it is sent
//! to no endpoint any more, but for a few tries long afterwards.
//!
//! Each strike is by a run that began when all strikes before it were known, so that it ran apart from other
//! suspects. Of several runs that were under way together one counts: a call that all send, and that ran on
//! each endpoint, would else be held with the one request that ended them all.
//!
//! What is known of a request only grows within a round, and a later round goes before an earlier one. So
//! instances can tell each other in any order, more than once, and end up with the same.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use ringbend_types::{EndpointId, EndpointStart, Fingerprint, Timestamp};
use smallvec::SmallVec;

/// Strikes that hold a request. Two are no proof: an endpoint that ends by itself strikes all that run on it,
/// and some of those meet a second one. That three do so in a row, each apart from other suspects, is most
/// unlikely.
pub const STRIKES_TO_HOLD: usize = 3;

/// How long after its last strike or try a held request is tried again, once for each entry: endpoints of
/// another version may run it well. Few, as each try may end an endpoint with all that runs there.
const TRIES_AFTER: [Duration; 2] = [Duration::from_secs(60), Duration::from_secs(600)];

/// How long a suspect is remembered after its last strike, and one that was cleared. Longer than callers go on
/// coming back with one request.
const SUSPECT_TIME: Duration = Duration::from_secs(120);

/// How long a held request is remembered after its last strike or try.
const HELD_TIME: Duration = Duration::from_secs(24 * 3600);

/// The most requests that are remembered; some 150 bytes each. What gives way first has the fewest strikes,
/// and of those the oldest.
const MOST_KEPT: usize = 4_096;

/// The most requests that an instance is told of which has just started: eight datagrams. Those with three strikes
/// come first, those with one are forgotten after two minutes.
const MOST_TOLD_AT_START: usize = 512;

/// What was noted within this time is told again with each heartbeat, as datagrams are lost. Longer than
/// an instance may be silent before it counts as gone; one that comes back after that is told all.
const TOLD_AGAIN: Duration = Duration::from_secs(5);

/// The process of an endpoint that ended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndedProcess {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When the process had started, if endpoints tell.
    pub start: Option<EndpointStart>,
}

/// What is known of one request, as instances tell each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspicion {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Raised each time that it is cleared.
    pub round: u32,
    /// The processes that ended while they ran it, one for each strike, in order; `STRIKES_TO_HOLD` at most.
    pub ended: SmallVec<[EndedProcess; STRIKES_TO_HOLD]>,
    /// How often it was tried since it is held.
    pub tries: u8,
}

impl Suspicion {
    /// Whether one strike more holds the request, or it is held: all instances must know, also later ones.
    pub fn is_severe(&self) -> bool {
        self.ended.len() + 1 >= STRIKES_TO_HOLD
    }

    fn of(fingerprint: Fingerprint) -> Self {
        Self { fingerprint, round: 0, ended: SmallVec::new(), tries: 0 }
    }
}

/// What follows for a request from what is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectState {
    /// Nothing is known against it.
    Clear,
    /// It ran on so many endpoints that ended: it runs on one at a time, apart from other suspects.
    Suspect(usize),
    /// It is sent to no endpoint.
    Held,
}

#[derive(Debug, Clone)]
struct Record {
    suspicion: Suspicion,
    /// When this instance last heard something new.
    changed: Timestamp,
}

impl Record {
    fn is_held(&self) -> bool {
        self.suspicion.ended.len() >= STRIKES_TO_HOLD
    }

    fn lasts(&self) -> Duration {
        if self.is_held() { HELD_TIME } else { SUSPECT_TIME }
    }
}

/// The requests that are suspected or held.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, Record>,
}

impl Quarantine {
    /// What follows for a request.
    pub fn state(&self, fingerprint: Fingerprint) -> SuspectState {
        match self.strikes(fingerprint) {
            0 => SuspectState::Clear,
            strikes if strikes < STRIKES_TO_HOLD => SuspectState::Suspect(strikes),
            _ => SuspectState::Held,
        }
    }

    /// How many strikes the request has.
    pub fn strikes(&self, of: Fingerprint) -> usize {
        self.records.get(&of).map_or(0, |record| record.suspicion.ended.len())
    }

    /// Whether a suspect may be put where these run. What has two strikes runs beside no other suspect, so that
    /// its third strike is by nobody else; others are kept apart only where there is room, as where many
    /// endpoints end at once there are more suspects than endpoints.
    pub fn may_run_beside(
        &self,
        of: Fingerprint,
        mut others: impl Iterator<Item = Fingerprint>,
    ) -> bool {
        let is_severe = |of| self.strikes(of) + 1 >= STRIKES_TO_HOLD;
        others.all(|other| other == of || (!is_severe(of) && !is_severe(other)))
    }

    /// Notes that a process ended while it ran the request, by a run that began when the request had so many
    /// strikes. Returns whether that is one strike more.
    pub fn strike(
        &mut self,
        now: Timestamp,
        of: Fingerprint,
        process: EndedProcess,
        before: usize,
    ) -> bool {
        if before != self.strikes(of) || before >= STRIKES_TO_HOLD {
            return false;
        }
        let mut told = self.get(of).cloned().unwrap_or_else(|| Suspicion::of(of));
        if told.ended.contains(&process) {
            // It came again to where it had been cut off, before that was known to be gone.
            return false;
        }
        told.ended.push(process);
        self.merge(now, &told)
    }

    /// Notes that a run of the request ended well. Returns whether anything was held against it.
    pub fn clear(&mut self, now: Timestamp, of: Fingerprint) -> bool {
        let Some(record) = self.records.get_mut(&of) else { return false };
        if record.suspicion.ended.is_empty() {
            return false;
        }
        record.suspicion.round += 1;
        record.suspicion.ended.clear();
        record.suspicion.tries = 0;
        record.changed = now;
        true
    }

    /// Takes in what another instance knows. Returns whether any of it is new.
    pub fn merge(&mut self, now: Timestamp, told: &Suspicion) -> bool {
        let Some(record) = self.records.get_mut(&told.fingerprint) else {
            self.insert(now, told.clone());
            return true;
        };
        let known = &mut record.suspicion;
        if told.round < known.round {
            return false;
        }
        if told.round > known.round {
            *known = told.clone();
            record.changed = now;
            return true;
        }
        let before = (known.ended.len(), known.tries);
        for (at, process) in told.ended.iter().take(STRIKES_TO_HOLD).enumerate() {
            match known.ended.get_mut(at) {
                // Two runs that were under way together: all keep the same one.
                Some(known) if process < known => *known = process.clone(),
                Some(_) => {}
                None => known.ended.push(process.clone()),
            }
        }
        known.tries = known.tries.max(told.tries);
        let is_new = (known.ended.len(), known.tries) != before;
        if is_new {
            record.changed = now;
        }
        is_new
    }

    fn insert(&mut self, now: Timestamp, told: Suspicion) {
        if self.records.len() >= MOST_KEPT {
            self.make_room(now);
        }
        self.records.insert(told.fingerprint, Record { suspicion: told, changed: now });
    }

    fn make_room(&mut self, now: Timestamp) {
        self.sweep(now);
        let least = |(_, r): &(&Fingerprint, &Record)| (r.suspicion.ended.len(), r.changed);
        while self.records.len() >= MOST_KEPT {
            let Some(least) = self.records.iter().min_by_key(least).map(|(id, _)| *id) else {
                return;
            };
            self.records.remove(&least);
        }
    }

    /// Forgets what was noted long ago. Returns the requests of which rows may be kept.
    pub fn sweep(&mut self, now: Timestamp) -> Vec<Fingerprint> {
        let mut kept = Vec::new();
        self.records.retain(|fingerprint, record| {
            let stays = now.since(record.changed) < record.lasts();
            if !stays && record.suspicion.is_severe() {
                kept.push(*fingerprint);
            }
            stays
        });
        kept
    }

    /// The number, from one, of the try that a held request is due; none if it is not.
    pub fn try_due(&self, now: Timestamp, of: Fingerprint) -> Option<u8> {
        let (at, number) = self.next_try(of)?;
        (at <= now).then_some(number)
    }

    /// How long until a held request may be tried; none if it never is.
    pub fn until_try(&self, now: Timestamp, of: Fingerprint) -> Option<Duration> {
        self.next_try(of).map(|(at, _)| at.since(now))
    }

    fn next_try(&self, of: Fingerprint) -> Option<(Timestamp, u8)> {
        let record = self.records.get(&of).filter(|record| record.is_held())?;
        let tries = record.suspicion.tries;
        let after = TRIES_AFTER.get(usize::from(tries))?;
        Some((record.changed + *after, tries + 1))
    }

    /// Notes that some instance has the try of this number.
    pub fn record_try(&mut self, now: Timestamp, of: Fingerprint, number: u8) {
        if let Some(record) = self.records.get_mut(&of)
            && record.suspicion.tries < number
        {
            record.suspicion.tries = number;
            record.changed = now;
        }
    }

    /// What is known of a request.
    pub fn get(&self, fingerprint: Fingerprint) -> Option<&Suspicion> {
        self.records.get(&fingerprint).map(|record| &record.suspicion)
    }

    /// What is known of each request that is suspected or held.
    pub fn suspicions(&self) -> impl Iterator<Item = &Suspicion> {
        self.records.values().map(|r| &r.suspicion).filter(|s| !s.ended.is_empty())
    }

    /// What an instance needs to know that has just started: those with most strikes first. One that does not know of
    /// a first strike would put that request beside a call with two.
    pub fn for_starting(&self) -> impl Iterator<Item = &Suspicion> {
        let struck = self.records.values().map(|r| &r.suspicion).filter(|s| !s.ended.is_empty());
        let mut struck: Vec<&Suspicion> = struck.collect();
        struck.sort_by_key(|s| (Reverse(s.ended.len()), s.fingerprint));
        struck.into_iter().take(MOST_TOLD_AT_START)
    }

    /// What was noted lately and matters most, to be told again.
    pub fn recent(&self, now: Timestamp) -> impl Iterator<Item = &Suspicion> {
        let is_recent = move |record: &&Record| now.since(record.changed) < TOLD_AGAIN;
        let recent = self.records.values().filter(is_recent).map(|record| &record.suspicion);
        recent.filter(|s| s.is_severe() || (s.ended.is_empty() && s.round > 0))
    }

    /// How many requests are held.
    pub fn held_count(&self) -> usize {
        self.records.values().filter(|record| record.is_held()).count()
    }

    /// How many requests are suspected or held.
    pub fn suspect_count(&self) -> usize {
        self.records.values().filter(|record| !record.suspicion.ended.is_empty()).count()
    }

    /// How many are remembered, those that were cleared included.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
