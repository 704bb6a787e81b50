//! Configuration of the membership gossip.

use std::time::Duration;

/// Intervals, timeouts and sizes of the membership gossip.
#[derive(Debug, Clone)]
pub struct MembershipConfig {
    /// Interval at which one other instance is probed.
    pub probe_interval: Duration,
    /// How long to wait for an acknowledgement of a direct probe before starting indirect probes.
    pub ack_timeout: Duration,
    /// Number of instances that are asked for an indirect probe.
    pub indirect_probes: usize,
    /// How long a suspected instance has to refute the suspicion before it is considered dead.
    pub suspicion_timeout: Duration,
    /// How long dead and departed instances are kept, so that outdated updates do not revive them.
    pub tombstone_retention: Duration,
    /// Maximum number of updates in one message.
    pub max_updates_per_message: usize,
    /// Each update is sent this many times the binary logarithm of the number of members.
    pub retransmit_multiplier: u32,
    /// Number of instances to which urgent updates are sent immediately.
    pub push_fanout: usize,
    /// Number of instances to which a refutation is forwarded immediately.
    pub refutation_fanout: usize,
    /// If more time than this passes between two ticks, this instance itself was paused.
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
