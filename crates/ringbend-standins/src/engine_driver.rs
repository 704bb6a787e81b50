//! Runs the engine model in real time and hands its tokens to the answers' streams.

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

/// One token on its way to an answer, with the request whose it is.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Token {
    pub(crate) request: RequestId,
    pub(crate) prompt_hash: u64,
    pub(crate) index: u64,
    pub(crate) last: bool,
}

/// A request as the driver takes it.
pub(crate) struct Job {
    pub(crate) request: RequestId,
    pub(crate) prompt_hash: u64,
    pub(crate) sequence_request: SequenceRequest,
}

struct Answer {
    request: RequestId,
    prompt_hash: u64,
    tokens: mpsc::UnboundedSender<Token>,
}

pub(crate) struct EngineDriver {
    clock: Clock,
    model: RefCell<EngineModel>,
    answers: RefCell<BTreeMap<AttemptId, Answer>>,
    faults: RefCell<EngineFaults>,
    reports: RefCell<(LoadReport, LoadReport)>,
    report_lag: Duration,
    begun: RefCell<BTreeSet<RequestId>>,
    rerun: RefCell<Vec<RequestId>>,
    submitted: Cell<u64>,
    dead: Cell<bool>,
    changed: Notify,
}

impl EngineDriver {
    pub(crate) fn new(clock: Clock, model: RefCell<EngineModel>, report_lag: Duration) -> Self {
        let report = model.borrow().report();
        Self {
            clock,
            model,
            answers: RefCell::new(BTreeMap::new()),
            faults: RefCell::new(EngineFaults::default()),
            reports: RefCell::new((report.clone(), report)),
            report_lag,
            begun: RefCell::new(BTreeSet::new()),
            rerun: RefCell::new(Vec::new()),
            submitted: Cell::new(0),
            dead: Cell::new(false),
            changed: Notify::new(),
        }
    }

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

    pub(crate) fn submit(&self, job: Job) -> Result<mpsc::UnboundedReceiver<Token>, SubmitError> {
        let attempt = job.sequence_request.attempt;
        if job.sequence_request.resume_from == 0 && !self.begun.borrow_mut().insert(job.request) {
            self.rerun.borrow_mut().push(job.request);
        }
        self.model.borrow_mut().submit(self.clock.now(), job.sequence_request)?;
        self.submitted.set(self.submitted.get() + 1);
        let (tokens, rx) = mpsc::unbounded_channel();
        let Job { request, prompt_hash, .. } = job;
        self.answers.borrow_mut().insert(attempt, Answer { request, prompt_hash, tokens });
        self.changed.notify_one();
        Ok(rx)
    }

    fn deliver(&self, output: EngineOutput) {
        let mut answers = self.answers.borrow_mut();
        let Some(answer) = answers.get(&output.attempt) else { return };
        let token = Token {
            request: answer.request,
            prompt_hash: answer.prompt_hash,
            index: output.index,
            last: output.last,
        };
        let other = answers.iter().find(|(attempt, _)| **attempt != output.attempt);
        let mut faults = self.faults.borrow_mut();
        match other {
            Some((_, other)) if faults.cross_events > 0 => {
                faults.cross_events -= 1;
                let _ = other.tokens.send(token);
                let theirs = Token { request: other.request, ..token };
                let _ = answer.tokens.send(theirs);
            }
            _ => {
                let _ = answer.tokens.send(token);
            }
        }
        if output.last {
            answers.remove(&output.attempt);
        }
    }

    pub(crate) fn cancel(&self, attempt: AttemptId) -> bool {
        if self.faults.borrow().ignore_cancel {
            return false;
        }
        self.answers.borrow_mut().remove(&attempt);
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

    /// Uses up one of a counted fault; returns whether there was one.
    pub(crate) fn use_fault(&self, count: impl Fn(&mut EngineFaults) -> &mut u32) -> bool {
        let mut faults = self.faults.borrow_mut();
        let left = count(&mut faults);
        let used = *left > 0;
        *left = left.saturating_sub(1);
        used
    }

    pub(crate) fn set_faults(&self, faults: EngineFaults) {
        let state = if faults.leave { EndpointState::Leaving } else { EndpointState::Live };
        self.model.borrow_mut().set_state(state);
        *self.faults.borrow_mut() = faults;
        self.changed.notify_one();
    }

    /// Ends every answer at once, as when the process dies.
    pub(crate) fn die(&self) {
        self.dead.set(true);
        self.answers.borrow_mut().clear();
    }

    pub(crate) fn is_dead(&self) -> bool {
        self.dead.get()
    }

    /// The load as it was one to two lags ago; an engine that leaves says so at once.
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
