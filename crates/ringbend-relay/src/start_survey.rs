//! Asks engines for their reports after a start, so that placement avoids those that are still busy
//! with requests of instances that have ended. No request waits for this.

use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use ringbend_gateway::{Endpoint, EngineProfile, Role, UsageReport, fade_time};
use ringbend_types::{EndpointId, Timestamp};
use ringbend_wire::{
    EngineUsage, LoadDigest, decode_engine_usage, decode_role, encode_engine_usage,
};

use crate::engine_pace::REPORT_TIMEOUT;
use crate::node::Node;
use crate::placement::DISCOVERY_TIME;

/// Time before the first requests for reports: the other schedulers answer a greeting within 40 ms,
/// and engines are divided among those that are known.
const GREETING_TIME: Duration = Duration::from_millis(60);

/// Interval at which engines that have become known since are asked.
const PASS_INTERVAL: Duration = Duration::from_millis(50);

/// The number of reports that are requested at once. Each takes a connection; an instance with a
/// tenth of a core must not delay its callers by opening a hundred of them together.
const MAX_CONCURRENT_REPORTS: usize = 16;

/// The number of reports in one datagram, which is at most 16 KiB long; a report takes about 30 bytes.
const MAX_USAGES_PER_DATAGRAM: usize = 100;

/// How long the survey waits for the first engines, after which it is given up. Longer than any
/// fade time.
const SURVEY_TIME: Duration = Duration::from_secs(10);

/// Surveys the engines until their unknown load has ended.
pub(crate) async fn survey_engines(node: Rc<Node>) {
    if !node.cfg.borrow().overload.is_enabled() {
        return;
    }
    let end = node.clock.started_at() + SURVEY_TIME;
    while !node.is_ready_to_survey() {
        if node.clock.now() >= end {
            return;
        }
        tokio::time::sleep(PASS_INTERVAL).await;
    }
    tokio::time::sleep(GREETING_TIME).await;
    while node.clock.now() < end && node.is_scheduler() {
        node.apply_deferred_usages();
        let due = node.engines_to_survey();
        let has_asked = !due.is_empty();
        let requests = due.into_iter().map(|(engine, fade)| node.survey_engine(engine, fade));
        futures_util::stream::iter(requests)
            .buffer_unordered(MAX_CONCURRENT_REPORTS)
            .for_each(|()| std::future::ready(()))
            .await;
        if has_asked {
            node.log_survey();
        }
        if !node.may_survey() {
            return;
        }
        tokio::time::sleep(PASS_INTERVAL).await;
    }
}

impl Node {
    /// Whether this instance schedules and knows another instance, or has looked for others.
    fn is_ready_to_survey(&self) -> bool {
        let now = self.clock.now();
        let has_searched = now.since(self.clock.started_at()) >= DISCOVERY_TIME;
        self.is_scheduler() && (has_searched || self.peers.borrow().instances(now) > 1)
    }

    /// Applies reports that arrived before this instance knew their engines.
    fn apply_deferred_usages(&self) {
        let deferred = self.survey.borrow_mut().take_deferred();
        for (engine, report) in deferred {
            self.merge_usage(self.clock.now(), &engine, report);
        }
    }

    /// Whether engines may still be asked, or none is known yet.
    fn may_survey(&self) -> bool {
        let now = self.clock.now();
        let fades: Vec<Duration> =
            self.registered_engines().iter().map(|(_, profile)| fade_time(profile)).collect();
        let survey = self.survey.borrow();
        fades.is_empty() || fades.iter().any(|fade| survey.is_active(now, *fade))
    }

    /// The endpoints of all services with an engine profile.
    fn registered_engines(&self) -> Vec<(Endpoint, EngineProfile)> {
        let replica = self.replica.borrow();
        let Some(snapshot) = replica.snapshot() else { return Vec::new() };
        let profile = |endpoint: &Endpoint| snapshot.service(&endpoint.service)?.engine;
        let directory = self.directory.borrow();
        let engines = directory.registered().filter_map(|e| Some((e.clone(), profile(e)?)));
        engines.collect()
    }

    /// The engines that this instance asks now, with the fade time of their load. Each engine is
    /// asked by one of the schedulers.
    fn engines_to_survey(&self) -> Vec<(EndpointId, Duration)> {
        let now = self.clock.now();
        let engines = self.registered_engines();
        let (peers, mut survey) = (self.peers.borrow(), self.survey.borrow_mut());
        let own =
            engines.into_iter().filter(|(e, _)| peers.probing_scheduler(now, &e.id).is_none());
        own.map(|(endpoint, profile)| (endpoint.id, fade_time(&profile)))
            .filter(|(engine, fade)| survey.begin(now, engine, *fade))
            .collect()
    }

    /// Asks one engine. One that does not answer in time remains unknown; its health is not
    /// affected, because no request has depended on it.
    async fn survey_engine(self: &Rc<Self>, engine: EndpointId, fade: Duration) {
        let answer = tokio::time::timeout(REPORT_TIMEOUT, self.fetch_report(&engine)).await;
        let Ok(Ok(Some(report))) = answer else {
            log::info!(target: "endpoints", endpoint:% = engine; "engine did not answer at start");
            return;
        };
        self.apply_engine_state(&engine, &report);
        let Some(usage) = report.usage else { return };
        let report = UsageReport { usage, received_at: self.clock.now() };
        if !self.survey.borrow_mut().record_answer(&engine, report, fade) {
            return;
        }
        let found = self.load.borrow_mut().set_residual(report.received_at, &engine, report, fade);
        self.survey.borrow_mut().count_answer(found);
        log::info!(
            target: "endpoints", endpoint:% = engine, requests = usage.requests,
            memory = usage.memory_tokens, found;
            "engine reported its load at start"
        );
        self.outbox.borrow_mut().usages.push((engine, report));
        self.flush.batched.notify_one();
    }

    fn log_survey(&self) {
        let counts = self.survey.borrow().counts();
        self.metrics.set_start_survey(counts.asked, counts.answered, counts.requests);
        log::info!(
            target: "endpoints", asked = counts.asked, answered = counts.answered,
            requests = counts.requests;
            "engines surveyed at start"
        );
    }

    /// Applies what another scheduler found, and how long it has been running.
    pub(crate) fn merge_survey(&self, now: Timestamp, digest: &LoadDigest) {
        if !self.cfg.borrow().overload.is_enabled() {
            return;
        }
        if let Some(uptime_ms) = digest.uptime_ms
            && decode_role(digest) == Role::Scheduler
        {
            let uptime = Duration::from_millis(uptime_ms);
            self.survey.borrow_mut().record_scheduler(now, uptime);
        }
        for encoded in &digest.usages {
            match decode_engine_usage(now, encoded) {
                Ok((engine, report)) => self.merge_usage(now, &engine, report),
                Err(e) => {
                    log::warn!(target: "peers", error:% = e; "invalid engine usage in digest")
                }
            }
        }
    }

    /// Applies a report that another scheduler requested. The work known here is subtracted, which
    /// may be more than the other scheduler knew.
    fn merge_usage(&self, now: Timestamp, engine: &EndpointId, report: UsageReport) {
        let Some(fade) = self.fade_of(engine) else {
            return self.survey.borrow_mut().defer(engine.clone(), report);
        };
        if self.survey.borrow_mut().merge(now, engine, report, fade) {
            self.load.borrow_mut().set_residual(now, engine, report, fade);
        }
    }

    fn fade_of(&self, engine: &EndpointId) -> Option<Duration> {
        let service = self.directory.borrow().get(engine)?.service.clone();
        let replica = self.replica.borrow();
        replica.snapshot()?.service(&service)?.engine.as_ref().map(fade_time)
    }

    /// All current reports, for a scheduler that has just started.
    pub(crate) fn survey_snapshot(&self) -> Vec<LoadDigest> {
        let now = self.clock.now();
        let survey = self.survey.borrow();
        let encode = |(engine, report)| encode_engine_usage(now, engine, report);
        let usages: Vec<EngineUsage> = survey.reports(now).map(encode).collect();
        let digest = |part: &[EngineUsage]| LoadDigest { usages: part.to_vec(), ..self.digest() };
        usages.chunks(MAX_USAGES_PER_DATAGRAM).map(digest).collect()
    }

    /// Whether other instances have started as well and place requests that are not reported here:
    /// after a start of all instances, those of a data centre may know each other and no others.
    pub(crate) fn is_split_after_start(&self, now: Timestamp) -> bool {
        let cfg = self.cfg.borrow();
        if !cfg.overload.is_enabled() || !self.survey.borrow().is_start_of_all(now) {
            return false;
        }
        let peers = self.peers.borrow();
        cfg.regions.data_centres().any(|centre| !peers.knows_scheduler_in(now, centre))
    }

    /// How long this instance has been running, for the introduction to others; `None` if overload
    /// control is off.
    pub(crate) fn announced_uptime_ms(&self) -> Option<u64> {
        let uptime = self.clock.now().since(self.clock.started_at());
        let uptime_ms = u64::try_from(uptime.as_millis()).unwrap_or(u64::MAX);
        self.cfg.borrow().overload.is_enabled().then_some(uptime_ms)
    }
}

/// Encodes reports for other schedulers.
pub(crate) fn usage_updates(
    now: Timestamp,
    usages: &[(EndpointId, UsageReport)],
) -> Vec<EngineUsage> {
    usages.iter().map(|(engine, report)| encode_engine_usage(now, engine, report)).collect()
}
