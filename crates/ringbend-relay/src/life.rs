//! The sends of one request, until its answer begins or it is given up.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::body::MessageBody;
use actix_http::{RequestHead, Response, ResponseHead, StatusCode};
use bytes::Bytes;
use rand::Rng;
use ringbend_gateway::{
    Account, Attempts, ConfigVersion, HealthEvent, NextStep, Route, SendOutcome, Service,
};
use ringbend_runtime::HttpResponse;
use ringbend_types::{EndpointId, Fingerprint, PromptBucket, RunState, Timestamp, TokenCount};

use crate::exchange::Answer;
use crate::fields::Millis;
use crate::headers::copy_headers;
use crate::node::{Node, Open};
use crate::pacing::PauseCount;
use crate::ports::RequestMetadata;
use crate::refusal::Refusal;
use crate::runs::{Began, Rest, Run};
use crate::streams::Relayed;

/// What the caller sent.
pub(crate) struct Origin {
    pub(crate) head: RequestHead,
    pub(crate) body: Bytes,
    /// The same for the same request under another id.
    pub(crate) fingerprint: Fingerprint,
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
    pub(crate) call: RequestMetadata,
    pub(crate) origin: Origin,
    pub(crate) terms: Terms,
    pub(crate) attempts: Attempts,
    pub(crate) arrived: Timestamp,
    /// An endpoint's failure, passed on if no other endpoint does better.
    failed: Option<HttpResponse>,
    /// When endpoints are expected to take requests again.
    pub(crate) hint: Option<Duration>,
    ended: bool,
    /// Since when the run that writes its stream does so.
    pub(crate) writes_since: Option<Timestamp>,
    /// The strikes that the request had when its last run began.
    pub(crate) strikes_before: usize,
    /// Whether it is the try of a held request.
    pub(crate) is_try: bool,
    pace: Pace,
    /// The pauses of its stream, as far as they tell of its engine.
    pub(crate) pauses: PauseCount,
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

/// When a long prompt that is refused should come back, in parts of its aim.
const COME_BACK_SHARE: std::ops::Range<f64> = 0.5..1.0;

/// The time over which callers return after the end of a back-off.
const COME_BACK_SPREAD: Duration = Duration::from_millis(500);

/// Longest whole answer that is held, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

impl Life {
    pub(crate) fn new(
        node: Rc<Node>,
        call: RequestMetadata,
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
            writes_since: None,
            strikes_before: 0,
            is_try: false,
            pace: Pace::default(),
            pauses: PauseCount::default(),
            _open: open,
        }
    }

    /// Sends the request until an endpoint answers or it is given up.
    pub(crate) async fn run(mut self) -> HttpResponse {
        loop {
            let node = self.node.clone();
            let sent = tokio::select! {
                biased;
                sent = self.send() => sent,
                () = node.past_last_answer() => Err(Failed::Cut),
            };
            let failed = match sent {
                Ok(Reply::Whole(res, status)) => return self.finish(res, status.as_str()),
                Ok(Reply::Stream(relayed)) => return crate::streams::relay(self, *relayed),
                Err(failed) => failed,
            };
            if let Some(refusal) = self.after(failed).await {
                return self.give_up(refusal);
            }
        }
    }

    /// Decides what follows a send that brought nothing; none if the request is sent again.
    async fn after(&mut self, failed: Failed) -> Option<Refusal> {
        match failed {
            Failed::Replaced => None,
            Failed::NoMemory if self.wait_for_memory().await => None,
            Failed::NoTurn => {
                self.hint = Some(self.come_back());
                Some(self.unsent(Refusal::LateNotRun))
            }
            Failed::Held => {
                self.hint = self.until_try();
                Some(self.unsent(Refusal::Held))
            }
            Failed::Limited(after) => {
                self.hint = Some(after);
                Some(self.unsent(Refusal::Limited))
            }
            Failed::BackingOff(after) => {
                self.hint = Some(self.spread(after));
                Some(self.unsent(Refusal::BackingOff))
            }
            Failed::Stopping => Some(self.unsent(Refusal::Stopping)),
            Failed::Cut => {
                self.attempts.record_aborted();
                Some(Refusal::of_state(self.attempts.run_state()))
            }
            Failed::NoArbiter => Some(self.unsent(Refusal::Suspected)),
            Failed::NoMemory | Failed::NoEndpoint => Some(self.unsent(Refusal::NoEndpoint)),
            Failed::Send(end) => match self.next(end) {
                NextStep::Retry => None,
                NextStep::ForwardFailure => Some(Refusal::MayHaveRun),
                NextStep::GiveUp(state) => {
                    let after = self.node.all_backing_off(&self.terms.service.name);
                    self.hint = after.map(|after| self.spread(after)).or(self.hint);
                    Some(self.late().unwrap_or(Refusal::of_state(state)))
                }
            },
        }
    }

    /// This refusal if nothing was run; else the one that says so.
    fn unsent(&self, refusal: Refusal) -> Refusal {
        match self.attempts.run_state() {
            RunState::NotRun => refusal,
            state => Refusal::of_state(state),
        }
    }

    /// How long until a held request may be tried again.
    fn until_try(&self) -> Option<Duration> {
        let (now, of) = (self.node.clock.now(), self.origin.fingerprint);
        self.node.quarantine.borrow().until_try(now, of)
    }

    /// When a prompt that the engines have no time for may find some: what they are busy with now has
    /// aims like its own. Spread, so that those who are refused together do not return together.
    fn come_back(&self) -> Duration {
        let share = self.node.rng.borrow_mut().random_range(COME_BACK_SHARE);
        self.terms.route.aim.mul_f64(share)
    }

    /// When to come back to endpoints that take requests after `wait`, spread so that callers do not return together.
    fn spread(&self, wait: Duration) -> Duration {
        wait + COME_BACK_SPREAD.mul_f64(self.node.rng.borrow_mut().random())
    }

    /// Ends the request: with an endpoint's own failure if there is one, else with a refusal.
    fn give_up(&mut self, refusal: Refusal) -> HttpResponse {
        match self.failed.take() {
            Some(res) => self.finish(res, "endpoint-failure"),
            None => self.refuse(refusal),
        }
    }

    /// Decides what follows a send that ended badly.
    pub(crate) fn next(&mut self, end: SendOutcome) -> NextStep {
        let now = self.node.clock.now();
        let budget = &mut self.node.budget.borrow_mut();
        self.attempts.record_outcome(now, end, &self.terms.service.name, budget)
    }

    fn late(&self) -> Option<Refusal> {
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
        let mut res = refusal.answer(self.hint);
        self.node.dialect.mark_local_response(&self.call, res.headers_mut());
        res
    }

    /// Notes that an event of an endpoint was passed on.
    pub(crate) fn passed_on(&mut self, endpoint: &EndpointId) {
        let now = self.node.clock.now();
        match self.pace.last {
            Some(last) => {
                self.pace.longest_gap = self.pace.longest_gap.max(now.since(last));
                self.note_pause(endpoint, now.since(last));
            }
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
        let first_ms = Millis(self.pace.first.map(|at| at.since(self.arrived)));
        let gap_ms = self.pace.longest_gap.as_millis() as u64;
        let aim_ms = self.terms.route.aim.as_millis() as u64;
        let gap_aim_ms = self.gap().as_millis() as u64;
        log::info!(
            target: "request", id, fingerprint:% = self.origin.fingerprint, route:%,
            config:% = self.terms.version, outcome, ms, sends,
            first_ms:%, gap_ms, aim_ms, gap_aim_ms;
            "ended"
        );
    }

    pub(crate) fn id(&self) -> &str {
        self.call.request_id.as_deref().unwrap_or("-")
    }

    async fn send(&mut self) -> Result<Reply, Failed> {
        let sent = self.schedule(false).await?;
        let run = self.start(sent, None).await?;
        let (run, began) = self.first_of(run).await?;
        let Began { head, facts, rest } = began;
        self.check(&run.endpoint, &facts, head.status)?;
        match rest {
            Rest::Events(events, first) => {
                self.trust(&run.endpoint.id, HealthEvent::Good);
                Ok(Reply::Stream(Box::new(run.into_stream(head, events, first))))
            }
            Rest::Body(answer) => self.whole(&run, head, answer).await,
        }
    }

    /// Reads the rest of an answer that is no stream.
    async fn whole(
        &mut self,
        run: &Run,
        head: ResponseHead,
        mut answer: Answer,
    ) -> Result<Reply, Failed> {
        let (on, deadline) = (std::slice::from_ref(&run.endpoint), self.attempts.deadline());
        let whole = self.timed(on, deadline, answer.whole(MAX_ANSWER_BYTES)).await;
        let body = whole.map_err(|why| self.broken(&run.endpoint, &why))?;
        let status = head.status;
        let mut res = Response::with_body(status, body.boxed());
        copy_headers(&head, res.headers_mut());
        let may_be_better = status.is_server_error() && self.terms.route.repeat.may_repeat();
        if may_be_better {
            self.failed = Some(res);
            return Err(Failed::Send(SendOutcome::FailedAnswer));
        }
        self.trust(&run.endpoint.id, HealthEvent::Good);
        self.node.clear_suspect(self.origin.fingerprint);
        Ok(Reply::Whole(res, status))
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
    /// Its time is up before its turn came.
    NoTurn,
    /// No endpoint was left to send to.
    NoEndpoint,
    /// Engines had too little memory to hold; nothing was sent.
    NoMemory,
    /// It is held, as it ends endpoints.
    Held,
    /// It may end endpoints, and no instance that places such requests answers.
    NoArbiter,
    /// Endpoints that are left have no place for it before this time.
    Limited(Duration),
    /// All endpoints have asked this instance to back off, for so long at least.
    BackingOff(Duration),
    /// Another send takes its place.
    Replaced,
    /// The instance stops, and an answer could not end before that.
    Stopping,
    /// The instance has stopped, and the send is broken off.
    Cut,
    /// It ended like this.
    Send(SendOutcome),
}
