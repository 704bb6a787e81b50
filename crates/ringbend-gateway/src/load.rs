//! Estimated load of each endpoint, from this instance's own requests and from reports of its
//! peers.

mod endpoint_load;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use ringbend_types::{EndpointId, Fingerprint, Timestamp};
use smallvec::SmallVec;

use crate::pace::Pace;
use crate::quarantine::Suspects;
use crate::residual_load::{EngineUsage, ResidualLoad, UsageReport};
use crate::suspect_work::SuspectWork;
use crate::waiting_prompt::WaitingPrompt;

pub(crate) use endpoint_load::LATE_STAKE;
pub use endpoint_load::{DecodeTask, EndpointLoad, PrefillTask};

/// Identifies the work of one request across all instances.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WorkId {
    /// The incarnation of the instance that placed it.
    pub instance: u64,
    /// Counts up from one within the incarnation.
    pub sequence: u64,
}

/// The load that one request puts on endpoints.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// The endpoint that reads the prompt, or one part of it, and decodes the response.
    pub lead: EndpointId,
    /// The engines that read one of the other parts of the prompt each.
    pub helpers: SmallVec<[EndpointId; 4]>,
    /// How long each of these engines reads.
    pub part: Duration,
    /// Memory used on the lead, in tokens.
    pub memory_tokens: u64,
    /// Memory reserved for it on helpers.
    pub held: SmallVec<[HelperMemory; 2]>,
    /// The longest gap between events that its caller accepts as on time.
    pub gap: Duration,
    /// When its first event is due.
    pub first_by: Timestamp,
    /// The loss if it is late, relative to a request of the usual small size and the highest rank.
    pub stake: f64,
    /// Its deadline. The work is dropped then if no message reports its end.
    pub until: Timestamp,
    /// Whether its prompt is long: it waited for its turn and is kept off engines reserved for
    /// short prompts.
    pub long: bool,
    /// The fingerprints of the request and its parts, if one is suspected of ending endpoints.
    pub suspects: Suspects,
}

/// Memory on a helper that holds a part of a prompt which is too large for its lead.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HelperMemory {
    /// The helper.
    pub endpoint: EndpointId,
    /// The amount in tokens.
    pub tokens: u64,
}

impl Work {
    /// The number of engines that read the prompt.
    fn part_count(&self) -> f64 {
        (self.helpers.len() + 1) as f64
    }

    fn endpoints(&self) -> impl Iterator<Item = &EndpointId> {
        std::iter::once(&self.lead).chain(&self.helpers)
    }
}

#[derive(Debug, Clone)]
struct OpenWork {
    work: Work,
    writing: bool,
    since: Timestamp,
}

/// The load of all endpoints.
#[derive(Debug, Clone, Default)]
pub struct LoadTracker {
    open: HashMap<WorkId, OpenWork>,
    suspects: SuspectWork,
    waiting: BTreeMap<WorkId, WaitingPrompt>,
    endpoints: BTreeMap<EndpointId, EndpointLoad>,
    swept_at: Timestamp,
    /// The load returned for an endpoint without work.
    idle: EndpointLoad,
}

/// How long an engine is considered slow after its last report. It is queried again while it is
/// slow, so this only takes effect if that state was lost.
const PACE_TTL: Duration = Duration::from_millis(3_000);

/// The age below which placed work may be missing from its instance's list of open work, because
/// the list was sent before the work was placed.
const SETTLE_TIME: Duration = Duration::from_millis(300);

/// The interval between sweeps for work that outlived its deadline.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

impl LoadTracker {
    /// Subtracts what endpoints have read until `now`.
    pub fn advance(&mut self, now: Timestamp) {
        self.endpoints.values_mut().for_each(|load| load.advance(now));
    }

    /// The load of an endpoint, as of the last `advance`.
    pub fn of(&self, id: &EndpointId) -> &EndpointLoad {
        self.endpoints.get(id).unwrap_or(&self.idle)
    }

    /// Records how much slower than configured an engine is.
    pub fn set_pace(&mut self, now: Timestamp, engine: &EndpointId, pace: Pace) {
        if !pace.is_slow() && !self.endpoints.contains_key(engine) {
            return;
        }
        let load = self.endpoints.entry(engine.clone()).or_default();
        load.advance(now);
        (load.pace, load.pace_until) = (pace, now + PACE_TTL);
    }

    /// Records what an engine reported beyond the known work placed on it, which is load that fades.
    /// Returns the number of requests found.
    pub fn set_residual(
        &mut self,
        now: Timestamp,
        engine: &EndpointId,
        report: UsageReport,
        fade: Duration,
    ) -> usize {
        let residual = ResidualLoad::new(report, self.reported_work(engine, &report), fade);
        let Some(residual) = residual.filter(|residual| !residual.is_over(now)) else { return 0 };
        let load = self.endpoints.entry(engine.clone()).or_default();
        load.advance(now);
        load.residual = Some(residual);
        residual.requests(report.received_at).ceil() as usize
    }

    /// The known work on an engine that its report covers. Memory that the engine holds for prompts
    /// which others lead is taken to be covered.
    fn reported_work(&self, engine: &EndpointId, report: &UsageReport) -> EngineUsage {
        let load = self.of(engine);
        let led = load.decode_tasks.iter().filter_map(|task| self.open.get(&task.id));
        let is_covered = |open: &&OpenWork| report.covers(open.since);
        let (covered, since): (Vec<&OpenWork>, Vec<&OpenWork>) = led.partition(is_covered);
        let memory_since: u64 = since.iter().map(|open| open.work.memory_tokens).sum();
        EngineUsage {
            requests: u32::try_from(covered.len()).unwrap_or(u32::MAX),
            memory_tokens: load.memory_tokens.saturating_sub(memory_since),
        }
    }

    /// Records placed work.
    pub fn place(&mut self, now: Timestamp, id: WorkId, work: Work) {
        self.sweep(now);
        self.end(now, id);
        let Work { part: left, first_by, stake, .. } = work;
        let is_part = !work.helpers.is_empty();
        let prefill = PrefillTask { id, left, first_by, stake: stake / work.part_count().sqrt() };
        for endpoint in work.endpoints() {
            let load = self.endpoints.entry(endpoint.clone()).or_default();
            load.advance(now);
            load.add(now, prefill, is_part);
            load.mark_late(now);
        }
        let lead = self.endpoints.entry(work.lead.clone()).or_default();
        let Work { gap, first_by, stake, long, .. } = work;
        lead.decode_tasks.push(DecodeTask {
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
        if !work.suspects.is_empty() {
            self.suspects.begin(id);
        }
        self.open.insert(id, OpenWork { work, writing: false, since: now });
    }

    /// Records work reported by another instance. Known work is left unchanged, so that a repeated
    /// report does not restart its prefill.
    pub fn merge_placed(&mut self, now: Timestamp, id: WorkId, work: Work, writing: bool) {
        let known = self.open.get(&id).map(|open| &open.work);
        if known.is_none_or(|known| known.lead != work.lead || known.helpers != work.helpers) {
            self.place(now, id, work);
        } else if !work.suspects.is_empty() {
            self.mark_suspect(id, work.suspects);
        }
        if writing {
            self.first_event(id);
        }
    }

    /// Records that the first event of a request has arrived, so its prompt has been read.
    pub fn first_event(&mut self, id: WorkId) {
        let Some(open) = self.open.get_mut(&id) else { return };
        open.writing = true;
        for endpoint in open.work.endpoints() {
            if let Some(load) = self.endpoints.get_mut(endpoint) {
                load.remove_prefill(id);
            }
        }
        let Some(load) = self.endpoints.get_mut(&open.work.lead) else { return };
        if let Some(task) = load.decode_tasks.iter_mut().find(|w| w.id == id) {
            task.writing = true;
        }
    }

    /// Records that a request has ended, whatever the outcome.
    pub fn end(&mut self, now: Timestamp, id: WorkId) {
        self.waiting.remove(&id);
        let Some(OpenWork { work, writing, .. }) = self.open.remove(&id) else { return };
        self.suspects.end(now, id, work.suspects.clone(), work.endpoints());
        if let Some(load) = self.endpoints.get_mut(&work.lead) {
            load.decode_tasks.retain(|task| task.id != id);
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
        // The rest of its prompt will not be read.
        for endpoint in work.endpoints() {
            if let Some(load) = self.endpoints.get_mut(endpoint) {
                load.advance(now);
                load.remove_prefill(id);
            }
        }
    }

    /// Marks open work as belonging to a suspect.
    pub fn mark_suspect(&mut self, id: WorkId, suspects: Suspects) {
        if let Some(open) = self.open.get_mut(&id) {
            open.work.suspects = suspects;
            self.suspects.begin(id);
        }
    }

    /// When the latest undecided run of a suspect was placed on any endpoint or, if its caller has
    /// disconnected, ended there.
    pub fn last_undecided(&self, now: Timestamp, suspect: Fingerprint) -> Option<Timestamp> {
        let open = self.suspects.open().filter_map(|id| self.open.get(id));
        let open = open.filter(|open| open.work.suspects.contains(&suspect)).map(|open| open.since);
        open.max().max(self.suspects.last_ended(now, suspect))
    }

    /// Records that an endpoint has crashed, which decides the runs of suspects there.
    pub fn decide_suspects_on(&mut self, endpoint: &EndpointId) {
        self.suspects.forget(endpoint);
    }

    /// The suspects that run on this endpoint or did so until a moment ago.
    pub fn suspects_on<'a>(
        &'a self,
        now: Timestamp,
        endpoint: &'a EndpointId,
    ) -> impl Iterator<Item = Fingerprint> + 'a {
        let runs_there = move |work: &Work| work.endpoints().any(|on| on == endpoint);
        let open = self.suspect_work().filter(move |work| runs_there(work));
        let open = open.flat_map(|work| work.suspects.iter().copied());
        open.chain(self.suspects.recent(now, endpoint))
    }

    fn suspect_work(&self) -> impl Iterator<Item = &Work> {
        self.suspects.open().filter_map(|id| self.open.get(id)).map(|open| &open.work)
    }

    /// Drops the work on an endpoint whose process has ended: requests that it led are over, and
    /// its parts of other prompts will not be read.
    pub fn remove_endpoint(&mut self, now: Timestamp, endpoint: &EndpointId) {
        let led = self.open.iter().filter(|(_, open)| open.work.lead == *endpoint);
        for id in led.map(|(id, _)| *id).collect::<Vec<_>>() {
            self.end(now, id);
        }
        self.endpoints.remove(endpoint);
    }

    /// Drops everything that an instance placed, because it has ended. Returns whether there was
    /// any.
    pub fn forget_instance(&mut self, now: Timestamp, instance: u64) -> bool {
        self.end_where(now, |id| id.instance == instance)
    }

    /// Drops the work of all instances but one.
    pub fn keep_instance(&mut self, now: Timestamp, instance: u64) {
        self.end_where(now, |id| id.instance != instance);
    }

    /// Recorded work of an instance that is missing from the `sequences` of its list of open work.
    /// Work placed within `SETTLE_TIME` is left out, because the list may have been sent before.
    pub fn unlisted(&self, now: Timestamp, instance: u64, sequences: &[u64]) -> Vec<WorkId> {
        let is_settled = |since: Timestamp| now.since(since) >= SETTLE_TIME;
        let placed = self.open.iter().filter(|(_, open)| is_settled(open.since));
        let waiting = self.waiting.iter().filter(|(_, waiting)| is_settled(waiting.since));
        let all = placed.map(|(id, _)| id).chain(waiting.map(|(id, _)| id));
        all.filter(|id| id.instance == instance && !sequences.contains(&id.sequence))
            .copied()
            .collect()
    }

    /// Ends all work that matches. Returns whether there was any.
    fn end_where(&mut self, now: Timestamp, matches: impl Fn(WorkId) -> bool) -> bool {
        let waiting = self.waiting.len();
        self.waiting.retain(|id, _| !matches(*id));
        let ids: Vec<WorkId> = self.open.keys().copied().filter(|id| matches(*id)).collect();
        ids.iter().for_each(|id| self.end(now, *id));
        !ids.is_empty() || self.waiting.len() < waiting
    }

    /// Records a long prompt that waits for its turn.
    pub fn add_waiting(&mut self, id: WorkId, waiting: WaitingPrompt) {
        self.waiting.insert(id, waiting);
    }

    /// The long prompts that wait for their turn on any instance.
    pub fn waiting(&self) -> impl Iterator<Item = (WorkId, &WaitingPrompt)> {
        self.waiting.iter().map(|(id, waiting)| (*id, waiting))
    }

    /// The ids of all open work.
    pub fn open_work(&self) -> impl Iterator<Item = WorkId> + '_ {
        self.open.keys().copied()
    }

    /// Open work by id, and whether its prompt has been read.
    pub fn work(&self, id: WorkId) -> Option<(&Work, bool)> {
        self.open.get(&id).map(|open| (&open.work, open.writing))
    }

    /// The waiting prompt with this id.
    pub fn waiting_prompt(&self, id: WorkId) -> Option<&WaitingPrompt> {
        self.waiting.get(&id)
    }

    /// The number of open requests.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    fn sweep(&mut self, now: Timestamp) {
        if now.since(self.swept_at) < SWEEP_INTERVAL {
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
