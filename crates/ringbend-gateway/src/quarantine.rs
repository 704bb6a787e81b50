//! Requests, and parts of prompts, that have ended the engines that ran them, over all tries of all
//! callers and all instances.
//!
//! A request is identified by its fingerprint, and so is a part of prompts, which many requests
//! share; what follows from that is in `attribution`, and the rest applies to both. A process of an
//! endpoint that ended while it ran the request is a strike. One strike makes the request a suspect:
//! most suspects merely ran beside the request that is to blame, and are cleared by the first
//! successful run anywhere. With `STRIKES_TO_HOLD` strikes the request is held: it is sent to no
//! endpoint any more, except for a few tries much later.
//!
//! Each strike stems from a run that began when all earlier strikes were known, so that it ran
//! apart from other suspects. Of several concurrent runs only one counts: otherwise a call that
//! every client sends, and that ran on each endpoint, would be held together with the one request
//! that ended them all.
//!
//! The record of a request only grows within a round, and a later round supersedes an earlier one.
//! Instances can therefore exchange records in any order, more than once, and converge.

mod attribution;

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use ringbend_types::{EndpointId, EndpointStart, Fingerprint, PromptPartId, Timestamp};
use smallvec::SmallVec;

pub use attribution::Assessment;

use crate::endpoint::Endpoint;

/// The number of strikes after which a request is held. Two are no proof: an endpoint that ends by
/// itself adds a strike to everything that runs on it, and some of those requests meet a second
/// such endpoint. Three in a row, each apart from other suspects, are most unlikely unless the
/// request is their cause.
pub const STRIKES_TO_HOLD: usize = 3;

/// The maximum number of strikes of a part. Those beyond `STRIKES_TO_HOLD` distinguish it from other
/// causes of the same crashes.
const MAX_PART_STRIKES: usize = 8;

/// How long after its last strike or try a held request is tried again, once per entry: endpoints
/// of another version may run it successfully. There are few entries, as each try may end an
/// endpoint with everything that runs there.
const TRY_DELAYS: [Duration; 2] = [Duration::from_secs(60), Duration::from_secs(600)];

/// How long a suspect is remembered after its last strike, and a request after it was cleared.
/// Longer than callers keep retrying one request.
const SUSPECT_RETENTION: Duration = Duration::from_secs(120);

/// How long a held request is remembered after its last strike or try.
const HELD_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// The maximum number of remembered requests, about 150 bytes each. Those with the fewest strikes
/// are evicted first, and among those the oldest.
const MAX_RECORDS: usize = 4_096;

/// The maximum number of records sent to an instance that has just started: eight datagrams. Those
/// with three strikes come first; those with one are dropped after two minutes.
const MAX_SENT_AT_START: usize = 512;

/// Records that changed within this time are repeated with each heartbeat, since datagrams can be
/// lost. Longer than the time after which a silent instance counts as gone; an instance that
/// returns later receives everything.
const REPEAT_TIME: Duration = Duration::from_secs(5);

/// The fingerprints of a suspected request: those of the parts of its prompt and, last, its own.
/// Empty for a request that is not suspected.
pub type Suspects = SmallVec<[Fingerprint; 1]>;

/// The maximum number of fingerprints by which a suspected request is kept apart from others.
pub const MAX_SUSPECTS: usize = 16;

/// The process of an endpoint that ended.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct EndedProcess {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// When the process had started, if endpoints report it.
    pub start: Option<EndpointStart>,
}

impl EndedProcess {
    /// The process that is known as `endpoint`.
    pub fn of(endpoint: &Endpoint) -> Self {
        Self { endpoint: endpoint.id.clone(), start: endpoint.start }
    }
}

/// The record of one request, as exchanged between instances.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspicion {
    /// The fingerprint of the request or part.
    pub fingerprint: Fingerprint,
    /// The part of prompts; `None` for a request.
    pub part: Option<PromptPartId>,
    /// Raised each time the request is cleared.
    pub round: u32,
    /// The processes that ended while they ran it, one per strike. For a request in order and
    /// `STRIKES_TO_HOLD` at most, for a part sorted.
    pub ended: SmallVec<[EndedProcess; STRIKES_TO_HOLD]>,
    /// Those among them whose run began when the part had a strike, so that it ran apart from other
    /// suspects. Sorted; empty for a request, all of whose strikes but the first are of such runs.
    pub tested: SmallVec<[EndedProcess; 2]>,
    /// For a request, the processes that ended during runs beside those of its strikes, which count
    /// as none. Sorted; empty for a part.
    pub concurrent: SmallVec<[EndedProcess; 2]>,
    /// The number of tries since the request is held.
    pub tries: u8,
}

impl Suspicion {
    /// Whether the request is held, or would be with one more strike. All instances must know such
    /// a record, including those that start later.
    pub fn is_severe(&self) -> bool {
        self.ended.len() + 1 >= STRIKES_TO_HOLD
    }

    fn new(fingerprint: Fingerprint, part: Option<PromptPartId>) -> Self {
        Self {
            fingerprint,
            part,
            round: 0,
            ended: SmallVec::new(),
            tested: SmallVec::new(),
            concurrent: SmallVec::new(),
            tries: 0,
        }
    }

    /// The number of processes in the lists that do not count as strikes.
    fn side_lists_len(&self) -> usize {
        self.tested.len() + self.concurrent.len()
    }

    /// Whether the process ended while it ran the request, or one with the part.
    fn includes(&self, process: &EndedProcess) -> bool {
        self.ended.contains(process) || self.concurrent.contains(process)
    }

    /// Whether there are enough strikes to hold it, if nothing else explains them.
    fn is_conclusive(&self) -> bool {
        self.ended.len() >= STRIKES_TO_HOLD && (self.part.is_none() || !self.tested.is_empty())
    }
}

/// How a request or part is treated.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectState {
    /// It has no strikes.
    Clear,
    /// It has this many strikes: it runs on one endpoint at a time, apart from other suspects.
    Suspect(usize),
    /// It is sent to no endpoint.
    Held,
}

#[derive(Debug, Clone)]
struct Record {
    suspicion: Suspicion,
    /// When this instance last learned something new.
    changed_at: Timestamp,
    /// When this instance last learned that it was cleared.
    cleared_at: Option<Timestamp>,
}

impl Record {
    fn is_held(&self) -> bool {
        self.suspicion.is_conclusive()
    }

    fn retention(&self) -> Duration {
        if self.is_held() { HELD_RETENTION } else { SUSPECT_RETENTION }
    }
}

/// The requests that are suspected or held.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    records: HashMap<Fingerprint, Record>,
}

impl Quarantine {
    /// How a request or part is treated.
    pub fn state(&self, fingerprint: Fingerprint) -> SuspectState {
        let Some(suspicion) = self.get(fingerprint) else { return SuspectState::Clear };
        match suspicion.ended.len() {
            0 => SuspectState::Clear,
            _ if suspicion.is_conclusive() && !self.has_rival(fingerprint) => SuspectState::Held,
            strikes => SuspectState::Suspect(strikes),
        }
    }

    /// The number of strikes of the request.
    pub fn strikes(&self, fingerprint: Fingerprint) -> usize {
        self.records.get(&fingerprint).map_or(0, |record| record.suspicion.ended.len())
    }

    /// Whether a request with these suspects may run beside the others. One with two strikes runs
    /// beside no other suspect, so that its third strike can be attributed to it. Others are kept
    /// apart only if there is room: when many endpoints end at once, there are more suspects than
    /// endpoints.
    pub fn may_run_beside(
        &self,
        suspects: &[Fingerprint],
        mut others: impl Iterator<Item = Fingerprint>,
    ) -> bool {
        let is_severe = |fingerprint| self.strikes(fingerprint) + 1 >= STRIKES_TO_HOLD;
        let is_apart = suspects.iter().any(|suspect| is_severe(*suspect));
        others.all(|other| suspects.contains(&other) || (!is_apart && !is_severe(other)))
    }

    /// Records that a process ended while it ran the request. The run began when the request had
    /// `before` strikes. Returns whether this adds a strike.
    pub fn strike(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        process: EndedProcess,
        before: usize,
    ) -> bool {
        if before != self.strikes(fingerprint) || before >= STRIKES_TO_HOLD {
            return false;
        }
        let mut updated =
            self.get(fingerprint).cloned().unwrap_or_else(|| Suspicion::new(fingerprint, None));
        if updated.ended.contains(&process) {
            // It was sent again to the process that had cut it off, before that process was known
            // to have ended.
            return false;
        }
        updated.ended.push(process);
        self.merge(now, &updated)
    }

    /// Records that a process ended during a run of the request that is no strike, because it was
    /// concurrent with the run of one. Returns whether this is new.
    pub fn note_concurrent(
        &mut self,
        now: Timestamp,
        fingerprint: Fingerprint,
        process: EndedProcess,
    ) -> bool {
        let Some(known) = self.get(fingerprint).filter(|known| !known.includes(&process)) else {
            return false;
        };
        let mut updated = known.clone();
        insert_sorted(&mut updated.concurrent, process);
        self.merge(now, &updated)
    }

    /// Like [`Quarantine::strike`], for a part of the request's prompt. Each process counts, as
    /// several requests with the part may have been under way before the first strike.
    pub fn strike_part(
        &mut self,
        now: Timestamp,
        (fingerprint, part): (Fingerprint, PromptPartId),
        process: EndedProcess,
        before: usize,
    ) -> bool {
        let unknown = || Suspicion::new(fingerprint, Some(part));
        let mut updated = self.get(fingerprint).cloned().unwrap_or_else(unknown);
        if before > 0 && !updated.ended.is_empty() {
            insert_sorted(&mut updated.tested, process.clone());
        }
        insert_sorted(&mut updated.ended, process);
        self.merge(now, &updated)
    }

    /// Records a successful run of the request, or of a request with the part. Returns whether it
    /// had any strikes.
    pub fn clear(&mut self, now: Timestamp, fingerprint: Fingerprint) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else { return false };
        if record.suspicion.ended.is_empty() {
            return false;
        }
        record.suspicion.round += 1;
        record.suspicion.ended.clear();
        record.suspicion.tested.clear();
        record.suspicion.concurrent.clear();
        record.suspicion.tries = 0;
        record.changed_at = now;
        record.cleared_at = Some(now);
        true
    }

    /// Merges a record received from another instance. Returns whether anything in it is new.
    pub fn merge(&mut self, now: Timestamp, received: &Suspicion) -> bool {
        let Some(record) = self.records.get_mut(&received.fingerprint) else {
            self.insert(now, received.clone());
            return true;
        };
        let known = &mut record.suspicion;
        if received.round < known.round {
            return false;
        }
        if received.round > known.round {
            *known = received.clone();
            record.changed_at = now;
            record.cleared_at = Some(now);
            return true;
        }
        let is_part = known.part.is_some();
        let before = (known.ended.len(), known.side_lists_len(), known.tries);
        if is_part {
            received.ended.iter().for_each(|p| insert_sorted(&mut known.ended, p.clone()));
            received.tested.iter().for_each(|p| insert_sorted(&mut known.tested, p.clone()));
        } else {
            merge_in_order(&mut known.ended, &received.ended);
            received
                .concurrent
                .iter()
                .for_each(|p| insert_sorted(&mut known.concurrent, p.clone()));
        }
        known.tries = known.tries.max(received.tries);
        let is_new = (known.ended.len(), known.side_lists_len(), known.tries) != before;
        if is_new {
            record.changed_at = now;
        }
        is_new
    }

    fn insert(&mut self, now: Timestamp, received: Suspicion) {
        if self.records.len() >= MAX_RECORDS {
            self.make_room(now);
        }
        let record = Record { suspicion: received, changed_at: now, cleared_at: None };
        self.records.insert(record.suspicion.fingerprint, record);
    }

    fn make_room(&mut self, now: Timestamp) {
        self.sweep(now);
        let least = |(_, r): &(&Fingerprint, &Record)| (r.suspicion.ended.len(), r.changed_at);
        while self.records.len() >= MAX_RECORDS {
            let Some(least) = self.records.iter().min_by_key(least).map(|(id, _)| *id) else {
                return;
            };
            self.records.remove(&least);
        }
    }

    /// Drops old records. Returns those of the dropped requests that may have rows in the store.
    pub fn sweep(&mut self, now: Timestamp) -> Vec<Fingerprint> {
        let mut stored = Vec::new();
        self.records.retain(|fingerprint, record| {
            let is_kept = now.since(record.changed_at) < record.retention();
            if !is_kept && record.suspicion.is_severe() {
                stored.push(*fingerprint);
            }
            is_kept
        });
        stored
    }

    /// The number, starting from one, of the try that is due for a held request; `None` if none is
    /// due.
    pub fn try_due(&self, now: Timestamp, fingerprint: Fingerprint) -> Option<u8> {
        let (at, number) = self.next_try(fingerprint)?;
        (at <= now).then_some(number)
    }

    /// The time until a held request may be tried; `None` if it never is.
    pub fn until_try(&self, now: Timestamp, fingerprint: Fingerprint) -> Option<Duration> {
        self.next_try(fingerprint).map(|(at, _)| at.since(now))
    }

    fn next_try(&self, fingerprint: Fingerprint) -> Option<(Timestamp, u8)> {
        let record = self.records.get(&fingerprint).filter(|record| record.is_held())?;
        let tries = record.suspicion.tries;
        let after = TRY_DELAYS.get(usize::from(tries))?;
        Some((record.changed_at + *after, tries + 1))
    }

    /// Records that some instance has claimed the try with this number.
    pub fn record_try(&mut self, now: Timestamp, fingerprint: Fingerprint, number: u8) {
        if let Some(record) = self.records.get_mut(&fingerprint)
            && record.suspicion.tries < number
        {
            record.suspicion.tries = number;
            record.changed_at = now;
        }
    }

    /// The record of a request.
    pub fn get(&self, fingerprint: Fingerprint) -> Option<&Suspicion> {
        self.records.get(&fingerprint).map(|record| &record.suspicion)
    }

    /// The records of all requests that are suspected or held.
    pub fn suspicions(&self) -> impl Iterator<Item = &Suspicion> {
        self.records.values().map(|r| &r.suspicion).filter(|s| !s.ended.is_empty())
    }

    /// The records for an instance that has just started, those with the most strikes first. An
    /// instance that does not know of a first strike would place that request beside one with two.
    pub fn for_starting(&self) -> impl Iterator<Item = &Suspicion> {
        let suspected = self.records.values().map(|r| &r.suspicion).filter(|s| !s.ended.is_empty());
        let mut suspected: Vec<&Suspicion> = suspected.collect();
        suspected.sort_by_key(|s| (Reverse(s.ended.len()), s.fingerprint));
        suspected.into_iter().take(MAX_SENT_AT_START)
    }

    /// The recent and most important records, to be sent again.
    pub fn recent(&self, now: Timestamp) -> impl Iterator<Item = &Suspicion> {
        let is_recent = move |record: &&Record| now.since(record.changed_at) < REPEAT_TIME;
        let recent = self.records.values().filter(is_recent).map(|record| &record.suspicion);
        recent.filter(|s| s.is_severe() || (s.ended.is_empty() && s.round > 0))
    }

    /// The number of held requests.
    pub fn held_count(&self) -> usize {
        let is_request = |record: &&Record| record.suspicion.part.is_none();
        self.records.values().filter(is_request).filter(|record| record.is_held()).count()
    }

    /// The number of requests and parts that are suspected or held.
    pub fn suspect_count(&self) -> usize {
        self.records.values().filter(|record| !record.suspicion.ended.is_empty()).count()
    }

    /// The number of records, including those of cleared requests.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}

/// Merges the strikes of a request: of two concurrent runs, all instances keep the same one.
fn merge_in_order(
    known: &mut SmallVec<[EndedProcess; STRIKES_TO_HOLD]>,
    received: &[EndedProcess],
) {
    for (at, process) in received.iter().take(STRIKES_TO_HOLD).enumerate() {
        match known.get_mut(at) {
            Some(known) if process < known => *known = process.clone(),
            Some(_) => {}
            None => known.push(process.clone()),
        }
    }
}

/// Adds a process to a sorted set, of which the first [`MAX_PART_STRIKES`] are kept.
fn insert_sorted<const N: usize>(set: &mut SmallVec<[EndedProcess; N]>, process: EndedProcess)
where
    [EndedProcess; N]: smallvec::Array<Item = EndedProcess>,
{
    if let Err(at) = set.binary_search(&process) {
        set.insert(at, process);
        set.truncate(MAX_PART_STRIKES);
    }
}
