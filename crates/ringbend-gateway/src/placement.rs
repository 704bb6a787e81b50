//! Selects the lead endpoint of a request and the engines that help to read its prompt.
//!
//! An engine works in passes: each pass runs some token steps for all requests that decode, and
//! reads waiting prompts between them. Prefill makes the pass longer, so a long prompt delays the
//! next event of every stream on the engine and the first event of every prompt that waits there.
//! The chosen placement has the lowest expected total cost for the request itself and for all other
//! requests, each weighted by its stake: the loss if it is late. Where requests have different
//! priorities, the cost to others is in units of the placed request's own stake: it counts the more,
//! the more urgent they are than this request, and as without priorities if they are as urgent.

use std::time::Duration;

use ringbend_types::EndpointId;
use smallvec::SmallVec;

use crate::candidate::{Engine, lateness, millis};
use crate::directory::Endpoint;
use crate::engine::{EngineProfile, MAX_PREFILL_ENGINES};
use crate::fleet_view::{FleetView, beside_suspect, free_memory, limit_cost};
use crate::load::HelperMemory;
use crate::quiet::quiet_engines;
use crate::spread::spread_ranks;
use crate::weights::PlacementWeights;

/// The size of a request in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Demand {
    /// The number of prompt tokens.
    pub prompt_tokens: u64,
    /// The maximum number of response tokens.
    pub answer_tokens: u64,
}

/// More tokens than any prompt or response has. Up to here no product or sum of token counts
/// overflows, or exceeds the range of a duration.
pub const MAX_TOKENS: u64 = 1_000_000_000;

/// The size and latency targets of a request to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PlacementGoal {
    /// The size of the request.
    pub demand: Demand,
    /// The time left until the first event is late.
    pub first_in: Duration,
    /// The longest gap between events that counts as on time.
    pub gap: Duration,
}

/// The endpoints that serve a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Placement {
    /// The endpoint that receives the request and decodes the response.
    pub lead: EndpointId,
    /// The engines that read a part of its prompt each.
    pub helpers: SmallVec<[EndpointId; 4]>,
    /// How long each engine reads.
    pub part: Duration,
    /// Memory to reserve on helpers if the lead has too little.
    pub held: SmallVec<[HelperMemory; 2]>,
    /// The expected total cost, in stakes.
    pub cost: f64,
    /// The part of the cost that other requests bear, relative to the rank of this one.
    pub cost_to_others: f64,
    /// Expected time to the first event, in milliseconds.
    pub first_ms: f64,
}

/// The numbers of engines that are evaluated for one prompt.
const PART_COUNTS: [usize; 11] = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17];

/// The prompt length whose stake is one, in tokens.
const STAKE_TOKENS: f64 = 5_000.0;

/// Target for requests that are already late, in milliseconds.
const LATE_TARGET_MS: f64 = 300.0;

/// The minimum stake.
const MIN_STAKE: f64 = 0.5;

/// Additional cost of an endpoint in another data centre, in stakes.
pub(crate) const REMOTE_COST: f64 = 0.002;

/// Cost of sending the request to the same endpoint again, in stakes.
pub(crate) const TRIED_COST: f64 = 1e3;

/// Cost of a millisecond of the health penalty, in stakes.
pub(crate) const HEALTH_PENALTY_COST: f64 = 0.01;

/// Cost if neither the lead nor the helpers have enough memory, in stakes.
const NO_MEMORY_COST: f64 = 50.0;

/// The smallest reservation on a helper, in tokens; a smaller one is not worth a reservation
/// request.
const MIN_RESERVATION: u64 = 20_000;

/// Spread of the engine order among requests of an instance that knows of no other, in stakes: less
/// than what one of its own requests on an engine costs the next one there.
const SPREAD_COST: f64 = 0.02;

/// The loss if a request with this prompt is late, relative to a prompt of 5,000 tokens.
pub fn stake(w: &PlacementWeights, prompt_tokens: u64) -> f64 {
    (prompt_tokens as f64 / STAKE_TOKENS).powf(w.stake_power).max(MIN_STAKE)
}

/// Whether a prompt is long: it waits for its turn and is kept off engines reserved for short
/// prompts.
pub fn is_long(w: &PlacementWeights, profile: &EngineProfile, demand: Demand) -> bool {
    profile.prefill_ms(demand.prompt_tokens) > w.long_ms
}

/// Places a request on engines with the given profile, or returns `None` if no candidate is usable.
pub fn place_on_engines(
    view: FleetView<'_>,
    profile: &EngineProfile,
    candidates: &[&Endpoint],
    goal: &PlacementGoal,
) -> Option<Placement> {
    let w = view.weights;
    let long = is_long(w, profile, goal.demand);
    let reserved_for = f64::from(profile.slots.max(1)) * w.full_share;
    let engines: Vec<Engine<'_>> = candidates
        .iter()
        .zip(quiet_engines(view, profile, candidates))
        .zip(spread_ranks(view.spread, candidates))
        .filter(|((_, quiet), _)| !(long && *quiet))
        .map(|((e, quiet), rank)| {
            Engine::new(view, profile, e, if quiet { reserved_for } else { 0.0 }, rank)
        })
        .collect();
    let read_ms = profile.prefill_ms(goal.demand.prompt_tokens);
    let most = if read_ms <= w.whole_ms { 1 } else { engines.len().min(MAX_PREFILL_ENGINES) };
    let tries = PART_COUNTS.iter().copied().filter(|parts| *parts <= most);
    let placements = tries.filter_map(|parts| place_parts(view, profile, &engines, goal, parts));
    placements.min_by(|a, b| a.cost.total_cmp(&b.cost))
}

/// The cost of one engine as a part of a placement, in stakes.
#[derive(Clone, Copy)]
struct Price {
    /// Cost to the requests on the engine.
    cost_to_others: f64,
    /// Cost to the request itself, from the time its part takes if the engine is a helper.
    own_if_helper: f64,
    /// Cost to the request itself if the engine is the lead.
    own_if_lead: f64,
    /// Additional cost if the engine decodes the response.
    lead_extra: f64,
    /// Cost of leading without enough memory and without a helper that holds the rest. It only
    /// affects the choice of the lead; the cost of the placement contains it already.
    no_memory: f64,
    /// Breaks ties between engines of the same cost; not part of the cost.
    spread_rank: f64,
}

impl Price {
    fn as_lead(&self) -> f64 {
        self.cost_to_others + self.own_if_lead + self.lead_extra + self.no_memory + self.spread_rank
    }

    fn as_helper(&self) -> f64 {
        self.cost_to_others + self.own_if_helper + self.spread_rank
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
    let target_ms = millis(goal.first_in);
    // The stakes of the requests on an engine include their ranks.
    let others_factor = view.rank.stake_factor().recip();
    let memory = goal.demand.prompt_tokens + goal.demand.answer_tokens;
    // Without helpers, no other engine can hold the memory that the lead lacks.
    let needs_own_memory = view.avoids_full_memory && parts == 1;
    let lacks_memory = |e: &Engine<'_>| needs_own_memory && memory > free_memory(profile, e.load);
    let price = |e: &Engine<'_>| {
        let part_ms = part_ms * e.pace;
        let own = |leads| {
            let first = e.first_ms(part_ms, parts, leads);
            stake
                * (lateness(w, first, target_ms) + w.first * first / target_ms.max(LATE_TARGET_MS))
        };
        Price {
            cost_to_others: e.cost_to_others(w, view.now, part_ms, parts > 1) * others_factor
                + e.fixed_cost,
            own_if_helper: own(false),
            own_if_lead: own(true),
            lead_extra: e.lead_cost(view, profile, goal, stake) + e.limit_cost,
            no_memory: if lacks_memory(e) { NO_MEMORY_COST } else { 0.0 },
            spread_rank: SPREAD_COST * stake * e.spread_rank,
        }
    };
    let prices: Vec<Price> = engines.iter().map(price).collect();
    let by_lead = |a: &usize, b: &usize| prices[*a].as_lead().total_cmp(&prices[*b].as_lead());
    let lead = (0..engines.len()).min_by(by_lead)?;
    // Each part of a prompt counts as a request against the rate limit of an engine.
    let may_help = |at: &usize| *at != lead && engines[*at].limit_cost == 0.0;
    let helpers = cheapest_helpers(&prices, (0..engines.len()).filter(may_help), parts - 1);
    if helpers.len() + 1 < parts {
        return None;
    }
    let helping = || helpers.iter().copied();
    let own = helping().map(|at| prices[at].own_if_helper).fold(prices[lead].own_if_lead, f64::max);
    let cost_to_others =
        prices[lead].cost_to_others + helping().map(|at| prices[at].cost_to_others).sum::<f64>();
    let first_of = |at: usize, leads| {
        let e: &Engine<'_> = &engines[at];
        e.first_ms(part_ms * e.pace, parts, leads)
    };
    let first_as_lead = first_of(lead, true);
    let missing = memory.saturating_sub(free_memory(profile, engines[lead].load));
    let free =
        helping().map(|at| (&engines[at].endpoint.id, free_memory(profile, engines[at].load)));
    let (held, no_memory) = match reserve_on_helpers(missing, free.collect()) {
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
            + prices[lead].lead_extra
            + no_memory
            + w.helper * helpers.len() as f64,
        first_ms: helping().map(|at| first_of(at, false)).fold(first_as_lead, f64::max),
    })
}

/// The cheapest `count` engines among those that may help, in ascending order of cost. The others
/// are not sorted: of 850 engines at most sixteen help, and eleven numbers of parts are evaluated
/// for each prompt.
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

/// Distributes `missing` tokens among helpers, those with most free memory first. Returns `None` if
/// they have too little.
fn reserve_on_helpers(
    missing: u64,
    mut free: Vec<(&EndpointId, u64)>,
) -> Option<SmallVec<[HelperMemory; 2]>> {
    let mut held = SmallVec::new();
    let mut left = missing;
    free.sort_by_key(|(_, tokens)| std::cmp::Reverse(*tokens));
    for (endpoint, free_tokens) in free {
        if left == 0 || free_tokens < MIN_RESERVATION {
            break;
        }
        let tokens = left.max(MIN_RESERVATION).min(free_tokens);
        held.push(HelperMemory { endpoint: endpoint.clone(), tokens });
        left = left.saturating_sub(tokens);
    }
    (left == 0).then_some(held)
}

/// Places a request on the endpoint of a plain service with the most free slots, preferring its own
/// data centre.
pub fn place_on_service(view: FleetView<'_>, candidates: &[&Endpoint]) -> Option<Placement> {
    let cost = |e: &Endpoint| {
        let open = view.load.of(&e.id).decodes().len() as f64;
        let remote = if e.data_centre == *view.home { 0.0 } else { REMOTE_COST };
        let tried = if view.tried.contains(&e.id) { TRIED_COST } else { 0.0 };
        let health_penalty = view.health.penalty_ms(view.now, &e.id) * HEALTH_PENALTY_COST;
        let beside = beside_suspect(view, &e.id);
        let limit_cost = limit_cost(view, e);
        open / f64::from(e.slots.max(1)) + remote + tried + health_penalty + beside + limit_cost
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
