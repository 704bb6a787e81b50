//! A simulation of engines, callers and one queue of short prompts, in steps of one millisecond.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use ringbend_gateway::{
    Admission, Capacity, Decision, OverloadConfig, OverloadQueue, PlaceReason, WaitingRequest,
    WorkId,
};
use ringbend_types::{Fingerprint, Timestamp};

use crate::support::{at, ms};

pub(crate) const ENGINES: usize = 45;
pub(crate) const SLOTS: usize = 12;
pub(crate) const TARGET_MS: u64 = 300;
const PATIENCE_MS: u64 = 2_000;
const DEADLINE_MS: u64 = 10_000;
/// Time in which an engine that decodes as well reads 5,000 tokens.
const READ_MS: u64 = 24;
/// Duration of a pass.
const PASS_MS: u64 = 46;
/// The duration of decoding a response, uniform in this range.
const DECODE_MS: std::ops::Range<u64> = 800..2_400;
/// The mean time that a request occupies a slot.
const WORK_MS: u64 = 1_600 + READ_MS + PASS_MS;
/// The wait that schedulers expect for each request that waits for a slot.
const SLOT_WAIT_MS: u64 = 110;
/// The interval at which callers that have disconnected are removed.
const DISCONNECT_CHECK_MS: u64 = 10;
/// The prefill that an engine may have queued when it starts another prompt.
const MAX_BACKLOG_MS: u64 = 100;

/// Requests per second that all engines can serve.
pub(crate) fn capacity_per_s() -> f64 {
    (ENGINES * SLOTS) as f64 * 1e3 / WORK_MS as f64
}

/// The order in which requests start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Order {
    /// Requests are sent to the least loaded engine at once, whose queue is first in, first out.
    EngineFifo,
    /// A common queue, first in first out, or last in first out while its first request has waited
    /// for 100 ms. No request is rejected.
    AdaptiveLifo,
    /// The overload queue.
    LeastSlack,
}

#[derive(Debug, Clone)]
pub(crate) struct Request {
    pub(crate) account: usize,
    pub(crate) priority: u8,
    /// When its caller sent it first.
    pub(crate) origin: u64,
    pub(crate) attempt: u32,
    fingerprint: Fingerprint,
    /// When the current attempt arrived.
    since: u64,
    decode_ms: u64,
}

/// The outcome of requests, counted from the caller's first attempt.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Counts {
    pub(crate) on_time: usize,
    pub(crate) late: usize,
    pub(crate) lost: usize,
    pub(crate) rejected: usize,
    pub(crate) retries_served: usize,
}

#[derive(Default)]
struct Engine {
    running: usize,
    reads_until: u64,
    queue: VecDeque<u64>,
}

pub(crate) struct Simulation {
    order: Order,
    now: u64,
    rng: SmallRng,
    engines: Vec<Engine>,
    overload: OverloadQueue,
    common: VecDeque<u64>,
    waiting: BTreeMap<u64, Request>,
    /// Ends of work on engines.
    ends: BinaryHeap<Reverse<(u64, usize)>>,
    returns: BinaryHeap<Reverse<(u64, u64)>>,
    returning: BTreeMap<u64, Request>,
    last_id: u64,
    /// Ended requests.
    pub(crate) ended: Vec<(Request, Option<u64>)>,
    pub(crate) rejections: Vec<Request>,
    pub(crate) last_chance_starts: usize,
}

impl Simulation {
    pub(crate) fn new(order: Order, cfg: OverloadConfig, seed: u64) -> Self {
        Self {
            order,
            now: 0,
            rng: SmallRng::seed_from_u64(seed),
            engines: (0..ENGINES).map(|_| Engine::default()).collect(),
            overload: OverloadQueue::new(cfg, seed),
            common: VecDeque::new(),
            waiting: BTreeMap::new(),
            ends: BinaryHeap::new(),
            returns: BinaryHeap::new(),
            returning: BTreeMap::new(),
            last_id: 0,
            ended: Vec::new(),
            rejections: Vec::new(),
            last_chance_starts: 0,
        }
    }

    /// Runs until `until`, with new requests at `rate` per second.
    pub(crate) fn run(
        &mut self,
        until: u64,
        rate: f64,
        draw: impl Fn(&mut SmallRng) -> (usize, u8),
    ) {
        let mut due = 0.0;
        while self.now < until {
            self.now += 1;
            self.release();
            while self.returns.peek().is_some_and(|Reverse((at, _))| *at <= self.now) {
                let Some(Reverse((_, id))) = self.returns.pop() else { break };
                let request = self.returning.remove(&id).unwrap();
                self.arrive(Request { since: self.now, attempt: 2, ..request });
            }
            due += rate / 1e3 * self.rng.random_range(0.0..2.0);
            while due >= 1.0 {
                due -= 1.0;
                let (account, priority) = draw(&mut self.rng);
                let decode_ms = self.rng.random_range(DECODE_MS);
                let (origin, since) = (self.now, self.now);
                self.last_id += 1;
                let fingerprint = fingerprint(self.last_id);
                let attempt = 1;
                self.arrive(Request {
                    account,
                    priority,
                    origin,
                    since,
                    attempt,
                    decode_ms,
                    fingerprint,
                });
            }
            self.dispatch();
        }
    }

    fn arrive(&mut self, request: Request) {
        self.last_id += 1;
        let id = self.last_id;
        self.waiting.insert(id, request.clone());
        match self.order {
            Order::EngineFifo => {
                let load = |e: &Engine| (e.running + e.queue.len(), e.reads_until);
                let engine = self.engines.iter_mut().min_by_key(|e| load(e)).unwrap();
                engine.queue.push_back(id);
            }
            Order::AdaptiveLifo => self.common.push_back(id),
            Order::LeastSlack => {
                if let Some(engine) = self.on_time_engine() {
                    self.start(id, engine);
                    return;
                }
                let capacity = self.capacity();
                match self.overload.push(self.time(), waiting_request(id, &request), capacity) {
                    Admission::PlaceNow => self.start(id, self.best_engine()),
                    Admission::Queued => {}
                    Admission::Rejected(after) => self.reject(id, after.delay().as_millis() as u64),
                }
            }
        }
    }

    fn remove_gone_callers(&mut self) {
        let gone = |request: &Request| request.since + PATIENCE_MS <= self.now;
        let left: Vec<u64> =
            self.waiting.iter().filter(|(_, r)| gone(r)).map(|(id, _)| *id).collect();
        for id in left {
            self.overload.remove(work_id(id));
            self.leave(id);
        }
    }

    fn dispatch(&mut self) {
        if self.now.is_multiple_of(DISCONNECT_CHECK_MS) {
            self.remove_gone_callers();
        }
        match self.order {
            Order::EngineFifo => {
                for at in 0..ENGINES {
                    while self.engines[at].running < SLOTS
                        && let Some(id) = self.engines[at].queue.pop_front()
                    {
                        self.start(id, at);
                    }
                }
            }
            Order::AdaptiveLifo => {
                self.common.retain(|id| self.waiting.contains_key(id));
                while self.capacity().free > 0 && !self.common.is_empty() {
                    let first = &self.waiting[&self.common[0]];
                    let is_standing = self.now - first.since >= 100;
                    let id =
                        if is_standing { self.common.pop_back() } else { self.common.pop_front() };
                    self.start(id.unwrap(), self.best_engine());
                }
            }
            Order::LeastSlack => loop {
                match self.overload.next(self.time(), self.capacity()) {
                    Decision::Place(id, reason) => {
                        self.last_chance_starts += usize::from(reason == PlaceReason::LastChance);
                        self.start(id.sequence, self.best_engine());
                    }
                    Decision::Reject(id, after) => {
                        self.reject(id.sequence, after.delay().as_millis() as u64);
                    }
                    Decision::Wait(_) => break,
                }
            },
        }
    }

    fn time(&self) -> Timestamp {
        at(self.now)
    }

    fn readable(&self, engine: &Engine) -> u64 {
        (MAX_BACKLOG_MS.saturating_sub(engine.reads_until.saturating_sub(self.now))) / READ_MS
    }

    fn capacity(&self) -> Capacity {
        let free = |e: &Engine| {
            SLOTS.saturating_sub(e.running + e.queue.len()).min(self.readable(e) as usize)
        };
        let free = self.engines.iter().map(free).sum::<usize>() as u32;
        Capacity { free, slots: (ENGINES * SLOTS) as u32 }
    }

    /// The engine to which a scheduler sends a request without the queue.
    fn on_time_engine(&mut self) -> Option<usize> {
        if !self.overload.is_empty() || self.overload.is_overloaded(at(self.now)) {
            return None;
        }
        let best = self.best_engine();
        let engine = &self.engines[best];
        let waiting = (engine.running + engine.queue.len() + 1).saturating_sub(SLOTS) as u64;
        let backlog = engine.reads_until.saturating_sub(self.now);
        let first = backlog + READ_MS + PASS_MS * 3 / 2 + waiting * SLOT_WAIT_MS;
        (first <= TARGET_MS).then_some(best)
    }

    fn best_engine(&self) -> usize {
        let taken = |e: &Engine| e.running + e.queue.len();
        let load = |at: &usize| (taken(&self.engines[*at]), self.engines[*at].reads_until);
        (0..ENGINES).min_by_key(load).unwrap()
    }

    fn start(&mut self, id: u64, engine: usize) {
        if self.engines[engine].running >= SLOTS {
            self.engines[engine].queue.push_back(id);
            return;
        }
        let Some(request) = self.waiting.remove(&id) else { return };
        let read = self.engines[engine].reads_until.max(self.now) + READ_MS;
        let first = read + PASS_MS / 2 + self.rng.random_range(0..PASS_MS);
        self.engines[engine].reads_until = read;
        self.engines[engine].running += 1;
        let leaves = request.since + PATIENCE_MS;
        if first >= leaves {
            self.ends.push(Reverse((leaves, engine)));
            self.retry_or_end(request, leaves);
            return;
        }
        self.ends.push(Reverse((first + request.decode_ms, engine)));
        self.ended.push((request, Some(first)));
    }

    fn release(&mut self) {
        while self.ends.peek().is_some_and(|Reverse((at, _))| *at <= self.now) {
            let Some(Reverse((_, engine))) = self.ends.pop() else { break };
            self.engines[engine].running -= 1;
            // Requests that could not start wait in the engine's own queue.
            while self.engines[engine].running < SLOTS
                && let Some(id) = self.engines[engine].queue.pop_front()
            {
                self.start(id, engine);
            }
        }
    }

    fn reject(&mut self, id: u64, after: u64) {
        let Some(request) = self.waiting.remove(&id) else { return };
        self.rejections.push(request.clone());
        self.retry_or_end(request, self.now + after);
    }

    fn leave(&mut self, id: u64) {
        let Some(request) = self.waiting.remove(&id) else { return };
        self.retry_or_end(request, self.now);
    }

    fn retry_or_end(&mut self, request: Request, at: u64) {
        if request.attempt > 1 || at >= request.origin + DEADLINE_MS {
            self.ended.push((request, None));
            return;
        }
        self.last_id += 1;
        self.returns.push(Reverse((at, self.last_id)));
        self.returning.insert(self.last_id, request);
    }

    /// Counts the requests that callers sent first within a time.
    pub(crate) fn count(
        &self,
        sent: std::ops::Range<u64>,
        matches: impl Fn(&Request) -> bool,
    ) -> Counts {
        let mut counts = Counts::default();
        let is_counted = |r: &Request| sent.contains(&r.origin) && matches(r);
        for (request, first) in self.ended.iter().filter(|(r, _)| is_counted(r)) {
            match first {
                Some(first) if *first <= request.origin + TARGET_MS => counts.on_time += 1,
                Some(_) => counts.late += 1,
                None => counts.lost += 1,
            }
            counts.retries_served += usize::from(first.is_some() && request.attempt == 2);
        }
        counts.rejected = self.rejections.iter().filter(|r| is_counted(r)).count();
        counts
    }
}

fn fingerprint(number: u64) -> Fingerprint {
    let mut digest = [0; 32];
    digest[..8].copy_from_slice(&number.to_le_bytes());
    Fingerprint::from_digest(&digest)
}

fn work_id(sequence: u64) -> WorkId {
    WorkId { instance: 1, sequence }
}

fn waiting_request(id: u64, request: &Request) -> WaitingRequest {
    WaitingRequest {
        id: work_id(id),
        fingerprint: Some(request.fingerprint),
        account: Some(format!("account-{}", request.account).parse().unwrap()),
        priority: request.priority,
        since: at(request.since),
        first_by: at(request.since + TARGET_MS),
        until: at(request.since + PATIENCE_MS),
        deadline: at(request.origin + DEADLINE_MS),
        work: ms(WORK_MS),
        begin: ms(READ_MS + PASS_MS * 3 / 2),
    }
}
