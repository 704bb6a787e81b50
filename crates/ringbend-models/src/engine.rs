//! Model of an inference engine with continuous batching, a limited KV memory and a prefix cache.
//!
//! Each step takes a fixed decode time plus the time to prefill one chunk of prompt tokens.
//! A sequence whose prompt is fully prefilled generates one token per step. The waiting queue is
//! ordered by priority, then arrival, and has head-of-line blocking: if the first sequence does
//! not fit in memory, those behind it wait as well.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use ringbend_platform::{
    CacheEvent, EndpointState, LoadReport, Order, OrderKind, OrderRefusal, Reservation,
};
use ringbend_types::{AttemptId, FencingToken, ModelName, Timestamp, TokenCount, TokensPerSecond};

use crate::prefix_cache::PrefixCache;

/// Capacity and speed of an engine.
#[derive(Debug, Clone)]
pub struct EngineSpec {
    /// Prompt tokens prefilled per second.
    pub prefill_rate: TokensPerSecond,
    /// Duration of a step without prefill.
    pub decode_step: Duration,
    /// Maximum number of prompt tokens prefilled in one step.
    pub step_tokens: u64,
    /// KV memory capacity.
    pub kv_capacity: TokenCount,
    /// Capacity of the prefix cache, in blocks.
    pub cache_blocks: usize,
    /// Maximum number of sequences in the batch.
    pub max_batch: usize,
    /// Maximum number of waiting sequences; further ones are refused.
    pub max_waiting: usize,
    /// Whether orders with an outdated fencing token are refused.
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

/// A sequence submitted to an engine.
#[derive(Debug, Clone)]
pub struct SequenceRequest {
    /// The attempt it belongs to.
    pub attempt: AttemptId,
    /// Length of the prompt.
    pub prompt_tokens: TokenCount,
    /// Total number of tokens to generate, including those before `resume_from`.
    pub max_tokens: u64,
    /// Tokens that an earlier attempt already delivered; they are prefilled, not generated.
    pub resume_from: u64,
    /// Scheduling priority; 0 is the highest.
    pub priority: u8,
    /// Chained hashes of the prompt's blocks, for the prefix cache.
    pub blocks: Vec<u64>,
    /// KV memory that is reserved for the attempt on other engines.
    pub reserved_elsewhere: TokenCount,
}

impl SequenceRequest {
    fn kv_required(&self) -> TokenCount {
        self.prompt_tokens
            .saturating_add(TokenCount(self.max_tokens))
            .saturating_sub(self.reserved_elsewhere)
    }
}

/// Why an engine refused a sequence or a reservation. Nothing was run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SubmitError {
    /// The sequence needs more memory than the engine's total capacity.
    TooLarge,
    /// The engine's queue or memory is full.
    Full,
    /// The engine is leaving and takes no new work.
    Leaving,
    /// The engine already has this attempt.
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
    /// The attempt that the token belongs to.
    pub attempt: AttemptId,
    /// Zero-based index of the token in the answer.
    pub index: u64,
    /// Whether this is the last token of the answer.
    pub last: bool,
    /// End of the step that generated the token.
    pub at: Timestamp,
}

/// Outcome of an order.
pub type OrderOutcome = Result<(), OrderRefusal>;

#[derive(Debug, Clone)]
struct Sequence {
    request: SequenceRequest,
    prefill_remaining: u64,
    generated: u64,
}

/// Queue position: priority, then arrival number.
type QueuePosition = (u8, u64);

/// State of one engine.
#[derive(Debug, Clone)]
pub struct EngineModel {
    spec: EngineSpec,
    waiting: BTreeMap<QueuePosition, Sequence>,
    batch: BTreeMap<QueuePosition, Sequence>,
    positions: BTreeMap<AttemptId, QueuePosition>,
    reservations: BTreeMap<AttemptId, TokenCount>,
    cache: PrefixCache,
    last_arrival: u64,
    step: Option<Step>,
    kv_used: TokenCount,
    peak_kv: TokenCount,
    state: EndpointState,
    highest_fencing: FencingToken,
    executed_orders: Vec<Order>,
}

#[derive(Debug, Clone)]
struct Step {
    ends_at: Timestamp,
    prefill: Vec<(QueuePosition, u64)>,
}

impl EngineModel {
    /// Creates an idle engine.
    pub fn new(spec: EngineSpec) -> Self {
        let cache = PrefixCache::new(spec.cache_blocks);
        Self {
            spec,
            waiting: BTreeMap::new(),
            batch: BTreeMap::new(),
            positions: BTreeMap::new(),
            reservations: BTreeMap::new(),
            cache,
            last_arrival: 0,
            step: None,
            kv_used: TokenCount(0),
            peak_kv: TokenCount(0),
            state: EndpointState::Live,
            highest_fencing: FencingToken(0),
            executed_orders: Vec::new(),
        }
    }

    /// Capacity and speed of the engine.
    pub fn spec(&self) -> &EngineSpec {
        &self.spec
    }

    /// Queues a sequence, or refuses it without running it.
    pub fn submit(&mut self, now: Timestamp, request: SequenceRequest) -> Result<(), SubmitError> {
        self.check_request(&request)?;
        self.last_arrival += 1;
        let position = (request.priority, self.last_arrival);
        self.positions.insert(request.attempt, position);
        let cached = self.cache.matched_tokens(&request.blocks);
        let prefix_tokens = request.prompt_tokens.0 + request.resume_from;
        let prefill_remaining = prefix_tokens.saturating_sub(cached.0).max(1);
        let generated = request.resume_from;
        self.waiting.insert(position, Sequence { request, prefill_remaining, generated });
        self.start_step(now);
        Ok(())
    }

    fn check_request(&self, request: &SequenceRequest) -> Result<(), SubmitError> {
        if self.state == EndpointState::Leaving {
            return Err(SubmitError::Leaving);
        }
        if self.positions.contains_key(&request.attempt) {
            return Err(SubmitError::Duplicate);
        }
        if request.kv_required() > self.spec.kv_capacity {
            return Err(SubmitError::TooLarge);
        }
        if self.waiting.len() >= self.spec.max_waiting {
            return Err(SubmitError::Full);
        }
        Ok(())
    }

    /// Cancels a sequence and frees its memory. Returns `false` if the attempt is unknown.
    pub fn cancel(&mut self, now: Timestamp, attempt: AttemptId) -> bool {
        let Some(position) = self.positions.remove(&attempt) else { return false };
        self.waiting.remove(&position);
        if let Some(sequence) = self.batch.remove(&position) {
            self.kv_used = self.kv_used.saturating_sub(sequence.request.kv_required());
        }
        self.start_step(now);
        true
    }

    /// Reserves KV memory for an attempt that runs on another engine.
    pub fn reserve(&mut self, reservation: Reservation) -> Result<(), SubmitError> {
        if self.state == EndpointState::Leaving {
            return Err(SubmitError::Leaving);
        }
        if self.reservations.contains_key(&reservation.attempt) {
            return Err(SubmitError::Duplicate);
        }
        let new_kv_used = self.kv_used.saturating_add(reservation.tokens);
        if new_kv_used > self.spec.kv_capacity {
            return Err(SubmitError::Full);
        }
        self.set_kv_used(new_kv_used);
        self.reservations.insert(reservation.attempt, reservation.tokens);
        Ok(())
    }

    /// Frees an attempt's reservation. Returns `false` if there was none.
    pub fn release(&mut self, now: Timestamp, attempt: AttemptId) -> bool {
        let Some(tokens) = self.reservations.remove(&attempt) else { return false };
        self.kv_used = self.kv_used.saturating_sub(tokens);
        self.start_step(now);
        true
    }

    /// Current reservations for attempts that run on other engines.
    pub fn reservations(&self) -> Vec<Reservation> {
        let to_reservation = |(attempt, tokens): (&AttemptId, &TokenCount)| Reservation {
            attempt: *attempt,
            tokens: *tokens,
        };
        self.reservations.iter().map(to_reservation).collect()
    }

    /// Executes an order. If the engine checks fencing, an order with an outdated token is refused.
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
        self.executed_orders.push(order);
        Ok(())
    }

    /// Executed orders, oldest first.
    pub fn executed_orders(&self) -> &[Order] {
        &self.executed_orders
    }

    /// Models that orders loaded, oldest first.
    pub fn loaded_models(&self) -> Vec<ModelName> {
        let model = |order: &Order| match &order.kind {
            OrderKind::LoadModel { model, .. } => Some(model.clone()),
            _ => None,
        };
        self.executed_orders.iter().filter_map(model).collect()
    }

    /// Sets the endpoint state; an engine that is leaving refuses new work.
    pub fn set_state(&mut self, state: EndpointState) {
        self.state = state;
    }

    /// End of the step in progress; `None` when idle.
    pub fn step_ends_at(&self) -> Option<Timestamp> {
        self.step.as_ref().map(|step| step.ends_at)
    }

    /// Completes every step that ends by `now` and returns the generated tokens.
    pub fn advance(&mut self, now: Timestamp) -> Vec<EngineOutput> {
        let mut outputs = Vec::new();
        while let Some(step) = self.step.take_if(|step| step.ends_at <= now) {
            self.finish_step(&step, &mut outputs);
            self.start_step(step.ends_at);
        }
        outputs
    }

    /// The current load, without reporting lag; callers add the lag themselves.
    pub fn report(&self) -> LoadReport {
        let backlog = self.batch.values().chain(self.waiting.values()).map(|s| s.prefill_remaining);
        LoadReport {
            running: self.batch.len() as u32,
            waiting: self.waiting.len() as u32,
            prefill_backlog: TokenCount(backlog.sum()),
            kv_used: self.kv_used,
            kv_capacity: self.spec.kv_capacity,
            state: self.state,
        }
    }

    /// Number of prompt tokens that the prefix cache covers.
    pub fn cached_tokens(&self, blocks: &[u64]) -> TokenCount {
        self.cache.matched_tokens(blocks)
    }

    /// Replaces the prefix cache, for example to model an engine that loses its cache.
    pub fn replace_cache(&mut self, cache: PrefixCache) {
        self.cache = cache;
    }

    /// Cache events with a sequence number above `sequence`.
    pub fn cache_events(&self, sequence: u64) -> Vec<CacheEvent> {
        self.cache.events_after(sequence)
    }

    /// Number of sequences, waiting and running.
    pub fn sequence_count(&self) -> usize {
        self.positions.len()
    }

    fn set_kv_used(&mut self, new_kv_used: TokenCount) {
        self.kv_used = new_kv_used;
        self.peak_kv = self.peak_kv.max(new_kv_used);
    }

    /// Peak KV memory use since the start.
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
        self.step = Some(Step { ends_at: now + duration, prefill });
    }

    fn fill_batch(&mut self) {
        while self.batch.len() < self.spec.max_batch {
            let Some(first) = self.waiting.first_entry() else { return };
            let new_kv_used = self.kv_used.saturating_add(first.get().request.kv_required());
            if new_kv_used > self.spec.kv_capacity {
                return;
            }
            let (position, sequence) = first.remove_entry();
            self.batch.insert(position, sequence);
            self.set_kv_used(new_kv_used);
        }
    }

    fn plan_prefill(&self) -> Vec<(QueuePosition, u64)> {
        let mut budget = self.spec.step_tokens;
        let mut plan = Vec::new();
        for (position, sequence) in &self.batch {
            let chunk = sequence.prefill_remaining.min(budget);
            if chunk > 0 {
                plan.push((*position, chunk));
                budget -= chunk;
            }
        }
        plan
    }

    fn finish_step(&mut self, step: &Step, outputs: &mut Vec<EngineOutput>) {
        for (position, chunk) in &step.prefill {
            let Some(sequence) = self.batch.get_mut(position) else { continue };
            sequence.prefill_remaining -= chunk;
            if sequence.prefill_remaining == 0 {
                self.cache.store(&sequence.request.blocks);
            }
        }
        let mut ended = Vec::new();
        for (position, sequence) in &mut self.batch {
            if sequence.prefill_remaining > 0 {
                continue;
            }
            let index = sequence.generated;
            sequence.generated += 1;
            let last = sequence.generated >= sequence.request.max_tokens;
            let attempt = sequence.request.attempt;
            outputs.push(EngineOutput { attempt, index, last, at: step.ends_at });
            if last {
                ended.push((*position, attempt));
            }
        }
        for (position, attempt) in ended {
            self.positions.remove(&attempt);
            if let Some(sequence) = self.batch.remove(&position) {
                self.kv_used = self.kv_used.saturating_sub(sequence.request.kv_required());
            }
        }
    }
}
