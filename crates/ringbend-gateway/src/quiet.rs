//! Selects the quiet engines: they are reserved for requests with short prompts and read no long
//! ones.

use crate::directory::Endpoint;
use crate::engine::EngineProfile;
use crate::fleet_view::FleetView;

/// Whether each candidate is a quiet engine. There are as many as the requests with short prompts
/// need, chosen by how many of those they already decode. An instance that knows of no other
/// reserves none: it does not know what other instances place, and all of them would reserve the
/// same engine.
pub(crate) fn quiet_engines(
    view: FleetView<'_>,
    profile: &EngineProfile,
    candidates: &[&Endpoint],
) -> Vec<bool> {
    let mut quiet = vec![false; candidates.len()];
    if view.spread.is_some() {
        return quiet;
    }
    let w = view.weights;
    let slots = f64::from(profile.slots.max(1)) * w.full_share;
    let counts: Vec<usize> =
        candidates.iter().map(|e| view.load.of(&e.id).short_prompts()).collect();
    // Streams on a slow engine take long, and no others should join them.
    let is_slow = |at: &usize| view.load.of(&candidates[*at].id).pace().is_slow();
    let usable: Vec<usize> = (0..candidates.len()).filter(|at| !is_slow(at)).collect();
    let count: usize = usable.iter().map(|at| counts[*at]).sum();
    let needed = (count as f64 * w.quiet_growth + w.quiet_spare) / slots;
    // At least one engine is left for long prompts.
    let max_quiet = usable.len().saturating_sub(1);
    let mut order = usable;
    order.sort_by_key(|at| std::cmp::Reverse(counts[*at]));
    for at in order.into_iter().take((needed.ceil() as usize).min(max_quiet)) {
        quiet[at] = true;
    }
    quiet
}

/// The candidates that may read long prompts.
pub(crate) fn reading_engines<'a>(
    view: FleetView<'_>,
    profile: &EngineProfile,
    candidates: &[&'a Endpoint],
) -> Vec<&'a Endpoint> {
    let quiet = quiet_engines(view, profile, candidates);
    candidates.iter().zip(quiet).filter(|(_, quiet)| !quiet).map(|(e, _)| *e).collect()
}
