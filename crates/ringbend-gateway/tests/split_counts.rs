//! Rules that rest on the number of instances, while data centres do not hear each other.
//!
//! Three data centres of the same size started without the store, so that none has ever heard of
//! another. Each rule is checked over all of them together.

mod support;

use std::net::{Ipv4Addr, SocketAddrV4};
use std::time::Duration;

use ringbend_gateway::{
    Arbiter, ColdProfile, ColdTolerance, InstanceRank, PeerStatus, Peers, Rank, RetryBudget,
    RetryBudgetBounds, Role,
};
use ringbend_types::{DataCentre, Timestamp};
use support::{at, ms, service};

const DATA_CENTRES: [&str; 3] = ["z1", "z2", "z3"];

/// The instances of each data centre. The allowance is divided among at least 12 instances in all,
/// which would hide the fault in smaller data centres.
const INSTANCES: u8 = 20;

/// The schedulers of each data centre.
const SCHEDULERS: u8 = 3;

const NOW: Timestamp = Timestamp(60_000_000);

fn data_centre(centre: usize) -> DataCentre {
    DATA_CENTRES[centre].parse().unwrap()
}

fn address(centre: usize, number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, centre as u8, number), 7_000)
}

/// Records a digest of an instance, which knows the instances of its data centre only.
fn receive_digest(peers: &mut Peers, now: Timestamp, centre: usize, number: u8) {
    let role = if number < SCHEDULERS { Role::Scheduler } else { Role::Member };
    let instances = usize::from(INSTANCES);
    let status = PeerStatus { role, instances, fleet: instances, possible: 3 * instances };
    let address = address(centre, number);
    peers.record_digest(now, address, u64::from(u32::from(*address.ip())));
    peers.describe(address, data_centre(centre), 100);
    peers.set_status(address, status);
}

/// An instance that hears those of `heard`: members only the schedulers of their data centre.
fn instance(number: u8, heard: &[usize]) -> Peers {
    let own = InstanceRank::new(100, address(0, number));
    let mut peers = Peers::new(NOW, data_centre(0), own);
    peers.set_expected_data_centres((0..3).map(data_centre));
    let is_scheduler = number < SCHEDULERS;
    if is_scheduler {
        peers.become_scheduler();
    } else {
        // It becomes a member as it hears the schedulers.
        (0..SCHEDULERS).for_each(|other| receive_digest(&mut peers, NOW, 0, other));
        peers.update_role(NOW);
        assert_eq!(peers.role(), Role::Member);
        return peers;
    }
    for centre in heard {
        let last = if *centre == 0 { INSTANCES } else { SCHEDULERS };
        let others = (0..last).filter(|other| (*centre, *other) != (0, number));
        others.for_each(|other| receive_digest(&mut peers, NOW, *centre, other));
    }
    peers
}

/// Retries that one instance makes in one window without requests of its own.
fn retries_of(peers: &Peers, possible: bool) -> usize {
    let bounds =
        RetryBudgetBounds { ratio: 0.2, window: Duration::from_secs(10), allowance: 120.0 };
    let mut budget = RetryBudget::new(bounds);
    let instances = if possible { peers.possible_instances(NOW) } else { peers.instances(NOW) };
    budget.set_instances(at(0), instances);
    // By then the share of a new instance and of a growing fleet is over.
    let now = at(60_000);
    (0..1_000).filter(|_| budget.take(now, &service("engines"), Rank::MOST_URGENT)).count()
}

/// Guards against a retry budget that is exceeded by all data centres together: each divided the
/// whole allowance of 120 among its own 20 instances, and they made 240 retries.
#[test]
fn all_data_centres_together_stay_within_the_retry_budget() {
    let total = |possible| -> usize {
        let own = (0..INSTANCES).map(|number| retries_of(&instance(number, &[0]), possible));
        3 * own.sum::<usize>()
    };
    let possible = (0..INSTANCES).map(|number| instance(number, &[0]).possible_instances(NOW));
    assert!(possible.into_iter().all(|possible| possible == 60));
    assert_eq!(total(false), 240, "by the number of known instances");
    assert!(total(true) <= 120, "{}", total(true));
}

/// Guards against limit coordinators of three data centres that each grant the whole limit.
#[test]
fn limit_coordinators_of_all_data_centres_grant_the_limit_together() {
    let coordinator = instance(0, &[0]);
    assert!((3.0 * coordinator.reachable_share(NOW) - 1.0).abs() < 1e-9);
}

/// Guards against a partition that lasts longer than silent peers are remembered: the share of each
/// side grew to the whole limit after 30 s.
#[test]
fn the_share_of_the_limit_does_not_grow_during_a_long_partition() {
    let mut coordinator = instance(0, &[0, 1, 2]);
    let later = NOW + Duration::from_secs(40);
    (1..INSTANCES).for_each(|number| receive_digest(&mut coordinator, later, 0, number));
    coordinator.sweep(later);
    assert!((3.0 * coordinator.reachable_share(later) - 1.0).abs() < 1e-9);
}

/// Guards against cold endpoints that get the whole rate from the schedulers of each data centre.
#[test]
fn schedulers_of_all_data_centres_count_for_cold_endpoints() {
    assert_eq!(instance(0, &[0]).known_schedulers(NOW), 9);
    let profile = ColdProfile { start: ms(3_000), rate: 10.0 };
    let tolerance = ColdTolerance { factor: 1.5, slack: 5.0 };
    let share = profile.share(tolerance, instance(0, &[0]).known_schedulers(NOW));
    assert!(9.0 * (share + 1.0) <= profile.rate * tolerance.factor + tolerance.slack, "{share}");
}

/// Nothing changes while all data centres are heard.
#[test]
fn nothing_is_added_while_all_data_centres_are_heard() {
    let scheduler = instance(0, &[0, 1, 2]);
    assert_eq!(scheduler.instances(NOW), 60);
    assert_eq!(scheduler.possible_instances(NOW), 60);
    assert_eq!(scheduler.known_schedulers(NOW), 9);
    assert!((scheduler.reachable_share(NOW) - 1.0).abs() < 1e-9);
}

/// A split has an arbiter of suspects in each data centre: no rule that rests on counts can tell an
/// instance that hears nobody whether another arbiter exists. `docs/design/split-recovery.md` names
/// the consequence.
#[test]
fn each_data_centre_of_a_split_has_its_own_arbiter() {
    let arbiters = (0..SCHEDULERS).map(|number| instance(number, &[0]));
    let own = arbiters
        .filter(|peers| peers.arbiter(NOW, &service("engines"), &[]) == Some(Arbiter::Local))
        .count();
    assert_eq!(own, 1, "one in each data centre, three in all");
}
