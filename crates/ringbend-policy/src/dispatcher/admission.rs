//! Admission control and the queue.

use std::collections::BTreeSet;
use std::time::Duration;

use ringbend_types::{RequestId, RunState, Timestamp};

use super::{Dispatcher, QUEUE_POLL_INTERVAL, Request, Stage};
use crate::backoff::jittered_retry_after;
use crate::event::{Action, FailureCode};
use crate::limits::LimitVerdict;
use crate::placement::CapacityClass;
use crate::profile::RequestProfile;

impl Dispatcher {
    pub(super) fn on_arrival(
        &mut self,
        now: Timestamp,
        profile: RequestProfile,
        out: &mut Vec<Action>,
    ) {
        if let Err((code, wait)) = self.admit(now, &profile) {
            let retry_after = wait.map(|wait| jittered_retry_after(wait, &mut self.rng));
            out.push(Action::Rejected { request: profile.id, code, retry_after });
            return;
        }
        let id = profile.id;
        out.push(Action::Admitted(id));
        let needs_claim = profile.needs_claim;
        let request = Request {
            next_timer: profile.deadline,
            profile,
            stage: Stage::Claiming,
            attempts: 0,
            delivered_tokens: 0,
            last_endpoint: None,
            run_state: RunState::NotRun,
        };
        self.timers.insert((request.next_timer, id));
        self.requests.insert(id, request);
        if !needs_claim {
            self.enqueue(now, id);
        }
    }

    pub(super) fn admit(
        &mut self,
        now: Timestamp,
        profile: &RequestProfile,
    ) -> Result<(), (FailureCode, Option<Duration>)> {
        let admission = &profile.settings.admission;
        if profile.prompt_tokens.0 > admission.max_prompt_tokens {
            return Err((FailureCode::TooLarge, None));
        }
        let Some(best_predicted_ttft) = self.endpoints.best_predicted_ttft(now, profile) else {
            return Err((FailureCode::NoEndpoint, Some(Duration::from_secs(1))));
        };
        if !self.endpoints.can_ever_hold(profile) {
            return Err((FailureCode::TooLarge, None));
        }
        let wait = self.estimated_queue_time(profile);
        if self.queue.len() >= admission.max_queued as usize {
            return Err((FailureCode::QueueFull, Some(wait)));
        }
        if now + wait + best_predicted_ttft > profile.deadline {
            return Err((FailureCode::DeadlineTooNear, Some(wait)));
        }
        let limits = &profile.settings.limits;
        match self.limits.try_take(now, &profile.account, profile.cost(), limits) {
            LimitVerdict::Within => Ok(()),
            LimitVerdict::Over(wait) => Err((FailureCode::OverLimit, Some(wait))),
        }
    }

    /// Estimates how long the requests ahead of this one take, at this instance's share of the
    /// prefill rate.
    pub(super) fn estimated_queue_time(&self, profile: &RequestProfile) -> Duration {
        let tokens_ahead = self.queue.tokens_ahead(profile.settings.class.priority);
        let rate =
            self.endpoints.total_prefill_rate(&profile.service) / self.peers.len().max(1) as f64;
        Duration::from_secs_f64((tokens_ahead as f64 / rate.max(1.0)).min(86_400.0))
    }

    pub(super) fn enqueue(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Queued;
        self.queue.push(now, &request.profile);
        self.set_timer(id);
    }

    /// Dispatches queued requests for which an endpoint has capacity.
    pub(super) fn dispatch_queued(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let mut full_classes: BTreeSet<CapacityClass> = BTreeSet::new();
        let waiting: Vec<RequestId> = self.queue.iter().collect();
        for id in waiting {
            let Some(request) = self.requests.get(&id) else { continue };
            let class = self.endpoints.capacity_class(&request.profile);
            if full_classes.contains(&class) {
                continue;
            }
            let placed = match class {
                CapacityClass::MultiEngine(_) => self.start_group_reservation(now, id, out),
                _ => self.dispatch_to_one(now, id, out),
            };
            if !placed {
                full_classes.insert(class);
                if full_classes.len() >= 6 {
                    break;
                }
            }
        }
        let is_empty = self.queue.len() == 0;
        self.next_queue_poll = if is_empty { Timestamp::NEVER } else { now + QUEUE_POLL_INTERVAL };
    }
}
