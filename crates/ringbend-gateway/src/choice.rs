//! Which endpoint gets a request, and which others help to read its prompt.
//!
//! An engine works in passes: each pass runs some token steps for all requests that write, and reads
//! waiting prompts between them. Reading makes the pass longer, so a long prompt delays the next
//! event of every stream on the engine, and the first event of every prompt that waits there. A
//! placement is chosen by what it is expected to cost all of them together with the request itself,
//! each weighed by its stake: how much is lost if it is late.

use std::time::Duration;

use ringbend_types::{DataCentre, EndpointId, Timestamp};
use smallvec::SmallVec;

use crate::directory::Endpoint;
use crate::engine::EngineProfile;
use crate::load::{EndpointLoad, LoadBook, Writer};
use crate::trust::TrustBook;

/// What is asked of the endpoints.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub answer_tokens: u64,
}

/// What is wanted of a placement.
#[derive(Debug, Clone, Copy)]
pub struct Wish {
    /// What is asked.
    pub demand: Demand,
    /// The time left until the first event is late.
    pub first_in: Duration,
    /// The longest pause between events that is on time.
    pub gap: Duration,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// Gets the request.
    pub lead: EndpointId,
    /// Help to read its prompt.
    pub helpers: SmallVec<[EndpointId; 4]>,
    /// How long each of them reads.
    pub part: Duration,
    /// What it is expected to cost, in stakes.
    pub cost: f64,
    /// When the first event is expected, in milliseconds.
    pub first_ms: f64,
}

/// What a choice is made from.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// The time.
    pub now: Timestamp,
    /// Where this instance runs.
    pub home: &'a DataCentre,
    /// What runs where.
    pub load: &'a LoadBook,
    /// Which endpoints answered well.
    pub trust: &'a TrustBook,
    /// Endpoints that this request was sent to before.
    pub tried: &'a [EndpointId],
}

/// The most engines that read one prompt beside the lead: the engines' own limit.
const MOST_HELPERS: usize = 16;

/// Numbers of engines that are tried for one prompt.
const PARTS: [usize; 11] = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17];

/// Prompts that one engine reads in this many milliseconds are not split.
const WHOLE_MS: f64 = 30.0;

/// The prompt whose stake is one, in tokens.
const STAKE_TOKENS: f64 = 5_000.0;

/// How the stake grows with the prompt. Operators value a review of 42 times the tokens at some 17
/// times a quick question.
const STAKE_POWER: f64 = 0.75;

/// The least stake.
const LEAST_STAKE: f64 = 0.5;

/// Lateness is counted from this share of a limit on, and fully at `LATE_AT`.
const LATE_FROM: f64 = 0.75;

/// See `LATE_FROM`.
const LATE_AT: f64 = 1.1;

/// What a placement costs for its time to the first event even if on time, in stakes at the limit.
const FIRST_WEIGHT: f64 = 0.2;

/// What each helper costs, in stakes: more engines on which the request depends.
const HELPER_COST: f64 = 0.01;

/// Gaps up to this make a request one that long reads disturb.
const TIGHT_GAP: Duration = Duration::from_millis(300);

/// What it costs to put a tight request on an engine without others, which is then lost to long
/// prompts, in stakes.
const OPEN_COST: f64 = 0.3;

/// The share of an engine's places that tight requests fill before another engine is opened.
const FULL_SHARE: f64 = 0.8;

/// What 100 ms of reading cost for each tight writer, in stakes, beside what it makes late now.
const READ_WEIGHT: f64 = 0.03;

/// What an endpoint in another data centre costs over one at home, in stakes.
const FAR_COST: f64 = 0.002;

/// What it costs to send to the same endpoint again, in stakes.
const TRIED_COST: f64 = 1e3;

/// What a millisecond of distrust costs, in stakes.
const DISTRUST_COST: f64 = 0.01;

/// The share of an engine's memory that is planned with.
const MEMORY_SHARE: f64 = 0.95;

/// What a lead without memory costs, in stakes.
const NO_MEMORY_COST: f64 = 50.0;

/// What a lead without a free place costs, in stakes.
const NO_PLACE_COST: f64 = 3.0;

/// What is lost if a request with this prompt is late.
pub fn stake(prompt_tokens: u64) -> f64 {
    (prompt_tokens as f64 / STAKE_TOKENS).powf(STAKE_POWER).max(LEAST_STAKE)
}

/// How late something is expected to be: from zero well below its limit to one above.
fn lateness(ms: f64, limit_ms: f64) -> f64 {
    if limit_ms <= 0.0 {
        return 1.0;
    }
    ((ms / limit_ms - LATE_FROM) / (LATE_AT - LATE_FROM)).clamp(0.0, 1.0)
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}

/// One engine as a candidate for a part of `part_ms`.
struct Engine<'a> {
    endpoint: &'a Endpoint,
    load: &'a EndpointLoad,
    /// A pass without reading.
    base_ms: f64,
    backlog_ms: f64,
    tight: usize,
    /// What choosing it costs whatever its part.
    fixed: f64,
}

impl<'a> Engine<'a> {
    fn new(view: View<'a>, profile: &EngineProfile, endpoint: &'a Endpoint) -> Self {
        let load = view.load.of(&endpoint.id);
        let far = if endpoint.data_centre == *view.home { 0.0 } else { FAR_COST };
        let tried = if view.tried.contains(&endpoint.id) { TRIED_COST } else { 0.0 };
        let distrust = view.trust.distrust(view.now, &endpoint.id) * DISTRUST_COST;
        Self {
            endpoint,
            load,
            base_ms: profile.pass_ms(load.writers().len() as u32),
            backlog_ms: millis(load.backlog(view.now)),
            tight: load.writers().iter().filter(|w| w.gap <= TIGHT_GAP).count(),
            fixed: far + tried + distrust,
        }
    }

    /// The length of a pass that reads `part_ms` beside what waits.
    fn pass_ms(&self, part_ms: f64) -> f64 {
        self.base_ms + self.backlog_ms + part_ms
    }

    /// What a part costs the requests that are on the engine.
    fn harm(&self, now: Timestamp, part_ms: f64) -> f64 {
        let (before, after) = (self.pass_ms(0.0), self.pass_ms(part_ms));
        let of_writer = |writer: &Writer| {
            let limit = if writer.writing { writer.gap } else { writer.first_by.since(now) };
            let limit = millis(limit);
            writer.stake * (lateness(after, limit) - lateness(before, limit))
        };
        let now_late: f64 = self.load.writers().iter().map(of_writer).sum();
        now_late + self.tight as f64 * part_ms / 100.0 * READ_WEIGHT
    }

    /// When a part will have been read.
    fn first_ms(&self, part_ms: f64) -> f64 {
        let under_way = if self.load.writers().is_empty() { 0.0 } else { self.base_ms / 2.0 };
        under_way + self.pass_ms(part_ms)
    }

    /// What it costs to have it write the answer.
    fn lead_cost(&self, now: Timestamp, profile: &EngineProfile, wish: &Wish, stake: f64) -> f64 {
        let places = f64::from(profile.slots.max(1));
        let taken = self.load.writers().len() as f64;
        let memory = wish.demand.prompt_tokens + wish.demand.answer_tokens;
        let room = profile.memory_tokens as f64 * MEMORY_SHARE;
        let mut cost = 0.0;
        if taken >= places {
            cost += NO_PLACE_COST * (1.0 + taken - places);
        }
        if self.load.memory_tokens() as f64 + memory as f64 > room {
            cost += NO_MEMORY_COST;
        }
        // Parts such as it lately got will come again while the answer is written.
        let usual = self.base_ms + millis(self.load.usual_part(now));
        cost += stake * lateness(usual, millis(wish.gap)) * 0.5;
        if wish.gap <= TIGHT_GAP {
            let share = self.tight as f64 / places;
            cost += if self.tight == 0 { OPEN_COST } else { 0.0 };
            cost += (share - FULL_SHARE).max(0.0) * 3.0 * OPEN_COST;
        }
        cost
    }
}

/// Places a request on engines that read and write as `profile` tells.
pub fn place_on_engines(
    view: View<'_>,
    profile: &EngineProfile,
    candidates: &[&Endpoint],
    wish: &Wish,
) -> Option<Placement> {
    let engines: Vec<Engine<'_>> =
        candidates.iter().map(|e| Engine::new(view, profile, e)).collect();
    let read_ms = profile.read_ms(wish.demand.prompt_tokens);
    let most = if read_ms <= WHOLE_MS { 1 } else { engines.len().min(MOST_HELPERS + 1) };
    let tries = PARTS.iter().copied().filter(|parts| *parts <= most);
    let placements = tries.filter_map(|parts| place_parts(view, profile, &engines, wish, parts));
    placements.min_by(|a, b| a.cost.total_cmp(&b.cost))
}

/// The best placement on exactly `parts` engines.
fn place_parts(
    view: View<'_>,
    profile: &EngineProfile,
    engines: &[Engine<'_>],
    wish: &Wish,
    parts: usize,
) -> Option<Placement> {
    let part_ms = profile.read_ms(wish.demand.prompt_tokens) / parts as f64;
    let stake = stake(wish.demand.prompt_tokens);
    let aim_ms = millis(wish.first_in);
    // What a part on the engine costs others, and what its wait costs this request.
    let part_cost = |e: &Engine<'_>| {
        let first = e.first_ms(part_ms);
        let own = stake * (lateness(first, aim_ms) + FIRST_WEIGHT * first / aim_ms.max(1.0));
        (e.harm(view.now, part_ms) + e.fixed, own)
    };
    let costs: Vec<(f64, f64)> = engines.iter().map(part_cost).collect();
    let lead_costs = engines.iter().map(|e| e.lead_cost(view.now, profile, wish, stake));
    let of_lead: Vec<f64> =
        lead_costs.zip(&costs).map(|(lead, (harm, own))| lead + harm + own).collect();
    let lead = (0..engines.len()).min_by(|a, b| of_lead[*a].total_cmp(&of_lead[*b]))?;
    let mut others: Vec<usize> = (0..engines.len()).filter(|at| *at != lead).collect();
    others.sort_by(|a, b| (costs[*a].0 + costs[*a].1).total_cmp(&(costs[*b].0 + costs[*b].1)));
    let helpers = &others[..(parts - 1).min(others.len())];
    let slowest =
        |of: &dyn Fn(usize) -> f64| helpers.iter().map(|at| of(*at)).fold(of(lead), f64::max);
    let own = slowest(&|at| costs[at].1);
    let harm: f64 =
        helpers.iter().map(|at| costs[*at].0).sum::<f64>() + of_lead[lead] - costs[lead].1;
    Some(Placement {
        lead: engines[lead].endpoint.id.clone(),
        helpers: helpers.iter().map(|at| engines[*at].endpoint.id.clone()).collect(),
        part: profile.part_time(wish.demand.prompt_tokens, parts),
        cost: harm + own + HELPER_COST * helpers.len() as f64,
        first_ms: slowest(&|at| engines[at].first_ms(part_ms)),
    })
}

/// Places a request on a plain service: on the endpoint with most free places, near ones first.
pub fn place_on_service(view: View<'_>, candidates: &[&Endpoint]) -> Option<Placement> {
    let cost = |e: &Endpoint| {
        let open = view.load.of(&e.id).writers().len() as f64;
        let far = if e.data_centre == *view.home { 0.0 } else { FAR_COST };
        let tried = if view.tried.contains(&e.id) { TRIED_COST } else { 0.0 };
        let distrust = view.trust.distrust(view.now, &e.id) * DISTRUST_COST;
        open / f64::from(e.slots.max(1)) + far + tried + distrust
    };
    let costs = candidates.iter().map(|e| (cost(e), *e));
    let (cost, best) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
    let (lead, helpers) = (best.id.clone(), SmallVec::new());
    Some(Placement { lead, helpers, part: Duration::ZERO, cost, first_ms: 0.0 })
}
