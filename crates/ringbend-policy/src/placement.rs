//! The endpoints and their free capacity: which of them could take a request now.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ringbend_platform::EndpointKind;
use ringbend_types::{AttemptId, EndpointId, InstanceId, ServiceName, Timestamp, TokenCount};
use smallvec::SmallVec;

use crate::choice::{Candidate, rendezvous_weight};
use crate::endpoint_view::EndpointView;
use crate::group_reservation::{engines_needed, reservation_rank, usable_kv};
use crate::profile::RequestProfile;

/// Requests stay queued here rather than wait behind more prefill work than this at an engine.
const MAX_PREFILL_AHEAD: Duration = Duration::from_millis(800);

/// Maximum number of this instance's requests at one endpoint of a plain service.
const MAX_REQUESTS_PER_SERVICE_ENDPOINT: usize = 256;

/// Added to the prediction for a long prompt at an engine whose home is another instance (see
/// [`has_other_home`]), so that instances which see the same outdated report do not all send to
/// the same engine.
const NON_HOME_PENALTY: Duration = Duration::from_millis(500);

/// All endpoints known to this instance.
#[derive(Debug, Clone, Default)]
pub(crate) struct EndpointSet {
    views: BTreeMap<EndpointId, EndpointView>,
}

/// What a request needs from an endpoint. When one request of a class finds no capacity, the
/// requests of that class behind it are skipped.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum CapacityClass {
    Short(ServiceName),
    Long(ServiceName),
    MultiEngine(ServiceName),
}

impl EndpointSet {
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

    /// Removes endpoints that left the list and have no requests of this instance.
    pub(crate) fn remove_unlisted(&mut self, listed: &BTreeSet<EndpointId>) {
        self.views.retain(|id, view| listed.contains(id) || view.own_requests() > 0);
    }

    pub(crate) fn of_service<'a>(
        &'a self,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a EndpointView> {
        self.views.values().filter(move |v| v.entry.service == *service && !v.leaving)
    }

    /// Returns the largest KV cache capacity of a single engine of the service.
    fn largest_kv_capacity(&self, service: &ServiceName) -> TokenCount {
        self.of_service(service).map(|v| v.entry.kv_capacity).max().unwrap_or_default()
    }

    pub(crate) fn capacity_class(&self, profile: &RequestProfile) -> CapacityClass {
        let service = profile.service.clone();
        if profile.kind == EndpointKind::Service {
            return CapacityClass::Short(service);
        }
        if profile.cost() > usable_kv(self.largest_kv_capacity(&service)) {
            return CapacityClass::MultiEngine(service);
        }
        if profile.is_long() { CapacityClass::Long(service) } else { CapacityClass::Short(service) }
    }

    /// Returns whether all engines together have enough memory for the request.
    pub(crate) fn can_ever_hold(&self, profile: &RequestProfile) -> bool {
        if profile.kind == EndpointKind::Service {
            return true;
        }
        let all: u64 =
            self.of_service(&profile.service).map(|v| usable_kv(v.entry.kv_capacity).0).sum();
        profile.cost().0 <= all
    }

    /// Returns the lowest predicted time to first token, ignoring free capacity.
    pub(crate) fn best_predicted_ttft(
        &self,
        now: Timestamp,
        profile: &RequestProfile,
    ) -> Option<Duration> {
        let prompt = profile.prompt_tokens;
        self.of_service(&profile.service)
            .map(|v| {
                v.predict_ttft(now, v.uncached_tokens(prompt, profile.prefix), profile.is_long())
            })
            .min()
    }

    /// Returns the prefill rate of all engines of the service together, in tokens per second.
    pub(crate) fn total_prefill_rate(&self, service: &ServiceName) -> f64 {
        self.of_service(service).map(EndpointView::prefill_rate).sum()
    }

    /// Returns the attempts in flight at silent engines.
    pub(crate) fn attempts_on_silent_engines(&self, now: Timestamp) -> Vec<AttemptId> {
        let silent = self.views.values().filter(|v| v.is_silent(now));
        silent.flat_map(EndpointView::attempts).collect()
    }

    /// Returns the endpoints with capacity for a request that fits into a single one.
    pub(crate) fn candidates(
        &self,
        now: Timestamp,
        profile: &RequestProfile,
        avoid: Option<&EndpointId>,
        reserving: &BTreeSet<EndpointId>,
        has_other_home: impl Fn(&EndpointId) -> bool,
    ) -> Vec<Candidate> {
        let long = profile.is_long();
        let fits = |view: &&EndpointView| {
            let id = &view.entry.id;
            view.is_open(now)
                && self.has_capacity(now, view, profile)
                && !(long && reserving.contains(id))
        };
        let candidate = |view: &EndpointView| {
            let prefill = view.uncached_tokens(profile.prompt_tokens, profile.prefix);
            let mut predicted = view.predict_ttft(now, prefill, long);
            if long && has_other_home(&view.entry.id) {
                predicted += NON_HOME_PENALTY;
            }
            let endpoint = view.entry.id.clone();
            Candidate { endpoint, predicted_ttft: predicted, outstanding: view.outstanding() }
        };
        let all: Vec<&EndpointView> = self.of_service(&profile.service).filter(fits).collect();
        // Silent engines, and the one that just failed, are used only if there is no other.
        let preferred = |v: &&&EndpointView| Some(&v.entry.id) != avoid && !v.is_silent(now);
        let others: Vec<&EndpointView> = all.iter().filter(preferred).copied().collect();
        let best = if others.is_empty() { all } else { others };
        best.into_iter().map(candidate).collect()
    }

    fn has_capacity(&self, now: Timestamp, view: &EndpointView, profile: &RequestProfile) -> bool {
        if profile.kind == EndpointKind::Service {
            return view.own_requests() < MAX_REQUESTS_PER_SERVICE_ENDPOINT;
        }
        if view.kv_free() < profile.cost() {
            return false;
        }
        let long_tokens = profile.settings.routing.long_prompt_tokens;
        if profile.is_long() {
            return view.long_prompts(now, long_tokens) < profile.settings.routing.long_per_engine;
        }
        view.tokens_ahead(now, false) / view.prefill_rate() <= MAX_PREFILL_AHEAD.as_secs_f64()
    }

    fn engines_by_rank(&self, service: &ServiceName) -> Vec<EndpointId> {
        let mut ids: Vec<EndpointId> =
            self.of_service(service).map(|v| v.entry.id.clone()).collect();
        ids.sort_by_key(|id| (reservation_rank(id), id.clone()));
        ids
    }

    /// Selects the engines that hold a request together, in reservation order: of the groups of
    /// engines adjacent in rank, the one with the most free memory.
    pub(crate) fn group(
        &self,
        now: Timestamp,
        profile: &RequestProfile,
        busy: &BTreeSet<EndpointId>,
    ) -> Option<SmallVec<[EndpointId; 4]>> {
        let capacity = self.largest_kv_capacity(&profile.service);
        let need = engines_needed(profile.cost(), capacity);
        let longest = TokenCount(profile.settings.admission.max_prompt_tokens);
        let size = engines_needed(longest, capacity).max(need);
        let ranked = self.engines_by_rank(&profile.service);
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

/// Returns whether the home of this engine, the instance preferred for its long prompts, is
/// another instance. Homes are assigned by rendezvous hashing.
pub(crate) fn has_other_home(
    endpoint: &EndpointId,
    own: &InstanceId,
    peers: &[InstanceId],
) -> bool {
    let key = reservation_rank(endpoint);
    let home = peers.iter().max_by_key(|peer| rendezvous_weight(peer.as_str(), key));
    home.is_some_and(|home| home != own)
}
