//! The one timer of each request.

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
            Stage::Waiting { until } => *until,
            Stage::Collecting(c) if c.asking => Timestamp::NEVER,
            Stage::Collecting(c) => c.retry_at,
            Stage::Running(r) if r.started => r.last_progress + idle,
            Stage::Running(r) => r.first_token_by,
        };
        let due = due.min(request.profile.deadline);
        if due != request.timer {
            self.timers.remove(&(request.timer, id));
            request.timer = due;
            self.timers.insert((due, id));
        }
    }

    pub(super) fn fire_timers(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        while let Some((due, id)) = self.timers.first().copied() {
            if due > now {
                return;
            }
            self.set_timer(id);
            let moved = self.requests.get(&id).is_none_or(|r| r.timer > now);
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
                request.ran = request.ran.max(RunState::MayHaveRun);
            }
            let wait = self.requests.get(&id).map(|r| self.queue_time(&r.profile));
            self.stop_attempt(now, id, None, true, out);
            return self.fail(id, FailureCode::DeadlineExceeded, wait, out);
        }
        match &request.stage {
            Stage::Waiting { .. } => self.enqueue(now, id),
            Stage::Collecting(_) => self.collect(now, id, out),
            Stage::Running(running) => {
                let (attempt, endpoint) = (running.attempt, running.endpoint.clone());
                if !running.started && self.endpoints.is_busy(now, &endpoint) {
                    return self.wait_longer(now, id);
                }
                out.push(Action::Cancel { attempt, endpoint });
                self.ended(now, attempt, AttemptEnd::Broken, out);
            }
            Stage::Claiming | Stage::Queued => {}
        }
    }

    /// The engine lives and has others to serve first: what it has done for this request would be
    /// lost by going elsewhere.
    pub(super) fn wait_longer(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let patience = Duration::from_millis(request.profile.settings.timeouts.first_token_ms);
        if let Stage::Running(running) = &mut request.stage {
            running.first_token_by = now + patience;
        }
        self.set_timer(id);
    }
}
