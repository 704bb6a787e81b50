//! Weights of the cost function for placement on engines.

use serde::{Deserialize, Serialize};

/// Weights of the cost function for placement. Costs are in stakes: one stake is the loss if a
/// request with a prompt of 5,000 tokens is late. See `docs/design/placement.md` for the defaults.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlacementWeights {
    /// Growth of the stake with the prompt length, as an exponent of its tokens.
    pub stake_power: f64,
    /// The share of a limit from which lateness is counted.
    pub late_from: f64,
    /// The share of a limit from which lateness is counted in full.
    pub late_at: f64,
    /// Cost of a time to the first event that equals its limit, even if on time.
    pub first: f64,
    /// Cost of delaying a request that waits for its first event by all the time it has left.
    pub delay: f64,
    /// A prompt that one engine reads within this many milliseconds is not split, because the first
    /// event would wait for the last of several passes, which takes about as long.
    pub whole_ms: f64,
    /// Cost of each helper: one more engine on which the request depends.
    pub helper: f64,
    /// Cost of placing a latency-sensitive request on an engine that is not reserved for such
    /// requests.
    pub open: f64,
    /// A prompt that one engine reads for longer than this many milliseconds is long: it waits for
    /// its turn and is kept off quiet engines.
    pub long_ms: f64,
    /// How long each engine should read of a long prompt, in milliseconds.
    pub part_ms: f64,
    /// An engine with at most this many milliseconds left to read counts as free for the next
    /// prompt.
    pub free_ms: f64,
    /// A long prompt waits while the cheapest placement would make an engine read it for longer
    /// than this many milliseconds: passes there last as long as the prefill, and requests that
    /// reach the engine meanwhile wait for the end of the pass.
    pub longest_ms: f64,
    /// The number of requests with short prompts expected soon per open one.
    pub quiet_growth: f64,
    /// The number of such requests expected in addition.
    pub quiet_spare: f64,
    /// The share of an engine's slots that latency-sensitive requests fill before the next engine
    /// is used.
    pub full_share: f64,
    /// Cost of 100 ms of prefill per latency-sensitive request on the engine, in addition to the
    /// lateness it causes now.
    pub read: f64,
    /// A long prompt waits while the cheapest placement would cost others more than this share of
    /// its own stake, if it has time to wait.
    pub dear: f64,
    /// The time that such a prompt keeps in reserve, in milliseconds, as later placements may take
    /// longer.
    pub spare_ms: f64,
    /// Cost of holding all of a prompt's memory on helpers.
    pub hold: f64,
}

impl Default for PlacementWeights {
    fn default() -> Self {
        Self {
            stake_power: 0.75,
            late_from: 0.75,
            late_at: 1.1,
            first: 0.1,
            delay: 1.0,
            whole_ms: 60.0,
            helper: 0.01,
            open: 0.45,
            long_ms: 600.0,
            part_ms: 600.0,
            free_ms: 5.0,
            longest_ms: 2_500.0,
            quiet_growth: 1.0,
            quiet_spare: 0.0,
            full_share: 0.95,
            read: 0.03,
            dear: 0.25,
            spare_ms: 1_000.0,
            hold: 0.5,
        }
    }
}
