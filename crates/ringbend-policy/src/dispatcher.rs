//! The policy of one instance: admission, waiting, placement, attempts and their ends.

mod arrivals;
mod ends;
mod placing;
mod timers;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use ringbend_platform::EndpointEntry;
use ringbend_settings::configs::RoutingConfig;
use ringbend_types::{
    AttemptId, EndpointId, IdGenerator, Incarnation, InstanceId, RequestId, RunState, Seed,
    Timestamp,
};

use crate::backoff::RetryBudget;
use crate::choice::EndpointChoice;
use crate::collect::Collect;
use crate::endpoint_view::EndpointView;
use crate::event::{Action, Event, HeldMemory, Policy};
use crate::limits::Limits;
use crate::placement::Endpoints;
use crate::profile::RequestProfile;
use crate::queue::Queue;

/// Random stream of the policy within a process.
const RANDOM_STREAM: u64 = 1;

/// How often a refused reservation is tried again.
const RESERVE_AGAIN: Duration = Duration::from_millis(100);

/// How often waiting requests are looked at when nothing else happens.
const LOOK_AGAIN: Duration = Duration::from_millis(50);

/// How often waiting requests age.
const AGE_EVERY: Duration = Duration::from_secs(1);

/// A tick this late means that this instance itself was paused, or had nothing to do.
const OWN_PAUSE: Duration = Duration::from_secs(1);

/// Who this instance is.
#[derive(Debug, Clone)]
pub struct DispatcherConfig {
    /// This instance.
    pub instance: InstanceId,
    /// This start of it.
    pub incarnation: Incarnation,
    /// Of all random decisions.
    pub seed: Seed,
}

#[derive(Debug, Clone)]
struct Running {
    attempt: AttemptId,
    endpoint: EndpointId,
    held: Vec<HeldMemory>,
    started: bool,
    first_token_by: Timestamp,
    last_progress: Timestamp,
}

#[derive(Debug, Clone)]
enum Stage {
    Claiming,
    Queued,
    Waiting { until: Timestamp },
    Collecting(Collect),
    Running(Running),
}

#[derive(Debug, Clone)]
struct Request {
    profile: RequestProfile,
    stage: Stage,
    attempts: u32,
    delivered: u64,
    last: Option<EndpointId>,
    ran: RunState,
    timer: Timestamp,
}

/// Ringbend's policy.
pub struct Dispatcher {
    cfg: DispatcherConfig,
    mint: IdGenerator,
    rng: ChaCha8Rng,
    endpoints: Endpoints,
    leaving: BTreeSet<EndpointId>,
    peers: Vec<InstanceId>,
    requests: BTreeMap<RequestId, Request>,
    attempts: BTreeMap<AttemptId, RequestId>,
    queue: Queue,
    limits: Limits,
    budget: RetryBudget,
    timers: BTreeSet<(Timestamp, RequestId)>,
    choices: Vec<(RoutingConfig, Box<dyn EndpointChoice>)>,
    next_age: Timestamp,
    look_at: Timestamp,
}

impl Dispatcher {
    /// A policy that knows no endpoints yet.
    pub fn new(cfg: DispatcherConfig) -> Self {
        Self {
            mint: IdGenerator::new(cfg.incarnation),
            rng: cfg.seed.rng(RANDOM_STREAM),
            peers: vec![cfg.instance.clone()],
            cfg,
            endpoints: Endpoints::default(),
            leaving: BTreeSet::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            queue: Queue::default(),
            limits: Limits::default(),
            budget: RetryBudget::default(),
            timers: BTreeSet::new(),
            choices: Vec::new(),
            next_age: Timestamp::default(),
            look_at: Timestamp::NEVER,
        }
    }

    /// Mints the id of a request that is about to arrive.
    pub fn next_request_id(&mut self) -> RequestId {
        self.mint.next_request_id()
    }

    /// Admitted requests that have not ended.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Requests waiting for an endpoint.
    pub fn queued_requests(&self) -> usize {
        self.queue.len()
    }

    /// Whether the endpoint is known to be leaving.
    pub fn is_leaving(&self, endpoint: &EndpointId) -> bool {
        self.leaving.contains(endpoint)
    }

    /// Endpoints known, with whether they take new work now and the requests this instance has
    /// there.
    pub fn endpoints(&self, now: Timestamp) -> Vec<(EndpointEntry, bool, usize)> {
        self.endpoints.iter().map(|v| (v.entry.clone(), v.is_open(now), v.own())).collect()
    }

    fn take_list(&mut self, entries: Vec<EndpointEntry>) {
        let listed: BTreeSet<EndpointId> = entries.iter().map(|e| e.id.clone()).collect();
        for entry in entries {
            let leaving = self.leaving.contains(&entry.id);
            let state = entry.state;
            let id = entry.id.clone();
            self.endpoints.insert(EndpointView::new(entry));
            if let Some(view) = self.endpoints.get_mut(&id) {
                view.leaving |= leaving || state == ringbend_platform::EndpointState::Leaving;
            }
        }
        for view in self.endpoints.iter_mut() {
            view.leaving |= !listed.contains(&view.entry.id);
        }
        self.endpoints.drop_gone(&listed);
        self.leaving.retain(|id| listed.contains(id));
    }

    fn endpoint_leaving(&mut self, id: EndpointId) {
        if let Some(view) = self.endpoints.get_mut(&id) {
            view.leaving = true;
        }
        self.leaving.insert(id);
    }
}

impl Policy for Dispatcher {
    fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        let mut pump = true;
        match event {
            Event::Endpoints(entries) => self.take_list(entries),
            Event::EndpointLeaving(id) => self.endpoint_leaving(id),
            Event::Peers(peers) => self.peers = peers,
            Event::Share { account: Some(account), share } => {
                self.limits.set_share(account, Some(share));
            }
            Event::Share { account: None, share } => self.limits.set_default_share(share),
            Event::Load { endpoint, report, at } => {
                if let Some(view) = self.endpoints.get_mut(&endpoint) {
                    view.report(now, report, at);
                }
            }
            Event::Arrived(profile) => self.arrived(now, profile, &mut out),
            Event::Claimed(id) => self.enqueue(now, id),
            Event::Withdrawn(id) => self.withdraw(now, id, &mut out),
            Event::Reserved { attempt, endpoint, held } => {
                self.reserved(now, attempt, endpoint, held, &mut out);
            }
            Event::Progress { attempt, tokens } => {
                self.progress(now, attempt, tokens);
                pump = false;
            }
            Event::Ended { attempt, end } => self.ended(now, attempt, end, &mut out),
            Event::PresenceLapsed => self.end_held_attempts(now, &mut out),
            Event::Tick => {
                self.fire_timers(now, &mut out);
                if now >= self.next_age {
                    if now.since(self.next_age) > OWN_PAUSE {
                        // This instance stood still; nobody's silence says anything.
                        self.endpoints.iter_mut().for_each(|view| view.forgive(now));
                    }
                    self.next_age = now + AGE_EVERY;
                    self.queue.age(now);
                    self.leave_silent(now, &mut out);
                }
            }
        }
        if pump && self.queue.len() > 0 {
            self.pump(now, &mut out);
        }
        out
    }

    fn next_wakeup(&self) -> Timestamp {
        let timer = self.timers.first().map_or(Timestamp::NEVER, |(due, _)| *due);
        let age = if self.requests.is_empty() { Timestamp::NEVER } else { self.next_age };
        timer.min(self.look_at).min(age)
    }
}

/// Priority at the engine: by class, and within a class the shorter prompt first.
fn engine_priority(profile: &RequestProfile) -> u8 {
    let size = ringbend_types::PromptBucket::of(profile.prompt_tokens) as u8;
    profile.settings.class.priority * 4 + size
}
