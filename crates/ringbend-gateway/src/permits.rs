//! The places that endpoints with a limit have left, and who is next to get one.
//!
//! One instance of all data centres counts the places of a service's limited endpoints, so that their sum over all
//! instances is what the endpoint named. A place comes each time that the limit allows one more request; few are
//! kept, so that no span of time gets more than the limit allows it and those few.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use ringbend_types::{EndpointId, ServiceName, Timestamp};

use crate::directory::Endpoint;
use crate::job::Job;
use crate::load::WorkId;
use crate::pace::LIMITED_QUERY_INTERVAL;

/// The most places that an endpoint keeps while nobody takes them.
const MOST_PLACES: f64 = 1.5;

/// An endpoint that only tells in its answers to requests whether it still has a limit gets one after this time,
/// however small the limit.
const TRY_AFTER: Duration = Duration::from_secs(10);

/// The part of its aim after which a request that waits for a place is late: the rest is for being served.
const WAIT_SHARE: f64 = 0.75;

/// Places further off than this are none to wait for or to come back for.
const FURTHEST: Duration = Duration::from_secs(60);

/// How exactly the time of a place is looked for.
const STEP: Duration = Duration::from_millis(1);

#[derive(Debug, Clone)]
struct Bucket {
    service: ServiceName,
    /// Requests a second.
    rate: f64,
    places: f64,
    /// When `places` was right.
    at: Timestamp,
    /// When a place was last taken, or the first word of a limit came.
    taken: Timestamp,
}

impl Bucket {
    fn places_at(&self, at: Timestamp) -> f64 {
        let more = self.rate * at.since(self.at).as_secs_f64();
        (self.places + more).min(MOST_PLACES)
    }

    /// Those that will have come at `at` if nobody takes any meanwhile and all are kept.
    fn coming_by(&self, at: Timestamp) -> f64 {
        let more = self.rate * at.since(self.at).as_secs_f64();
        (self.places.min(MOST_PLACES) + more).max(0.0).floor()
    }
}

/// A request that waits for a place: the most urgent first, and of those the one that is late first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct PermitWaiter {
    rank: u8,
    /// When it is too late for it.
    pub due: Timestamp,
    id: WorkId,
}

impl PermitWaiter {
    /// The place in line of a request. One that is late already waits as long as its caller.
    pub fn new(now: Timestamp, id: WorkId, job: &Job) -> Self {
        let due = job.since + job.first_by.since(job.since).mul_f64(WAIT_SHARE);
        Self { rank: job.rank, due: if due > now { due } else { job.caller_timeout_at }, id }
    }
}

/// The places of endpoints with a limit, and who waits for one.
#[derive(Debug, Clone, Default)]
pub struct Permits {
    buckets: HashMap<EndpointId, Bucket>,
    lines: BTreeMap<ServiceName, BTreeSet<PermitWaiter>>,
    /// Up to when places have been promised to those who were told to come back.
    promised: BTreeMap<ServiceName, Timestamp>,
    /// The services whose places this instance counts.
    counted: BTreeSet<ServiceName>,
}

impl Permits {
    /// Notes whether this instance counts the places of a service for all. Returns whether that is news.
    ///
    /// Whoever begins to count does not know what the one before has given away, and begins with none.
    pub fn set_coordinating(&mut self, service: &ServiceName, counts: bool) -> bool {
        if !counts {
            return self.counted.remove(service);
        }
        let is_new = self.counted.insert(service.clone());
        if is_new {
            self.buckets.retain(|_, bucket| bucket.service != *service);
            self.promised.remove(service);
        }
        is_new
    }

    /// Whether an endpoint that takes `rate` requests a second has a place now. It has none when its limit is first
    /// seen: what was sent before that counts as well.
    pub fn has_permit(
        &mut self,
        now: Timestamp,
        endpoint: &Endpoint,
        rate: f64,
        tells_in_reports: bool,
    ) -> bool {
        let bucket = self.settle(now, endpoint, rate);
        let is_silent = !tells_in_reports && now.since(bucket.taken) >= TRY_AFTER;
        bucket.places >= 1.0 || is_silent
    }

    /// Takes a place of an endpoint.
    pub fn take(&mut self, now: Timestamp, endpoint: &EndpointId) {
        if let Some(bucket) = self.buckets.get_mut(endpoint) {
            bucket.places = (bucket.places_at(now) - 1.0).max(0.0);
            (bucket.at, bucket.taken) = (now, now);
        }
    }

    fn settle(&mut self, now: Timestamp, endpoint: &Endpoint, rate: f64) -> &mut Bucket {
        let new = || {
            let service = endpoint.service.clone();
            Bucket { service, rate, places: 0.0, at: now, taken: now }
        };
        let bucket = self.buckets.entry(endpoint.id.clone()).or_insert_with(new);
        bucket.places = bucket.places_at(now);
        (bucket.rate, bucket.at) = (rate, now);
        bucket
    }

    /// Forgets endpoints that have no limit any more.
    pub fn retain(&mut self, is_limited: impl Fn(&EndpointId) -> bool) {
        self.buckets.retain(|endpoint, _| is_limited(endpoint));
    }

    /// How long until so many places have come at these endpoints; none if that is too far off.
    pub fn time_until<'a>(
        &self,
        now: Timestamp,
        endpoints: impl Iterator<Item = &'a EndpointId>,
        count: usize,
    ) -> Option<Duration> {
        let buckets: Vec<&Bucket> = endpoints.filter_map(|e| self.buckets.get(e)).collect();
        let have = |after| {
            let coming = buckets.iter().map(|bucket| bucket.coming_by(now + after));
            coming.sum::<f64>() >= count as f64
        };
        if !have(FURTHEST) {
            return None;
        }
        let (mut none, mut all) = (Duration::ZERO, FURTHEST);
        while all - none > STEP {
            let middle = (none + all) / 2;
            if have(middle) { all = middle } else { none = middle }
        }
        Some(all)
    }

    /// Puts a request in line.
    pub fn enqueue(&mut self, service: &ServiceName, waiting: PermitWaiter) {
        self.lines.entry(service.clone()).or_default().insert(waiting);
    }

    /// Takes it out again.
    pub fn dequeue(&mut self, service: &ServiceName, waiting: PermitWaiter) {
        if let Some(line) = self.lines.get_mut(service) {
            line.remove(&waiting);
            if line.is_empty() {
                self.lines.remove(service);
            }
        }
    }

    /// How many go before it.
    pub fn ahead_of(&self, service: &ServiceName, waiting: &PermitWaiter) -> usize {
        self.lines.get(service).map_or(0, |line| line.range(..waiting).count())
    }

    /// Whether a request is next, or nobody waits.
    pub fn is_next(&self, service: &ServiceName, id: WorkId) -> bool {
        let first = self.lines.get(service).and_then(|line| line.first());
        first.is_none_or(|first| first.id == id)
    }

    /// How many wait for places of a service.
    pub fn queue_len(&self, service: &ServiceName) -> usize {
        self.lines.get(service).map_or(0, BTreeSet::len)
    }

    /// When a caller should come back that gets no place, `wait` being the time of the next one: each a place
    /// later than the one before, so that they do not return together. At most `within`. Where none is in sight it
    /// is when the endpoints have been asked again.
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
        let step = Duration::try_from_secs_f64(1.0 / rate).unwrap_or(FURTHEST);
        self.promised.insert(service.clone(), at + step);
        after
    }
}
