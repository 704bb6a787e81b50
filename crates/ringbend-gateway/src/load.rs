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
    /// How long the answer is expected to be written.
    pub write: Duration,
    /// The longest pause between events that its caller takes for on time.
    pub gap: Duration,
    /// When it must have ended; forgotten then if nobody tells of its end.
    pub until: Timestamp,
}

#[derive(Debug, Clone)]
struct Open {
    work: Work,
    writing: bool,
    placed: Timestamp,
}

/// What is believed of one endpoint.
#[derive(Debug, Clone, Default)]
pub struct EndpointLoad {
    /// When it will have read all prompts that it was given.
    pub read_until: Timestamp,
    /// Requests that write on it, or will once their prompt is read.
    pub open: u32,
    /// The gap that each open request's caller takes, by request.
    writers: SmallVec<[(WorkId, Duration); 8]>,
}

impl EndpointLoad {
    /// How long it still reads.
    pub fn backlog(&self, now: Timestamp) -> Duration {
        self.read_until.since(now)
    }

    /// The gaps that the callers of its open requests take.
    pub fn gaps(&self) -> impl Iterator<Item = Duration> + '_ {
        self.writers.iter().map(|(_, gap)| *gap)
    }
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
        for endpoint in std::iter::once(&work.lead).chain(&work.helpers) {
            let load = self.endpoints.entry(endpoint.clone()).or_default();
            load.read_until = load.read_until.max(now) + work.part;
        }
        let lead = self.endpoints.entry(work.lead.clone()).or_default();
        lead.open += 1;
        lead.writers.push((id, work.gap));
        self.open.insert(id, Open { work, writing: false, placed: now });
    }

    /// Notes that a request's first event has come, so its prompt has been read.
    pub fn first_event(&mut self, id: WorkId) {
        if let Some(open) = self.open.get_mut(&id) {
            open.writing = true;
        }
    }

    /// Notes that a request has ended, however it did.
    pub fn end(&mut self, now: Timestamp, id: WorkId) {
        let Some(open) = self.open.remove(&id) else { return };
        if let Some(load) = self.endpoints.get_mut(&open.work.lead) {
            load.open = load.open.saturating_sub(1);
            load.writers.retain(|(writer, _)| *writer != id);
        }
        if open.writing {
            return;
        }
        // What it had not read yet will not be read.
        let unread = open.work.part.saturating_sub(now.since(open.placed));
        for endpoint in std::iter::once(&open.work.lead).chain(&open.work.helpers) {
            if let Some(load) = self.endpoints.get_mut(endpoint) {
                load.read_until = (load.read_until - unread).max(now);
            }
        }
    }

    /// Forgets all that one instance placed, as it has ended.
    pub fn forget_instance(&mut self, now: Timestamp, instance: u64) {
        let gone: Vec<WorkId> =
            self.open.keys().filter(|id| id.instance == instance).copied().collect();
        for id in gone {
            self.end(now, id);
        }
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
        let late: Vec<WorkId> =
            self.open.iter().filter(|(_, o)| o.work.until < now).map(|(id, _)| *id).collect();
        for id in late {
            self.end(now, id);
        }
        let (open, endpoints) = (&self.open, &mut self.endpoints);
        if open.is_empty() {
            endpoints.clear();
        }
    }
}
