//! Forwarding of event streams, which are resumed on another engine when they break.

use std::collections::VecDeque;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::ResponseHead;
use bytes::Bytes;
use ringbend_gateway::{Endpoint, Event, EventId, EventSplitter, NextStep, SendOutcome};
use ringbend_runtime::{HttpResponse, StreamSender, catch_panic, stream};
use ringbend_types::Timestamp;
use smallvec::SmallVec;

use crate::active_request::{ActiveRequest, SendFailure};
use crate::buffers::{BodyKind, HeldBytes, NoRoom};
use crate::event_queue::{EventQueue, QueuedEvent};
use crate::exchange::{ExchangeError, IncomingResponse};
use crate::headers::copy_headers;
use crate::node::TrackedSend;
use crate::runs::{ResponseBody, ResponseStart};

/// Number of events buffered for a slow caller.
const EVENT_BUFFER: usize = 64;

/// Shortest silence between events that counts as a failure.
const GAP_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Multiple of the target for pauses between events that counts as a failure.
const GAP_FACTOR: u32 = 4;

/// The events of one response.
pub(crate) struct EventStream {
    incoming: IncomingResponse,
    parser: EventSplitter,
    ready: VecDeque<Event>,
    last: Option<EventId>,
    /// Counts the buffered bytes of an incomplete event.
    incomplete: HeldBytes,
}

impl EventStream {
    /// Creates a stream that counts the buffered bytes of an incomplete event in `incomplete`.
    pub(crate) fn new(
        incoming: IncomingResponse,
        last: Option<EventId>,
        incomplete: HeldBytes,
    ) -> Self {
        let (parser, ready) = (EventSplitter::default(), VecDeque::new());
        Self { incoming, parser, ready, last, incomplete }
    }

    /// The next event that was not forwarded before; `None` at the regular end of the stream.
    pub(crate) async fn next(&mut self) -> Result<Option<Event>, ExchangeError> {
        loop {
            while let Some(event) = self.ready.pop_front() {
                let is_new = event.id.is_none_or(|id| self.last.is_none_or(|last| id > last));
                if is_new {
                    self.last = event.id.or(self.last);
                    return Ok(Some(event));
                }
            }
            match self.incoming.next_chunk().await? {
                Some(chunk) => self.parse(&chunk).await?,
                None if self.parser.is_between_events() => return Ok(None),
                None => return Err(ExchangeError::Truncated),
            }
        }
    }

    async fn parse(&mut self, chunk: &[u8]) -> Result<(), ExchangeError> {
        match self.parser.push(chunk) {
            Ok(events) => self.ready.extend(events),
            Err(e) => {
                log::warn!(target: "request", error:% = e; "invalid event stream");
                return Err(ExchangeError::Truncated);
            }
        }
        let counted = self.incomplete.resize(self.parser.incomplete_bytes()).await;
        counted.map_err(|NoRoom| ExchangeError::NoRoom)
    }
}

/// A stream whose first event has arrived.
pub(crate) struct ResponseStream {
    pub(crate) head: ResponseHead,
    pub(crate) endpoint: Endpoint,
    pub(crate) tracked: TrackedSend,
    /// The endpoints that the rest of the stream depends on.
    pub(crate) dependencies: SmallVec<[Endpoint; 4]>,
    pub(crate) events: EventStream,
    pub(crate) first: Option<Event>,
}

/// Starts the response to the caller and forwards the remaining events in a separate task.
pub(crate) fn forward(
    request: Box<ActiveRequest>,
    response_stream: ResponseStream,
) -> HttpResponse {
    let (tx, mut res) = stream(response_stream.head.status, EVENT_BUFFER);
    let tx = EventSender { tx, queue: Rc::default() };
    copy_headers(&response_stream.head, res.headers_mut());
    tokio::task::spawn_local(async move {
        let mut request = request;
        let end = {
            let forwarding = pin!(forward_stream(&mut request, response_stream, &tx));
            tokio::select! {
                end = catch_panic(forwarding) => end,
                () = tx.tx.closed() => return,
            }
        };
        let end = end.unwrap_or_else(|panic| {
            request.node.record_panic(request.request_id(), &panic);
            Err(StreamAbort::Internal)
        });
        if let Err(cut) = end {
            // Dropping `tx` aborts the response.
            return request.log_end(cut.outcome());
        }
        request.node.clear_suspect(request.original.keys.request);
        request.log_end("streamed");
        tx.tx.finish();
    });
    res
}

/// The caller's side of a stream.
struct EventSender {
    tx: StreamSender<QueuedEvent>,
    queue: Rc<EventQueue>,
}

/// Why a stream was cut off.
enum StreamAbort {
    Deadline,
    /// The caller did not read in time.
    Unread,
    /// Other bodies take all the memory for them.
    NoRoom,
    Broken,
    /// The task of the request panicked.
    Internal,
}

impl StreamAbort {
    fn outcome(&self) -> &'static str {
        match self {
            Self::Deadline => "cut-late",
            Self::Unread => "cut-unread",
            Self::NoRoom => "cut-no-room",
            Self::Broken => "cut-broken",
            Self::Internal => "cut-internal",
        }
    }
}

async fn forward_stream(
    request: &mut ActiveRequest,
    response_stream: ResponseStream,
    tx: &EventSender,
) -> Result<(), StreamAbort> {
    let ResponseStream { mut endpoint, mut tracked, mut dependencies, mut events, first, .. } =
        response_stream;
    let Some(first) = first else { return Ok(()) };
    let mut last = first.id.or(request.metadata.last_event_id);
    send_event(request, tx, first).await?;
    request.record_forwarded(&endpoint.id);
    request.streaming_since = Some(request.node.clock.now());
    let mut survival = request.watch_survival(&endpoint);
    loop {
        let (silent_since, silence_deadline) = (request.node.clock.now(), gap_deadline(request));
        let next = events.next();
        let next = request.wait_or_replace(&dependencies, silent_since, silence_deadline, next);
        match next.await {
            Ok(Some(event)) => {
                last = event.id.or(last);
                send_event(request, tx, event).await?;
                request.record_forwarded(&endpoint.id);
            }
            Ok(None) => {
                survival.run_ended();
                return Ok(());
            }
            Err(why) => {
                let failure = request.fail_run(&endpoint, &why).await;
                drop((tracked, events, survival));
                let resumed = resume(request, failure, last).await?;
                ResponseStream { endpoint, tracked, dependencies, events, .. } = resumed;
                let Some(next) = resumed.first else { return Ok(()) };
                last = next.id.or(last);
                send_event(request, tx, next).await?;
                request.record_forwarded(&endpoint.id);
                request.streaming_since = Some(request.node.clock.now());
                survival = request.watch_survival(&endpoint);
            }
        }
    }
}

/// Forwards an event.
///
/// # Errors
///
/// The caller has not read the events before it by the request's deadline, or there is no room for
/// it.
async fn send_event(
    request: &ActiveRequest,
    tx: &EventSender,
    event: Event,
) -> Result<(), StreamAbort> {
    let deadline = request.attempts.deadline();
    let held = request.node.buffers.body(BodyKind::Response);
    let sending = async {
        let event = tx.queue.push(Bytes::from(event.bytes), held).await;
        match tx.tx.send(Ok(event.map_err(|NoRoom| StreamAbort::NoRoom)?)).await {
            Ok(()) => Ok(()),
            // The task ends as soon as it notices that the caller has disconnected.
            Err(_) => std::future::pending().await,
        }
    };
    tokio::select! {
        biased;
        sent = sending => sent,
        () = request.node.clock.sleep_until(deadline) => Err(StreamAbort::Unread),
    }
}

fn gap_deadline(request: &ActiveRequest) -> Timestamp {
    let deadline = request.attempts.deadline();
    if request.is_too_long_to_rerun() {
        return deadline;
    }
    let gap = request.config.route.target_gap.unwrap_or(request.config.route.target_latency);
    deadline.min(request.node.clock.now() + (gap * GAP_FACTOR).max(GAP_SILENCE_TIMEOUT))
}

/// Resumes the stream after `last` on another engine.
async fn resume(
    request: &mut ActiveRequest,
    mut failure: SendFailure,
    last: Option<EventId>,
) -> Result<ResponseStream, StreamAbort> {
    loop {
        if request.node.clock.now() >= request.attempts.deadline() {
            return Err(StreamAbort::Deadline);
        }
        let can_resume = match failure {
            SendFailure::Replaced => true,
            SendFailure::Send(end) => request.after_send(end) == NextStep::Retry,
            SendFailure::NoMemory => request.wait_for_memory().await,
            SendFailure::NoEndpoint
            | SendFailure::TurnExpired
            | SendFailure::Held
            | SendFailure::NoArbiter
            | SendFailure::Limited(_)
            | SendFailure::Overloaded(_)
            | SendFailure::BackingOff(_)
            | SendFailure::OutOfReach
            | SendFailure::Stopping
            | SendFailure::NoBufferRoom
            | SendFailure::Aborted => false,
        };
        if !can_resume || last.is_none() {
            return Err(StreamAbort::Broken);
        }
        match resume_once(request, last).await {
            Ok(stream) => return Ok(stream),
            Err(why) => failure = why,
        }
    }
}

async fn resume_once(
    request: &mut ActiveRequest,
    last: Option<EventId>,
) -> Result<ResponseStream, SendFailure> {
    let scheduled = request.schedule(true).await?;
    let run = request.start(scheduled, last).await?;
    let (run, started) = request.await_response(run).await?;
    let ResponseStart { head, response, body } = started;
    request.check_response(&run.endpoint, &response, head.status)?;
    match body {
        ResponseBody::EventStream(events, first) => Ok(run.into_stream(head, events, first)),
        ResponseBody::Body(_) => Err(SendFailure::Send(SendOutcome::FailedAnswer)),
    }
}
