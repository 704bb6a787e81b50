//! The estimated load of one endpoint.

use std::time::Duration;

use ringbend_types::Timestamp;
use smallvec::SmallVec;

use super::WorkId;
use crate::pace::Pace;
use crate::residual_load::ResidualLoad;

/// A request that decodes on an endpoint, or will do so once its prompt is read.
#[derive(Debug, Clone, Copy)]
pub struct DecodeTask {
    pub(super) id: WorkId,
    /// Whether its first event has arrived.
    pub writing: bool,
    /// The longest gap that its caller accepts as on time.
    pub gap: Duration,
    /// When its first event is due.
    pub first_by: Timestamp,
    /// The loss if it is late, or becomes later still.
    pub stake: f64,
    /// Whether its prompt is long.
    pub long: bool,
    /// Whether it is already expected to be late.
    pub(super) late: bool,
}

impl DecodeTask {
    /// How long the engine may read from `now` on before this request is late.
    pub fn limit(&self, now: Timestamp) -> Duration {
        if self.writing { self.gap } else { self.first_by.since(now) }
    }
}

/// A prompt, or a part of one, that is queued or being read.
#[derive(Debug, Clone, Copy)]
pub struct PrefillTask {
    pub(super) id: WorkId,
    /// The time needed to read what is left of it.
    pub left: Duration,
    /// When the first event of its request is due.
    pub first_by: Timestamp,
    /// The loss if it is late, divided among the parts of the prompt.
    pub stake: f64,
}

/// The estimated load of one endpoint.
///
/// Engines read parts of split prompts first, the newest of them before all others, and whole
/// prompts afterwards in order of arrival, as observed with few engines.
#[derive(Debug, Clone, Default)]
pub struct EndpointLoad {
    /// Parts of split prompts, the oldest first.
    pub(super) parts: Vec<PrefillTask>,
    /// Whole prompts, the oldest first.
    pub(super) whole_prompts: Vec<PrefillTask>,
    /// The time up to which completed prefill has been subtracted.
    pub(super) advanced_to: Timestamp,
    /// The longest part it was recently given, and when.
    pub(super) longest_part: (Duration, Timestamp),
    pub(super) decode_tasks: SmallVec<[DecodeTask; 8]>,
    pub(super) memory_tokens: u64,
    pub(super) pace: Pace,
    /// Until when its pace is valid, if it is slow.
    pub(super) pace_until: Timestamp,
    /// Load that no known instance placed.
    pub(super) residual: Option<ResidualLoad>,
}

/// The share of its stake that a late request still has to lose: its caller may disconnect.
pub(crate) const LATE_STAKE: f64 = 0.3;

/// Approximate duration of a pass without prefill on the engines that were measured.
const DECODE_PASS: Duration = Duration::from_millis(45);

/// Prefill with at most this much time left completes before any part that is placed now: two
/// passes, one of which cannot be interrupted.
const NEARLY_DONE: Duration = Duration::from_millis(100);

/// Half-life of the weight of the longest recent part.
const PART_HALF_LIFE: Duration = Duration::from_secs(1);

/// The share of its time that an engine spends on prefill while it decodes as well.
const PREFILL_SHARE: f64 = 0.85;

impl EndpointLoad {
    /// The time needed to read everything that is queued.
    pub fn backlog(&self) -> Duration {
        self.parts.iter().chain(&self.whole_prompts).map(|prefill| prefill.left).sum()
    }

    /// The time needed to read the queued parts of split prompts, which are read before whole ones.
    pub fn parts_backlog(&self) -> Duration {
        self.parts.iter().map(|prefill| prefill.left).sum()
    }

    /// The queued prefill, in the order in which it will be read.
    pub fn prefills(&self) -> impl Iterator<Item = &PrefillTask> {
        self.parts.iter().rev().chain(&self.whole_prompts)
    }

    /// The requests that decode on it or will do so.
    pub fn decodes(&self) -> &[DecodeTask] {
        &self.decode_tasks
    }

    /// The requests whose next event only waits for a pass: their prompts have been read or will be
    /// within the next passes, even if the message about their first event has not arrived.
    pub(crate) fn about_to_decode(&self) -> impl Iterator<Item = &DecodeTask> {
        let is_prefilled = |task: &DecodeTask| {
            let left =
                self.prefills().find(|prefill| prefill.id == task.id).map(|prefill| prefill.left);
            left.is_none_or(|left| left <= NEARLY_DONE)
        };
        self.decode_tasks.iter().filter(move |task| task.writing || is_prefilled(task))
    }

    /// The number of requests with short prompts.
    pub fn short_prompts(&self) -> usize {
        self.decode_tasks.iter().filter(|task| !task.long).count()
    }

    /// Whether its load equals that of an unused engine.
    pub(super) fn is_idle(&self, now: Timestamp) -> bool {
        let is_slow = self.pace.is_slow() && now < self.pace_until;
        let has_residual = self.residual.is_some_and(|residual| !residual.is_over(now));
        self.decode_tasks.is_empty() && self.backlog().is_zero() && !is_slow && !has_residual
    }

    /// The number of requests that no known instance placed and that are expected to decode still.
    pub fn residual_requests(&self) -> f64 {
        self.residual.map_or(0.0, |residual| residual.requests(self.advanced_to))
    }

    /// The number of requests that decode on it or will do so, whether or not a known instance
    /// placed them.
    pub fn sequences(&self) -> f64 {
        self.decode_tasks.len() as f64 + self.residual_requests()
    }

    /// Memory used, in tokens.
    pub fn memory_tokens(&self) -> u64 {
        let residual = self.residual.map_or(0, |load| load.memory_tokens(self.advanced_to));
        self.memory_tokens + residual
    }

    /// The longest part it was recently given, decaying over time: an estimate of the parts to
    /// come.
    pub fn usual_part(&self, now: Timestamp) -> Duration {
        let (part, at) = self.longest_part;
        let halvings = now.since(at).as_secs_f64() / PART_HALF_LIFE.as_secs_f64();
        part.mul_f64(0.5f64.powf(halvings))
    }

    /// The multiple of the configured time that its work takes, queued prefill included.
    pub fn pace(&self) -> Pace {
        self.pace
    }

    /// Subtracts what has been read until `now`.
    pub(super) fn advance(&mut self, now: Timestamp) {
        let share = if self.sequences() == 0.0 { 1.0 } else { PREFILL_SHARE };
        let mut time = now.since(self.advanced_to).mul_f64(share / self.pace.factor());
        if self.pace_until <= now {
            self.pace = Pace::USUAL;
        }
        self.advanced_to = now;
        self.residual = self.residual.filter(|residual| !residual.is_over(now));
        for prefill in self.parts.iter_mut().rev().chain(&mut self.whole_prompts) {
            let read = prefill.left.min(time);
            prefill.left -= read;
            time -= read;
        }
        self.parts.retain(|prefill| !prefill.left.is_zero());
        self.whole_prompts.retain(|prefill| !prefill.left.is_zero());
    }

    pub(super) fn add(&mut self, now: Timestamp, prefill: PrefillTask, is_part: bool) {
        if self.usual_part(now) < prefill.left {
            self.longest_part = (prefill.left, now);
        }
        let queue = if is_part { &mut self.parts } else { &mut self.whole_prompts };
        queue.push(prefill);
    }

    pub(super) fn remove_prefill(&mut self, id: WorkId) {
        self.parts.retain(|prefill| prefill.id != id);
        self.whole_prompts.retain(|prefill| prefill.id != id);
    }

    /// Marks requests that the queued prefill makes late. They have less to lose, so further long
    /// prompts are better placed with them.
    pub(super) fn mark_late(&mut self, now: Timestamp) {
        let pass = self.backlog() + DECODE_PASS;
        for task in &mut self.decode_tasks {
            if !task.late && pass > task.limit(now) {
                task.late = true;
                task.stake *= LATE_STAKE;
            }
        }
    }
}
