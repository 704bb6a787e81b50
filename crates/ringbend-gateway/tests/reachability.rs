//! Paths to endpoints: what connects, here and at other instances, say about them.

use std::net::SocketAddrV4;
use std::time::Duration;

use ringbend_gateway::{PATH_CHECK_INTERVAL, Reachability};
use ringbend_types::Timestamp;

fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, 0, number].into(), 80)
}

fn at(ms: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(ms)
}

/// Guards against connections through other instances to an endpoint that is down.
#[test]
fn a_path_is_lost_only_if_another_instance_reaches_the_endpoint() {
    let mut paths = Reachability::default();
    paths.record_failure(at(0), address(1));
    assert!(!paths.is_lost(address(1)));
    assert!(paths.record_reached_elsewhere(at(1), address(1)));
    assert!(paths.is_lost(address(1)));
    assert!(!paths.record_reached_elsewhere(at(2), address(1)));
    paths.record_unreached(at(3), address(1), false);
    assert!(!paths.is_lost(address(1)));
}

/// Guards against a link that works again and is not used.
#[test]
fn a_lost_path_is_tried_again_at_intervals_until_it_works() {
    let mut paths = Reachability::default();
    paths.record_reached_elsewhere(at(0), address(1));
    assert!(!paths.begin_check(at(399), address(1)));
    assert!(paths.begin_check(at(400), address(1)));
    assert!(!paths.begin_check(at(401), address(1)));
    let lost = paths.record_success(at(900), address(1));
    assert_eq!(lost, Some(Duration::from_millis(900)));
    assert!(!paths.is_lost(address(1)));
    assert!(!paths.begin_check(at(2_000), address(1)));
}

/// Guards against checks that grow with the number of lost paths, or that leave some out.
#[test]
fn checks_are_bounded_and_take_turns() {
    let mut paths = Reachability::default();
    for number in 1..=10 {
        paths.record_reached_elsewhere(at(0), address(number));
    }
    let mut checked = Vec::new();
    for round in 0..5 {
        let due = paths.begin_checks(at(400 + round), 2);
        assert_eq!(due.len(), 2);
        checked.extend(due);
    }
    checked.sort_unstable();
    checked.dedup();
    assert_eq!(checked.len(), 10);
    assert!(paths.begin_checks(at(500), 2).is_empty());
}

/// Guards against requests that are rejected because some endpoints of their service are out of reach, or because
/// they refuse connections.
#[test]
fn a_service_is_out_of_reach_only_if_all_its_endpoints_are() {
    let mut paths = Reachability::default();
    let both = || [address(1), address(2)];
    assert!(!paths.are_out_of_reach([]));
    paths.record_unreached(at(0), address(1), true);
    assert!(!paths.are_out_of_reach(both()));
    paths.record_unreached(at(0), address(2), false);
    assert!(!paths.are_out_of_reach(both()));
    paths.record_unreached(at(0), address(2), true);
    assert!(paths.are_out_of_reach(both()));
    assert!(!paths.are_out_of_reach([address(1), address(3)]));
}

/// Guards against endpoints that stay out of reach once links work again.
#[test]
fn the_first_endpoint_that_is_reached_again_reopens_all() {
    let mut paths = Reachability::default();
    paths.record_unreached(at(0), address(1), true);
    paths.record_unreached(at(0), address(2), true);
    assert_eq!(paths.begin_checks(at(400), 4).len(), 2);
    paths.record_success(at(1_000), address(1));
    assert!(!paths.has_out_of_reach());
}

/// Guards against a service that is out of reach and is tried by each request because another service is reached.
#[test]
fn endpoints_stay_out_of_reach_while_others_are_reached_all_along() {
    let mut paths = Reachability::default();
    for ms in (0..2_000).step_by(100) {
        paths.record_success(at(ms), address(3));
        paths.record_unreached(at(ms), address(1), true);
        paths.record_success(at(ms + 50), address(3));
        assert!(paths.are_out_of_reach([address(1)]));
    }
}

#[test]
fn endpoints_that_are_no_longer_registered_are_forgotten() {
    let mut paths = Reachability::default();
    paths.record_reached_elsewhere(at(0), address(1));
    paths.record_reached_elsewhere(at(0), address(2));
    paths.retain(|other| other == address(2));
    assert_eq!(paths.lost(), 1);
    assert!(!paths.is_failing(address(1)));
}

/// What happens to the link of an instance and to the process of the endpoint, between two connects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Change {
    Cut,
    Heal,
    Crash,
    Restart,
    /// No instance reaches the endpoint.
    CutAll,
}

const CHANGES: [Change; 5] =
    [Change::Cut, Change::Heal, Change::Crash, Change::Restart, Change::CutAll];

#[derive(Debug, Clone, Copy)]
struct World {
    is_cut: bool,
    are_others_cut: bool,
    is_up: bool,
}

impl World {
    fn apply(&mut self, change: Change) {
        match change {
            Change::Cut => self.is_cut = true,
            Change::Heal => (self.is_cut, self.are_others_cut) = (false, false),
            Change::Crash => self.is_up = false,
            Change::Restart => self.is_up = true,
            Change::CutAll => (self.is_cut, self.are_others_cut) = (true, true),
        }
    }

    /// A connect as the relay makes it: directly unless the path is lost, then through others, and directly if those
    /// fail on a lost path. Returns whether it succeeded.
    fn connect(self, now: Timestamp, paths: &mut Reachability) -> bool {
        if !paths.is_lost(address(1)) {
            if !self.is_cut && self.is_up {
                paths.record_success(now, address(1));
                return true;
            }
            paths.record_failure(now, address(1));
        }
        if !self.are_others_cut && self.is_up {
            paths.record_reached_elsewhere(now, address(1));
            return true;
        }
        let was_lost = paths.is_lost(address(1));
        paths.record_unreached(now, address(1), self.are_others_cut);
        let is_direct = was_lost && !self.is_cut && self.is_up;
        if is_direct {
            paths.record_success(now, address(1));
        }
        is_direct
    }

    /// The checks beside the requests.
    fn check(self, now: Timestamp, paths: &mut Reachability) {
        for checked in paths.begin_checks(now, 4) {
            if !paths.is_lost(checked) {
                self.connect(now, paths);
            } else if !self.is_cut && self.is_up {
                paths.record_success(now, checked);
            } else {
                paths.record_failure(now, checked);
            }
        }
    }
}

/// Tries all sequences of six changes: whatever happened before, an endpoint that any instance reaches is connected
/// to, one that this instance reaches is connected to directly after one interval, and none is out of reach for longer
/// than one.
#[test]
fn all_sequences_of_cuts_and_crashes_end_in_the_right_state() {
    const LENGTH: u32 = 6;
    for sequence in 0..CHANGES.len().pow(LENGTH) {
        let mut world = World { is_cut: false, are_others_cut: false, is_up: true };
        let mut paths = Reachability::default();
        let mut now = at(0);
        let mut rest = sequence;
        for _ in 0..LENGTH {
            let change = CHANGES[rest % CHANGES.len()];
            rest /= CHANGES.len();
            world.apply(change);
            now = now + Duration::from_millis(50);
            let is_reachable = world.is_up && !(world.is_cut && world.are_others_cut);
            let connected = world.connect(now, &mut paths);
            assert_eq!(connected, is_reachable, "{sequence} {change:?} {world:?}");
            now = now + PATH_CHECK_INTERVAL;
            world.check(now, &mut paths);
            if world.is_up && !world.is_cut {
                assert!(!paths.is_lost(address(1)), "{sequence} {change:?} {world:?}");
            }
            if is_reachable {
                assert!(!paths.are_out_of_reach([address(1)]), "{sequence} {change:?} {world:?}");
            }
        }
    }
}
