//! The baseline that Ringbend is measured against: a plain router that sends every request to an
//! endpoint immediately, by default round robin, and retries immediately on any failure. It has no
//! limits, claims, priorities or memory accounting.

use std::collections::BTreeMap;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use ringbend_platform::{EndpointEntry, LoadReport};
use ringbend_settings::configs::{ChoiceKind, RoutingConfig};
use ringbend_types::{
    AttemptId, EndpointId, IdGenerator, Incarnation, RequestId, RunState, Seed, Timestamp,
};
use smallvec::SmallVec;

use crate::choice::{Candidate, EndpointChoice, choice_for};
use crate::event::{Action, AttemptEnd, Dispatch, Event, FailureCode, Policy, RequestEnd};
use crate::profile::RequestProfile;

/// Attempts after which the baseline gives up.
const MAX_ATTEMPTS: u32 = 10;

/// Prefill rate assumed for every engine, in tokens per second.
const ASSUMED_RATE: f64 = 20_000.0;

/// Random stream number of the baseline within a process.
const RANDOM_STREAM: u64 = 3;

#[derive(Debug, Clone)]
struct OpenRequest {
    profile: RequestProfile,
    attempt: AttemptId,
    endpoint: EndpointId,
    attempts: u32,
}

/// The baseline router.
pub struct NaivePolicy {
    ids: IdGenerator,
    rng: ChaCha8Rng,
    choice: Box<dyn EndpointChoice>,
    endpoints: Vec<EndpointEntry>,
    reports: BTreeMap<EndpointId, LoadReport>,
    open: BTreeMap<RequestId, OpenRequest>,
    attempts: BTreeMap<AttemptId, RequestId>,
}

impl NaivePolicy {
    /// Creates a router that knows no endpoints yet.
    pub fn new(incarnation: Incarnation, choice: ChoiceKind, seed: Seed) -> Self {
        let routing = RoutingConfig { choice, ..RoutingConfig::default() };
        Self {
            ids: IdGenerator::new(incarnation),
            rng: seed.rng(RANDOM_STREAM),
            choice: choice_for(&routing),
            endpoints: Vec::new(),
            reports: BTreeMap::new(),
            open: BTreeMap::new(),
            attempts: BTreeMap::new(),
        }
    }

    fn candidates(&self, profile: &RequestProfile) -> Vec<Candidate> {
        let serving = self.endpoints.iter().filter(|e| e.service == profile.service);
        serving
            .map(|entry| {
                let own = self.open.values().filter(|o| o.endpoint == entry.id);
                let backlog = self.reports.get(&entry.id).map_or(0, |r| r.prefill_backlog.0);
                Candidate {
                    endpoint: entry.id.clone(),
                    predicted_ttft: Duration::from_secs_f64(backlog as f64 / ASSUMED_RATE),
                    outstanding: own.count() as u32,
                }
            })
            .collect()
    }

    fn send(&mut self, profile: RequestProfile, attempts: u32, out: &mut Vec<Action>) {
        let id = profile.id;
        let candidates = self.candidates(&profile);
        let chosen = self.choice.choose(&candidates, profile.prefix, &mut self.rng);
        let (Some(chosen), true) = (chosen, attempts < MAX_ATTEMPTS) else {
            let code = FailureCode::EndpointFailed;
            let run_state = RunState::NotRun;
            let end = RequestEnd::Failed { code, run_state, retry_after: None };
            out.push(Action::Finish { request: id, end });
            return;
        };
        let endpoint = candidates[chosen].endpoint.clone();
        let attempt = self.ids.next_attempt_id();
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
        self.open.insert(id, OpenRequest { profile, attempt, endpoint, attempts: attempts + 1 });
    }

    fn on_attempt_end(&mut self, attempt: AttemptId, end: AttemptEnd, out: &mut Vec<Action>) {
        let Some(id) = self.attempts.remove(&attempt) else { return };
        let Some(open) = self.open.remove(&id) else { return };
        if end == AttemptEnd::Complete {
            out.push(Action::Finish { request: id, end: RequestEnd::Answered });
        } else {
            self.send(open.profile, open.attempts, out);
        }
    }

    fn fail_expired(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        let expired = self.open.iter().filter(|(_, open)| open.profile.deadline <= now);
        let expired: Vec<RequestId> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            self.withdraw(id, out);
            let code = FailureCode::DeadlineExceeded;
            let run_state = RunState::MayHaveRun;
            let end = RequestEnd::Failed { code, run_state, retry_after: None };
            out.push(Action::Finish { request: id, end });
        }
    }

    fn withdraw(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(open) = self.open.remove(&id) {
            self.attempts.remove(&open.attempt);
            out.push(Action::Cancel { attempt: open.attempt, endpoint: open.endpoint });
        }
    }
}

impl Policy for NaivePolicy {
    fn handle(&mut self, now: Timestamp, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        match event {
            Event::Endpoints(entries) if self.endpoints.is_empty() => self.endpoints = entries,
            Event::Load { endpoint, report, .. } => {
                self.reports.insert(endpoint, report);
            }
            Event::Arrived(profile) => {
                out.push(Action::Admitted(profile.id));
                self.send(profile, 0, &mut out);
            }
            Event::Withdrawn(id) => self.withdraw(id, &mut out),
            Event::Ended { attempt, end } => self.on_attempt_end(attempt, end, &mut out),
            Event::Tick => self.fail_expired(now, &mut out),
            _ => {}
        }
        out
    }

    fn next_wakeup(&self) -> Timestamp {
        self.open.values().map(|o| o.profile.deadline).min().unwrap_or(Timestamp::NEVER)
    }
}
