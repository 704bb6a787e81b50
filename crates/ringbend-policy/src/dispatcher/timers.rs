//! The timer of each request: deadline, retry delay, first token and idle timeouts.

use std::time::Duration;

use ringbend_types::{RequestId, RunState, Timestamp};

use super::{Dispatcher, Stage};
use crate::event::{Action, AttemptEnd, FailureCode};

impl Dispatcher {
    pub(super) fn set_timer(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let idle = Duration::from_millis(request.profile.settings.timeouts.idle_ms);
        let due = match &request.stage {
            Stage::Claiming | Stage::Queued => Timestamp::NEVER,
            Stage::Backoff { until } => *until,
            Stage::Reserving(g) if g.pending => Timestamp::NEVER,
            Stage::Reserving(g) => g.retry_at,
            Stage::Running(r) if r.got_first_token => r.last_progress + idle,
            Stage::Running(r) => r.first_token_deadline,
        };
        let due = due.min(request.profile.deadline);
        if due != request.next_timer {
            self.timers.remove(&(request.next_timer, id));
            request.next_timer = due;
            self.timers.insert((due, id));
        }
    }

    pub(super) fn run_due_timers(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        while let Some((due, id)) = self.timers.first().copied() {
            if due > now {
                return;
            }
            self.set_timer(id);
            let moved = self.requests.get(&id).is_none_or(|r| r.next_timer > now);
            if !moved {
                self.on_timer(now, id, out);
            }
            if self.timers.contains(&(due, id)) {
                self.timers.remove(&(due, id));
            }
        }
    }

    pub(super) fn on_timer(&mut self, now: Timestamp, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        if now >= request.profile.deadline {
            if matches!(request.stage, Stage::Running(_)) {
                request.run_state = request.run_state.max(RunState::MayHaveRun);
            }
            let wait = self.requests.get(&id).map(|r| self.estimated_queue_time(&r.profile));
            self.stop_attempt(now, id, None, true, out);
            return self.fail(id, FailureCode::DeadlineExceeded, wait, out);
        }
        match &request.stage {
            Stage::Backoff { .. } => self.enqueue(now, id),
            Stage::Reserving(_) => self.continue_reservation(now, id, out),
            Stage::Running(running) => {
                let (attempt, endpoint) = (running.attempt, running.endpoint.clone());
                if !running.got_first_token && self.endpoints.is_busy(now, &endpoint) {
                    return self.extend_first_token_deadline(now, id);
                }
                out.push(Action::Cancel { attempt, endpoint });
                self.on_attempt_end(now, attempt, AttemptEnd::Broken, out);
            }
            Stage::Claiming | Stage::Queued => {}
        }
    }

    /// Extends the wait for the first token: the engine is alive and busy with other requests, and
    /// moving this one elsewhere would lose the work already done for it.
    pub(super) fn extend_first_token_deadline(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let extension = Duration::from_millis(request.profile.settings.timeouts.first_token_ms);
        if let Stage::Running(running) = &mut request.stage {
            running.first_token_deadline = now + extension;
        }
        self.set_timer(id);
    }
}
