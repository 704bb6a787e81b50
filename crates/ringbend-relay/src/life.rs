//! The sends of one request, until its answer begins or it is given up.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::body::MessageBody;
use actix_http::header::{self, HeaderMap, HeaderName};
use actix_http::{RequestHead, Response, ResponseHead, StatusCode};
use bytes::Bytes;
use ringbend_gateway::{
    Account, Attempts, ConfigVersion, Demand, Endpoint, Next, Placement, Route, SendEnd, Service,
    Ticket, TicketId, TrustEvent, View, Wish, Work, WorkId, place_on_engines, place_on_service,
    stake,
};
use ringbend_runtime::HttpResponse;
use ringbend_types::{PromptBucket, Timestamp, TokenCount};
use smallvec::SmallVec;

use crate::exchange::{self, Answer, ExchangeError};
use crate::memory::{HeldMemory, Place};
use crate::node::{Node, Open, Placed};
use crate::ports::{AnswerFacts, Call, Helper, SendOrder};
use crate::refusal::Refusal;
use crate::streams::{Events, Relayed};

/// What the caller sent.
pub(crate) struct Origin {
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
}

/// What the configuration says about the request.
pub(crate) struct Terms {
    pub(crate) route: Arc<Route>,
    pub(crate) account: Option<Account>,
    pub(crate) service: Service,
    pub(crate) version: ConfigVersion,
}

/// One request that was let in. Dropping it before its end means that the caller left.
pub(crate) struct Life {
    pub(crate) node: Rc<Node>,
    pub(crate) call: Call,
    origin: Origin,
    pub(crate) terms: Terms,
    pub(crate) attempts: Attempts,
    pub(crate) arrived: Timestamp,
    /// An endpoint's failure, passed on if no other endpoint does better.
    failed: Option<HttpResponse>,
    /// When an endpoint said that it may have room.
    hint: Option<Duration>,
    ended: bool,
    pace: Pace,
    /// How long the last placement was expected to take to the first event.
    expected: Duration,
    _open: Open,
}

/// When events reached the caller.
#[derive(Debug, Clone, Copy, Default)]
struct Pace {
    first: Option<Timestamp>,
    last: Option<Timestamp>,
    longest_gap: Duration,
}

/// How one send went well.
enum Reply {
    /// A whole answer.
    Whole(HttpResponse, StatusCode),
    /// A stream whose first event has come.
    Stream(Box<Relayed>),
}

/// Longest whole answer that is held, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// The shortest silence of a plain endpoint that counts as a failure; its calls take 60 ms on
/// average and seldom over 450.
const PLAIN_SILENCE: Duration = Duration::from_millis(800);

/// The shortest silence before a stream's first event that counts as a failure. Callers give up
/// after two seconds at the earliest.
const FIRST_EVENT_SILENCE: Duration = Duration::from_millis(1_300);

/// How long to wait before memory is asked for again. The largest prompts run for some seconds.
const MEMORY_RETRY: Duration = Duration::from_millis(200);

/// Requests that are due later than these wait behind those that are due sooner.
const PATIENT_AIMS: [Duration; 2] = [Duration::from_millis(500), Duration::from_millis(2_000)];

/// How many ranks at an engine lie between two priorities of the configuration.
const RANKS_PER_PRIORITY: u8 = 3;

/// The last rank that engines know.
const LAST_RANK: u8 = 9;

/// How many times the expected time to the first event counts as a failure.
const EXPECTED_FACTOR: u32 = 4;

/// Prompts that one engine would read for longer are not read a second time because of silence: it
/// costs all others more than waiting costs this one.
const MOST_READ_TWICE: Duration = Duration::from_millis(400);

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];

impl Life {
    pub(crate) fn new(
        node: Rc<Node>,
        call: Call,
        origin: Origin,
        terms: Terms,
        attempts: Attempts,
        arrived: Timestamp,
        open: Open,
    ) -> Self {
        node.metrics.admitted();
        let (failed, hint, ended) = (None, None, false);
        Self {
            node,
            call,
            origin,
            terms,
            attempts,
            arrived,
            failed,
            hint,
            ended,
            pace: Pace::default(),
            expected: Duration::ZERO,
            _open: open,
        }
    }

    /// Sends the request until an endpoint answers or it is given up.
    pub(crate) async fn run(mut self) -> HttpResponse {
        loop {
            let (end, left_out) = match self.send().await {
                Ok(Reply::Whole(res, status)) => return self.finish(res, status.as_str()),
                Ok(Reply::Stream(relayed)) => return crate::streams::relay(self, *relayed),
                Err(Failed::Replaced) => continue,
                Err(Failed::NoMemory) => match self.wait_for_memory().await {
                    true => continue,
                    false => (SendEnd::NotSent, true),
                },
                Err(Failed::Send(end)) => (end, false),
                Err(Failed::NoEndpoint) => (SendEnd::NotSent, true),
            };
            let next = match left_out {
                true => Next::GiveUp(self.attempts.run_state()),
                false => self.next(end),
            };
            match next {
                Next::SendAgain => continue,
                Next::PassOn | Next::GiveUp(_) if self.failed.is_some() => {
                    let res = self.failed.take().expect("checked above");
                    return self.finish(res, "endpoint-failure");
                }
                Next::PassOn => return self.refuse(Refusal::MayHaveRun),
                Next::GiveUp(state) if left_out && state == ringbend_types::RunState::NotRun => {
                    return self.refuse(Refusal::NoEndpoint);
                }
                Next::GiveUp(state) => {
                    return self.refuse(self.late().unwrap_or(Refusal::of_state(state)));
                }
            }
        }
    }

    /// Waits a little for memory to be freed; false once it is no use.
    pub(crate) async fn wait_for_memory(&self) -> bool {
        let now = self.node.clock.now();
        if now + MEMORY_RETRY >= self.first_by().min(self.attempts.deadline()) {
            return false;
        }
        tokio::time::sleep(MEMORY_RETRY).await;
        true
    }

    /// Decides what follows a send that ended badly.
    pub(crate) fn next(&mut self, end: SendEnd) -> Next {
        let now = self.node.clock.now();
        let budget = &mut self.node.budget.borrow_mut();
        self.attempts.ended(now, end, &self.terms.service.name, budget)
    }

    fn late(&self) -> Option<Refusal> {
        if self.node.clock.now() < self.attempts.deadline() {
            return None;
        }
        match self.attempts.run_state() {
            ringbend_types::RunState::NotRun => Some(Refusal::LateNotRun),
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
        let mut res = refusal.answer(self.hint);
        self.node.dialect.own_answer(&self.call, res.headers_mut());
        res
    }

    /// Notes that an event was passed on.
    pub(crate) fn passed_on(&mut self) {
        let now = self.node.clock.now();
        match self.pace.last {
            Some(last) => self.pace.longest_gap = self.pace.longest_gap.max(now.since(last)),
            None => {
                self.pace.first = Some(now);
                let tokens = TokenCount(self.call.demand.map_or(0, |d| d.prompt_tokens));
                let bucket = PromptBucket::of(tokens);
                self.node.metrics.first_token(bucket, now.since(self.arrived));
            }
        }
        self.pace.last = Some(now);
    }

    /// Writes the line of the request's end.
    pub(crate) fn log_end(&mut self, outcome: &str) {
        self.ended = true;
        let ms = self.node.clock.now().since(self.arrived).as_millis() as u64;
        let sends = self.attempts.tried().len();
        let (id, route) = (self.id(), &self.terms.route.name);
        let first_ms = self.pace.first.map(|at| at.since(self.arrived).as_millis() as u64);
        let gap_ms = self.pace.longest_gap.as_millis() as u64;
        log::info!(
            target: "request", id, route:%, outcome, ms, sends, first_ms:?, gap_ms; "ended"
        );
    }

    pub(crate) fn id(&self) -> &str {
        self.call.request_id.as_deref().unwrap_or("-")
    }

    async fn send(&mut self) -> Result<Reply, Failed> {
        let (endpoint, placement) = self.choose().ok_or(Failed::NoEndpoint)?;
        let (placed, mut answer, facts) = self.exchange(&endpoint, &placement, None).await?;
        self.check(&endpoint, &facts, answer.head.status)?;
        if self.terms.route.streaming && answer.head.status == StatusCode::OK {
            return self.first_event(endpoint, placed, answer).await;
        }
        let whole = self.timed(self.attempts.deadline(), answer.whole(MAX_ANSWER_BYTES)).await;
        let body = whole.map_err(|why| self.broken(&endpoint, &why))?;
        let status = answer.head.status;
        let mut res = Response::with_body(status, body.boxed());
        copy_headers(&answer.head, res.headers_mut());
        let may_be_better = status.is_server_error() && self.terms.route.repeat.may_repeat();
        if may_be_better {
            self.failed = Some(res);
            return Err(Failed::Send(SendEnd::FailedAnswer));
        }
        self.trust(&endpoint, TrustEvent::Good);
        Ok(Reply::Whole(res, status))
    }

    async fn first_event(
        &mut self,
        endpoint: Endpoint,
        placed: Placed,
        answer: Answer,
    ) -> Result<Reply, Failed> {
        let head = clone_head(&answer.head);
        let mut events = Events::new(answer, self.call.last_event);
        let by = self.silence_limit();
        let first = self.patient(by, events.next()).await;
        let first = first.map_err(|why| self.broken(&endpoint, &why))?;
        placed.first_event();
        self.trust(&endpoint, TrustEvent::Good);
        Ok(Reply::Stream(Box::new(Relayed { head, endpoint, placed, events, first })))
    }

    /// When the endpoint's silence counts as a failure: at the deadline, or sooner where the request
    /// may be run again.
    pub(crate) fn silence_limit(&self) -> Timestamp {
        let deadline = self.attempts.deadline();
        let may_repeat = self.terms.route.repeat.may_repeat() && self.attempts.may_run_again();
        if !may_repeat || self.read_time() > MOST_READ_TWICE {
            return deadline;
        }
        let least = if self.terms.route.streaming { FIRST_EVENT_SILENCE } else { PLAIN_SILENCE };
        let limit = (self.terms.route.aim * 2).max(least).max(self.expected * EXPECTED_FACTOR);
        deadline.min(self.node.clock.now() + limit)
    }

    /// How long one engine would read the prompt.
    fn read_time(&self) -> Duration {
        let (engine, demand) = (&self.terms.service.engine, self.call.demand);
        let ms = engine.zip(demand).map_or(0.0, |(e, d)| e.read_ms(d.prompt_tokens));
        Duration::from_secs_f64(ms / 1_000.0)
    }

    /// Picks endpoints and writes the line of that decision.
    pub(crate) fn choose(&mut self) -> Option<(Endpoint, Placement)> {
        let now = self.node.clock.now();
        self.node.load.borrow_mut().advance(now);
        let directory = self.node.directory.borrow();
        let candidates: Vec<&Endpoint> =
            directory.of_service(now, &self.terms.service.name).collect();
        let (cfg, load, trust) =
            (self.node.cfg.borrow(), self.node.load.borrow(), self.node.trust.borrow());
        let tried = self.attempts.tried();
        let seed = self.node.incarnation();
        let weights = &cfg.placement;
        let home = &cfg.data_centre;
        let view = View { now, home, load: &load, seed, weights, trust: &trust, tried };
        let placement = match (&self.terms.service.engine, self.call.demand) {
            (Some(engine), Some(demand)) => {
                let wish = Wish { demand, first_in: self.first_by().since(now), gap: self.gap() };
                place_on_engines(view, engine, &candidates, &wish)?
            }
            _ => place_on_service(view, &candidates)?,
        };
        let endpoint = directory.get(&placement.lead)?.clone();
        let prompt = self.call.demand.map_or(0, |d| d.prompt_tokens);
        let backlog_ms = load.of(&endpoint.id).backlog().as_millis() as u64;
        let lead = load.of(&endpoint.id);
        let part_ms = placement.part.as_millis() as u64;
        let with: String = placement.helpers.iter().map(|id| format!("{id} ")).collect();
        let (lead_memory, lead_writers) = (lead.memory_tokens(), lead.writers().len());
        self.expected = Duration::from_secs_f64(placement.first_ms.max(0.0) / 1e3);
        let (id, version, helpers) = (self.id(), self.terms.version, placement.helpers.len());
        log::info!(
            target: "request", id, route:% = self.terms.route.name, endpoint:% = endpoint.id,
            config:% = version, prompt, backlog_ms, helpers, with, part_ms, lead_memory, lead_writers, first_ms:? = placement.first_ms as u64,
            cost:? = (placement.cost * 100.0) as i64, candidates = candidates.len();
            "sent"
        );
        Some((endpoint, placement))
    }

    /// Puts the request on the load book, and holds memory for it where the lead has too little.
    async fn place(&mut self, placement: &Placement) -> Result<Placed, Failed> {
        let id = self.node.next_work();
        let mut placed = self.node.place(id, self.work(placement));
        if placement.held.is_empty() {
            return Ok(placed);
        }
        match HeldMemory::hold(self.node.clone(), self.places(id, placement)).await {
            Ok(memory) => {
                placed.memory = Some(memory);
                Ok(placed)
            }
            Err(ticket) => {
                let (id, endpoint) = (self.id(), &ticket.endpoint);
                log::info!(target: "request", id, endpoint:% = endpoint, tokens = ticket.tokens; "no memory");
                self.node.trust.borrow_mut().note(
                    self.node.clock.now(),
                    endpoint,
                    TrustEvent::Full,
                );
                Err(Failed::NoMemory)
            }
        }
    }

    fn places(&self, work: WorkId, placement: &Placement) -> Vec<Place> {
        let directory = self.node.directory.borrow();
        let held = placement.held.iter().zip(1..);
        held.filter_map(|(held, number)| {
            let address = directory.get(&held.endpoint)?.address;
            let (endpoint, tokens) = (held.endpoint.clone(), held.tokens);
            let ticket = Ticket { id: TicketId { work, number }, endpoint, tokens };
            Some(Place { ticket, address })
        })
        .collect()
    }

    /// Sends the request to one endpoint and reads the head of its answer.
    pub(crate) async fn exchange(
        &mut self,
        endpoint: &Endpoint,
        placement: &Placement,
        last_event: Option<ringbend_gateway::EventId>,
    ) -> Result<(Placed, Answer, AnswerFacts), Failed> {
        let placed = self.place(placement).await?;
        let head = self.request_head(endpoint, placement, placed.memory.as_ref(), last_event);
        self.attempts.sending(&endpoint.id);
        self.node.metrics.attempt(self.attempts.tried().len() as u32);
        let by = self.silence_limit();
        let sent =
            exchange::send(&self.node.http, endpoint.address, head, self.origin.body.clone());
        match self.timed(by, sent).await {
            Ok(answer) => {
                let facts = self.node.dialect.answer(answer.head.status, &answer.head.headers);
                Ok((placed, answer, facts))
            }
            Err(why) => Err(self.broken(endpoint, &why)),
        }
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
                None => self.trust(endpoint, TrustEvent::Full),
            }
            return Err(Failed::Send(SendEnd::NotRun));
        }
        if facts.request_id != self.call.request_id {
            log::warn!(target: "request", id, endpoint:% = endpoint.id, status; "foreign answer");
            self.trust(endpoint, TrustEvent::Bad);
            return Err(Failed::Send(SendEnd::Unknown));
        }
        Ok(())
    }

    fn distrust_address(&self, address: std::net::SocketAddrV4) {
        let directory = self.node.directory.borrow();
        let Some(endpoint) = directory.by_address(address) else { return };
        self.trust(endpoint, TrustEvent::Bad);
    }

    pub(crate) fn trust(&self, endpoint: &Endpoint, event: TrustEvent) {
        self.node.trust.borrow_mut().note(self.node.clock.now(), &endpoint.id, event);
    }

    /// Notes a send that broke.
    pub(crate) fn broken(&self, endpoint: &Endpoint, why: &Broken) -> Failed {
        self.trust(endpoint, TrustEvent::Bad);
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

    fn replace_silent(&mut self) -> bool {
        let now = self.node.clock.now();
        let budget = &mut self.node.budget.borrow_mut();
        self.attempts.replace_silent(now, &self.terms.service.name, budget)
    }

    pub(crate) async fn timed<T>(
        &self,
        by: Timestamp,
        work: impl Future<Output = Result<T, ExchangeError>>,
    ) -> Result<T, Broken> {
        match tokio::time::timeout_at(self.node.clock.instant(by), work).await {
            Ok(done) => done.map_err(Broken::Exchange),
            Err(_) => Err(Broken::Late),
        }
    }

    /// The longest pause between events that is on time.
    fn gap(&self) -> Duration {
        self.terms.route.gap_aim.unwrap_or(self.terms.route.aim)
    }

    /// The rank among requests that wait at an engine: by account or route, then by how soon the
    /// first event is due, so that a long prompt that waits for memory does not hold up short ones.
    fn rank(&self) -> u8 {
        let account = self.terms.account.as_ref().and_then(|account| account.priority);
        let urgency = account.unwrap_or(self.terms.route.priority);
        let patience = PATIENT_AIMS.iter().filter(|aim| self.terms.route.aim > **aim).count() as u8;
        urgency.saturating_mul(RANKS_PER_PRIORITY).saturating_add(patience).min(LAST_RANK)
    }

    /// When the first event is due.
    fn first_by(&self) -> Timestamp {
        self.arrived + self.terms.route.aim
    }

    fn work(&self, placement: &Placement) -> Work {
        let demand = self.call.demand.unwrap_or(Demand { prompt_tokens: 0, answer_tokens: 0 });
        let memory = demand.prompt_tokens + demand.answer_tokens;
        Work {
            lead: placement.lead.clone(),
            helpers: placement.helpers.clone(),
            part: placement.part,
            memory_tokens: memory.saturating_sub(placement.held.iter().map(|h| h.tokens).sum()),
            held: placement.held.clone(),
            gap: self.gap(),
            first_by: self.first_by(),
            stake: stake(&self.node.cfg.borrow().placement, demand.prompt_tokens),
            until: self.attempts.deadline(),
        }
    }

    fn request_head(
        &self,
        endpoint: &Endpoint,
        placement: &Placement,
        memory: Option<&HeldMemory>,
        last_event: Option<ringbend_gateway::EventId>,
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

impl Drop for Life {
    fn drop(&mut self) {
        if !self.ended {
            self.log_end("caller-gone");
        }
    }
}

/// Why a send brought nothing to pass on.
pub(crate) enum Failed {
    /// No endpoint was left to send to.
    NoEndpoint,
    /// Engines had too little memory to hold; nothing was sent.
    NoMemory,
    /// Another send takes its place.
    Replaced,
    /// It ended like this.
    Send(SendEnd),
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
        }
    }
}

/// The headers that are for the other end, and not for this connection.
fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let named = headers.get_all(header::CONNECTION).filter_map(|value| value.to_str().ok());
    let named: Vec<String> = named
        .flat_map(|names| names.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::new();
    for (name, value) in headers {
        let is_hop = HOP_HEADERS.contains(name)
            || name.as_str() == "keep-alive"
            || name.as_str() == "proxy-connection"
            || named.iter().any(|n| n == name.as_str());
        if !is_hop {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Copies an answer's headers, less those of its connection.
pub(crate) fn copy_headers(head: &ResponseHead, to: &mut HeaderMap) {
    for (name, value) in &end_to_end(&head.headers) {
        to.append(name.clone(), value.clone());
    }
}

fn clone_head(head: &ResponseHead) -> ResponseHead {
    let mut copy = ResponseHead::new(head.status);
    copy.headers = head.headers.clone();
    copy
}
