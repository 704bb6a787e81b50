//! Endpoint selection strategies.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use ringbend_settings::configs::{ChoiceKind, RoutingConfig};
use ringbend_types::EndpointId;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// An endpoint with capacity for the request.
#[derive(Debug, Clone, PartialEq)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Predicted time to first token.
    pub predicted_ttft: Duration,
    /// Requests at the endpoint: the reported count or this instance's own, whichever is higher.
    pub outstanding: u32,
}

/// A strategy for choosing among candidates.
pub trait EndpointChoice {
    /// Returns the index of the chosen candidate; `None` if there are no candidates.
    fn choose(
        &mut self,
        candidates: &[Candidate],
        prefix: u64,
        rng: &mut ChaCha8Rng,
    ) -> Option<usize>;
}

/// Creates the strategy that the settings select.
pub fn choice_for(cfg: &RoutingConfig) -> Box<dyn EndpointChoice> {
    match cfg.choice {
        ChoiceKind::RoundRobin => Box::new(RoundRobin::default()),
        ChoiceKind::LeastOutstanding => Box::new(LeastOutstanding),
        ChoiceKind::TwoChoices => Box::new(TwoChoices),
        ChoiceKind::PredictedFinish => Box::new(PredictedFinish),
        ChoiceKind::PrefixAffinity => {
            Box::new(PrefixAffinity { bound: f64::from(cfg.affinity_bound_percent) / 100.0 })
        }
    }
}

/// Returns the rendezvous hash weight of `name` for `key`; the name with the highest weight is the
/// key's home.
pub fn rendezvous_weight(name: &str, key: u64) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), key)
}

#[derive(Debug, Default)]
struct RoundRobin {
    last: Option<EndpointId>,
}

impl EndpointChoice for RoundRobin {
    fn choose(&mut self, candidates: &[Candidate], _: u64, _: &mut ChaCha8Rng) -> Option<usize> {
        let after = candidates.iter().position(|c| Some(&c.endpoint) > self.last.as_ref());
        let chosen = after.or(if candidates.is_empty() { None } else { Some(0) })?;
        self.last = Some(candidates[chosen].endpoint.clone());
        Some(chosen)
    }
}

#[derive(Debug)]
struct LeastOutstanding;

impl EndpointChoice for LeastOutstanding {
    fn choose(&mut self, candidates: &[Candidate], _: u64, rng: &mut ChaCha8Rng) -> Option<usize> {
        let fewest = candidates.iter().map(|c| c.outstanding).min()?;
        let tied: Vec<usize> =
            (0..candidates.len()).filter(|i| candidates[*i].outstanding == fewest).collect();
        Some(tied[rng.random_range(0..tied.len())])
    }
}

#[derive(Debug)]
struct TwoChoices;

impl EndpointChoice for TwoChoices {
    fn choose(&mut self, candidates: &[Candidate], _: u64, rng: &mut ChaCha8Rng) -> Option<usize> {
        if candidates.is_empty() {
            return None;
        }
        let first = rng.random_range(0..candidates.len());
        let second = rng.random_range(0..candidates.len());
        let first_is_faster = candidates[first].predicted_ttft <= candidates[second].predicted_ttft;
        Some(if first_is_faster { first } else { second })
    }
}

/// Candidates within this of the best prediction count as equal, and one of them is picked at
/// random: the prediction is not more precise, and instances that see the same report must not all
/// pick the same endpoint.
const PREDICTION_TOLERANCE: Duration = Duration::from_millis(10);

#[derive(Debug)]
struct PredictedFinish;

impl EndpointChoice for PredictedFinish {
    fn choose(&mut self, candidates: &[Candidate], _: u64, rng: &mut ChaCha8Rng) -> Option<usize> {
        let best = candidates.iter().map(|c| c.predicted_ttft).min()?;
        let near: Vec<usize> = (0..candidates.len())
            .filter(|i| candidates[*i].predicted_ttft <= best + PREDICTION_TOLERANCE)
            .collect();
        Some(near[rng.random_range(0..near.len())])
    }
}

#[derive(Debug)]
struct PrefixAffinity {
    bound: f64,
}

impl EndpointChoice for PrefixAffinity {
    fn choose(
        &mut self,
        candidates: &[Candidate],
        prefix: u64,
        _: &mut ChaCha8Rng,
    ) -> Option<usize> {
        let total: u32 = candidates.iter().map(|c| c.outstanding).sum();
        let mean = f64::from(total + 1) / candidates.len().max(1) as f64;
        let limit = (mean * self.bound).ceil();
        let below_limit = |i: &usize| f64::from(candidates[*i].outstanding) < limit;
        let weight = |i: &usize| rendezvous_weight(candidates[*i].endpoint.as_str(), prefix);
        (0..candidates.len()).filter(below_limit).max_by_key(weight)
    }
}
