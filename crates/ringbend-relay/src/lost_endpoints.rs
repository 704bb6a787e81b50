//! Detection of engines that fail without closing their connections, for example in a power loss.
//!
//! Silence alone may be a long prompt that is being prefilled, and a missing row alone proves
//! nothing either: some engines continue to serve without one. An engine counts as lost if it does
//! not respond to requests for its report, which need no slot, and its row was removed during its
//! silence or it has not responded for a while. A row that was removed before the silence expired
//! because the engine leaves, not because it was silent.
//!
//! A run that holds memory on other engines has its engine checked while it is silent: rows of lost
//! engines are removed only when that memory must be released. Other runs have it checked once its
//! row is gone; until then they are replaced because of silence.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::{LocalBoxFuture, Shared};
use ringbend_gateway::{BackoffState, Endpoint};
use ringbend_types::{EndpointId, Timestamp};

use crate::engine_pace::REPORT_TIMEOUT;
use crate::exchange::ExchangeError;
use crate::node::Node;

/// How long a run is silent before its engine is checked if the engine's row is gone.
const UNREGISTERED_SILENCE: Duration = Duration::from_millis(500);

/// How long a run that holds memory is silent before its engine is checked. Most such prompts begin
/// to be answered sooner.
const MEMORY_SILENCE: Duration = Duration::from_millis(1_000);

/// Number of reports in one check. Packets of one may be lost.
const REPORTS_PER_CHECK: usize = 2;

/// The time between two checks of an engine.
const CHECK_INTERVAL: Duration = Duration::from_millis(700);

/// How long the result of a check holds for other runs on the engine.
const CHECK_TTL: Duration = Duration::from_millis(600);

/// How long an engine may be without a response if its row does not show that it is lost. Memory must
/// be released four seconds after the loss of the engine that uses it.
const MAX_UNRESPONSIVE: Duration = Duration::from_millis(2_500);

/// The latest checks of engines.
#[derive(Default)]
pub(crate) struct LossChecks(HashMap<EndpointId, LossCheck>);

struct LossCheck {
    started_at: Timestamp,
    /// Whether the engine did not respond.
    is_unresponsive: Shared<LocalBoxFuture<'static, bool>>,
}

impl Node {
    /// Waits until an engine counts as lost. The run on it has been silent since `silent_since`.
    pub(crate) async fn wait_until_lost(
        self: &Rc<Self>,
        engine: &Endpoint,
        silent_since: Timestamp,
        holds_memory: bool,
    ) {
        loop {
            if holds_memory {
                self.clock.sleep_until(silent_since + MEMORY_SILENCE).await;
            } else {
                self.wait_until_unregistered(engine).await;
                self.clock.sleep_until(silent_since + UNREGISTERED_SILENCE).await;
            }
            let checked_at = self.clock.now();
            let served_without_row = self.has_served_without_row(engine, silent_since);
            if self.check(engine).await
                && self.stays_unresponsive(engine, checked_at, served_without_row).await
            {
                log::warn!(target: "endpoints", endpoint:% = engine.id; "engine lost");
                return;
            }
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Whether an engine that has been silent since `silent_since` sent something after its row was
    /// removed.
    fn has_served_without_row(&self, engine: &Endpoint, silent_since: Timestamp) -> bool {
        let removed_at = self.directory.borrow().removed_at(&engine.id);
        removed_at.is_some_and(|at| at < silent_since)
    }

    /// Waits until the row of an engine that has not responded since `since` is gone, or it has been
    /// unresponsive for too long. Returns false if it responds before that. The row says nothing if
    /// the engine has served without one.
    async fn stays_unresponsive(
        self: &Rc<Self>,
        engine: &Endpoint,
        since: Timestamp,
        served_without_row: bool,
    ) -> bool {
        let responds = async {
            loop {
                tokio::time::sleep(CHECK_INTERVAL).await;
                if !self.check(engine).await {
                    return;
                }
            }
        };
        tokio::select! {
            biased;
            () = self.wait_until_unregistered(engine), if !served_without_row => true,
            () = self.clock.sleep_until(since + MAX_UNRESPONSIVE) => true,
            () = responds => false,
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

    /// Checks whether an engine does not respond; runs on the same engine share a check.
    fn check(self: &Rc<Self>, engine: &Endpoint) -> Shared<LocalBoxFuture<'static, bool>> {
        let now = self.clock.now();
        let checks = &mut self.loss_checks.borrow_mut().0;
        checks.retain(|_, check| now.since(check.started_at) < CHECK_TTL);
        let check = checks.entry(engine.id.clone()).or_insert_with(|| {
            let check = self.clone().is_unresponsive(engine.clone());
            LossCheck { started_at: now, is_unresponsive: check.boxed_local().shared() }
        });
        check.is_unresponsive.clone()
    }

    /// Whether the process of an engine does not respond. One that asked for a back-off is not asked.
    async fn is_unresponsive(self: Rc<Self>, engine: Endpoint) -> bool {
        let state = self.backoffs.borrow().state(self.clock.now(), &engine);
        if matches!(state, BackoffState::Closed(_)) {
            return false;
        }
        for _ in 0..REPORTS_PER_CHECK {
            let report = tokio::time::timeout(REPORT_TIMEOUT, self.request_report(&engine));
            match report.await {
                // Another process at the address says nothing about this one but that it has ended.
                Ok(Ok(response)) => return response.metadata.is_wrong_endpoint,
                Err(_) | Ok(Err(ExchangeError::ConnectFailed(_))) => {}
                // A process that resets or closes the connection is running.
                Ok(Err(_)) => return false,
            }
        }
        log::info!(target: "endpoints", endpoint:% = engine.id; "engine does not respond");
        true
    }
}
