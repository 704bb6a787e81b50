//! The life cycle of one admitted request: its sends to endpoints until a response begins or the
//! request is rejected.

use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::body::MessageBody;
use actix_http::{RequestHead, Response, ResponseHead, StatusCode};
use bytes::Bytes;
use rand::Rng;
use ringbend_gateway::{
    Account, Attempts, ConfigVersion, HealthEvent, NextStep, PATH_CHECK_INTERVAL, Route,
    SendOutcome, Service,
};
use ringbend_runtime::{HttpResponse, NOT_RUN_STATUSES, catch_panic};
use ringbend_types::{EndpointId, PromptBucket, RunState, Timestamp, TokenCount};

use crate::buffers::{BodyKind, HeldBytes};
use crate::engine_pace::LongPauseCounter;
use crate::exchange::IncomingResponse;
use crate::guarded_body::GuardedBytes;
use crate::headers::copy_headers;
use crate::log_fields::{AccountName, Millis};
use crate::node::Node;
use crate::ports::RequestMetadata;
use crate::refusal::Refusal;
use crate::runs::{ResponseBody, ResponseStart, Run};
use crate::streams::ResponseStream;
use crate::suspect_keys::{StrikeCounts, SuspectKeys};

/// The request as received from the caller.
pub(crate) struct OriginalRequest {
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    /// What crashes of its endpoints are attributed to.
    pub(crate) keys: Rc<SuspectKeys>,
    /// The memory of the body.
    pub(crate) _held: HeldBytes,
}

/// The part of the configuration that applies to the request.
pub(crate) struct RequestConfig {
    pub(crate) route: Arc<Route>,
    pub(crate) account: Option<Account>,
    pub(crate) service: Service,
    pub(crate) version: ConfigVersion,
}

/// One admitted request. If it is dropped before its end was logged, the caller has disconnected.
pub(crate) struct ActiveRequest {
    pub(crate) node: Rc<Node>,
    pub(crate) metadata: RequestMetadata,
    pub(crate) original: OriginalRequest,
    pub(crate) config: RequestConfig,
    pub(crate) attempts: Attempts,
    pub(crate) arrived_at: Timestamp,
    /// An error response of an endpoint, returned to the caller if no other endpoint succeeds.
    endpoint_failure: Option<HttpResponse>,
    /// Time after which endpoints are expected to accept requests again.
    pub(crate) retry_after: Option<Duration>,
    is_end_logged: bool,
    /// Since when the current run streams its response.
    pub(crate) streaming_since: Option<Timestamp>,
    /// The strikes of the request and its parts when its last run started.
    pub(crate) strikes_before: StrikeCounts,
    /// Whether this is the trial run of a held request.
    pub(crate) is_trial: bool,
    delivery: DeliveryTimes,
    /// Long pauses of the stream, which indicate a slow engine.
    pub(crate) pauses: LongPauseCounter,
}

/// When events were forwarded to the caller.
#[derive(Debug, Clone, Copy, Default)]
struct DeliveryTimes {
    first: Option<Timestamp>,
    last: Option<Timestamp>,
    longest_gap: Duration,
}

/// The outcome of a successful send.
enum SendSuccess {
    /// A complete response.
    Complete(HttpResponse, StatusCode),
    /// A stream whose first event has arrived.
    Stream(Box<ResponseStream>),
}

/// How the sends of a request ended.
enum RequestOutcome {
    /// With the response to the caller.
    Complete(HttpResponse),
    /// With a stream that is to be forwarded to the caller.
    Stream(Box<ResponseStream>),
}

/// Range of the `Retry-After` of a long prompt that could not be placed in time, as a share of its
/// target time to the first event.
const LATE_RETRY_AFTER_SHARE: std::ops::Range<f64> = 0.5..1.0;

/// Callers are spread over this time when a back-off of endpoints ends.
const BACKOFF_END_JITTER: Duration = Duration::from_millis(500);

/// Maximum size of a buffered response, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

impl ActiveRequest {
    pub(crate) fn new(
        node: Rc<Node>,
        metadata: RequestMetadata,
        original: OriginalRequest,
        config: RequestConfig,
        attempts: Attempts,
        arrived_at: Timestamp,
    ) -> Self {
        node.metrics.admitted();
        let (endpoint_failure, retry_after, is_end_logged) = (None, None, false);
        Self {
            node,
            metadata,
            original,
            config,
            attempts,
            arrived_at,
            endpoint_failure,
            retry_after,
            is_end_logged,
            streaming_since: None,
            strikes_before: StrikeCounts::new(),
            is_trial: false,
            delivery: DeliveryTimes::default(),
            pauses: LongPauseCounter::default(),
        }
    }

    /// Sends the request until an endpoint responds or the request is rejected.
    pub(crate) async fn run(mut self: Box<Self>) -> HttpResponse {
        let outcome = {
            let running = pin!(self.run_until_response());
            catch_panic(running).await
        };
        match outcome {
            Ok(RequestOutcome::Complete(res)) => res,
            Ok(RequestOutcome::Stream(stream)) => crate::streams::forward(self, *stream),
            Err(panic) => {
                self.node.record_panic(self.request_id(), &panic);
                let was_sent = !self.attempts.tried().is_empty();
                self.refuse(if was_sent { Refusal::Internal } else { Refusal::InternalNotRun })
            }
        }
    }

    async fn run_until_response(&mut self) -> RequestOutcome {
        loop {
            let node = self.node.clone();
            let sent = tokio::select! {
                biased;
                sent = self.send() => sent,
                () = node.wait_until_last_response() => Err(SendFailure::Aborted),
            };
            let failure = match sent {
                Ok(SendSuccess::Complete(res, status)) => {
                    return RequestOutcome::Complete(self.finish(res, status.as_str()));
                }
                Ok(SendSuccess::Stream(stream)) => return RequestOutcome::Stream(stream),
                Err(failure) => failure,
            };
            if let Some(refusal) = self.handle_failure(failure).await {
                return RequestOutcome::Complete(self.reject(refusal));
            }
        }
    }

    /// Decides what follows a failed send. `None` if the request is sent again.
    async fn handle_failure(&mut self, failure: SendFailure) -> Option<Refusal> {
        match failure {
            SendFailure::Replaced => None,
            SendFailure::NoMemory if self.wait_for_memory().await => None,
            SendFailure::TurnExpired => {
                self.retry_after = Some(self.late_retry_after());
                Some(self.refusal_unless_run(Refusal::LateNotRun))
            }
            SendFailure::Held => {
                let (retry_after, refusal) = self.held_reason();
                self.retry_after = retry_after;
                Some(self.refusal_unless_run(refusal))
            }
            SendFailure::Limited(after) => {
                self.retry_after = Some(after);
                Some(self.refusal_unless_run(Refusal::Limited))
            }
            SendFailure::Overloaded(after) => {
                self.retry_after = Some(after);
                Some(self.refusal_unless_run(Refusal::Overloaded))
            }
            SendFailure::BackingOff(after) => {
                self.retry_after = Some(self.with_jitter(after));
                Some(self.refusal_unless_run(Refusal::BackingOff))
            }
            SendFailure::OutOfReach => {
                self.retry_after = Some(self.with_jitter(PATH_CHECK_INTERVAL));
                Some(self.refusal_unless_run(Refusal::OutOfReach))
            }
            SendFailure::Stopping => Some(self.refusal_unless_run(Refusal::Stopping)),
            SendFailure::Aborted | SendFailure::NoBufferRoom => {
                self.attempts.record_aborted();
                Some(Refusal::of_state(self.attempts.run_state()))
            }
            SendFailure::NoArbiter => Some(self.refusal_unless_run(Refusal::Suspected)),
            SendFailure::NoMemory | SendFailure::NoEndpoint => {
                Some(self.refusal_unless_run(Refusal::NoEndpoint))
            }
            SendFailure::Send(end) => match self.after_send(end) {
                NextStep::Retry => None,
                NextStep::ForwardFailure => Some(Refusal::MayHaveRun),
                NextStep::GiveUp(state) => {
                    let after = self.node.all_backing_off(&self.config.service.name);
                    self.retry_after =
                        after.map(|after| self.with_jitter(after)).or(self.retry_after);
                    Some(self.deadline_refusal().unwrap_or(Refusal::of_state(state)))
                }
            },
        }
    }

    /// Returns `refusal` if the request was not run, otherwise the refusal that states its run
    /// state.
    fn refusal_unless_run(&self, refusal: Refusal) -> Refusal {
        match self.attempts.run_state() {
            RunState::NotRun => refusal,
            state => Refusal::of_state(state),
        }
    }

    /// The time until the next trial run of what the request is held for, and the refusal.
    fn held_reason(&self) -> (Option<Duration>, Refusal) {
        let quarantine = self.node.quarantine.borrow();
        let cause = self.original.keys.assess(&quarantine).cause;
        let cause = cause.unwrap_or(self.original.keys.request);
        let is_part = cause != self.original.keys.request;
        let refusal = if is_part { Refusal::HeldPart } else { Refusal::Held };
        (quarantine.until_try(self.node.clock.now(), cause), refusal)
    }

    /// Time after which a long prompt that could not be placed in time is worth retrying. The
    /// requests that occupy the engines now have similar targets. The value is random, so that
    /// callers refused together do not return together.
    fn late_retry_after(&self) -> Duration {
        let share = self.node.rng.borrow_mut().random_range(LATE_RETRY_AFTER_SHARE);
        self.config.route.target_latency.mul_f64(share)
    }

    /// Time after which to return to endpoints that accept requests after `wait`, with a random
    /// part so that callers do not return together.
    fn with_jitter(&self, wait: Duration) -> Duration {
        wait + BACKOFF_END_JITTER.mul_f64(self.node.rng.borrow_mut().random())
    }

    /// Ends the request with the error response of an endpoint if there is one, otherwise with
    /// `refusal`.
    fn reject(&mut self, refusal: Refusal) -> HttpResponse {
        match self.endpoint_failure.take() {
            Some(res) => self.finish(res, "endpoint-failure"),
            None => self.refuse(refusal),
        }
    }

    /// Decides what follows a send that ended without a usable response.
    pub(crate) fn after_send(&mut self, end: SendOutcome) -> NextStep {
        let now = self.node.clock.now();
        let budget = &mut self.node.budget.borrow_mut();
        self.attempts.record_outcome(now, end, &self.config.service.name, budget)
    }

    fn deadline_refusal(&self) -> Option<Refusal> {
        if self.node.clock.now() < self.attempts.deadline() {
            return None;
        }
        match self.attempts.run_state() {
            RunState::NotRun => Some(Refusal::LateNotRun),
            _ => Some(Refusal::Late),
        }
    }

    fn finish(&mut self, res: HttpResponse, outcome: &str) -> HttpResponse {
        self.log_end(outcome);
        res
    }

    fn refuse(&mut self, refusal: Refusal) -> HttpResponse {
        self.node.metrics.failure(refusal.code());
        self.log_end(refusal.code());
        let mut res = refusal.into_response(self.retry_after);
        self.node.dialect.mark_local_response(&self.metadata, res.headers_mut());
        res
    }

    /// Records that an event from an endpoint was forwarded to the caller.
    pub(crate) fn record_forwarded(&mut self, endpoint: &EndpointId) {
        let now = self.node.clock.now();
        match self.delivery.last {
            Some(last) => {
                self.delivery.longest_gap = self.delivery.longest_gap.max(now.since(last));
                self.record_pause(endpoint, now.since(last));
            }
            None => {
                self.delivery.first = Some(now);
                let tokens = TokenCount(self.metadata.demand.map_or(0, |d| d.prompt_tokens));
                let bucket = PromptBucket::of(tokens);
                self.node.metrics.first_token(bucket, now.since(self.arrived_at));
            }
        }
        self.delivery.last = Some(now);
    }

    /// Logs the end of the request.
    pub(crate) fn log_end(&mut self, outcome: &str) {
        self.is_end_logged = true;
        let ms = self.node.clock.now().since(self.arrived_at).as_millis() as u64;
        let sends = self.attempts.tried().len();
        let (id, route) = (self.request_id(), &self.config.route.name);
        let first_ms = Millis(self.delivery.first.map(|at| at.since(self.arrived_at)));
        let gap_ms = self.delivery.longest_gap.as_millis() as u64;
        let aim_ms = self.config.route.target_latency.as_millis() as u64;
        let gap_aim_ms = self.gap_target().as_millis() as u64;
        let account = AccountName(self.config.account.as_ref().map(|account| &account.id));
        let prompt = self.metadata.demand.map_or(0, |demand| demand.prompt_tokens);
        let prefill_ms = self.prefill_time().as_millis() as u64;
        log::info!(
            target: "request", id, fingerprint:% = self.original.keys.request, route:%,
            config:% = self.config.version, outcome, ms, sends,
            first_ms:%, gap_ms, aim_ms, gap_aim_ms, prompt, prefill_ms,
            priority = self.priority(), account:%, parts:% = self.metadata.parts;
            "ended"
        );
    }

    pub(crate) fn request_id(&self) -> &str {
        self.metadata.request_id.as_deref().unwrap_or("-")
    }

    async fn send(&mut self) -> Result<SendSuccess, SendFailure> {
        let scheduled = self.schedule(false).await?;
        let run = self.start(scheduled, None).await?;
        let (run, started) = self.await_first_response(run).await?;
        let ResponseStart { head, response, body } = started;
        self.check_response(&run.endpoint, &response, head.status)?;
        match body {
            ResponseBody::EventStream(events, first) => {
                self.record_health(&run.endpoint.id, HealthEvent::Good);
                Ok(SendSuccess::Stream(Box::new(run.into_stream(head, events, first))))
            }
            ResponseBody::Body(_) if self.is_unproved_promise(head.status) => {
                log::warn!(
                    target: "request", id = self.request_id(), endpoint:% = run.endpoint.id,
                    status = head.status.as_u16();
                    "endpoint does not prove that the request was not run"
                );
                Err(SendFailure::Send(SendOutcome::Unknown))
            }
            ResponseBody::Body(incoming) => self.read_response(&run, head, incoming).await,
        }
    }

    /// Whether callers would take the status for the promise that the request was not run, which the
    /// endpoint has not given.
    fn is_unproved_promise(&self, status: StatusCode) -> bool {
        !self.config.route.repeat.may_repeat() && NOT_RUN_STATUSES.contains(&status)
    }

    /// Reads the remaining body of a response that is not streamed.
    async fn read_response(
        &mut self,
        run: &Run,
        head: ResponseHead,
        mut incoming: IncomingResponse,
    ) -> Result<SendSuccess, SendFailure> {
        let held = self.node.buffers.body(BodyKind::Response);
        let (dependencies, deadline) =
            (std::slice::from_ref(&run.endpoint), self.attempts.deadline());
        let result = self
            .run_until(
                dependencies,
                self.node.clock.now(),
                deadline,
                incoming.read_counted(MAX_RESPONSE_BYTES, held),
            )
            .await;
        let (body, held) = match result {
            Ok(read) => read,
            Err(why) => return Err(self.fail_run(&run.endpoint, &why).await),
        };
        let status = head.status;
        let mut res = Response::with_body(status, GuardedBytes::new(body, held).boxed());
        copy_headers(&head, res.headers_mut());
        let may_succeed_elsewhere =
            status.is_server_error() && self.config.route.repeat.may_repeat();
        if may_succeed_elsewhere {
            self.endpoint_failure = Some(res);
            return Err(SendFailure::Send(SendOutcome::FailedAnswer));
        }
        self.record_health(&run.endpoint.id, HealthEvent::Good);
        self.node.clear_suspect(self.original.keys.request);
        self.watch_survival(&run.endpoint).run_ended();
        Ok(SendSuccess::Complete(res, status))
    }
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        if !self.is_end_logged {
            self.log_end("caller-gone");
        }
    }
}

/// Why a send produced nothing that can be forwarded.
pub(crate) enum SendFailure {
    /// The deadline passed before the request's turn came.
    TurnExpired,
    /// No eligible endpoint was left.
    NoEndpoint,
    /// Engines had too little free memory for the reservation; nothing was sent.
    NoMemory,
    /// The request is held because it crashes endpoints.
    Held,
    /// The request may crash endpoints, and no arbiter is available to place it.
    NoArbiter,
    /// All remaining endpoints are rate-limited and have no permit for at least this time.
    Limited(Duration),
    /// Engines are overloaded; capacity is expected after this time.
    Overloaded(Duration),
    /// All endpoints asked this instance to back off for at least this time.
    BackingOff(Duration),
    /// Another send replaces this one.
    Replaced,
    /// The instance is stopping, and the response could not end before that.
    Stopping,
    /// The instance has stopped and the send was aborted.
    Aborted,
    /// The response could not be held, because other bodies take all the memory for them.
    NoBufferRoom,
    /// No instance reaches any endpoint of the service.
    OutOfReach,
    /// The send ended with this outcome.
    Send(SendOutcome),
}
