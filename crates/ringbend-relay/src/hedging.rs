//! Hedging: a second run of a request whose first event is overdue.
//!
//! The first event of a short prompt may be overdue because its engine is slow, has failed or is
//! prefilling something else. The cause cannot be determined in time. The request is therefore also
//! sent to another engine, provided that this one can still meet the target, and the first response
//! is used. Requests whose engine has just crashed or become slow thus meet their target, where
//! they would otherwise wait for over a second. The cost is a prompt that is prefilled twice; the
//! retry budget bounds how often.

use ringbend_gateway::{SuspectState, hedge_at};
use ringbend_types::Timestamp;

use crate::active_request::{ActiveRequest, SendFailure};
use crate::log_fields::Millis;
use crate::runs::{ResponseStart, Run};
use crate::scheduling::ScheduledSend;
use crate::timeouts::RunError;

impl ActiveRequest {
    /// Waits for a run's response, and starts a hedge if it can meet the target.
    pub(crate) async fn await_first_response(
        &mut self,
        mut run: Run,
    ) -> Result<(Run, ResponseStart), SendFailure> {
        let Some(hedge_time) = self.hedge_at(&run) else { return self.await_response(run).await };
        match self.run_until(&run.dependencies, run.sent, hedge_time, run.started.ended()).await {
            Err(RunError::Late) => {}
            waited => {
                let started = self.settle(&mut run, waited).await?;
                return Ok((run, started));
            }
        }
        let placed = {
            let placing = std::pin::pin!(self.schedule(false));
            let deadline = self.attempts.deadline();
            let first = self.run_until(&run.dependencies, run.sent, deadline, run.started.ended());
            tokio::select! {
                biased;
                waited = first => Err(waited),
                placed = placing => Ok(placed),
            }
        };
        match placed {
            Err(waited) => {
                let started = self.settle(&mut run, waited).await?;
                Ok((run, started))
            }
            Ok(Ok(second))
                if !self.is_suspect()
                    && self.is_hedge_useful(&run, &second)
                    && self.begin_hedge() =>
            {
                match self.start(second, None).await {
                    Ok(second) => self.race(run, second).await,
                    Err(_) => self.await_response(run).await,
                }
            }
            Ok(_) => self.await_response(run).await,
        }
    }

    /// Whether the request is suspected of crashing endpoints, so that it runs on one at a time.
    fn is_suspect(&self) -> bool {
        self.assess().state != SuspectState::Clear
    }

    /// When a hedge is started if there is no response yet; `None` if there will be none.
    fn hedge_at(&self, run: &Run) -> Option<Timestamp> {
        let is_short = self.config.service.engine.is_some() && run.tracked.memory.is_none();
        if !is_short || !self.may_rerun() || self.is_suspect() {
            return None;
        }
        hedge_at(run.sent, run.expected, self.first_event_due())
    }

    /// Whether a hedge is expected to meet the target on another endpoint.
    fn is_hedge_useful(&self, run: &Run, second: &ScheduledSend) -> bool {
        let now = self.node.clock.now();
        let is_in_time = now + second.expected <= self.first_event_due();
        let is_worth_it = is_in_time && second.endpoint.id != run.endpoint.id;
        let waited_ms = Millis(Some(now.since(run.sent)));
        log::info!(
            target: "request", id = self.request_id(), endpoint:% = run.endpoint.id, waited_ms:%,
            expected_ms:% = Millis(Some(run.expected)), other:% = second.endpoint.id,
            other_ms:% = Millis(Some(second.expected)), is_worth_it;
            "first event overdue; considering a hedge"
        );
        is_worth_it
    }

    /// Waits for the first response of two runs.
    async fn race(
        &mut self,
        mut first_run: Run,
        mut second_run: Run,
    ) -> Result<(Run, ResponseStart), SendFailure> {
        let deadline = self.attempts.deadline();
        let (waited, is_second) = {
            let first = self.run_until(
                &first_run.dependencies,
                first_run.sent,
                deadline,
                first_run.started.ended(),
            );
            let second = self.run_until(
                &second_run.dependencies,
                second_run.sent,
                deadline,
                second_run.started.ended(),
            );
            tokio::select! {
                biased;
                waited = first => (waited, false),
                waited = second => (waited, true),
            }
        };
        let (mut run, mut other) =
            if is_second { (second_run, first_run) } else { (first_run, second_run) };
        match run.end(waited) {
            Ok(started) if !started.response.not_run => {
                // The request succeeded, so the end of the other run's endpoint is not attributed
                // to it.
                other.abandon_guard.disarm();
                Ok((run, started))
            }
            Ok(started) => {
                // The request was not run there; the other run continues.
                if let Err(SendFailure::Send(_)) =
                    self.check_response(&run.endpoint, &started.response, started.head.status)
                {
                    drop(run);
                }
                self.await_response(other).await
            }
            // Boxed, as it is rare and would enlarge the task of every request.
            Err(why) => Box::pin(self.await_other(run, &why, other)).await,
        }
    }

    /// Waits for the run that is left, while it is determined whether the endpoint of the other one
    /// crashed.
    async fn await_other(
        &mut self,
        failed: Run,
        why: &RunError,
        mut left: Run,
    ) -> Result<(Run, ResponseStart), SendFailure> {
        let endpoint = failed.endpoint.clone();
        drop(failed);
        let mut check = self.check_for_crash(&endpoint, why);
        let deadline = self.attempts.deadline();
        let waited = tokio::select! {
            biased;
            waited = self.run_until(&left.dependencies, left.sent, deadline, left.started.ended()) => {
                Some(waited)
            }
            () = check.finished() => None,
        };
        let Some(waited) = waited else {
            self.record_run_error(&endpoint, why);
            return self.await_response(left).await;
        };
        let settled = self.settle(&mut left, waited).await;
        if settled.is_err() {
            check.finished().await;
        }
        self.record_run_error(&endpoint, why);
        settled.map(|started| (left, started))
    }
}
