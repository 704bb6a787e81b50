//! Calls to the store that are not answered yet. A call that takes longer than expected is not
//! given up: another one is made beside it, and whichever is answered first counts.

use std::collections::VecDeque;
use std::time::Duration;

use ringbend_gateway::MAX_STORE_TIMEOUT;
use ringbend_types::Timestamp;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::Instant;

use crate::ports::SourceError;

/// The maximum number of calls of one watch. The oldest one is given up for another.
const MAX_CALLS: usize = 4;

/// The outcome of a call.
pub(crate) struct Answer<T> {
    /// When the call was sent.
    pub(crate) sent: Timestamp,
    /// How long the store was asked to wait for a change.
    pub(crate) wait: Duration,
    /// The time from the call to its answer.
    pub(crate) took: Duration,
    pub(crate) result: Result<T, SourceError>,
}

/// Calls that are not answered yet. They are given up when this is dropped.
pub(crate) struct PendingCalls<T> {
    calls: JoinSet<Answer<T>>,
    /// In the order in which they were sent, including some that were answered.
    handles: VecDeque<AbortHandle>,
    last_sent: Option<Timestamp>,
    /// When the first call was sent that may be unanswered since the latest answer.
    waiting_since: Option<Timestamp>,
}

impl<T> Default for PendingCalls<T> {
    fn default() -> Self {
        Self {
            calls: JoinSet::new(),
            handles: VecDeque::new(),
            last_sent: None,
            waiting_since: None,
        }
    }
}

impl<T: 'static> PendingCalls<T> {
    /// Starts a call, which has the store wait up to `wait` for a change.
    pub(crate) fn start(
        &mut self,
        sent: Timestamp,
        wait: Duration,
        call: impl Future<Output = Result<T, SourceError>> + 'static,
    ) {
        self.handles.retain(|handle| !handle.is_finished());
        if self.handles.len() >= MAX_CALLS
            && let Some(oldest) = self.handles.pop_front()
        {
            oldest.abort();
        }
        let handle = self.calls.spawn_local(async move {
            let started_at = Instant::now();
            let answered = tokio::time::timeout(wait + MAX_STORE_TIMEOUT, call).await;
            let result = answered.unwrap_or(Err(SourceError::TimedOut));
            Answer { sent, wait, took: started_at.elapsed(), result }
        });
        self.handles.push_back(handle);
        self.last_sent = Some(sent);
        self.waiting_since.get_or_insert(sent);
    }

    /// When the last call was sent, if any call is not answered yet.
    pub(crate) fn last_sent(&self) -> Option<Timestamp> {
        self.last_sent.filter(|_| !self.calls.is_empty())
    }

    /// Since when no call has been answered, if there is one that is not.
    pub(crate) fn waiting_since(&self) -> Option<Timestamp> {
        self.waiting_since.or(self.last_sent()).filter(|_| !self.calls.is_empty())
    }

    /// Records that the calls so far count as failed. They may still be answered.
    pub(crate) fn note_failure(&mut self) {
        self.waiting_since = None;
    }

    /// Waits for the next answer. Never completes if there is none.
    pub(crate) async fn next(&mut self) -> Answer<T> {
        loop {
            match self.calls.join_next().await {
                Some(Ok(Answer { result: Err(SourceError::TimedOut), .. })) => {}
                Some(Ok(answer)) => {
                    if Some(answer.sent) >= self.last_sent {
                        // Earlier calls can bring nothing newer.
                        self.clear();
                    }
                    self.waiting_since = self.last_sent();
                    return answer;
                }
                Some(Err(e)) if e.is_cancelled() => {}
                Some(Err(e)) => {
                    log::error!(target: "store", error:% = e; "call to the store failed")
                }
                None => std::future::pending().await,
            }
        }
    }

    /// Gives up all calls.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }
}
