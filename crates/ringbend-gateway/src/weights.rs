//! What counts how much when a request is placed on engines.

use serde::{Deserialize, Serialize};

/// Weights of placement. Costs are in stakes: one is what is lost if a request with a prompt of
/// 5,000 tokens is late. The defaults come from runs on two deployments; see
/// `docs/design/placement.md`.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct PlacementWeights {
    /// How the stake grows with the prompt, as a power of its tokens.
    pub stake_power: f64,
    /// Lateness is counted from this share of a limit on.
    pub late_from: f64,
    /// Lateness is counted in full from this share of a limit on.
    pub late_at: f64,
    /// What the time to the first event costs even if on time, at its limit.
    pub first: f64,
    /// What it costs to delay a request that waits for its first event by all the time it has left.
    pub delay: f64,
    /// Prompts that one engine reads in this many milliseconds are not split: the first event waits
    /// for the last of several passes, which takes about as long. Over 30 ms it is worth 0.001 to 0.006
    /// of a day on three deployments, five days each with two seeds.
    pub whole_ms: f64,
    /// What each helper costs: one more engine on which the request depends.
    pub helper: f64,
    /// What it costs to put a tight request on an engine that is not kept for them.
    pub open: f64,
    /// A prompt that one engine reads for longer than this many milliseconds is long: it waits for
    /// its turn and is kept off quiet engines.
    pub long_ms: f64,
    /// How long each engine should read of a long prompt, in milliseconds.
    pub part_ms: f64,
    /// An engine that has this many milliseconds left to read counts as free for the next prompt.
    pub free_ms: f64,
    /// A long prompt waits while the cheapest placement would have an engine read it for longer than
    /// this many milliseconds: passes there last as long as the reading, and whatever comes to that
    /// engine meanwhile waits for their end. Worth 0.014 to 0.030 of a day on three deployments, five
    /// days each with two seeds; 1,500 and 4,000 are worth 0.007 less on one of them with six seeds,
    /// which is what runs differ by.
    pub longest_ms: f64,
    /// How many requests with short prompts are expected soon for each that is open.
    pub quiet_growth: f64,
    /// Such requests that are expected beside those.
    pub quiet_spare: f64,
    /// The share of an engine's places that tight requests fill before the next one is taken.
    pub full_share: f64,
    /// What 100 ms of reading cost for each tight request, beside what it makes late now.
    pub read: f64,
    /// A long prompt waits while the cheapest placement would cost others more than this share of its own
    /// stake, if it has time to.
    pub dear: f64,
    /// The time that such a prompt keeps in hand, in milliseconds, as later placements may take longer.
    pub spare_ms: f64,
    /// What it costs to hold all of a prompt's memory on helpers.
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
