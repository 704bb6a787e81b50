//! What one request does after each of its sends: send again, pass on or give up.

use std::time::Duration;

use ringbend_types::{EndpointId, RunState, ServiceName, Timestamp};
use smallvec::SmallVec;

use crate::retry_budget::RetryBudget;
use crate::snapshot::RepeatPolicy;

/// How a send ended without the whole answer that was hoped for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendOutcome {
    /// No byte of the request left this instance.
    NotSent,
    /// The endpoint says that it did not run the request.
    NotRun,
    /// Bytes left, and no answer says what came of them.
    Unknown,
    /// The endpoint ran the request and answered with a failure.
    FailedAnswer,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NextStep {
    /// Send the request to another endpoint.
    Retry,
    /// Pass the endpoint's failure on to the caller.
    ForwardFailure,
    /// End it; the caller hears which of the three words holds.
    GiveUp(RunState),
}

/// Sends that provably ran nothing do not count as runs, but there is an end to them. While the list
/// of endpoints lags, a prompt that many engines read meets one that leaves after the other.
const MAX_IDLE_SENDS: u8 = 8;

/// The sends of one request so far.
#[derive(Debug, Clone)]
pub struct Attempts {
    repeat: RepeatPolicy,
    max_runs: u8,
    deadline: Timestamp,
    runs: u8,
    idle_sends: u8,
    tried: SmallVec<[EndpointId; 4]>,
}

impl Attempts {
    /// A request that may run on `max_runs` endpoints and must end by `deadline`.
    pub fn new(repeat: RepeatPolicy, max_runs: u8, deadline: Timestamp) -> Self {
        let tried = SmallVec::new();
        Self { repeat, max_runs: max_runs.max(1), deadline, runs: 0, idle_sends: 0, tried }
    }

    /// When the request must have ended.
    pub fn deadline(&self) -> Timestamp {
        self.deadline
    }

    /// The time left.
    pub fn remaining(&self, now: Timestamp) -> Duration {
        self.deadline.since(now)
    }

    /// Endpoints that this request was sent to.
    pub fn tried(&self) -> &[EndpointId] {
        &self.tried
    }

    /// What a caller would be told if the request ended now.
    pub fn run_state(&self) -> RunState {
        if self.runs == 0 { RunState::NotRun } else { RunState::MayHaveRun }
    }

    /// Notes that the request is about to be sent to `endpoint`.
    pub fn record_send(&mut self, endpoint: &EndpointId) {
        self.tried.push(endpoint.clone());
    }

    /// Decides what follows a send that ended. A repeat is taken out of `budget`, unless nothing
    /// had reached an endpoint yet.
    pub fn record_outcome(
        &mut self,
        now: Timestamp,
        end: SendOutcome,
        service: &ServiceName,
        budget: &mut RetryBudget,
    ) -> NextStep {
        match end {
            SendOutcome::NotSent | SendOutcome::NotRun => self.idle_sends += 1,
            SendOutcome::Unknown | SendOutcome::FailedAnswer => self.runs += 1,
        }
        let may_send = self.may_send_again() && now < self.deadline;
        if may_send && (end == SendOutcome::NotSent || budget.take(now, service)) {
            return NextStep::Retry;
        }
        match end {
            SendOutcome::FailedAnswer => NextStep::ForwardFailure,
            _ => NextStep::GiveUp(self.run_state()),
        }
    }

    /// Notes that a send was broken off here: what came of it is not known.
    pub fn record_aborted(&mut self) {
        self.runs += 1;
    }

    /// Whether a run that has been silent for long is given up for another one. If not, it is waited
    /// for: silence alone is no reason to end an answer.
    pub fn replace_silent(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        budget: &mut RetryBudget,
    ) -> bool {
        self.runs_again(now, || budget.take(now, service))
    }

    /// Whether another run is begun beside one that is overdue. It counts as if the first one had been
    /// replaced.
    pub fn begin_hedge(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        budget: &mut RetryBudget,
    ) -> bool {
        self.runs_again(now, || budget.take_for_hedge(now, service))
    }

    /// Whether there is another run before the first one's end is known; notes it if `take` has one.
    fn runs_again(&mut self, now: Timestamp, take: impl FnOnce() -> bool) -> bool {
        let may = self.repeat.may_repeat() && self.may_run_again() && now < self.deadline;
        let runs = may && take();
        self.runs += u8::from(runs);
        runs
    }

    /// Whether a run whose end is unknown may be followed by another.
    pub fn may_run_again(&self) -> bool {
        self.runs + 1 < self.max_runs
    }

    fn may_send_again(&self) -> bool {
        let repeat_allowed = self.runs == 0 || self.repeat.may_repeat();
        repeat_allowed && self.runs < self.max_runs && self.idle_sends <= MAX_IDLE_SENDS
    }
}
