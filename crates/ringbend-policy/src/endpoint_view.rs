//! One endpoint as this instance sees it: its late report, corrected by what was sent since.

use std::collections::BTreeMap;
use std::time::Duration;

use ringbend_platform::{EndpointEntry, EndpointKind, EndpointState, LoadReport};
use ringbend_types::{AttemptId, Timestamp, TokenCount};

/// Prefill rate assumed of an engine before any was measured, in tokens a second.
const FIRST_RATE: f64 = 10_000.0;

/// Weight of a new sample of the prefill rate.
const RATE_GAIN: f64 = 0.2;

/// Prompts shorter than this say too little of the prefill rate, in tokens.
const RATE_SAMPLE_FROM: u64 = 1_000;

/// Prompt tokens that an engine is taken to prefill in one step.
pub(crate) const STEP_TOKENS: f64 = 4_096.0;

/// Time of a step beyond its prefill, in seconds.
const STEP_BASE_S: f64 = 0.02;

/// Tokens that two prompts with one prefix hash share.
pub(crate) const PREFIX_TOKENS: u64 = 2_048;

/// Prefixes remembered per endpoint.
const PREFIXES_KEPT: usize = 512;

/// An endpoint that failed is left alone this long, doubling with each failure in a row.
const SHUN_BASE: Duration = Duration::from_millis(250);

/// The longest an endpoint is left alone.
const SHUN_CAP: Duration = Duration::from_secs(8);

/// An engine that is not heard of for this long is silent, or for three times as long as it lets
/// pass between reports.
const SILENT_AFTER: Duration = Duration::from_millis(2_500);

/// Weight of a new sample of the time between reports.
const GAP_GAIN: f64 = 0.2;

#[derive(Debug, Clone)]
struct Sent {
    at: Timestamp,
    prefill: u64,
    ahead: f64,
    kv: u64,
    long: bool,
    started: bool,
}

/// What is known of one endpoint.
#[derive(Debug, Clone)]
pub(crate) struct EndpointView {
    pub(crate) entry: EndpointEntry,
    pub(crate) leaving: bool,
    report: Option<(LoadReport, Timestamp)>,
    sent: BTreeMap<AttemptId, Sent>,
    rate: f64,
    failures: u32,
    shunned_until: Timestamp,
    prefixes: BTreeMap<u64, Timestamp>,
    heard_at: Option<Timestamp>,
    report_gap_s: f64,
}

impl EndpointView {
    pub(crate) fn new(entry: EndpointEntry) -> Self {
        let leaving = entry.state == EndpointState::Leaving;
        Self {
            entry,
            leaving,
            report: None,
            sent: BTreeMap::new(),
            rate: FIRST_RATE,
            failures: 0,
            shunned_until: Timestamp::default(),
            prefixes: BTreeMap::new(),
            heard_at: None,
            report_gap_s: 0.0,
        }
    }

    /// A report or a token arrived.
    fn heard(&mut self, now: Timestamp) {
        self.heard_at = Some(now);
    }

    /// Starts the wait for a sign anew.
    pub(crate) fn forgive(&mut self, now: Timestamp) {
        self.heard_at = self.heard_at.map(|_| now);
    }

    /// Whether an engine that used to report has not been heard of for too long.
    pub(crate) fn is_silent(&self, now: Timestamp) -> bool {
        let Some(heard_at) = self.heard_at else { return false };
        let patience = SILENT_AFTER.max(Duration::from_secs_f64(3.0 * self.report_gap_s));
        now.since(heard_at) > patience
    }

    pub(crate) fn report(&mut self, now: Timestamp, report: LoadReport, at: Timestamp) {
        if let Some((_, before)) = &self.report {
            let gap = at.since(*before).as_secs_f64();
            self.report_gap_s += GAP_GAIN * (gap - self.report_gap_s);
        }
        self.heard(now);
        let newer = self.report.as_ref().is_none_or(|(_, before)| at >= *before);
        self.leaving |= report.state == EndpointState::Leaving;
        if newer {
            self.report = Some((report, at));
        }
    }

    pub(crate) fn is_open(&self, now: Timestamp) -> bool {
        !self.leaving && now >= self.shunned_until
    }

    /// Requests there: those reported, and this instance's own since.
    pub(crate) fn outstanding(&self) -> u32 {
        let reported = self.report.as_ref().map_or(0, |(r, _)| r.running + r.waiting);
        reported.max(self.sent.len() as u32)
    }

    /// Requests of this instance under way there.
    pub(crate) fn own(&self) -> usize {
        self.sent.len()
    }

    /// Long prompts there that are not yet through prefill, as far as can be told.
    pub(crate) fn long_prompts(&self, now: Timestamp, long_tokens: u64) -> u32 {
        let own = self.sent.values().filter(|s| s.long && !s.started).count() as u32;
        let seen = self.reported_backlog(now) >= long_tokens as f64 * 0.5;
        own.max(u32::from(seen))
    }

    /// Free memory, as far as can be told.
    pub(crate) fn kv_free(&self) -> TokenCount {
        let capacity = self.entry.kv_capacity;
        let Some((report, at)) = &self.report else {
            let own = self.sent.values().map(|s| s.kv).sum();
            return capacity.saturating_sub(TokenCount(own));
        };
        let since: u64 = self.sent.values().filter(|s| s.at > *at).map(|s| s.kv).sum();
        report.kv_capacity.saturating_sub(report.kv_used).saturating_sub(TokenCount(since))
    }

    /// Prompt tokens sent from here that the report does not count yet.
    fn own_since_report(&self, now: Timestamp, long: bool) -> f64 {
        let reported_at = self.report.as_ref().map_or(Timestamp::default(), |(_, at)| *at);
        let unseen = self.sent.values().filter(|s| !s.started && s.at >= reported_at);
        let left =
            |s: &Sent| (s.prefill as f64 - self.rate * now.since(s.at).as_secs_f64()).max(0.0);
        unseen.filter(|s| long || !s.long).map(left).sum()
    }

    fn reported_backlog(&self, now: Timestamp) -> f64 {
        let Some((report, at)) = &self.report else { return 0.0 };
        let done = self.rate * now.since(*at).as_secs_f64();
        (report.prefill_backlog.0 as f64 - done).max(0.0)
    }

    /// Prompt tokens that go before a request sent now. One that is not long goes before long
    /// ones at the engine, and waits only for the step under way and for others that are not long.
    pub(crate) fn ahead(&self, now: Timestamp, long: bool) -> f64 {
        let own = self.own_since_report(now, long);
        let reported = self.reported_backlog(now);
        if long {
            return reported + own;
        }
        let waiting = self.report.as_ref().map_or(0, |(r, _)| r.waiting);
        reported.min(STEP_TOKENS * f64::from(1 + waiting)) + own
    }

    /// Predicted time to first token.
    pub(crate) fn predict(&self, now: Timestamp, prefill: u64, long: bool) -> Duration {
        if self.entry.kind == EndpointKind::Service {
            return Duration::from_millis(u64::from(self.outstanding()));
        }
        let tokens = self.ahead(now, long) + prefill as f64;
        let steps = (tokens / STEP_TOKENS).ceil().max(1.0);
        Duration::from_secs_f64(tokens / self.rate + steps * STEP_BASE_S)
    }

    /// Prompt tokens that need prefill, the prefix cache counted.
    pub(crate) fn uncached(&self, prompt: TokenCount, prefix: u64) -> u64 {
        let spared = if self.prefixes.contains_key(&prefix) { PREFIX_TOKENS } else { 0 };
        prompt.0.saturating_sub(spared).max(1)
    }

    /// Prompt tokens prefilled per second.
    pub(crate) fn rate(&self) -> f64 {
        self.rate
    }

    pub(crate) fn sent(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        prefill: u64,
        kv: TokenCount,
        long: bool,
    ) {
        let ahead = self.ahead(now, long);
        let sent = Sent { at: now, prefill, ahead, kv: kv.0, long, started: false };
        self.sent.insert(attempt, sent);
    }

    /// A token of an attempt. The first one says that its prompt is prefilled, and tells the rate.
    pub(crate) fn progressed(&mut self, now: Timestamp, attempt: AttemptId, prefix: u64) {
        let Some(sent) = self.sent.get_mut(&attempt) else { return };
        if sent.started {
            return;
        }
        sent.started = true;
        let tokens = sent.ahead + sent.prefill as f64;
        let steps = (tokens / STEP_TOKENS).ceil();
        let seconds = now.since(sent.at).as_secs_f64() - steps * STEP_BASE_S;
        if sent.prefill >= RATE_SAMPLE_FROM && seconds > 0.0 {
            let sample = (tokens / seconds).clamp(self.rate / 4.0, self.rate * 4.0);
            self.rate += RATE_GAIN * (sample - self.rate);
        }
        self.failures = 0;
        self.remember(now, prefix);
    }

    fn remember(&mut self, now: Timestamp, prefix: u64) {
        self.prefixes.insert(prefix, now);
        if self.prefixes.len() > PREFIXES_KEPT {
            let oldest = self.prefixes.iter().min_by_key(|(_, at)| **at).map(|(p, _)| *p);
            if let Some(oldest) = oldest {
                self.prefixes.remove(&oldest);
            }
        }
    }

    pub(crate) fn ended(&mut self, attempt: AttemptId) {
        self.sent.remove(&attempt);
    }

    /// Whether the endpoint reports, and has work by its latest report: what was sent there may be
    /// waiting its turn.
    pub(crate) fn is_busy(&self, now: Timestamp) -> bool {
        let works = |r: &LoadReport| r.waiting > 0 || r.prefill_backlog.0 > 0;
        !self.is_silent(now) && self.report.as_ref().is_some_and(|(r, _)| works(r))
    }

    /// Attempts under way there.
    pub(crate) fn attempts(&self) -> Vec<AttemptId> {
        self.sent.keys().copied().collect()
    }

    /// The endpoint failed an attempt: leave it alone for a while.
    pub(crate) fn failed(&mut self, now: Timestamp, least: Option<Duration>) {
        self.failures += 1;
        let doublings = (self.failures - 1).min(8);
        let shun = SHUN_BASE.saturating_mul(1 << doublings).min(SHUN_CAP);
        self.shunned_until = now + shun.max(least.unwrap_or_default());
        self.prefixes.clear();
    }

    /// The endpoint refused an attempt without running it.
    pub(crate) fn refused(&mut self, now: Timestamp, retry_after: Option<Duration>) {
        self.shunned_until = self.shunned_until.max(now + retry_after.unwrap_or(SHUN_BASE));
    }
}
