//! Admission and waiting.

use std::collections::BTreeSet;
use std::time::Duration;

use ringbend_types::{RequestId, RunState, Timestamp};

use super::{Dispatcher, LOOK_AGAIN, Request, Stage};
use crate::backoff::jittered_retry_after;
use crate::event::{Action, FailureCode};
use crate::limits::LimitVerdict;
use crate::placement::RoomKind;
use crate::profile::RequestProfile;

impl Dispatcher {
    pub(super) fn arrived(
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
        let claim = profile.needs_claim;
        let request = Request {
            timer: profile.deadline,
            profile,
            stage: Stage::Claiming,
            attempts: 0,
            delivered: 0,
            last: None,
            ran: RunState::NotRun,
        };
        self.timers.insert((request.timer, id));
        self.requests.insert(id, request);
        if !claim {
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
        let Some(soonest) = self.endpoints.soonest(now, profile) else {
            return Err((FailureCode::NoEndpoint, Some(Duration::from_secs(1))));
        };
        if !self.endpoints.can_ever_hold(profile) {
            return Err((FailureCode::TooLarge, None));
        }
        let wait = self.queue_time(profile);
        if self.queue.len() >= admission.max_queued as usize {
            return Err((FailureCode::QueueFull, Some(wait)));
        }
        if now + wait + soonest > profile.deadline {
            return Err((FailureCode::DeadlineTooNear, Some(wait)));
        }
        let limits = &profile.settings.limits;
        match self.limits.try_take(now, &profile.account, profile.cost(), limits) {
            LimitVerdict::Within => Ok(()),
            LimitVerdict::Over(wait) => Err((FailureCode::OverLimit, Some(wait))),
        }
    }

    /// How long the requests that go before this one take, at this instance's part of the rate.
    pub(super) fn queue_time(&self, profile: &RequestProfile) -> Duration {
        let before = self.queue.tokens_before(profile.settings.class.priority);
        let rate = self.endpoints.rate(&profile.service) / self.peers.len().max(1) as f64;
        Duration::from_secs_f64((before as f64 / rate.max(1.0)).min(86_400.0))
    }

    pub(super) fn enqueue(&mut self, now: Timestamp, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.stage = Stage::Queued;
        self.queue.push(now, &request.profile);
        self.set_timer(id);
    }

    /// Sends as many waiting requests as find room.
    pub(super) fn pump(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let mut full: BTreeSet<RoomKind> = BTreeSet::new();
        let waiting: Vec<RequestId> = self.queue.iter().collect();
        for id in waiting {
            let Some(request) = self.requests.get(&id) else { continue };
            let kind = self.endpoints.room_kind(&request.profile);
            if full.contains(&kind) {
                continue;
            }
            let placed = match kind {
                RoomKind::Several(_) => self.start_collecting(now, id, out),
                _ => self.place(now, id, out),
            };
            if !placed {
                full.insert(kind);
                if full.len() >= 6 {
                    break;
                }
            }
        }
        let idle = self.queue.len() == 0;
        self.look_at = if idle { Timestamp::NEVER } else { now + LOOK_AGAIN };
    }
}
