//! Times and sizes of the gossip.

use std::time::Duration;

/// Bounds of membership gossip.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// How often one other instance is probed.
    pub probe_every: Duration,
    /// How long a direct answer may take before others are asked to probe.
    pub ack_timeout: Duration,
    /// How many others are asked.
    pub indirect_probes: usize,
    /// How long a suspected instance has to refute.
    pub suspicion: Duration,
    /// How long the dead and gone are remembered, so that old news does not revive them.
    pub forget_after: Duration,
    /// Most updates in one message.
    pub updates_per_message: usize,
    /// Each update is sent this many times the logarithm of the number of members.
    pub transmit_factor: u32,
    /// News that cannot wait is pushed to this many others at once.
    pub eager_fanout: usize,
    /// A refutation is passed on to this many others at once.
    pub refutation_fanout: usize,
    /// A tick this late means that this instance itself was paused.
    pub own_pause: Duration,
}

impl Default for MembershipConfig {
    fn default() -> Self {
        Self {
            probe_every: Duration::from_millis(500),
            ack_timeout: Duration::from_millis(250),
            indirect_probes: 3,
            suspicion: Duration::from_secs(5),
            forget_after: Duration::from_secs(60),
            updates_per_message: 6,
            transmit_factor: 3,
            own_pause: Duration::from_millis(900),
            eager_fanout: 4,
            refutation_fanout: 2,
        }
    }
}
