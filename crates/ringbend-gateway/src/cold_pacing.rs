//! Paces requests to cold endpoints, such as those that have just started.
//!
//! A cold endpoint fails if it gets too many requests in a second from all instances together. Each
//! scheduler may place an even share of what it takes. The shares need no messages, so they hold
//! also while instances cannot reach each other.

use std::collections::HashMap;
use std::time::Duration;

use ringbend_types::{EndpointId, Timestamp};

/// The number of requests that a scheduler may have saved up for an endpoint.
const BUCKET_CAPACITY: f64 = 1.0;

/// The part of the hard limit that is planned for. Requests that are placed in one second may
/// arrive in a shorter time.
const USABLE_BURST: f64 = 0.9;

/// Precision with which tokens are counted.
const PRECISION: f64 = 1e-6;

/// How cold endpoints of a service behave.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdProfile {
    /// How long an endpoint is cold after it has started.
    pub start: Duration,
    /// The requests per second that a cold endpoint takes from all instances together.
    pub rate: f64,
}

/// How far the rate of a cold endpoint may be exceeded within one second before it fails.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdTolerance {
    /// Multiple of the rate.
    pub factor: f64,
    /// Requests beyond that multiple.
    pub slack: f64,
}

impl ColdProfile {
    /// The rate at which each of `schedulers` may place requests on a cold endpoint. Each may have
    /// saved up one more.
    pub fn share(&self, tolerance: ColdTolerance, schedulers: usize) -> f64 {
        let schedulers = schedulers.max(1) as f64;
        let burst = (self.rate * tolerance.factor + tolerance.slack) * USABLE_BURST;
        (burst - schedulers * BUCKET_CAPACITY).clamp(0.0, self.rate) / schedulers
    }
}

#[derive(Debug, Clone, Copy)]
struct Bucket {
    tokens: f64,
    at: Timestamp,
}

/// The requests that one scheduler may place on cold endpoints.
#[derive(Debug, Clone, Default)]
pub struct ColdPacing {
    buckets: HashMap<EndpointId, Bucket>,
}

impl ColdPacing {
    /// Whether a request may be placed on a cold endpoint now, at this rate.
    pub fn has_room(&mut self, now: Timestamp, endpoint: &EndpointId, rate: f64) -> bool {
        if rate <= 0.0 {
            return false;
        }
        let full = Bucket { tokens: BUCKET_CAPACITY, at: now };
        let bucket = self.buckets.entry(endpoint.clone()).or_insert(full);
        let gained = rate * now.since(bucket.at).as_secs_f64();
        bucket.tokens = (bucket.tokens + gained).min(BUCKET_CAPACITY);
        bucket.at = now;
        bucket.tokens >= 1.0 - PRECISION
    }

    /// Records that a request was placed on a cold endpoint.
    pub fn record_placed(&mut self, endpoint: &EndpointId) {
        if let Some(bucket) = self.buckets.get_mut(endpoint) {
            bucket.tokens -= 1.0;
        }
    }

    /// Drops the state of endpoints that are no longer cold.
    pub fn retain(&mut self, is_cold: impl Fn(&EndpointId) -> bool) {
        self.buckets.retain(|endpoint, _| is_cold(endpoint));
    }
}
