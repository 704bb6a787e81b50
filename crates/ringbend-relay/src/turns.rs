//! Waiting until a long prompt may be sent to engines.

use std::rc::Rc;
use std::time::Duration;

use ringbend_gateway::{
    Demand, EngineProfile, Job, QueuedPrompt, Turn, WaitingPrompt, WorkId, decide_turn,
};
use ringbend_types::Timestamp;

use crate::node::Node;
use crate::placing::Denied;

/// The longest time between two looks at engines that still read: an engine may leave meanwhile.
const LONGEST_LOOK: Duration = Duration::from_millis(60);

/// The shortest time between two looks.
const SHORTEST_LOOK: Duration = Duration::from_millis(4);

impl Node {
    /// Waits until it is a request's turn, if its prompt is long.
    pub(crate) async fn wait_for_turn(
        self: &Rc<Self>,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
    ) -> Result<(), Denied> {
        let Some((engine, demand)) = engine.zip(job.demand) else { return Ok(()) };
        if job.at_once || !self.is_long(job, Some(engine)) {
            return Ok(());
        }
        let began = self.clock.now();
        self.begin_to_wait(id, job, engine, demand);
        let mut passed_over_at: Option<Timestamp> = None;
        let (mut had_too_few, mut had_to_give_way) = (false, false);
        loop {
            let now = self.clock.now();
            let passed_over_for = passed_over_at.map_or(Duration::ZERO, |at| now.since(at));
            let claim = QueuedPrompt { id, passed_over_for, goal: job.goal(now, demand) };
            let closed = self.closed_to(id, job);
            let turn = self.decide(job, &closed, |view, candidates| {
                decide_turn(view, &engine, candidates, &claim)
            });
            let look = match turn {
                Turn::Now => break,
                Turn::TooLate => return Err(Denied::NoTurn),
                Turn::TooFewEngines => {
                    if !had_too_few {
                        log::info!(target: "request", id = job.request.as_ref(); "waits for more engines");
                    }
                    had_too_few = true;
                    LONGEST_LOOK
                }
                Turn::TooCostly => {
                    if !had_to_give_way {
                        log::info!(target: "request", id = job.request.as_ref(); "gives way");
                    }
                    had_to_give_way = true;
                    LONGEST_LOOK
                }
                Turn::PassedOver => {
                    passed_over_at.get_or_insert(now);
                    SHORTEST_LOOK
                }
                Turn::After(left) => {
                    passed_over_at = None;
                    left.clamp(SHORTEST_LOOK, LONGEST_LOOK)
                }
            };
            tokio::select! {
                () = tokio::time::sleep(look) => {}
                () = self.load_news.notified() => {}
            }
        }
        let waited_ms = self.clock.now().since(began).as_millis() as u64;
        let waiting = self.load.borrow().waiting().count().saturating_sub(1);
        log::info!(target: "request", id = job.request.as_ref(), waited_ms, waiting; "turn");
        Ok(())
    }

    /// Tells other schedulers that a long prompt waits.
    fn begin_to_wait(&self, id: WorkId, job: &Job, engine: EngineProfile, demand: Demand) {
        let read = Duration::from_secs_f64(engine.prefill_ms(demand.prompt_tokens) / 1e3);
        let waiting = WaitingPrompt {
            service: job.service.clone(),
            read,
            since: job.since,
            first_by: job.first_by,
            until: job.caller_timeout_at,
        };
        self.load.borrow_mut().wait(id, waiting);
        self.outbox.borrow_mut().waiting.push(id);
        self.signals.now.notify_one();
    }
}
