//! Whether to defer a long prompt although it is its turn.

use crate::candidate::millis;
use crate::directory::Endpoint;
use crate::engine::{EngineProfile, MAX_PREFILL_ENGINES};
use crate::fleet_view::FleetView;
use crate::load::LATE_STAKE;
use crate::placement::{PlacementGoal, place_on_engines, stake};
use crate::waiting_prompt::WaitingPrompt;

/// The share of the engines that is sufficient for any prompt, however long its parts become:
/// otherwise short prompts could defer the longest prompts for ever. A quarter is left to others.
const SUFFICIENT_SHARE: f64 = 0.75;

/// The share of its caller's waiting time for which a late long prompt yields to others. It must be
/// read while its caller is still connected, and parts of other prompts may be read before it.
const YIELD_SHARE: f64 = 0.4;

/// Why a long prompt is deferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Deferral {
    /// The cheapest placement would occupy an engine for longer than any prompt may.
    TooLong,
    /// The cheapest placement would make others late, and there is time to wait.
    TooCostly,
}

/// Whether a waiting long prompt should be deferred further instead of being placed now.
///
/// This handles a burst of short prompts right after long ones. A prompt of 600,000 tokens takes 34
/// s to read. When it was sent although short prompts had left it only four engines, it occupied
/// each for 8.5 s, and 62 of the 168 short prompts that arrived in the next two seconds waited for
/// engines that were expected to be free. Such a prompt is therefore deferred until more engines
/// are available. Splitting it further among the same engines cost more than it gained.
///
/// A prompt that would make others late and has time is deferred as well: within a second or two
/// current streams will have ended and queued parts will have been read. A prompt that is already
/// late has less to lose and yields for part of its caller's waiting time.
pub(crate) fn should_defer(
    view: FleetView<'_>,
    profile: &EngineProfile,
    candidates: &[&Endpoint],
    goal: &PlacementGoal,
    waiting: &WaitingPrompt,
) -> Option<Deferral> {
    let read_ms = profile.prefill_ms(goal.demand.prompt_tokens);
    let sufficient = (candidates.len().min(MAX_PREFILL_ENGINES) as f64 * SUFFICIENT_SHARE).max(1.0);
    let longest_ms = view.weights.longest_ms.max(read_ms / sufficient);
    let placement = place_on_engines(view, profile, candidates, goal)?;
    if millis(placement.part) > longest_ms {
        return Some(Deferral::TooLong);
    }
    let w = view.weights;
    let stake = stake(w, goal.demand.prompt_tokens);
    let left_ms = millis(goal.first_in);
    let WaitingPrompt { since, until, .. } = *waiting;
    let yields_until = since + until.since(since).mul_f64(YIELD_SHARE);
    let (stake, has_time) = match placement.first_ms > left_ms {
        true => (stake * LATE_STAKE, view.now < yields_until),
        false => (stake, placement.first_ms + w.spare_ms < left_ms),
    };
    let is_costly = placement.cost_to_others > w.dear * stake;
    (is_costly && has_time).then_some(Deferral::TooCostly)
}
