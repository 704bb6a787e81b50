//! Runs that outlive the time in which a fatal prompt crashes its engine.
//!
//! Such a run clears the parts of its prompt. A run that was only queued or prefilled proves nothing,
//! nor does one whose caller has disconnected.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use ringbend_gateway::{EndedProcess, Endpoint};
use ringbend_types::{Fingerprint, Timestamp};

use crate::active_request::ActiveRequest;
use crate::node::Node;
use crate::suspect_keys::SuspectKeys;

/// How long a run must stream its response before its parts are cleared. A fatal prompt crashes its
/// engine within about half of this time after the engine has begun the response.
pub(crate) const SURVIVAL_TIME: Duration = Duration::from_millis(250);

/// How long a survivor vouches for its parts against strikes that follow. It is short, as a part may
/// become fatal, for example with a new version of the engines.
const VOUCH_TIME: Duration = Duration::from_millis(250);

/// Maximum number of recent survivors that are kept.
const MAX_SURVIVORS: usize = 1_024;

/// Recent survivors, in the order in which they survived.
#[derive(Default)]
pub(crate) struct Survivors(VecDeque<(Timestamp, Rc<SuspectKeys>)>);

impl Survivors {
    fn add(&mut self, now: Timestamp, keys: Rc<SuspectKeys>) {
        while self.0.front().is_some_and(|(at, _)| now.since(*at) >= VOUCH_TIME) {
            self.0.pop_front();
        }
        if self.0.len() < MAX_SURVIVORS {
            self.0.push_back((now, keys));
        }
    }

    fn includes(&self, now: Timestamp, part: Fingerprint) -> bool {
        let recent = self.0.iter().rev().take_while(|(at, _)| now.since(*at) < VOUCH_TIME);
        recent.into_iter().any(|(_, keys)| keys.part_keys().contains(&part))
    }
}

/// Clears the parts of a run's prompt once it has survived. Dropping it cancels that.
pub(crate) struct SurvivalWatch(Option<tokio::task::AbortHandle>);

impl SurvivalWatch {
    /// The response is complete, so the run can no longer break off. Its engine can still crash.
    pub(crate) fn run_ended(mut self) {
        self.0 = None;
    }
}

impl Drop for SurvivalWatch {
    fn drop(&mut self) {
        if let Some(task) = self.0.take() {
            task.abort();
        }
    }
}

impl ActiveRequest {
    /// Begins to watch a run whose response has started.
    pub(crate) fn watch_survival(&self, endpoint: &Endpoint) -> SurvivalWatch {
        if self.original.keys.parts.as_slice().is_empty() {
            return SurvivalWatch(None);
        }
        let (node, keys) = (self.node.clone(), self.original.keys.clone());
        let endpoint = endpoint.clone();
        let task = tokio::task::spawn_local(async move {
            tokio::time::sleep(SURVIVAL_TIME).await;
            node.record_survivor(keys, &endpoint);
        });
        SurvivalWatch(Some(task.abort_handle()))
    }
}

impl Node {
    /// Clears the parts of a prompt whose run has survived, unless its engine's process has ended
    /// since.
    fn record_survivor(self: &Rc<Self>, keys: Rc<SuspectKeys>, endpoint: &Endpoint) {
        let has_ended = self.directory.borrow().has_ended(endpoint)
            || self.quarantine.borrow().has_ended(&EndedProcess::of(endpoint));
        if has_ended {
            return;
        }
        if self.quarantine.borrow().knows_parts() {
            keys.part_keys().iter().for_each(|part| self.clear_suspect(*part));
        }
        self.survivors.borrow_mut().add(self.clock.now(), keys);
    }

    /// Clears the parts among these suspects that a run of this instance has just survived.
    pub(crate) fn vouch_for(self: &Rc<Self>, suspects: &[Fingerprint]) {
        let now = self.clock.now();
        for suspect in suspects {
            let is_open = self.quarantine.borrow().may_be_vouched_for(now, *suspect);
            if is_open && self.survivors.borrow().includes(now, *suspect) {
                self.clear_suspect(*suspect);
            }
        }
    }
}
