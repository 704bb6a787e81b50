//! A request on an endpoint until its answer begins, and a second run beside the first one.
//!
//! A short prompt whose first event is overdue may be on an engine that is slow, gone or reading
//! something else. Nobody can tell in time, so another engine gets the request as well while it can still
//! be on time there, and whichever begins first answers. It buys the aim of those whose engine has just
//! died or turned slow, which would else wait for over a second, at the cost of a prompt that is read
//! twice; the budget of repeats bounds how many.

use std::rc::Rc;
use std::time::Duration;

use actix_http::{RequestHead, ResponseHead, StatusCode};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use ringbend_gateway::{
    Endpoint, EventId, LimitSource, Placement, SuspectState, hedge_at, overdue_after,
};
use ringbend_types::Timestamp;
use smallvec::SmallVec;

use crate::crashes::Unanswered;
use crate::exchange::{self, Answer, ExchangeError};
use crate::fields::Millis;
use crate::headers::clone_head;
use crate::life::{Failed, Life};
use crate::node::{Node, Placed};
use crate::ports::ResponseMetadata;
use crate::scheduled::Scheduled;
use crate::silence::Broken;
use crate::streams::{Events, Relayed};

/// A request that was sent to an endpoint. Dropping it closes the connection, which tells the endpoint
/// to stop, and takes it off the books.
pub(crate) struct Run {
    pub(crate) endpoint: Endpoint,
    placed: Placed,
    /// The endpoints that it depends on until its first event, as they were when it was sent.
    on: SmallVec<[Endpoint; 4]>,
    /// When it was sent.
    sent: Timestamp,
    /// How long its first event was expected to take.
    expected: Duration,
    /// When silence counts as a failure.
    silent_at: Timestamp,
    unanswered: Unanswered,
    began: LocalBoxFuture<'static, Result<Began, ExchangeError>>,
}

/// An answer that has begun.
pub(crate) struct Began {
    pub(crate) head: ResponseHead,
    pub(crate) facts: ResponseMetadata,
    pub(crate) rest: Rest,
}

/// What is still to be read of it.
pub(crate) enum Rest {
    /// All of its body.
    Body(Answer),
    /// The events after the first one; none came if the stream was empty.
    Events(Events, Option<ringbend_gateway::Event>),
}

/// What is sent.
struct Sending {
    node: Rc<Node>,
    endpoint: Endpoint,
    head: RequestHead,
    body: Bytes,
    request_id: Option<std::sync::Arc<str>>,
    last_event: Option<EventId>,
    /// Whether the answer is a stream, whose first event is waited for.
    streaming: bool,
}

impl Sending {
    async fn begin(self) -> Result<Began, ExchangeError> {
        let Self { node, endpoint, head, body, request_id, last_event, streaming } = self;
        let asked = node.clock.now();
        let answer = exchange::send(&node.http, endpoint.address, head, body).await?;
        let head = clone_head(&answer.head);
        let facts = node.dialect.parse_response(head.status, &head.headers);
        if !facts.is_wrong_endpoint
            && (facts.request_id.is_none() || facts.request_id == request_id)
        {
            node.apply_signals(&endpoint, asked, &facts.signals, LimitSource::Response);
        }
        let is_own = !facts.not_run && facts.request_id == request_id;
        if !(streaming && is_own && head.status == StatusCode::OK) {
            return Ok(Began { head, facts, rest: Rest::Body(answer) });
        }
        let mut events = Events::new(answer, last_event);
        let first = events.next().await?;
        Ok(Began { head, facts, rest: Rest::Events(events, first) })
    }
}

impl Life {
    /// Sends the request to the endpoints that it was placed on.
    pub(crate) async fn start(
        &mut self,
        scheduled: Scheduled,
        last_event: Option<EventId>,
    ) -> Result<Run, Failed> {
        let Scheduled { endpoint, placement, mut placed, expected } = scheduled;
        let on = self.depends_on(&endpoint, &placement);
        self.admit(&on)?;
        self.hold_memory(&placement, &mut placed).await?;
        let head = self.request_head(&endpoint, &placement, placed.memory.as_ref(), last_event);
        if self.is_held() {
            return Err(Failed::Held);
        }
        // Holding memory takes some milliseconds.
        self.admit(&on)?;
        self.node.sends.borrow_mut().insert(placed.id, self.origin.fingerprint);
        self.writes_since = None;
        self.strikes_before = self.node.quarantine.borrow().strikes(self.origin.fingerprint);
        self.attempts.record_send(&endpoint.id);
        self.node.backoffs.borrow_mut().sending(self.node.clock.now(), &endpoint);
        self.node.metrics.attempt(self.attempts.tried().len() as u32);
        let sending = Sending {
            node: self.node.clone(),
            endpoint: endpoint.clone(),
            head,
            body: self.origin.body.clone(),
            request_id: self.call.request_id.clone(),
            last_event: last_event.or(self.call.last_event_id),
            streaming: self.terms.route.streaming,
        };
        let sent = self.node.clock.now();
        let overdue_at = sent + overdue_after(expected);
        let began = Box::pin(self.watched(&on, overdue_at, sending.begin()));
        let silent_at = self.silence_limit(&placed, expected);
        let unanswered = self.unanswered(&endpoint);
        Ok(Run { endpoint, placed, on, sent, expected, silent_at, unanswered, began })
    }

    fn depends_on(&self, lead: &Endpoint, placement: &Placement) -> SmallVec<[Endpoint; 4]> {
        let directory = self.node.directory.borrow();
        let helpers = placement.helpers.iter().filter_map(|id| directory.get(id));
        std::iter::once(lead).chain(helpers).cloned().collect()
    }

    /// Waits until a run begins to answer; begins a second one beside it where that can be in time.
    pub(crate) async fn first_of(&mut self, mut run: Run) -> Result<(Run, Began), Failed> {
        let Some(at) = self.hedge_at(&run) else { return self.only(run).await };
        match self.timed(&run.on, at, &mut run.began).await {
            Err(Broken::Late) => {}
            began => return self.settle(run, began),
        }
        let placed = {
            let placing = std::pin::pin!(self.schedule(false));
            let deadline = self.attempts.deadline();
            let first = self.timed(&run.on, deadline, &mut run.began);
            tokio::select! {
                biased;
                began = first => Err(began),
                placed = placing => Ok(placed),
            }
        };
        match placed {
            Err(began) => self.settle(run, began),
            Ok(Ok(second))
                if !self.is_suspect() && self.is_worth_it(&run, &second) && self.run_beside() =>
            {
                match self.start(second, None).await {
                    Ok(second) => self.race(run, second).await,
                    Err(_) => self.only(run).await,
                }
            }
            Ok(_) => self.only(run).await,
        }
    }

    /// Whether the request is suspected of ending endpoints, so that it runs on one at a time.
    fn is_suspect(&self) -> bool {
        self.node.suspect_state(self.origin.fingerprint) != SuspectState::Clear
    }

    /// When a second run is begun if the first one has not begun to answer; none if it is not.
    fn hedge_at(&self, run: &Run) -> Option<Timestamp> {
        let is_short = self.terms.service.engine.is_some() && run.placed.memory.is_none();
        if !is_short || !self.may_run_twice() || self.is_suspect() {
            return None;
        }
        hedge_at(run.sent, run.expected, self.first_by())
    }

    /// Whether a second run is expected to begin its answer in time, on another endpoint.
    fn is_worth_it(&self, run: &Run, second: &Scheduled) -> bool {
        let now = self.node.clock.now();
        let is_in_time = now + second.expected <= self.first_by();
        let is_worth_it = is_in_time && second.endpoint.id != run.endpoint.id;
        let waited_ms = Millis(Some(now.since(run.sent)));
        log::info!(
            target: "request", id = self.id(), endpoint:% = run.endpoint.id, waited_ms:%,
            expected_ms:% = Millis(Some(run.expected)), other:% = second.endpoint.id,
            other_ms:% = Millis(Some(second.expected)), is_worth_it;
            "overdue"
        );
        is_worth_it
    }

    /// Waits for the first of two runs that begins to answer.
    async fn race(&mut self, mut one: Run, mut two: Run) -> Result<(Run, Began), Failed> {
        let deadline = self.attempts.deadline();
        let (began, is_second) = {
            let first = self.timed(&one.on, deadline, &mut one.began);
            let second = self.timed(&two.on, deadline, &mut two.began);
            tokio::select! {
                biased;
                began = first => (began, false),
                began = second => (began, true),
            }
        };
        let (run, mut other) = if is_second { (two, one) } else { (one, two) };
        match self.settle(run, began) {
            Ok((run, began)) if !began.facts.not_run => {
                // Its request does well; what becomes of the other run's endpoint is not by it.
                other.unanswered.settle();
                Ok((run, began))
            }
            Ok((run, began)) => {
                // It did not run there; the other one goes on.
                if let Err(Failed::Send(_)) =
                    self.check(&run.endpoint, &began.facts, began.head.status)
                {
                    drop(run);
                }
                self.only(other).await
            }
            Err(_) => self.only(other).await,
        }
    }

    /// Waits until a run begins to answer.
    pub(crate) async fn only(&mut self, mut run: Run) -> Result<(Run, Began), Failed> {
        let by = run.silent_at;
        let began = match run.placed.memory {
            Some(_) => self.timed(&run.on, by, &mut run.began).await,
            None => self.patient(&run.on, by, &mut run.began).await,
        };
        self.settle(run, began)
    }

    fn settle(
        &mut self,
        mut run: Run,
        began: Result<Began, Broken>,
    ) -> Result<(Run, Began), Failed> {
        run.unanswered.settle();
        match began {
            Ok(began) => Ok((run, began)),
            Err(why) => Err(self.broken(&run.endpoint, &why)),
        }
    }
}

impl Run {
    /// The stream of a run whose first event has come.
    pub(crate) fn into_stream(
        self,
        head: ResponseHead,
        events: Events,
        first: Option<ringbend_gateway::Event>,
    ) -> Relayed {
        let Self { endpoint, placed, mut on, .. } = self;
        placed.first_event();
        // The prompt has been read: what helped to read it may end, but for what holds memory.
        let holds =
            |e: &Endpoint| placed.memory.as_ref().is_some_and(|m| m.ticket_at(e.address).is_some());
        on.retain(|e| e.id == endpoint.id || holds(e));
        Relayed { head, endpoint, placed, on, events, first }
    }
}
