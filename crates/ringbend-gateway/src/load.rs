//! What is believed to run on each endpoint: this instance's own requests and what peers tell.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ringbend_types::{EndpointId, Fingerprint, Timestamp};
use smallvec::SmallVec;

use crate::pace::Pace;
use crate::suspect_work::SuspectWork;
use crate::waiting_prompt::WaitingPrompt;

/// Names one request's work over all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkId {
    /// The incarnation of the instance that placed it.
    pub instance: u64,
    /// Counts up from one within the incarnation.
    pub sequence: u64,
}

/// The work that one request puts on endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// Reads the prompt, or its part of it, and writes the answer.
    pub lead: EndpointId,
    /// Read a part of the prompt each.
    pub helpers: SmallVec<[EndpointId; 4]>,
    /// How long each of them reads.
    pub part: Duration,
    /// Memory that it takes on the lead, in tokens.
    pub memory_tokens: u64,
    /// Memory that is held for it on helpers.
    pub held: SmallVec<[HelperMemory; 2]>,
    /// The longest pause between events that its caller takes for on time.
    pub gap: Duration,
    /// When its first event is due.
    pub first_by: Timestamp,
    /// What is lost if it is late, against a request of the usual small size.
    pub stake: f64,
    /// When it must have ended; forgotten then if nobody tells of its end.
    pub until: Timestamp,
    /// Whether its prompt is long: it waited for its turn and is kept off quiet engines.
    pub long: bool,
    /// The request, if it is suspected of ending endpoints.
    pub suspect: Option<Fingerprint>,
}

/// Memory on a helper that holds a part of a prompt which is too large for its lead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HelperMemory {
    /// The helper.
    pub endpoint: EndpointId,
    /// How much, in tokens.
    pub tokens: u64,
}

impl Work {
    /// How many engines read the prompt.
    fn part_count(&self) -> f64 {
        (self.helpers.len() + 1) as f64
    }

    fn endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        std::iter::once(&self.lead).chain(&self.helpers)
    }
}

/// A request that writes on an endpoint, or will once its prompt is read.
#[derive(Debug, Clone, Copy)]
pub struct DecodeTask {
    id: WorkId,
    /// Whether its first event has come.
    pub writing: bool,
    /// The longest pause that its caller takes for on time.
    pub gap: Duration,
    /// When its first event is due.
    pub first_by: Timestamp,
    /// What is lost if it is late, or later still.
    pub stake: f64,
    /// Whether its prompt is long.
    pub long: bool,
    /// Whether it is expected to be late already.
    late: bool,
}

impl DecodeTask {
    /// How long the engine may read from `now` on before this request is late.
    pub fn limit(&self, now: Timestamp) -> Duration {
        if self.writing { self.gap } else { self.first_by.since(now) }
    }
}

/// A prompt, or a part of one, that waits to be read or is being read.
#[derive(Debug, Clone, Copy)]
pub struct PrefillTask {
    id: WorkId,
    /// How long it takes to read what is left.
    pub left: Duration,
    /// When its request's first event is due.
    pub first_by: Timestamp,
    /// What is lost if it is late, shared out among the parts of the prompt.
    pub stake: f64,
}

/// What is believed of one endpoint.
///
/// Engines read parts of split prompts first, the newest of them before all others, and whole
/// prompts afterwards in the order in which they came. Runs with few engines showed this.
#[derive(Debug, Clone, Default)]
pub struct EndpointLoad {
    /// Parts of split prompts, the oldest first.
    parts: Vec<PrefillTask>,
    /// Whole prompts, the oldest first.
    wholes: Vec<PrefillTask>,
    /// Up to when reading has been taken off.
    advanced: Timestamp,
    /// The longest part that it was lately given, and when.
    part: (Duration, Timestamp),
    writers: SmallVec<[DecodeTask; 8]>,
    memory_tokens: u64,
    pace: Pace,
    /// Up to when its pace is believed, if it is slow.
    pace_until: Timestamp,
}

/// What a late request still has to lose, as a share of its stake: its caller may leave.
pub(crate) const LATE_STAKE: f64 = 0.3;

/// A pass that reads nothing takes about this long on the engines that were measured.
const SHORT_PASS: Duration = Duration::from_millis(45);

/// What an engine reads for so little longer is read before any part that it is given now: two passes,
/// one of which cannot be interrupted.
const NEARLY_READ: Duration = Duration::from_millis(100);

/// How fast the memory of a long part fades: half of it after this time.
const PART_HALF_LIFE: Duration = Duration::from_secs(1);

/// The share of its time that an engine reads while it has something to read and writes as well.
const READ_SHARE: f64 = 0.85;

impl EndpointLoad {
    /// How long it still reads.
    pub fn backlog(&self) -> Duration {
        self.parts.iter().chain(&self.wholes).map(|reader| reader.left).sum()
    }

    /// How long it still reads parts of split prompts, which go before whole ones.
    pub fn parts_backlog(&self) -> Duration {
        self.parts.iter().map(|reader| reader.left).sum()
    }

    /// What waits to be read, in the order in which it will be.
    pub fn prefills(&self) -> impl Iterator<Item = &PrefillTask> {
        self.parts.iter().rev().chain(&self.wholes)
    }

    /// The requests that write on it or will.
    pub fn decodes(&self) -> &[DecodeTask] {
        &self.writers
    }

    /// Those whose next event waits for nothing but a pass: their prompts have been read, or will be
    /// within the next passes, though word of their first event may not have come.
    pub(crate) fn about_to_write(&self) -> impl Iterator<Item = &DecodeTask> {
        let is_read = |writer: &DecodeTask| {
            let left = self.prefills().find(|reader| reader.id == writer.id).map(|r| r.left);
            left.is_none_or(|left| left <= NEARLY_READ)
        };
        self.writers.iter().filter(move |writer| writer.writing || is_read(writer))
    }

    /// How many of them have short prompts.
    pub fn quiet(&self) -> usize {
        self.writers.iter().filter(|writer| !writer.long).count()
    }

    /// Whether nothing is known of it that an engine without work would not have.
    fn is_idle(&self, now: Timestamp) -> bool {
        let is_slow = self.pace.is_slow() && now < self.pace_until;
        self.writers.is_empty() && self.backlog().is_zero() && !is_slow
    }

    /// Memory taken, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        self.memory_tokens
    }

    /// The longest part that it was lately given, fading with time: a guess at what is to come.
    pub fn usual_part(&self, now: Timestamp) -> Duration {
        let (part, at) = self.part;
        let halvings = now.since(at).as_secs_f64() / PART_HALF_LIFE.as_secs_f64();
        part.mul_f64(0.5f64.powf(halvings))
    }

    /// How much slower than configured it is. What waits there takes that many times as long.
    pub fn pace(&self) -> Pace {
        self.pace
    }

    /// Takes off what has been read until `now`.
    fn advance(&mut self, now: Timestamp) {
        let share = if self.writers.is_empty() { 1.0 } else { READ_SHARE };
        let mut time = now.since(self.advanced).mul_f64(share / self.pace.factor());
        if self.pace_until <= now {
            self.pace = Pace::USUAL;
        }
        self.advanced = now;
        for reader in self.parts.iter_mut().rev().chain(&mut self.wholes) {
            let read = reader.left.min(time);
            reader.left -= read;
            time -= read;
        }
        self.parts.retain(|reader| !reader.left.is_zero());
        self.wholes.retain(|reader| !reader.left.is_zero());
    }

    fn add(&mut self, now: Timestamp, reader: PrefillTask, is_part: bool) {
        if self.usual_part(now) < reader.left {
            self.part = (reader.left, now);
        }
        let readers = if is_part { &mut self.parts } else { &mut self.wholes };
        readers.push(reader);
    }

    fn remove_reader(&mut self, id: WorkId) {
        self.parts.retain(|reader| reader.id != id);
        self.wholes.retain(|reader| reader.id != id);
    }

    /// Notes which requests are late by what waits to be read: they have less to lose, so further
    /// long prompts had better go where they are.
    fn spoil(&mut self, now: Timestamp) {
        let pass = self.backlog() + SHORT_PASS;
        for writer in &mut self.writers {
            if !writer.late && pass > writer.limit(now) {
                writer.late = true;
                writer.stake *= LATE_STAKE;
            }
        }
    }
}

#[derive(Debug, Clone)]
struct Open {
    work: Work,
    writing: bool,
    since: Timestamp,
}

/// The load of all endpoints.
#[derive(Debug, Clone, Default)]
pub struct LoadTracker {
    open: HashMap<WorkId, Open>,
    suspects: SuspectWork,
    waiting: BTreeMap<WorkId, WaitingPrompt>,
    endpoints: BTreeMap<EndpointId, EndpointLoad>,
    swept_at: Timestamp,
    /// What is told of an endpoint that nothing runs on.
    idle: EndpointLoad,
}

/// How long an engine is taken for slow after its last word. It is asked again while it is, so this
/// only ends what is believed where that was lost.
const PACE_TIME: Duration = Duration::from_millis(3_000);

/// How long what an instance tells of its work may have been on its way when more of it was placed.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// How often work that outlived its deadline is looked for.
const SWEEP_EVERY: Duration = Duration::from_millis(500);

impl LoadTracker {
    /// Takes off what endpoints have read until `now`.
    pub fn advance(&mut self, now: Timestamp) {
        self.endpoints.values_mut().for_each(|load| load.advance(now));
    }

    /// The load of an endpoint, as of the last `advance`.
    pub fn of(&self, id: &EndpointId) -> &EndpointLoad {
        self.endpoints.get(id).unwrap_or(&self.idle)
    }

    /// Notes how much slower than configured an engine is.
    pub fn set_pace(&mut self, now: Timestamp, engine: &EndpointId, pace: Pace) {
        if !pace.is_slow() && !self.endpoints.contains_key(engine) {
            return;
        }
        let load = self.endpoints.entry(engine.clone()).or_default();
        load.advance(now);
        (load.pace, load.pace_until) = (pace, now + PACE_TIME);
    }

    /// Notes work that was placed.
    pub fn place(&mut self, now: Timestamp, id: WorkId, work: Work) {
        self.sweep(now);
        self.end(now, id);
        let Work { part: left, first_by, stake, .. } = work;
        let is_part = !work.helpers.is_empty();
        let reader = PrefillTask { id, left, first_by, stake: stake / work.part_count().sqrt() };
        for endpoint in work.endpoints() {
            let load = self.endpoints.entry(endpoint.clone()).or_default();
            load.advance(now);
            load.add(now, reader, is_part);
            load.spoil(now);
        }
        let lead = self.endpoints.entry(work.lead.clone()).or_default();
        let Work { gap, first_by, stake, long, .. } = work;
        lead.writers.push(DecodeTask {
            id,
            writing: false,
            gap,
            first_by,
            stake,
            long,
            late: false,
        });
        lead.memory_tokens += work.memory_tokens;
        for held in &work.held {
            let load = self.endpoints.entry(held.endpoint.clone()).or_default();
            load.memory_tokens += held.tokens;
        }
        if work.suspect.is_some() {
            self.suspects.begin(id);
        }
        self.open.insert(id, Open { work, writing: false, since: now });
    }

    /// Notes work that another instance tells of. What is known already stays as it is, so that
    /// hearing of it again does not begin its reading anew.
    pub fn merge_placed(&mut self, now: Timestamp, id: WorkId, work: Work, writing: bool) {
        let known = self.open.get(&id).map(|open| &open.work);
        if known.is_none_or(|known| known.lead != work.lead || known.helpers != work.helpers) {
            self.place(now, id, work);
        } else if let Some(fingerprint) = work.suspect {
            self.mark_suspect(id, fingerprint);
        }
        if writing {
            self.first_event(id);
        }
    }

    /// Notes that a request's first event has come, so its prompt has been read.
    pub fn first_event(&mut self, id: WorkId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.writing = true;
        for endpoint in open.work.endpoints() {
            if let Some(load) = self.endpoints.get_mut(endpoint) {
                load.remove_reader(id);
            }
        }
        let Some(load) = self.endpoints.get_mut(&open.work.lead) else { return };
        if let Some(writer) = load.writers.iter_mut().find(|w| w.id == id) {
            writer.writing = true;
        }
    }

    /// Notes that a request has ended, however it did.
    pub fn end(&mut self, now: Timestamp, id: WorkId) {
        self.waiting.remove(&id);
        let Some(Open { work, writing, .. }) = self.open.remove(&id) else { return };
        self.suspects.end(now, id, work.suspect, work.endpoints());
        if let Some(load) = self.endpoints.get_mut(&work.lead) {
            load.writers.retain(|writer| writer.id != id);
            load.memory_tokens = load.memory_tokens.saturating_sub(work.memory_tokens);
        }
        for held in &work.held {
            if let Some(load) = self.endpoints.get_mut(&held.endpoint) {
                load.memory_tokens = load.memory_tokens.saturating_sub(held.tokens);
            }
        }
        if writing {
            return;
        }
        // What it had not read yet will not be read.
        for endpoint in work.endpoints() {
            if let Some(load) = self.endpoints.get_mut(endpoint) {
                load.advance(now);
                load.remove_reader(id);
            }
        }
    }

    /// Notes that open work belongs to a suspect.
    pub fn mark_suspect(&mut self, id: WorkId, fingerprint: Fingerprint) {
        if let Some(open) = self.open.get_mut(&id) {
            open.work.suspect = Some(fingerprint);
            self.suspects.begin(id);
        }
    }

    /// When the latest run of a suspect that is open on any endpoint was placed.
    pub fn last_placed(&self, suspect: Fingerprint) -> Option<Timestamp> {
        let open = self.suspects.open().filter_map(|id| self.open.get(id));
        open.filter(|open| open.work.suspect == Some(suspect)).map(|open| open.since).max()
    }

    /// The suspects that are open on this endpoint, or were until a moment ago.
    pub fn suspects_on<'a>(
        &'a self,
        now: Timestamp,
        endpoint: &'a EndpointId,
    ) -> impl Iterator<Item = Fingerprint> + 'a {
        let runs_there = move |work: &Work| work.endpoints().any(|on| on == endpoint);
        let open =
            self.suspect_work().filter_map(move |work| work.suspect.filter(|_| runs_there(work)));
        open.chain(self.suspects.left(now, endpoint))
    }

    fn suspect_work(&self) -> impl Iterator<Item = &Work> {
        self.suspects.open().filter_map(|id| self.open.get(id)).map(|open| &open.work)
    }

    /// Forgets the work on an endpoint whose process has ended: what it led is over, and what it was to
    /// read of others will not be read.
    pub fn remove_endpoint(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let led = self.open.iter().filter(|(_, open)| open.work.lead == *endpoint);
        for id in led.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.end(now, id);
        }
        self.endpoints.remove(endpoint);
    }

    /// Forgets all that one instance placed, as it has ended. Returns whether there was any.
    pub fn forget_instance(&mut self, now: Timestamp, instance: u64) -> bool {
        self.end_where(now, |id| id.instance == instance)
    }

    /// Forgets the work of all instances but one.
    pub fn keep_instance(&mut self, now: Timestamp, instance: u64) {
        self.end_where(now, |id| id.instance != instance);
    }

    /// What is believed of an instance's work though it is not among the `sequences` that the
    /// instance tells of. What was placed within `SETTLE_TIME` may have crossed that word.
    pub fn unlisted(&self, now: Timestamp, instance: u64, sequences: &[u64]) -> Vec<WorkId> {
        let is_settled = |since: Timestamp| now.since(since) >= SETTLE_TIME;
        let placed = self.open.iter().filter(|(_, open)| is_settled(open.since));
        let waiting = self.waiting.iter().filter(|(_, waiting)| is_settled(waiting.since));
        let all = placed.map(|(id, _)| id).chain(waiting.map(|(id, _)| id));
        all.filter(|id| id.instance == instance && !sequences.contains(&id.sequence))
            .copied()
            .collect()
    }

    /// Ends all work that is meant. Returns whether there was any.
    fn end_where(&mut self, now: Timestamp, is_meant: impl Fn(WorkId) -> bool) -> bool {
        let waiting = self.waiting.len();
        self.waiting.retain(|id, _| !is_meant(*id));
        let ids: Vec<WorkId> = self.open.keys().copied().filter(|id| is_meant(*id)).collect();
        ids.iter().for_each(|id| self.end(now, *id));
        !ids.is_empty() || self.waiting.len() < waiting
    }

    /// Notes a long prompt that waits for its turn.
    pub fn wait(&mut self, id: WorkId, waiting: WaitingPrompt) {
        self.waiting.insert(id, waiting);
    }

    /// The long prompts that wait for their turn at any instance.
    pub fn waiting(&self) -> impl Iterator<Item = (WorkId, &WaitingPrompt)> {
        self.waiting.iter().map(|(id, waiting)| (*id, waiting))
    }

    /// The names of all open work.
    pub fn open_work(&self) -> impl Iterator<Item = WorkId> + '_ {
        self.open.keys().copied()
    }

    /// Open work by name, with whether its prompt has been read.
    pub fn work(&self, id: WorkId) -> Option<(&Work, bool)> {
        self.open.get(&id).map(|open| (&open.work, open.writing))
    }

    /// The prompt that waits under this name.
    pub fn waiting_prompt(&self, id: WorkId) -> Option<&WaitingPrompt> {
        self.waiting.get(&id)
    }

    /// How many requests are open.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    fn sweep(&mut self, now: Timestamp) {
        if now.since(self.swept_at) < SWEEP_EVERY {
            return;
        }
        self.swept_at = now;
        self.waiting.retain(|_, waiting| waiting.until >= now);
        let late = self.open.iter().filter(|(_, o)| o.work.until < now).map(|(id, _)| *id);
        for id in late.collect::<Vec<_>>() {
            self.end(now, id);
        }
        self.endpoints.retain(|_, load| !load.is_idle(now));
    }
}
