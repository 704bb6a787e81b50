//! A model engine: continuous batching in steps, with KV memory and a prefix cache.
//!
//! Each step takes a fixed decode time plus the time to prefill one chunk of prompt tokens.
//! A sequence whose prompt is done yields one token per step. Sequences wait in order of
//! priority, then arrival, and the first that does not fit holds back those behind it.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use ringbend_platform::{
    CacheEvent, EndpointState, LoadReport, Order, OrderKind, OrderRefusal, Reservation,
};
use ringbend_types::{AttemptId, FencingToken, ModelName, Timestamp, TokenCount, TokensPerSecond};

use crate::prefix_cache::PrefixCache;

/// What an engine can do.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    /// Prompt tokens prefilled per second.
    pub prefill_rate: TokensPerSecond,
    /// Time of a step without prefill.
    pub decode_step: Duration,
    /// Most prompt tokens prefilled in one step.
    pub step_tokens: u64,
    /// KV memory.
    pub kv_capacity: TokenCount,
    /// Prefix cache memory, in blocks.
    pub cache_blocks: usize,
    /// Most sequences in the batch.
    pub max_batch: usize,
    /// Most sequences waiting; more are refused.
    pub max_waiting: usize,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
}

impl Default for EngineSpec {
    fn default() -> Self {
        Self {
            prefill_rate: TokensPerSecond(20_000),
            decode_step: Duration::from_millis(20),
            step_tokens: 4_096,
            kv_capacity: TokenCount(400_000),
            cache_blocks: 800,
            max_batch: 64,
            max_waiting: 256,
            checks_fencing: true,
        }
    }
}

/// A sequence handed to the engine.
#[derive(Debug, Clone)]
pub struct Submit {
    /// The attempt it belongs to.
    pub attempt: AttemptId,
    /// Length of the prompt.
    pub prompt_tokens: TokenCount,
    /// Tokens to generate in all.
    pub max_tokens: u64,
    /// Tokens that an earlier attempt delivered already; they are prefilled, not generated.
    pub resume_from: u64,
    /// 0 goes first.
    pub priority: u8,
    /// Hashes of the prompt's blocks.
    pub blocks: Vec<u64>,
    /// KV memory reserved for the attempt on other engines.
    pub borrowed: TokenCount,
}

impl Submit {
    fn kv_need(&self) -> TokenCount {
        self.prompt_tokens.saturating_add(TokenCount(self.max_tokens)).saturating_sub(self.borrowed)
    }
}

/// Why an engine refused a sequence, a reservation or an import. Nothing was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitError {
    /// More memory is needed than the engine has in all.
    TooLarge,
    /// The engine's queue or memory is full.
    Full,
    /// The engine is leaving.
    Leaving,
    /// The attempt is already there.
    Duplicate,
}

impl fmt::Display for SubmitError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLarge => "more memory is needed than the engine has",
            Self::Full => "the engine is full",
            Self::Leaving => "the engine is leaving",
            Self::Duplicate => "the attempt is already here",
        })
    }
}

impl std::error::Error for SubmitError {}

/// One generated token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EngineOutput {
    /// Whose token.
    pub attempt: AttemptId,
    /// Its place in the answer, from zero.
    pub index: u64,
    /// Whether the answer ends with it.
    pub last: bool,
    /// When the step that made it ended.
    pub at: Timestamp,
}

/// What came of an order.
pub type OrderOutcome = Result<(), OrderRefusal>;

#[derive(Debug, Clone)]
struct Sequence {
    submit: Submit,
    prefill_left: u64,
    generated: u64,
}

/// Order of service: priority, then arrival.
type Place = (u8, u64);

/// One engine.
#[derive(Debug, Clone)]
pub struct EngineModel {
    spec: EngineSpec,
    waiting: BTreeMap<Place, Sequence>,
    batch: BTreeMap<Place, Sequence>,
    places: BTreeMap<AttemptId, Place>,
    reservations: BTreeMap<AttemptId, TokenCount>,
    cache: PrefixCache,
    arrivals: u64,
    step: Option<Step>,
    kv_used: TokenCount,
    peak_kv: TokenCount,
    state: EndpointState,
    highest_fencing: FencingToken,
    orders_done: Vec<Order>,
}

#[derive(Debug, Clone)]
struct Step {
    ends: Timestamp,
    prefill: Vec<(Place, u64)>,
}

impl EngineModel {
    /// An idle engine.
    pub fn new(spec: EngineSpec) -> Self {
        let cache = PrefixCache::new(spec.cache_blocks);
        Self {
            spec,
            waiting: BTreeMap::new(),
            batch: BTreeMap::new(),
            places: BTreeMap::new(),
            reservations: BTreeMap::new(),
            cache,
            arrivals: 0,
            step: None,
            kv_used: TokenCount(0),
            peak_kv: TokenCount(0),
            state: EndpointState::Live,
            highest_fencing: FencingToken(0),
            orders_done: Vec::new(),
        }
    }

    /// What the engine can do.
    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// Takes a sequence, or refuses it without running it.
    pub fn submit(&mut self, now: Timestamp, submit: Submit) -> Result<(), SubmitError> {
        self.check_submit(&submit)?;
        self.arrivals += 1;
        let place = (submit.priority, self.arrivals);
        self.places.insert(submit.attempt, place);
        let cached = self.cache.matched(&submit.blocks);
        let all = submit.prompt_tokens.0 + submit.resume_from;
        let prefill_left = all.saturating_sub(cached.0).max(1);
        let generated = submit.resume_from;
        self.waiting.insert(place, Sequence { submit, prefill_left, generated });
        self.start_step(now);
        Ok(())
    }

    fn check_submit(&self, submit: &Submit) -> Result<(), SubmitError> {
        if self.state == EndpointState::Leaving {
            return Err(SubmitError::Leaving);
        }
        if self.places.contains_key(&submit.attempt) {
            return Err(SubmitError::Duplicate);
        }
        if submit.kv_need() > self.spec.kv_capacity {
            return Err(SubmitError::TooLarge);
        }
        if self.waiting.len() >= self.spec.max_waiting {
            return Err(SubmitError::Full);
        }
        Ok(())
    }

    /// Ends a sequence and frees its memory. Unknown attempts are ignored; returns whether one ended.
    pub fn cancel(&mut self, now: Timestamp, attempt: AttemptId) -> bool {
        let Some(place) = self.places.remove(&attempt) else { return false };
        self.waiting.remove(&place);
        if let Some(sequence) = self.batch.remove(&place) {
            self.kv_used = self.kv_used.saturating_sub(sequence.submit.kv_need());
        }
        self.start_step(now);
        true
    }

    /// Holds memory for an attempt that runs elsewhere.
    pub fn reserve(&mut self, reservation: Reservation) -> Result<(), SubmitError> {
        if self.state == EndpointState::Leaving {
            return Err(SubmitError::Leaving);
        }
        if self.reservations.contains_key(&reservation.attempt) {
            return Err(SubmitError::Duplicate);
        }
        let used = self.kv_used.saturating_add(reservation.tokens);
        if used > self.spec.kv_capacity {
            return Err(SubmitError::Full);
        }
        self.set_kv_used(used);
        self.reservations.insert(reservation.attempt, reservation.tokens);
        Ok(())
    }

    /// Frees the memory held for an attempt; returns whether there was any.
    pub fn release(&mut self, now: Timestamp, attempt: AttemptId) -> bool {
        let Some(tokens) = self.reservations.remove(&attempt) else { return false };
        self.kv_used = self.kv_used.saturating_sub(tokens);
        self.start_step(now);
        true
    }

    /// Memory held for attempts that run elsewhere.
    pub fn reservations(&self) -> Vec<Reservation> {
        let held = |(attempt, tokens): (&AttemptId, &TokenCount)| Reservation {
            attempt: *attempt,
            tokens: *tokens,
        };
        self.reservations.iter().map(held).collect()
    }

    /// Carries out an order, unless its fencing number is old and the engine checks.
    pub fn order(&mut self, now: Timestamp, order: Order) -> OrderOutcome {
        if self.spec.checks_fencing && order.fencing < self.highest_fencing {
            return Err(OrderRefusal { highest: self.highest_fencing });
        }
        self.highest_fencing = self.highest_fencing.max(order.fencing);
        if let OrderKind::FreeReservations { attempts } = &order.kind {
            for attempt in attempts {
                self.release(now, *attempt);
            }
        }
        self.orders_done.push(order);
        Ok(())
    }

    /// Orders carried out, in order.
    pub fn orders_done(&self) -> &[Order] {
        &self.orders_done
    }

    /// Models loaded by orders, newest last.
    pub fn models(&self) -> Vec<ModelName> {
        let model = |order: &Order| match &order.kind {
            OrderKind::LoadModel { model, .. } => Some(model.clone()),
            _ => None,
        };
        self.orders_done.iter().filter_map(model).collect()
    }

    /// Says whether the engine takes new work.
    pub fn set_state(&mut self, state: EndpointState) {
        self.state = state;
    }

    /// When the running step ends; `None` when idle.
    pub fn next_step(&self) -> Option<Timestamp> {
        self.step.as_ref().map(|step| step.ends)
    }

    /// Ends every step due by `now` and returns the tokens made.
    pub fn advance(&mut self, now: Timestamp) -> Vec<EngineOutput> {
        let mut outputs = Vec::new();
        while let Some(step) = self.step.take_if(|step| step.ends <= now) {
            self.finish_step(&step, &mut outputs);
            self.start_step(step.ends);
        }
        outputs
    }

    /// The load right now; the caller adds the lag.
    pub fn report(&self) -> LoadReport {
        let backlog = self.batch.values().chain(self.waiting.values()).map(|s| s.prefill_left);
        LoadReport {
            running: self.batch.len() as u32,
            waiting: self.waiting.len() as u32,
            prefill_backlog: TokenCount(backlog.sum()),
            kv_used: self.kv_used,
            kv_capacity: self.spec.kv_capacity,
            state: self.state,
        }
    }

    /// Prompt tokens that the cache would spare.
    pub fn cached(&self, blocks: &[u64]) -> TokenCount {
        self.cache.matched(blocks)
    }

    /// Puts another prefix cache in place, as when an engine loses its own.
    pub fn replace_cache(&mut self, cache: PrefixCache) {
        self.cache = cache;
    }

    /// Cache events after `sequence`.
    pub fn cache_events(&self, sequence: u64) -> Vec<CacheEvent> {
        self.cache.events_after(sequence)
    }

    /// Sequences held, waiting or running.
    pub fn sequences(&self) -> usize {
        self.places.len()
    }

    fn set_kv_used(&mut self, used: TokenCount) {
        self.kv_used = used;
        self.peak_kv = self.peak_kv.max(used);
    }

    /// The most KV memory held at once since the start.
    pub fn peak_kv(&self) -> TokenCount {
        self.peak_kv
    }

    fn start_step(&mut self, now: Timestamp) {
        if self.step.is_some() {
            return;
        }
        self.fill_batch();
        if self.batch.is_empty() {
            return;
        }
        let prefill = self.plan_prefill();
        let tokens = prefill.iter().map(|(_, chunk)| chunk).sum();
        let duration = self.spec.decode_step + self.spec.prefill_rate.time_for(TokenCount(tokens));
        self.step = Some(Step { ends: now + duration, prefill });
    }

    fn fill_batch(&mut self) {
        while self.batch.len() < self.spec.max_batch {
            let Some(first) = self.waiting.first_entry() else { return };
            let used = self.kv_used.saturating_add(first.get().submit.kv_need());
            if used > self.spec.kv_capacity {
                return;
            }
            let (place, sequence) = first.remove_entry();
            self.batch.insert(place, sequence);
            self.set_kv_used(used);
        }
    }

    fn plan_prefill(&self) -> Vec<(Place, u64)> {
        let mut budget = self.spec.step_tokens;
        let mut plan = Vec::new();
        for (place, sequence) in &self.batch {
            let chunk = sequence.prefill_left.min(budget);
            if chunk > 0 {
                plan.push((*place, chunk));
                budget -= chunk;
            }
        }
        plan
    }

    fn finish_step(&mut self, step: &Step, outputs: &mut Vec<EngineOutput>) {
        for (place, chunk) in &step.prefill {
            let Some(sequence) = self.batch.get_mut(place) else { continue };
            sequence.prefill_left -= chunk;
            if sequence.prefill_left == 0 {
                self.cache.store(&sequence.submit.blocks);
            }
        }
        let mut ended = Vec::new();
        for (place, sequence) in &mut self.batch {
            if sequence.prefill_left > 0 {
                continue;
            }
            let index = sequence.generated;
            sequence.generated += 1;
            let last = sequence.generated >= sequence.submit.max_tokens;
            let attempt = sequence.submit.attempt;
            outputs.push(EngineOutput { attempt, index, last, at: step.ends });
            if last {
                ended.push((*place, attempt));
            }
        }
        for (place, attempt) in ended {
            self.places.remove(&attempt);
            if let Some(sequence) = self.batch.remove(&place) {
                self.kv_used = self.kv_used.saturating_sub(sequence.submit.kv_need());
            }
        }
    }
}
