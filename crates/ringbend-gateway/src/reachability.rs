//! Which endpoints this instance reaches directly, and which only other instances reach.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::time::Duration;

use ringbend_types::Timestamp;

/// The interval at which a lost path, or an endpoint that is out of reach, is tried again.
pub const PATH_CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// How long an endpoint that was not reached, directly or through other instances, is not tried
/// again in the same way.
const UNREACHED_TTL: Duration = Duration::from_millis(300);

/// A path on which connecting has failed since the last success.
#[derive(Debug, Clone, Copy)]
struct FailingPath {
    since: Timestamp,
    /// Whether another instance has reached the endpoint since then.
    is_lost: bool,
    /// When connecting last timed out.
    timed_out_at: Option<Timestamp>,
    checked_at: Timestamp,
    /// When other instances were last found not to reach the endpoint either.
    unreached_at: Option<Timestamp>,
    /// Whether no instance reaches the endpoint, as far as is known.
    is_out_of_reach: bool,
}

impl FailingPath {
    /// Whether the path is tried again from time to time, beside the requests.
    fn is_checked(&self) -> bool {
        self.is_lost || self.is_out_of_reach
    }
}

/// The paths from this instance to endpoints on which connecting has failed, by address.
#[derive(Debug, Clone, Default)]
pub struct Reachability {
    failing: BTreeMap<SocketAddrV4, FailingPath>,
    /// When connecting directly last succeeded.
    last_success: Option<Timestamp>,
    /// When an endpoint was last reached, directly or through another instance.
    last_reached: Option<Timestamp>,
}

impl Reachability {
    /// Records that connecting directly failed.
    pub fn record_failure(&mut self, now: Timestamp, address: SocketAddrV4) {
        self.failing.entry(address).or_insert(FailingPath {
            since: now,
            is_lost: false,
            timed_out_at: None,
            checked_at: now,
            unreached_at: None,
            is_out_of_reach: false,
        });
    }

    /// Records that connecting directly timed out.
    pub fn record_timeout(&mut self, now: Timestamp, address: SocketAddrV4) {
        self.record_failure(now, address);
        if let Some(path) = self.failing.get_mut(&address) {
            path.timed_out_at = Some(now);
        }
    }

    /// Records that connecting directly succeeded. Returns for how long the path was lost, if it
    /// was.
    pub fn record_success(&mut self, now: Timestamp, address: SocketAddrV4) -> Option<Duration> {
        self.record_any_reached(now);
        self.last_success = Some(now);
        let path = self.failing.remove(&address)?;
        path.is_lost.then(|| now.since(path.since))
    }

    /// Records that another instance reached an endpoint that this one did not. Returns whether the
    /// path was not known to be lost.
    pub fn record_reached_elsewhere(&mut self, now: Timestamp, address: SocketAddrV4) -> bool {
        self.record_failure(now, address);
        self.record_any_reached(now);
        let Some(path) = self.failing.get_mut(&address) else { return false };
        path.unreached_at = None;
        path.is_out_of_reach = false;
        !std::mem::replace(&mut path.is_lost, true)
    }

    /// Records that other instances did not reach the endpoint either. It is out of reach if no
    /// instance is left that may reach it.
    pub fn record_unreached(
        &mut self,
        now: Timestamp,
        address: SocketAddrV4,
        is_out_of_reach: bool,
    ) {
        self.record_failure(now, address);
        if let Some(path) = self.failing.get_mut(&address) {
            path.is_lost = false;
            path.unreached_at = Some(now);
            path.is_out_of_reach = is_out_of_reach;
        }
    }

    /// Records that an endpoint was reached. If none was for a while, links work again, so those
    /// that were out of reach may no longer be.
    fn record_any_reached(&mut self, now: Timestamp) {
        let before = self.last_reached.replace(now);
        if before.is_none_or(|at| now.since(at) >= PATH_CHECK_INTERVAL) {
            self.failing.values_mut().for_each(|path| path.is_out_of_reach = false);
        }
    }

    /// Whether there are endpoints, and no instance reaches any of them.
    pub fn are_out_of_reach(&self, addresses: impl IntoIterator<Item = SocketAddrV4>) -> bool {
        let is_out_of_reach =
            |address| self.failing.get(&address).is_some_and(|path| path.is_out_of_reach);
        let mut addresses = addresses.into_iter().peekable();
        addresses.peek().is_some() && addresses.all(is_out_of_reach)
    }

    /// Whether any endpoint is out of reach.
    pub fn has_out_of_reach(&self) -> bool {
        self.failing.values().any(|path| path.is_out_of_reach)
    }

    /// Whether only other instances reach the endpoint.
    pub fn is_lost(&self, address: SocketAddrV4) -> bool {
        self.failing.get(&address).is_some_and(|path| path.is_lost)
    }

    /// Whether other instances were just found not to reach the endpoint either.
    pub fn is_unreached(&self, now: Timestamp, address: SocketAddrV4) -> bool {
        let unreached_at = self.failing.get(&address).and_then(|path| path.unreached_at);
        unreached_at.is_some_and(|at| now.since(at) < UNREACHED_TTL)
    }

    /// Whether this instance has connected directly to any endpoint within `time`.
    pub fn has_connected_within(&self, now: Timestamp, time: Duration) -> bool {
        self.last_success.is_some_and(|at| now.since(at) < time)
    }

    /// Whether an endpoint was reached within `time`, directly or through another instance.
    pub fn has_reached_within(&self, now: Timestamp, time: Duration) -> bool {
        self.last_reached.is_some_and(|at| now.since(at) < time)
    }

    /// Whether connecting directly to this endpoint has just timed out, or is known to fail until
    /// the next check. A refusal costs no time, so it is not counted.
    pub fn would_time_out(&self, now: Timestamp, address: SocketAddrV4) -> bool {
        let Some(path) = self.failing.get(&address) else { return false };
        path.is_checked() || path.timed_out_at.is_some_and(|at| now.since(at) < UNREACHED_TTL)
    }

    /// Whether connecting directly to this endpoint has failed since it last succeeded.
    pub fn is_failing(&self, address: SocketAddrV4) -> bool {
        self.failing.contains_key(&address)
    }

    /// Whether to try an endpoint again now that this instance or none reaches directly. Records the
    /// try if so.
    pub fn begin_check(&mut self, now: Timestamp, address: SocketAddrV4) -> bool {
        let Some(path) = self.failing.get_mut(&address) else { return false };
        let is_due = path.is_checked() && now.since(path.checked_at) >= PATH_CHECK_INTERVAL;
        if is_due {
            path.checked_at = now;
        }
        is_due
    }

    /// Up to `count` endpoints to try again now, those that were tried longest ago first. Records
    /// the tries.
    pub fn begin_checks(&mut self, now: Timestamp, count: usize) -> Vec<SocketAddrV4> {
        let checked = self.failing.iter().filter(|(_, path)| path.is_checked());
        let mut checked: Vec<_> =
            checked.map(|(address, path)| (path.checked_at, *address)).collect();
        checked.sort_unstable();
        let due = checked.into_iter().map(|(_, address)| address);
        due.filter(|address| self.begin_check(now, *address)).take(count).collect()
    }

    /// The number of endpoints that only other instances reach.
    pub fn lost(&self) -> usize {
        self.failing.values().filter(|path| path.is_lost).count()
    }

    /// Drops endpoints that are no longer registered.
    pub fn retain(&mut self, is_registered: impl Fn(SocketAddrV4) -> bool) {
        self.failing.retain(|address, _| is_registered(*address));
    }
}
