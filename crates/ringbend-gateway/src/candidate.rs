//! One engine as a candidate for a part of a prompt: what reading there costs it and others.

use std::time::Duration;

use ringbend_types::Timestamp;

use crate::directory::Endpoint;
use crate::engine::EngineProfile;
use crate::fleet_view::{FleetView, beside_suspect, limited, room, spread};
use crate::load::{DecodeTask, EndpointLoad};
use crate::placement::{DISTRUST_COST, FAR_COST, PlacementGoal, TRIED_COST, is_long};
use crate::weights::PlacementWeights;

/// The gap of tight requests that are still to come.
const TIGHT_GAP_USUAL: Duration = Duration::from_millis(200);

/// Filling an engine by this share of its places beyond its fill costs as much as taking another
/// engine for tight requests.
const FULL_STEP: f64 = 0.1;

/// How long a request waits for a place for each that is before it, in milliseconds: an answer takes
/// some 1.7 s to write, and sixteen are written at once.
const PLACE_MS: f64 = 110.0;

/// What a lead without a free place costs, in stakes.
const NO_PLACE_COST: f64 = 3.0;

/// How late something is expected to be: from zero well below its limit to one above.
pub(crate) fn lateness(w: &PlacementWeights, ms: f64, limit_ms: f64) -> f64 {
    if limit_ms <= 0.0 {
        return 1.0;
    }
    ((ms / limit_ms - w.late_from) / (w.late_at - w.late_from)).clamp(0.0, 1.0)
}

pub(crate) fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

/// One engine as a candidate for a part of `part_ms`.
pub(crate) struct Engine<'a> {
    pub(crate) endpoint: &'a Endpoint,
    pub(crate) load: &'a EndpointLoad,
    /// A pass without reading.
    base_ms: f64,
    /// Requests that it processes at once.
    places: f64,
    backlog_ms: f64,
    /// How many times as long as configured its work takes.
    pub(crate) pace: f64,
    /// The longest that it still reads of one prompt.
    reading_ms: f64,
    /// Requests with short prompts that write on it.
    quiet: usize,
    /// Such requests that it is kept for; zero on engines that long prompts may fill.
    kept_for: f64,
    /// What choosing it costs whatever its part.
    pub(crate) fixed: f64,
    /// What choosing it as the lead costs more if it names a limit, which none that helps may do.
    pub(crate) limited: f64,
    /// Its place in this request's own order of engines, from zero to one.
    pub(crate) spread: f64,
}

impl<'a> Engine<'a> {
    pub(crate) fn new(
        view: FleetView<'a>,
        profile: &EngineProfile,
        endpoint: &'a Endpoint,
        kept_for: f64,
    ) -> Self {
        let load = view.load.of(&endpoint.id);
        let pace = load.pace().factor();
        let far = if endpoint.data_centre == *view.home { 0.0 } else { FAR_COST };
        let tried = if view.tried.contains(&endpoint.id) { TRIED_COST } else { 0.0 };
        let distrust = view.health.penalty_ms(view.now, &endpoint.id) * DISTRUST_COST;
        Self {
            endpoint,
            load,
            base_ms: pace * profile.pass_ms(load.decodes().len() as u32),
            places: f64::from(profile.slots.max(1)),
            backlog_ms: pace * millis(load.backlog()),
            pace,
            reading_ms: pace
                * load.prefills().map(|reader| millis(reader.left)).fold(0.0, f64::max),
            kept_for,
            quiet: load.quiet(),
            fixed: far + tried + distrust + beside_suspect(view, &endpoint.id),
            limited: limited(view, endpoint),
            spread: view.spread_seed.map_or(0.0, |draw| spread(draw, &endpoint.id)),
        }
    }

    /// The length of a pass that reads `part_ms` beside what waits.
    fn pass_ms(&self, part_ms: f64) -> f64 {
        self.base_ms + self.backlog_ms + part_ms
    }

    /// What reading costs the requests that are on the engine. A part goes before all that waits.
    pub(crate) fn cost_to_others(
        &self,
        w: &PlacementWeights,
        now: Timestamp,
        part_ms: f64,
        is_part: bool,
    ) -> f64 {
        let (before, after) = (self.pass_ms(0.0), self.pass_ms(part_ms));
        let to_writer = |writer: &DecodeTask| {
            let limit = millis(writer.gap);
            writer.stake * (lateness(w, after, limit) - lateness(w, before, limit))
        };
        let now_late: f64 = self.load.about_to_write().map(to_writer).sum();
        let tight = millis(TIGHT_GAP_USUAL);
        let to_come = (self.kept_for - self.quiet as f64).max(0.0);
        let soon_late = to_come * (lateness(w, after, tight) - lateness(w, before, tight));
        let delays = if is_part { self.delays(w, now, part_ms) } else { 0.0 };
        now_late + soon_late + delays + self.quiet as f64 * part_ms / 100.0 * w.read
    }

    /// What it costs those that wait to be read that a part goes before them.
    fn delays(&self, w: &PlacementWeights, now: Timestamp, part_ms: f64) -> f64 {
        let mut done = self.base_ms;
        let mut cost = 0.0;
        for reader in self.load.prefills() {
            done += self.pace * millis(reader.left);
            let limit = millis(reader.first_by.since(now));
            let later = lateness(w, done + part_ms, limit) - lateness(w, done, limit);
            let delay = (w.delay * part_ms / limit.max(1.0)).min(1.0);
            cost += reader.stake * (later + delay);
        }
        cost
    }

    /// When what it is given will have been read.
    ///
    /// The pass that is under way has to end first. Of one engine half of it is left on average; the
    /// first event waits for the last of `parts` engines, whose passes are not in step.
    pub(crate) fn first_ms(&self, part_ms: f64, parts: usize, leads: bool) -> f64 {
        let waiting = (self.load.decodes().len() as f64 + 1.0 - self.places).max(0.0);
        let place = if leads { waiting * PLACE_MS } else { 0.0 };
        let last_of = parts as f64 / (parts as f64 + 1.0);
        let under_way = if self.load.decodes().is_empty() { 0.0 } else { self.base_ms * last_of };
        // A part goes before all that waits, but not before what is being read.
        let before = if parts > 1 { self.reading_ms } else { self.backlog_ms };
        under_way + self.base_ms + before + part_ms + place
    }

    /// What it costs to have it write the answer.
    pub(crate) fn lead_cost(
        &self,
        view: FleetView<'_>,
        profile: &EngineProfile,
        goal: &PlacementGoal,
        stake: f64,
    ) -> f64 {
        let w = view.weights;
        let places = f64::from(profile.slots.max(1));
        let taken = self.load.decodes().len() as f64;
        let memory = goal.demand.prompt_tokens + goal.demand.answer_tokens;
        let missing = memory.saturating_sub(room(profile, self.load));
        let mut cost = missing as f64 / memory.max(1) as f64 * w.hold;
        if taken >= places {
            cost += NO_PLACE_COST * (1.0 + taken - places);
        }
        // Parts such as it lately got will come again while the answer is written.
        let usual = self.base_ms + self.pace * millis(self.load.usual_part(view.now));
        cost += stake * lateness(w, usual, millis(goal.gap)) * 0.5;
        if !is_long(w, profile, goal.demand) {
            let share = self.quiet as f64 / places;
            cost += if self.kept_for == 0.0 { w.open } else { 0.0 };
            cost += (share - w.full_share).max(0.0) / FULL_STEP * w.open;
        }
        cost
    }
}
