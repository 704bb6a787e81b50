//! Queueing of long prompts until engines are available for them.

use std::rc::Rc;
use std::time::Duration;

use ringbend_gateway::{
    Demand, EngineProfile, Job, QueuedPrompt, Turn, WaitingPrompt, WorkId, decide_turn,
};
use ringbend_types::Timestamp;

use crate::node::Node;
use crate::placement::PlacementError;

/// Maximum time between two checks of busy engines, as an engine may leave in the meantime.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(60);

/// Minimum time between two checks.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(4);

impl Node {
    /// Waits for the request's turn if its prompt is long.
    pub(crate) async fn wait_for_turn(
        self: &Rc<Self>,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
    ) -> Result<(), PlacementError> {
        let Some((engine, demand)) = engine.zip(job.demand) else { return Ok(()) };
        if job.at_once || !self.is_long(job, Some(engine)) {
            return Ok(());
        }
        let started_at = self.clock.now();
        self.register_waiting(id, job, engine, demand);
        let mut passed_over_at: Option<Timestamp> = None;
        let (mut lacked_engines, mut has_yielded) = (false, false);
        loop {
            let now = self.clock.now();
            let passed_over_for = passed_over_at.map_or(Duration::ZERO, |at| now.since(at));
            let claim = QueuedPrompt { id, passed_over_for, goal: job.goal(now, demand) };
            let closed = self.endpoints_without_permit(id, job);
            let turn = self.with_view(job, &closed, |view, candidates| {
                decide_turn(view, &engine, candidates, &claim)
            });
            let poll_interval = match turn {
                Turn::Now => break,
                Turn::TooLate => return Err(PlacementError::TurnExpired),
                Turn::TooFewEngines => {
                    if !lacked_engines {
                        log::info!(target: "request", id = job.request.as_ref(); "waiting for more engines");
                    }
                    lacked_engines = true;
                    MAX_POLL_INTERVAL
                }
                Turn::TooCostly => {
                    if !has_yielded {
                        log::info!(target: "request", id = job.request.as_ref(); "yielding to other prompts");
                    }
                    has_yielded = true;
                    MAX_POLL_INTERVAL
                }
                Turn::PassedOver => {
                    passed_over_at.get_or_insert(now);
                    MIN_POLL_INTERVAL
                }
                Turn::After(left) => {
                    passed_over_at = None;
                    left.clamp(MIN_POLL_INTERVAL, MAX_POLL_INTERVAL)
                }
            };
            tokio::select! {
                () = tokio::time::sleep(poll_interval) => {}
                () = self.load_changed.notified() => {}
            }
        }
        let waited_ms = self.clock.now().since(started_at).as_millis() as u64;
        let waiting = self.load.borrow().waiting().count().saturating_sub(1);
        log::info!(target: "request", id = job.request.as_ref(), waited_ms, waiting; "turn");
        Ok(())
    }

    /// Records that a long prompt is waiting, and reports it to other schedulers.
    fn register_waiting(&self, id: WorkId, job: &Job, engine: EngineProfile, demand: Demand) {
        let read_time = Duration::from_secs_f64(engine.prefill_ms(demand.prompt_tokens) / 1e3);
        let waiting = WaitingPrompt {
            service: job.service.clone(),
            read_time,
            since: job.since,
            first_by: job.first_by,
            until: job.caller_timeout_at,
            priority: job.priority,
            account: job.account.clone(),
        };
        self.load.borrow_mut().add_waiting(id, waiting);
        self.outbox.borrow_mut().waiting.push(id);
        self.flush.immediate.notify_one();
    }
}
