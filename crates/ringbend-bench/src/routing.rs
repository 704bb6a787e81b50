//! Discrete-event simulation of routing policies in front of modelled engines.

mod engines;
mod faults;
mod ids;
mod report;

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

use self::ids::{account_id, endpoint_id, engine_index, parse_id, service};
pub use self::report::{CallerEnd, RequestRecord, RoutingReport};
use crate::policies::PolicyKind;
use crate::scenario::{Arrival, Fault, Scenario};

/// Random number stream of the simulation.
const SIMULATION_STREAM: u64 = 12;

/// Age that instances assume for a load report, whatever its real age.
const ASSUMED_REPORT_AGE: Duration = Duration::from_millis(200);

/// Time until peers detect the crash of an instance or a partition.
const DETECTION_DELAY: Duration = Duration::from_secs(4);

/// Number of tokens between progress events of an answer.
const PROGRESS_INTERVAL: u64 = 16;

/// Number of cache blocks in a shared prefix.
const PREFIX_BLOCKS: u64 = 8;

/// Upper bound of the time that a run continues after the last arrival: longer than any deadline.
const MAX_DRAIN_TIME: Duration = Duration::from_secs(3_700);

enum SimulationEvent {
    Arrive { record: usize },
    DeliverToPolicy { instance: usize, event: Box<Event> },
    Submit { instance: usize, dispatch: Box<Dispatch> },
    Step { engine: usize },
    Cancel { engine: usize, attempt: AttemptId },
    Reserve { instance: usize, attempt: AttemptId, memory: HeldMemory },
    Release { engine: usize, attempt: AttemptId },
    Report,
    Wake { instance: usize },
    Resume { instance: usize },
    Fault(Fault),
    RestartEngine { engine: usize },
    SetRefusing(bool),
    HealPartition,
    Unfreeze { engine: usize },
    UpdatePeers,
}

struct Instance {
    id: InstanceId,
    policy: Box<dyn Policy>,
    alive: bool,
    paused_until: Timestamp,
    queued_events: VecDeque<Event>,
    wake_at: Timestamp,
}

struct Engine {
    id: EndpointId,
    model: EngineModel,
    alive: bool,
    frozen_until: Timestamp,
    leaving_since: Option<Timestamp>,
}

struct Attempt {
    instance: usize,
    engine: usize,
    next_index: u64,
}

/// State of one simulation run.
pub struct RoutingSimulation {
    scenario: Scenario,
    kind: PolicyKind,
    now: Timestamp,
    queue: BinaryHeap<Reverse<(Timestamp, u64)>>,
    pending_events: BTreeMap<u64, SimulationEvent>,
    event_id: u64,
    rng: ChaCha8Rng,
    instances: Vec<Instance>,
    engines: Vec<Engine>,
    records: Vec<RequestRecord>,
    /// Open requests, with the indexes of their record and their instance.
    requests: BTreeMap<RequestId, (usize, usize)>,
    attempts: BTreeMap<AttemptId, Attempt>,
    /// Attempts whose tokens their instance still accepts, with the index of the request record.
    accepted_attempts: BTreeMap<AttemptId, usize>,
    settings: Vec<Arc<EffectiveSettings>>,
    next_request: u64,
    refusing: bool,
    partitioned: bool,
    report: RoutingReport,
}

impl RoutingSimulation {
    /// Creates a simulation in its initial state.
    pub fn new(scenario: Scenario, kind: PolicyKind, seed: u64, arrivals: Vec<Arrival>) -> Self {
        let instances = (0..scenario.instances).map(|n| new_instance(n, kind, seed)).collect();
        let engines = (0..scenario.engines).map(|n| Engine {
            id: endpoint_id(n),
            model: EngineModel::new(scenario.spec.clone()),
            alive: true,
            frozen_until: Timestamp::default(),
            leaving_since: None,
        });
        let settings = scenario.classes.iter().map(|class| {
            let mut settings = EffectiveSettings::default();
            settings.class.priority = class.priority;
            settings.timeouts.max_deadline_ms = 3_600_000;
            kind.apply(&mut settings);
            Arc::new(settings)
        });
        let mut simulation = Self {
            settings: settings.collect(),
            engines: engines.collect(),
            instances,
            kind,
            now: Timestamp::default(),
            queue: BinaryHeap::new(),
            pending_events: BTreeMap::new(),
            event_id: 0,
            rng: Seed(seed).rng(SIMULATION_STREAM),
            records: Vec::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            accepted_attempts: BTreeMap::new(),
            next_request: 0,
            refusing: false,
            partitioned: false,
            report: RoutingReport::default(),
            scenario,
        };
        simulation.schedule_initial_events(arrivals);
        simulation
    }

    fn schedule_initial_events(&mut self, arrivals: Vec<Arrival>) {
        for instance in 0..self.instances.len() {
            self.handle_event(instance, Event::Endpoints(self.entries()));
            self.handle_event(instance, Event::Peers(self.live_instances()));
        }
        for arrival in arrivals {
            let at = arrival.at + self.scenario.caller_latency;
            let record = self.records.len();
            self.records.push(new_request_record(arrival));
            self.schedule_at(at, SimulationEvent::Arrive { record });
        }
        for (at, fault) in self.scenario.faults.clone() {
            self.schedule_at(at, SimulationEvent::Fault(fault));
        }
        self.schedule_at(
            Timestamp::default() + self.scenario.report_every,
            SimulationEvent::Report,
        );
    }

    /// Runs until all requests have ended and returns the result.
    pub fn run(mut self) -> RoutingReport {
        let end = Timestamp::default() + self.scenario.duration + MAX_DRAIN_TIME;
        while let Some(Reverse((at, event_id))) = self.queue.pop() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(simulation_event) = self.pending_events.remove(&event_id) {
                self.process(simulation_event);
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

    fn finish(mut self) -> RoutingReport {
        // Cancellations and releases in flight are still delivered.
        let grace = self.now + Duration::from_secs(1);
        while let Some(Reverse((at, event_id))) = self.queue.pop() {
            if at > grace {
                break;
            }
            self.now = at;
            match self.pending_events.remove(&event_id) {
                Some(
                    pending @ (SimulationEvent::Cancel { .. } | SimulationEvent::Release { .. }),
                ) => self.process(pending),
                _ => continue,
            }
        }
        let held = self.engines.iter().map(|e| e.model.report().kv_used.0).sum();
        let kv_ratio =
            |e: &Engine| e.model.peak_kv().0 as f64 / e.model.spec().kv_capacity.0 as f64;
        self.report.peak_kv_ratio = self.engines.iter().map(kv_ratio).fold(0.0, f64::max);
        self.report.held_at_end = TokenCount(held);
        let unfinished = |r: &&RequestRecord| r.end.is_none();
        self.report.open_at_end = self.records.iter().filter(unfinished).count();
        self.report.records = self.records;
        self.report
    }

    fn schedule_at(&mut self, at: Timestamp, simulation_event: SimulationEvent) {
        self.event_id += 1;
        self.pending_events.insert(self.event_id, simulation_event);
        self.queue.push(Reverse((at, self.event_id)));
    }

    fn schedule_after(&mut self, delay: Duration, simulation_event: SimulationEvent) {
        self.schedule_at(self.now + delay, simulation_event);
    }

    fn process(&mut self, simulation_event: SimulationEvent) {
        match simulation_event {
            SimulationEvent::Arrive { record } => self.arrive(record),
            SimulationEvent::DeliverToPolicy { instance, event } => self.deliver(instance, *event),
            SimulationEvent::Submit { instance, dispatch } => self.submit(instance, &dispatch),
            SimulationEvent::Step { engine } => self.run_step(engine),
            SimulationEvent::Cancel { engine, attempt } => {
                self.attempts.remove(&attempt);
                self.engines[engine].model.cancel(self.now, attempt);
                self.schedule_step(engine);
            }
            SimulationEvent::Reserve { instance, attempt, memory } => {
                self.reserve(instance, attempt, memory);
            }
            SimulationEvent::Release { engine, attempt } => {
                self.engines[engine].model.release(self.now, attempt);
                self.schedule_step(engine);
            }
            SimulationEvent::Report => self.send_reports(),
            SimulationEvent::Wake { instance } => {
                if self.instances[instance].wake_at == self.now {
                    self.instances[instance].wake_at = Timestamp::NEVER;
                    self.deliver(instance, Event::Tick);
                }
            }
            SimulationEvent::Resume { instance } => self.resume(instance),
            SimulationEvent::Fault(fault) => self.inject_fault(fault),
            SimulationEvent::RestartEngine { engine } => self.engines[engine].alive = true,
            SimulationEvent::SetRefusing(refusing) => self.refusing = refusing,
            SimulationEvent::HealPartition => {
                self.partitioned = false;
                self.update_peers();
            }
            SimulationEvent::Unfreeze { engine } => self.schedule_step(engine),
            SimulationEvent::UpdatePeers => self.update_peers(),
        }
    }

    fn arrive(&mut self, record: usize) {
        let arrival = self.records[record].arrival.clone();
        let instance = self.live_instance_from(arrival.instance);
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

    /// Delivers an event to an instance. Events for a paused instance are queued; events for a
    /// crashed one are dropped.
    fn deliver(&mut self, instance: usize, event: Event) {
        let paused_until = self.instances[instance].paused_until;
        if !self.instances[instance].alive {
            return;
        }
        if paused_until > self.now {
            self.instances[instance].queued_events.push_back(event);
            return;
        }
        if let Event::Progress { attempt, tokens } = &event {
            self.record_progress(*attempt, *tokens);
        }
        self.handle_event(instance, event);
    }

    /// Delivers the queued events to an instance after its pause, in order.
    fn resume(&mut self, instance: usize) {
        if self.instances[instance].paused_until > self.now {
            return;
        }
        while let Some(event) = self.instances[instance].queued_events.pop_front() {
            self.deliver(instance, event);
        }
    }

    fn handle_event(&mut self, instance: usize, event: Event) {
        let actions = self.instances[instance].policy.handle(self.now, event);
        for action in actions {
            self.apply_action(instance, action);
        }
        let wake =
            self.instances[instance].policy.next_wakeup().max(self.now + Duration::from_micros(1));
        if wake < self.instances[instance].wake_at {
            self.instances[instance].wake_at = wake;
            self.schedule_at(wake, SimulationEvent::Wake { instance });
        }
    }

    fn apply_action(&mut self, instance: usize, action: Action) {
        let latency = self.scenario.latency;
        match action {
            Action::Admitted(id) => {
                if let Some((record, _)) = self.requests.get(&id) {
                    self.records[*record].admitted = true;
                }
            }
            Action::Rejected { request, code, retry_after } => {
                self.on_rejected(request, code, retry_after);
            }
            Action::Reserve { attempt, memory } => {
                self.schedule_after(
                    latency,
                    SimulationEvent::Reserve { instance, attempt, memory },
                );
            }
            Action::Release { attempt, endpoint } => {
                let engine = engine_index(&endpoint);
                self.schedule_after(latency, SimulationEvent::Release { engine, attempt });
            }
            Action::Dispatch(dispatch) => {
                if let Some((record, _)) = self.requests.get(&dispatch.request) {
                    self.records[*record].attempts += 1;
                }
                let dispatch = Box::new(dispatch);
                self.schedule_after(latency, SimulationEvent::Submit { instance, dispatch });
            }
            Action::Cancel { attempt, endpoint } => {
                let engine = engine_index(&endpoint);
                self.accepted_attempts.remove(&attempt);
                self.schedule_after(latency, SimulationEvent::Cancel { engine, attempt });
            }
            Action::Finish { request, end } => self.on_finished(request, end),
        }
    }

    fn on_rejected(&mut self, id: RequestId, code: FailureCode, wait: Option<Duration>) {
        let Some((record, _)) = self.requests.remove(&id) else { return };
        let request_record = &mut self.records[record];
        request_record.retry_after.extend(wait);
        if let Some((after, max_retries)) = self.scenario.caller_retry
            && request_record.caller_retries < max_retries
            && code != FailureCode::TooLarge
        {
            request_record.caller_retries += 1;
            let at = self.now + after.max(wait.unwrap_or_default());
            self.schedule_at(at, SimulationEvent::Arrive { record });
            return;
        }
        let at = self.now + self.scenario.caller_latency;
        request_record.end = Some((at, CallerEnd::Rejected(code)));
    }

    fn on_finished(&mut self, id: RequestId, end: RequestEnd) {
        let Some((record, _)) = self.requests.remove(&id) else { return };
        let at = self.now + self.scenario.caller_latency;
        let end = match end {
            RequestEnd::Answered => CallerEnd::Answered,
            RequestEnd::Failed { code, run_state, retry_after } => {
                self.records[record].retry_after.extend(retry_after);
                CallerEnd::Failed(code, run_state)
            }
        };
        let request_record = &mut self.records[record];
        let refused = matches!(end, CallerEnd::Failed(_, RunState::NotRun));
        if let Some((after, max_retries)) = self.scenario.caller_retry
            && refused
            && request_record.caller_retries < max_retries
        {
            request_record.caller_retries += 1;
            let wait = request_record.retry_after.last().copied().unwrap_or_default();
            self.schedule_at(self.now + after.max(wait), SimulationEvent::Arrive { record });
            return;
        }
        request_record.end = Some((at, end));
    }

    fn record_progress(&mut self, attempt: AttemptId, tokens: u64) {
        let Some(record) = self.accepted_attempts.get(&attempt).copied() else { return };
        let request_record = &mut self.records[record];
        if request_record.first_token.is_none() {
            request_record.first_token = Some(self.now + self.scenario.caller_latency);
        }
        if tokens <= request_record.delivered_tokens {
            request_record.out_of_order_events += 1;
        }
        request_record.delivered_tokens = request_record.delivered_tokens.max(tokens);
    }

    /// The policy under test.
    pub fn policy(&self) -> PolicyKind {
        self.kind
    }
}

fn new_instance(n: usize, kind: PolicyKind, seed: u64) -> Instance {
    let id: InstanceId = parse_id(&format!("instance-{n}"));
    let incarnation = Incarnation(n as u64 + 1);
    let policy =
        kind.build(&id, incarnation, Seed(seed.wrapping_mul(1_000).wrapping_add(n as u64)));
    let never = Timestamp::NEVER;
    let (paused_until, queued_events) = (Timestamp::default(), VecDeque::new());
    Instance { id, policy, alive: true, paused_until, queued_events, wake_at: never }
}

fn new_request_record(arrival: Arrival) -> RequestRecord {
    RequestRecord {
        arrival,
        first_token: None,
        end: None,
        admitted: false,
        attempts: 0,
        runs: 0,
        delivered_tokens: 0,
        out_of_order_events: 0,
        caller_retries: 0,
        retry_after: Vec::new(),
    }
}
