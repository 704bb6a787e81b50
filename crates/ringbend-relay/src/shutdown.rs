//! Graceful shutdown: which requests a stopping instance still accepts, sends and answers.
//!
//! Once it is stopping, the instance is not ready, but accepts requests for a while, as callers
//! notice it late. A request that could no longer complete is not sent but refused as not run, so
//! that its caller can go elsewhere at once. A request that was sent but has no response is
//! answered with its run state just before the process ends. Otherwise both callers would only see
//! their connection close, the first one after it has waited for the rest of the grace time.

use std::time::Duration;

use ringbend_types::Timestamp;
use tokio::task::JoinHandle;

use crate::active_request::ActiveRequest;
use crate::node::Node;
use crate::relay::Relay;

/// How long a stopping instance accepts connections: the load balancer checks once per second and
/// needs two failures.
const MIN_DRAIN_TIME: Duration = Duration::from_millis(3_200);

/// How long a stopping instance accepts requests, at most. The load balancer takes about two seconds
/// to route new callers elsewhere, and a request accepted later may not complete within the grace
/// time.
const ACCEPT_REQUESTS_TIME: Duration = Duration::from_millis(2_500);

/// The share of a short grace time, without the reserve, for which requests are accepted. The rest is
/// left for their responses.
const ACCEPT_REQUESTS_SHARE: f64 = 0.5;

/// The part of the grace time that is reserved for the process to exit by itself.
const EXIT_RESERVE: Duration = Duration::from_millis(400);

/// How long before [`EXIT_RESERVE`] this instance writes the last responses of its own. A write to
/// a caller takes some milliseconds, and the processor may be busy with all of them at once.
const LAST_RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// How long before [`EXIT_RESERVE`] the last requests are sent to endpoints, in addition to the
/// shortest time that their responses take.
const LAST_SEND_MARGIN: Duration = Duration::from_millis(200);

/// Timeout of removing this instance's registry entry. An entry that remains is only an address at
/// which no instance replies.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(150);

/// Interval between checks whether all requests have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// The outcome of stopping a relay.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StopSummary {
    /// The number of requests that were aborted because they had not ended within the grace time.
    pub unfinished: usize,
}

impl Node {
    /// Whether the instance is stopping and refuses new requests, also on existing connections.
    pub(crate) fn refuses_new_requests(&self) -> bool {
        let accept_time =
            ACCEPT_REQUESTS_TIME.min(self.drain_timeout().mul_f64(ACCEPT_REQUESTS_SHARE));
        self.stopping_since.get().is_some_and(|at| self.clock.now().since(at) >= accept_time)
    }

    /// The time from the stop until open requests are aborted.
    fn drain_timeout(&self) -> Duration {
        self.cfg.borrow().bounds.grace().saturating_sub(EXIT_RESERVE)
    }

    /// Waits until this instance, if it is stopping, has to write its last responses.
    pub(crate) async fn wait_until_last_response(&self) {
        self.wait_until_remaining(LAST_RESPONSE_MARGIN).await;
    }

    /// Waits until a stop is in progress and no more than `left` remains of it.
    async fn wait_until_remaining(&self, left: Duration) {
        loop {
            let mut notified = std::pin::pin!(self.stop_started.notified());
            // Registered before the check, so that no notification in between is missed.
            notified.as_mut().enable();
            if let Some(started_at) = self.stopping_since.get() {
                return self
                    .clock
                    .sleep_until(started_at + self.drain_timeout().saturating_sub(left))
                    .await;
            }
            notified.await;
        }
    }
}

impl ActiveRequest {
    /// Waits until the instance is stopping and it is too late to send the request, because even
    /// its fastest response would be cut off.
    pub(crate) async fn wait_until_last_send(&self) {
        self.node.wait_until_remaining(self.min_response_time() + LAST_SEND_MARGIN).await;
    }

    /// Whether it is too late to send the request; see [`Self::wait_until_last_send`].
    pub(crate) fn is_too_late_to_send(&self) -> bool {
        let Some(started_at) = self.node.stopping_since.get() else { return false };
        let last =
            self.node.drain_timeout().saturating_sub(self.min_response_time() + LAST_SEND_MARGIN);
        self.node.clock.now().since(started_at) >= last
    }

    /// The shortest time from a send to the end of its response.
    fn min_response_time(&self) -> Duration {
        let work = self.config.service.engine.zip(self.metadata.demand);
        work.map_or(Duration::ZERO, |(engine, demand)| engine.least_time(demand))
    }
}

impl Relay {
    /// Stops accepting new callers and waits for open requests to end, at most for the grace time.
    pub async fn stop(self) -> StopSummary {
        let started_at = self.node.clock.now();
        self.node.stopping_since.set(Some(started_at));
        self.node.stop_started.notify_waiters();
        log::info!(target: "relay", open = self.node.open_requests.get(); "stopping");
        while !self.is_drained(started_at) {
            tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        }
        self.announce_stop().await;
        let cut = self.node.open_requests.get();
        self.tasks.iter().for_each(JoinHandle::abort);
        drop(self.servers);
        log::info!(target: "relay", cut; "stopped");
        StopSummary { unfinished: cut }
    }

    fn is_drained(&self, started_at: Timestamp) -> bool {
        let elapsed = self.node.clock.now().since(started_at);
        let is_idle = self.node.open_requests.get() == 0 && elapsed >= MIN_DRAIN_TIME;
        is_idle || elapsed >= self.node.drain_timeout()
    }

    /// Notifies other instances, and removes this one from the registry for those that start later.
    async fn announce_stop(&self) {
        self.node.send_bye();
        match tokio::time::timeout(DEREGISTER_TIMEOUT, self.registry.deregister()).await {
            Ok(Ok(())) => {}
            Ok(Err(e)) => log::info!(target: "peers", error:% = e; "deregistration failed"),
            Err(_) => {
                log::info!(target: "peers", time_ms:? = DEREGISTER_TIMEOUT.as_millis(); "deregistration timed out")
            }
        }
    }
}
