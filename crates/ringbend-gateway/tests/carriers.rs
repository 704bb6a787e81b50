//! The order in which other instances are asked to carry connections.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use ringbend_gateway::{Candidates, Carriers};
use ringbend_types::Timestamp;

const CONNECT_TIME: Duration = Duration::from_millis(2);

fn address(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new([10, 0, (number / 250) as u8, (number % 250) as u8].into(), 80)
}

fn at(ms: u64) -> Timestamp {
    Timestamp::default() + Duration::from_millis(ms)
}

fn candidates(local: usize, remote: usize) -> Candidates {
    Candidates {
        local: (0..local).map(address).collect(),
        remote: (500..500 + remote).map(address).collect(),
    }
}

#[test]
fn instances_of_the_own_data_centre_are_asked_first() {
    let mut rng = SmallRng::seed_from_u64(1);
    let order = Carriers::default().order(at(0), &candidates(5, 5), &mut rng);
    assert_eq!(order.len(), 10);
    let local: BTreeSet<_> = order[..5].iter().copied().collect();
    assert_eq!(local, (0..5).map(address).collect());
}

/// Guards against a cut data centre whose instances ask each other while others could help.
#[test]
fn instances_that_could_not_help_are_asked_last_for_a_while() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut carriers = Carriers::default();
    (0..5).for_each(|number| carriers.record_failed(at(0), address(number)));
    let order = carriers.order(at(1_000), &candidates(5, 5), &mut rng);
    assert!(order[..5].iter().all(|carrier| *carrier >= address(500)));
    let order = carriers.order(at(2_000), &candidates(5, 5), &mut rng);
    assert!(order[..5].iter().all(|carrier| *carrier < address(500)));
}

/// Guards against one carrier that gets everything because it helped first.
#[test]
fn load_is_spread_over_instances_that_help() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut carriers = Carriers::default();
    let mut carried = [0; 10];
    for ms in 0..1_000 {
        let first = carriers.order(at(ms), &candidates(10, 0), &mut rng)[0];
        carriers.record_helped(at(ms), first, CONNECT_TIME);
        carried[first.ip().octets()[3] as usize] += 1;
    }
    assert!(carried.iter().filter(|count| **count > 0).count() >= 4, "{carried:?}");
    assert!(carried.iter().all(|count| *count < 400), "{carried:?}");
}

/// Guards against searches that find few carriers among many instances that are cut off as well.
#[test]
fn known_helpers_come_first_among_hundreds() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut carriers = Carriers::default();
    let helpers: BTreeSet<_> = (40..44).map(address).collect();
    helpers.iter().for_each(|helper| carriers.record_helped(at(0), *helper, CONNECT_TIME));
    let order = carriers.order(at(100), &candidates(300, 0), &mut rng);
    let first: BTreeSet<_> = order[..4].iter().copied().collect();
    assert_eq!(first, helpers);
    assert!(carriers.latest(at(100)).is_some_and(|latest| helpers.contains(&latest)));
    assert_eq!(carriers.latest(at(6_000)), None);
}

/// Guards against asking several instances at once because all of them are slow.
#[test]
fn the_next_instance_is_asked_later_if_carriers_are_slow() {
    let mut carriers = Carriers::default();
    let before = carriers.ask_delay();
    for number in 0..50 {
        carriers.record_helped(at(0), address(number), Duration::from_millis(120));
    }
    assert!(carriers.ask_delay() > before);
    assert!(carriers.ask_delay() <= Duration::from_millis(300));
}
