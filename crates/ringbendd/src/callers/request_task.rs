//! Handling of one request: admission, claim, attempts and response.
//!
//! Each request has its own task, which waits on the policy's signals, the current attempt and the
//! caller at once, so that the end of any of them also ends the others.

mod response;

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
use super::prompt::{PromptBody, request_digest};
use super::response_sink::ResponseSink;
use super::{Call, stored};
use crate::app::App;
use crate::policy_driver::RequestSignal;

/// Capacity of the queue of attempt events that wait to be written to the caller.
const EVENT_QUEUE_CAPACITY: usize = 64;

/// Capacity of the queue of response chunks that wait for the connection.
const STREAM_QUEUE_CAPACITY: usize = 64;

/// The event that ends a streamed response.
const SSE_DONE: &[u8] = b"data: [DONE]\n\n";

/// The kind of request, with the data that its attempts send.
pub(crate) enum RequestKind {
    Prompt { body: Rc<PromptBody>, stream: bool, chat: bool, model: ServiceName },
    Plain { call: Rc<PlainCall> },
}

/// The current attempt. Dropping it closes the attempt's connection.
struct RunningAttempt {
    attempt: AttemptId,
    task: JoinHandle<()>,
    events: mpsc::Receiver<AttemptEvent>,
    _span: TraceSpan,
}

impl Drop for RunningAttempt {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// The state of one request.
pub(crate) struct RequestTask {
    app: Rc<App>,
    id: RequestId,
    kind: RequestKind,
    profile: Option<RequestProfile>,
    prompt_tokens: TokenCount,
    arrived: Timestamp,
    deadline: Timestamp,
    connect_timeout: Duration,
    signals: mpsc::UnboundedReceiver<RequestSignal>,
    running: Option<RunningAttempt>,
    delivered: Delivered,
    finish_reason: Option<String>,
    response: Option<PlainResponse>,
    claim: Option<(ClaimKey, u64)>,
    claim_granted: bool,
    /// A copy of the streamed response, recorded only if the request has a claim.
    recorded: Option<BytesMut>,
    admitted: bool,
    dispatched: bool,
    span: TraceSpan,
    wait_span: Option<TraceSpan>,
    _permit: BodyPermit,
}

/// Returns the settings that apply to a request.
pub(crate) fn effective_settings(
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

/// Returns the time by which the response must be complete.
pub(crate) fn deadline(
    app: &App,
    headers: &CallHeaders,
    settings: &EffectiveSettings,
) -> Timestamp {
    let default = Duration::from_millis(settings.timeouts.deadline_ms);
    let max = Duration::from_millis(settings.timeouts.max_deadline_ms);
    app.now() + headers.deadline.unwrap_or(default).min(max)
}

impl RequestTask {
    pub(crate) fn new(
        app: &Rc<App>,
        call: Call,
        profile: RequestProfile,
        kind: RequestKind,
        signals: mpsc::UnboundedReceiver<RequestSignal>,
    ) -> Self {
        let Call { req, headers, body, permit } = call;
        let mut span = app.tracing.start_span("caller", TraceSpanKind::Server, &headers.trace);
        span.set_attribute("request", profile.id);
        span.set_attribute("account", &profile.account);
        let claim = headers.key.clone().map(|key| {
            let target = req.uri().path_and_query().map_or(req.path(), |target| target.as_str());
            let digest = request_digest(req.method().as_str(), target, &body, &headers);
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
            finish_reason: None,
            response: None,
            recorded: claim.is_some().then(BytesMut::new),
            claim,
            claim_granted: false,
            admitted: false,
            dispatched: false,
            span,
            wait_span: None,
            _permit: permit,
        }
    }

    /// Runs the request in its own task and returns the response once its head is known.
    pub(crate) async fn run(self) -> Result<HttpResponse, Failure> {
        let (tx, rx) = oneshot::channel();
        tokio::task::spawn_local(self.drive(ResponseSink::Waiting(tx)));
        Ok(rx.await.unwrap_or_else(|_| Failure::CutOff(RunState::MayHaveRun).into_response()))
    }

    async fn drive(mut self, mut sink: ResponseSink) {
        let app = self.app.clone();
        if let Some(profile) = self.profile.take() {
            if profile.settings.limits.tokens_per_s > 0 {
                app.policy.record_demand(&app, &profile.account, profile.cost().0);
            }
            app.policy.handle(&app, Event::Arrived(profile));
        }
        loop {
            let ended = tokio::select! {
                biased;
                signal = self.signals.recv() => match signal {
                    Some(signal) => self.on_signal(signal, &mut sink).await,
                    None => true,
                },
                () = sink.closed() => self.on_caller_gone(),
                event = next_event(&mut self.running) => self.on_event(event, &mut sink).await,
            };
            if ended {
                break;
            }
        }
        app.policy.unregister_request(self.id);
    }

    async fn on_signal(&mut self, signal: RequestSignal, sink: &mut ResponseSink) -> bool {
        match signal {
            RequestSignal::Admitted => {
                self.admitted = true;
                self.start_claim();
                false
            }
            RequestSignal::Rejected { code, retry_after } => {
                let run_state = RunState::NotRun;
                self.app.metrics.ended(Outcome::Rejected);
                self.fail(Failure::Policy { code, run_state, retry_after }, sink).await
            }
            RequestSignal::ClaimGranted => self.on_claim_granted(sink).await,
            RequestSignal::AlreadyClaimed(by) => {
                self.withdraw();
                self.on_already_claimed(by, sink).await
            }
            RequestSignal::ClaimAbandoned => {
                self.withdraw();
                self.count_outcome(Outcome::Failed);
                self.fail(Failure::NoClaim, sink).await
            }
            RequestSignal::Dispatch(dispatch) => {
                self.dispatch(dispatch);
                false
            }
            RequestSignal::DropAttempt(attempt) => {
                if self.running.as_ref().is_some_and(|r| r.attempt == attempt) {
                    self.running = None;
                }
                false
            }
            RequestSignal::Finish(end) => self.on_finish(end, sink).await,
            RequestSignal::CutOff => {
                self.withdraw();
                self.count_outcome(Outcome::Failed);
                let run_state =
                    if self.dispatched { RunState::MayHaveRun } else { RunState::NotRun };
                self.settle_claim(run_state);
                self.fail(Failure::CutOff(run_state), sink).await
            }
        }
    }

    fn start_claim(&mut self) {
        let context = self.span.context();
        let Some((key, digest)) = self.claim.clone() else {
            self.wait_span =
                Some(self.app.tracing.start_span("queue", TraceSpanKind::Internal, context));
            return;
        };
        self.wait_span =
            Some(self.app.tracing.start_span("claim", TraceSpanKind::Internal, context));
        self.app.metrics.claim();
        let remaining = self.deadline.since(self.app.now());
        let until_unix_ms =
            unix_millis() + u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX / 2);
        let (holder, abandon_at) = (self.id, self.deadline);
        let event = ClaimEvent::Claim { holder, key, digest, until_unix_ms, abandon_at };
        self.app.claims.handle(&self.app, event);
    }

    /// Continues once the claim is granted. The deadline is checked again, because the claim may
    /// have taken long or this process may have been paused.
    async fn on_claim_granted(&mut self, sink: &mut ResponseSink) -> bool {
        self.claim_granted = true;
        if self.app.now() >= self.deadline {
            self.settle_claim(RunState::NotRun);
            self.withdraw();
            self.count_outcome(Outcome::Failed);
            return self.fail(Failure::NoClaim, sink).await;
        }
        let context = self.span.context();
        self.wait_span =
            Some(self.app.tracing.start_span("queue", TraceSpanKind::Internal, context));
        self.app.policy.handle(&self.app, Event::Claimed(self.id));
        false
    }

    async fn on_already_claimed(&mut self, by: ExistingClaim, sink: &mut ResponseSink) -> bool {
        let failure = match by {
            ExistingClaim::Answered(answer) => match stored::response(&self.app, &answer).await {
                Some(res) => {
                    self.count_outcome(Outcome::Answered);
                    sink.respond(res);
                    return true;
                }
                None => Failure::EarlierMayHaveRun,
            },
            ExistingClaim::InProgress => Failure::InProgress,
            ExistingClaim::MayHaveRun => Failure::EarlierMayHaveRun,
            ExistingClaim::DifferentRequest => Failure::KeyReused,
        };
        self.count_outcome(Outcome::Failed);
        self.fail(failure, sink).await
    }

    fn dispatch(&mut self, dispatch: Dispatch) {
        self.wait_span = None;
        let (app, attempt) = (&self.app, dispatch.attempt);
        // If the process was paused since the policy decided, the deadline may have passed; nothing
        // may be sent after it.
        if app.now() >= self.deadline {
            return app.policy.handle(app, Event::Tick);
        }
        let Some(entry) = app.policy.entry(&dispatch.endpoint) else {
            let end = AttemptEnd::NotSent;
            return app.policy.handle(app, Event::Ended { attempt, end });
        };
        self.dispatched = true;
        let mut span =
            app.tracing.start_span("attempt", TraceSpanKind::Client, self.span.context());
        span.set_attribute("attempt", attempt);
        span.set_attribute("endpoint", &dispatch.endpoint);
        span.set_attribute("number", dispatch.number);
        log::debug!(
            request:% = self.id, attempt:% = attempt, endpoint:% = dispatch.endpoint; "dispatching an attempt"
        );
        let trace = span.context().clone();
        let (events, rx) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        let task = match &self.kind {
            RequestKind::Prompt { body, .. } => {
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
            RequestKind::Plain { call } => {
                let connect_timeout = self.connect_timeout;
                let call = call.clone();
                let attempt =
                    PlainAttempt { dispatch, entry, call, connect_timeout, trace, events };
                tokio::task::spawn_local(attempt.run())
            }
        };
        self.running = Some(RunningAttempt { attempt, task, events: rx, _span: span });
    }

    async fn on_event(&mut self, event: AttemptEvent, sink: &mut ResponseSink) -> bool {
        let Some(attempt) = self.running.as_ref().map(|r| r.attempt) else { return false };
        match event {
            AttemptEvent::Token(token) => self.on_token(attempt, token, sink).await,
            AttemptEvent::Response(response) => {
                self.response = Some(response);
                false
            }
            AttemptEvent::TokenCountMismatch => {
                self.withdraw();
                self.count_outcome(Outcome::Failed);
                self.settle_claim(RunState::Failed);
                let code = ringbend_policy::FailureCode::EndpointFailed;
                let failure =
                    Failure::Policy { code, run_state: RunState::Failed, retry_after: None };
                self.fail(failure, sink).await
            }
            AttemptEvent::Ended(end) => {
                self.running = None;
                self.app.policy.handle(&self.app, Event::Ended { attempt, end });
                false
            }
        }
    }

    async fn on_finish(&mut self, end: RequestEnd, sink: &mut ResponseSink) -> bool {
        self.running = None;
        match end {
            RequestEnd::Answered => {
                self.count_outcome(Outcome::Answered);
                self.respond(sink).await;
                true
            }
            RequestEnd::Failed { code, run_state, retry_after } => {
                self.count_outcome(Outcome::Failed);
                self.settle_claim(run_state);
                self.fail(Failure::Policy { code, run_state, retry_after }, sink).await
            }
        }
    }

    fn on_caller_gone(&mut self) -> bool {
        self.withdraw();
        self.count_outcome(Outcome::CallerGone);
        self.settle_claim(if self.dispatched { RunState::MayHaveRun } else { RunState::NotRun });
        true
    }

    fn withdraw(&mut self) {
        self.running = None;
        self.app.policy.handle(&self.app, Event::Withdrawn(self.id));
    }

    /// Counts the outcome of an admitted request, at most once.
    fn count_outcome(&mut self, outcome: Outcome) {
        if std::mem::take(&mut self.admitted) {
            self.app.metrics.ended(outcome);
        }
    }
}

async fn next_event(running: &mut Option<RunningAttempt>) -> AttemptEvent {
    match running {
        Some(running) => match running.events.recv().await {
            Some(event) => event,
            // The attempt's task ended without reporting an end; treat it as broken.
            None => AttemptEvent::Ended(AttemptEnd::Broken),
        },
        None => std::future::pending().await,
    }
}
