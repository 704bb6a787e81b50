//! Which endpoint gets a request, and which others help to read its prompt.
//!
//! An engine works in passes: each pass runs some token steps for all requests that write, and reads
//! waiting prompts between them. Reading makes the pass longer, so a long prompt delays the next
//! event of every stream on the engine, and the first event of every prompt that waits there. A
//! placement is chosen by what it is expected to cost all of them together with the request itself,
//! each weighed by its stake: how much is lost if it is late.

use std::time::Duration;

use ringbend_types::EndpointId;
use smallvec::SmallVec;

use crate::candidate::{Engine, lateness, millis};
use crate::directory::Endpoint;
use crate::engine::{EngineProfile, MOST_ENGINES};
use crate::fleet_view::{FleetView, beside_suspect, limited, room};
use crate::load::HelperMemory;
use crate::quiet::quiet_engines;
use crate::weights::PlacementWeights;

/// What is asked of the endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub answer_tokens: u64,
}

/// What is wanted of a placement.
#[derive(Debug, Clone, Copy)]
pub struct PlacementGoal {
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
    /// Memory to be held on helpers, where the lead has too little.
    pub held: SmallVec<[HelperMemory; 2]>,
    /// What it is expected to cost, in stakes.
    pub cost: f64,
    /// What of that is the cost to other requests.
    pub cost_to_others: f64,
    /// When the first event is expected, in milliseconds.
    pub first_ms: f64,
}

/// Numbers of engines that are tried for one prompt.
const PARTS: [usize; 11] = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17];

/// The prompt whose stake is one, in tokens.
const STAKE_TOKENS: f64 = 5_000.0;

/// What is late already still prefers to be served in about this time, in milliseconds.
const LATE_AIM_MS: f64 = 300.0;

/// The least stake.
const LEAST_STAKE: f64 = 0.5;

/// What an endpoint in another data centre costs over one at home, in stakes.
pub(crate) const FAR_COST: f64 = 0.002;

/// What it costs to send to the same endpoint again, in stakes.
pub(crate) const TRIED_COST: f64 = 1e3;

/// What a millisecond of distrust costs, in stakes.
pub(crate) const DISTRUST_COST: f64 = 0.01;

/// What it costs if neither the lead nor helpers have the memory, in stakes.
const NO_MEMORY_COST: f64 = 50.0;

/// The least memory that is held on a helper, in tokens; less is not worth an order.
const LEAST_HELD: u64 = 20_000;

/// How far the order of engines differs among requests of an instance that knows of no other, in
/// stakes: less than what a request of its own on an engine costs the next one there.
const ALONE_SPREAD: f64 = 0.02;

/// What is lost if a request with this prompt is late.
pub fn stake(w: &PlacementWeights, prompt_tokens: u64) -> f64 {
    (prompt_tokens as f64 / STAKE_TOKENS).powf(w.stake_power).max(LEAST_STAKE)
}

/// Whether a prompt is long: it waits for its turn, and is kept off quiet engines.
pub fn is_long(w: &PlacementWeights, profile: &EngineProfile, demand: Demand) -> bool {
    profile.prefill_ms(demand.prompt_tokens) > w.long_ms
}

/// Places a request on engines that read and write as `profile` tells.
pub fn place_on_engines(
    view: FleetView<'_>,
    profile: &EngineProfile,
    candidates: &[&Endpoint],
    goal: &PlacementGoal,
) -> Option<Placement> {
    let w = view.weights;
    let long = is_long(w, profile, goal.demand);
    let kept_for = f64::from(profile.slots.max(1)) * w.full_share;
    let engines: Vec<Engine<'_>> = candidates
        .iter()
        .zip(quiet_engines(view, profile, candidates))
        .filter(|(_, quiet)| !(long && *quiet))
        .map(|(e, quiet)| Engine::new(view, profile, e, if quiet { kept_for } else { 0.0 }))
        .collect();
    let read_ms = profile.prefill_ms(goal.demand.prompt_tokens);
    let most = if read_ms <= w.whole_ms { 1 } else { engines.len().min(MOST_ENGINES) };
    let tries = PARTS.iter().copied().filter(|parts| *parts <= most);
    let placements = tries.filter_map(|parts| place_parts(view, profile, &engines, goal, parts));
    placements.min_by(|a, b| a.cost.total_cmp(&b.cost))
}

/// What one engine costs as a part of a placement, in stakes.
#[derive(Clone, Copy)]
struct Price {
    /// To the requests on it.
    cost_to_others: f64,
    /// To the request itself, by the time that its part takes if the engine helps.
    own: f64,
    /// The same if it leads.
    own_as_lead: f64,
    /// More, if it writes the answer.
    lead: f64,
    /// Tells engines apart that cost the same; no part of the cost.
    spread: f64,
}

impl Price {
    fn as_lead(&self) -> f64 {
        self.cost_to_others + self.own_as_lead + self.lead + self.spread
    }

    fn as_helper(&self) -> f64 {
        self.cost_to_others + self.own + self.spread
    }
}

/// The best placement on exactly `parts` engines.
fn place_parts(
    view: FleetView<'_>,
    profile: &EngineProfile,
    engines: &[Engine<'_>],
    goal: &PlacementGoal,
    parts: usize,
) -> Option<Placement> {
    let part_ms = profile.prefill_ms(goal.demand.prompt_tokens) / parts as f64;
    let w = view.weights;
    let stake = stake(w, goal.demand.prompt_tokens);
    let aim_ms = millis(goal.first_in);
    let price = |e: &Engine<'_>| {
        let part_ms = part_ms * e.pace;
        let own = |leads| {
            let first = e.first_ms(part_ms, parts, leads);
            stake * (lateness(w, first, aim_ms) + w.first * first / aim_ms.max(LATE_AIM_MS))
        };
        Price {
            cost_to_others: e.cost_to_others(w, view.now, part_ms, parts > 1) + e.fixed,
            own: own(false),
            own_as_lead: own(true),
            lead: e.lead_cost(view, profile, goal, stake) + e.limited,
            spread: ALONE_SPREAD * stake * e.spread,
        }
    };
    let prices: Vec<Price> = engines.iter().map(price).collect();
    let by_lead = |a: &usize, b: &usize| prices[*a].as_lead().total_cmp(&prices[*b].as_lead());
    let lead = (0..engines.len()).min_by(by_lead)?;
    // A part of a prompt is one more request to an engine that takes few.
    let may_help = |at: &usize| *at != lead && engines[*at].limited == 0.0;
    let helpers = cheapest_helpers(&prices, (0..engines.len()).filter(may_help), parts - 1);
    if helpers.len() + 1 < parts {
        return None;
    }
    let helping = || helpers.iter().copied();
    let own = helping().map(|at| prices[at].own).fold(prices[lead].own_as_lead, f64::max);
    let cost_to_others =
        prices[lead].cost_to_others + helping().map(|at| prices[at].cost_to_others).sum::<f64>();
    let first_of = |at: usize, leads| {
        let e: &Engine<'_> = &engines[at];
        e.first_ms(part_ms * e.pace, parts, leads)
    };
    let first_as_lead = first_of(lead, true);
    let memory = goal.demand.prompt_tokens + goal.demand.answer_tokens;
    let missing = memory.saturating_sub(room(profile, engines[lead].load));
    let rooms = helping().map(|at| (&engines[at].endpoint.id, room(profile, engines[at].load)));
    let (held, no_memory) = match hold(missing, rooms.collect()) {
        Some(held) => (held, 0.0),
        None => (SmallVec::new(), NO_MEMORY_COST),
    };
    Some(Placement {
        lead: engines[lead].endpoint.id.clone(),
        helpers: helpers.iter().map(|at| engines[*at].endpoint.id.clone()).collect(),
        part: profile.prefill_time(goal.demand.prompt_tokens, parts),
        held,
        cost_to_others,
        cost: cost_to_others
            + own
            + prices[lead].lead
            + no_memory
            + w.helper * helpers.len() as f64,
        first_ms: helping().map(|at| first_of(at, false)).fold(first_as_lead, f64::max),
    })
}

/// The cheapest `count` engines among those that may help, the cheapest first. The others are not put into order:
/// of 850 engines sixteen help at most, and eleven numbers of parts are tried for each prompt.
fn cheapest_helpers(
    prices: &[Price],
    may_help: impl Iterator<Item = usize>,
    count: usize,
) -> Vec<usize> {
    let cheaper = |a: &usize, b: &usize| {
        let by_price = prices[*a].as_helper().total_cmp(&prices[*b].as_helper());
        by_price.then(a.cmp(b))
    };
    let mut helpers: Vec<usize> = may_help.collect();
    if count > 0 && count < helpers.len() {
        helpers.select_nth_unstable_by(count - 1, cheaper);
    }
    helpers.truncate(count);
    helpers.sort_unstable_by(cheaper);
    helpers
}

/// Shares `missing` tokens out among helpers, those with most room first; none if they have too
/// little.
fn hold(missing: u64, mut rooms: Vec<(&EndpointId, u64)>) -> Option<SmallVec<[HelperMemory; 2]>> {
    let mut held = SmallVec::new();
    let mut left = missing;
    rooms.sort_by_key(|(_, room)| std::cmp::Reverse(*room));
    for (endpoint, room) in rooms {
        if left == 0 || room < LEAST_HELD {
            break;
        }
        let tokens = left.max(LEAST_HELD).min(room);
        held.push(HelperMemory { endpoint: endpoint.clone(), tokens });
        left = left.saturating_sub(tokens);
    }
    (left == 0).then_some(held)
}

/// Places a request on a plain service: on the endpoint with most free places, near ones first.
pub fn place_on_service(view: FleetView<'_>, candidates: &[&Endpoint]) -> Option<Placement> {
    let cost = |e: &Endpoint| {
        let open = view.load.of(&e.id).decodes().len() as f64;
        let far = if e.data_centre == *view.home { 0.0 } else { FAR_COST };
        let tried = if view.tried.contains(&e.id) { TRIED_COST } else { 0.0 };
        let distrust = view.health.penalty_ms(view.now, &e.id) * DISTRUST_COST;
        let beside = beside_suspect(view, &e.id);
        let limited = limited(view, e);
        open / f64::from(e.slots.max(1)) + far + tried + distrust + beside + limited
    };
    let costs = candidates.iter().map(|e| (cost(e), *e));
    let (cost, best) = costs.min_by(|a, b| a.0.total_cmp(&b.0))?;
    let (lead, helpers) = (best.id.clone(), SmallVec::new());
    let held = SmallVec::new();
    Some(Placement {
        lead,
        helpers,
        part: Duration::ZERO,
        held,
        cost,
        cost_to_others: 0.0,
        first_ms: 0.0,
    })
}
