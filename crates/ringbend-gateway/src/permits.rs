//! Permits of rate-limited endpoints, and the queue of requests that wait for one.
//!
//! One instance of all data centres grants the permits of a service's rate-limited endpoints, so
//! that the requests of all instances together stay within the limit that the endpoint named. A
//! token bucket gains a permit each time the limit allows one more request. Its capacity is small,
//! so that any period exceeds the limit by at most that capacity.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use ringbend_types::{EndpointId, ServiceName, Timestamp};

use crate::directory::Endpoint;
use crate::job::Job;
use crate::load::WorkId;
use crate::pace::LIMITED_QUERY_INTERVAL;

/// The capacity of an endpoint's bucket.
const BUCKET_CAPACITY: f64 = 1.5;

/// An endpoint that reports its limit only in responses to requests gets a request after this time,
/// however small the limit, to find out whether the limit still applies.
const PROBE_INTERVAL: Duration = Duration::from_secs(10);

/// The share of its target latency after which a request that waits for a permit is late; the rest
/// is needed to serve it.
const WAIT_SHARE: f64 = 0.75;

/// Permits further in the future than this are neither waited for nor promised.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Precision with which the time of a permit is computed.
const PRECISION: Duration = Duration::from_millis(1);

#[derive(Debug, Clone)]
struct Bucket {
    service: ServiceName,
    /// Requests per second.
    rate: f64,
    permits: f64,
    /// When `permits` was last updated.
    at: Timestamp,
    /// When a permit was last taken, or when the limit was first observed.
    last_taken: Timestamp,
}

impl Bucket {
    fn permits_at(&self, at: Timestamp) -> f64 {
        let more = self.rate * at.since(self.at).as_secs_f64();
        (self.permits + more).min(BUCKET_CAPACITY)
    }

    /// The permits that will have been granted by `at`, if none is taken meanwhile and all are
    /// kept.
    fn granted_by(&self, at: Timestamp) -> f64 {
        let more = self.rate * at.since(self.at).as_secs_f64();
        (self.permits.min(BUCKET_CAPACITY) + more).max(0.0).floor()
    }
}

/// A request that waits for a permit. Ordered by priority, then by the time at which it is late.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PermitWaiter {
    priority: u8,
    /// The latest time at which a permit is useful to it.
    pub due: Timestamp,
    id: WorkId,
}

impl PermitWaiter {
    /// Creates the queue entry of a request. A request that is already late waits until its caller
    /// disconnects.
    pub fn new(now: Timestamp, id: WorkId, job: &Job) -> Self {
        let due = job.since + job.first_by.since(job.since).mul_f64(WAIT_SHARE);
        Self {
            priority: job.priority,
            due: if due > now { due } else { job.caller_timeout_at },
            id,
        }
    }
}

/// The permits of rate-limited endpoints, and the requests that wait for one.
#[derive(Debug, Clone, Default)]
pub struct Permits {
    buckets: HashMap<EndpointId, Bucket>,
    queues: BTreeMap<ServiceName, BTreeSet<PermitWaiter>>,
    /// Until when permits have been promised to callers that were told to retry later.
    promised: BTreeMap<ServiceName, Timestamp>,
    /// The services whose permits this instance grants.
    coordinated: BTreeSet<ServiceName>,
}

impl Permits {
    /// Sets whether this instance grants the permits of a service for all. Returns whether that has
    /// changed.
    ///
    /// A new coordinator does not know how many permits the previous one has granted, and starts
    /// with none.
    pub fn set_coordinating(&mut self, service: &ServiceName, coordinates: bool) -> bool {
        if !coordinates {
            return self.coordinated.remove(service);
        }
        let is_new = self.coordinated.insert(service.clone());
        if is_new {
            self.buckets.retain(|_, bucket| bucket.service != *service);
            self.promised.remove(service);
        }
        is_new
    }

    /// Whether an endpoint that takes `rate` requests per second has a permit now. It has none when
    /// its limit is first observed, because earlier requests count as well.
    pub fn has_permit(
        &mut self,
        now: Timestamp,
        endpoint: &Endpoint,
        rate: f64,
        reports_limit: bool,
    ) -> bool {
        let bucket = self.refill(now, endpoint, rate);
        let is_probe_due = !reports_limit && now.since(bucket.last_taken) >= PROBE_INTERVAL;
        bucket.permits >= 1.0 || is_probe_due
    }

    /// Takes a permit of an endpoint.
    pub fn take(&mut self, now: Timestamp, endpoint: &EndpointId) {
        if let Some(bucket) = self.buckets.get_mut(endpoint) {
            bucket.permits = (bucket.permits_at(now) - 1.0).max(0.0);
            (bucket.at, bucket.last_taken) = (now, now);
        }
    }

    fn refill(&mut self, now: Timestamp, endpoint: &Endpoint, rate: f64) -> &mut Bucket {
        let new = || {
            let service = endpoint.service.clone();
            Bucket { service, rate, permits: 0.0, at: now, last_taken: now }
        };
        let bucket = self.buckets.entry(endpoint.id.clone()).or_insert_with(new);
        bucket.permits = bucket.permits_at(now);
        (bucket.rate, bucket.at) = (rate, now);
        bucket
    }

    /// Drops endpoints that have no limit any more.
    pub fn retain(&mut self, is_limited: impl Fn(&EndpointId) -> bool) {
        self.buckets.retain(|endpoint, _| is_limited(endpoint));
    }

    /// The time until this many permits have been granted at these endpoints; `None` if that is too
    /// far in the future.
    pub fn time_until<'a>(
        &self,
        now: Timestamp,
        endpoints: impl Iterator<Item = &'a EndpointId>,
        count: usize,
    ) -> Option<Duration> {
        let buckets: Vec<&Bucket> = endpoints.filter_map(|e| self.buckets.get(e)).collect();
        let are_granted = |after| {
            let coming = buckets.iter().map(|bucket| bucket.granted_by(now + after));
            coming.sum::<f64>() >= count as f64
        };
        if !are_granted(MAX_WAIT) {
            return None;
        }
        let (mut too_short, mut sufficient) = (Duration::ZERO, MAX_WAIT);
        while sufficient - too_short > PRECISION {
            let middle = (too_short + sufficient) / 2;
            if are_granted(middle) { sufficient = middle } else { too_short = middle }
        }
        Some(sufficient)
    }

    /// Adds a request to the queue.
    pub fn enqueue(&mut self, service: &ServiceName, waiting: PermitWaiter) {
        self.queues.entry(service.clone()).or_default().insert(waiting);
    }

    /// Removes a request from the queue.
    pub fn dequeue(&mut self, service: &ServiceName, waiting: PermitWaiter) {
        if let Some(queue) = self.queues.get_mut(service) {
            queue.remove(&waiting);
            if queue.is_empty() {
                self.queues.remove(service);
            }
        }
    }

    /// The number of requests before this one in the queue.
    pub fn ahead_of(&self, service: &ServiceName, waiting: &PermitWaiter) -> usize {
        self.queues.get(service).map_or(0, |queue| queue.range(..waiting).count())
    }

    /// Whether the request is first in the queue, or the queue is empty.
    pub fn is_next(&self, service: &ServiceName, id: WorkId) -> bool {
        let first = self.queues.get(service).and_then(|queue| queue.first());
        first.is_none_or(|first| first.id == id)
    }

    /// The number of requests that wait for permits of a service.
    pub fn queue_len(&self, service: &ServiceName) -> usize {
        self.queues.get(service).map_or(0, BTreeSet::len)
    }

    /// The delay after which a caller without a permit should retry, with `wait` being the time
    /// until the next permit. Each caller is told one permit later than the previous one, so that
    /// they do not return together; `within` is the maximum. Without a known next permit it is the
    /// time until the endpoints have been queried again.
    pub fn retry_after(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        wait: Option<Duration>,
        rate: f64,
        within: Duration,
    ) -> Duration {
        let Some(wait) = wait.filter(|_| rate > 0.0) else {
            return within.min(LIMITED_QUERY_INTERVAL);
        };
        let next = now + wait;
        let at = self.promised.get(service).map_or(next, |promised| next.max(*promised));
        let after = at.since(now);
        if after > within {
            return within;
        }
        let step = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(MAX_WAIT);
        self.promised.insert(service.clone(), at + step);
        after
    }
}
