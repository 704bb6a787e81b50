//! The policy of one instance: admission, waiting, placement, attempts and their ends.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use ringbend_platform::EndpointEntry;
use ringbend_settings::configs::ChoiceKind;
use ringbend_types::{
    AttemptId, EndpointId, IdMint, Incarnation, InstanceId, RequestId, RunState, Seed, Timestamp,
};

use crate::backoff::{Backoff, RetryBudget, spread};
use crate::choice::{EndpointChoice, choice_for};
use crate::collect::Collect;
use crate::endpoint_view::EndpointView;
use crate::event::{
    Action, AttemptEnd, Dispatch, Event, FailureCode, HeldMemory, Policy, RequestEnd,
};
use crate::limits::{LimitVerdict, Limits};
use crate::outcome::{AfterAttempt, after_attempt, run_state};
use crate::placement::{Endpoints, RoomKind, is_away};
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
    mint: IdMint,
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
    choices: Vec<(ChoiceKind, Box<dyn EndpointChoice>)>,
    next_age: Timestamp,
    look_at: Timestamp,
}

impl Dispatcher {
    /// A policy that knows no endpoints yet.
    pub fn new(cfg: DispatcherConfig) -> Self {
        Self {
            mint: IdMint::new(cfg.incarnation),
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
    pub fn mint_request(&mut self) -> RequestId {
        self.mint.request()
    }

    /// Admitted requests that have not ended.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Requests waiting for an endpoint.
    pub fn queued(&self) -> usize {
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

    fn arrived(&mut self, now: Timestamp, profile: RequestProfile, out: &mut Vec<Action>) {
        if let Err((code, wait)) = self.admit(now, &profile) {
            let retry_after = wait.map(|wait| spread(wait, &mut self.rng));
            out.push(Action::Rejected { request: profile.id, code, retry_after });
            return;
        }
        let id = profile.id;
        out.push(Action::Admitted(id));
        let claim = profile.needs_claim;
        let request = Request {
            timer: profile.deadline,
            profile,
            stage: Stage::Claiming,
            attempts: 0,
            delivered: 0,
            last: None,
            ran: RunState::NotRun,
        };
        self.timers.insert((request.timer, id));
        self.requests.insert(id, request);
        if !claim {
            self.enqueue(now, id);
        }
    }

    fn admit(
        &mut self,
        now: Timestamp,
        profile: &RequestProfile,
    ) -> Result<(), (FailureCode, Option<Duration>)> {
        let admission = &profile.settings.admission;
        if profile.prompt_tokens.0 > admission.max_prompt_tokens {
            return Err((FailureCode::TooLarge, None));
        }
        let Some(soonest) = self.endpoints.soonest(now, profile) else {
            return Err((FailureCode::NoEndpoint, Some(Duration::from_secs(1))));
        };
        if !self.endpoints.can_ever_hold(profile) {
            return Err((FailureCode::TooLarge, None));
        }
        let wait = self.queue_time(profile);
        if self.queue.len() >= admission.max_queued as usize {
            return Err((FailureCode::QueueFull, Some(wait)));
        }
        if now + wait + soonest > profile.deadline {
            return Err((FailureCode::DeadlineTooNear, Some(wait)));
        }
        let limits = &profile.settings.limits;
        match self.limits.try_take(now, &profile.account, profile.cost(), limits) {
            LimitVerdict::Within => Ok(()),
            LimitVerdict::Over(wait) => Err((FailureCode::OverLimit, Some(wait))),
        }
    }

    /// How long the requests that go before this one take, at this instance's part of the rate.
    fn queue_time(&self, profile: &RequestProfile) -> Duration {
        let before = self.queue.tokens_before(profile.settings.class.priority);
        let rate = self.endpoints.rate(&profile.service) / self.peers.len().max(1) as f64;
        Duration::from_secs_f64((before as f64 / rate.max(1.0)).min(86_400.0))
    }

    fn enqueue(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.stage = Stage::Queued;
        self.queue.push(now, &request.profile);
        self.set_timer(id);
    }

    /// Sends as many waiting requests as find room.
    fn pump(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let mut full: BTreeSet<RoomKind> = BTreeSet::new();
        let waiting: Vec<RequestId> = self.queue.iter().collect();
        for id in waiting {
            let Some(request) = self.requests.get(&id) else {
                continue;
            };
            let kind = self.endpoints.room_kind(&request.profile);
            if full.contains(&kind) {
                continue;
            }
            let placed = match kind {
                RoomKind::Several(_) => self.start_collecting(now, id, out),
                _ => self.place(now, id, out),
            };
            if !placed {
                full.insert(kind);
                if full.len() >= 6 {
                    break;
                }
            }
        }
        let idle = self.queue.len() == 0;
        self.look_at = if idle { Timestamp::NEVER } else { now + LOOK_AGAIN };
    }

    fn place(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Action>) -> bool {
        let collecting = self.collecting();
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let (own, peers) = (&self.cfg.instance, &self.peers);
        let away = |endpoint: &EndpointId| is_away(endpoint, own, peers);
        let avoid = request.last.as_ref();
        let profile = &request.profile;
        let candidates = self.endpoints.candidates(now, profile, avoid, &collecting, away);
        let kind = profile.settings.routing.choice;
        let at = self.choices.iter().position(|(k, _)| *k == kind).unwrap_or_else(|| {
            self.choices.push((kind, choice_for(&profile.settings.routing)));
            self.choices.len() - 1
        });
        let chosen = self.choices[at].1.choose(&candidates, profile.prefix, &mut self.rng);
        let Some(chosen) = chosen else { return false };
        let endpoint = candidates[chosen].endpoint.clone();
        self.queue.serve(id);
        let attempt = self.mint.attempt();
        self.dispatch(now, id, attempt, endpoint, Vec::new(), out);
        true
    }

    fn collecting(&self) -> BTreeSet<EndpointId> {
        let engines = self.requests.values().filter_map(|r| match &r.stage {
            Stage::Collecting(collect) => Some(collect.engines.clone()),
            _ => None,
        });
        engines.flatten().collect()
    }

    fn start_collecting(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Action>) -> bool {
        let busy = self.collecting();
        let Some(request) = self.requests.get(&id) else {
            return false;
        };
        let Some(group) = self.endpoints.group(now, &request.profile, &busy) else {
            return false;
        };
        let attempt = self.mint.attempt();
        let need = request.profile.cost();
        self.queue.serve(id);
        self.attempts.insert(attempt, id);
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage = Stage::Collecting(Collect::new(attempt, group, need));
        }
        self.collect(now, id, out);
        true
    }

    /// Makes the next reservation, or dispatches when all are held.
    fn collect(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Action>) {
        if self.leave_broken_group(now, id, out) {
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let Stage::Collecting(collect) = &mut request.stage else {
            return;
        };
        if collect.asking || now < collect.retry_at {
            return;
        }
        if let Some(memory) = collect.next() {
            collect.asking = true;
            out.push(Action::Reserve { attempt: collect.attempt, memory });
            self.set_timer(id);
            return;
        }
        let Some(lead) = collect.lead().cloned() else {
            return;
        };
        let (attempt, held) = (collect.attempt, collect.held.to_vec());
        self.dispatch(now, id, attempt, lead, held, out);
    }

    fn reserved(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        endpoint: EndpointId,
        held: bool,
        out: &mut Vec<Action>,
    ) {
        let id = self.attempts.get(&attempt).copied();
        let request = id.and_then(|id| self.requests.get_mut(&id));
        let Some(Request { stage: Stage::Collecting(collect), .. }) = request else {
            // The request ended while the reservation was under way.
            if held {
                out.push(Action::Release { attempt, endpoint });
            }
            return;
        };
        collect.asking = false;
        if held {
            let tokens = collect.share;
            collect.held.push(HeldMemory { endpoint, tokens });
        } else {
            collect.retry_at = now + RESERVE_AGAIN;
        }
        if let Some(id) = id {
            self.collect(now, id, out);
            self.set_timer(id);
        }
    }

    /// Gives back what is held and starts anew when an engine of the group is gone.
    fn leave_broken_group(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(Request { stage: Stage::Collecting(collect), .. }) = self.requests.get(&id) else {
            return false;
        };
        if collect.engines.iter().all(|engine| self.endpoints.is_open(now, engine)) {
            return false;
        }
        self.stop_attempt(now, id, None, false, out);
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage = Stage::Waiting { until: now + RESERVE_AGAIN };
        }
        self.set_timer(id);
        true
    }

    fn dispatch(
        &mut self,
        now: Timestamp,
        id: RequestId,
        attempt: AttemptId,
        endpoint: EndpointId,
        held: Vec<HeldMemory>,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let profile = &request.profile;
        let Some(view) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        let long = profile.is_long();
        let prefill = view.uncached(profile.prompt_tokens, profile.prefix);
        let predicted = view.predict(now, prefill, long);
        let patience = Duration::from_millis(profile.settings.timeouts.first_token_ms);
        let borrowed = held.iter().map(|h| h.tokens.0).sum();
        let kv = profile.cost().minus(ringbend_types::TokenCount(borrowed));
        view.sent(now, attempt, prefill, kv, long);
        if request.attempts == 0 {
            self.budget.first_attempt(now);
        }
        request.attempts += 1;
        request.last = Some(endpoint.clone());
        out.push(Action::Dispatch(Dispatch {
            request: id,
            attempt,
            endpoint: endpoint.clone(),
            held: held.iter().cloned().collect(),
            priority: engine_priority(profile),
            resume_from: request.delivered,
            number: request.attempts,
        }));
        request.stage = Stage::Running(Running {
            attempt,
            endpoint,
            held,
            started: false,
            first_token_by: now + predicted * 2 + patience,
            last_progress: now,
        });
        self.attempts.insert(attempt, id);
        self.set_timer(id);
    }

    fn progress(&mut self, now: Timestamp, attempt: AttemptId, tokens: u64) {
        let Some(id) = self.attempts.get(&attempt) else {
            return;
        };
        let Some(request) = self.requests.get_mut(id) else {
            return;
        };
        let Stage::Running(running) = &mut request.stage else {
            return;
        };
        request.delivered = request.delivered.max(tokens);
        running.last_progress = now;
        running.started = true;
        let prefix = request.profile.prefix;
        if let Some(view) = self.endpoints.get_mut(&running.endpoint) {
            view.progressed(now, attempt, prefix);
        }
    }

    fn ended(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        end: AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        let Some(id) = self.attempts.get(&attempt).copied() else {
            return;
        };
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        if !matches!(&request.stage, Stage::Running(r) if r.attempt == attempt) {
            return;
        }
        self.stop_attempt(now, id, Some(end), false, out);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.ran = request.ran.max(run_state(end).unwrap_or(RunState::NotRun));
        match after_attempt(end, request.profile.repeatable) {
            AfterAttempt::Answered => self.finish(id, RequestEnd::Answered, out),
            AfterAttempt::End => self.fail(id, FailureCode::EndpointFailed, None, out),
            AfterAttempt::TryAgain => self.try_again(now, id, end, out),
        }
    }

    fn try_again(&mut self, now: Timestamp, id: RequestId, end: AttemptEnd, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let retries = &request.profile.settings.retries;
        let floor = match end {
            AttemptEnd::Refused { retry_after } => retry_after,
            _ => None,
        };
        // A long prompt that was not run waits for as long as its deadline lets it.
        let waits = request.profile.is_long() && run_state(end) == Some(RunState::NotRun);
        let allowed = waits
            || request.attempts < retries.attempts
                && self.budget.try_retry(now, retries.ratio_percent);
        if !allowed {
            let wait = floor.unwrap_or(Duration::from_secs(1));
            return self.fail(id, FailureCode::EndpointFailed, Some(wait), out);
        }
        // The endpoint that named the floor is left alone that long; others may be tried sooner.
        let delay = Backoff::new(retries).delay(request.attempts, None, &mut self.rng);
        request.stage = Stage::Waiting { until: now + delay };
        self.set_timer(id);
    }

    /// Takes a running or collecting request off its endpoints, and gives held memory back.
    fn stop_attempt(
        &mut self,
        now: Timestamp,
        id: RequestId,
        end: Option<AttemptEnd>,
        cancel: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let (attempt, held) = match std::mem::replace(&mut request.stage, Stage::Claiming) {
            Stage::Running(running) => {
                if let Some(view) = self.endpoints.get_mut(&running.endpoint) {
                    view.ended(running.attempt);
                    match end {
                        Some(AttemptEnd::Broken | AttemptEnd::NotSent) => view.failed(now, None),
                        Some(AttemptEnd::Refused { retry_after }) => view.refused(now, retry_after),
                        _ => {}
                    }
                }
                if cancel {
                    let endpoint = running.endpoint;
                    out.push(Action::Cancel { attempt: running.attempt, endpoint });
                }
                (running.attempt, running.held)
            }
            Stage::Collecting(collect) => (collect.attempt, collect.held.to_vec()),
            Stage::Queued => {
                self.queue.remove(id);
                return;
            }
            Stage::Claiming | Stage::Waiting { .. } => return,
        };
        self.attempts.remove(&attempt);
        for HeldMemory { endpoint, .. } in held {
            out.push(Action::Release { attempt, endpoint });
        }
    }

    fn fail(
        &mut self,
        id: RequestId,
        code: FailureCode,
        wait: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        let run_state = self.requests.get(&id).map_or(RunState::NotRun, |r| r.ran);
        let retry_after = wait.map(|wait| spread(wait, &mut self.rng));
        self.finish(id, RequestEnd::Failed { code, run_state, retry_after }, out);
    }

    fn finish(&mut self, id: RequestId, end: RequestEnd, out: &mut Vec<Action>) {
        if self.forget(id) {
            out.push(Action::Finish { request: id, end });
        }
    }

    fn forget(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.remove(&id) else {
            return false;
        };
        self.timers.remove(&(request.timer, id));
        self.limits.ended(&request.profile.account, request.profile.cost());
        true
    }

    fn withdraw(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Action>) {
        self.stop_attempt(now, id, None, true, out);
        self.forget(id);
    }

    fn set_timer(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let idle = Duration::from_millis(request.profile.settings.timeouts.idle_ms);
        let due = match &request.stage {
            Stage::Claiming | Stage::Queued => Timestamp::NEVER,
            Stage::Waiting { until } => *until,
            Stage::Collecting(c) if c.asking => Timestamp::NEVER,
            Stage::Collecting(c) => c.retry_at,
            Stage::Running(r) if r.started => r.last_progress + idle,
            Stage::Running(r) => r.first_token_by,
        };
        let due = due.min(request.profile.deadline);
        if due != request.timer {
            self.timers.remove(&(request.timer, id));
            request.timer = due;
            self.timers.insert((due, id));
        }
    }

    fn fire_timers(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        while let Some((due, id)) = self.timers.first().copied() {
            if due > now {
                return;
            }
            self.set_timer(id);
            let moved = self.requests.get(&id).is_none_or(|r| r.timer > now);
            if !moved {
                self.on_timer(now, id, out);
            }
            if self.timers.contains(&(due, id)) {
                self.timers.remove(&(due, id));
            }
        }
    }

    fn on_timer(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if now >= request.profile.deadline {
            if matches!(request.stage, Stage::Running(_)) {
                request.ran = request.ran.max(RunState::MayHaveRun);
            }
            let wait = self.requests.get(&id).map(|r| self.queue_time(&r.profile));
            self.stop_attempt(now, id, None, true, out);
            return self.fail(id, FailureCode::DeadlineExceeded, wait, out);
        }
        match &request.stage {
            Stage::Waiting { .. } => self.enqueue(now, id),
            Stage::Collecting(_) => self.collect(now, id, out),
            Stage::Running(running) => {
                let (attempt, endpoint) = (running.attempt, running.endpoint.clone());
                if !running.started && self.endpoints.is_busy(now, &endpoint) {
                    return self.wait_longer(now, id);
                }
                out.push(Action::Cancel { attempt, endpoint });
                self.ended(now, attempt, AttemptEnd::Broken, out);
            }
            Stage::Claiming | Stage::Queued => {}
        }
    }

    /// Takes repeatable requests off engines that have fallen silent, rather than wait out their
    /// time bounds there. Others wait: sending them elsewhere could run them twice.
    fn leave_silent(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        for attempt in self.endpoints.attempts_in_silence(now) {
            let id = self.attempts.get(&attempt).copied();
            let request = id.and_then(|id| self.requests.get(&id));
            let Some(Request { stage: Stage::Running(running), profile, .. }) = request else {
                continue;
            };
            if running.attempt == attempt && profile.repeatable {
                let endpoint = running.endpoint.clone();
                out.push(Action::Cancel { attempt, endpoint });
                self.ended(now, attempt, AttemptEnd::Broken, out);
            }
        }
    }

    fn end_held_attempts(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let holds = |request: &Request| match &request.stage {
            Stage::Running(running) => !running.held.is_empty(),
            Stage::Collecting(collect) => !collect.held.is_empty(),
            _ => false,
        };
        let holding = self.requests.iter().filter(|(_, request)| holds(request));
        let holding: Vec<RequestId> = holding.map(|(id, _)| *id).collect();
        for id in holding {
            let Some(request) = self.requests.get_mut(&id) else {
                continue;
            };
            if matches!(request.stage, Stage::Running(_)) {
                request.ran = request.ran.max(RunState::MayHaveRun);
            }
            self.stop_attempt(now, id, None, true, out);
            self.try_again(now, id, AttemptEnd::Broken, out);
        }
    }

    /// The engine lives and has others to serve first: what it has done for this request would be
    /// lost by going elsewhere.
    fn wait_longer(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let patience = Duration::from_millis(request.profile.settings.timeouts.first_token_ms);
        if let Stage::Running(running) = &mut request.stage {
            running.first_token_by = now + patience;
        }
        self.set_timer(id);
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
