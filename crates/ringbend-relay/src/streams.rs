//! Passing an event stream on, and continuing it at another engine when it breaks.

use std::collections::VecDeque;
use std::time::Duration;

use actix_http::ResponseHead;
use bytes::Bytes;
use ringbend_gateway::{Endpoint, Event, EventId, EventSplitter, NextStep, SendOutcome};
use ringbend_runtime::{HttpResponse, StreamError, StreamSender, stream};
use ringbend_types::Timestamp;
use smallvec::SmallVec;

use crate::exchange::{Answer, ExchangeError};
use crate::headers::copy_headers;
use crate::life::{Failed, Life};
use crate::node::Placed;
use crate::runs::{Began, Rest};

/// Events that may wait for a slow caller.
const DEPTH: usize = 64;

/// The shortest silence between events that counts as a failure.
const GAP_SILENCE: Duration = Duration::from_millis(1_200);

/// How many times the longest pause that is on time counts as a failure.
const GAP_FACTOR: u32 = 4;

/// The events of one answer.
pub(crate) struct Events {
    answer: Answer,
    cutter: EventSplitter,
    ready: VecDeque<Event>,
    last: Option<EventId>,
}

impl Events {
    pub(crate) fn new(answer: Answer, last: Option<EventId>) -> Self {
        Self { answer, cutter: EventSplitter::default(), ready: VecDeque::new(), last }
    }

    /// The next event that was not passed on before; none once the stream has ended whole.
    pub(crate) async fn next(&mut self) -> Result<Option<Event>, ExchangeError> {
        loop {
            while let Some(event) = self.ready.pop_front() {
                let is_new = event.id.is_none_or(|id| self.last.is_none_or(|last| id > last));
                if is_new {
                    self.last = event.id.or(self.last);
                    return Ok(Some(event));
                }
            }
            match self.answer.chunk().await? {
                Some(chunk) => match self.cutter.push(&chunk) {
                    Ok(events) => self.ready.extend(events),
                    Err(e) => {
                        log::warn!(target: "request", error:% = e; "stream is no event stream");
                        return Err(ExchangeError::Truncated);
                    }
                },
                None if self.cutter.is_between_events() => return Ok(None),
                None => return Err(ExchangeError::Truncated),
            }
        }
    }
}

/// A stream whose first event has come.
pub(crate) struct Relayed {
    pub(crate) head: ResponseHead,
    pub(crate) endpoint: Endpoint,
    pub(crate) placed: Placed,
    /// The endpoints that the rest of it depends on.
    pub(crate) on: SmallVec<[Endpoint; 4]>,
    pub(crate) events: Events,
    pub(crate) first: Option<Event>,
}

/// Begins the caller's answer and passes the rest on in a task of its own.
pub(crate) fn relay(life: Life, relayed: Relayed) -> HttpResponse {
    let (tx, mut res) = stream(relayed.head.status, DEPTH);
    copy_headers(&relayed.head, res.headers_mut());
    tokio::task::spawn_local(async move {
        let mut life = life;
        let end = tokio::select! {
            end = pass_on(&mut life, relayed, &tx) => end,
            () = tx.closed() => return,
        };
        if let Err(cut) = end {
            life.log_end(cut.word());
            // The caller must see that the answer is not whole.
            if tx.send(Err(StreamError)).await.is_err() {
                log::debug!(target: "request", id = life.id(); "caller left before the cut");
            }
            return;
        }
        life.node.clear_suspect(life.origin.fingerprint);
        life.log_end("streamed");
    });
    res
}

/// Why a stream was cut.
enum Cut {
    Deadline,
    Broken,
}

impl Cut {
    fn word(&self) -> &'static str {
        match self {
            Self::Deadline => "cut-late",
            Self::Broken => "cut-broken",
        }
    }
}

async fn pass_on(life: &mut Life, relayed: Relayed, tx: &StreamSender) -> Result<(), Cut> {
    let Relayed { mut endpoint, mut placed, mut on, mut events, first, .. } = relayed;
    let Some(first) = first else { return Ok(()) };
    let mut last = first.id.or(life.call.last_event_id);
    deliver(tx, first).await;
    life.passed_on(&endpoint.id);
    life.writes_since = Some(life.node.clock.now());
    loop {
        let by = gap_limit(life);
        match life.patient(&on, by, events.next()).await {
            Ok(Some(event)) => {
                last = event.id.or(last);
                deliver(tx, event).await;
                life.passed_on(&endpoint.id);
            }
            Ok(None) => return Ok(()),
            Err(why) => {
                let failed = life.broken(&endpoint, &why);
                drop((placed, events));
                let resumed = resume(life, failed, last).await?;
                Relayed { endpoint, placed, on, events, .. } = resumed;
                let Some(next) = resumed.first else { return Ok(()) };
                last = next.id.or(last);
                deliver(tx, next).await;
                life.passed_on(&endpoint.id);
                life.writes_since = Some(life.node.clock.now());
            }
        }
    }
}

async fn deliver(tx: &StreamSender, event: Event) {
    if tx.send(Ok(Bytes::from(event.bytes))).await.is_err() {
        // The task ends as soon as it sees that the caller has left.
        std::future::pending::<()>().await;
    }
}

fn gap_limit(life: &Life) -> Timestamp {
    let deadline = life.attempts.deadline();
    if life.is_long_to_read_twice() {
        return deadline;
    }
    let gap = life.terms.route.gap_aim.unwrap_or(life.terms.route.aim);
    deadline.min(life.node.clock.now() + (gap * GAP_FACTOR).max(GAP_SILENCE))
}

/// Goes on after `last` at another engine.
async fn resume(
    life: &mut Life,
    mut failed: Failed,
    last: Option<EventId>,
) -> Result<Relayed, Cut> {
    loop {
        if life.node.clock.now() >= life.attempts.deadline() {
            return Err(Cut::Deadline);
        }
        let goes_on = match failed {
            Failed::Replaced => true,
            Failed::Send(end) => life.next(end) == NextStep::Retry,
            Failed::NoMemory => life.wait_for_memory().await,
            Failed::NoEndpoint
            | Failed::NoTurn
            | Failed::Held
            | Failed::NoArbiter
            | Failed::Limited(_)
            | Failed::BackingOff(_)
            | Failed::Stopping
            | Failed::Cut => false,
        };
        if !goes_on || last.is_none() {
            return Err(Cut::Broken);
        }
        match resume_once(life, last).await {
            Ok(relayed) => return Ok(relayed),
            Err(why) => failed = why,
        }
    }
}

async fn resume_once(life: &mut Life, last: Option<EventId>) -> Result<Relayed, Failed> {
    let sent = life.schedule(true).await?;
    let run = life.start(sent, last).await?;
    let (run, began) = life.only(run).await?;
    let Began { head, facts, rest } = began;
    life.check(&run.endpoint, &facts, head.status)?;
    match rest {
        Rest::Events(events, first) => Ok(run.into_stream(head, events, first)),
        Rest::Body(_) => Err(Failed::Send(SendOutcome::FailedAnswer)),
    }
}
