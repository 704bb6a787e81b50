//! One endpoint as this instance sees it: delayed load reports, corrected by what was sent since.

use std::collections::BTreeMap;
use std::time::Duration;

use ringbend_platform::{EndpointEntry, EndpointKind, EndpointState, LoadReport};
use ringbend_types::{AttemptId, Timestamp, TokenCount};

/// Prefill rate assumed for an engine until one has been measured, in tokens per second.
const INITIAL_PREFILL_RATE: f64 = 10_000.0;

/// Weight of a new sample in the moving average of the prefill rate.
const PREFILL_RATE_GAIN: f64 = 0.2;

/// Shorter prompts are not used as samples because they say too little about the prefill rate.
const MIN_RATE_SAMPLE_TOKENS: u64 = 1_000;

/// Prompt tokens that an engine is assumed to prefill in one step.
pub(crate) const STEP_TOKENS: f64 = 4_096.0;

/// Fixed overhead of a step beyond its prefill, in seconds.
const STEP_BASE_S: f64 = 0.02;

/// Tokens assumed to be shared by two prompts with the same prefix hash.
pub(crate) const PREFIX_TOKENS: u64 = 2_048;

/// Maximum number of prefix hashes remembered per endpoint.
const MAX_PREFIXES: usize = 512;

/// Backoff after an endpoint's first failure; doubles with each consecutive failure.
const BACKOFF_BASE: Duration = Duration::from_millis(250);

/// Maximum backoff.
const BACKOFF_CAP: Duration = Duration::from_secs(8);

/// An engine counts as silent after this long without a load report, or after three times its
/// average interval between reports, whichever is longer.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Weight of a new sample in the moving average of the interval between reports.
const REPORT_GAP_GAIN: f64 = 0.2;

#[derive(Debug, Clone)]
struct InFlight {
    sent_at: Timestamp,
    prefill: u64,
    tokens_ahead: f64,
    kv_tokens: u64,
    long: bool,
    prefilled: bool,
}

/// This instance's knowledge of one endpoint.
#[derive(Debug, Clone)]
pub(crate) struct EndpointView {
    pub(crate) entry: EndpointEntry,
    pub(crate) leaving: bool,
    report: Option<(LoadReport, Timestamp)>,
    in_flight: BTreeMap<AttemptId, InFlight>,
    prefill_rate: f64,
    failures: u32,
    backoff_until: Timestamp,
    prefixes: BTreeMap<u64, Timestamp>,
    last_activity: Option<Timestamp>,
    report_gap_s: f64,
}

impl EndpointView {
    pub(crate) fn new(entry: EndpointEntry) -> Self {
        let leaving = entry.state == EndpointState::Leaving;
        Self {
            entry,
            leaving,
            report: None,
            in_flight: BTreeMap::new(),
            prefill_rate: INITIAL_PREFILL_RATE,
            failures: 0,
            backoff_until: Timestamp::default(),
            prefixes: BTreeMap::new(),
            last_activity: None,
            report_gap_s: 0.0,
        }
    }

    /// Records that a load report arrived.
    fn record_activity(&mut self, now: Timestamp) {
        self.last_activity = Some(now);
    }

    /// Restarts the silence timeout, after a pause of this instance.
    pub(crate) fn restart_silence_timer(&mut self, now: Timestamp) {
        self.last_activity = self.last_activity.map(|_| now);
    }

    /// Returns whether an engine that has sent load reports has sent none for too long.
    pub(crate) fn is_silent(&self, now: Timestamp) -> bool {
        let Some(last_activity) = self.last_activity else { return false };
        let timeout = SILENCE_TIMEOUT.max(Duration::from_secs_f64(3.0 * self.report_gap_s));
        now.since(last_activity) > timeout
    }

    pub(crate) fn record_report(&mut self, now: Timestamp, report: LoadReport, at: Timestamp) {
        if let Some((_, before)) = &self.report {
            let gap = at.since(*before).as_secs_f64();
            self.report_gap_s += REPORT_GAP_GAIN * (gap - self.report_gap_s);
        }
        self.record_activity(now);
        let newer = self.report.as_ref().is_none_or(|(_, before)| at >= *before);
        self.leaving |= report.state == EndpointState::Leaving;
        if newer {
            self.report = Some((report, at));
        }
    }

    pub(crate) fn is_open(&self, now: Timestamp) -> bool {
        !self.leaving && now >= self.backoff_until
    }

    /// Returns the number of requests there: the reported count or this instance's own, whichever
    /// is higher.
    pub(crate) fn outstanding(&self) -> u32 {
        let reported = self.report.as_ref().map_or(0, |(r, _)| r.running + r.waiting);
        reported.max(self.in_flight.len() as u32)
    }

    /// Returns the number of this instance's requests in flight there.
    pub(crate) fn own_requests(&self) -> usize {
        self.in_flight.len()
    }

    /// Estimates the number of long prompts there that have not finished prefill.
    pub(crate) fn long_prompts(&self, now: Timestamp, long_tokens: u64) -> u32 {
        let own = self.in_flight.values().filter(|s| s.long && !s.prefilled).count() as u32;
        let reported_long = self.reported_backlog(now) >= long_tokens as f64 * 0.5;
        own.max(u32::from(reported_long))
    }

    /// Estimates the free KV cache memory.
    pub(crate) fn kv_free(&self) -> TokenCount {
        let capacity = self.entry.kv_capacity;
        let Some((report, at)) = &self.report else {
            let own = self.in_flight.values().map(|s| s.kv_tokens).sum();
            return capacity.saturating_sub(TokenCount(own));
        };
        let since: u64 =
            self.in_flight.values().filter(|s| s.sent_at > *at).map(|s| s.kv_tokens).sum();
        report.kv_capacity.saturating_sub(report.kv_used).saturating_sub(TokenCount(since))
    }

    /// Returns the prompt tokens sent from here that the report does not include yet.
    fn unreported_prefill(&self, now: Timestamp, long: bool) -> f64 {
        let reported_at = self.report.as_ref().map_or(Timestamp::default(), |(_, at)| *at);
        let unreported =
            self.in_flight.values().filter(|s| !s.prefilled && s.sent_at >= reported_at);
        let remaining = |s: &InFlight| {
            (s.prefill as f64 - self.prefill_rate * now.since(s.sent_at).as_secs_f64()).max(0.0)
        };
        unreported.filter(|s| long || !s.long).map(remaining).sum()
    }

    fn reported_backlog(&self, now: Timestamp) -> f64 {
        let Some((report, at)) = &self.report else { return 0.0 };
        let prefilled_since = self.prefill_rate * now.since(*at).as_secs_f64();
        (report.prefill_backlog.0 as f64 - prefilled_since).max(0.0)
    }

    /// Returns the prompt tokens that are prefilled before a request sent now. At the engine a
    /// short prompt goes before long ones, so it waits only for the current step and for other
    /// short prompts.
    pub(crate) fn tokens_ahead(&self, now: Timestamp, long: bool) -> f64 {
        let own = self.unreported_prefill(now, long);
        let reported = self.reported_backlog(now);
        if long {
            return reported + own;
        }
        let waiting = self.report.as_ref().map_or(0, |(r, _)| r.waiting);
        reported.min(STEP_TOKENS * f64::from(1 + waiting)) + own
    }

    /// Predicts the time to first token.
    pub(crate) fn predict_ttft(&self, now: Timestamp, prefill: u64, long: bool) -> Duration {
        if self.entry.kind == EndpointKind::Service {
            return Duration::from_millis(u64::from(self.outstanding()));
        }
        let tokens = self.tokens_ahead(now, long) + prefill as f64;
        let steps = (tokens / STEP_TOKENS).ceil().max(1.0);
        Duration::from_secs_f64(tokens / self.prefill_rate + steps * STEP_BASE_S)
    }

    /// Returns the prompt tokens that need prefill after a prefix cache hit.
    pub(crate) fn uncached_tokens(&self, prompt: TokenCount, prefix: u64) -> u64 {
        let cached = if self.prefixes.contains_key(&prefix) { PREFIX_TOKENS } else { 0 };
        prompt.0.saturating_sub(cached).max(1)
    }

    /// Returns the estimated prefill rate in tokens per second.
    pub(crate) fn prefill_rate(&self) -> f64 {
        self.prefill_rate
    }

    pub(crate) fn record_sent(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        prefill: u64,
        kv_tokens: TokenCount,
        long: bool,
    ) {
        let tokens_ahead = self.tokens_ahead(now, long);
        let sent = InFlight {
            sent_at: now,
            prefill,
            tokens_ahead,
            kv_tokens: kv_tokens.0,
            long,
            prefilled: false,
        };
        self.in_flight.insert(attempt, sent);
    }

    /// Records a token of an attempt. The first one means that the prompt has been prefilled, which
    /// gives a sample of the prefill rate.
    pub(crate) fn record_progress(&mut self, now: Timestamp, attempt: AttemptId, prefix: u64) {
        let Some(sent) = self.in_flight.get_mut(&attempt) else { return };
        if sent.prefilled {
            return;
        }
        sent.prefilled = true;
        let tokens = sent.tokens_ahead + sent.prefill as f64;
        let steps = (tokens / STEP_TOKENS).ceil();
        let seconds = now.since(sent.sent_at).as_secs_f64() - steps * STEP_BASE_S;
        if sent.prefill >= MIN_RATE_SAMPLE_TOKENS && seconds > 0.0 {
            let sample = (tokens / seconds).clamp(self.prefill_rate / 4.0, self.prefill_rate * 4.0);
            self.prefill_rate += PREFILL_RATE_GAIN * (sample - self.prefill_rate);
        }
        self.failures = 0;
        self.remember_prefix(now, prefix);
    }

    fn remember_prefix(&mut self, now: Timestamp, prefix: u64) {
        self.prefixes.insert(prefix, now);
        if self.prefixes.len() > MAX_PREFIXES {
            let oldest = self.prefixes.iter().min_by_key(|(_, at)| **at).map(|(p, _)| *p);
            if let Some(oldest) = oldest {
                self.prefixes.remove(&oldest);
            }
        }
    }

    pub(crate) fn record_end(&mut self, attempt: AttemptId) {
        self.in_flight.remove(&attempt);
    }

    /// Returns whether the endpoint still reports and its latest report shows work, in which case
    /// an attempt without a token may just be queued there.
    pub(crate) fn is_busy(&self, now: Timestamp) -> bool {
        let has_work = |r: &LoadReport| r.waiting > 0 || r.prefill_backlog.0 > 0;
        !self.is_silent(now) && self.report.as_ref().is_some_and(|(r, _)| has_work(r))
    }

    /// Returns this instance's attempts in flight there.
    pub(crate) fn attempts(&self) -> Vec<AttemptId> {
        self.in_flight.keys().copied().collect()
    }

    /// Records a failed attempt and backs off from the endpoint.
    pub(crate) fn record_failure(&mut self, now: Timestamp, minimum: Option<Duration>) {
        self.failures += 1;
        let doublings = (self.failures - 1).min(8);
        let backoff = BACKOFF_BASE.saturating_mul(1 << doublings).min(BACKOFF_CAP);
        self.backoff_until = now + backoff.max(minimum.unwrap_or_default());
        self.prefixes.clear();
    }

    /// Records that the endpoint refused an attempt without running it.
    pub(crate) fn record_refusal(&mut self, now: Timestamp, retry_after: Option<Duration>) {
        self.backoff_until = self.backoff_until.max(now + retry_after.unwrap_or(BACKOFF_BASE));
    }
}
