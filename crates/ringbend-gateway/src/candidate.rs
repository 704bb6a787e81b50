//! The cost of running a part of a prompt's prefill on one engine, to the request and to others.

use std::time::Duration;

use ringbend_types::Timestamp;

use crate::directory::Endpoint;
use crate::engine::EngineProfile;
use crate::fleet_view::{FleetView, beside_suspect, free_memory, limit_cost};
use crate::load::{DecodeTask, EndpointLoad};
use crate::placement::{HEALTH_PENALTY_COST, PlacementGoal, REMOTE_COST, TRIED_COST, is_long};
use crate::weights::PlacementWeights;

/// The target gap between events that is assumed for latency-sensitive requests that have not
/// arrived yet.
const TIGHT_GAP: Duration = Duration::from_millis(200);

/// Exceeding the target fill of an engine by this share of its slots costs as much as using an
/// engine that is not reserved for latency-sensitive requests.
const OVERFILL_STEP: f64 = 0.1;

/// Expected wait per request that is ahead in the queue for a slot, in milliseconds: decoding a
/// response takes about 1.7 s, and sixteen are decoded at once.
const SLOT_WAIT_MS: f64 = 110.0;

/// Cost of a lead without a free slot, in stakes.
const NO_SLOT_COST: f64 = 3.0;

/// Maps an expected time to a lateness: zero well below the limit, one above it.
pub(crate) fn lateness(w: &PlacementWeights, ms: f64, limit_ms: f64) -> f64 {
    if limit_ms <= 0.0 {
        return 1.0;
    }
    ((ms / limit_ms - w.late_from) / (w.late_at - w.late_from)).clamp(0.0, 1.0)
}

pub(crate) fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

/// One engine as a candidate for a part that takes `part_ms` to read.
pub(crate) struct Engine<'a> {
    pub(crate) endpoint: &'a Endpoint,
    pub(crate) load: &'a EndpointLoad,
    /// Duration of a pass without prefill.
    decode_pass_ms: f64,
    /// Number of requests the engine processes at once.
    slots: f64,
    backlog_ms: f64,
    /// Multiple of the configured time that the engine's work takes.
    pub(crate) pace: f64,
    /// The longest remaining prefill of a single prompt on the engine.
    longest_prefill_ms: f64,
    /// Requests with short prompts that decode on the engine.
    short_prompts: usize,
    /// Number of such requests for which the engine is reserved; zero on engines that long prompts
    /// may fill.
    reserved_for: f64,
    /// Cost of choosing the engine, whatever its part.
    pub(crate) fixed_cost: f64,
    /// Additional cost of choosing it as the lead if it names a rate limit. An engine with a rate
    /// limit is never a helper.
    pub(crate) limit_cost: f64,
    /// Position in this request's order of engines, from zero to one.
    pub(crate) spread_rank: f64,
}

impl<'a> Engine<'a> {
    pub(crate) fn new(
        view: FleetView<'a>,
        profile: &EngineProfile,
        endpoint: &'a Endpoint,
        reserved_for: f64,
        spread_rank: f64,
    ) -> Self {
        let load = view.load.of(&endpoint.id);
        let pace = load.pace().factor();
        let remote = if endpoint.data_centre == *view.home { 0.0 } else { REMOTE_COST };
        let tried = if view.tried.contains(&endpoint.id) { TRIED_COST } else { 0.0 };
        let health_penalty = view.health.penalty_ms(view.now, &endpoint.id) * HEALTH_PENALTY_COST;
        Self {
            endpoint,
            load,
            decode_pass_ms: pace * profile.pass_ms(load.sequences() as u32),
            slots: f64::from(profile.slots.max(1)),
            backlog_ms: pace * millis(load.backlog()),
            pace,
            longest_prefill_ms: pace
                * load.prefills().map(|prefill| millis(prefill.left)).fold(0.0, f64::max),
            reserved_for,
            short_prompts: load.short_prompts(),
            fixed_cost: remote + tried + health_penalty + beside_suspect(view, &endpoint.id),
            limit_cost: limit_cost(view, endpoint),
            spread_rank,
        }
    }

    /// Duration of a pass that reads `part_ms` in addition to the queued prefill.
    fn pass_ms(&self, part_ms: f64) -> f64 {
        self.decode_pass_ms + self.backlog_ms + part_ms
    }

    /// Cost of the prefill to the requests that are on the engine. A part is read before everything
    /// that is queued.
    pub(crate) fn cost_to_others(
        &self,
        w: &PlacementWeights,
        now: Timestamp,
        part_ms: f64,
        is_part: bool,
    ) -> f64 {
        let (before, after) = (self.pass_ms(0.0), self.pass_ms(part_ms));
        let lateness_cost = |task: &DecodeTask| {
            let limit = millis(task.gap);
            task.stake * (lateness(w, after, limit) - lateness(w, before, limit))
        };
        let present_cost: f64 = self.load.about_to_decode().map(lateness_cost).sum();
        let tight_limit = millis(TIGHT_GAP);
        let expected_requests = (self.reserved_for - self.short_prompts as f64).max(0.0);
        let future_cost = expected_requests
            * (lateness(w, after, tight_limit) - lateness(w, before, tight_limit));
        let delays = if is_part { self.queue_delays(w, now, part_ms) } else { 0.0 };
        present_cost + future_cost + delays + self.short_prompts as f64 * part_ms / 100.0 * w.read
    }

    /// Cost to the queued prompts of a part being read before them.
    fn queue_delays(&self, w: &PlacementWeights, now: Timestamp, part_ms: f64) -> f64 {
        let mut done = self.decode_pass_ms;
        let mut cost = 0.0;
        for prefill in self.load.prefills() {
            done += self.pace * millis(prefill.left);
            let limit = millis(prefill.first_by.since(now));
            let later = lateness(w, done + part_ms, limit) - lateness(w, done, limit);
            let delay = (w.delay * part_ms / limit.max(1.0)).min(1.0);
            cost += prefill.stake * (later + delay);
        }
        cost
    }

    /// Time until the part has been read, in milliseconds.
    ///
    /// The current pass has to end first. With one engine half of it is left on average; with
    /// several, the first event waits for the last of `parts` engines, whose passes are not
    /// aligned.
    pub(crate) fn first_ms(&self, part_ms: f64, parts: usize, leads: bool) -> f64 {
        let waiting = (self.load.sequences() + 1.0 - self.slots).max(0.0);
        let slot_wait_ms = if leads { waiting * SLOT_WAIT_MS } else { 0.0 };
        let last_of = parts as f64 / (parts as f64 + 1.0);
        let current_pass_ms =
            if self.load.sequences() == 0.0 { 0.0 } else { self.decode_pass_ms * last_of };
        // A part is read before everything that is queued, but not before what is being read.
        let before = if parts > 1 { self.longest_prefill_ms } else { self.backlog_ms };
        current_pass_ms + self.decode_pass_ms + before + part_ms + slot_wait_ms
    }

    /// Cost of decoding the response on this engine.
    pub(crate) fn lead_cost(
        &self,
        view: FleetView<'_>,
        profile: &EngineProfile,
        goal: &PlacementGoal,
        stake: f64,
    ) -> f64 {
        let w = view.weights;
        let slots = f64::from(profile.slots.max(1));
        let taken = self.load.sequences();
        let memory = goal.demand.prompt_tokens + goal.demand.answer_tokens;
        let missing = memory.saturating_sub(free_memory(profile, self.load));
        let mut cost = missing as f64 / memory.max(1) as f64 * w.hold;
        if taken >= slots {
            cost += NO_SLOT_COST * (1.0 + taken - slots);
        }
        // Parts like the recent ones are expected to arrive again while the response is decoded.
        let usual_pass_ms =
            self.decode_pass_ms + self.pace * millis(self.load.usual_part(view.now));
        cost += stake * lateness(w, usual_pass_ms, millis(goal.gap)) * 0.5;
        if !is_long(w, profile, goal.demand) {
            let share = (self.short_prompts as f64 + self.load.residual_requests()) / slots;
            cost += if self.reserved_for == 0.0 { w.open } else { 0.0 };
            cost += (share - w.full_share).max(0.0) / OVERFILL_STEP * w.open;
        }
        cost
    }
}
