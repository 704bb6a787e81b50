//! Times and sizes of the gossip.

use std::time::Duration;

/// Bounds of membership gossip.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// How often one other instance is probed.
    pub probe_interval: Duration,
    /// How long a direct answer may take before others are asked to probe.
    pub ack_timeout: Duration,
    /// How many others are asked.
    pub indirect_probes: usize,
    /// How long a suspected instance has to refute.
    pub suspicion_timeout: Duration,
    /// How long the dead and gone are remembered, so that old news does not revive them.
    pub tombstone_retention: Duration,
    /// Most updates in one message.
    pub max_updates_per_message: usize,
    /// Each update is sent this many times the logarithm of the number of members.
    pub retransmit_multiplier: u32,
    /// News that cannot wait is pushed to this many others at once.
    pub push_fanout: usize,
    /// A refutation is passed on to this many others at once.
    pub refutation_fanout: usize,
    /// A tick this late means that this instance itself was paused.
    pub pause_threshold: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_millis(500),
            ack_timeout: Duration::from_millis(250),
            indirect_probes: 3,
            suspicion_timeout: Duration::from_secs(5),
            tombstone_retention: Duration::from_secs(60),
            max_updates_per_message: 6,
            retransmit_multiplier: 3,
            pause_threshold: Duration::from_millis(900),
            push_fanout: 4,
            refutation_fanout: 2,
        }
    }
}
