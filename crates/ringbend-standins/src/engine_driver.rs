//! Runs the engine model in real time and sends its tokens to the open responses.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use ringbend_models::{EngineModel, EngineOutput, OrderOutcome, SequenceRequest, SubmitError};
use ringbend_platform::{EndpointState, LoadReport, Order};
use ringbend_runtime::Clock;
use ringbend_types::{AttemptId, RequestId, Timestamp};
use tokio::sync::{Notify, mpsc};

use crate::engine::{EngineFaults, EngineStats};

/// A generated token, with the request that it belongs to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Token {
    pub(crate) request: RequestId,
    pub(crate) prompt_hash: u64,
    pub(crate) index: u64,
    pub(crate) last: bool,
}

/// A request that is ready to be submitted to the model.
pub(crate) struct GenerationRequest {
    pub(crate) request: RequestId,
    pub(crate) prompt_hash: u64,
    pub(crate) sequence_request: SequenceRequest,
}

/// An open response and the channel that its tokens are sent over.
struct OpenResponse {
    request: RequestId,
    prompt_hash: u64,
    tokens: mpsc::UnboundedSender<Token>,
}

/// The engine model with its clock, open responses, injected faults and counters.
pub(crate) struct EngineDriver {
    clock: Clock,
    model: RefCell<EngineModel>,
    responses: RefCell<BTreeMap<AttemptId, OpenResponse>>,
    faults: RefCell<EngineFaults>,
    /// The previous and the latest load report; the previous one is served.
    reports: RefCell<(LoadReport, LoadReport)>,
    report_lag: Duration,
    /// Requests that were started from their first token.
    started_requests: RefCell<BTreeSet<RequestId>>,
    rerun: RefCell<Vec<RequestId>>,
    submitted: Cell<u64>,
    crashed: Cell<bool>,
    changed: Notify,
}

impl EngineDriver {
    pub(crate) fn new(clock: Clock, model: RefCell<EngineModel>, report_lag: Duration) -> Self {
        let report = model.borrow().report();
        Self {
            clock,
            model,
            responses: RefCell::new(BTreeMap::new()),
            faults: RefCell::new(EngineFaults::default()),
            reports: RefCell::new((report.clone(), report)),
            report_lag,
            started_requests: RefCell::new(BTreeSet::new()),
            rerun: RefCell::new(Vec::new()),
            submitted: Cell::new(0),
            crashed: Cell::new(false),
            changed: Notify::new(),
        }
    }

    /// Advances the model and takes load reports when they are due. Never returns.
    pub(crate) async fn run(self: Rc<Self>) {
        let mut next_report = self.clock.now() + self.report_lag;
        loop {
            let step = if self.faults.borrow().freeze {
                Timestamp::NEVER
            } else {
                self.model.borrow().step_ends_at().unwrap_or(Timestamp::NEVER)
            };
            let due = self.clock.instant(step.min(next_report));
            tokio::select! {
                () = tokio::time::sleep_until(due) => {}
                () = self.changed.notified() => {}
            }
            let now = self.clock.now();
            if now >= next_report {
                next_report = now + self.report_lag;
                let mut reports = self.reports.borrow_mut();
                reports.0 = std::mem::replace(&mut reports.1, self.model.borrow().report());
            }
            if !self.faults.borrow().freeze {
                let outputs = self.model.borrow_mut().advance(now);
                outputs.into_iter().for_each(|output| self.deliver(output));
            }
        }
    }

    /// Submits a request to the model and returns the receiver of its tokens.
    pub(crate) fn submit(
        &self,
        generation: GenerationRequest,
    ) -> Result<mpsc::UnboundedReceiver<Token>, SubmitError> {
        let attempt = generation.sequence_request.attempt;
        if generation.sequence_request.resume_from == 0
            && !self.started_requests.borrow_mut().insert(generation.request)
        {
            self.rerun.borrow_mut().push(generation.request);
        }
        self.model.borrow_mut().submit(self.clock.now(), generation.sequence_request)?;
        self.submitted.set(self.submitted.get() + 1);
        let (tokens, rx) = mpsc::unbounded_channel();
        let GenerationRequest { request, prompt_hash, .. } = generation;
        self.responses.borrow_mut().insert(attempt, OpenResponse { request, prompt_hash, tokens });
        self.changed.notify_one();
        Ok(rx)
    }

    fn deliver(&self, output: EngineOutput) {
        let mut responses = self.responses.borrow_mut();
        let Some(response) = responses.get(&output.attempt) else { return };
        let token = Token {
            request: response.request,
            prompt_hash: response.prompt_hash,
            index: output.index,
            last: output.last,
        };
        let other = responses.iter().find(|(attempt, _)| **attempt != output.attempt);
        let mut faults = self.faults.borrow_mut();
        match other {
            Some((_, other)) if faults.cross_events > 0 => {
                faults.cross_events -= 1;
                let _ = other.tokens.send(token);
                let swapped = Token { request: other.request, ..token };
                let _ = response.tokens.send(swapped);
            }
            _ => {
                let _ = response.tokens.send(token);
            }
        }
        if output.last {
            responses.remove(&output.attempt);
        }
    }

    pub(crate) fn cancel(&self, attempt: AttemptId) -> bool {
        if self.faults.borrow().ignore_cancel {
            return false;
        }
        self.responses.borrow_mut().remove(&attempt);
        let ended = self.model.borrow_mut().cancel(self.clock.now(), attempt);
        self.changed.notify_one();
        ended
    }

    pub(crate) fn release(&self, attempt: AttemptId) {
        self.model.borrow_mut().release(self.clock.now(), attempt);
        self.changed.notify_one();
    }

    pub(crate) fn order(&self, order: Order) -> OrderOutcome {
        let outcome = self.model.borrow_mut().order(self.clock.now(), order);
        self.changed.notify_one();
        outcome
    }

    pub(crate) fn model(&self) -> &RefCell<EngineModel> {
        &self.model
    }

    pub(crate) fn faults(&self) -> EngineFaults {
        self.faults.borrow().clone()
    }

    /// Decrements a fault counter and returns whether it was above zero.
    pub(crate) fn consume_fault(&self, count: impl Fn(&mut EngineFaults) -> &mut u32) -> bool {
        let mut faults = self.faults.borrow_mut();
        let remaining = count(&mut faults);
        let consumed = *remaining > 0;
        *remaining = remaining.saturating_sub(1);
        consumed
    }

    pub(crate) fn set_faults(&self, faults: EngineFaults) {
        let state = if faults.leave { EndpointState::Leaving } else { EndpointState::Live };
        self.model.borrow_mut().set_state(state);
        *self.faults.borrow_mut() = faults;
        self.changed.notify_one();
    }

    /// Ends all open responses at once, like a crash of the process.
    pub(crate) fn crash(&self) {
        self.crashed.set(true);
        self.responses.borrow_mut().clear();
    }

    pub(crate) fn has_crashed(&self) -> bool {
        self.crashed.get()
    }

    /// Returns the load as it was one to two report lags ago. That the engine is leaving is
    /// reported without delay.
    pub(crate) fn report(&self) -> LoadReport {
        let mut report = self.reports.borrow().0.clone();
        if self.faults.borrow().leave {
            report.state = EndpointState::Leaving;
        }
        report
    }

    pub(crate) fn stats(&self) -> EngineStats {
        let model = self.model.borrow();
        EngineStats {
            sequences: model.sequence_count(),
            kv_used: model.report().kv_used,
            peak_kv: model.peak_kv(),
            reservations: model.reservations().len(),
            submitted: self.submitted.get(),
            rerun: self.rerun.borrow().clone(),
        }
    }
}
