//! When a long prompt may be sent to engines.
//!
//! Engines read the newest part of a prompt first, so a long prompt that is sent while others are
//! being read delays all of those. Long prompts therefore wait on their instance until enough
//! engines have nothing to read. Each instance knows the long prompts that wait on the others and
//! sorts them in the same order, so no coordination is needed.

use std::time::Duration;

use crate::deferral::{Deferral, should_defer};
use crate::directory::Endpoint;
use crate::engine::{EngineProfile, MAX_PREFILL_ENGINES};
use crate::fleet_view::FleetView;
use crate::load::WorkId;
use crate::placement::PlacementGoal;
use crate::quiet::reading_engines;
use crate::send_order::send_order;
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

/// The interval at which a prompt is checked again while it waits for other instances to be heard.
const STARTING_RECHECK: Duration = Duration::from_millis(20);

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
