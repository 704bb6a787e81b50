//! Retry decisions for a single request: after each send, retry, forward the failure or give up.

use std::time::Duration;

use ringbend_types::{EndpointId, RunState, ServiceName, Timestamp};
use smallvec::SmallVec;

use crate::priorities::Rank;
use crate::retry_budget::RetryBudget;
use crate::snapshot::RepeatPolicy;

/// Outcome of a send that did not produce a complete response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// No byte of the request was sent.
    NotSent,
    /// The endpoint reported that it did not run the request.
    NotRun,
    /// Bytes were sent, but no response tells whether the request ran.
    Unknown,
    /// The endpoint ran the request and returned an error response.
    FailedAnswer,
}

/// The action to take after a send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Retry on another endpoint.
    Retry,
    /// Forward the endpoint's error response to the caller.
    ForwardFailure,
    /// Fail the request and report this run state to the caller.
    GiveUp(RunState),
}

/// Upper bound on sends that provably did not run the request. They do not count as runs. While the
/// endpoint list is stale, a prompt that many engines read can hit several leaving engines in a
/// row.
const MAX_UNRUN_SENDS: u8 = 8;

/// The sends of one request and the state that decides whether it may be retried.
#[derive(Debug, Clone)]
pub struct Attempts {
    repeat: RepeatPolicy,
    max_runs: u8,
    deadline: Timestamp,
    rank: Rank,
    since: Timestamp,
    runs: u8,
    unrun_sends: u8,
    tried: SmallVec<[EndpointId; 4]>,
}

impl Attempts {
    /// Creates the state of a request that may run on `max_runs` endpoints and must end by
    /// `deadline`.
    pub fn new(repeat: RepeatPolicy, max_runs: u8, deadline: Timestamp) -> Self {
        let (rank, since, tried) = (Rank::MOST_URGENT, Timestamp::default(), SmallVec::new());
        let max_runs = max_runs.max(1);
        Self { repeat, max_runs, deadline, rank, since, runs: 0, unrun_sends: 0, tried }
    }

    /// Sets the rank of the request, which arrived at `since`. It rises with time.
    pub fn with_rank(self, rank: Rank, since: Timestamp) -> Self {
        Self { rank, since, ..self }
    }

    /// The deadline of the request.
    pub fn deadline(&self) -> Timestamp {
        self.deadline
    }

    /// The time left until the deadline.
    pub fn remaining(&self, now: Timestamp) -> Duration {
        self.deadline.since(now)
    }

    /// The endpoints to which this request was sent.
    pub fn tried(&self) -> &[EndpointId] {
        &self.tried
    }

    /// The run state that is reported to the caller if the request fails now.
    pub fn run_state(&self) -> RunState {
        if self.runs == 0 { RunState::NotRun } else { RunState::MayHaveRun }
    }

    /// Records that the request is about to be sent to `endpoint`.
    pub fn record_send(&mut self, endpoint: &EndpointId) {
        self.tried.push(endpoint.clone());
    }

    /// Records the outcome of a send and decides what to do next. A retry is charged to `budget`,
    /// unless no byte of the request was sent.
    pub fn record_outcome(
        &mut self,
        now: Timestamp,
        outcome: SendOutcome,
        service: &ServiceName,
        budget: &mut RetryBudget,
    ) -> NextStep {
        match outcome {
            SendOutcome::NotSent | SendOutcome::NotRun => self.unrun_sends += 1,
            SendOutcome::Unknown | SendOutcome::FailedAnswer => self.runs += 1,
        }
        let may_send = self.may_send_again() && now < self.deadline;
        if may_send
            && (outcome == SendOutcome::NotSent || budget.take(now, service, self.rank_at(now)))
        {
            return NextStep::Retry;
        }
        match outcome {
            SendOutcome::FailedAnswer => NextStep::ForwardFailure,
            _ => NextStep::GiveUp(self.run_state()),
        }
    }

    /// Records that this instance aborted a send; whether the request ran is unknown.
    pub fn record_aborted(&mut self) {
        self.runs += 1;
    }

    /// Whether a run that has been silent for long is abandoned in favour of another run. If not,
    /// the caller keeps waiting for it: silence alone does not end a response.
    pub fn replace_silent(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        budget: &mut RetryBudget,
    ) -> bool {
        let rank = self.rank_at(now);
        self.begin_another_run(now, || budget.take(now, service, rank))
    }

    /// Whether to start a hedged run beside one that is overdue. It counts as a run, as if it
    /// replaced the first one.
    pub fn begin_hedge(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        budget: &mut RetryBudget,
    ) -> bool {
        let rank = self.rank_at(now);
        self.begin_another_run(now, || budget.take_for_hedge(now, service, rank))
    }

    /// Whether another run may start before the outcome of the first one is known. Records the run
    /// if `take` obtains a retry.
    fn begin_another_run(&mut self, now: Timestamp, take: impl FnOnce() -> bool) -> bool {
        let may_run = self.repeat.may_repeat() && self.may_run_again() && now < self.deadline;
        let runs = may_run && take();
        self.runs += u8::from(runs);
        runs
    }

    fn rank_at(&self, now: Timestamp) -> Rank {
        self.rank.aged(now.since(self.since), self.deadline.since(self.since))
    }

    /// Whether a run with an unknown outcome may be followed by another one.
    pub fn may_run_again(&self) -> bool {
        self.runs + 1 < self.max_runs
    }

    fn may_send_again(&self) -> bool {
        let repeat_allowed = self.runs == 0 || self.repeat.may_repeat();
        repeat_allowed && self.runs < self.max_runs && self.unrun_sends <= MAX_UNRUN_SENDS
    }
}
