//! When a long prompt may be sent to engines.
//!
//! Engines read the newest part of a prompt first, so a long prompt that is sent while others are
//! being read delays all of those. Long prompts therefore wait on their instance until enough
//! engines have nothing to read. Each instance knows the long prompts that wait on the others and
//! sorts them in the same order, so no coordination is needed.

use std::time::Duration;

use ringbend_types::{ServiceName, Timestamp};

use crate::deferral::{Deferral, should_defer};
use crate::directory::Endpoint;
use crate::engine::{EngineProfile, MAX_PREFILL_ENGINES};
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
    /// Engines have room for it, but prompts before it in the order have not been sent.
    PassedOver,
    /// Too few engines have nothing to read; more will after this time.
    After(Duration),
    /// It would occupy an engine for too long, because short prompts use the others.
    TooFewEngines,
    /// It would make others late, and has time to wait.
    TooCostly,
    /// Its caller would disconnect before it could be read.
    TooLate,
}

/// How long free engines may stay unused before a prompt overtakes one that is before it in the
/// order, whose instance may have ended. Two message delays between data centres, plus a margin for
/// a busy instance.
const MAX_UNUSED: Duration = Duration::from_millis(30);

/// The share of a request's waiting time after which it precedes all others, however late it is.
const AGED_SHARE: f64 = 0.6;

/// The interval at which a prompt is checked again while it waits for other instances to be heard.
const STARTING_RECHECK: Duration = Duration::from_millis(20);

/// The overhead of each prompt beside its prefill: one pass that it waits for and one that it
/// shares.
const PASS_OVERHEAD: Duration = Duration::from_millis(60);

/// A waiting prompt in the order in which prompts are sent.
struct Queued<'a> {
    id: WorkId,
    waiting: &'a WaitingPrompt,
    /// The time in which all engines together read it.
    shared_time: Duration,
    /// The time in which it is read by itself.
    solo_time: Duration,
}

impl Queued<'_> {
    /// Whether it precedes all others, however late it is.
    fn is_aged(&self, now: Timestamp) -> bool {
        let WaitingPrompt { since, until, .. } = *self.waiting;
        now.since(since) > until.since(since).mul_f64(AGED_SHARE)
    }
}

/// The order in which the waiting prompts of a service are sent: first those that have waited for
/// long; then those that can all be on time together, by due time; then the rest.
fn send_order<'a>(
    view: FleetView<'a>,
    service: &ServiceName,
    engines: usize,
    backlog: Duration,
) -> Vec<Queued<'a>> {
    let now = view.now;
    let queued = |(id, waiting): (WorkId, &'a WaitingPrompt)| {
        let part = |n: usize| waiting.read_time / u32::try_from(n.max(1)).unwrap_or(u32::MAX);
        let (shared_time, solo_time) =
            (part(engines), part(engines.min(MAX_PREFILL_ENGINES)) + PASS_OVERHEAD);
        Queued { id, waiting, shared_time, solo_time }
    };
    let all = view.load.waiting().filter(|(_, waiting)| waiting.service == *service).map(queued);
    let (mut aged, mut due): (Vec<_>, Vec<_>) = all.partition(|q| q.is_aged(now));
    aged.sort_by_key(|q| (q.waiting.since, q.id));
    due.sort_by_key(|q| (q.waiting.first_by, q.id));
    let begins = now + backlog + aged.iter().map(|q| q.shared_time).sum::<Duration>();
    let (on_time, mut late) = split_late(begins, due);
    late.sort_by_key(|q| (q.waiting.since, q.id));
    aged.into_iter().chain(on_time).chain(late).collect()
}

/// Splits prompts, sorted by due time, into those that can all be on time if prefill begins at
/// `begins`, and the rest. If not all can, the longest is moved to the rest, so that most are on
/// time.
fn split_late<'a>(begins: Timestamp, due: Vec<Queued<'a>>) -> (Vec<Queued<'a>>, Vec<Queued<'a>>) {
    let mut done = begins;
    let (mut on_time, mut late): (Vec<Queued<'_>>, Vec<_>) = (Vec::new(), Vec::new());
    for q in due {
        let (id, first_by, solo_time) = (q.id, q.waiting.first_by, q.solo_time);
        done = done + q.shared_time;
        on_time.push(q);
        while done + solo_time > first_by {
            let longest = on_time.iter().enumerate().max_by_key(|(_, q)| (q.shared_time, q.id));
            let Some(longest) = longest.map(|(at, _)| at) else { break };
            let longest_prompt = on_time.remove(longest);
            let is_current = longest_prompt.id == id;
            done = done - longest_prompt.shared_time;
            late.push(longest_prompt);
            if is_current {
                break;
            }
        }
    }
    (on_time, late)
}

/// The number of engines that should read a prompt.
fn wanted_engines(w: &PlacementWeights, read_time: Duration, engines: usize) -> usize {
    let parts = (read_time.as_secs_f64() * 1e3 / w.part_ms).ceil() as usize;
    parts.clamp(1, engines.clamp(1, MAX_PREFILL_ENGINES))
}

/// The maximum number of these engines that may read one prompt.
fn max_engines(engines: usize) -> u32 {
    u32::try_from(engines.clamp(1, MAX_PREFILL_ENGINES)).unwrap_or(1)
}

/// A waiting prompt and the goal of its placement.
#[derive(Debug, Clone, Copy)]
pub struct QueuedPrompt {
    /// The id of the waiting prompt.
    pub id: WorkId,
    /// How long it has been passed over.
    pub passed_over_for: Duration,
    /// The goal of its placement.
    pub goal: PlacementGoal,
}

/// Decides whether a waiting prompt may be sent.
pub fn decide_turn(
    view: FleetView<'_>,
    profile: &EngineProfile,
    candidates: &[&Endpoint],
    prompt: &QueuedPrompt,
) -> Turn {
    if view.starting {
        return Turn::After(STARTING_RECHECK);
    }
    match check_order(view, profile, candidates, prompt) {
        Turn::Now => {
            let own = view.load.waiting_prompt(prompt.id);
            let deferral =
                own.and_then(|own| should_defer(view, profile, candidates, &prompt.goal, own));
            match deferral {
                Some(Deferral::TooLong) => Turn::TooFewEngines,
                Some(Deferral::TooCostly) => Turn::TooCostly,
                None => Turn::Now,
            }
        }
        turn => turn,
    }
}

/// Whether enough engines have nothing to read, for this prompt and for those before it.
fn check_order(
    view: FleetView<'_>,
    profile: &EngineProfile,
    candidates: &[&Endpoint],
    prompt: &QueuedPrompt,
) -> Turn {
    let reading = reading_engines(view, profile, candidates);
    let engines = reading.len();
    if engines == 0 {
        // Nothing to wait for here: the remaining engines name rate limits, or there are none.
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
    let Some((_, own)) = view.load.waiting().find(|(other, _)| *other == prompt.id) else {
        return Turn::Now;
    };
    if now + own.read_time / max_engines(engines) > own.until {
        return Turn::TooLate;
    }
    let queue = send_order(view, &own.service, engines, backlog);
    let before = queue.iter().take_while(|q| q.id != prompt.id);
    let ahead: usize = before.map(|q| wanted_engines(w, q.waiting.read_time, engines)).sum();
    let own_wanted = wanted_engines(w, own.read_time, engines);
    let in_order = backlogs.get(own_wanted + ahead - 1);
    match backlogs.get(own_wanted - 1) {
        None => Turn::Now,
        Some(own) if !own.is_zero() => Turn::After(*own),
        Some(_)
            if in_order.is_some_and(Duration::is_zero) || prompt.passed_over_for >= MAX_UNUSED =>
        {
            Turn::Now
        }
        Some(_) => Turn::PassedOver,
    }
}
