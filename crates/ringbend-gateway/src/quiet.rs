//! Which engines are kept quiet: they write for requests with short prompts and read no long ones.

use crate::directory::Endpoint;
use crate::engine::EngineProfile;
use crate::fleet_view::FleetView;

/// For each candidate, whether it is kept quiet: as many as the requests with short prompts need,
/// those first that write for most of them. An instance that knows of no other keeps none: its book
/// misses what others place, and all would keep the same engine.
pub(crate) fn quiet_engines(
    view: FleetView<'_>,
    profile: &EngineProfile,
    candidates: &[&Endpoint],
) -> Vec<bool> {
    let mut quiet = vec![false; candidates.len()];
    if view.spread_seed.is_some() {
        return quiet;
    }
    let w = view.weights;
    let places = f64::from(profile.slots.max(1)) * w.full_share;
    let counts: Vec<usize> = candidates.iter().map(|e| view.load.of(&e.id).quiet()).collect();
    // Streams on a slow engine stay for long, and no others should join them.
    let is_slow = |at: &usize| view.load.of(&candidates[*at].id).pace().is_slow();
    let fit: Vec<usize> = (0..candidates.len()).filter(|at| !is_slow(at)).collect();
    let count: usize = fit.iter().map(|at| counts[*at]).sum();
    let needed = (count as f64 * w.quiet_growth + w.quiet_spare) / places;
    // Long prompts must find an engine as well.
    let most = fit.len().saturating_sub(1);
    let mut order = fit;
    order.sort_by_key(|at| std::cmp::Reverse(counts[*at]));
    for at in order.into_iter().take((needed.ceil() as usize).min(most)) {
        quiet[at] = true;
    }
    quiet
}

/// The candidates that read long prompts.
pub(crate) fn reading_engines<'a>(
    view: FleetView<'_>,
    profile: &EngineProfile,
    candidates: &[&'a Endpoint],
) -> Vec<&'a Endpoint> {
    let quiet = quiet_engines(view, profile, candidates);
    candidates.iter().zip(quiet).filter(|(_, quiet)| !quiet).map(|(e, _)| *e).collect()
}
