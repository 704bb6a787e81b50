//! Decides which engines a scheduler that has just started asks for their reports, and which
//! reports it uses.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ringbend_types::{EndpointId, Timestamp};

use crate::residual_load::UsageReport;

/// Instances that start within this time of each other count as started together. The restart of
/// all instances of a fleet takes about a second.
const START_WINDOW: Duration = Duration::from_secs(2);

/// How long after their start instances that do not know each other yet are expected to find each
/// other. They do so within a second of a path between them, which an outage of the store delays.
const DISCOVERY_LIMIT: Duration = Duration::from_secs(10);

/// The maximum number of reports that wait for their engines to become known; more than any fleet
/// has engines.
const MAX_PENDING: usize = 2_000;

/// The result of a survey.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SurveyCounts {
    /// Engines that this instance asked.
    pub asked: usize,
    /// Engines that answered it in time.
    pub answered: usize,
    /// Requests found on them that no known instance placed.
    pub requests: usize,
}

/// The engines asked, and the reports known, since the start of this instance.
#[derive(Debug, Clone)]
pub struct StartSurvey {
    started_at: Timestamp,
    /// Whether a scheduler is known that has been running for longer, and so knows the load.
    knows_older: bool,
    asked: BTreeSet<EndpointId>,
    reports: BTreeMap<EndpointId, (UsageReport, Duration)>,
    /// Reports from other schedulers about engines that are not known here yet.
    pending: BTreeMap<EndpointId, UsageReport>,
    counts: SurveyCounts,
}

impl StartSurvey {
    /// Creates the survey of an instance that started at this time.
    pub fn new(started_at: Timestamp) -> Self {
        Self {
            started_at,
            knows_older: false,
            asked: BTreeSet::new(),
            reports: BTreeMap::new(),
            pending: BTreeMap::new(),
            counts: SurveyCounts::default(),
        }
    }

    /// Records how long a scheduler has been running.
    pub fn record_scheduler(&mut self, now: Timestamp, uptime: Duration) {
        self.knows_older |= uptime > now.since(self.started_at) + START_WINDOW;
    }

    /// Whether an engine whose load fades over `fade` may be asked: this instance has just started
    /// and knows of no scheduler that knows the load.
    pub fn is_active(&self, now: Timestamp, fade: Duration) -> bool {
        !self.knows_older && now.since(self.started_at) < fade
    }

    /// Whether all instances have recently started, as far as this one knows.
    pub fn is_start_of_all(&self, now: Timestamp) -> bool {
        self.is_active(now, DISCOVERY_LIMIT)
    }

    /// Whether to ask the engine now. Records that it is asked if so; each engine is asked once.
    pub fn begin(&mut self, now: Timestamp, engine: &EndpointId, fade: Duration) -> bool {
        if !self.is_active(now, fade) || self.reports.contains_key(engine) {
            return false;
        }
        let is_new = self.asked.insert(engine.clone());
        self.counts.asked += usize::from(is_new);
        is_new
    }

    /// Records the answer of an engine that this instance asked. Returns whether it is used; one
    /// that arrives after the fade time is not, as the requests of ended instances are over.
    pub fn record_answer(
        &mut self,
        engine: &EndpointId,
        report: UsageReport,
        fade: Duration,
    ) -> bool {
        let is_late = report.received_at.since(self.started_at) >= fade;
        !is_late && self.insert(report.received_at, engine, report, fade)
    }

    /// Counts an answer that is used, and the requests that it reveals.
    pub fn count_answer(&mut self, requests: usize) {
        self.counts.answered += 1;
        self.counts.requests += requests;
    }

    /// Records a report that another scheduler requested. Returns whether it is used: the first
    /// one of each engine is, unless its load has faded.
    pub fn merge(
        &mut self,
        now: Timestamp,
        engine: &EndpointId,
        report: UsageReport,
        fade: Duration,
    ) -> bool {
        !self.knows_older && self.insert(now, engine, report, fade)
    }

    /// Keeps a report about an engine that is not known here yet.
    pub fn defer(&mut self, engine: EndpointId, report: UsageReport) {
        if !self.knows_older && self.pending.len() < MAX_PENDING {
            self.pending.insert(engine, report);
        }
    }

    /// Removes and returns the reports that were kept.
    pub fn take_deferred(&mut self) -> BTreeMap<EndpointId, UsageReport> {
        std::mem::take(&mut self.pending)
    }

    fn insert(
        &mut self,
        now: Timestamp,
        engine: &EndpointId,
        report: UsageReport,
        fade: Duration,
    ) -> bool {
        if now.since(report.received_at) >= fade || self.reports.contains_key(engine) {
            return false;
        }
        self.reports.insert(engine.clone(), (report, fade));
        true
    }

    /// The reports whose load has not faded yet.
    pub fn reports(&self, now: Timestamp) -> impl Iterator<Item = (&EndpointId, &UsageReport)> {
        let is_current =
            move |(report, fade): &(UsageReport, Duration)| now.since(report.received_at) < *fade;
        self.reports.iter().filter(move |(_, entry)| is_current(entry)).map(|(id, (r, _))| (id, r))
    }

    /// What was asked and found so far.
    pub fn counts(&self) -> SurveyCounts {
        self.counts
    }
}
