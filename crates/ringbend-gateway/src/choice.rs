//! Which endpoint gets a request, and which others help to read its prompt.
//!
//! An engine works in passes: each pass runs some token steps for all requests that write, and reads
//! waiting prompts between them. Reading makes the pass longer, so a long prompt delays the next
//! event of every stream on the engine, and the first event of every prompt that waits there. A
//! placement is chosen by what it is expected to cost all of them together with the request itself,
//! each weighed by its stake: how much is lost if it is late.

use std::time::Duration;

use ringbend_types::{EndpointId, Timestamp};
use smallvec::SmallVec;

use crate::directory::Endpoint;
use crate::engine::{EngineProfile, MOST_ENGINES};
use crate::load::{EndpointLoad, Held, LATE_STAKE, Writer};
use crate::quiet::quiet_engines;
use crate::view::{View, room, spread};
use crate::waiting::Waiting;
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
    /// Memory to be held on helpers, where the lead has too little.
    pub held: SmallVec<[Held; 2]>,
    /// What it is expected to cost, in stakes.
    pub cost: f64,
    /// What of that is the cost to other requests.
    pub harm: f64,
    /// When the first event is expected, in milliseconds.
    pub first_ms: f64,
}

/// Numbers of engines that are tried for one prompt.
const PARTS: [usize; 11] = [1, 2, 3, 4, 5, 6, 8, 10, 12, 14, 17];

/// The prompt whose stake is one, in tokens.
const STAKE_TOKENS: f64 = 5_000.0;

/// The share of the engines which is enough for any prompt, however long its parts are then: the
/// longest would wait for ever for short ones. A quarter is left to others.
const ENOUGH: f64 = 0.75;

/// The part of its caller's time for which a long prompt that is late gives way to others. It must be read
/// while its caller is still there, and parts of others may go before it.
const GIVES_WAY: f64 = 0.4;

/// What is late already still prefers to be served in about this time, in milliseconds.
const LATE_AIM_MS: f64 = 300.0;

/// The least stake.
const LEAST_STAKE: f64 = 0.5;

/// The gap of tight requests that are still to come.
const TIGHT_GAP_USUAL: Duration = Duration::from_millis(200);

/// What an endpoint in another data centre costs over one at home, in stakes.
const FAR_COST: f64 = 0.002;

/// What it costs to send to the same endpoint again, in stakes.
const TRIED_COST: f64 = 1e3;

/// What a millisecond of distrust costs, in stakes.
const DISTRUST_COST: f64 = 0.01;

/// What it costs if neither the lead nor helpers have the memory, in stakes.
const NO_MEMORY_COST: f64 = 50.0;

/// The least memory that is held on a helper, in tokens; less is not worth an order.
const LEAST_HELD: u64 = 20_000;

/// Filling an engine by this share of its places beyond its fill costs as much as taking another
/// engine for tight requests.
const FULL_STEP: f64 = 0.1;

/// How far the order of engines differs among requests of an instance that knows of no other, in
/// stakes: less than what a request of its own on an engine costs the next one there.
const ALONE_SPREAD: f64 = 0.02;

/// How long a request waits for a place for each that is before it, in milliseconds: an answer takes
/// some 1.7 s to write, and sixteen are written at once.
const PLACE_MS: f64 = 110.0;

/// What a lead without a free place costs, in stakes.
const NO_PLACE_COST: f64 = 3.0;

/// What is lost if a request with this prompt is late.
pub fn stake(w: &PlacementWeights, prompt_tokens: u64) -> f64 {
    (prompt_tokens as f64 / STAKE_TOKENS).powf(w.stake_power).max(LEAST_STAKE)
}

/// Whether a prompt is long: it waits for its turn, and is kept off quiet engines.
pub fn is_long(w: &PlacementWeights, profile: &EngineProfile, demand: Demand) -> bool {
    profile.read_ms(demand.prompt_tokens) > w.long_ms
}

/// How late something is expected to be: from zero well below its limit to one above.
fn lateness(w: &PlacementWeights, ms: f64, limit_ms: f64) -> f64 {
    if limit_ms <= 0.0 {
        return 1.0;
    }
    ((ms / limit_ms - w.late_from) / (w.late_at - w.late_from)).clamp(0.0, 1.0)
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
    /// Requests that it processes at once.
    places: f64,
    backlog_ms: f64,
    /// How many times as long as configured its work takes.
    pace: f64,
    /// The longest that it still reads of one prompt.
    reading_ms: f64,
    /// Requests with short prompts that write on it.
    quiet: usize,
    /// Such requests that it is kept for; zero on engines that long prompts may fill.
    kept_for: f64,
    /// What choosing it costs whatever its part.
    fixed: f64,
    /// Its place in this request's own order of engines, from zero to one.
    spread: f64,
}

impl<'a> Engine<'a> {
    fn new(view: View<'a>, profile: &EngineProfile, endpoint: &'a Endpoint, kept_for: f64) -> Self {
        let load = view.load.of(&endpoint.id);
        let pace = load.pace().factor();
        let far = if endpoint.data_centre == *view.home { 0.0 } else { FAR_COST };
        let tried = if view.tried.contains(&endpoint.id) { TRIED_COST } else { 0.0 };
        let distrust = view.trust.distrust(view.now, &endpoint.id) * DISTRUST_COST;
        Self {
            endpoint,
            load,
            base_ms: pace * profile.pass_ms(load.writers().len() as u32),
            places: f64::from(profile.slots.max(1)),
            backlog_ms: pace * millis(load.backlog()),
            pace,
            reading_ms: pace * load.readers().map(|reader| millis(reader.left)).fold(0.0, f64::max),
            kept_for,
            quiet: load.quiet(),
            fixed: far + tried + distrust,
            spread: view.alone.map_or(0.0, |draw| spread(draw, &endpoint.id)),
        }
    }

    /// The length of a pass that reads `part_ms` beside what waits.
    fn pass_ms(&self, part_ms: f64) -> f64 {
        self.base_ms + self.backlog_ms + part_ms
    }

    /// What reading costs the requests that are on the engine. A part goes before all that waits.
    fn harm(&self, w: &PlacementWeights, now: Timestamp, part_ms: f64, is_part: bool) -> f64 {
        let (before, after) = (self.pass_ms(0.0), self.pass_ms(part_ms));
        let to_writer = |writer: &Writer| {
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
        for reader in self.load.readers() {
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
    fn first_ms(&self, part_ms: f64, parts: usize, leads: bool) -> f64 {
        let waiting = (self.load.writers().len() as f64 + 1.0 - self.places).max(0.0);
        let place = if leads { waiting * PLACE_MS } else { 0.0 };
        let last_of = parts as f64 / (parts as f64 + 1.0);
        let under_way = if self.load.writers().is_empty() { 0.0 } else { self.base_ms * last_of };
        // A part goes before all that waits, but not before what is being read.
        let before = if parts > 1 { self.reading_ms } else { self.backlog_ms };
        under_way + self.base_ms + before + part_ms + place
    }

    /// What it costs to have it write the answer.
    fn lead_cost(&self, view: View<'_>, profile: &EngineProfile, wish: &Wish, stake: f64) -> f64 {
        let w = view.weights;
        let places = f64::from(profile.slots.max(1));
        let taken = self.load.writers().len() as f64;
        let memory = wish.demand.prompt_tokens + wish.demand.answer_tokens;
        let missing = memory.saturating_sub(room(profile, self.load));
        let mut cost = missing as f64 / memory.max(1) as f64 * w.hold;
        if taken >= places {
            cost += NO_PLACE_COST * (1.0 + taken - places);
        }
        // Parts such as it lately got will come again while the answer is written.
        let usual = self.base_ms + self.pace * millis(self.load.usual_part(view.now));
        cost += stake * lateness(w, usual, millis(wish.gap)) * 0.5;
        if !is_long(w, profile, wish.demand) {
            let share = self.quiet as f64 / places;
            cost += if self.kept_for == 0.0 { w.open } else { 0.0 };
            cost += (share - w.full_share).max(0.0) / FULL_STEP * w.open;
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
    let w = view.weights;
    let long = is_long(w, profile, wish.demand);
    let kept_for = f64::from(profile.slots.max(1)) * w.full_share;
    let engines: Vec<Engine<'_>> = candidates
        .iter()
        .zip(quiet_engines(view, profile, candidates))
        .filter(|(_, quiet)| !(long && *quiet))
        .map(|(e, quiet)| Engine::new(view, profile, e, if quiet { kept_for } else { 0.0 }))
        .collect();
    let read_ms = profile.read_ms(wish.demand.prompt_tokens);
    let most = if read_ms <= w.whole_ms { 1 } else { engines.len().min(MOST_ENGINES) };
    let tries = PARTS.iter().copied().filter(|parts| *parts <= most);
    let placements = tries.filter_map(|parts| place_parts(view, profile, &engines, wish, parts));
    placements.min_by(|a, b| a.cost.total_cmp(&b.cost))
}

/// Why a long prompt had better wait than be placed now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Wait {
    /// The cheapest placement would take an engine for longer than any prompt may.
    TooLong,
    /// The cheapest placement would make others late, and there is time to wait.
    TooDear,
}

/// Whether a long prompt that waits had better go on waiting than be placed now.
///
/// Answers a crowd of short prompts right after long ones. A prompt of 600,000 tokens is 34 s of
/// reading; sent when short prompts had left it four engines, it took each for 8.5 s, and of 168 short
/// prompts that came in the next two seconds 62 waited for engines that were expected to be free. It
/// waits until more engines are open to it. To split it further among the same engines instead cost
/// more than it gained.
///
/// A prompt that would make others late, and has time, waits as well: within a second or two streams that
/// are written now have ended and parts that wait now have been read. One that is late already has less
/// to lose and gives way for part of its caller's time.
pub(crate) fn had_better_wait(
    view: View<'_>,
    profile: &EngineProfile,
    candidates: &[&Endpoint],
    wish: &Wish,
    waiting: &Waiting,
) -> Option<Wait> {
    let read_ms = profile.read_ms(wish.demand.prompt_tokens);
    let enough = (candidates.len().min(MOST_ENGINES) as f64 * ENOUGH).max(1.0);
    let longest_ms = view.weights.longest_ms.max(read_ms / enough);
    let placement = place_on_engines(view, profile, candidates, wish)?;
    if millis(placement.part) > longest_ms {
        return Some(Wait::TooLong);
    }
    let w = view.weights;
    let stake = stake(w, wish.demand.prompt_tokens);
    let left_ms = millis(wish.first_in);
    let Waiting { since, until, .. } = *waiting;
    let gives_way_until = since + until.since(since).mul_f64(GIVES_WAY);
    let (stake, has_time) = match placement.first_ms > left_ms {
        true => (stake * LATE_STAKE, view.now < gives_way_until),
        false => (stake, placement.first_ms + w.spare_ms < left_ms),
    };
    let is_dear = placement.harm > w.dear * stake;
    (is_dear && has_time).then_some(Wait::TooDear)
}

/// What one engine costs as a part of a placement, in stakes.
#[derive(Clone, Copy)]
struct Price {
    /// To the requests on it.
    harm: f64,
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
        self.harm + self.own_as_lead + self.lead + self.spread
    }

    fn as_helper(&self) -> f64 {
        self.harm + self.own + self.spread
    }
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
    let w = view.weights;
    let stake = stake(w, wish.demand.prompt_tokens);
    let aim_ms = millis(wish.first_in);
    let price = |e: &Engine<'_>| {
        let part_ms = part_ms * e.pace;
        let own = |leads| {
            let first = e.first_ms(part_ms, parts, leads);
            stake * (lateness(w, first, aim_ms) + w.first * first / aim_ms.max(LATE_AIM_MS))
        };
        Price {
            harm: e.harm(w, view.now, part_ms, parts > 1) + e.fixed,
            own: own(false),
            own_as_lead: own(true),
            lead: e.lead_cost(view, profile, wish, stake),
            spread: ALONE_SPREAD * stake * e.spread,
        }
    };
    let prices: Vec<Price> = engines.iter().map(price).collect();
    let by_lead = |a: &usize, b: &usize| prices[*a].as_lead().total_cmp(&prices[*b].as_lead());
    let lead = (0..engines.len()).min_by(by_lead)?;
    let helpers = cheapest_helpers(&prices, lead, parts - 1);
    let helping = || helpers.iter().copied();
    let own = helping().map(|at| prices[at].own).fold(prices[lead].own_as_lead, f64::max);
    let harm = prices[lead].harm + helping().map(|at| prices[at].harm).sum::<f64>();
    let first_of = |at: usize, leads| {
        let e: &Engine<'_> = &engines[at];
        e.first_ms(part_ms * e.pace, parts, leads)
    };
    let first_as_lead = first_of(lead, true);
    let memory = wish.demand.prompt_tokens + wish.demand.answer_tokens;
    let missing = memory.saturating_sub(room(profile, engines[lead].load));
    let rooms = helping().map(|at| (&engines[at].endpoint.id, room(profile, engines[at].load)));
    let (held, no_memory) = match hold(missing, rooms.collect()) {
        Some(held) => (held, 0.0),
        None => (SmallVec::new(), NO_MEMORY_COST),
    };
    Some(Placement {
        lead: engines[lead].endpoint.id.clone(),
        helpers: helpers.iter().map(|at| engines[*at].endpoint.id.clone()).collect(),
        part: profile.part_time(wish.demand.prompt_tokens, parts),
        held,
        harm,
        cost: harm + own + prices[lead].lead + no_memory + w.helper * helpers.len() as f64,
        first_ms: helping().map(|at| first_of(at, false)).fold(first_as_lead, f64::max),
    })
}

/// The cheapest `count` engines beside the lead, the cheapest first. The others are not put into order:
/// of 850 engines sixteen help at most, and eleven numbers of parts are tried for each prompt.
fn cheapest_helpers(prices: &[Price], lead: usize, count: usize) -> Vec<usize> {
    let cheaper = |a: &usize, b: &usize| {
        let by_price = prices[*a].as_helper().total_cmp(&prices[*b].as_helper());
        by_price.then(a.cmp(b))
    };
    let mut helpers: Vec<usize> = (0..prices.len()).filter(|at| *at != lead).collect();
    if count > 0 && count < helpers.len() {
        helpers.select_nth_unstable_by(count - 1, cheaper);
    }
    helpers.truncate(count);
    helpers.sort_unstable_by(cheaper);
    helpers
}

/// Shares `missing` tokens out among helpers, those with most room first; none if they have too
/// little.
fn hold(missing: u64, mut rooms: Vec<(&EndpointId, u64)>) -> Option<SmallVec<[Held; 2]>> {
    let mut held = SmallVec::new();
    let mut left = missing;
    rooms.sort_by_key(|(_, room)| std::cmp::Reverse(*room));
    for (endpoint, room) in rooms {
        if left == 0 || room < LEAST_HELD {
            break;
        }
        let tokens = left.max(LEAST_HELD).min(room);
        held.push(Held { endpoint: endpoint.clone(), tokens });
        left = left.saturating_sub(tokens);
    }
    (left == 0).then_some(held)
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
    let held = SmallVec::new();
    Some(Placement { lead, helpers, part: Duration::ZERO, held, cost, harm: 0.0, first_ms: 0.0 })
}
