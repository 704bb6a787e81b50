//! Which instance grants the permits of a service's rate-limited endpoints, as instances fall
//! silent.

mod support;

use std::net::{Ipv4Addr, SocketAddrV4};

use ringbend_gateway::{Arbiter, HEARTBEAT_INTERVAL, InstanceRank, PeerStatus, Peers, Role};
use ringbend_types::Timestamp;
use support::{at, ms, service};

fn address(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7_000)
}

/// A scheduler beside other schedulers that have just been heard.
fn scheduler_beside(others: u8, now: Timestamp) -> Peers {
    let mut peers = Peers::new(now, "z1".parse().unwrap(), InstanceRank::new(100, address(0)));
    peers.become_scheduler();
    (1..=others).for_each(|number| receive_digest(&mut peers, number, now));
    peers
}

fn receive_digest(peers: &mut Peers, number: u8, now: Timestamp) {
    peers.record_digest(now, address(number), u64::from(number));
    peers.describe(address(number), "z1".parse().unwrap(), 100 + u32::from(number));
    let status = PeerStatus { role: Role::Scheduler, instances: 1, fleet: 1, possible: 1 };
    peers.set_status(address(number), status);
}

fn coordinator(peers: &Peers, now: Timestamp) -> Option<Arbiter> {
    peers.limit_coordinator(now, &service("engines"))
}

#[test]
fn the_best_ranked_scheduler_is_the_coordinator() {
    let now = at(1_000);
    assert_eq!(coordinator(&scheduler_beside(0, now), now), Some(Arbiter::Local));
    assert_eq!(coordinator(&scheduler_beside(3, now), now), Some(Arbiter::Remote(address(3))));
}

#[test]
fn without_a_known_scheduler_there_is_no_coordinator() {
    let peers = Peers::new(at(0), "z1".parse().unwrap(), InstanceRank::new(100, address(0)));
    assert_eq!(coordinator(&peers, at(1_000)), None);
}

#[test]
fn an_unresponsive_coordinator_keeps_its_role_until_it_is_silent() {
    let now = at(1_000);
    let mut peers = scheduler_beside(2, now);
    peers.mark_unresponsive(now, address(2));
    assert_eq!(coordinator(&peers, now), Some(Arbiter::Remote(address(2))));
    let after_one = now + HEARTBEAT_INTERVAL + ms(100);
    receive_digest(&mut peers, 1, after_one);
    assert_eq!(
        coordinator(&peers, after_one),
        Some(Arbiter::Remote(address(2))),
        "one heartbeat was lost"
    );
    let after_two = now + HEARTBEAT_INTERVAL * 2 + ms(300);
    receive_digest(&mut peers, 1, after_two);
    assert_eq!(coordinator(&peers, after_two), Some(Arbiter::Remote(address(1))));
    receive_digest(&mut peers, 2, after_two);
    assert_eq!(coordinator(&peers, after_two), Some(Arbiter::Remote(address(2))));
}

#[test]
fn a_coordinator_that_announces_its_stop_is_replaced_at_once() {
    let now = at(1_000);
    let mut peers = scheduler_beside(2, now);
    peers.remove(address(2));
    assert_eq!(coordinator(&peers, now), Some(Arbiter::Remote(address(1))));
    assert!((peers.reachable_share(now) - 1.0).abs() < 1e-9);
}

/// Each half of a partitioned fleet grants its share of the limit, so that both together grant the
/// whole limit.
#[test]
fn a_partition_grants_its_share_while_the_others_are_silent() {
    let now = at(1_000);
    let mut peers = scheduler_beside(5, now);
    assert!((peers.reachable_share(now) - 1.0).abs() < 1e-9);
    let later = now + ms(3_000);
    (1..=2).for_each(|number| receive_digest(&mut peers, number, later));
    assert!((peers.reachable_share(later) - 0.5).abs() < 1e-9);
    let much_later = now + ms(40_000);
    (1..=2).for_each(|number| receive_digest(&mut peers, number, much_later));
    peers.sweep(much_later);
    assert!(
        (peers.reachable_share(much_later) - 1.0).abs() < 1e-9,
        "silent peers have been dropped"
    );
}
