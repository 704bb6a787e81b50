//! Seeds for random numbers, and the generator of unique ids.

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::{AttemptId, Incarnation, RequestId};

/// The seed of all random decisions in one process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Seed(pub u64);

impl Seed {
    /// A random number generator for the component with the stream number `stream`. Streams are
    /// independent of each other.
    pub fn rng(self, stream: u64) -> ChaCha8Rng {
        let mut rng = ChaCha8Rng::seed_from_u64(self.0);
        rng.set_stream(stream);
        rng
    }
}

/// Generates request and attempt ids that are unique to one incarnation of one instance.
#[derive(Debug, Clone)]
pub struct IdGenerator {
    incarnation: u64,
    sequence: u64,
}

impl IdGenerator {
    /// Creates a generator for `incarnation`, which must be unique across all instances and restarts.
    pub fn new(incarnation: Incarnation) -> Self {
        Self { incarnation: incarnation.0, sequence: 0 }
    }

    /// The next request id.
    pub fn next_request_id(&mut self) -> RequestId {
        let sequence = self.next_sequence();
        RequestId { incarnation: self.incarnation, sequence }
    }

    /// The next attempt id.
    pub fn next_attempt_id(&mut self) -> AttemptId {
        let sequence = self.next_sequence();
        AttemptId { incarnation: self.incarnation, sequence }
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }
}
