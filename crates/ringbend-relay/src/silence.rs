//! How long the silence of an endpoint is borne, and what ends a wait for it.

use std::time::Duration;

use ringbend_gateway::Endpoint;
use ringbend_types::Timestamp;

use crate::exchange::ExchangeError;
use crate::life::Life;
use crate::node::Placed;

/// The shortest silence of a plain endpoint that counts as a failure; its calls take 60 ms on
/// average and seldom over 450.
const PLAIN_SILENCE: Duration = Duration::from_millis(800);

/// The shortest silence before a stream's first event that counts as a failure. Callers give up
/// after two seconds at the earliest.
const FIRST_EVENT_SILENCE: Duration = Duration::from_millis(1_300);

/// How many times the expected time to the first event counts as a failure.
const EXPECTED_FACTOR: u32 = 4;

/// Prompts that one engine would read for longer are not read a second time because of silence: it
/// costs all others more than waiting costs this one.
const MOST_READ_TWICE: Duration = Duration::from_millis(400);

impl Life {
    /// When silence counts as a failure of a send whose first event is expected after `expected`: at
    /// the deadline, or sooner where the request may be run again or memory is held for it.
    pub(crate) fn silence_limit(&self, placed: &Placed, expected: Duration) -> Timestamp {
        let deadline = self.attempts.deadline();
        let deadline = match &placed.memory {
            Some(memory) => deadline.min(memory.unused_until),
            None => deadline,
        };
        if !self.may_run_twice() {
            return deadline;
        }
        let least = if self.terms.route.streaming { FIRST_EVENT_SILENCE } else { PLAIN_SILENCE };
        let limit = (self.terms.route.aim * 2).max(least).max(expected * EXPECTED_FACTOR);
        deadline.min(self.node.clock.now() + limit)
    }

    /// Whether silence may be a reason for another run.
    pub(crate) fn may_run_twice(&self) -> bool {
        let may_repeat = self.terms.route.repeat.may_repeat() && self.attempts.may_run_again();
        may_repeat && !self.is_long_to_read_twice()
    }

    /// Whether the prompt takes so long to read that silence alone is no reason for another run.
    pub(crate) fn is_long_to_read_twice(&self) -> bool {
        self.read_time() > MOST_READ_TWICE
    }

    /// Waits until `by`, and until the deadline if no other run can take this one's place.
    pub(crate) async fn patient<T>(
        &mut self,
        on: &[Endpoint],
        by: Timestamp,
        work: impl Future<Output = Result<T, ExchangeError>>,
    ) -> Result<T, Broken> {
        let mut work = std::pin::pin!(work);
        let deadline = self.attempts.deadline();
        if by < deadline {
            match self.timed(on, by, &mut work).await {
                Err(Broken::Late) if self.replace_silent() => return Err(Broken::Replaced),
                Err(Broken::Late) => {}
                done => return done,
            }
        }
        self.timed(on, deadline, work).await
    }

    /// Whether a send ends once its request is held. A stream that is being written goes on: if it ends well, it
    /// clears a request that was held by mistake.
    fn may_be_broken_off(&self) -> bool {
        !self.is_try && self.writes_since.is_none()
    }

    /// Whether a silent send is left for another one. Where none may be sent any more, the silent one is all that its
    /// caller can get.
    fn replace_silent(&mut self) -> bool {
        if self.is_past_last_send() {
            return false;
        }
        let now = self.node.clock.now();
        let budget = &mut self.node.budget.borrow_mut();
        self.attempts.replace_silent(now, &self.terms.service.name, budget)
    }

    /// Takes a second run beside the first out of the budget of repeats, if there may be one.
    pub(crate) fn run_beside(&mut self) -> bool {
        let now = self.node.clock.now();
        let budget = &mut self.node.budget.borrow_mut();
        self.attempts.begin_hedge(now, &self.terms.service.name, budget)
    }

    /// Waits until `by` or until the process of an endpoint that the work depends on has ended. The first of those is
    /// the one that it was sent to.
    pub(crate) async fn timed<T>(
        &self,
        on: &[Endpoint],
        by: Timestamp,
        work: impl Future<Output = Result<T, ExchangeError>>,
    ) -> Result<T, Broken> {
        let done = tokio::select! {
            biased;
            done = work => done.map_err(Broken::Exchange),
            () = self.node.clock.sleep_until(by) => Err(Broken::Late),
            () = self.node.ended(on) => Err(Broken::Ended),
            () = self.node.held(self.origin.fingerprint), if self.may_be_broken_off() => {
                Err(Broken::Held)
            }
        };
        if let (Err(why), Some(lead)) = (&done, on.first()) {
            self.find_cause(lead, why).await;
        }
        done
    }
}

/// Why an exchange was cut short.
#[derive(Debug)]
pub(crate) enum Broken {
    /// It broke.
    Exchange(ExchangeError),
    /// The endpoint was silent for long and another one takes its place.
    Replaced,
    /// The time is up.
    Late,
    /// The endpoint's process has ended, or that of one that it depends on.
    Ended,
    /// The request is held now, as it ends endpoints.
    Held,
}

impl Broken {
    pub(crate) fn nothing_sent(&self) -> bool {
        matches!(self, Self::Exchange(e) if e.nothing_sent())
    }
}

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Exchange(e) => e.fmt(f),
            Self::Replaced => write!(f, "silent for long, replaced"),
            Self::Late => write!(f, "the time is up"),
            Self::Ended => write!(f, "the endpoint has ended"),
            Self::Held => write!(f, "the request ends endpoints"),
        }
    }
}
