//! The retry budget that all instances share.
//!
//! In any window a service may receive a limited number of retries beyond the first send of each
//! request: a ratio of its requests plus a fixed allowance, summed over all instances. Each
//! instance applies the ratio to its own requests and takes an equal share of the allowance, so no
//! coordination between instances is needed.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ringbend_types::{ServiceName, Timestamp};

use crate::priorities::Rank;

/// The bounds of the budget over all instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetBounds {
    /// Retries allowed per request.
    pub ratio: f64,
    /// The window over which requests and retries are counted.
    pub window: Duration,
    /// Additional retries allowed per window, independent of the number of requests.
    pub allowance: f64,
}

/// The share of the ratio that an instance uses, so that windows of different instances, which are
/// not aligned, stay within it.
const RATIO_SHARE: f64 = 0.8;

/// Factor by which the known number of instances is overestimated when the allowance is divided;
/// instances may just have been added.
const UNKNOWN_INSTANCES_FACTOR: f64 = 1.35;

/// How long the largest known number of instances must be unchanged before an instance uses its
/// whole share of the allowance. After all instances were lost while the store was slow, 79
/// instances knew of no other for 2.5 s and each took the share of one in twelve: 1,012 retries
/// where 852 were allowed.
const MEMBERSHIP_SETTLE_TIME: Duration = Duration::from_secs(3);

/// The allowance of an instance before that time has passed. Operators allow at least two retries
/// per instance.
const ALLOWANCE_WHILE_SETTLING: f64 = 2.0;

/// The fraction of its share of the allowance that an instance uses in the first window after its
/// start, at least one retry. Its previous process may have used its share in the same window: 80
/// instances that were all killed during a failure used 160 retries before the restart and 160
/// after it, where 235 were allowed.
const ALLOWANCE_SHARE_AFTER_START: f64 = 0.5;

/// The minimum number of instances among which the allowance is divided.
const MIN_INSTANCES: f64 = 12.0;

#[derive(Debug, Clone, Default)]
struct Counts {
    requests: VecDeque<Timestamp>,
    retries: VecDeque<Timestamp>,
}

/// This instance's share of the budget.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    bounds: RetryBudgetBounds,
    instances: usize,
    /// When the number of instances was first set, which is about the start of the instance.
    started: Option<Timestamp>,
    /// The largest number of instances seen so far, and when it was first seen.
    peak: Option<(usize, Timestamp)>,
    services: BTreeMap<ServiceName, Counts>,
}

impl RetryBudget {
    /// Creates a budget with these bounds.
    pub fn new(bounds: RetryBudgetBounds) -> Self {
        Self { bounds, instances: 0, started: None, peak: None, services: BTreeMap::new() }
    }

    /// Replaces the bounds and keeps the counts.
    pub fn set_bounds(&mut self, bounds: RetryBudgetBounds) {
        self.bounds = bounds;
    }

    /// Sets the number of known instances at `now`, this one included.
    pub fn set_instances(&mut self, now: Timestamp, instances: usize) {
        self.instances = instances;
        self.started.get_or_insert(now);
        if self.peak.is_none_or(|(peak, _)| instances > peak) {
            self.peak = Some((instances, now));
        }
    }

    /// Counts a request of a caller for `service`.
    pub fn record_request(&mut self, now: Timestamp, service: &ServiceName) {
        let window = self.bounds.window;
        let counts = self.counts(service);
        counts.requests.push_back(now);
        drop_expired(&mut counts.requests, now, window);
    }

    /// Takes one retry for a request of `service`, if the budget permits it. When little is left,
    /// it is kept for requests of higher ranks.
    pub fn take(&mut self, now: Timestamp, service: &ServiceName, rank: Rank) -> bool {
        let allowance = self.allowance_share(now);
        self.take_within(now, service, rank, allowance)
    }

    /// Takes one retry for a hedged run, from the ratio only. The allowance is reserved for
    /// requests that have failed. The ratio is proportional to the instance's own requests, so
    /// hedging stays within the budget even if all instances have just restarted.
    pub fn take_for_hedge(&mut self, now: Timestamp, service: &ServiceName, rank: Rank) -> bool {
        self.take_within(now, service, rank, 0.0)
    }

    /// Takes one retry if the ratio plus this share of the allowance has room for the rank. One
    /// retry per window is available to each rank: a budget that small is not divided.
    fn take_within(
        &mut self,
        now: Timestamp,
        service: &ServiceName,
        rank: Rank,
        allowance: f64,
    ) -> bool {
        let RetryBudgetBounds { ratio, window, .. } = self.bounds;
        let counts = self.counts(service);
        drop_expired(&mut counts.requests, now, window);
        drop_expired(&mut counts.retries, now, window);
        let max_retries = counts.requests.len() as f64 * ratio * RATIO_SHARE + allowance;
        let max_of_rank = (max_retries * rank.budget_share()).max(max_retries.min(1.0));
        if counts.retries.len() as f64 + 1.0 > max_of_rank {
            return false;
        }
        counts.retries.push_back(now);
        true
    }

    fn allowance_share(&self, now: Timestamp) -> f64 {
        let instances = (self.instances as f64 * UNKNOWN_INSTANCES_FACTOR).max(MIN_INSTANCES);
        let part = (self.bounds.allowance / instances).floor();
        let is_settling =
            self.peak.is_none_or(|(_, since)| now.since(since) < MEMBERSHIP_SETTLE_TIME);
        let is_new = self.started.is_none_or(|at| now.since(at) < self.bounds.window);
        let part =
            if is_new { (part * ALLOWANCE_SHARE_AFTER_START).floor().max(1.0) } else { part };
        if is_settling { part.min(ALLOWANCE_WHILE_SETTLING) } else { part }
    }

    fn counts(&mut self, service: &ServiceName) -> &mut Counts {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Counts::default());
        }
        self.services.get_mut(service).expect("inserted above")
    }
}

fn drop_expired(times: &mut VecDeque<Timestamp>, now: Timestamp, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
