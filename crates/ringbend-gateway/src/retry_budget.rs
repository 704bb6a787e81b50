//! The budget of repeats that all instances share.
//!
//! In any window a service may get a number of arrivals beyond the first of each request: a ratio of
//! its requests plus a fixed allowance, over all instances together. Each instance keeps to the
//! ratio of its own requests and to an even part of the allowance, so nobody has to be asked.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ringbend_types::{ServiceName, Timestamp};

/// The bounds of the budget over all instances.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudgetBounds {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// The window over which both are counted.
    pub window: Duration,
    /// Repeats allowed besides.
    pub allowance: f64,
}

/// The part of the ratio that an instance spends, so that windows that do not line up stay within it.
const RATIO_SHARE: f64 = 0.8;

/// How many more instances than are known share the allowance; some may just have been added.
const UNKNOWN_INSTANCES: f64 = 1.35;

/// How long an instance has not heard of more others than ever before until it spends its whole part of
/// the allowance. After a loss of all while the store was slow, 79 instances knew of no other for 2.5 s,
/// and each took the part of one among twelve: 1,012 repeats where 852 were allowed.
const COUNT_TIME: Duration = Duration::from_secs(3);

/// What an instance spends of the allowance before: operators allow at least two repeats an instance.
const PART_WHILE_COUNTING: f64 = 2.0;

/// The share of its part of the allowance that an instance spends in the first window after its start, one
/// repeat at least. Its former process may have spent its part in the same window: where all instances are
/// killed in the midst of trouble, 80 of them spent 160 before and 160 after, of 235.
const SHARE_AFTER_START: f64 = 0.5;

/// The fewest instances that are taken to share the allowance.
const FEWEST_INSTANCES: f64 = 12.0;

#[derive(Debug, Clone, Default)]
struct Counts {
    requests: VecDeque<Timestamp>,
    repeats: VecDeque<Timestamp>,
}

/// One instance's part of the budget.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    bounds: RetryBudgetBounds,
    instances: usize,
    /// When it was first told of others: about when the instance started.
    started: Option<Timestamp>,
    /// The most instances that were known, and since when.
    most: Option<(usize, Timestamp)>,
    services: BTreeMap<ServiceName, Counts>,
}

impl RetryBudget {
    /// A budget within `bounds`.
    pub fn new(bounds: RetryBudgetBounds) -> Self {
        Self { bounds, instances: 0, started: None, most: None, services: BTreeMap::new() }
    }

    /// Puts new bounds in force; what was counted stays.
    pub fn set_bounds(&mut self, bounds: RetryBudgetBounds) {
        self.bounds = bounds;
    }

    /// Sets how many instances are known to share it at `now`, this one included.
    pub fn set_instances(&mut self, now: Timestamp, instances: usize) {
        self.instances = instances;
        self.started.get_or_insert(now);
        if self.most.is_none_or(|(most, _)| instances > most) {
            self.most = Some((instances, now));
        }
    }

    /// Counts a caller's request for `service`.
    pub fn record_request(&mut self, now: Timestamp, service: &ServiceName) {
        let window = self.bounds.window;
        let counts = self.counts(service);
        counts.requests.push_back(now);
        forget(&mut counts.requests, now, window);
    }

    /// Takes one repeat for `service` out of the budget, if there is one.
    pub fn take(&mut self, now: Timestamp, service: &ServiceName) -> bool {
        let part = self.allowance_part(now);
        self.take_beside(now, service, part)
    }

    /// Takes one repeat that is not needed, but may help: none out of the allowance, which is for requests
    /// that have failed. What is taken by the ratio is in proportion to an instance's own requests, so it
    /// stays within the budget also where all instances have just started again.
    pub fn take_for_hedge(&mut self, now: Timestamp, service: &ServiceName) -> bool {
        self.take_beside(now, service, 0.0)
    }

    /// Takes one repeat, if the ratio and this `part` of the allowance have room.
    fn take_beside(&mut self, now: Timestamp, service: &ServiceName, part: f64) -> bool {
        let RetryBudgetBounds { ratio, window, .. } = self.bounds;
        let counts = self.counts(service);
        forget(&mut counts.requests, now, window);
        forget(&mut counts.repeats, now, window);
        let most = counts.requests.len() as f64 * ratio * RATIO_SHARE + part;
        if counts.repeats.len() as f64 + 1.0 > most {
            return false;
        }
        counts.repeats.push_back(now);
        true
    }

    fn allowance_part(&self, now: Timestamp) -> f64 {
        let instances = (self.instances as f64 * UNKNOWN_INSTANCES).max(FEWEST_INSTANCES);
        let part = (self.bounds.allowance / instances).floor();
        let counts = self.most.is_none_or(|(_, since)| now.since(since) < COUNT_TIME);
        let is_new = self.started.is_none_or(|at| now.since(at) < self.bounds.window);
        let part = if is_new { (part * SHARE_AFTER_START).floor().max(1.0) } else { part };
        if counts { part.min(PART_WHILE_COUNTING) } else { part }
    }

    fn counts(&mut self, service: &ServiceName) -> &mut Counts {
        if !self.services.contains_key(service) {
            self.services.insert(service.clone(), Counts::default());
        }
        self.services.get_mut(service).expect("inserted above")
    }
}

fn forget(times: &mut VecDeque<Timestamp>, now: Timestamp, window: Duration) {
    while times.front().is_some_and(|at| now.since(*at) > window) {
        times.pop_front();
    }
}
