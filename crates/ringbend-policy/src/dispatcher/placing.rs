//! From the queue to an endpoint, or to several engines.

use std::collections::BTreeSet;
use std::time::Duration;

use ringbend_settings::configs::RoutingConfig;
use ringbend_types::{AttemptId, EndpointId, RequestId, Timestamp};

use super::{Dispatcher, RESERVE_AGAIN, Request, Running, Stage, engine_priority};
use crate::choice::{EndpointChoice, choice_for};
use crate::collect::Collect;
use crate::event::{Action, Dispatch, HeldMemory};
use crate::placement::is_away;

impl Dispatcher {
    pub(super) fn place(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Action>) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let long = request.profile.is_long();
        let collecting = if long { self.collecting() } else { BTreeSet::new() };
        let (own, peers) = (&self.cfg.instance, &self.peers);
        let away = |endpoint: &EndpointId| is_away(endpoint, own, peers);
        let avoid = request.last.as_ref();
        let profile = &request.profile;
        let candidates = self.endpoints.candidates(now, profile, avoid, &collecting, away);
        let choice = choice_in_force(&mut self.choices, &profile.settings.routing);
        let chosen = choice.choose(&candidates, profile.prefix, &mut self.rng);
        let Some(chosen) = chosen else { return false };
        let endpoint = candidates[chosen].endpoint.clone();
        self.queue.serve(id);
        let attempt = self.mint.next_attempt_id();
        self.dispatch(now, id, attempt, endpoint, Vec::new(), out);
        true
    }

    pub(super) fn collecting(&self) -> BTreeSet<EndpointId> {
        let engines = self.requests.values().filter_map(|r| match &r.stage {
            Stage::Collecting(collect) => Some(collect.engines.clone()),
            _ => None,
        });
        engines.flatten().collect()
    }

    pub(super) fn start_collecting(
        &mut self,
        now: Timestamp,
        id: RequestId,
        out: &mut Vec<Action>,
    ) -> bool {
        let busy = self.collecting();
        let Some(request) = self.requests.get(&id) else { return false };
        let Some(group) = self.endpoints.group(now, &request.profile, &busy) else { return false };
        let attempt = self.mint.next_attempt_id();
        let need = request.profile.cost();
        self.queue.serve(id);
        self.attempts.insert(attempt, id);
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage = Stage::Collecting(Collect::new(attempt, group, need));
        }
        self.collect(now, id, out);
        true
    }

    /// Makes the next reservation, or dispatches when all are held.
    pub(super) fn collect(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Action>) {
        if self.leave_broken_group(now, id, out) {
            return;
        }
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Stage::Collecting(collect) = &mut request.stage else { return };
        if collect.asking || now < collect.retry_at {
            return;
        }
        if let Some(memory) = collect.next() {
            collect.asking = true;
            out.push(Action::Reserve { attempt: collect.attempt, memory });
            self.set_timer(id);
            return;
        }
        let Some(lead) = collect.lead().cloned() else { return };
        let (attempt, held) = (collect.attempt, collect.held.to_vec());
        self.dispatch(now, id, attempt, lead, held, out);
    }

    pub(super) fn reserved(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        endpoint: EndpointId,
        held: bool,
        out: &mut Vec<Action>,
    ) {
        let id = self.attempts.get(&attempt).copied();
        let request = id.and_then(|id| self.requests.get_mut(&id));
        let Some(Request { stage: Stage::Collecting(collect), .. }) = request else {
            // The request ended while the reservation was under way.
            if held {
                out.push(Action::Release { attempt, endpoint });
            }
            return;
        };
        collect.asking = false;
        if held {
            let tokens = collect.share;
            collect.held.push(HeldMemory { endpoint, tokens });
        } else {
            collect.retry_at = now + RESERVE_AGAIN;
        }
        if let Some(id) = id {
            self.collect(now, id, out);
            self.set_timer(id);
        }
    }

    /// Gives back what is held and starts anew when an engine of the group is gone.
    pub(super) fn leave_broken_group(
        &mut self,
        now: Timestamp,
        id: RequestId,
        out: &mut Vec<Action>,
    ) -> bool {
        let Some(Request { stage: Stage::Collecting(collect), .. }) = self.requests.get(&id) else {
            return false;
        };
        if collect.engines.iter().all(|engine| self.endpoints.is_open(now, engine)) {
            return false;
        }
        self.stop_attempt(now, id, None, false, out);
        if let Some(request) = self.requests.get_mut(&id) {
            request.stage = Stage::Waiting { until: now + RESERVE_AGAIN };
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
        let prefill = view.uncached(profile.prompt_tokens, profile.prefix);
        let predicted = view.predict(now, prefill, long);
        let patience = Duration::from_millis(profile.settings.timeouts.first_token_ms);
        let borrowed = held.iter().map(|h| h.tokens.0).sum();
        let kv = profile.cost().saturating_sub(ringbend_types::TokenCount(borrowed));
        view.sent(now, attempt, prefill, kv, long);
        if request.attempts == 0 {
            self.budget.first_attempt(now);
        }
        request.attempts += 1;
        request.last = Some(endpoint.clone());
        out.push(Action::Dispatch(Dispatch {
            request: id,
            attempt,
            endpoint: endpoint.clone(),
            held: held.iter().cloned().collect(),
            priority: engine_priority(profile),
            resume_from: request.delivered,
            number: request.attempts,
        }));
        request.stage = Stage::Running(Running {
            attempt,
            endpoint,
            held,
            started: false,
            first_token_by: now + predicted * 2 + patience,
            last_progress: now,
        });
        self.attempts.insert(attempt, id);
        self.set_timer(id);
    }
}

/// Settings of the choice kept ready at once; more are forgotten.
const CHOICES_KEPT: usize = 16;

/// The way of choosing that these settings name. It is kept between requests, since taking turns
/// needs a memory, for as long as its settings stay as they are.
fn choice_in_force<'a>(
    choices: &'a mut Vec<(RoutingConfig, Box<dyn EndpointChoice>)>,
    cfg: &RoutingConfig,
) -> &'a mut dyn EndpointChoice {
    let known = choices.iter().position(|(known, _)| known == cfg);
    let at = known.unwrap_or_else(|| {
        if choices.len() == CHOICES_KEPT {
            choices.remove(0);
        }
        choices.push((cfg.clone(), choice_for(cfg)));
        choices.len() - 1
    });
    choices[at].1.as_mut()
}
