//! Detection of engines that fail without closing their connections, for example in a power loss.
//!
//! Silence alone may be a long prompt that is being prefilled. A missing row alone proves nothing
//! either: some engines continue to serve without one. An engine counts as lost if it is silent, its
//! row was removed and it does not respond to requests for its report, which need no slot.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared};
use ringbend_gateway::{BackoffState, Endpoint};
use ringbend_types::{EndpointId, Timestamp};

use crate::engine_pace::REPORT_TIMEOUT;
use crate::node::Node;

/// How long a run is silent before its engine is checked.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of reports without a response after which an engine counts as lost. Packets of one may be
/// lost.
const UNANSWERED_REPORTS: usize = 2;

/// How long the result of a check holds, for all runs on the engine.
const CHECK_TTL: Duration = Duration::from_millis(1_500);

/// Checks of engines whose rows were removed.
#[derive(Default)]
pub(crate) struct LossChecks(HashMap<EndpointId, LossCheck>);

struct LossCheck {
    started_at: Timestamp,
    /// Whether the engine is lost.
    result: Shared<LocalBoxFuture<'static, bool>>,
}

impl Node {
    /// Waits until an engine counts as lost. The run on it has been silent since `silent_since`.
    pub(crate) async fn wait_until_lost(
        self: &Rc<Self>,
        engine: &Endpoint,
        silent_since: Timestamp,
    ) {
        loop {
            self.wait_until_unregistered(engine).await;
            self.clock.sleep_until(silent_since + SILENCE_TIMEOUT).await;
            if self.loss_check(engine).await {
                return;
            }
            tokio::time::sleep(CHECK_TTL).await;
        }
    }

    /// Waits until an engine has no row, or its row is that of another process.
    async fn wait_until_unregistered(&self, engine: &Endpoint) {
        loop {
            let mut notified = std::pin::pin!(self.endpoints_changed.notified());
            // Registered before the check, so that no notification in between is missed.
            notified.as_mut().enable();
            let start = self.directory.borrow().get(&engine.id).map(|known| known.start);
            if start != Some(engine.start) {
                return;
            }
            notified.await;
        }
    }

    /// The latest check of an engine, shared by all runs on it.
    fn loss_check(self: &Rc<Self>, engine: &Endpoint) -> Shared<LocalBoxFuture<'static, bool>> {
        let now = self.clock.now();
        let checks = &mut self.loss_checks.borrow_mut().0;
        checks.retain(|_, check| now.since(check.started_at) < CHECK_TTL);
        let check = checks.entry(engine.id.clone()).or_insert_with(|| {
            let result = self.clone().is_lost(engine.clone()).boxed_local().shared();
            LossCheck { started_at: now, result }
        });
        check.result.clone()
    }

    /// Whether an engine without a row does not respond either.
    async fn is_lost(self: Rc<Self>, engine: Endpoint) -> bool {
        let state = self.backoffs.borrow().state(self.clock.now(), &engine);
        if matches!(state, BackoffState::Closed(_)) {
            return false;
        }
        for _ in 0..UNANSWERED_REPORTS {
            let report = tokio::time::timeout(REPORT_TIMEOUT, self.request_report(&engine));
            let Ok(Ok(response)) = report.await else { continue };
            let lost = response.metadata.is_wrong_endpoint;
            log::info!(target: "endpoints", endpoint:% = engine.id, lost; "response from the address of an unregistered engine");
            return lost;
        }
        log::warn!(target: "endpoints", endpoint:% = engine.id; "engine lost: no row and no response");
        true
    }
}
