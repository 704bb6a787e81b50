//! Engines that crash under some of their requests, in virtual time.

use std::collections::{BTreeSet, VecDeque};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use ringbend_gateway::{EndedProcess, Quarantine, SuspectState};
use ringbend_types::{EndpointStart, Fingerprint, PromptPartId, Timestamp};

pub(crate) const TICK_MS: u64 = 10;
/// From the send to the first event.
const PREFILL_MS: u64 = 60;
/// From the first event to the crash, for a fatal request.
const CRASH_MS: u64 = 80;
/// From the first event to the end of the response.
const STREAM_MS: u64 = 600;
const RESTART_MS: u64 = 3_000;
const SURVIVAL_MS: u64 = 250;
const HARMLESS_MS: u64 = 1_000;
const UNDECIDED_MS: u64 = 250;
const PATIENCE_MS: u64 = 2_000;
const MAX_RUNS: usize = 2;

/// How crashes are attributed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Policy {
    /// By whole requests only.
    Requests,
    /// A part with three strikes is held, whatever else explains them.
    Strikes,
    /// What all of the last three crashes have in common is held, less what has run well since.
    Intersection,
    /// That of the product.
    Attribution,
}

/// A kind of request.
#[derive(Debug, Clone)]
pub(crate) struct Kind {
    pub(crate) parts: Vec<u128>,
    pub(crate) per_s: f64,
    /// When the first one is sent.
    pub(crate) from_ms: u64,
    /// From when on a response that begins crashes its engine.
    pub(crate) fatal_from_ms: Option<u64>,
    /// Whether all its requests are the same.
    pub(crate) is_same: bool,
}

pub(crate) fn harmless(parts: &[u128], per_s: f64) -> Kind {
    Kind { parts: parts.into(), per_s, from_ms: 0, fatal_from_ms: None, is_same: false }
}

pub(crate) fn fatal(parts: &[u128], per_s: f64) -> Kind {
    Kind { from_ms: 2_000, fatal_from_ms: Some(0), ..harmless(parts, per_s) }
}

#[derive(Debug, Clone)]
struct Request {
    kind: usize,
    parts: Vec<(Fingerprint, PromptPartId)>,
    own: Fingerprint,
    arrived: u64,
    runs: usize,
}

impl Request {
    fn keys(&self) -> Vec<Fingerprint> {
        self.parts.iter().map(|(key, _)| *key).chain([self.own]).collect()
    }
}

#[derive(Debug, Clone)]
struct Run {
    request: Request,
    sent: u64,
    strikes_before: Vec<usize>,
    has_survived: bool,
}

impl Run {
    fn streamed(&self, now: u64) -> Option<u64> {
        now.checked_sub(self.sent + PREFILL_MS)
    }
}

#[derive(Debug, Default)]
struct Engine {
    process: u64,
    down_until: u64,
    runs: Vec<Run>,
}

#[derive(Debug, Default, Clone)]
pub(crate) struct Outcome {
    pub(crate) crashes: usize,
    pub(crate) served: usize,
    pub(crate) refused: usize,
    pub(crate) failed: usize,
}

impl Outcome {
    pub(crate) fn served_share(&self) -> f64 {
        self.served as f64 / (self.served + self.refused + self.failed).max(1) as f64
    }
}

pub(crate) struct Model {
    policy: Policy,
    rng: SmallRng,
    pub(crate) now: u64,
    kinds: Vec<Kind>,
    engines: Vec<Engine>,
    /// Engines that crash by themselves, a second.
    pub(crate) spontaneous_per_s: f64,
    waiting: Vec<Request>,
    quarantine: Quarantine,
    survivors: VecDeque<(u64, Vec<Fingerprint>)>,
    /// The possible causes of the latest crashes.
    crash_sets: VecDeque<BTreeSet<Fingerprint>>,
    /// Runs of suspects that were sent, and are undecided.
    sent_requests: u64,
    outcome: Outcome,
}

fn key(number: u128) -> Fingerprint {
    let mut digest = [0; 32];
    digest[..16].copy_from_slice(&number.to_be_bytes());
    Fingerprint::from_digest(&digest)
}

impl Model {
    pub(crate) fn new(policy: Policy, seed: u64, engines: usize, kinds: &[Kind]) -> Self {
        Self {
            policy,
            rng: SmallRng::seed_from_u64(seed),
            now: 0,
            kinds: kinds.to_vec(),
            engines: (0..engines).map(|_| Engine::default()).collect(),
            spontaneous_per_s: 0.0,
            waiting: Vec::new(),
            quarantine: Quarantine::default(),
            survivors: VecDeque::new(),
            crash_sets: VecDeque::new(),
            sent_requests: 0,
            outcome: Outcome::default(),
        }
    }

    fn at(&self) -> Timestamp {
        Timestamp::from_millis(self.now)
    }

    pub(crate) fn run_for(mut self, seconds: u64) -> Outcome {
        while self.now < seconds * 1_000 {
            self.arrive();
            self.progress();
            self.crash_spontaneously();
            self.place_waiting();
            self.now += TICK_MS;
        }
        self.outcome
    }

    pub(crate) fn arrive(&mut self) {
        for kind in 0..self.kinds.len() {
            let Kind { parts, per_s, from_ms, is_same, .. } = self.kinds[kind].clone();
            if self.now < from_ms || !self.rng.random_bool(per_s * TICK_MS as f64 / 1e3) {
                continue;
            }
            self.sent_requests += 1;
            let own = if is_same { 1 << 100 } else { (1 << 101) + u128::from(self.sent_requests) };
            let parts = parts.iter().map(|part| (key(*part), PromptPartId(*part))).collect();
            self.waiting.push(Request { kind, parts, own: key(own), arrived: self.now, runs: 0 });
        }
    }

    /// Whether the run crashes its engine, which is so if its response has begun since its kind is fatal.
    fn is_fatal(&self, run: &Run) -> bool {
        let fatal_from = self.kinds[run.request.kind].fatal_from_ms;
        fatal_from.is_some_and(|from| run.sent + PREFILL_MS >= from)
    }

    /// Counts the end of a request that could have been served.
    fn count(&mut self, request: &Request, add: impl Fn(&mut Outcome)) {
        if self.kinds[request.kind].fatal_from_ms.is_none() {
            add(&mut self.outcome);
        }
    }

    pub(crate) fn progress(&mut self) {
        for number in 0..self.engines.len() {
            let now = self.now;
            let crashes = self.engines[number].runs.iter().any(|run| {
                self.is_fatal(run) && run.streamed(now).is_some_and(|ms| ms >= CRASH_MS)
            });
            if crashes {
                self.crash(number);
                continue;
            }
            for at in 0..self.engines[number].runs.len() {
                let run = &mut self.engines[number].runs[at];
                if !run.has_survived && run.streamed(now).is_some_and(|ms| ms >= SURVIVAL_MS) {
                    run.has_survived = true;
                    let request = run.request.clone();
                    self.survive(&request);
                }
            }
            let is_done = |run: &Run| run.streamed(now).is_some_and(|ms| ms >= STREAM_MS);
            let runs = std::mem::take(&mut self.engines[number].runs);
            let (done, left): (Vec<_>, Vec<_>) = runs.into_iter().partition(is_done);
            self.engines[number].runs = left;
            for run in done {
                let at = self.at();
                self.quarantine.clear(at, run.request.own);
                self.count(&run.request, |outcome| outcome.served += 1);
            }
        }
    }

    fn survive(&mut self, request: &Request) {
        let at = self.at();
        for (part, _) in &request.parts {
            self.quarantine.clear(at, *part);
            self.crash_sets.iter_mut().for_each(|set| {
                set.remove(part);
            });
        }
        let keys = request.parts.iter().map(|(key, _)| *key).collect();
        self.survivors.push_back((self.now, keys));
        while self.survivors.front().is_some_and(|(at, _)| self.now - at >= UNDECIDED_MS) {
            self.survivors.pop_front();
        }
    }

    fn crash_spontaneously(&mut self) {
        if self.rng.random_bool(self.spontaneous_per_s * TICK_MS as f64 / 1e3) {
            let number = self.rng.random_range(0..self.engines.len());
            if self.engines[number].down_until <= self.now {
                self.crash(number);
            }
        }
    }

    pub(crate) fn crash(&mut self, number: usize) {
        let (now, at) = (self.now, self.at());
        let engine = &mut self.engines[number];
        let endpoint = format!("i-{number}").parse().unwrap();
        let process = EndedProcess { endpoint, start: Some(EndpointStart(engine.process)) };
        engine.process += 1;
        engine.down_until = now + RESTART_MS;
        let runs = std::mem::take(&mut engine.runs);
        self.outcome.crashes += 1;
        let mut set = BTreeSet::new();
        for run in &runs {
            let streamed = run.streamed(now).unwrap_or(0);
            let mut before = run.strikes_before.iter().copied();
            for part in &run.request.parts {
                let before = before.next().unwrap_or(0);
                if streamed < SURVIVAL_MS && self.policy != Policy::Requests {
                    self.quarantine.strike_part(at, *part, process.clone(), before);
                    set.insert(part.0);
                }
            }
            if streamed < HARMLESS_MS {
                let before = before.next().unwrap_or(0);
                let own = run.request.own;
                if !self.quarantine.strike(at, own, process.clone(), before) {
                    self.quarantine.note_concurrent(at, own, process.clone());
                }
            }
        }
        if self.policy == Policy::Attribution {
            for part in &set {
                let vouches = |(at, keys): &(u64, Vec<Fingerprint>)| {
                    now - at < UNDECIDED_MS && keys.contains(part)
                };
                let may_be_cleared = self.quarantine.may_be_vouched_for(at, *part);
                if may_be_cleared && self.survivors.iter().any(vouches) {
                    self.quarantine.clear(at, *part);
                }
            }
        }
        self.crash_sets.push_back(set);
        if self.crash_sets.len() > 3 {
            self.crash_sets.pop_front();
        }
        for run in runs {
            if run.request.runs < MAX_RUNS {
                self.waiting.push(run.request);
            } else {
                self.count(&run.request, |outcome| outcome.failed += 1);
            }
        }
    }

    fn assess(&self, request: &Request) -> SuspectState {
        let strikes = |key: &Fingerprint| self.quarantine.strikes(*key);
        match self.policy {
            Policy::Requests | Policy::Attribution => {
                self.quarantine.assess(request.keys().into_iter()).state
            }
            Policy::Strikes => match request.keys().iter().map(strikes).max().unwrap_or(0) {
                0 => SuspectState::Clear,
                strikes @ 1..3 => SuspectState::Suspect(strikes),
                _ => SuspectState::Held,
            },
            Policy::Intersection => {
                let is_common = |(key, _): &(Fingerprint, PromptPartId)| {
                    self.crash_sets.len() == 3
                        && self.crash_sets.iter().all(|set| set.contains(key))
                };
                let is_held = strikes(&request.own) >= 3 || request.parts.iter().any(is_common);
                if is_held { SuspectState::Held } else { SuspectState::Clear }
            }
        }
    }

    pub(crate) fn place_waiting(&mut self) {
        for request in std::mem::take(&mut self.waiting) {
            match self.assess(&request) {
                SuspectState::Held => self.count(&request, |outcome| outcome.refused += 1),
                _ if self.now > request.arrived + PATIENCE_MS => {
                    self.count(&request, |outcome| outcome.refused += 1);
                }
                state => match self.engine_for(&request, state) {
                    Some(number) => self.send(number, request),
                    None => self.waiting.push(request),
                },
            }
        }
    }

    /// The least loaded engine on which the request may run now.
    fn engine_for(&self, request: &Request, state: SuspectState) -> Option<usize> {
        let keys = request.keys();
        let struck = |key: &Fingerprint| keys.contains(key) && self.quarantine.strikes(*key) > 0;
        let is_undecided =
            |run: &Run| self.now - run.sent < UNDECIDED_MS && run.request.keys().iter().any(struck);
        let mut runs = self.engines.iter().flat_map(|engine| &engine.runs);
        let is_suspect = state != SuspectState::Clear;
        if is_suspect && runs.any(is_undecided) {
            return None;
        }
        let suspects = |engine: &Engine| -> Vec<Fingerprint> {
            let of = |run: &Run| run.request.keys();
            let keys = engine.runs.iter().flat_map(of);
            keys.filter(|key| self.quarantine.strikes(*key) > 0).collect()
        };
        let may_run = |engine: &Engine| {
            !is_suspect || self.quarantine.may_run_beside(&keys, suspects(engine).into_iter())
        };
        let up = |number: &usize| {
            let engine = &self.engines[*number];
            engine.down_until <= self.now && may_run(engine)
        };
        (0..self.engines.len()).filter(up).min_by_key(|number| self.engines[*number].runs.len())
    }

    fn send(&mut self, number: usize, mut request: Request) {
        request.runs += 1;
        let strikes_before =
            request.keys().into_iter().map(|key| self.quarantine.strikes(key)).collect();
        let run = Run { request, sent: self.now, strikes_before, has_survived: false };
        self.engines[number].runs.push(run);
    }
}
