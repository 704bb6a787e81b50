//! How attempts and requests end: progress, failures, retries and release of held memory.

use std::time::Duration;

use ringbend_types::{AttemptId, RequestId, RunState, Timestamp};

use super::{Dispatcher, Request, Stage};
use crate::backoff::{Backoff, jittered_retry_after};
use crate::event::{Action, AttemptEnd, FailureCode, HeldMemory, RequestEnd};
use crate::outcome::{AfterAttempt, after_attempt, run_state};

impl Dispatcher {
    pub(super) fn on_progress(&mut self, now: Timestamp, attempt: AttemptId, tokens: u64) {
        let Some(id) = self.attempts.get(&attempt) else { return };
        let Some(request) = self.requests.get_mut(id) else { return };
        let Stage::Running(running) = &mut request.stage else { return };
        request.delivered_tokens = request.delivered_tokens.max(tokens);
        running.last_progress = now;
        running.got_first_token = true;
        let prefix = request.profile.prefix;
        if let Some(view) = self.endpoints.get_mut(&running.endpoint) {
            view.record_progress(now, attempt, prefix);
        }
    }

    pub(super) fn on_attempt_end(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        end: AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        let Some(id) = self.attempts.get(&attempt).copied() else { return };
        let Some(request) = self.requests.get(&id) else { return };
        if !matches!(&request.stage, Stage::Running(r) if r.attempt == attempt) {
            return;
        }
        self.stop_attempt(now, id, Some(end), false, out);
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.run_state = request.run_state.max(run_state(end).unwrap_or(RunState::NotRun));
        match after_attempt(end, request.profile.repeatable) {
            AfterAttempt::Answered => self.finish(id, RequestEnd::Answered, out),
            AfterAttempt::End => self.fail(id, FailureCode::EndpointFailed, None, out),
            AfterAttempt::Retry => self.schedule_retry(now, id, end, out),
        }
    }

    pub(super) fn schedule_retry(
        &mut self,
        now: Timestamp,
        id: RequestId,
        end: AttemptEnd,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let retries = &request.profile.settings.retries;
        let floor = match end {
            AttemptEnd::Refused { retry_after } => retry_after,
            _ => None,
        };
        // A long prompt that was not run may be retried until its deadline, outside the retry
        // budget.
        let outside_budget = request.profile.is_long() && run_state(end) == Some(RunState::NotRun);
        let allowed = outside_budget
            || request.attempts < retries.attempts
                && self.retry_budget.try_retry(now, retries.ratio_percent);
        if !allowed {
            let wait = floor.unwrap_or(Duration::from_secs(1));
            return self.fail(id, FailureCode::EndpointFailed, Some(wait), out);
        }
        // Only the endpoint that sent the Retry-After backs off that long; others may be tried
        // sooner.
        let delay = Backoff::new(retries).delay(request.attempts, None, &mut self.rng);
        request.stage = Stage::Backoff { until: now + delay };
        self.set_timer(id);
    }

    /// Ends the current attempt or reservation of a request, and releases the memory held for it.
    pub(super) fn stop_attempt(
        &mut self,
        now: Timestamp,
        id: RequestId,
        end: Option<AttemptEnd>,
        cancel: bool,
        out: &mut Vec<Action>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let (attempt, held) = match std::mem::replace(&mut request.stage, Stage::Claiming) {
            Stage::Running(running) => {
                if let Some(view) = self.endpoints.get_mut(&running.endpoint) {
                    view.record_end(running.attempt);
                    match end {
                        Some(AttemptEnd::Broken | AttemptEnd::NotSent) => {
                            view.record_failure(now, None)
                        }
                        Some(AttemptEnd::Refused { retry_after }) => {
                            view.record_refusal(now, retry_after)
                        }
                        _ => {}
                    }
                }
                if cancel {
                    let endpoint = running.endpoint;
                    out.push(Action::Cancel { attempt: running.attempt, endpoint });
                }
                (running.attempt, running.held)
            }
            Stage::Reserving(group) => (group.attempt, group.held.to_vec()),
            Stage::Queued => {
                self.queue.remove(id);
                return;
            }
            Stage::Claiming | Stage::Backoff { .. } => return,
        };
        self.attempts.remove(&attempt);
        for HeldMemory { endpoint, .. } in held {
            out.push(Action::Release { attempt, endpoint });
        }
    }

    pub(super) fn fail(
        &mut self,
        id: RequestId,
        code: FailureCode,
        wait: Option<Duration>,
        out: &mut Vec<Action>,
    ) {
        let run_state = self.requests.get(&id).map_or(RunState::NotRun, |r| r.run_state);
        let retry_after = wait.map(|wait| jittered_retry_after(wait, &mut self.rng));
        self.finish(id, RequestEnd::Failed { code, run_state, retry_after }, out);
    }

    pub(super) fn finish(&mut self, id: RequestId, end: RequestEnd, out: &mut Vec<Action>) {
        if self.remove_request(id) {
            out.push(Action::Finish { request: id, end });
        }
    }

    pub(super) fn remove_request(&mut self, id: RequestId) -> bool {
        let Some(request) = self.requests.remove(&id) else { return false };
        self.timers.remove(&(request.next_timer, id));
        self.limits.release(&request.profile.account, request.profile.cost());
        true
    }

    pub(super) fn on_withdrawn(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Action>) {
        self.stop_attempt(now, id, None, true, out);
        self.remove_request(id);
    }

    /// Cancels the attempts of repeatable requests on engines that have fallen silent and retries
    /// them, instead of waiting for their timeouts. Other requests keep waiting, because a retry
    /// could run them twice.
    pub(super) fn retry_attempts_on_silent_engines(
        &mut self,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) {
        for attempt in self.endpoints.attempts_on_silent_engines(now) {
            let id = self.attempts.get(&attempt).copied();
            let request = id.and_then(|id| self.requests.get(&id));
            let Some(Request { stage: Stage::Running(running), profile, .. }) = request else {
                continue;
            };
            if running.attempt == attempt && profile.repeatable {
                let endpoint = running.endpoint.clone();
                out.push(Action::Cancel { attempt, endpoint });
                self.on_attempt_end(now, attempt, AttemptEnd::Broken, out);
            }
        }
    }

    /// Ends and retries the attempts and reservations that hold memory on engines, because the
    /// engines may have freed it.
    pub(super) fn end_attempts_with_held_memory(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let holds = |request: &Request| match &request.stage {
            Stage::Running(running) => !running.held.is_empty(),
            Stage::Reserving(group) => !group.held.is_empty(),
            _ => false,
        };
        let holding = self.requests.iter().filter(|(_, request)| holds(request));
        let holding: Vec<RequestId> = holding.map(|(id, _)| *id).collect();
        for id in holding {
            let Some(request) = self.requests.get_mut(&id) else { continue };
            if matches!(request.stage, Stage::Running(_)) {
                request.run_state = request.run_state.max(RunState::MayHaveRun);
            }
            self.stop_attempt(now, id, None, true, out);
            self.schedule_retry(now, id, AttemptEnd::Broken, out);
        }
    }
}
