//! Request builders and a test harness for policies.

#![allow(dead_code)]

use std::sync::Arc;
use std::time::Duration;

use ringbend_platform::{EndpointEntry, EndpointKind, EndpointState, LoadReport};
use ringbend_policy::{
    Action, Dispatch, Dispatcher, DispatcherConfig, Event, Policy, RequestEnd, RequestProfile,
};
use ringbend_settings::EffectiveSettings;
use ringbend_types::{AttemptId, EndpointId, Incarnation, RequestId, Seed, Timestamp, TokenCount};

pub(crate) fn seconds(n: u64) -> Timestamp {
    Timestamp::from_millis(n * 1_000)
}

pub(crate) fn endpoint(n: usize) -> EndpointId {
    format!("engine-{n}").parse().unwrap()
}

pub(crate) fn entry(n: usize) -> EndpointEntry {
    EndpointEntry {
        id: endpoint(n),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        data_centre: "dc".parse().unwrap(),
        kind: EndpointKind::Engine,
        service: "assistant".parse().unwrap(),
        checks_fencing: true,
        kv_capacity: TokenCount(400_000),
        state: EndpointState::Live,
    }
}

/// Returns a repeatable request with a thousand prompt tokens and a deadline of one minute.
pub(crate) fn request(id: u64) -> RequestProfile {
    RequestProfile {
        id: RequestId { incarnation: 9, sequence: id },
        account: "peach".parse().unwrap(),
        service: "assistant".parse().unwrap(),
        kind: EndpointKind::Engine,
        prompt_tokens: TokenCount(1_000),
        max_tokens: 10,
        prefix: id,
        deadline: seconds(60),
        repeatable: true,
        needs_claim: false,
        settings: Arc::new(EffectiveSettings::default()),
    }
}

pub(crate) fn with_settings(
    id: u64,
    change: impl FnOnce(&mut EffectiveSettings),
) -> RequestProfile {
    let mut settings = EffectiveSettings::default();
    change(&mut settings);
    RequestProfile { settings: Arc::new(settings), ..request(id) }
}

/// Drives a policy in virtual time and records its actions.
pub(crate) struct Harness {
    pub(crate) policy: Box<dyn Policy>,
    pub(crate) now: Timestamp,
    pub(crate) actions: Vec<Action>,
}

impl Harness {
    pub(crate) fn new(engines: usize) -> Self {
        let dispatcher = Dispatcher::new(DispatcherConfig {
            instance: "instance-1".parse().unwrap(),
            incarnation: Incarnation(1),
            seed: Seed(7),
        });
        Self::with(Box::new(dispatcher), engines)
    }

    pub(crate) fn with(policy: Box<dyn Policy>, engines: usize) -> Self {
        let mut harness = Self { policy, now: Timestamp(0), actions: Vec::new() };
        harness.handle(Event::Endpoints((0..engines).map(entry).collect()));
        harness
    }

    /// Passes an event to the policy and returns the resulting actions.
    pub(crate) fn handle(&mut self, event: Event) -> Vec<Action> {
        let actions = self.policy.handle(self.now, event);
        self.actions.extend(actions.clone());
        actions
    }

    /// Advances the clock, waking the policy whenever it asks for it.
    pub(crate) fn advance(&mut self, time: Duration) -> Vec<Action> {
        let end = self.now + time;
        let mut all = Vec::new();
        while self.policy.next_wakeup() <= end {
            self.now = self.policy.next_wakeup().max(self.now + Duration::from_micros(1));
            all.extend(self.handle(Event::Tick));
        }
        self.now = end;
        all
    }

    pub(crate) fn submit(&mut self, profile: RequestProfile) -> Vec<Action> {
        self.handle(Event::Arrived(profile))
    }

    pub(crate) fn report_idle(&mut self, n: usize) {
        let report = LoadReport {
            running: 0,
            waiting: 0,
            prefill_backlog: TokenCount(0),
            kv_used: TokenCount(0),
            kv_capacity: TokenCount(400_000),
            state: EndpointState::Live,
        };
        let at = self.now;
        self.handle(Event::Load { endpoint: endpoint(n), report, at });
    }
}

pub(crate) fn dispatches(actions: &[Action]) -> Vec<Dispatch> {
    let dispatch = |action: &Action| match action {
        Action::Dispatch(dispatch) => Some(dispatch.clone()),
        _ => None,
    };
    actions.iter().filter_map(dispatch).collect()
}

/// Returns the only dispatch among the actions.
pub(crate) fn dispatch(actions: &[Action]) -> Dispatch {
    match &dispatches(actions)[..] {
        [only] => only.clone(),
        other => panic!("{} dispatches in {actions:?}", other.len()),
    }
}

pub(crate) fn ends(actions: &[Action]) -> Vec<(RequestId, RequestEnd)> {
    let end = |action: &Action| match action {
        Action::Finish { request, end } => Some((*request, end.clone())),
        _ => None,
    };
    actions.iter().filter_map(end).collect()
}

pub(crate) fn cancels(actions: &[Action]) -> Vec<AttemptId> {
    let cancel = |action: &Action| match action {
        Action::Cancel { attempt, .. } => Some(*attempt),
        _ => None,
    };
    actions.iter().filter_map(cancel).collect()
}
