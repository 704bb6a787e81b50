//! Overload control: which short prompts start when the engines cannot start all of them in time.
//!
//! One queue per service, at the scheduler that plans for the service, sees all requests that no
//! engine is expected to serve on time. It decides which of them starts when an engine has
//! capacity, and which cannot begin before its caller disconnects and is rejected. Priority classes
//! come first, then the client account with the least recent use, then the least slack; requests
//! that are already late start after all that can be on time.

mod arrears;
mod capacity;
mod classes;
mod config;
mod promises;
mod rates;
mod requests;
mod standing;

pub use capacity::{Capacity, begin_time, startable};
pub use config::OverloadConfig;
pub use requests::{Admission, Decision, PlaceReason, WaitingRequest};

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use ringbend_types::{RetryAfter, Timestamp};

use crate::account_shares::AccountShares;
use crate::load::WorkId;
use arrears::Arrears;
use classes::{Classes, Position};
use promises::{Promises, Return};
use rates::Rates;
use standing::StandingDelay;

/// How long the driver waits at most before it calls [`OverloadQueue::next`] again.
const MAX_WAIT: Duration = Duration::from_millis(20);

/// What happens to a waiting request with time alone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// It can no longer be on time.
    Late,
    /// It counts as more urgent from now on.
    Aged,
    /// It has to start now to begin before its caller disconnects.
    LastChance,
}

struct Waiting {
    request: WaitingRequest,
    position: Position,
}

/// The short prompts of one service that wait for engines.
pub struct OverloadQueue {
    cfg: OverloadConfig,
    waiting: HashMap<WorkId, Waiting>,
    classes: Classes,
    events: BTreeSet<(Timestamp, WorkId, Event)>,
    accounts: AccountShares,
    arrears: Arrears,
    rates: Rates,
    promises: Promises,
    standing: StandingDelay,
    rng: SmallRng,
}

impl OverloadQueue {
    /// Creates an empty queue. The seed spreads the return times of rejected requests.
    pub fn new(cfg: OverloadConfig, seed: u64) -> Self {
        Self {
            waiting: HashMap::new(),
            classes: Classes::default(),
            events: BTreeSet::new(),
            accounts: AccountShares::default(),
            arrears: Arrears::new(cfg.min_class_share),
            rates: Rates::new(cfg.rate_window),
            promises: Promises::new(&cfg),
            standing: StandingDelay::new(cfg.enter_after, cfg.leave_after),
            rng: SmallRng::seed_from_u64(seed),
            cfg,
        }
    }

    /// The number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The number of waiting requests of each priority.
    pub fn len_by_priority(&self) -> BTreeMap<u8, usize> {
        let mut counts = BTreeMap::new();
        for waiting in self.waiting.values() {
            *counts.entry(waiting.request.priority).or_insert(0) += 1;
        }
        counts
    }

    /// Whether requests have been delayed for long enough that all of them must pass the queue.
    pub fn is_overloaded(&mut self, now: Timestamp) -> bool {
        self.observe(now);
        self.standing.is_overloaded()
    }

    /// Admits a request, or rejects it if it would not begin before its caller disconnects. A
    /// waiting request with the same id is replaced.
    pub fn push(
        &mut self,
        now: Timestamp,
        request: WaitingRequest,
        capacity: Capacity,
    ) -> Admission {
        self.remove(request.id);
        self.observe(now);
        self.rates.set_prior(capacity.slots, request.work);
        let returns = self.promises.record_return(now, request.fingerprint);
        if self.is_empty() && capacity.free > 0 {
            self.rates.record_arrival(now, request.priority);
            self.record_start(now, &request);
            return Admission::PlaceNow;
        }
        let is_late = now > request.start_by() || returns == Return::Unpromised;
        let begins = !is_late && self.would_be_on_time(now, &request)
            || self.would_begin(now, &request, request.priority);
        if self.standing.is_overloaded() && !begins || now >= request.until {
            return Admission::Rejected(self.retry_after(now, &request));
        }
        self.rates.record_arrival(now, request.priority);
        self.insert(request, is_late);
        self.observe(now);
        Admission::Queued
    }

    /// Decides what to do next. The decision takes effect at once: a request that is placed or
    /// rejected no longer waits. Call it again until it returns [`Decision::Wait`].
    pub fn next(&mut self, now: Timestamp, capacity: Capacity) -> Decision {
        self.observe(now);
        while let Some((at, id, event)) = self.events.first().copied().filter(|(at, ..)| *at <= now)
        {
            self.events.remove(&(at, id, event));
            if let Some(decision) = self.apply_event(now, id, event) {
                return decision;
            }
        }
        if capacity.free > 0
            && let Some((id, reason)) = self.select(now)
        {
            return self.start(now, id, reason);
        }
        let next_event = self.events.first().map_or(MAX_WAIT, |(at, ..)| at.since(now));
        Decision::Wait(next_event.min(MAX_WAIT))
    }

    /// Removes a request whose caller has disconnected. Returns whether it was waiting.
    pub fn remove(&mut self, id: WorkId) -> bool {
        self.take(id).is_some()
    }

    fn observe(&mut self, now: Timestamp) {
        let is_busy = !self.is_empty();
        self.rates.observe(now, is_busy);
        self.standing.observe(now, is_busy);
        self.promises.expire(now);
    }

    fn insert(&mut self, request: WaitingRequest, is_late: bool) {
        let position = Position::new(&request, is_late);
        self.classes.insert(&position);
        let id = request.id;
        let late_at = request.start_by() + Duration::from_micros(1);
        self.events.extend((!is_late).then_some((late_at, id, Event::Late)));
        self.events.extend(self.cfg.aging_times(&request).map(|at| (at, id, Event::Aged)));
        self.events.insert((request.last_chance(), id, Event::LastChance));
        self.waiting.insert(id, Waiting { request, position });
    }

    fn take(&mut self, id: WorkId) -> Option<WaitingRequest> {
        let Waiting { request, position } = self.waiting.remove(&id)?;
        self.classes.remove(&position);
        let late_at = request.start_by() + Duration::from_micros(1);
        self.events.remove(&(late_at, id, Event::Late));
        for at in self.cfg.aging_times(&request) {
            self.events.remove(&(at, id, Event::Aged));
        }
        self.events.remove(&(request.last_chance(), id, Event::LastChance));
        Some(request)
    }

    fn apply_event(&mut self, now: Timestamp, id: WorkId, event: Event) -> Option<Decision> {
        let waiting = self.waiting.get_mut(&id)?;
        match event {
            Event::LastChance => return Some(self.start(now, id, PlaceReason::LastChance)),
            Event::Aged => self.classes.reposition(&mut waiting.position, Position::raise),
            Event::Late => {
                self.classes.reposition(&mut waiting.position, Position::make_late);
                let (request, rank) = (waiting.request.clone(), waiting.position.rank);
                if self.standing.is_overloaded() && !self.would_begin(now, &request, rank) {
                    self.take(id);
                    return Some(Decision::Reject(id, self.retry_after(now, &request)));
                }
            }
        }
        None
    }

    /// The request that starts next.
    fn select(&self, now: Timestamp) -> Option<(WorkId, PlaceReason)> {
        let first_on_time = self.classes.first_rank(false);
        let in_arrears = self.arrears.due(self.classes.ranks());
        if let Some(rank) = in_arrears.filter(|rank| Some(*rank) != first_on_time) {
            let is_late = !self.classes.has(rank, false);
            let id = self.classes.first(now, rank, is_late, &self.accounts)?;
            return Some((id, PlaceReason::MinimumShare));
        }
        let (rank, is_late, reason) = match first_on_time {
            Some(rank) => (rank, false, PlaceReason::OnTime),
            None => (self.classes.first_rank(true)?, true, PlaceReason::Late),
        };
        Some((self.classes.first(now, rank, is_late, &self.accounts)?, reason))
    }

    fn start(&mut self, now: Timestamp, id: WorkId, reason: PlaceReason) -> Decision {
        let rank = self.waiting.get(&id).map(|waiting| waiting.position.rank);
        let Some((request, rank)) = self.take(id).zip(rank) else {
            return Decision::Wait(Duration::ZERO);
        };
        self.arrears.record_start(rank, self.classes.ranks());
        self.rates.record_busy_start();
        self.record_start(now, &request);
        self.observe(now);
        Decision::Place(id, reason)
    }

    fn record_start(&mut self, now: Timestamp, request: &WaitingRequest) {
        self.accounts.charge(now, request.account.as_ref(), request.work.as_secs_f64());
        if now > request.start_by() {
            self.standing.record_late(now);
        }
    }

    /// Whether the request is expected to start within its slack: behind those that precede it, or
    /// in the minimum share of its class.
    fn would_be_on_time(&self, now: Timestamp, request: &WaitingRequest) -> bool {
        let slack = request.start_by().since(now).mul_f64(self.cfg.on_time_share);
        let rank = request.priority;
        let beside = self.classes.fair_ahead(rank, &request.account, false) + 1;
        let better = self.classes.on_time_before(rank);
        let ahead = better + beside + self.promises.count_until(now + slack);
        let left_by_better = self.rates.service(now) - self.rates.arrivals_before(now, rank);
        starts_within(slack, ahead, left_by_better)
            || starts_within(slack, beside, self.min_class_rate(now))
    }

    /// Whether a request that cannot be on time is expected to begin before its caller disconnects:
    /// in the capacity that requests on time leave, or in the minimum share of its class.
    fn would_begin(&self, now: Timestamp, request: &WaitingRequest, rank: u8) -> bool {
        let left = request.last_chance().since(now);
        let late = self.classes.fair_ahead(rank, &request.account, true) + 1;
        let ahead = self.classes.on_time() + late + self.promises.count_until(request.until);
        let spare = self.rates.service(now) - self.rates.arrivals(now);
        let own = self.classes.on_time_in(rank) + late;
        starts_within(left, ahead, spare) || starts_within(left, own, self.min_class_rate(now))
    }

    /// The rate at which requests of a class start in any case.
    fn min_class_rate(&self, now: Timestamp) -> f64 {
        self.rates.service(now) * self.cfg.min_class_share
    }

    fn retry_after(&mut self, now: Timestamp, request: &WaitingRequest) -> RetryAfter {
        let service = self.rates.service(now);
        let drain = Duration::from_secs_f64((self.len() + 1) as f64 / service);
        let limit = request.deadline.since(now).mul_f64(self.cfg.retry_limit_share);
        let jitter: f64 = self.rng.random();
        RetryAfter::new(self.promises.promise(
            now,
            request.fingerprint,
            drain,
            service,
            limit,
            jitter,
        ))
    }
}

/// Whether this many requests start within a time at a rate per second.
fn starts_within(time: Duration, requests: usize, rate: f64) -> bool {
    requests as f64 <= rate * time.as_secs_f64()
}
