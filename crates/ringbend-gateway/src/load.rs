//! What is believed to run on each endpoint: this instance's own requests and what peers tell.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ringbend_types::{EndpointId, Timestamp};
use smallvec::SmallVec;

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
    pub held: SmallVec<[Held; 2]>,
    /// The longest pause between events that its caller takes for on time.
    pub gap: Duration,
    /// When its first event is due.
    pub first_by: Timestamp,
    /// What is lost if it is late, against a request of the usual small size.
    pub stake: f64,
    /// When it must have ended; forgotten then if nobody tells of its end.
    pub until: Timestamp,
}

/// Memory on a helper that holds a part of a prompt which is too large for its lead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Held {
    /// The helper.
    pub endpoint: EndpointId,
    /// How much, in tokens.
    pub tokens: u64,
}

impl Work {
    fn endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        std::iter::once(&self.lead).chain(&self.helpers)
    }
}

/// A request that writes on an endpoint, or will once its prompt is read.
#[derive(Debug, Clone, Copy)]
pub struct Writer {
    id: WorkId,
    /// Whether its first event has come.
    pub writing: bool,
    /// The longest pause that its caller takes for on time.
    pub gap: Duration,
    /// When its first event is due.
    pub first_by: Timestamp,
    /// What is lost if it is late.
    pub stake: f64,
}

/// What is believed of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct EndpointLoad {
    /// When it will have read all prompts that it was given.
    read_until: Timestamp,
    /// The longest part that it was lately given, and when.
    part: (Duration, Timestamp),
    writers: SmallVec<[Writer; 8]>,
    memory_tokens: u64,
}

/// How fast the memory of a long part fades: half of it after this time.
const PART_HALF_LIFE: Duration = Duration::from_secs(1);

impl EndpointLoad {
    /// How long it still reads.
    pub fn backlog(&self, now: Timestamp) -> Duration {
        self.read_until.since(now)
    }

    /// The requests that write on it or will.
    pub fn writers(&self) -> &[Writer] {
        &self.writers
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
}

#[derive(Debug, Clone)]
struct Open {
    work: Work,
    writing: bool,
    placed: Timestamp,
}

/// The load of all endpoints.
#[derive(Debug, Clone, Default)]
pub struct LoadBook {
    open: HashMap<WorkId, Open>,
    endpoints: BTreeMap<EndpointId, EndpointLoad>,
    swept_at: Timestamp,
    /// What is told of an endpoint that nothing runs on.
    idle: EndpointLoad,
}

/// How often work that outlived its deadline is looked for.
const SWEEP_EVERY: Duration = Duration::from_millis(500);

impl LoadBook {
    /// The load of an endpoint.
    pub fn of(&self, id: &EndpointId) -> &EndpointLoad {
        self.endpoints.get(id).unwrap_or(&self.idle)
    }

    /// Notes work that was placed.
    pub fn place(&mut self, now: Timestamp, id: WorkId, work: Work) {
        self.sweep(now);
        self.end(now, id);
        for endpoint in work.endpoints() {
            let load = self.endpoints.entry(endpoint.clone()).or_default();
            load.read_until = load.read_until.max(now) + work.part;
            if load.usual_part(now) < work.part {
                load.part = (work.part, now);
            }
        }
        let lead = self.endpoints.entry(work.lead.clone()).or_default();
        let Work { gap, first_by, stake, .. } = work;
        lead.writers.push(Writer { id, writing: false, gap, first_by, stake });
        lead.memory_tokens += work.memory_tokens;
        for held in &work.held {
            let load = self.endpoints.entry(held.endpoint.clone()).or_default();
            load.memory_tokens += held.tokens;
        }
        self.open.insert(id, Open { work, writing: false, placed: now });
    }

    /// Notes that a request's first event has come, so its prompt has been read.
    pub fn first_event(&mut self, id: WorkId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.writing = true;
        let Some(load) = self.endpoints.get_mut(&open.work.lead) else { return };
        if let Some(writer) = load.writers.iter_mut().find(|w| w.id == id) {
            writer.writing = true;
        }
    }

    /// Notes that a request has ended, however it did.
    pub fn end(&mut self, now: Timestamp, id: WorkId) {
        let Some(Open { work, writing, placed }) = self.open.remove(&id) else { return };
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
        let unread = work.part.saturating_sub(now.since(placed));
        for endpoint in work.endpoints() {
            if let Some(load) = self.endpoints.get_mut(endpoint) {
                load.read_until = (load.read_until - unread).max(now);
            }
        }
    }

    /// Forgets all that one instance placed, as it has ended.
    pub fn forget_instance(&mut self, now: Timestamp, instance: u64) {
        let ids = self.open.keys().filter(|id| id.instance == instance).copied();
        for id in ids.collect::<Vec<_>>() {
            self.end(now, id);
        }
    }

    /// The open work of one instance, with whether its prompt has been read.
    pub fn of_instance(&self, instance: u64) -> impl Iterator<Item = (WorkId, &Work, bool)> {
        let mine = self.open.iter().filter(move |(id, _)| id.instance == instance);
        mine.map(|(id, open)| (*id, &open.work, open.writing))
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
        let late = self.open.iter().filter(|(_, o)| o.work.until < now).map(|(id, _)| *id);
        for id in late.collect::<Vec<_>>() {
            self.end(now, id);
        }
        self.endpoints.retain(|_, load| !load.writers.is_empty() || load.read_until > now);
    }
}
