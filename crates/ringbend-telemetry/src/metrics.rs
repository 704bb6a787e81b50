//! Metrics of one instance. Names contain the unit.

use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use prometheus_client::encoding::{EncodeLabelValue, text::encode};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};
use ringbend_types::PromptBucket;

use crate::metric_labels::{
    BucketLabels, CodeLabels, EndpointLabels, OutcomeLabels, PriorityLabels,
};

/// The outcome of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Outcome {
    /// The complete answer was delivered.
    Answered,
    /// The request was admitted and failed.
    Failed,
    /// The request was not admitted and not run.
    Rejected,
    /// The caller disconnected before the end.
    CallerGone,
}

/// The metrics of one instance. Cheap to clone; all clones share the same counters.
#[derive(Clone)]
pub struct Metrics {
    requests: Family<OutcomeLabels, Counter>,
    admitted: Counter,
    failures: Family<CodeLabels, Counter>,
    first_token: Family<BucketLabels, Histogram>,
    attempts: Counter,
    connect_failures: Family<CodeLabels, Counter>,
    tunnels: Counter,
    /// Connections to endpoints that this instance carries for others.
    pub open_tunnels: Gauge,
    /// Endpoints that only other instances reach.
    pub unreachable_endpoints: Gauge,
    retries: Counter,
    claims: Counter,
    table_calls: Counter,
    peer_bytes: Counter,
    strikes: Counter,
    unknown_signals: Counter,
    inadmissible: Counter,
    store_timeouts: Counter,
    store_pages: Counter,
    lists_ended_early: Family<CodeLabels, Counter>,
    request_panics: Counter,
    endpoint_limits: Family<EndpointLabels, Gauge<f64, AtomicU64>>,
    overload_queue: Family<PriorityLabels, Gauge>,
    overload_rejections: Family<PriorityLabels, Counter>,
    overload_wait: Histogram,
    /// Services for which this instance plans and that are overloaded.
    pub overloaded_services: Gauge,
    /// Requests that are held because they end endpoints.
    pub held_requests: Gauge,
    /// Parts of prompts whose requests are held because they end endpoints.
    pub held_parts: Gauge,
    /// Endpoints that announce a rate limit.
    pub limited_endpoints: Gauge,
    /// Endpoints that have announced that they are draining.
    pub draining_endpoints: Gauge,
    /// Endpoints that have asked this instance to back off.
    pub endpoint_backoffs: Gauge,
    /// Bytes of request and response bodies that are held.
    pub buffered_bytes: Gauge,
    /// Open connections of callers.
    pub caller_connections: Gauge,
    connections_closed: Family<CodeLabels, Counter>,
    /// Endpoints that are cold.
    pub cold_endpoints: Gauge,
    /// Data centres that the operator evacuates.
    pub evacuated_data_centres: Gauge,
    /// The time since the copy of the settings was last proved current, in seconds.
    pub settings_age: Gauge<f64, AtomicU64>,
    /// The time since the list of endpoints was last proved current, in seconds.
    pub endpoints_age: Gauge<f64, AtomicU64>,
    /// 1 while this instance reads the watched tables from the store, else 0.
    pub reads_store: Gauge,
    /// The settings version in force.
    pub settings_version: Gauge,
    /// Admitted requests that have not ended yet.
    pub open_requests: Gauge,
    /// Requests that are waiting for an endpoint.
    pub queued_requests: Gauge,
    /// Instances considered alive, including this one.
    pub live_instances: Gauge,
    /// Registry rows when this instance last read them.
    pub registered_instances: Gauge,
    /// Registry rows of instances that are silent.
    pub unheard_instances: Gauge,
    /// Known data centres in which a scheduler knows no live instance.
    pub unheard_data_centres: Gauge,
    start_engines_asked: Gauge,
    start_engines_answered: Gauge,
    start_requests_found: Gauge,
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
            connect_failures: Family::default(),
            tunnels: Counter::default(),
            open_tunnels: Gauge::default(),
            unreachable_endpoints: Gauge::default(),
            retries: Counter::default(),
            claims: Counter::default(),
            table_calls: Counter::default(),
            peer_bytes: Counter::default(),
            strikes: Counter::default(),
            unknown_signals: Counter::default(),
            inadmissible: Counter::default(),
            store_timeouts: Counter::default(),
            store_pages: Counter::default(),
            lists_ended_early: Family::default(),
            request_panics: Counter::default(),
            endpoint_limits: Family::default(),
            overload_queue: Family::default(),
            overload_rejections: Family::default(),
            overload_wait: histogram(),
            overloaded_services: Gauge::default(),
            held_requests: Gauge::default(),
            held_parts: Gauge::default(),
            limited_endpoints: Gauge::default(),
            draining_endpoints: Gauge::default(),
            endpoint_backoffs: Gauge::default(),
            buffered_bytes: Gauge::default(),
            caller_connections: Gauge::default(),
            connections_closed: Family::default(),
            cold_endpoints: Gauge::default(),
            evacuated_data_centres: Gauge::default(),
            settings_age: Gauge::default(),
            endpoints_age: Gauge::default(),
            reads_store: Gauge::default(),
            settings_version: Gauge::default(),
            open_requests: Gauge::default(),
            queued_requests: Gauge::default(),
            live_instances: Gauge::default(),
            registered_instances: Gauge::default(),
            unheard_instances: Gauge::default(),
            unheard_data_centres: Gauge::default(),
            start_engines_asked: Gauge::default(),
            start_engines_answered: Gauge::default(),
            start_requests_found: Gauge::default(),
        }
    }
}

impl Metrics {
    /// Counts an admitted request.
    pub fn admitted(&self) {
        self.admitted.inc();
    }

    /// The number of requests admitted since the start.
    pub fn admitted_total(&self) -> u64 {
        self.admitted.get()
    }

    /// Counts the end of a request.
    pub fn ended(&self, outcome: Outcome) {
        self.requests.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// The number of requests since the start that ended with this outcome.
    pub fn ended_total(&self, outcome: Outcome) -> u64 {
        self.requests.get_or_create(&OutcomeLabels { outcome }).get()
    }

    /// Counts a rejection or failure by its error code.
    pub fn failure(&self, code: &'static str) {
        self.failures.get_or_create(&CodeLabels { code }).inc();
    }

    /// Records the time from arrival to the first token.
    pub fn first_token(&self, bucket: PromptBucket, time: Duration) {
        let labels = BucketLabels { prompt: bucket.label() };
        self.first_token.get_or_create(&labels).observe(time.as_secs_f64());
    }

    /// Counts an attempt at an endpoint; `number` is one for the first attempt of a request.
    pub fn attempt(&self, number: u32) {
        self.attempts.inc();
        if number > 1 {
            self.retries.inc();
        }
    }

    /// Counts a failed connect to an endpoint.
    pub fn connect_failure(&self, code: &'static str) {
        self.connect_failures.get_or_create(&CodeLabels { code }).inc();
    }

    /// Sets how many callers' connections were closed or refused for lack of room, by code.
    pub fn set_connections_closed(&self, code: &'static str, count: u64) {
        let closed = self.connections_closed.get_or_create(&CodeLabels { code });
        closed.inner().store(count, Ordering::Relaxed);
    }

    /// Counts a connection to an endpoint that is carried for another instance.
    pub fn tunnel_carried(&self) {
        self.tunnels.inc();
    }

    /// Counts a requested claim.
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

    /// Counts an endpoint that ended while it was running a request.
    pub fn strike(&self) {
        self.strikes.inc();
    }

    /// Counts an unknown response header of the endpoint protocol.
    pub fn unknown_signal(&self) {
        self.unknown_signals.inc();
    }

    /// Counts a read of a watched table that the store did not answer in time.
    pub fn store_timed_out(&self) {
        self.store_timeouts.inc();
    }

    /// Counts a page of a table that was read from the store.
    pub fn store_page_read(&self) {
        self.store_pages.inc();
    }

    /// Counts a list of a table of the store that was not read to its end, by the reason.
    pub fn list_ended_early(&self, code: &'static str) {
        self.lists_ended_early.get_or_create(&CodeLabels { code }).inc();
    }

    /// Counts a request that was not sent, because the endpoint it was placed on does not accept requests.
    pub fn inadmissible(&self) {
        self.inadmissible.inc();
    }

    /// Counts a request whose task panicked.
    pub fn request_panicked(&self) {
        self.request_panics.inc();
    }

    /// Sets the result of the survey of engines after the start of this instance.
    pub fn set_start_survey(&self, asked: usize, answered: usize, requests: usize) {
        let count = |n: usize| i64::try_from(n).unwrap_or(i64::MAX);
        self.start_engines_asked.set(count(asked));
        self.start_engines_answered.set(count(answered));
        self.start_requests_found.set(count(requests));
    }

    /// Sets the rate limit that an endpoint announced, in requests per second, or removes it.
    pub fn set_endpoint_limit(&self, endpoint: &str, rate: Option<f64>) {
        let labels = EndpointLabels { endpoint: endpoint.to_owned() };
        match rate {
            Some(rate) => drop(self.endpoint_limits.get_or_create(&labels).set(rate)),
            None => drop(self.endpoint_limits.remove(&labels)),
        }
    }

    /// Sets the number of short prompts that wait for engines here, by priority.
    pub fn set_overload_queue(&self, waiting: impl IntoIterator<Item = (u8, usize)>) {
        self.overload_queue.clear();
        for (priority, count) in waiting {
            let labels = PriorityLabels { priority: priority.into() };
            self.overload_queue.get_or_create(&labels).set(count as i64);
        }
    }

    /// Records how long a short prompt waited for an engine.
    pub fn overload_wait(&self, time: Duration) {
        self.overload_wait.observe(time.as_secs_f64());
    }

    /// Counts a short prompt that was rejected because engines are overloaded.
    pub fn overload_rejected(&self, priority: u8) {
        self.overload_rejections.get_or_create(&PriorityLabels { priority: priority.into() }).inc();
    }

    /// Renders all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut registry = Registry::with_prefix("ringbend");
        self.register(&mut registry);
        let mut text = String::new();
        let _ = encode(&mut text, &registry);
        text
    }

    fn register(&self, r: &mut Registry) {
        r.register("requests", "Ended requests, by outcome", self.requests.clone());
        r.register("requests_admitted", "Admitted requests", self.admitted.clone());
        r.register("failures", "Rejections and failures, by code", self.failures.clone());
        r.register_with_unit(
            "time_to_first_token",
            "Time from arrival to first token, by prompt length",
            Unit::Seconds,
            self.first_token.clone(),
        );
        r.register("attempts", "Attempts at endpoints", self.attempts.clone());
        let failures = self.connect_failures.clone();
        r.register("connect_failures", "Failed connects to endpoints, by code", failures);
        let unreachable = self.unreachable_endpoints.clone();
        r.register(
            "unreachable_endpoints",
            "Endpoints that only other instances reach",
            unreachable,
        );
        r.register("tunnels", "Connections carried for other instances", self.tunnels.clone());
        let tunnels = self.open_tunnels.clone();
        r.register("open_tunnels", "Open connections carried for other instances", tunnels);
        r.register("retries", "Attempts after the first", self.retries.clone());
        r.register("claims", "Requested claims", self.claims.clone());
        r.register("table_calls", "Calls to the table service", self.table_calls.clone());
        r.register_with_unit(
            "peer_sent",
            "Bytes sent to other instances",
            Unit::Bytes,
            self.peer_bytes.clone(),
        );
        r.register(
            "strikes",
            "Ends of endpoints counted against requests and prompt parts",
            self.strikes.clone(),
        );
        r.register(
            "held_requests",
            "Requests held because they end endpoints",
            self.held_requests.clone(),
        );
        r.register(
            "held_parts",
            "Prompt parts whose requests are held because they end endpoints",
            self.held_parts.clone(),
        );
        let rates = self.endpoint_limits.clone();
        r.register("endpoint_limit", "Rate limit of an endpoint, in requests per second", rates);
        let waiting = self.overload_queue.clone();
        r.register("overload_queue", "Short prompts waiting for engines, by priority", waiting);
        r.register(
            "overload_rejections",
            "Short prompts rejected because engines are overloaded, by priority",
            self.overload_rejections.clone(),
        );
        r.register_with_unit(
            "overload_wait",
            "Time that short prompts waited for engines",
            Unit::Seconds,
            self.overload_wait.clone(),
        );
        let overloaded = self.overloaded_services.clone();
        r.register("overloaded_services", "Services planned here that are overloaded", overloaded);
        let limited = self.limited_endpoints.clone();
        r.register("limited_endpoints", "Endpoints that announce a rate limit", limited);
        let draining = self.draining_endpoints.clone();
        r.register("draining_endpoints", "Endpoints that have announced a drain", draining);
        r.register("buffered_bytes", "Bytes of bodies that are held", self.buffered_bytes.clone());
        let connections = self.caller_connections.clone();
        r.register("caller_connections", "Open connections of callers", connections);
        r.register(
            "connections_closed",
            "Callers' connections that were closed or refused for lack of room, by code",
            self.connections_closed.clone(),
        );
        r.register("cold_endpoints", "Endpoints that are cold", self.cold_endpoints.clone());
        let evacuated = self.evacuated_data_centres.clone();
        r.register(
            "evacuated_data_centres",
            "Data centres whose endpoints the operator evacuates",
            evacuated,
        );
        let backoffs = self.endpoint_backoffs.clone();
        r.register("endpoint_backoffs", "Endpoints that asked this instance to back off", backoffs);
        let store_timeouts = self.store_timeouts.clone();
        r.register(
            "store_timeouts",
            "Reads of the watched tables that the store did not answer in time",
            store_timeouts,
        );
        r.register("store_pages", "Pages of tables read from the store", self.store_pages.clone());
        r.register(
            "lists_ended_early",
            "Lists of tables of the store that were not read to their end, by code",
            self.lists_ended_early.clone(),
        );
        let unknown = self.unknown_signals.clone();
        let inadmissible = self.inadmissible.clone();
        r.register(
            "inadmissible_placements",
            "Requests placed on endpoints that do not accept any",
            inadmissible,
        );
        let panics = self.request_panics.clone();
        r.register(
            "request_panics",
            "Requests whose task panicked, a fault of this program",
            panics,
        );
        r.register("unknown_signals", "Unknown headers in endpoint responses", unknown);
        r.register_with_unit(
            "settings_age",
            "Time since the copy of the settings was last proved current",
            Unit::Seconds,
            self.settings_age.clone(),
        );
        r.register_with_unit(
            "endpoints_age",
            "Time since the list of endpoints was last proved current",
            Unit::Seconds,
            self.endpoints_age.clone(),
        );
        r.register(
            "reads_store",
            "Whether this instance reads the watched tables from the store",
            self.reads_store.clone(),
        );
        r.register(
            "settings_version",
            "Version of the settings in force",
            self.settings_version.clone(),
        );
        r.register(
            "open_requests",
            "Admitted requests that have not ended",
            self.open_requests.clone(),
        );
        r.register(
            "queued_requests",
            "Requests waiting for an endpoint",
            self.queued_requests.clone(),
        );
        r.register("live_instances", "Instances considered alive", self.live_instances.clone());
        r.register(
            "registered_instances",
            "Registry rows when this instance last read them",
            self.registered_instances.clone(),
        );
        r.register(
            "unheard_instances",
            "Registry rows of instances that are not heard",
            self.unheard_instances.clone(),
        );
        r.register(
            "unheard_data_centres",
            "Known data centres from which a scheduler hears nobody",
            self.unheard_data_centres.clone(),
        );
        self.register_start_survey(r);
    }

    fn register_start_survey(&self, r: &mut Registry) {
        let asked = self.start_engines_asked.clone();
        r.register("start_engines_asked", "Engines asked for their load after the start", asked);
        let answered = self.start_engines_answered.clone();
        r.register("start_engines_answered", "Engines that answered after the start", answered);
        let found = self.start_requests_found.clone();
        r.register("start_requests_found", "Unknown requests on engines after the start", found);
    }
}
