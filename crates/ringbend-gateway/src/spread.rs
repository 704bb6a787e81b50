//! Orders of engines for requests of an instance that knows of no other.
//!
//! Such an instance does not know what others place, so each of its requests prefers other engines.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

use ringbend_types::{DataCentre, EndpointId};

use crate::directory::Endpoint;

/// The steps of a two-dimensional additive recurrence with low discrepancy: powers of the inverse of
/// the real root of `x^3 = x + 1`. Sums of multiples of both are evenly distributed between zero
/// and one, whichever of the two numbers grows.
const INSTANCE_STEP: f64 = 0.754_877_666_246_692_7;

/// See [`INSTANCE_STEP`].
const REQUEST_STEP: f64 = 0.569_840_290_998_053_2;

/// The order in which one request prefers engines that are otherwise equal.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum SpreadOrder {
    /// A pseudo-random order that depends on this number.
    Random(u64),
    /// By distance from this place, from zero to one, on a ring of the engines of a data centre.
    Place(f64),
}

/// The places of one instance's requests on the ring of engines.
///
/// Instances do not communicate, but their names are often numbered: the places of the n-th requests
/// of instances with consecutive numbers are evenly distributed, and so are those of consecutive
/// requests of one instance. With unrelated names, the places of different instances are
/// independent.
#[derive(Debug, Clone, Copy)]
pub struct SpreadSequence {
    offset: f64,
    requests: u32,
}

impl SpreadSequence {
    /// Creates the sequence of the instance with this name.
    pub fn new(instance: &str) -> Self {
        let prefix = instance.trim_end_matches(|c: char| c.is_ascii_digit());
        let number = instance[prefix.len()..].parse::<u32>().unwrap_or_default();
        let mut hasher = DefaultHasher::new();
        prefix.hash(&mut hasher);
        let of_prefix = (hasher.finish() >> 32) as f64 / f64::from(u32::MAX);
        let offset = (of_prefix + f64::from(number) * INSTANCE_STEP).fract();
        Self { offset, requests: 0 }
    }

    /// The place of the next request.
    pub fn next_order(&mut self) -> SpreadOrder {
        let place = (self.offset + f64::from(self.requests) * REQUEST_STEP).fract();
        self.requests = self.requests.wrapping_add(1);
        SpreadOrder::Place(place)
    }
}

/// The rank of each candidate in the order, from zero to one. The candidates are ordered by id on
/// all instances.
pub(crate) fn spread_ranks(order: Option<SpreadOrder>, candidates: &[&Endpoint]) -> Vec<f64> {
    match order {
        None => vec![0.0; candidates.len()],
        Some(SpreadOrder::Random(seed)) => {
            candidates.iter().map(|e| random_rank(seed, &e.id)).collect()
        }
        Some(SpreadOrder::Place(place)) => ring_ranks(place, candidates),
    }
}

/// A number between zero and one that depends only on the seed and the endpoint.
fn random_rank(seed: u64, endpoint: &EndpointId) -> f64 {
    let mut hasher = DefaultHasher::new();
    (seed, endpoint.as_str()).hash(&mut hasher);
    (hasher.finish() % 1_000) as f64 / 1_000.0
}

/// The engines of each data centre have a ring of their own: the ones nearby are preferred, and on
/// a common ring those after a gap would be preferred to others.
fn ring_ranks(place: f64, candidates: &[&Endpoint]) -> Vec<f64> {
    let mut counts: BTreeMap<&DataCentre, usize> = BTreeMap::new();
    let mut indices = Vec::with_capacity(candidates.len());
    for endpoint in candidates {
        let count = counts.entry(&endpoint.data_centre).or_default();
        indices.push(*count);
        *count += 1;
    }
    let rank = |(endpoint, index): (&&Endpoint, usize)| {
        let own_place = (index as f64 + 0.5) / counts[&endpoint.data_centre] as f64;
        let distance = (place - own_place).abs();
        2.0 * distance.min(1.0 - distance)
    };
    candidates.iter().zip(indices).map(rank).collect()
}
