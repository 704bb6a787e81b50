//! Which endpoint gets a request, and which others help to read its prompt.

use std::time::Duration;

use ringbend_types::{DataCentre, EndpointId, Timestamp};
use smallvec::SmallVec;

use crate::directory::Endpoint;
use crate::engine::EngineProfile;
use crate::load::LoadBook;
use crate::trust::TrustBook;

/// What is asked of the endpoints.
#[derive(Debug, Clone, Copy)]
pub struct Demand {
    /// Prompt tokens; zero for a plain service.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub answer_tokens: u64,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// Gets the request.
    pub lead: EndpointId,
    /// Help to read its prompt.
    pub helpers: SmallVec<[EndpointId; 4]>,
    /// How long each of them reads.
    pub part: Duration,
}

/// What a choice is made from.
#[derive(Clone, Copy)]
pub struct View<'a> {
    /// The time.
    pub now: Timestamp,
    /// Where this instance runs.
    pub home: &'a DataCentre,
    /// What runs where.
    pub load: &'a LoadBook,
    /// Which endpoints answered well.
    pub trust: &'a TrustBook,
    /// Endpoints that this request was sent to before.
    pub tried: &'a [EndpointId],
}

/// The longest part of a prompt that one engine reads when others are there to help. Parts of 10 to
/// 100 ms served best in trials; longer ones hold up the requests that write on the same engine.
const PART_MS: f64 = 50.0;

/// The most engines that read one prompt, the lead included: the engines' own limit is 16 helpers.
const MOST_PARTS: usize = 16;

/// What an endpoint in another data centre costs over one at home, in milliseconds.
const FAR_MS: f64 = 3.0;

/// Places a request on engines that read and write as `profile` tells.
pub fn place_on_engines(
    view: View<'_>,
    profile: &EngineProfile,
    candidates: &[&Endpoint],
    demand: Demand,
) -> Option<Placement> {
    let mut ranked = rank(view, candidates);
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0));
    let (_, lead) = ranked.first()?;
    let read_ms = profile.read_ms(demand.prompt_tokens);
    let parts = ((read_ms / PART_MS).ceil() as usize).clamp(1, MOST_PARTS.min(ranked.len()));
    let helpers = ranked[1..].iter().take(parts - 1).map(|(_, e)| e.id.clone()).collect();
    let part = profile.part_time(demand.prompt_tokens, parts);
    Some(Placement { lead: lead.id.clone(), helpers, part })
}

/// Places a request on a plain service.
pub fn place_on_service(view: View<'_>, candidates: &[&Endpoint]) -> Option<Placement> {
    let ranked = rank(view, candidates);
    let best = ranked.into_iter().min_by(|a, b| a.0.total_cmp(&b.0))?;
    Some(Placement { lead: best.1.id.clone(), helpers: SmallVec::new(), part: Duration::ZERO })
}

fn rank<'a>(view: View<'_>, candidates: &[&'a Endpoint]) -> Vec<(f64, &'a Endpoint)> {
    let costs = |e: &Endpoint| {
        let load = view.load.of(&e.id);
        let far = if e.data_centre == *view.home { 0.0 } else { FAR_MS };
        let full = f64::from(load.open) / f64::from(e.slots.max(1));
        let distrust = view.trust.distrust(view.now, &e.id);
        let tried = if view.tried.contains(&e.id) { 1e6 } else { 0.0 };
        load.backlog(view.now).as_secs_f64() * 1e3 + full * 100.0 + far + distrust + tried
    };
    candidates.iter().map(|e| (costs(e), *e)).collect()
}
