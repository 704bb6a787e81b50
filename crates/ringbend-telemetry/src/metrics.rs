//! Metrics of one instance, with units in the names.

use std::fmt;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, text::encode};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use ringbend_types::PromptBucket;

/// How a request ended, as counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Outcome {
    /// The whole answer was delivered.
    Answered,
    /// Admitted, and failed.
    Failed,
    /// Not admitted, and not run.
    Rejected,
    /// The caller went away before the end.
    CallerGone,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: Outcome,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BucketLabels {
    prompt: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EndpointLabels {
    endpoint: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CodeLabels {
    code: &'static str,
}

/// The metrics. Cheap to clone; all clones count together.
#[derive(Clone)]
pub struct Metrics {
    requests: Family<OutcomeLabels, Counter>,
    admitted: Counter,
    failures: Family<CodeLabels, Counter>,
    first_token: Family<BucketLabels, Histogram>,
    attempts: Counter,
    retries: Counter,
    claims: Counter,
    table_calls: Counter,
    peer_bytes: Counter,
    strikes: Counter,
    unknown_signals: Counter,
    inadmissible: Counter,
    endpoint_limits: Family<EndpointLabels, Gauge<f64, AtomicU64>>,
    /// Requests that are held because they end endpoints.
    pub held_requests: Gauge,
    /// Endpoints that name a limit.
    pub limited_endpoints: Gauge,
    /// Endpoints that have announced that they are draining.
    pub draining_endpoints: Gauge,
    /// Endpoints that have asked this instance to back off.
    pub endpoint_backoffs: Gauge,
    /// The settings version in force.
    pub settings_version: Gauge,
    /// Admitted requests that have not ended.
    pub open_requests: Gauge,
    /// Requests that wait for an endpoint.
    pub queued_requests: Gauge,
    /// Instances taken for alive, this one included.
    pub live_instances: Gauge,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Default for Metrics {
    fn default() -> Self {
        let histogram = || Histogram::new(exponential_buckets(0.005, 2.0, 16));
        Self {
            requests: Family::default(),
            admitted: Counter::default(),
            failures: Family::default(),
            first_token: Family::new_with_constructor(histogram),
            attempts: Counter::default(),
            retries: Counter::default(),
            claims: Counter::default(),
            table_calls: Counter::default(),
            peer_bytes: Counter::default(),
            strikes: Counter::default(),
            unknown_signals: Counter::default(),
            inadmissible: Counter::default(),
            endpoint_limits: Family::default(),
            held_requests: Gauge::default(),
            limited_endpoints: Gauge::default(),
            draining_endpoints: Gauge::default(),
            endpoint_backoffs: Gauge::default(),
            settings_version: Gauge::default(),
            open_requests: Gauge::default(),
            queued_requests: Gauge::default(),
            live_instances: Gauge::default(),
        }
    }
}

impl Metrics {
    /// Counts an admitted request.
    pub fn admitted(&self) {
        self.admitted.inc();
    }

    /// Admitted requests since the start.
    pub fn admitted_total(&self) -> u64 {
        self.admitted.get()
    }

    /// Counts the end of a request.
    pub fn ended(&self, outcome: Outcome) {
        self.requests.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Requests that ended this way since the start.
    pub fn ended_total(&self, outcome: Outcome) -> u64 {
        self.requests.get_or_create(&OutcomeLabels { outcome }).get()
    }

    /// Counts a refusal or failure by its code.
    pub fn failure(&self, code: &'static str) {
        self.failures.get_or_create(&CodeLabels { code }).inc();
    }

    /// Counts the time from arrival to first token.
    pub fn first_token(&self, bucket: PromptBucket, time: Duration) {
        let labels = BucketLabels { prompt: bucket.label() };
        self.first_token.get_or_create(&labels).observe(time.as_secs_f64());
    }

    /// Counts an attempt at an endpoint.
    pub fn attempt(&self, number: u32) {
        self.attempts.inc();
        if number > 1 {
            self.retries.inc();
        }
    }

    /// Counts a claim asked for.
    pub fn claim(&self) {
        self.claims.inc();
    }

    /// Counts a call to the table service.
    pub fn table_call(&self) {
        self.table_calls.inc();
    }

    /// Counts bytes sent to other instances.
    pub fn peer_bytes(&self, bytes: u64) {
        self.peer_bytes.inc_by(bytes);
    }

    /// Counts an endpoint that ended while it ran a request.
    pub fn strike(&self) {
        self.strikes.inc();
    }

    /// Counts a response header of the endpoint protocol that is not known.
    pub fn unknown_signal(&self) {
        self.unknown_signals.inc();
    }

    /// Counts a request that was placed on an endpoint which takes none, and was not sent.
    pub fn inadmissible(&self) {
        self.inadmissible.inc();
    }

    /// Notes how many requests a second an endpoint takes by its own word; none if it names no limit.
    pub fn set_endpoint_limit(&self, endpoint: &str, rate: Option<f64>) {
        let labels = EndpointLabels { endpoint: endpoint.to_owned() };
        match rate {
            Some(rate) => drop(self.endpoint_limits.get_or_create(&labels).set(rate)),
            None => drop(self.endpoint_limits.remove(&labels)),
        }
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut registry = Registry::with_prefix("ringbend");
        self.register(&mut registry);
        let mut text = String::new();
        let _ = encode(&mut text, &registry);
        text
    }

    fn register(&self, r: &mut Registry) {
        r.register("requests", "Requests ended, by outcome", self.requests.clone());
        r.register("requests_admitted", "Requests admitted", self.admitted.clone());
        r.register("failures", "Refusals and failures, by code", self.failures.clone());
        r.register_with_unit(
            "time_to_first_token",
            "From arrival to first token, by prompt length",
            Unit::Seconds,
            self.first_token.clone(),
        );
        r.register("attempts", "Attempts at endpoints", self.attempts.clone());
        r.register("retries", "Attempts after the first", self.retries.clone());
        r.register("claims", "Claims asked for", self.claims.clone());
        r.register("table_calls", "Calls to the table service", self.table_calls.clone());
        r.register_with_unit(
            "peer_sent",
            "Sent to other instances",
            Unit::Bytes,
            self.peer_bytes.clone(),
        );
        r.register("strikes", "Requests on endpoints that ended", self.strikes.clone());
        r.register("held_requests", "Held as they end endpoints", self.held_requests.clone());
        let rates = self.endpoint_limits.clone();
        r.register("endpoint_limit", "Requests a second that an endpoint takes", rates);
        let limited = self.limited_endpoints.clone();
        r.register("limited_endpoints", "Endpoints that name a limit", limited);
        let draining = self.draining_endpoints.clone();
        r.register("draining_endpoints", "Endpoints that announced that they drain", draining);
        let backoffs = self.endpoint_backoffs.clone();
        r.register("endpoint_backoffs", "Endpoints that asked this instance to back off", backoffs);
        let unknown = self.unknown_signals.clone();
        let inadmissible = self.inadmissible.clone();
        r.register("inadmissible_placements", "Placed on endpoints that take none", inadmissible);
        r.register("unknown_signals", "Unknown headers in responses of endpoints", unknown);
        r.register("settings_version", "Settings in force", self.settings_version.clone());
        r.register("open_requests", "Admitted and not ended", self.open_requests.clone());
        r.register("queued_requests", "Waiting for an endpoint", self.queued_requests.clone());
        r.register("live_instances", "Instances taken for alive", self.live_instances.clone());
    }
}
