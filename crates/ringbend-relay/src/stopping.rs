//! How an instance stops: what it still takes, sends and answers.
//!
//! From the stop on it is not ready, and takes requests for a while, as callers hear of it late. A request that has
//! not been sent by the time at which its answer could no longer end is refused as not run, so that its caller goes
//! elsewhere at once; one that is on an endpoint without an answer is told so just before the process ends. Without
//! these, both see their connection close, and the first one waits for the rest of the grace time in vain.

use std::time::Duration;

use ringbend_types::Timestamp;
use tokio::task::JoinHandle;

use crate::life::Life;
use crate::node::Node;
use crate::relay::Relay;

/// How long a stopping instance goes on taking connections: the balancer asks once a second and
/// needs two misses.
const NOTICE: Duration = Duration::from_millis(3_200);

/// How long a stopping instance goes on taking requests. The balancer takes some two seconds to send
/// new callers elsewhere; what is taken later may not end within the grace time.
const LAST_CALL: Duration = Duration::from_millis(2_500);

/// What is left of the grace time for the process to end by itself.
const EXIT_RESERVE: Duration = Duration::from_millis(400);

/// How long before that the last answers of this instance's own are written: a write to a caller takes some
/// milliseconds, and the processor may be busy with all of them at once.
const LAST_ANSWERS: Duration = Duration::from_millis(100);

/// How long before that nothing more is sent to endpoints.
const LAST_SENDS: Duration = Duration::from_millis(200);

/// How long withdrawing this instance's presence may take. What stays behind is only an address that
/// nobody answers at.
const WITHDRAW_TIME: Duration = Duration::from_millis(150);

/// How often a stopping instance looks whether it is done.
const STOP_STEP: Duration = Duration::from_millis(50);

/// The outcome of stopping a relay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StopSummary {
    /// The number of requests that were aborted because they had not ended within the grace period.
    pub unfinished: usize,
}

impl Node {
    /// Whether the instance is stopping and takes no more requests, also from kept connections.
    pub(crate) fn is_past_last_call(&self) -> bool {
        self.stopping.get().is_some_and(|at| self.clock.now().since(at) >= LAST_CALL)
    }

    /// The time from the stop to the end of what is open.
    fn time_to_stop(&self) -> Duration {
        self.cfg.borrow().bounds.grace().saturating_sub(EXIT_RESERVE)
    }

    /// Waits until the last answers are written, as this instance stops.
    pub(crate) async fn past_last_answer(&self) {
        self.stops_within(LAST_ANSWERS).await;
    }

    /// Waits until a stop is under way and this much or less is left of it.
    async fn stops_within(&self, left: Duration) {
        loop {
            let mut told = std::pin::pin!(self.stop_begun.notified());
            // A stop that begins from here on is told.
            told.as_mut().enable();
            if let Some(began) = self.stopping.get() {
                return self
                    .clock
                    .sleep_until(began + self.time_to_stop().saturating_sub(left))
                    .await;
            }
            told.await;
        }
    }
}

impl Life {
    /// Waits until it is too late, as the instance stops, to send the request to endpoints: at its fastest it
    /// would be cut.
    pub(crate) async fn past_last_send(&self) {
        self.node.stops_within(self.least_time() + LAST_SENDS).await;
    }

    /// Whether it is.
    pub(crate) fn is_past_last_send(&self) -> bool {
        let Some(began) = self.node.stopping.get() else { return false };
        let last = self.node.time_to_stop().saturating_sub(self.least_time() + LAST_SENDS);
        self.node.clock.now().since(began) >= last
    }

    /// The least time from a send to the end of its answer.
    fn least_time(&self) -> Duration {
        let work = self.terms.service.engine.zip(self.call.demand);
        work.map_or(Duration::ZERO, |(engine, demand)| engine.least_time(demand))
    }
}

impl Relay {
    /// Stops taking new callers, lets open requests end within the grace time, and returns.
    pub async fn stop(self) -> StopSummary {
        let began = self.node.clock.now();
        self.node.stopping.set(Some(began));
        self.node.stop_begun.notify_waiters();
        log::info!(target: "relay", open = self.node.open.get(); "stopping");
        while !self.is_done(began) {
            tokio::time::sleep(STOP_STEP).await;
        }
        self.leave().await;
        let unfinished = self.node.open.get();
        self.tasks.iter().for_each(JoinHandle::abort);
        drop(self.servers);
        log::info!(target: "relay", cut = unfinished; "stopped");
        StopSummary { unfinished }
    }

    fn is_done(&self, began: Timestamp) -> bool {
        let passed = self.node.clock.now().since(began);
        let is_idle = self.node.open.get() == 0 && passed >= NOTICE;
        is_idle || passed >= self.node.time_to_stop()
    }

    /// Tells other instances, and whoever starts later, that this one is gone.
    async fn leave(&self) {
        self.node.bye();
        match tokio::time::timeout(WITHDRAW_TIME, self.registry.deregister()).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => log::info!(target: "peers", error:% = e; "presence not withdrawn"),
            Err(_) => {
                log::info!(target: "peers", time_ms:? = WITHDRAW_TIME.as_millis(); "presence not withdrawn")
            }
        }
    }
}
