//! Runs of a request on an endpoint until the response starts.

use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{RequestHead, ResponseHead, StatusCode};
use bytes::Bytes;
use futures_util::future::{LocalBoxFuture, MaybeDone, maybe_done};
use ringbend_gateway::{Endpoint, EventId, LimitSource, Placement, overdue_after};
use ringbend_types::Timestamp;
use smallvec::SmallVec;

use crate::active_request::{ActiveRequest, SendFailure};
use crate::buffers::BodyKind;
use crate::crashes::AbandonGuard;
use crate::exchange::{self, ExchangeError, IncomingResponse};
use crate::headers::clone_head;
use crate::node::{Node, TrackedSend};
use crate::ports::ResponseMetadata;
use crate::scheduling::ScheduledSend;
use crate::streams::{EventStream, ResponseStream};
use crate::timeouts::RunError;

/// A request that was sent to an endpoint. Dropping it closes the connection, which tells the
/// endpoint to stop, and removes the work from the load tracker.
pub(crate) struct Run {
    pub(crate) endpoint: Endpoint,
    pub(crate) tracked: TrackedSend,
    /// The endpoints that the run depends on until its first event, in their state at the send.
    pub(crate) dependencies: SmallVec<[Endpoint; 4]>,
    /// When the request was sent.
    pub(crate) sent: Timestamp,
    /// Expected time to the first event.
    pub(crate) expected: Duration,
    /// When a missing first event counts as a failure.
    silence_deadline: Timestamp,
    pub(crate) abandon_guard: AbandonGuard,
    pub(crate) started: PendingStart,
}

/// The start of a run's response. Its result is kept until it is taken, so that a wait for it can be
/// cancelled and repeated at any time.
pub(crate) struct PendingStart(
    MaybeDone<LocalBoxFuture<'static, Result<ResponseStart, ExchangeError>>>,
);

impl PendingStart {
    /// Waits until the response has started or the run has failed.
    pub(crate) async fn ended(&mut self) -> Result<(), ExchangeError> {
        (&mut self.0).await;
        Ok(())
    }

    fn take(&mut self) -> Result<ResponseStart, RunError> {
        let started = Pin::new(&mut self.0).take_output();
        started.unwrap_or(Err(ExchangeError::Truncated)).map_err(RunError::Exchange)
    }
}

/// A response that has started.
pub(crate) struct ResponseStart {
    pub(crate) head: ResponseHead,
    pub(crate) response: ResponseMetadata,
    pub(crate) body: ResponseBody,
}

/// The part of a response that is still to be read.
pub(crate) enum ResponseBody {
    /// The complete body.
    Body(IncomingResponse),
    /// The events after the first one, which is `None` if the stream was empty.
    EventStream(EventStream, Option<ringbend_gateway::Event>),
}

/// Everything that is needed for a send.
struct SendRequest {
    node: Rc<Node>,
    endpoint: Endpoint,
    head: RequestHead,
    body: Bytes,
    request_id: Option<std::sync::Arc<str>>,
    last_event: Option<EventId>,
    /// Whether the response is a stream whose first event is awaited.
    streaming: bool,
}

impl SendRequest {
    async fn begin(self) -> Result<ResponseStart, ExchangeError> {
        let Self { node, endpoint, head, body, request_id, last_event, streaming } = self;
        let sent_at = node.clock.now();
        let connection = node.connect_endpoint(endpoint.address).await?;
        let incoming = exchange::send(&node.http_config, connection, head, body).await?;
        let head = clone_head(&incoming.head);
        let response = node.dialect.parse_response(head.status, &head.headers);
        if !response.is_wrong_endpoint
            && (response.request_id.is_none() || response.request_id == request_id)
        {
            node.apply_signals(&endpoint, sent_at, &response.signals, LimitSource::Response);
        }
        let is_own_response = !response.not_run && response.request_id == request_id;
        if !(streaming && is_own_response && head.status == StatusCode::OK) {
            return Ok(ResponseStart { head, response, body: ResponseBody::Body(incoming) });
        }
        let held = node.buffers.body(BodyKind::Response);
        let mut events = EventStream::new(incoming, last_event, held);
        let first = events.next().await?;
        Ok(ResponseStart { head, response, body: ResponseBody::EventStream(events, first) })
    }
}

impl ActiveRequest {
    /// Sends the request to the endpoints that it was placed on.
    pub(crate) async fn start(
        &mut self,
        scheduled: ScheduledSend,
        last_event: Option<EventId>,
    ) -> Result<Run, SendFailure> {
        let ScheduledSend { endpoint, placement, mut tracked, expected } = scheduled;
        let dependencies = self.run_dependencies(&endpoint, &placement);
        self.admit(&dependencies)?;
        self.reserve_memory(&placement, &mut tracked).await?;
        let head = self.request_head(&endpoint, &placement, tracked.memory.as_ref(), last_event);
        if self.is_held() {
            return Err(SendFailure::Held);
        }
        // The reservation took some milliseconds, so the check is repeated.
        self.admit(&dependencies)?;
        self.node.open_sends.borrow_mut().insert(tracked.id, self.original.keys.clone());
        self.streaming_since = None;
        self.strikes_before = self.original.keys.strikes(&self.node.quarantine.borrow());
        self.attempts.record_send(&endpoint.id);
        self.node.backoffs.borrow_mut().record_sent(self.node.clock.now(), &endpoint);
        self.node.metrics.attempt(self.attempts.tried().len() as u32);
        let sending = SendRequest {
            node: self.node.clone(),
            endpoint: endpoint.clone(),
            head,
            body: self.original.body.clone(),
            request_id: self.metadata.request_id.clone(),
            last_event: last_event.or(self.metadata.last_event_id),
            streaming: self.config.route.streaming,
        };
        let sent = self.node.clock.now();
        let overdue_at = sent + overdue_after(expected);
        let work = Box::pin(self.watch_for_overdue(&dependencies, overdue_at, sending.begin()));
        let started = PendingStart(maybe_done(work));
        let silence_deadline = self.silence_deadline(&tracked, expected);
        let abandon_guard = self.abandon_guard(&endpoint);
        Ok(Run {
            endpoint,
            tracked,
            dependencies,
            sent,
            expected,
            silence_deadline,
            abandon_guard,
            started,
        })
    }

    fn run_dependencies(&self, lead: &Endpoint, placement: &Placement) -> SmallVec<[Endpoint; 4]> {
        let directory = self.node.directory.borrow();
        let helpers = placement.helpers.iter().filter_map(|id| directory.get(id));
        std::iter::once(lead).chain(helpers).cloned().collect()
    }

    /// Waits for a run's response.
    pub(crate) async fn await_response(
        &mut self,
        mut run: Run,
    ) -> Result<(Run, ResponseStart), SendFailure> {
        let (sent, silence_deadline) = (run.sent, run.silence_deadline);
        let ended = run.started.ended();
        let waited = match run.tracked.memory {
            Some(_) => self.run_until(&run.dependencies, sent, silence_deadline, ended).await,
            None => self.wait_or_replace(&run.dependencies, sent, silence_deadline, ended).await,
        };
        let started = self.settle(&mut run, waited).await?;
        Ok((run, started))
    }

    /// Returns the response that a run has started, or records why there is none. `waited` is how
    /// the wait for it ended.
    pub(crate) async fn settle(
        &mut self,
        run: &mut Run,
        waited: Result<(), RunError>,
    ) -> Result<ResponseStart, SendFailure> {
        match run.end(waited) {
            Ok(started) => Ok(started),
            Err(why) => Err(self.fail_run(&run.endpoint, &why).await),
        }
    }
}

impl Run {
    /// The result of the run once the wait for it has ended.
    pub(crate) fn end(&mut self, waited: Result<(), RunError>) -> Result<ResponseStart, RunError> {
        self.abandon_guard.disarm();
        waited.and_then(|()| self.started.take())
    }

    /// Converts a run whose first event has arrived into its stream.
    pub(crate) fn into_stream(
        self,
        head: ResponseHead,
        events: EventStream,
        first: Option<ringbend_gateway::Event>,
    ) -> ResponseStream {
        let Self { endpoint, tracked, mut dependencies, .. } = self;
        tracked.record_first_event();
        // The prompt is prefilled, so the end of a helper no longer matters unless it holds
        // reserved memory.
        let holds = |e: &Endpoint| {
            tracked.memory.as_ref().is_some_and(|m| m.reservation_at(e.address).is_some())
        };
        dependencies.retain(|e| e.id == endpoint.id || holds(e));
        ResponseStream { head, endpoint, tracked, dependencies, events, first }
    }
}
