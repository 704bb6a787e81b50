//! Dispatch of queued requests to an endpoint, or to several engines at once.

use std::collections::BTreeSet;
use std::time::Duration;

use ringbend_settings::configs::RoutingConfig;
use ringbend_types::{AttemptId, EndpointId, RequestId, Timestamp};

use super::{Dispatcher, RESERVE_RETRY_INTERVAL, Request, RunningAttempt, Stage, engine_priority};
use crate::choice::{EndpointChoice, choice_for};
use crate::event::{Action, Dispatch, HeldMemory};
use crate::group_reservation::GroupReservation;
use crate::placement::has_other_home;

impl Dispatcher {
    pub(super) fn dispatch_to_one(
        &mut self,
        now: Timestamp,
        id: RequestId,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let long = request.profile.is_long();
        let reserving = if long { self.engines_being_reserved() } else { BTreeSet::new() };
        let (own, peers) = (&self.cfg.instance, &self.peers);
        let home_elsewhere = |endpoint: &EndpointId| has_other_home(endpoint, own, peers);
        let avoid = request.last_endpoint.as_ref();
        let profile = &request.profile;
        let candidates = self.endpoints.candidates(now, profile, avoid, &reserving, home_elsewhere);
        let choice = cached_choice(&mut self.choices, &profile.settings.routing);
        let chosen = choice.choose(&candidates, profile.prefix, &mut self.rng);
        let Some(chosen) = chosen else { return false };
        let endpoint = candidates[chosen].endpoint.clone();
        self.queue.start_service(id);
        let attempt = self.ids.next_attempt_id();
        self.dispatch(now, id, attempt, endpoint, Vec::new(), out);
        true
    }

    pub(super) fn engines_being_reserved(&self) -> BTreeSet<EndpointId> {
        let engines = self.requests.values().filter_map(|r| match &r.stage {
            Stage::Reserving(reservation) => Some(reservation.engines.clone()),
            _ => None,
        });
        engines.flatten().collect()
    }

    pub(super) fn start_group_reservation(
        &mut self,
        now: Timestamp,
        id: RequestId,
        out: &mut Vec<Action>,
    ) -> bool {
        let busy = self.engines_being_reserved();
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(group) = self.endpoints.group(now, &request.profile, &busy) else { return false };
        let attempt = self.ids.next_attempt_id();
        let need = request.profile.cost();
        self.queue.start_service(id);
        self.attempts.insert(attempt, id);
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage = Stage::Reserving(GroupReservation::new(attempt, group, need));
        }
        self.continue_reservation(now, id, out);
        true
    }

    /// Makes the next reservation, or dispatches the request once all are held.
    pub(super) fn continue_reservation(
        &mut self,
        now: Timestamp,
        id: RequestId,
        out: &mut Vec<Action>,
    ) {
        if self.abandon_broken_group(now, id, out) {
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Stage::Reserving(reservation) = &mut request.stage else { return };
        if reservation.pending || now < reservation.retry_at {
            return;
        }
        if let Some(memory) = reservation.next() {
            reservation.pending = true;
            out.push(Action::Reserve { attempt: reservation.attempt, memory });
            self.set_timer(id);
            return;
        }
        let Some(lead) = reservation.lead_engine().cloned() else { return };
        let (attempt, held) = (reservation.attempt, reservation.held.to_vec());
        self.dispatch(now, id, attempt, lead, held, out);
    }

    pub(super) fn on_reservation(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        endpoint: EndpointId,
        held: bool,
        out: &mut Vec<Action>,
    ) {
        let id = self.attempts.get(&attempt).copied();
        let request = id.and_then(|id| self.requests.get_mut(&id));
        let Some(Request { stage: Stage::Reserving(reservation), .. }) = request else {
            // The request ended while the reservation was in flight.
            if held {
                out.push(Action::Release { attempt, endpoint });
            }
            return;
        };
        reservation.pending = false;
        if held {
            let tokens = reservation.tokens_per_engine;
            reservation.held.push(HeldMemory { endpoint, tokens });
        } else {
            reservation.retry_at = now + RESERVE_RETRY_INTERVAL;
        }
        if let Some(id) = id {
            self.continue_reservation(now, id, out);
            self.set_timer(id);
        }
    }

    /// Releases held memory and starts over if an engine of the group is no longer available.
    pub(super) fn abandon_broken_group(
        &mut self,
        now: Timestamp,
        id: RequestId,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(Request { stage: Stage::Reserving(reservation), .. }) = self.requests.get(&id)
        else {
            return false;
        };
        if reservation.engines.iter().all(|engine| self.endpoints.is_open(now, engine)) {
            return false;
        }
        self.stop_attempt(now, id, None, false, out);
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage = Stage::Backoff { until: now + RESERVE_RETRY_INTERVAL };
        }
        self.set_timer(id);
        true
    }

    pub(super) fn dispatch(
        &mut self,
        now: Timestamp,
        id: RequestId,
        attempt: AttemptId,
        endpoint: EndpointId,
        held: Vec<HeldMemory>,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let profile = &request.profile;
        let Some(view) = self.endpoints.get_mut(&endpoint) else { return };
        let long = profile.is_long();
        let prefill = view.uncached_tokens(profile.prompt_tokens, profile.prefix);
        let predicted = view.predict_ttft(now, prefill, long);
        let first_token_timeout = Duration::from_millis(profile.settings.timeouts.first_token_ms);
        let borrowed = held.iter().map(|h| h.tokens.0).sum();
        let kv = profile.cost().saturating_sub(ringbend_types::TokenCount(borrowed));
        view.record_sent(now, attempt, prefill, kv, long);
        if request.attempts == 0 {
            self.retry_budget.first_attempt(now);
        }
        request.attempts += 1;
        request.last_endpoint = Some(endpoint.clone());
        out.push(Action::Dispatch(Dispatch {
            request: id,
            attempt,
            endpoint: endpoint.clone(),
            held: held.iter().cloned().collect(),
            priority: engine_priority(profile),
            resume_from: request.delivered_tokens,
            number: request.attempts,
        }));
        request.stage = Stage::Running(RunningAttempt {
            attempt,
            endpoint,
            held,
            got_first_token: false,
            first_token_deadline: now + predicted * 2 + first_token_timeout,
            last_progress: now,
        });
        self.attempts.insert(attempt, id);
        self.set_timer(id);
    }
}

/// Maximum number of cached endpoint choices; the oldest is dropped when it is exceeded.
const MAX_CACHED_CHOICES: usize = 16;

/// Returns the endpoint choice for these settings. It is cached between requests, because round
/// robin keeps state, until the settings change.
fn cached_choice<'a>(
    choices: &'a mut Vec<(RoutingConfig, Box<dyn EndpointChoice>)>,
    cfg: &RoutingConfig,
) -> &'a mut dyn EndpointChoice {
    let known = choices.iter().position(|(known, _)| known == cfg);
    let at = known.unwrap_or_else(|| {
        if choices.len() == MAX_CACHED_CHOICES {
            choices.remove(0);
        }
        choices.push((cfg.clone(), choice_for(cfg)));
        choices.len() - 1
    });
    choices[at].1.as_mut()
}
