//! Policies before modelled engines, in virtual time.

mod engines;
mod faults;
mod names;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use ringbend_models::EngineModel;
use ringbend_platform::EndpointKind;
use ringbend_policy::{
    Action, Dispatch, Event, FailureCode, HeldMemory, Policy, RequestEnd, RequestProfile,
};
use ringbend_settings::EffectiveSettings;
use ringbend_types::{
    AttemptId, EndpointId, Incarnation, InstanceId, RequestId, RunState, Seed, Timestamp,
    TokenCount,
};

use self::names::{account_id, endpoint_id, engine_index, parsed, service};
use crate::policies::PolicyKind;
use crate::scenario::{Arrival, Fault, Scenario};

/// Random stream of the world.
const WORLD: u64 = 12;

/// Instances take reports to be this old, whatever they are.
const ASSUMED_REPORT_AGE: Duration = Duration::from_millis(200);

/// Peers know of an instance's death after this time.
const DEATH_KNOWN_AFTER: Duration = Duration::from_secs(4);

/// Every so many tokens an instance hears of an answer's progress.
const PROGRESS_EVERY: u64 = 16;

/// Blocks of a shared prefix.
const PREFIX_BLOCKS: u64 = 8;

/// Runs go on for this long after the last arrival: longer than any deadline.
const RUN_OUT: Duration = Duration::from_secs(3_700);

/// How a caller saw its request end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallerEnd {
    /// The whole answer.
    Answered,
    /// Refused, and not run.
    Rejected(FailureCode),
    /// Admitted, and failed.
    Failed(FailureCode, RunState),
    /// The instance died.
    InstanceLost,
}

/// What became of one request.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// The request.
    pub arrival: Arrival,
    /// When its first token reached the caller.
    pub first_token: Option<Timestamp>,
    /// When and how it ended for the caller.
    pub end: Option<(Timestamp, CallerEnd)>,
    /// Whether an instance admitted it.
    pub admitted: bool,
    /// Attempts at engines.
    pub attempts: u32,
    /// Times an engine began to run it from its first token.
    pub runs: u32,
    /// Tokens that reached the instance, without gaps or repeats.
    pub delivered: u64,
    /// Tokens that came twice or out of order.
    pub disorder: u64,
    /// Times the caller came back.
    pub came_back: u32,
    /// The Retry-After values it was told.
    pub retry_after: Vec<Duration>,
}

/// What a run leaves behind.
#[derive(Debug, Clone, Default)]
pub struct WorldReport {
    /// Every request.
    pub records: Vec<RequestRecord>,
    /// Sequences that had to wait for memory at an engine, or did not fit.
    pub overcommits: u64,
    /// KV memory held at the end, of engines that did not die, by attempts and reservations.
    pub held_at_end: TokenCount,
    /// Requests that had neither been answered nor failed at the end.
    pub open_at_end: usize,
    /// Work sent to an engine later than this long after it began to leave.
    pub late_to_leaving: Option<Duration>,
    /// The most KV memory any engine held, against its capacity.
    pub peak_kv_part: f64,
}

enum Happening {
    Arrive { record: usize },
    ToPolicy { instance: usize, event: Box<Event> },
    Submit { instance: usize, dispatch: Box<Dispatch> },
    Step { engine: usize },
    Cancel { engine: usize, attempt: AttemptId },
    Reserve { instance: usize, attempt: AttemptId, memory: HeldMemory },
    Release { engine: usize, attempt: AttemptId },
    Report,
    Wake { instance: usize },
    Resume { instance: usize },
    Fault(Fault),
    EngineBack { engine: usize },
    Refuse(bool),
    Mend,
    Thaw { engine: usize },
    PeersKnow,
}

struct Instance {
    id: InstanceId,
    policy: Box<dyn Policy>,
    alive: bool,
    paused_until: Timestamp,
    backlog: VecDeque<Event>,
    wake_at: Timestamp,
}

struct Engine {
    id: EndpointId,
    model: EngineModel,
    alive: bool,
    frozen_until: Timestamp,
    leaves_at: Option<Timestamp>,
}

struct Attempt {
    instance: usize,
    engine: usize,
    next_index: u64,
}

/// One run.
pub struct World {
    scenario: Scenario,
    kind: PolicyKind,
    now: Timestamp,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    happenings: BTreeMap<u64, Happening>,
    order: u64,
    rng: ChaCha8Rng,
    instances: Vec<Instance>,
    engines: Vec<Engine>,
    records: Vec<RequestRecord>,
    requests: BTreeMap<RequestId, (usize, usize)>,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// Attempts whose tokens their instance still takes.
    heard: BTreeMap<AttemptId, usize>,
    settings: Vec<Arc<EffectiveSettings>>,
    next_request: u64,
    refusing: bool,
    cut: bool,
    report: WorldReport,
}

impl World {
    /// A world before its first event.
    pub fn new(scenario: Scenario, kind: PolicyKind, seed: u64, arrivals: Vec<Arrival>) -> Self {
        let instances = (0..scenario.instances).map(|n| new_instance(n, kind, seed)).collect();
        let engines = (0..scenario.engines).map(|n| Engine {
            id: endpoint_id(n),
            model: EngineModel::new(scenario.spec.clone()),
            alive: true,
            frozen_until: Timestamp::default(),
            leaves_at: None,
        });
        let settings = scenario.classes.iter().map(|class| {
            let mut settings = EffectiveSettings::default();
            settings.class.priority = class.priority;
            settings.timeouts.max_deadline_ms = 3_600_000;
            kind.apply(&mut settings);
            Arc::new(settings)
        });
        let mut world = Self {
            settings: settings.collect(),
            engines: engines.collect(),
            instances,
            kind,
            now: Timestamp::default(),
            queue: BinaryHeap::new(),
            happenings: BTreeMap::new(),
            order: 0,
            rng: Seed(seed).rng(WORLD),
            records: Vec::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            heard: BTreeMap::new(),
            next_request: 0,
            refusing: false,
            cut: false,
            report: WorldReport::default(),
            scenario,
        };
        world.prepare(arrivals);
        world
    }

    fn prepare(&mut self, arrivals: Vec<Arrival>) {
        for instance in 0..self.instances.len() {
            self.tell(instance, Event::Endpoints(self.entries()));
            self.tell(instance, Event::Peers(self.live_instances()));
        }
        for arrival in arrivals {
            let at = arrival.at + self.scenario.caller_latency;
            let record = self.records.len();
            self.records.push(new_record(arrival));
            self.at(at, Happening::Arrive { record });
        }
        for (at, fault) in self.scenario.faults.clone() {
            self.at(at, Happening::Fault(fault));
        }
        self.at(Timestamp::default() + self.scenario.report_every, Happening::Report);
    }

    /// Runs to the end and returns what became of everything.
    pub fn run(mut self) -> WorldReport {
        let end = Timestamp::default() + self.scenario.duration + RUN_OUT;
        while let Some(Reverse((at, order))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(happening) = self.happenings.remove(&order) {
                self.happen(happening);
            }
            if self.all_ended() && at > Timestamp::default() + self.scenario.duration {
                break;
            }
        }
        self.finish()
    }

    fn all_ended(&self) -> bool {
        self.requests.is_empty() && self.attempts.is_empty()
    }

    fn finish(mut self) -> WorldReport {
        // Cancels and releases under way still arrive.
        let grace = self.now + Duration::from_secs(1);
        while let Some(Reverse((at, order))) = self.queue.pop() {
            if at > grace {
                break;
            }
            self.now = at;
            match self.happenings.remove(&order) {
                Some(h @ (Happening::Cancel { .. } | Happening::Release { .. })) => self.happen(h),
                _ => continue,
            }
        }
        let held = self.engines.iter().map(|e| e.model.report().kv_used.0).sum();
        let part = |e: &Engine| e.model.peak_kv().0 as f64 / e.model.spec().kv_capacity.0 as f64;
        self.report.peak_kv_part = self.engines.iter().map(part).fold(0.0, f64::max);
        self.report.held_at_end = TokenCount(held);
        let unfinished = |r: &&RequestRecord| r.end.is_none();
        self.report.open_at_end = self.records.iter().filter(unfinished).count();
        self.report.records = self.records;
        self.report
    }

    fn at(&mut self, at: Timestamp, happening: Happening) {
        self.order += 1;
        self.happenings.insert(self.order, happening);
        self.queue.push(Reverse((at, self.order)));
    }

    fn after(&mut self, delay: Duration, happening: Happening) {
        self.at(self.now + delay, happening);
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive { record } => self.arrive(record),
            Happening::ToPolicy { instance, event } => self.deliver(instance, *event),
            Happening::Submit { instance, dispatch } => self.submit(instance, &dispatch),
            Happening::Step { engine } => self.step(engine),
            Happening::Cancel { engine, attempt } => {
                self.attempts.remove(&attempt);
                self.engines[engine].model.cancel(self.now, attempt);
                self.schedule_step(engine);
            }
            Happening::Reserve { instance, attempt, memory } => {
                self.reserve(instance, attempt, memory);
            }
            Happening::Release { engine, attempt } => {
                self.engines[engine].model.release(self.now, attempt);
                self.schedule_step(engine);
            }
            Happening::Report => self.send_reports(),
            Happening::Wake { instance } => {
                if self.instances[instance].wake_at == self.now {
                    self.instances[instance].wake_at = Timestamp::NEVER;
                    self.deliver(instance, Event::Tick);
                }
            }
            Happening::Resume { instance } => self.resume(instance),
            Happening::Fault(fault) => self.fail(fault),
            Happening::EngineBack { engine } => self.engines[engine].alive = true,
            Happening::Refuse(refusing) => self.refusing = refusing,
            Happening::Mend => {
                self.cut = false;
                self.tell_peers();
            }
            Happening::Thaw { engine } => self.schedule_step(engine),
            Happening::PeersKnow => self.tell_peers(),
        }
    }

    fn arrive(&mut self, record: usize) {
        let arrival = self.records[record].arrival.clone();
        let instance = self.reachable_instance(arrival.instance);
        self.next_request += 1;
        let id = RequestId { incarnation: u64::MAX, sequence: self.next_request };
        let class = &self.scenario.classes[arrival.class];
        let profile = RequestProfile {
            id,
            account: account_id(arrival.account),
            service: service(),
            kind: EndpointKind::Engine,
            prompt_tokens: TokenCount(arrival.prompt),
            max_tokens: arrival.output,
            prefix: arrival.prefix,
            deadline: arrival.at + class.deadline,
            repeatable: class.repeatable,
            needs_claim: false,
            settings: self.settings[arrival.class].clone(),
        };
        self.requests.insert(id, (record, instance));
        self.deliver(instance, Event::Arrived(profile));
    }

    /// Gives an instance an event and carries out its actions.
    fn deliver(&mut self, instance: usize, event: Event) {
        let paused_until = self.instances[instance].paused_until;
        if !self.instances[instance].alive {
            return;
        }
        if paused_until > self.now {
            self.instances[instance].backlog.push_back(event);
            return;
        }
        if let Event::Progress { attempt, tokens } = &event {
            self.note_progress(*attempt, *tokens);
        }
        self.tell(instance, event);
    }

    /// A paused instance takes what arrived meanwhile, in order.
    fn resume(&mut self, instance: usize) {
        if self.instances[instance].paused_until > self.now {
            return;
        }
        while let Some(event) = self.instances[instance].backlog.pop_front() {
            self.deliver(instance, event);
        }
    }

    fn tell(&mut self, instance: usize, event: Event) {
        let actions = self.instances[instance].policy.handle(self.now, event);
        for action in actions {
            self.act(instance, action);
        }
        let wake =
            self.instances[instance].policy.next_wakeup().max(self.now + Duration::from_micros(1));
        if wake < self.instances[instance].wake_at {
            self.instances[instance].wake_at = wake;
            self.at(wake, Happening::Wake { instance });
        }
    }

    fn act(&mut self, instance: usize, action: Action) {
        let latency = self.scenario.latency;
        match action {
            Action::Admitted(id) => {
                if let Some((record, _)) = self.requests.get(&id) {
                    self.records[*record].admitted = true;
                }
            }
            Action::Rejected { request, code, retry_after } => {
                self.rejected(request, code, retry_after);
            }
            Action::Reserve { attempt, memory } => {
                self.after(latency, Happening::Reserve { instance, attempt, memory });
            }
            Action::Release { attempt, endpoint } => {
                let engine = engine_index(&endpoint);
                self.after(latency, Happening::Release { engine, attempt });
            }
            Action::Dispatch(dispatch) => {
                if let Some((record, _)) = self.requests.get(&dispatch.request) {
                    self.records[*record].attempts += 1;
                }
                let dispatch = Box::new(dispatch);
                self.after(latency, Happening::Submit { instance, dispatch });
            }
            Action::Cancel { attempt, endpoint } => {
                let engine = engine_index(&endpoint);
                self.heard.remove(&attempt);
                self.after(latency, Happening::Cancel { engine, attempt });
            }
            Action::Finish { request, end } => self.finished(request, end),
        }
    }

    fn rejected(&mut self, id: RequestId, code: FailureCode, wait: Option<Duration>) {
        let Some((record, _)) = self.requests.remove(&id) else { return };
        let known = &mut self.records[record];
        known.retry_after.extend(wait);
        if let Some((after, most)) = self.scenario.come_back
            && known.came_back < most
            && code != FailureCode::TooLarge
        {
            known.came_back += 1;
            let at = self.now + after.max(wait.unwrap_or_default());
            self.at(at, Happening::Arrive { record });
            return;
        }
        let at = self.now + self.scenario.caller_latency;
        known.end = Some((at, CallerEnd::Rejected(code)));
    }

    fn finished(&mut self, id: RequestId, end: RequestEnd) {
        let Some((record, _)) = self.requests.remove(&id) else { return };
        let at = self.now + self.scenario.caller_latency;
        let end = match end {
            RequestEnd::Answered => CallerEnd::Answered,
            RequestEnd::Failed { code, run_state, retry_after } => {
                self.records[record].retry_after.extend(retry_after);
                CallerEnd::Failed(code, run_state)
            }
        };
        let known = &mut self.records[record];
        let refused = matches!(end, CallerEnd::Failed(_, RunState::NotRun));
        if let Some((after, most)) = self.scenario.come_back
            && refused
            && known.came_back < most
        {
            known.came_back += 1;
            let wait = known.retry_after.last().copied().unwrap_or_default();
            self.at(self.now + after.max(wait), Happening::Arrive { record });
            return;
        }
        known.end = Some((at, end));
    }

    fn note_progress(&mut self, attempt: AttemptId, tokens: u64) {
        let Some(record) = self.heard.get(&attempt).copied() else { return };
        let known = &mut self.records[record];
        if known.first_token.is_none() {
            known.first_token = Some(self.now + self.scenario.caller_latency);
        }
        if tokens <= known.delivered {
            known.disorder += 1;
        }
        known.delivered = known.delivered.max(tokens);
    }

    /// Which policy runs.
    pub fn policy(&self) -> PolicyKind {
        self.kind
    }
}

fn new_instance(n: usize, kind: PolicyKind, seed: u64) -> Instance {
    let id: InstanceId = parsed(&format!("instance-{n}"));
    let incarnation = Incarnation(n as u64 + 1);
    let policy =
        kind.build(&id, incarnation, Seed(seed.wrapping_mul(1_000).wrapping_add(n as u64)));
    let never = Timestamp::NEVER;
    let (paused_until, backlog) = (Timestamp::default(), VecDeque::new());
    Instance { id, policy, alive: true, paused_until, backlog, wake_at: never }
}

fn new_record(arrival: Arrival) -> RequestRecord {
    RequestRecord {
        arrival,
        first_token: None,
        end: None,
        admitted: false,
        attempts: 0,
        runs: 0,
        delivered: 0,
        disorder: 0,
        came_back: 0,
        retry_after: Vec::new(),
    }
}
