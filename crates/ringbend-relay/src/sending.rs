//! One send to an endpoint: its head, how long silence is borne, and what the answer's head says.

use std::net::SocketAddrV4;
use std::time::Duration;

use actix_http::{RequestHead, StatusCode};
use ringbend_gateway::{Endpoint, EventId, Placement, SendEnd, TrustEvent, overdue_after};
use ringbend_types::{EndpointId, Timestamp};
use smallvec::SmallVec;

use crate::exchange::{self, Answer, ExchangeError};
use crate::headers::end_to_end;
use crate::life::{Failed, Life};
use crate::memory::HeldMemory;
use crate::node::Placed;
use crate::ports::{AnswerFacts, Helper, SendOrder};
use crate::scheduled::Scheduled;

/// The shortest silence of a plain endpoint that counts as a failure; its calls take 60 ms on
/// average and seldom over 450.
const PLAIN_SILENCE: Duration = Duration::from_millis(800);

/// The shortest silence before a stream's first event that counts as a failure. Callers give up
/// after two seconds at the earliest.
const FIRST_EVENT_SILENCE: Duration = Duration::from_millis(1_300);

/// How many times the expected time to the first event counts as a failure.
const EXPECTED_FACTOR: u32 = 4;

/// Prompts that one engine would read for longer are not read a second time because of silence: it
/// costs all others more than waiting costs this one.
const MOST_READ_TWICE: Duration = Duration::from_millis(400);

impl Life {
    /// Sends the request to one endpoint and reads the head of its answer.
    pub(crate) async fn exchange(
        &mut self,
        scheduled: Scheduled,
        last_event: Option<EventId>,
    ) -> Result<(Placed, Answer, AnswerFacts), Failed> {
        let Scheduled { endpoint, placement, mut placed } = scheduled;
        self.depend_on(&endpoint, &placement);
        self.hold_memory(&placement, &mut placed).await?;
        let head = self.request_head(&endpoint, &placement, placed.memory.as_ref(), last_event);
        self.attempts.sending(&endpoint.id);
        if self.node.directory.borrow().has_ended(&endpoint) {
            return Err(Failed::Send(SendEnd::NotSent));
        }
        self.node.metrics.attempt(self.attempts.tried().len() as u32);
        let by = self.silence_limit(&placed);
        self.overdue_at = self.node.clock.now() + overdue_after(self.expected);
        let (http, body) = (&self.node.http, self.origin.body.clone());
        let sent = exchange::send(http, endpoint.address, head, body);
        let sent = self.watched(self.overdue_at, sent);
        match self.timed(by, sent).await {
            Ok(answer) => {
                let facts = self.node.dialect.answer(answer.head.status, &answer.head.headers);
                Ok((placed, answer, facts))
            }
            Err(why) => Err(self.broken(&endpoint, &why)),
        }
    }

    /// Notes what the send under way depends on until its first event.
    fn depend_on(&mut self, lead: &Endpoint, placement: &Placement) {
        let directory = self.node.directory.borrow();
        let helpers = placement.helpers.iter().filter_map(|id| directory.get(id));
        self.on = std::iter::once(lead).chain(helpers).cloned().collect();
    }

    /// Notes that the prompt has been read: what helped to read it may end, but for what holds memory.
    pub(crate) fn depend_on_holders(&mut self, lead: &Endpoint, placed: &Placed) {
        let holds =
            |e: &Endpoint| placed.memory.as_ref().is_some_and(|m| m.ticket_at(e.address).is_some());
        self.on.retain(|e| e.id == lead.id || holds(e));
    }

    /// Checks that the answer is this request's, and that it was run.
    pub(crate) fn check(
        &mut self,
        endpoint: &Endpoint,
        facts: &AnswerFacts,
        status: StatusCode,
    ) -> Result<(), Failed> {
        let (id, status) = (self.id(), status.as_u16());
        if facts.not_run {
            log::info!(target: "request", id, endpoint:% = endpoint.id, status; "not run");
            self.hint = facts.retry_after.or(self.hint);
            match facts.at_fault.filter(|address| *address != endpoint.address) {
                Some(address) => self.distrust_address(address),
                None if facts.is_foreign => self.distrust_foreign(&endpoint.id),
                None => self.trust(&endpoint.id, TrustEvent::Full),
            }
            return Err(Failed::Send(SendEnd::NotRun));
        }
        if facts.request_id != self.call.request_id {
            log::warn!(target: "request", id, endpoint:% = endpoint.id, status; "foreign answer");
            self.trust(&endpoint.id, TrustEvent::Bad);
            return Err(Failed::Send(SendEnd::Unknown));
        }
        Ok(())
    }

    pub(crate) fn distrust_address(&self, address: SocketAddrV4) {
        let directory = self.node.directory.borrow();
        let Some(endpoint) = directory.by_address(address) else { return };
        self.trust(&endpoint.id, TrustEvent::Bad);
        self.tell_unfit(&endpoint.id);
    }

    /// Notes that another endpoint answered at this one's address, so this one has ended.
    fn distrust_foreign(&self, endpoint: &EndpointId) {
        self.trust(endpoint, TrustEvent::Foreign);
        self.tell_unfit(endpoint);
    }

    /// Others would find out one request at a time, as the list lags.
    fn tell_unfit(&self, endpoint: &EndpointId) {
        self.node.outbox.borrow_mut().unfit.push(endpoint.clone());
        self.node.signals.soon.notify_one();
    }

    pub(crate) fn trust(&self, endpoint: &EndpointId, event: TrustEvent) {
        self.node.trust.borrow_mut().note(self.node.clock.now(), endpoint, event);
        if !self.node.schedules() {
            // Whoever places the next request must know.
            self.node.outbox.borrow_mut().results.push((endpoint.clone(), event));
            self.node.signals.soon.notify_one();
        }
    }

    /// Notes a send that broke.
    pub(crate) fn broken(&self, endpoint: &Endpoint, why: &Broken) -> Failed {
        if !matches!(why, Broken::Ended) {
            self.trust(&endpoint.id, TrustEvent::Bad);
        }
        if matches!(why, Broken::Replaced) {
            log::warn!(target: "request", id = self.id(), endpoint:% = endpoint.id, why:%; "left");
            return Failed::Replaced;
        }
        let end = if why.nothing_sent() { SendEnd::NotSent } else { SendEnd::Unknown };
        log::warn!(
            target: "request", id = self.id(), endpoint:% = endpoint.id, why:%, end:? = end;
            "send failed"
        );
        Failed::Send(end)
    }

    /// When the endpoint's silence counts as a failure: at the deadline, or sooner where the request
    /// may be run again or memory is held for it.
    pub(crate) fn silence_limit(&self, placed: &Placed) -> Timestamp {
        let deadline = self.attempts.deadline();
        let deadline = match &placed.memory {
            Some(memory) => deadline.min(memory.unused_until),
            None => deadline,
        };
        let may_repeat = self.terms.route.repeat.may_repeat() && self.attempts.may_run_again();
        if !may_repeat || self.is_long_to_read_twice() {
            return deadline;
        }
        let least = if self.terms.route.streaming { FIRST_EVENT_SILENCE } else { PLAIN_SILENCE };
        let limit = (self.terms.route.aim * 2).max(least).max(self.expected * EXPECTED_FACTOR);
        deadline.min(self.node.clock.now() + limit)
    }

    /// Whether the prompt takes so long to read that silence alone is no reason for another run.
    pub(crate) fn is_long_to_read_twice(&self) -> bool {
        self.read_time() > MOST_READ_TWICE
    }

    /// Waits for the first event. Memory is not held for longer for a request that does not begin.
    pub(crate) async fn begun<T>(
        &mut self,
        placed: &Placed,
        work: impl Future<Output = Result<T, ExchangeError>>,
    ) -> Result<T, Broken> {
        let by = self.silence_limit(placed);
        let work = self.watched(self.overdue_at, work);
        match placed.memory {
            Some(_) => self.timed(by, work).await,
            None => self.patient(by, work).await,
        }
    }

    /// Waits until `by`, and until the deadline if no other run can take this one's place.
    pub(crate) async fn patient<T>(
        &mut self,
        by: Timestamp,
        work: impl Future<Output = Result<T, ExchangeError>>,
    ) -> Result<T, Broken> {
        let mut work = std::pin::pin!(work);
        let deadline = self.attempts.deadline();
        if by < deadline {
            match self.timed(by, &mut work).await {
                Err(Broken::Late) if self.replace_silent() => return Err(Broken::Replaced),
                Err(Broken::Late) => {}
                done => return done,
            }
        }
        self.timed(deadline, work).await
    }

    pub(crate) fn replace_silent(&mut self) -> bool {
        let now = self.node.clock.now();
        let budget = &mut self.node.budget.borrow_mut();
        self.attempts.replace_silent(now, &self.terms.service.name, budget)
    }

    pub(crate) async fn timed<T>(
        &self,
        by: Timestamp,
        work: impl Future<Output = Result<T, ExchangeError>>,
    ) -> Result<T, Broken> {
        let timed = tokio::time::timeout_at(self.node.clock.instant(by), work);
        tokio::select! {
            biased;
            done = timed => match done {
                Ok(done) => done.map_err(Broken::Exchange),
                Err(_) => Err(Broken::Late),
            },
            () = self.node.ended(&self.on) => Err(Broken::Ended),
        }
    }

    pub(crate) fn request_head(
        &self,
        endpoint: &Endpoint,
        placement: &Placement,
        memory: Option<&HeldMemory>,
        last_event: Option<EventId>,
    ) -> RequestHead {
        let mut head = RequestHead::default();
        head.method = self.origin.head.method.clone();
        head.uri = self.origin.head.uri.clone();
        head.headers = end_to_end(&self.origin.head.headers);
        let directory = self.node.directory.borrow();
        let helper = |id| {
            let address = directory.get(id)?.address;
            let ticket = memory.and_then(|memory| memory.ticket_at(address));
            Some(Helper { address, ticket })
        };
        let helpers: SmallVec<_> = placement.helpers.iter().filter_map(helper).collect();
        let order = SendOrder {
            endpoint: endpoint.id.clone(),
            account: self.terms.account.as_ref().map(|a| a.id.clone()),
            time_left: self.attempts.left(self.node.clock.now()),
            last_event: last_event.or(self.call.last_event),
            helpers,
            priority: self.terms.service.engine.map(|_| self.rank()),
        };
        self.node.dialect.forward(&order, &mut head.headers);
        head.set_connection_type(actix_http::ConnectionType::Close);
        head
    }
}

/// Why an exchange was cut short.
#[derive(Debug)]
pub(crate) enum Broken {
    /// It broke.
    Exchange(ExchangeError),
    /// The endpoint was silent for long and another one takes its place.
    Replaced,
    /// The time is up.
    Late,
    /// The endpoint's process has ended, or that of one that it depends on.
    Ended,
}

impl Broken {
    fn nothing_sent(&self) -> bool {
        matches!(self, Self::Exchange(e) if e.nothing_sent())
    }
}

impl std::fmt::Display for Broken {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::Exchange(e) => e.fmt(f),
            Self::Replaced => write!(f, "silent for long, replaced"),
            Self::Late => write!(f, "the time is up"),
            Self::Ended => write!(f, "the endpoint has ended"),
        }
    }
}
