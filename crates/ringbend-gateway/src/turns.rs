//! When a long prompt may be sent to engines.
//!
//! Engines read the newest part of a prompt first, so a long prompt that is sent while others are
//! being read makes all of those later. Long prompts therefore wait at their instance until enough
//! engines have nothing to read. Each instance knows the long prompts that wait at the others and
//! puts them into the same order, so nobody has to be asked.

use std::time::Duration;

use ringbend_types::Timestamp;

use crate::choice::{View, room};
use crate::directory::Endpoint;
use crate::engine::EngineProfile;
use crate::load::WorkId;
use crate::quiet::{MOST_ENGINES, reading_engines};
use crate::weights::PlacementWeights;

/// A long prompt that waits for its turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// How long one engine would read it.
    pub read: Duration,
    /// Memory that it takes, in tokens.
    pub memory_tokens: u64,
    /// When its request arrived.
    pub since: Timestamp,
    /// When its first event is due.
    pub first_by: Timestamp,
    /// When its caller leaves if no event has come.
    pub until: Timestamp,
}

/// Whether a long prompt may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// It may be sent now.
    Now,
    /// It will be late whatever is done; one engine may read it when it has nothing else to read.
    Behind,
    /// Engines have room for it, and others that go first have not been sent.
    PassedOver,
    /// Too few engines have nothing to read; some will after this time.
    In(Duration),
    /// Its caller would leave before it could be read.
    TooLate,
}

/// How long room may stand unused before a prompt goes ahead of one that should go first: its
/// instance may have ended. Two trips between data centres and some for being busy.
const UNUSED: Duration = Duration::from_millis(30);

/// The part of a request's time after which it goes before all others, however late it is.
const AGED: f64 = 0.6;

/// A prompt goes before all others, too, when this many times as long as it takes to read is left.
const LAST_CHANCE: u32 = 3;

/// What each prompt costs beside its reading: a pass that it waits for, and one that it shares.
const BETWEEN: Duration = Duration::from_millis(60);

/// A waiting prompt in the order in which they are sent.
struct Queued<'a> {
    id: WorkId,
    waiting: &'a Waiting,
    /// How long all engines together read it.
    shared: Duration,
    /// How long it takes by itself.
    alone: Duration,
    /// Whether it gave way.
    late: bool,
}

/// The order in which waiting prompts are sent: those that have waited for long; then those that can
/// all be on time together, the first due first; then the others. Where not all can be on time, the
/// longest gives way, so that most are.
fn order<'a>(view: View<'a>, engines: usize, backlog: Duration) -> Vec<Queued<'a>> {
    let now = view.now;
    let queued = |(id, waiting): (WorkId, &'a Waiting)| {
        let part = |n: usize| waiting.read / u32::try_from(n.max(1)).unwrap_or(u32::MAX);
        let (shared, alone) = (part(engines), part(engines.min(MOST_ENGINES)) + BETWEEN);
        Queued { id, waiting, shared, alone, late: false }
    };
    let is_aged = |q: &Queued<'_>| {
        let patience = q.waiting.until.since(q.waiting.since);
        let is_last_chance = q.waiting.until.since(now) < q.alone * LAST_CHANCE;
        is_last_chance || now.since(q.waiting.since) > patience.mul_f64(AGED)
    };
    let (mut aged, mut due): (Vec<_>, Vec<_>) =
        view.load.waiting().map(queued).partition(|q| is_aged(q));
    aged.sort_by_key(|q| (q.waiting.since, q.id));
    due.sort_by_key(|q| (q.waiting.first_by, q.id));
    let mut done = now + backlog + aged.iter().map(|q| q.shared).sum::<Duration>();
    let (mut on_time, mut late): (Vec<Queued<'_>>, Vec<_>) = (Vec::new(), Vec::new());
    for q in due {
        let (first_by, alone) = (q.waiting.first_by, q.alone);
        done = done + q.shared;
        on_time.push(q);
        while done + alone > first_by && !on_time.is_empty() {
            let longest = on_time.iter().enumerate().max_by_key(|(_, q)| (q.shared, q.id));
            let Some(longest) = longest.map(|(at, _)| at) else { break };
            let mut gives_way = on_time.remove(longest);
            gives_way.late = true;
            done = done - gives_way.shared;
            let is_own = gives_way.waiting.first_by == first_by;
            late.push(gives_way);
            if is_own {
                break;
            }
        }
    }
    late.sort_by_key(|q| (q.waiting.since, q.id));
    aged.into_iter().chain(on_time).chain(late).collect()
}

/// How many engines should read a prompt.
fn wanted(w: &PlacementWeights, read: Duration, engines: usize) -> usize {
    let parts = (read.as_secs_f64() * 1e3 / w.part_ms).ceil() as usize;
    parts.clamp(1, engines.clamp(1, MOST_ENGINES))
}

/// Whether one engine has the memory and the time to read a prompt behind all else.
fn one_can_read(
    view: View<'_>,
    profile: &EngineProfile,
    reading: &[&Endpoint],
    waiting: &Waiting,
) -> bool {
    let in_time = view.now + waiting.read < waiting.until;
    let can = |e: &&Endpoint| {
        let load = view.load.of(&e.id);
        !load.has_whole() && room(profile, load) >= waiting.memory_tokens
    };
    in_time && reading.iter().any(can)
}

/// Whether the prompt `id`, which waits, may be sent. `unused` is how long it has been passed over.
pub fn turn(
    view: View<'_>,
    profile: &EngineProfile,
    candidates: &[&Endpoint],
    id: WorkId,
    unused: Duration,
) -> Turn {
    let reading = reading_engines(view, profile, candidates);
    let engines = reading.len();
    let (w, now) = (view.weights, view.now);
    let free = Duration::from_secs_f64(w.free_ms / 1e3);
    let mut backlogs: Vec<Duration> =
        reading.iter().map(|e| view.load.of(&e.id).parts_backlog().saturating_sub(free)).collect();
    backlogs.sort();
    let backlog = backlogs.iter().sum::<Duration>() / u32::try_from(engines.max(1)).unwrap_or(1);
    let mut ahead = 0;
    let mut own_wanted = None;
    for q in order(view, engines, backlog) {
        let wanted = wanted(w, q.waiting.read, engines);
        if q.id == id {
            if now + q.alone > q.waiting.until {
                return Turn::TooLate;
            }
            if q.late && one_can_read(view, profile, &reading, q.waiting) {
                return Turn::Behind;
            }
            own_wanted = Some(wanted);
            break;
        }
        ahead += wanted;
    }
    let Some(own_wanted) = own_wanted else { return Turn::Now };
    let in_order = backlogs.get(own_wanted + ahead - 1);
    match backlogs.get(own_wanted - 1) {
        None => Turn::Now,
        Some(own) if !own.is_zero() => Turn::In(*own),
        Some(_) if in_order.is_some_and(Duration::is_zero) || unused >= UNUSED => Turn::Now,
        Some(_) => Turn::PassedOver,
    }
}
