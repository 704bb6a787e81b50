//! The plain router that Ringbend is measured against: every request goes at once to the next
//! endpoint in turn, and is tried again at once on any failure.

use std::collections::BTreeMap;

use ringbend_platform::EndpointEntry;
use ringbend_types::{AttemptId, EndpointId, IdMint, Incarnation, RequestId, RunState, Timestamp};
use smallvec::SmallVec;

use crate::event::{Action, AttemptEnd, Dispatch, Event, FailureCode, Policy, RequestEnd};
use crate::profile::RequestProfile;

/// Attempts before the naive router gives up.
const MAX_ATTEMPTS: u32 = 10;

#[derive(Debug, Clone)]
struct Open {
    profile: RequestProfile,
    attempt: AttemptId,
    endpoint: EndpointId,
    attempts: u32,
}

/// Round robin, retry on any error, no limits, no claims, no bound but the deadline.
#[derive(Debug, Clone)]
pub struct NaivePolicy {
    mint: IdMint,
    endpoints: Vec<EndpointEntry>,
    next: usize,
    open: BTreeMap<RequestId, Open>,
    attempts: BTreeMap<AttemptId, RequestId>,
}

impl NaivePolicy {
    /// A router that knows no endpoints yet.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            mint: IdMint::new(incarnation),
            endpoints: Vec::new(),
            next: 0,
            open: BTreeMap::new(),
            attempts: BTreeMap::new(),
        }
    }

    fn send(&mut self, profile: RequestProfile, attempts: u32, out: &mut Vec<Action>) {
        let id = profile.id;
        let fits: Vec<&EndpointEntry> = self
            .endpoints
            .iter()
            .filter(|e| e.service == profile.service)
            .collect();
        if fits.is_empty() || attempts >= MAX_ATTEMPTS {
            let code = FailureCode::EndpointFailed;
            let run_state = RunState::NotRun;
            let end = RequestEnd::Failed {
                code,
                run_state,
                retry_after: None,
            };
            out.push(Action::Finish { request: id, end });
            return;
        }
        self.next += 1;
        let endpoint = fits[self.next % fits.len()].id.clone();
        let attempt = self.mint.attempt();
        out.push(Action::Dispatch(Dispatch {
            request: id,
            attempt,
            endpoint: endpoint.clone(),
            held: SmallVec::new(),
            priority: 0,
            resume_from: 0,
            number: attempts + 1,
        }));
        self.attempts.insert(attempt, id);
        self.open.insert(
            id,
            Open {
                profile,
                attempt,
                endpoint,
                attempts: attempts + 1,
            },
        );
    }

    fn ended(&mut self, attempt: AttemptId, end: AttemptEnd, out: &mut Vec<Action>) {
        let Some(id) = self.attempts.remove(&attempt) else {
            return;
        };
        let Some(open) = self.open.remove(&id) else {
            return;
        };
        if end == AttemptEnd::Complete {
            out.push(Action::Finish {
                request: id,
                end: RequestEnd::Answered,
            });
        } else {
            self.send(open.profile, open.attempts, out);
        }
    }

    fn expire(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let late: Vec<RequestId> = self
            .open
            .iter()
            .filter(|(_, open)| open.profile.deadline <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.withdraw(id, out);
            let code = FailureCode::DeadlineExceeded;
            let run_state = RunState::MayHaveRun;
            let end = RequestEnd::Failed {
                code,
                run_state,
                retry_after: None,
            };
            out.push(Action::Finish { request: id, end });
        }
    }

    fn withdraw(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(open) = self.open.remove(&id) {
            self.attempts.remove(&open.attempt);
            out.push(Action::Cancel {
                attempt: open.attempt,
                endpoint: open.endpoint,
            });
        }
    }
}

impl Policy for NaivePolicy {
    fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Endpoints(entries) if self.endpoints.is_empty() => self.endpoints = entries,
            Event::Arrived(profile) => {
                out.push(Action::Admitted(profile.id));
                self.send(profile, 0, &mut out);
            }
            Event::Withdrawn(id) => self.withdraw(id, &mut out),
            Event::Ended { attempt, end } => self.ended(attempt, end, &mut out),
            Event::Tick => self.expire(now, &mut out),
            _ => {}
        }
        out
    }

    fn next_wakeup(&self) -> Timestamp {
        self.open
            .values()
            .map(|o| o.profile.deadline)
            .min()
            .unwrap_or(Timestamp::NEVER)
    }
}
