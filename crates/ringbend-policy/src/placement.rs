//! Where a request could go now.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ringbend_platform::EndpointKind;
use ringbend_types::{AttemptId, EndpointId, InstanceId, ServiceName, Timestamp, TokenCount};
use smallvec::SmallVec;

use crate::choice::{Candidate, rendezvous_weight};
use crate::collect::{engines_needed, rank, usable};
use crate::endpoint_view::EndpointView;
use crate::profile::RequestProfile;

/// Requests wait here rather than behind more than this much prefill at an engine.
const MAX_AHEAD: Duration = Duration::from_millis(800);

/// Most requests of this instance at one plain service.
const MAX_AT_SERVICE: usize = 256;

/// Added to the prediction of a long prompt at an engine that is another instance's first choice,
/// so that instances which see the same late report do not send there together.
const AWAY_PENALTY: Duration = Duration::from_millis(500);

/// All endpoints known to this instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct Endpoints {
    views: BTreeMap<EndpointId, EndpointView>,
}

/// What kind of room a request needs. When one of a kind finds no room, nor do those behind it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum RoomKind {
    Short(ServiceName),
    Long(ServiceName),
    Several(ServiceName),
}

impl Endpoints {
    pub(crate) fn get_mut(&mut self, id: &EndpointId) -> Option<&mut EndpointView> {
        self.views.get_mut(id)
    }

    pub(crate) fn is_open(&self, now: Timestamp, id: &EndpointId) -> bool {
        self.views.get(id).is_some_and(|v| v.is_open(now))
    }

    pub(crate) fn is_busy(&self, now: Timestamp, id: &EndpointId) -> bool {
        self.views.get(id).is_some_and(|v| v.is_busy(now))
    }

    pub(crate) fn insert(&mut self, view: EndpointView) {
        self.views.entry(view.entry.id.clone()).or_insert(view);
    }

    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = &mut EndpointView> {
        self.views.values_mut()
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &EndpointView> {
        self.views.values()
    }

    /// Forgets endpoints that left and have nothing of this instance.
    pub(crate) fn drop_gone(&mut self, listed: &BTreeSet<EndpointId>) {
        self.views.retain(|id, view| listed.contains(id) || view.own() > 0);
    }

    pub(crate) fn of<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a EndpointView> {
        self.views.values().filter(move |v| v.entry.service == *service && !v.leaving)
    }

    /// The largest memory of one engine of the service.
    fn largest(&self, service: &ServiceName) -> TokenCount {
        self.of(service).map(|v| v.entry.kv_capacity).max().unwrap_or_default()
    }

    pub(crate) fn room_kind(&self, profile: &RequestProfile) -> RoomKind {
        let service = profile.service.clone();
        if profile.kind == EndpointKind::Service {
            return RoomKind::Short(service);
        }
        if profile.cost() > usable(self.largest(&service)) {
            return RoomKind::Several(service);
        }
        if profile.is_long() { RoomKind::Long(service) } else { RoomKind::Short(service) }
    }

    /// Whether all engines together could hold the request.
    pub(crate) fn can_ever_hold(&self, profile: &RequestProfile) -> bool {
        if profile.kind == EndpointKind::Service {
            return true;
        }
        let all: u64 = self.of(&profile.service).map(|v| usable(v.entry.kv_capacity).0).sum();
        profile.cost().0 <= all
    }

    /// The soonest predicted first token, room or not.
    pub(crate) fn soonest(&self, now: Timestamp, profile: &RequestProfile) -> Option<Duration> {
        let prompt = profile.prompt_tokens;
        self.of(&profile.service)
            .map(|v| v.predict(now, v.uncached(prompt, profile.prefix), profile.is_long()))
            .min()
    }

    /// Prompt tokens a second of all engines of the service.
    pub(crate) fn rate(&self, service: &ServiceName) -> f64 {
        self.of(service).map(EndpointView::rate).sum()
    }

    /// Attempts at engines that have fallen silent.
    pub(crate) fn attempts_in_silence(&self, now: Timestamp) -> Vec<AttemptId> {
        let silent = self.views.values().filter(|v| v.is_silent(now));
        silent.flat_map(EndpointView::attempts).collect()
    }

    /// Endpoints with room for a request that fits into one.
    pub(crate) fn candidates(
        &self,
        now: Timestamp,
        profile: &RequestProfile,
        avoid: Option<&EndpointId>,
        collecting: &BTreeSet<EndpointId>,
        away: impl Fn(&EndpointId) -> bool,
    ) -> Vec<Candidate> {
        let long = profile.is_long();
        let fits = |view: &&EndpointView| {
            let id = &view.entry.id;
            view.is_open(now)
                && self.has_room(now, view, profile)
                && !(long && collecting.contains(id))
        };
        let candidate = |view: &EndpointView| {
            let prefill = view.uncached(profile.prompt_tokens, profile.prefix);
            let mut predicted = view.predict(now, prefill, long);
            if long && away(&view.entry.id) {
                predicted += AWAY_PENALTY;
            }
            let endpoint = view.entry.id.clone();
            Candidate { endpoint, predicted_ttft: predicted, outstanding: view.outstanding() }
        };
        let all: Vec<&EndpointView> = self.of(&profile.service).filter(fits).collect();
        // A silent engine, or the one that just failed, is taken only when there is no other.
        let better = |v: &&&EndpointView| Some(&v.entry.id) != avoid && !v.is_silent(now);
        let others: Vec<&EndpointView> = all.iter().filter(better).copied().collect();
        let best = if others.is_empty() { all } else { others };
        best.into_iter().map(candidate).collect()
    }

    fn has_room(&self, now: Timestamp, view: &EndpointView, profile: &RequestProfile) -> bool {
        if profile.kind == EndpointKind::Service {
            return view.own() < MAX_AT_SERVICE;
        }
        if view.kv_free() < profile.cost() {
            return false;
        }
        let long_tokens = profile.settings.routing.long_prompt_tokens;
        if profile.is_long() {
            return view.long_prompts(now, long_tokens) < profile.settings.routing.long_per_engine;
        }
        view.ahead(now, false) / view.rate() <= MAX_AHEAD.as_secs_f64()
    }

    fn ranked(&self, service: &ServiceName) -> Vec<EndpointId> {
        let mut ids: Vec<EndpointId> = self.of(service).map(|v| v.entry.id.clone()).collect();
        ids.sort_by_key(|id| (rank(id), id.clone()));
        ids
    }

    /// The engines, in order of reservation, that could hold a request together: of the groups of
    /// engines adjacent by rank, the one with the most free memory.
    pub(crate) fn group(
        &self,
        now: Timestamp,
        profile: &RequestProfile,
        busy: &BTreeSet<EndpointId>,
    ) -> Option<SmallVec<[EndpointId; 4]>> {
        let capacity = self.largest(&profile.service);
        let need = engines_needed(profile.cost(), capacity);
        let longest = TokenCount(profile.settings.admission.max_prompt_tokens);
        let size = engines_needed(longest, capacity).max(need);
        let ranked = self.ranked(&profile.service);
        let free = |group: &[EndpointId]| -> u64 {
            group.iter().filter_map(|id| self.views.get(id)).map(|v| v.kv_free().0).sum()
        };
        let open = |id: &EndpointId| {
            self.views.get(id).is_some_and(|v| v.is_open(now) && !v.is_silent(now))
        };
        let group = ranked
            .chunks(size)
            .filter(|group| group.len() >= need && !group.iter().any(|id| busy.contains(id)))
            .map(|group| &group[..need])
            .filter(|group| group.iter().all(open))
            .max_by_key(|group| free(group))?;
        Some(group.iter().cloned().collect())
    }
}

/// Whether another instance is the first choice for long prompts at this engine.
pub(crate) fn is_away(endpoint: &EndpointId, own: &InstanceId, peers: &[InstanceId]) -> bool {
    let key = rank(endpoint);
    let home = peers.iter().max_by_key(|peer| rendezvous_weight(peer.as_str(), key));
    home.is_some_and(|home| home != own)
}
