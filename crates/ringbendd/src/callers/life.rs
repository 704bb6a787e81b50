//! The life of one request: admission, claim, attempts, answer.
//!
//! A task of its own listens to the policy's signals, the attempt under way and the caller, so
//! that whichever ends first ends the others.

mod answer;

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use ringbend_ledger::{ClaimEvent, ClaimKey, ExistingClaim};
use ringbend_policy::{AttemptEnd, Dispatch, Event, RequestEnd, RequestProfile};
use ringbend_runtime::{HttpResponse, unix_millis};
use ringbend_settings::{EffectiveSettings, NodePath};
use ringbend_telemetry::{Outcome, TraceSpan, TraceSpanKind};
use ringbend_types::{AttemptId, RequestId, RunState, ServiceName, Timestamp, TokenCount};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;

use super::attempt::{AttemptEvent, Delivered, PromptAttempt};
use super::budget::BodyPermit;
use super::failure::Failure;
use super::headers::CallHeaders;
use super::plain::{PlainAttempt, PlainCall, PlainResponse};
use super::prompt::{PromptBody, digest};
use super::side::CallerSide;
use super::{Call, stored};
use crate::app::App;
use crate::decisions::Signal;

/// Events of one attempt that wait for the caller.
const EVENTS_WAITING: usize = 64;

/// Chunks of an answer that wait for the connection.
const STREAM_DEPTH: usize = 64;

/// The end of a streamed answer.
const DONE: &[u8] = b"data: [DONE]\n\n";

/// What kind of request it is, with what its attempts send.
pub(crate) enum Kind {
    Prompt { body: Rc<PromptBody>, stream: bool, chat: bool, model: ServiceName },
    Plain { call: Rc<PlainCall> },
}

/// The attempt under way. Dropping it closes the attempt's connection.
struct Running {
    attempt: AttemptId,
    task: JoinHandle<()>,
    events: mpsc::Receiver<AttemptEvent>,
    _hop: TraceSpan,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// One request.
pub(crate) struct Life {
    app: Rc<App>,
    id: RequestId,
    kind: Kind,
    profile: Option<RequestProfile>,
    prompt_tokens: TokenCount,
    arrived: Timestamp,
    deadline: Timestamp,
    connect_timeout: Duration,
    signals: mpsc::UnboundedReceiver<Signal>,
    running: Option<Running>,
    delivered: Delivered,
    finish: Option<String>,
    response: Option<PlainResponse>,
    claim: Option<(ClaimKey, u64)>,
    granted: bool,
    /// What was streamed, kept while a claim needs it.
    record: Option<BytesMut>,
    admitted: bool,
    dispatched: bool,
    hop: TraceSpan,
    waiting: Option<TraceSpan>,
    _permit: BodyPermit,
}

/// The settings in force for a request.
pub(crate) fn settings(
    app: &App,
    headers: &CallHeaders,
    service: &ServiceName,
) -> Arc<EffectiveSettings> {
    let account = headers.account.clone();
    let path = match &headers.class {
        Some(class) => NodePath::Class(account, service.clone(), class.clone()),
        None => NodePath::Service(account, service.clone()),
    };
    app.settings.effective(&path)
}

/// When the answer must have ended.
pub(crate) fn deadline(
    app: &App,
    headers: &CallHeaders,
    settings: &EffectiveSettings,
) -> Timestamp {
    let default = Duration::from_millis(settings.timeouts.deadline_ms);
    let most = Duration::from_millis(settings.timeouts.max_deadline_ms);
    app.now() + headers.deadline.unwrap_or(default).min(most)
}

impl Life {
    pub(crate) fn new(
        app: &Rc<App>,
        call: Call,
        profile: RequestProfile,
        kind: Kind,
        signals: mpsc::UnboundedReceiver<Signal>,
    ) -> Self {
        let Call { req, headers, body, permit } = call;
        let mut hop = app.tracing.start_span("caller", TraceSpanKind::Server, &headers.trace);
        hop.set_attribute("request", profile.id);
        hop.set_attribute("account", &profile.account);
        let claim = headers.key.clone().map(|key| {
            let digest = digest(req.method().as_str(), req.path(), &body, &headers);
            (ClaimKey { account: headers.account.clone(), key }, digest)
        });
        Self {
            app: app.clone(),
            id: profile.id,
            kind,
            prompt_tokens: profile.prompt_tokens,
            arrived: app.now(),
            deadline: profile.deadline,
            connect_timeout: Duration::from_millis(profile.settings.timeouts.connect_ms),
            profile: Some(profile),
            signals,
            running: None,
            delivered: Delivered::default(),
            finish: None,
            response: None,
            record: claim.is_some().then(BytesMut::new),
            claim,
            granted: false,
            admitted: false,
            dispatched: false,
            hop,
            waiting: None,
            _permit: permit,
        }
    }

    /// Runs the request in a task of its own and returns the head of its answer.
    pub(crate) async fn run(self) -> Result<HttpResponse, Failure> {
        let (tx, rx) = oneshot::channel();
        tokio::task::spawn_local(self.live(CallerSide::Waiting(tx)));
        Ok(rx.await.unwrap_or_else(|_| Failure::CutOff(RunState::MayHaveRun).into_response()))
    }

    async fn live(mut self, mut side: CallerSide) {
        let app = self.app.clone();
        if let Some(profile) = self.profile.take() {
            if profile.settings.limits.tokens_per_s > 0 {
                app.decisions.note_demand(&app, &profile.account, profile.cost().0);
            }
            app.decisions.decide(&app, Event::Arrived(profile));
        }
        loop {
            let over = tokio::select! {
                biased;
                signal = self.signals.recv() => match signal {
                    Some(signal) => self.on_signal(signal, &mut side).await,
                    None => true,
                },
                () = side.gone() => self.caller_gone(),
                event = next_event(&mut self.running) => self.on_event(event, &mut side).await,
            };
            if over {
                break;
            }
        }
        app.decisions.close(self.id);
    }

    async fn on_signal(&mut self, signal: Signal, side: &mut CallerSide) -> bool {
        match signal {
            Signal::Admitted => {
                self.admitted = true;
                self.start_claim();
                false
            }
            Signal::Rejected { code, retry_after } => {
                let run_state = RunState::NotRun;
                self.app.metrics.ended(Outcome::Rejected);
                self.fail(Failure::Policy { code, run_state, retry_after }, side).await
            }
            Signal::Granted => self.granted(side).await,
            Signal::Held(by) => {
                self.withdraw();
                self.held(by, side).await
            }
            Signal::ClaimGivenUp => {
                self.withdraw();
                self.end(Outcome::Failed);
                self.fail(Failure::NoClaim, side).await
            }
            Signal::Dispatch(dispatch) => {
                self.dispatch(dispatch);
                false
            }
            Signal::DropAttempt(attempt) => {
                if self.running.as_ref().is_some_and(|r| r.attempt == attempt) {
                    self.running = None;
                }
                false
            }
            Signal::Finish(end) => self.finished(end, side).await,
            Signal::CutOff => {
                self.withdraw();
                self.end(Outcome::Failed);
                let run_state =
                    if self.dispatched { RunState::MayHaveRun } else { RunState::NotRun };
                self.settle_as(run_state);
                self.fail(Failure::CutOff(run_state), side).await
            }
        }
    }

    fn start_claim(&mut self) {
        let context = self.hop.context();
        let Some((key, digest)) = self.claim.clone() else {
            self.waiting =
                Some(self.app.tracing.start_span("queue", TraceSpanKind::Internal, context));
            return;
        };
        self.waiting = Some(self.app.tracing.start_span("claim", TraceSpanKind::Internal, context));
        self.app.metrics.claim();
        let left = self.deadline.since(self.app.now());
        let until_unix_ms = unix_millis() + u64::try_from(left.as_millis()).unwrap_or(u64::MAX / 2);
        let (holder, abandon_at) = (self.id, self.deadline);
        let event = ClaimEvent::Claim { holder, key, digest, until_unix_ms, abandon_at };
        self.app.claims.handle(&self.app, event);
    }

    /// The claim is this request's. Its deadline is looked at again: the claim may have taken
    /// long, or this process may have been paused.
    async fn granted(&mut self, side: &mut CallerSide) -> bool {
        self.granted = true;
        if self.app.now() >= self.deadline {
            self.settle_as(RunState::NotRun);
            self.withdraw();
            self.end(Outcome::Failed);
            return self.fail(Failure::NoClaim, side).await;
        }
        let context = self.hop.context();
        self.waiting = Some(self.app.tracing.start_span("queue", TraceSpanKind::Internal, context));
        self.app.decisions.decide(&self.app, Event::Claimed(self.id));
        false
    }

    async fn held(&mut self, by: ExistingClaim, side: &mut CallerSide) -> bool {
        let failure = match by {
            ExistingClaim::Answered(answer) => match stored::response(&self.app, &answer).await {
                Some(res) => {
                    self.end(Outcome::Answered);
                    side.respond(res);
                    return true;
                }
                None => Failure::EarlierMayHaveRun,
            },
            ExistingClaim::InProgress => Failure::InProgress,
            ExistingClaim::MayHaveRun => Failure::EarlierMayHaveRun,
            ExistingClaim::DifferentRequest => Failure::KeyReused,
        };
        self.end(Outcome::Failed);
        self.fail(failure, side).await
    }

    fn dispatch(&mut self, dispatch: Dispatch) {
        self.waiting = None;
        let (app, attempt) = (&self.app, dispatch.attempt);
        // A process that was paused since the policy decided must not send after the deadline.
        if app.now() >= self.deadline {
            return app.decisions.decide(app, Event::Tick);
        }
        let Some(entry) = app.decisions.entry(&dispatch.endpoint) else {
            let end = AttemptEnd::NotSent;
            return app.decisions.decide(app, Event::Ended { attempt, end });
        };
        self.dispatched = true;
        let mut hop = app.tracing.start_span("attempt", TraceSpanKind::Client, self.hop.context());
        hop.set_attribute("attempt", attempt);
        hop.set_attribute("endpoint", &dispatch.endpoint);
        hop.set_attribute("number", dispatch.number);
        log::debug!(
            request:% = self.id, attempt:% = attempt, endpoint:% = dispatch.endpoint; "dispatch"
        );
        let trace = hop.context().clone();
        let (events, rx) = mpsc::channel(EVENTS_WAITING);
        let task = match &self.kind {
            Kind::Prompt { body, .. } => {
                let attempt = PromptAttempt {
                    app: app.clone(),
                    dispatch,
                    entry,
                    body: body.clone(),
                    delivered: self.delivered.clone(),
                    trace,
                    events,
                };
                tokio::task::spawn_local(attempt.run())
            }
            Kind::Plain { call } => {
                let connect_timeout = self.connect_timeout;
                let call = call.clone();
                let attempt =
                    PlainAttempt { dispatch, entry, call, connect_timeout, trace, events };
                tokio::task::spawn_local(attempt.run())
            }
        };
        self.running = Some(Running { attempt, task, events: rx, _hop: hop });
    }

    async fn on_event(&mut self, event: AttemptEvent, side: &mut CallerSide) -> bool {
        let Some(attempt) = self.running.as_ref().map(|r| r.attempt) else { return false };
        match event {
            AttemptEvent::Token(token) => self.token(attempt, token, side).await,
            AttemptEvent::Response(response) => {
                self.response = Some(response);
                false
            }
            AttemptEvent::Corrupt => {
                self.withdraw();
                self.end(Outcome::Failed);
                self.settle_as(RunState::Failed);
                let code = ringbend_policy::FailureCode::EndpointFailed;
                let failure =
                    Failure::Policy { code, run_state: RunState::Failed, retry_after: None };
                self.fail(failure, side).await
            }
            AttemptEvent::Ended(end) => {
                self.running = None;
                self.app.decisions.decide(&self.app, Event::Ended { attempt, end });
                false
            }
        }
    }

    async fn finished(&mut self, end: RequestEnd, side: &mut CallerSide) -> bool {
        self.running = None;
        match end {
            RequestEnd::Answered => {
                self.end(Outcome::Answered);
                self.answer(side).await;
                true
            }
            RequestEnd::Failed { code, run_state, retry_after } => {
                self.end(Outcome::Failed);
                self.settle_as(run_state);
                self.fail(Failure::Policy { code, run_state, retry_after }, side).await
            }
        }
    }

    fn caller_gone(&mut self) -> bool {
        self.withdraw();
        self.end(Outcome::CallerGone);
        self.settle_as(if self.dispatched { RunState::MayHaveRun } else { RunState::NotRun });
        true
    }

    fn withdraw(&mut self) {
        self.running = None;
        self.app.decisions.decide(&self.app, Event::Withdrawn(self.id));
    }

    /// Counts the end of an admitted request, once.
    fn end(&mut self, outcome: Outcome) {
        if std::mem::take(&mut self.admitted) {
            self.app.metrics.ended(outcome);
        }
    }
}

async fn next_event(running: &mut Option<Running>) -> AttemptEvent {
    match running {
        Some(running) => match running.events.recv().await {
            Some(event) => event,
            // The attempt's task ended without a word; count it as broken.
            None => AttemptEvent::Ended(AttemptEnd::Broken),
        },
        None => std::future::pending().await,
    }
}
