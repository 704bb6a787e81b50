//! Whether a long prompt whose turn it is had better wait.

use crate::candidate::millis;
use crate::directory::Endpoint;
use crate::engine::{EngineProfile, MOST_ENGINES};
use crate::fleet_view::FleetView;
use crate::load::LATE_STAKE;
use crate::placement::{PlacementGoal, place_on_engines, stake};
use crate::waiting_prompt::WaitingPrompt;

/// The share of the engines which is enough for any prompt, however long its parts are then: the
/// longest would wait for ever for short ones. A quarter is left to others.
const ENOUGH: f64 = 0.75;

/// The part of its caller's time for which a long prompt that is late gives way to others. It must be read
/// while its caller is still there, and parts of others may go before it.
const GIVES_WAY: f64 = 0.4;

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
    view: FleetView<'_>,
    profile: &EngineProfile,
    candidates: &[&Endpoint],
    goal: &PlacementGoal,
    waiting: &WaitingPrompt,
) -> Option<Wait> {
    let read_ms = profile.prefill_ms(goal.demand.prompt_tokens);
    let enough = (candidates.len().min(MOST_ENGINES) as f64 * ENOUGH).max(1.0);
    let longest_ms = view.weights.longest_ms.max(read_ms / enough);
    let placement = place_on_engines(view, profile, candidates, goal)?;
    if millis(placement.part) > longest_ms {
        return Some(Wait::TooLong);
    }
    let w = view.weights;
    let stake = stake(w, goal.demand.prompt_tokens);
    let left_ms = millis(goal.first_in);
    let WaitingPrompt { since, until, .. } = *waiting;
    let gives_way_until = since + until.since(since).mul_f64(GIVES_WAY);
    let (stake, has_time) = match placement.first_ms > left_ms {
        true => (stake * LATE_STAKE, view.now < gives_way_until),
        false => (stake, placement.first_ms + w.spare_ms < left_ms),
    };
    let is_dear = placement.cost_to_others > w.dear * stake;
    (is_dear && has_time).then_some(Wait::TooDear)
}
