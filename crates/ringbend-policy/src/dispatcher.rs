//! The scheduling policy of one instance: admission, queueing, placement, attempts, outcomes.

mod admission;
mod completion;
mod dispatching;
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
use crate::endpoint_view::EndpointView;
use crate::event::{Action, Event, HeldMemory, Policy};
use crate::group_reservation::GroupReservation;
use crate::limits::Limits;
use crate::placement::EndpointSet;
use crate::profile::RequestProfile;
use crate::queue::Queue;

/// Random stream number of the policy within a process.
const RANDOM_STREAM: u64 = 1;

/// Retry interval of a refused reservation, and the delay before another group of engines is tried
/// after an engine of the previous one has become unavailable.
const RESERVE_RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which the queue is checked again if no event triggers a check.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Interval at which the priorities of queued requests are raised.
const AGEING_INTERVAL: Duration = Duration::from_secs(1);

/// A tick that is late by more than this means that this instance was paused or idle.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Identity and seed of a dispatcher.
#[derive(Debug, Clone)]
pub struct DispatcherConfig {
    /// This instance's id.
    pub instance: InstanceId,
    /// This instance's incarnation, unique to each start.
    pub incarnation: Incarnation,
    /// Seed of all random decisions.
    pub seed: Seed,
}

#[derive(Debug, Clone)]
struct RunningAttempt {
    attempt: AttemptId,
    endpoint: EndpointId,
    held: Vec<HeldMemory>,
    got_first_token: bool,
    first_token_deadline: Timestamp,
    last_progress: Timestamp,
}

#[derive(Debug, Clone)]
enum Stage {
    Claiming,
    Queued,
    Backoff { until: Timestamp },
    Reserving(GroupReservation),
    Running(RunningAttempt),
}

#[derive(Debug, Clone)]
struct Request {
    profile: RequestProfile,
    stage: Stage,
    attempts: u32,
    delivered_tokens: u64,
    last_endpoint: Option<EndpointId>,
    run_state: RunState,
    next_timer: Timestamp,
}

/// Ringbend's scheduling policy for one instance.
pub struct Dispatcher {
    cfg: DispatcherConfig,
    ids: IdGenerator,
    rng: ChaCha8Rng,
    endpoints: EndpointSet,
    leaving: BTreeSet<EndpointId>,
    peers: Vec<InstanceId>,
    requests: BTreeMap<RequestId, Request>,
    attempts: BTreeMap<AttemptId, RequestId>,
    queue: Queue,
    limits: Limits,
    retry_budget: RetryBudget,
    timers: BTreeSet<(Timestamp, RequestId)>,
    choices: Vec<(RoutingConfig, Box<dyn EndpointChoice>)>,
    next_ageing: Timestamp,
    next_queue_poll: Timestamp,
}

impl Dispatcher {
    /// Creates a dispatcher that knows no endpoints yet.
    pub fn new(cfg: DispatcherConfig) -> Self {
        Self {
            ids: IdGenerator::new(cfg.incarnation),
            rng: cfg.seed.rng(RANDOM_STREAM),
            peers: vec![cfg.instance.clone()],
            cfg,
            endpoints: EndpointSet::default(),
            leaving: BTreeSet::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            queue: Queue::default(),
            limits: Limits::default(),
            retry_budget: RetryBudget::default(),
            timers: BTreeSet::new(),
            choices: Vec::new(),
            next_ageing: Timestamp::default(),
            next_queue_poll: Timestamp::NEVER,
        }
    }

    /// Returns the id for a request that is about to arrive.
    pub fn next_request_id(&mut self) -> RequestId {
        self.ids.next_request_id()
    }

    /// Returns the number of admitted requests that have not ended.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the number of requests waiting for an endpoint.
    pub fn queued_requests(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether the endpoint is known to be leaving.
    pub fn is_leaving(&self, endpoint: &EndpointId) -> bool {
        self.leaving.contains(endpoint)
    }

    /// Returns the known endpoints, each with whether it accepts new requests and how many requests
    /// of this instance it has.
    pub fn endpoints(&self, now: Timestamp) -> Vec<(EndpointEntry, bool, usize)> {
        self.endpoints.iter().map(|v| (v.entry.clone(), v.is_open(now), v.own_requests())).collect()
    }

    fn update_endpoints(&mut self, entries: Vec<EndpointEntry>) {
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
        self.endpoints.remove_unlisted(&listed);
        self.leaving.retain(|id| listed.contains(id));
    }

    fn mark_leaving(&mut self, id: EndpointId) {
        if let Some(view) = self.endpoints.get_mut(&id) {
            view.leaving = true;
        }
        self.leaving.insert(id);
    }
}

impl Policy for Dispatcher {
    fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        let mut dispatch_queue = true;
        match event {
            Event::Endpoints(entries) => self.update_endpoints(entries),
            Event::EndpointLeaving(id) => self.mark_leaving(id),
            Event::Peers(peers) => self.peers = peers,
            Event::Share { account: Some(account), share } => {
                self.limits.set_share(account, Some(share));
            }
            Event::Share { account: None, share } => self.limits.set_default_share(share),
            Event::Load { endpoint, report, at } => {
                if let Some(view) = self.endpoints.get_mut(&endpoint) {
                    view.record_report(now, report, at);
                }
            }
            Event::Arrived(profile) => self.on_arrival(now, profile, &mut out),
            Event::Claimed(id) => self.enqueue(now, id),
            Event::Withdrawn(id) => self.on_withdrawn(now, id, &mut out),
            Event::Reserved { attempt, endpoint, held } => {
                self.on_reservation(now, attempt, endpoint, held, &mut out);
            }
            Event::Progress { attempt, tokens } => {
                self.on_progress(now, attempt, tokens);
                dispatch_queue = false;
            }
            Event::Ended { attempt, end } => self.on_attempt_end(now, attempt, end, &mut out),
            Event::PresenceLapsed => self.end_attempts_with_held_memory(now, &mut out),
            Event::Tick => {
                self.run_due_timers(now, &mut out);
                if now >= self.next_ageing {
                    if now.since(self.next_ageing) > PAUSE_THRESHOLD {
                        // This instance was paused, so missing reports say nothing about the
                        // engines.
                        self.endpoints.iter_mut().for_each(|view| view.restart_silence_timer(now));
                    }
                    self.next_ageing = now + AGEING_INTERVAL;
                    self.queue.age(now);
                    self.retry_attempts_on_silent_engines(now, &mut out);
                }
            }
        }
        if dispatch_queue && self.queue.len() > 0 {
            self.dispatch_queued(now, &mut out);
        }
        out
    }

    fn next_wakeup(&self) -> Timestamp {
        let timer = self.timers.first().map_or(Timestamp::NEVER, |(due, _)| *due);
        let age = if self.requests.is_empty() { Timestamp::NEVER } else { self.next_ageing };
        timer.min(self.next_queue_poll).min(age)
    }
}

/// Returns the priority sent to the engine: by class, and within a class shorter prompts first.
fn engine_priority(profile: &RequestProfile) -> u8 {
    let size = ringbend_types::PromptBucket::of(profile.prompt_tokens) as u8;
    profile.settings.class.priority * 4 + size
}
