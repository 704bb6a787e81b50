//! Asks engines that were slower than expected how slow they are, and tells other schedulers.
//!
//! Whoever relays a request suspects its engine, an instance that does not schedule tells the one that
//! places its requests, and one scheduler for each engine asks it, so that a crowd of suspicions is one
//! question. A slow engine is asked again until it is as fast as configured.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, RequestHead, Uri};
use bytes::Bytes;
use ringbend_gateway::{Endpoint, HealthEvent, LIMITED_QUERY_INTERVAL, LimitSource, Pace};
use ringbend_types::{EndpointId, Timestamp};
use ringbend_wire::{EnginePace, LoadDigest, decode_engine_pace};
use smallvec::SmallVec;

use crate::exchange::{self, ExchangeError};
use crate::life::Life;
use crate::node::Node;
use crate::ports::EngineReport;

/// How long an engine may take to say how it is; it needs no slot for it. One that takes longer does
/// not serve requests in time either.
const REPORT_TIME: Duration = Duration::from_millis(400);

/// How long a slow engine is left until it is asked again, so that it gets requests again soon after it
/// has recovered.
const ASK_SLOW_AGAIN: Duration = Duration::from_millis(1_000);

/// The longest report, in bytes; it names all tickets.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// Pauses between events that are this many times as long as a pass without reading are a reason to
/// ask, if there are `LONG_PAUSES` of them in a row: one may be a long prompt that is read.
const LONG_PAUSE: f64 = 2.0;

/// How many such pauses in a row.
const LONG_PAUSES: u32 = 3;

/// The pauses of one stream, as far as they tell of its engine's pace.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct PauseCount {
    long: u32,
}

impl PauseCount {
    /// Notes a pause. Returns whether it is a reason to ask.
    fn note(&mut self, pause: Duration, pass_ms: f64) -> bool {
        let is_long = pause.as_secs_f64() * 1e3 > pass_ms * LONG_PAUSE;
        self.long = if is_long { self.long + 1 } else { 0 };
        is_long && self.long.is_multiple_of(LONG_PAUSES)
    }
}

impl Life {
    /// Does `work`, and suspects the engines that it depends on once it takes until `overdue_at`.
    pub(crate) fn watched<T, W: Future<Output = T>>(
        &self,
        on: &[Endpoint],
        overdue_at: Timestamp,
        work: W,
    ) -> impl Future<Output = T> + use<T, W> {
        let of_engines = self.terms.service.engine.is_some();
        let on = on.iter().filter(|_| of_engines).map(|endpoint| endpoint.id.clone());
        let (node, engines) = (self.node.clone(), on.collect::<SmallVec<[EndpointId; 4]>>());
        async move {
            let mut work = std::pin::pin!(work);
            tokio::select! {
                biased;
                done = &mut work => return done,
                () = node.clock.sleep_until(overdue_at) => {}
            }
            engines.iter().for_each(|engine| node.suspect(engine));
            work.await
        }
    }

    /// Notes a pause in the stream, and suspects its engine if pauses stay long.
    pub(crate) fn note_pause(&mut self, engine: &EndpointId, pause: Duration) {
        let Some(profile) = self.terms.service.engine else { return };
        if self.pauses.note(pause, profile.pass_ms(profile.slots)) {
            self.node.suspect(engine);
        }
    }
}

impl Node {
    /// Notes that an engine was slower than expected.
    pub(crate) fn suspect(&self, engine: &EndpointId) {
        self.outbox.borrow_mut().slow_engines.push(engine.clone());
        self.signals.soon.notify_one();
    }

    /// Has suspected engines asked by those that schedule, if this instance does.
    pub(crate) fn look_into(self: &Rc<Self>, suspects: impl IntoIterator<Item = EndpointId>) {
        let now = self.clock.now();
        let mut others: SmallVec<[(SocketAddrV4, EndpointId); 4]> = SmallVec::new();
        for engine in suspects {
            if !self.may_be_asked(now, &engine) {
                continue;
            }
            match self.peers.borrow().probing_scheduler(now, &engine) {
                Some(other) => others.push((other, engine)),
                None => drop(tokio::task::spawn_local(self.clone().ask_pace(engine))),
            }
        }
        for (other, engine) in others {
            let suspects = vec![engine.to_string()];
            self.tell(&LoadDigest { suspects, ..self.digest() }, other);
        }
    }

    /// Asks an engine how slow it is, until it is not.
    async fn ask_pace(self: Rc<Self>, engine: EndpointId) {
        loop {
            let asked = tokio::time::timeout(REPORT_TIME, self.report(&engine)).await;
            let Some(report) = self.note_report(&engine, asked.ok()) else { return };
            if !report.pace.is_slow() {
                return;
            }
            let is_limited = self.is_limited(&engine);
            tokio::time::sleep(if is_limited { LIMITED_QUERY_INTERVAL } else { ASK_SLOW_AGAIN })
                .await;
            // Others that suspect it meanwhile need not have it asked.
            self.may_be_asked(self.clock.now(), &engine);
        }
    }

    /// Notes what came of a question to an engine; none if there is nothing more to ask.
    fn note_report(
        &self,
        engine: &EndpointId,
        answer: Option<Result<Option<EngineReport>, ExchangeError>>,
    ) -> Option<EngineReport> {
        let report = match answer {
            Some(Ok(report)) => report?,
            failed => {
                let why = failed.and_then(Result::err).map_or("silent".into(), |e| e.to_string());
                log::info!(target: "endpoints", endpoint:% = engine, why; "does not say how it is");
                self.trust.borrow_mut().note(self.clock.now(), engine, HealthEvent::Bad);
                self.outbox.borrow_mut().unfit.push(engine.clone());
                self.signals.soon.notify_one();
                return None;
            }
        };
        if let Some(start) = report.start {
            self.note_start(engine, start);
        }
        if self.note_pace(engine, report.pace) {
            self.outbox.borrow_mut().paces.push((engine.clone(), report.pace));
            self.signals.soon.notify_one();
        }
        Some(report)
    }

    /// Takes in how slow an engine is. Returns whether others should hear of it.
    fn note_pace(&self, engine: &EndpointId, pace: Pace) -> bool {
        let now = self.clock.now();
        let mut load = self.load.borrow_mut();
        let before = load.of(engine).pace();
        load.set_pace(now, engine, pace);
        if before != pace {
            log::info!(target: "endpoints", endpoint:% = engine, pace:%, before:%; "pace");
        }
        before != pace || pace.is_slow()
    }

    /// Takes in what other schedulers tell of engines.
    pub(crate) fn note_told_paces(self: &Rc<Self>, digest: &LoadDigest) {
        for told in &digest.paces {
            match decode_engine_pace(told) {
                Ok((engine, pace)) => drop(self.note_pace(&engine, pace)),
                Err(e) => log::warn!(target: "peers", error:% = e; "pace refused"),
            }
        }
        if !self.schedules() {
            return;
        }
        let suspects = digest.suspects.iter().filter_map(|id| match id.parse() {
            Ok(id) => Some(id),
            Err(e) => {
                log::warn!(target: "peers", id, error:% = e; "no endpoint's id");
                None
            }
        });
        self.look_into(suspects);
    }

    /// Whether an engine may be asked how it is; notes that it is.
    pub(crate) fn may_be_asked(&self, now: Timestamp, engine: &EndpointId) -> bool {
        self.pace_asks.borrow_mut().begin(now, engine, self.is_limited(engine))
    }

    fn is_limited(&self, engine: &EndpointId) -> bool {
        self.limits.borrow().known(engine).is_some_and(|known| known.rate.is_some())
    }

    async fn report(&self, engine: &EndpointId) -> Result<Option<EngineReport>, ExchangeError> {
        let Some(endpoint) = self.directory.borrow().get(engine).cloned() else { return Ok(None) };
        if self.admission(&endpoint).is_err() {
            return Ok(None);
        }
        let call = self.dialect.report_request(engine);
        let mut head = RequestHead::default();
        head.method = Method::GET;
        head.uri = Uri::from_static(call.path);
        head.headers = call.headers;
        head.set_connection_type(actix_http::ConnectionType::Close);
        let asked = self.clock.now();
        let mut answer = exchange::send(&self.http, endpoint.address, head, Bytes::new()).await?;
        let status = answer.head.status;
        let facts = self.dialect.parse_response(status, &answer.head.headers);
        if !facts.is_wrong_endpoint {
            self.apply_signals(&endpoint, asked, &facts.signals, LimitSource::Report);
        }
        let body = answer.whole(MAX_REPORT_BYTES).await?;
        Ok(self.dialect.parse_report(status, &body))
    }
}

/// Paces as told to other schedulers.
pub(crate) fn told_paces(paces: &[(EndpointId, Pace)]) -> Vec<EnginePace> {
    let told = |(engine, pace): &(EndpointId, Pace)| EnginePace {
        endpoint: engine.to_string(),
        percent: pace.percent(),
    };
    paces.iter().map(told).collect()
}
