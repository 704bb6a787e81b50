//! Queries engines that were slower than expected for their pace, and reports it to other
//! schedulers.
//!
//! Any instance that forwards a response may suspect its engine. A member reports the suspicion to
//! its scheduler, and one scheduler per engine sends the query, so that many suspicions lead to a
//! single query. A slow engine is queried repeatedly until it is as fast as configured.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, RequestHead, Uri};
use bytes::Bytes;
use ringbend_gateway::{Endpoint, HealthEvent, LIMITED_QUERY_INTERVAL, LimitSource, Pace};
use ringbend_types::{EndpointId, Timestamp};
use ringbend_wire::{EnginePace, LoadDigest, decode_engine_pace};
use smallvec::SmallVec;

use crate::active_request::ActiveRequest;
use crate::exchange::{self, ExchangeError};
use crate::node::Node;
use crate::ports::{EngineReport, ResponseMetadata};

/// Timeout of an engine's report, which needs no slot. An engine that takes longer does not serve
/// requests in time either.
pub(crate) const REPORT_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval between queries of a slow engine, so that it receives requests again soon after it has
/// recovered.
const SLOW_ENGINE_INTERVAL: Duration = Duration::from_millis(1_000);

/// Maximum size of a report, in bytes; it lists all reservations.
const MAX_REPORT_BYTES: usize = 64 << 10;

/// A pause between events is long if it exceeds the duration of an engine pass without prefill by
/// this factor.
const LONG_PAUSE_FACTOR: f64 = 2.0;

/// Number of consecutive long pauses after which the engine is queried. A single one may be due to
/// the prefill of a long prompt.
const LONG_PAUSES_BEFORE_QUERY: u32 = 3;

/// The response to a request for a report.
pub(crate) struct ReportResponse {
    pub(crate) metadata: ResponseMetadata,
    /// `None` if the response contains no report.
    pub(crate) report: Option<EngineReport>,
}

/// Counts consecutive long pauses of a stream.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LongPauseCounter {
    consecutive: u32,
}

impl LongPauseCounter {
    /// Records a pause. Returns whether the engine should be queried.
    fn record(&mut self, pause: Duration, pass_ms: f64) -> bool {
        let is_long = pause.as_secs_f64() * 1e3 > pass_ms * LONG_PAUSE_FACTOR;
        self.consecutive = if is_long { self.consecutive + 1 } else { 0 };
        is_long && self.consecutive.is_multiple_of(LONG_PAUSES_BEFORE_QUERY)
    }
}

impl ActiveRequest {
    /// Runs `work`, and suspects the engines that it depends on if it is not done by `overdue_at`.
    pub(crate) fn watch_for_overdue<T, W: Future<Output = T>>(
        &self,
        dependencies: &[Endpoint],
        overdue_at: Timestamp,
        work: W,
    ) -> impl Future<Output = T> + use<T, W> {
        let runs_on_engines = self.config.service.engine.is_some();
        let dependencies =
            dependencies.iter().filter(|_| runs_on_engines).map(|endpoint| endpoint.id.clone());
        let (node, engines) =
            (self.node.clone(), dependencies.collect::<SmallVec<[EndpointId; 4]>>());
        async move {
            let mut work = std::pin::pin!(work);
            tokio::select! {
                biased;
                done = &mut work => return done,
                () = node.clock.sleep_until(overdue_at) => {}
            }
            engines.iter().for_each(|engine| node.suspect_engine(engine));
            work.await
        }
    }

    /// Records a pause of the stream, and suspects its engine after several long pauses.
    pub(crate) fn record_pause(&mut self, engine: &EndpointId, pause: Duration) {
        let Some(profile) = self.config.service.engine else { return };
        if self.pauses.record(pause, profile.pass_ms(profile.slots)) {
            self.node.suspect_engine(engine);
        }
    }
}

impl Node {
    /// Records that an engine was slower than expected.
    pub(crate) fn suspect_engine(&self, engine: &EndpointId) {
        self.outbox.borrow_mut().slow_engines.push(engine.clone());
        self.flush.batched.notify_one();
    }

    /// On a scheduler, has suspected engines queried by the scheduler responsible for each.
    pub(crate) fn query_engines(self: &Rc<Self>, suspects: impl IntoIterator<Item = EndpointId>) {
        let now = self.clock.now();
        let mut others: SmallVec<[(SocketAddrV4, EndpointId); 4]> = SmallVec::new();
        for engine in suspects {
            if !self.begin_pace_query(now, &engine) {
                continue;
            }
            match self.peers.borrow().probing_scheduler(now, &engine) {
                Some(other) => others.push((other, engine)),
                None => drop(tokio::task::spawn_local(self.clone().monitor_pace(engine))),
            }
        }
        for (other, engine) in others {
            let suspects = vec![engine.to_string()];
            self.send_digest(&LoadDigest { suspects, ..self.digest() }, other);
        }
    }

    /// Queries an engine for its pace until it is no longer slow.
    async fn monitor_pace(self: Rc<Self>, engine: EndpointId) {
        loop {
            let result = tokio::time::timeout(REPORT_TIMEOUT, self.fetch_report(&engine)).await;
            let Some(report) = self.apply_report(&engine, result.ok()) else { return };
            if !report.pace.is_slow() {
                return;
            }
            let is_rate_limited = self.is_rate_limited(&engine);
            tokio::time::sleep(if is_rate_limited {
                LIMITED_QUERY_INTERVAL
            } else {
                SLOW_ENGINE_INTERVAL
            })
            .await;
            // Suspicions by other instances in the meantime need no query of their own.
            self.begin_pace_query(self.clock.now(), &engine);
        }
    }

    /// Applies the result of a query; `None` if the engine need not be queried again.
    fn apply_report(
        &self,
        engine: &EndpointId,
        result: Option<Result<Option<EngineReport>, ExchangeError>>,
    ) -> Option<EngineReport> {
        let report = match result {
            Some(Ok(report)) => report?,
            failed => {
                let why = failed.and_then(Result::err).map_or("silent".into(), |e| e.to_string());
                log::info!(target: "endpoints", endpoint:% = engine, why; "engine report failed");
                self.health.borrow_mut().note(self.clock.now(), engine, HealthEvent::Bad);
                self.outbox.borrow_mut().unfit.push(engine.clone());
                self.flush.batched.notify_one();
                return None;
            }
        };
        self.apply_engine_state(engine, &report);
        Some(report)
    }

    /// Applies an engine's start and pace, and informs other schedulers.
    pub(crate) fn apply_engine_state(&self, engine: &EndpointId, report: &EngineReport) {
        if let Some(start) = report.start {
            self.record_endpoint_start(engine, start);
        }
        if self.apply_pace(engine, report.pace) {
            self.outbox.borrow_mut().paces.push((engine.clone(), report.pace));
            self.flush.batched.notify_one();
        }
    }

    /// Records an engine's pace. Returns whether other instances should be informed.
    fn apply_pace(&self, engine: &EndpointId, pace: Pace) -> bool {
        let now = self.clock.now();
        let mut load = self.load.borrow_mut();
        let before = load.of(engine).pace();
        load.set_pace(now, engine, pace);
        if before != pace {
            log::info!(target: "endpoints", endpoint:% = engine, pace:%, before:%; "engine pace changed");
        }
        before != pace || pace.is_slow()
    }

    /// Applies paces and suspicions reported by other schedulers.
    pub(crate) fn merge_paces(self: &Rc<Self>, digest: &LoadDigest) {
        for encoded in &digest.paces {
            match decode_engine_pace(encoded) {
                Ok((engine, pace)) => drop(self.apply_pace(&engine, pace)),
                Err(e) => log::warn!(target: "peers", error:% = e; "invalid engine pace in digest"),
            }
        }
        if !self.is_scheduler() {
            return;
        }
        let suspects = digest.suspects.iter().filter_map(|id| match id.parse() {
            Ok(id) => Some(id),
            Err(e) => {
                log::warn!(target: "peers", id, error:% = e; "invalid endpoint id in digest");
                None
            }
        });
        self.query_engines(suspects);
    }

    /// Whether an engine may be queried now. If so, records that it is.
    pub(crate) fn begin_pace_query(&self, now: Timestamp, engine: &EndpointId) -> bool {
        self.pace_queries.borrow_mut().begin(now, engine, self.is_rate_limited(engine))
    }

    fn is_rate_limited(&self, engine: &EndpointId) -> bool {
        self.limits.borrow().known(engine).is_some_and(|known| known.rate.is_some())
    }

    pub(crate) async fn fetch_report(
        self: &Rc<Self>,
        engine: &EndpointId,
    ) -> Result<Option<EngineReport>, ExchangeError> {
        let Some(endpoint) = self.directory.borrow().get(engine).cloned() else { return Ok(None) };
        if self.check_admission(&endpoint).is_err() {
            return Ok(None);
        }
        Ok(self.request_report(&endpoint).await?.report)
    }

    /// Requests an engine's report, whether or not requests may be sent to the engine.
    pub(crate) async fn request_report(
        self: &Rc<Self>,
        endpoint: &Endpoint,
    ) -> Result<ReportResponse, ExchangeError> {
        let request = self.dialect.report_request(&endpoint.id);
        let mut head = RequestHead::default();
        head.method = Method::GET;
        head.uri = Uri::from_static(request.path);
        head.headers = request.headers;
        head.set_connection_type(actix_http::ConnectionType::Close);
        let sent_at = self.clock.now();
        let connection = self.connect_endpoint(endpoint.address).await?;
        let mut incoming =
            exchange::send(&self.http_config, connection, head, Bytes::new()).await?;
        let status = incoming.head.status;
        let metadata = self.dialect.parse_response(status, &incoming.head.headers);
        if !metadata.is_wrong_endpoint {
            self.apply_signals(endpoint, sent_at, &metadata.signals, LimitSource::Report);
        }
        let body = incoming.read_to_end(MAX_REPORT_BYTES).await?;
        Ok(ReportResponse { metadata, report: self.dialect.parse_report(status, &body) })
    }
}

/// Encodes paces for other schedulers.
pub(crate) fn pace_updates(paces: &[(EndpointId, Pace)]) -> Vec<EnginePace> {
    let encode = |(engine, pace): &(EndpointId, Pace)| EnginePace {
        endpoint: engine.to_string(),
        percent: pace.percent(),
    };
    paces.iter().map(encode).collect()
}
