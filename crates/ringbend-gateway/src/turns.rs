//! When a long prompt may be sent to engines.
//!
//! Engines read the newest part of a prompt first, so a long prompt that is sent while others are
//! being read makes all of those later. Long prompts therefore wait at their instance until enough
//! engines have nothing to read. Each instance knows the long prompts that wait at the others and
//! puts them into the same order, so nobody has to be asked.

use std::time::Duration;

use ringbend_types::{ServiceName, Timestamp};

use crate::deferral::{Wait, had_better_wait};
use crate::directory::Endpoint;
use crate::engine::{EngineProfile, MOST_ENGINES};
use crate::fleet_view::FleetView;
use crate::load::WorkId;
use crate::placement::PlacementGoal;
use crate::quiet::reading_engines;
use crate::waiting_prompt::WaitingPrompt;
use crate::weights::PlacementWeights;

/// Whether a long prompt may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// It may be sent now.
    Now,
    /// Engines have room for it, and others that go first have not been sent.
    PassedOver,
    /// Too few engines have nothing to read; some will after this time.
    After(Duration),
    /// It would take an engine for too long, as short prompts have taken the others.
    TooFewEngines,
    /// It would make others late, and has time to wait.
    TooCostly,
    /// Its caller would leave before it could be read.
    TooLate,
}

/// How long room may stand unused before a prompt goes ahead of one that should go first: its
/// instance may have ended. Two trips between data centres and some for being busy.
const UNUSED: Duration = Duration::from_millis(30);

/// The part of a request's time after which it goes before all others, however late it is.
const AGED: f64 = 0.6;

/// When a prompt that waits for other instances to be heard is looked at again.
const STARTING_LOOK: Duration = Duration::from_millis(20);

/// What each prompt costs beside its reading: a pass that it waits for, and one that it shares.
const BETWEEN: Duration = Duration::from_millis(60);

/// A waiting prompt in the order in which they are sent.
struct Queued<'a> {
    id: WorkId,
    waiting: &'a WaitingPrompt,
    /// How long all engines together read it.
    shared: Duration,
    /// How long it takes by itself.
    alone: Duration,
}

impl Queued<'_> {
    /// Whether it goes before all others, however late it is.
    fn is_aged(&self, now: Timestamp) -> bool {
        let WaitingPrompt { since, until, .. } = *self.waiting;
        now.since(since) > until.since(since).mul_f64(AGED)
    }
}

/// The order in which the prompts that wait for a service are sent: those that have waited for long;
/// then those that can all be on time together, the first due first; then the others.
fn order<'a>(
    view: FleetView<'a>,
    service: &ServiceName,
    engines: usize,
    backlog: Duration,
) -> Vec<Queued<'a>> {
    let now = view.now;
    let queued = |(id, waiting): (WorkId, &'a WaitingPrompt)| {
        let part = |n: usize| waiting.read / u32::try_from(n.max(1)).unwrap_or(u32::MAX);
        let (shared, alone) = (part(engines), part(engines.min(MOST_ENGINES)) + BETWEEN);
        Queued { id, waiting, shared, alone }
    };
    let all = view.load.waiting().filter(|(_, waiting)| waiting.service == *service).map(queued);
    let (mut aged, mut due): (Vec<_>, Vec<_>) = all.partition(|q| q.is_aged(now));
    aged.sort_by_key(|q| (q.waiting.since, q.id));
    due.sort_by_key(|q| (q.waiting.first_by, q.id));
    let begins = now + backlog + aged.iter().map(|q| q.shared).sum::<Duration>();
    let (on_time, mut late) = part_late(begins, due);
    late.sort_by_key(|q| (q.waiting.since, q.id));
    aged.into_iter().chain(on_time).chain(late).collect()
}

/// Parts prompts, the first due first, into those that can all be on time if reading begins at
/// `begins`, and the others. Where not all can, the longest gives way, so that most are on time.
fn part_late<'a>(begins: Timestamp, due: Vec<Queued<'a>>) -> (Vec<Queued<'a>>, Vec<Queued<'a>>) {
    let mut done = begins;
    let (mut on_time, mut late): (Vec<Queued<'_>>, Vec<_>) = (Vec::new(), Vec::new());
    for q in due {
        let (id, first_by, alone) = (q.id, q.waiting.first_by, q.alone);
        done = done + q.shared;
        on_time.push(q);
        while done + alone > first_by {
            let longest = on_time.iter().enumerate().max_by_key(|(_, q)| (q.shared, q.id));
            let Some(longest) = longest.map(|(at, _)| at) else { break };
            let gives_way = on_time.remove(longest);
            let is_itself = gives_way.id == id;
            done = done - gives_way.shared;
            late.push(gives_way);
            if is_itself {
                break;
            }
        }
    }
    (on_time, late)
}

/// How many engines should read a prompt.
fn wanted(w: &PlacementWeights, read: Duration, engines: usize) -> usize {
    let parts = (read.as_secs_f64() * 1e3 / w.part_ms).ceil() as usize;
    parts.clamp(1, engines.clamp(1, MOST_ENGINES))
}

/// How many of these engines may read one prompt.
fn most_engines(engines: usize) -> u32 {
    u32::try_from(engines.clamp(1, MOST_ENGINES)).unwrap_or(1)
}

/// A prompt that waits, and what is wanted for it.
#[derive(Debug, Clone, Copy)]
pub struct QueuedPrompt {
    /// Its name among those that wait.
    pub id: WorkId,
    /// How long it has been passed over.
    pub passed_over_for: Duration,
    /// What is wanted of its placement.
    pub goal: PlacementGoal,
}

/// Whether a prompt that waits may be sent.
pub fn decide_turn(
    view: FleetView<'_>,
    profile: &EngineProfile,
    candidates: &[&Endpoint],
    claim: &QueuedPrompt,
) -> Turn {
    if view.starting {
        return Turn::After(STARTING_LOOK);
    }
    match in_order(view, profile, candidates, claim) {
        Turn::Now => {
            let own = view.load.waiting_prompt(claim.id);
            let wait =
                own.and_then(|own| had_better_wait(view, profile, candidates, &claim.goal, own));
            match wait {
                Some(Wait::TooLong) => Turn::TooFewEngines,
                Some(Wait::TooDear) => Turn::TooCostly,
                None => Turn::Now,
            }
        }
        turn => turn,
    }
}

/// Whether enough engines have nothing to read for a prompt and for those that go before it.
fn in_order(
    view: FleetView<'_>,
    profile: &EngineProfile,
    candidates: &[&Endpoint],
    claim: &QueuedPrompt,
) -> Turn {
    let reading = reading_engines(view, profile, candidates);
    let engines = reading.len();
    if engines == 0 {
        // There is nothing to wait for here: those that are left name limits, or there is none.
        return Turn::Now;
    }
    let (w, now) = (view.weights, view.now);
    let free = Duration::from_secs_f64(w.free_ms / 1e3);
    let left = |e: &&Endpoint| {
        let load = view.load.of(&e.id);
        load.parts_backlog().mul_f64(load.pace().factor()).saturating_sub(free)
    };
    let mut backlogs: Vec<Duration> = reading.iter().map(left).collect();
    backlogs.sort();
    let backlog = backlogs.iter().sum::<Duration>() / u32::try_from(engines.max(1)).unwrap_or(1);
    let Some((_, own)) = view.load.waiting().find(|(other, _)| *other == claim.id) else {
        return Turn::Now;
    };
    if now + own.read / most_engines(engines) > own.until {
        return Turn::TooLate;
    }
    let queue = order(view, &own.service, engines, backlog);
    let before = queue.iter().take_while(|q| q.id != claim.id);
    let ahead: usize = before.map(|q| wanted(w, q.waiting.read, engines)).sum();
    let own_wanted = wanted(w, own.read, engines);
    let in_order = backlogs.get(own_wanted + ahead - 1);
    match backlogs.get(own_wanted - 1) {
        None => Turn::Now,
        Some(own) if !own.is_zero() => Turn::After(*own),
        Some(_) if in_order.is_some_and(Duration::is_zero) || claim.passed_over_for >= UNUSED => {
            Turn::Now
        }
        Some(_) => Turn::PassedOver,
    }
}
