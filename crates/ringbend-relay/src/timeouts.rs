//! Timeouts of silent endpoints, and the events that end the wait for a response.

use std::time::Duration;

use ringbend_gateway::Endpoint;
use ringbend_types::Timestamp;

use crate::active_request::ActiveRequest;
use crate::exchange::ExchangeError;
use crate::node::TrackedSend;

/// Shortest silence of a plain endpoint that counts as a failure. Its calls take 60 ms on average
/// and seldom more than 450 ms.
const PLAIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(800);

/// Shortest silence before a stream's first event that counts as a failure. Callers give up after
/// two seconds at the earliest.
const FIRST_EVENT_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Multiple of the expected time to the first event that counts as a failure.
const EXPECTED_FACTOR: u32 = 4;

/// A prompt that takes one engine longer to prefill is not run again because of silence: the second
/// prefill costs all other requests more than waiting costs this one.
const MAX_RERUN_PREFILL: Duration = Duration::from_millis(400);

impl ActiveRequest {
    /// When the silence of a send counts as a failure, given the expected time to its first event:
    /// at the deadline, or earlier if the request may be run again or memory is reserved for it.
    pub(crate) fn silence_deadline(&self, tracked: &TrackedSend, expected: Duration) -> Timestamp {
        let deadline = self.attempts.deadline();
        let deadline = match &tracked.memory {
            Some(memory) => deadline.min(memory.unused_until),
            None => deadline,
        };
        if !self.may_rerun() {
            return deadline;
        }
        let min_silence = if self.config.route.streaming {
            FIRST_EVENT_SILENCE_TIMEOUT
        } else {
            PLAIN_SILENCE_TIMEOUT
        };
        let limit =
            (self.config.route.target_latency * 2).max(min_silence).max(expected * EXPECTED_FACTOR);
        deadline.min(self.node.clock.now() + limit)
    }

    /// Whether silence may be a reason to run the request again.
    pub(crate) fn may_rerun(&self) -> bool {
        let may_repeat = self.config.route.repeat.may_repeat() && self.attempts.may_run_again();
        may_repeat && !self.is_too_long_to_rerun()
    }

    /// Whether the prefill takes too long for a rerun that is justified by silence alone.
    pub(crate) fn is_too_long_to_rerun(&self) -> bool {
        self.prefill_time() > MAX_RERUN_PREFILL
    }

    /// Waits until `silence_deadline`, and then until the request's deadline if no other run can
    /// replace this one. The run has been silent since `silent_since`.
    pub(crate) async fn wait_or_replace<T>(
        &mut self,
        dependencies: &[Endpoint],
        silent_since: Timestamp,
        silence_deadline: Timestamp,
        work: impl Future<Output = Result<T, ExchangeError>>,
    ) -> Result<T, RunError> {
        let mut work = std::pin::pin!(work);
        let deadline = self.attempts.deadline();
        if silence_deadline < deadline {
            match self.run_until(dependencies, silent_since, silence_deadline, &mut work).await {
                Err(RunError::Late) if self.replace_silent() => return Err(RunError::Replaced),
                Err(RunError::Late) => {}
                done => return done,
            }
        }
        self.run_until(dependencies, silent_since, deadline, work).await
    }

    /// Whether a send is cancelled when its request becomes held. A response that is already
    /// streaming continues: if it completes, it clears a request that was held by mistake.
    fn is_cancelled_when_held(&self) -> bool {
        !self.is_trial && self.streaming_since.is_none()
    }

    /// Decides whether another send replaces a silent one, and charges it to the retry budget if
    /// so. Once it is too late for another send, only the silent one can still respond.
    fn replace_silent(&mut self) -> bool {
        if self.is_too_late_to_send() {
            return false;
        }
        let now = self.node.clock.now();
        let budget = &mut self.node.budget.borrow_mut();
        self.attempts.replace_silent(now, &self.config.service.name, budget)
    }

    /// Charges a hedge to the retry budget. Returns false if the budget does not allow it.
    pub(crate) fn begin_hedge(&mut self) -> bool {
        let now = self.node.clock.now();
        let budget = &mut self.node.budget.borrow_mut();
        self.attempts.begin_hedge(now, &self.config.service.name, budget)
    }

    /// Waits until `until`, until the process of an endpoint that the work depends on has ended, or
    /// until the engine that the request was sent to counts as lost. That is the first endpoint. The
    /// run has been silent since `silent_since`.
    ///
    /// Cancel safe: once the work is done, nothing else is waited for that could lose its result.
    pub(crate) async fn run_until<T>(
        &self,
        dependencies: &[Endpoint],
        silent_since: Timestamp,
        until: Timestamp,
        work: impl Future<Output = Result<T, ExchangeError>>,
    ) -> Result<T, RunError> {
        let lead = dependencies.first().filter(|_| self.config.service.engine.is_some());
        let lost = async {
            match lead {
                Some(lead) => {
                    // The other engines hold memory for this run.
                    let holds_memory = dependencies.len() > 1;
                    self.node.wait_until_lost(lead, silent_since, holds_memory).await
                }
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            done = work => done.map_err(RunError::Exchange),
            () = self.node.clock.sleep_until(until) => Err(RunError::Late),
            () = self.node.wait_until_ended(dependencies) => Err(RunError::Ended),
            () = lost => Err(RunError::Lost),
            () = self.node.wait_until_held(&self.original.keys), if self.is_cancelled_when_held() => {
                Err(RunError::Held)
            }
        }
    }
}

/// Why a run was interrupted.
#[derive(Debug)]
pub(crate) enum RunError {
    /// The exchange failed.
    Exchange(ExchangeError),
    /// The endpoint was silent for too long and another one replaces it.
    Replaced,
    /// The time limit was reached.
    Late,
    /// The process of the endpoint, or of one that it depends on, has ended.
    Ended,
    /// The engine does not respond to anything.
    Lost,
    /// The request is now held, as it crashes endpoints.
    Held,
}

impl RunError {
    pub(crate) fn is_unsent(&self) -> bool {
        matches!(self, Self::Exchange(e) if e.is_unsent())
    }
}

impl std::fmt::Display for RunError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Exchange(e) => e.fmt(f),
            Self::Replaced => write!(f, "no response for too long; replaced by another run"),
            Self::Late => write!(f, "time limit reached"),
            Self::Ended => write!(f, "the endpoint's process has ended"),
            Self::Lost => write!(f, "the engine is lost"),
            Self::Held => write!(f, "the request is held because it crashes endpoints"),
        }
    }
}
