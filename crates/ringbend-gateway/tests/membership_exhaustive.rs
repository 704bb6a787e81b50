//! All short sequences of events in a fleet of two data centres, checked for splits that remain.

#[path = "membership/model.rs"]
mod model;

use std::time::Duration;

use model::{Event, Fleet};
use ringbend_gateway::{HEARTBEAT_INTERVAL, PEER_TIMEOUT, RECOVERY_INTERVAL};

/// How long instances may take to know each other once there is a path between them or to the store.
const RECOVERY_TIME: Duration = Duration::from_secs(1);

/// The events that can happen next.
fn possible_events(fleet: &Fleet) -> Vec<Event> {
    let of_instance = |i: usize| match fleet.is_running(i) {
        true => vec![Event::Kill(i), Event::Stop(i)],
        false => vec![Event::Start(i)],
    };
    let mut events: Vec<Event> = (0..fleet.size()).flat_map(of_instance).collect();
    events.extend([
        Event::TogglePartition,
        Event::ToggleIsolation,
        Event::ToggleStore,
        Event::LoseRows,
        Event::LoseDatagrams,
        Event::Wait,
    ]);
    events
}

fn advance(fleet: &mut Fleet, time: Duration) {
    let steps = time.as_millis() / RECOVERY_INTERVAL.as_millis();
    (0..steps).for_each(|_| fleet.advance(RECOVERY_INTERVAL));
}

/// Checks that instances know each other soon after all faults end, and those that had heard each
/// other soon after the partition ends, whatever the store does.
fn check(fleet: &Fleet, history: &[Event]) {
    for heals_store in [false, true] {
        let mut healed = fleet.clone();
        healed.heal(heals_store);
        advance(&mut healed, RECOVERY_TIME);
        let unknown = healed.unknown_pairs(!heals_store);
        assert!(unknown.is_empty(), "{unknown:?} after {history:?}, store healed: {heals_store}");
        (0..=PEER_TIMEOUT.as_secs()).for_each(|_| healed.advance(HEARTBEAT_INTERVAL));
        assert!(healed.most_known() <= healed.running_count(), "dead instances known: {history:?}");
    }
}

/// Checks the fleet after each sequence of at most `depth` events. Returns the number of sequences.
fn check_all(fleet: &Fleet, history: &mut Vec<Event>, depth: usize) -> usize {
    check(fleet, history);
    if depth == 0 {
        return 1;
    }
    let mut count = 1;
    for event in possible_events(fleet) {
        let mut next = fleet.clone();
        next.apply(event);
        history.push(event);
        count += check_all(&next, history, depth - 1);
        history.pop();
    }
    count
}

fn running(per_centre: usize) -> Fleet {
    let mut fleet = Fleet::new(per_centre);
    (0..fleet.size()).for_each(|i| fleet.apply(Event::Start(i)));
    advance(&mut fleet, RECOVERY_TIME);
    fleet
}

/// A fleet that starts while the store is unavailable, its instances in no order.
fn started_without_store(per_centre: usize) -> Fleet {
    let mut fleet = Fleet::new(per_centre);
    fleet.apply(Event::ToggleStore);
    (0..fleet.size()).for_each(|i| fleet.apply(Event::Start(i)));
    fleet
}

/// Checks all sequences of at most `depth` events that follow a state.
fn check_from(fleet: &Fleet, depth: u32) {
    let count = check_all(fleet, &mut Vec::new(), depth as usize);
    println!("{count} sequences");
    // Each instance can start or end, and there are five events of the fleet.
    assert!(count > (fleet.size() + 5).pow(depth), "{count} sequences");
}

/// Guards against splits that remain: after a start without the store, instances of different data
/// centres never knew each other, nor after a partition that lasted longer than silent peers were
/// remembered.
#[test]
fn no_split_remains_as_two_by_two_instances_start() {
    check_from(&Fleet::new(2), 4);
}

#[test]
fn no_split_remains_of_two_by_two_running_instances() {
    check_from(&running(2), 4);
}

#[test]
fn no_split_remains_of_two_by_two_instances_that_started_without_the_store() {
    check_from(&started_without_store(2), 4);
}

#[test]
fn no_split_remains_as_two_by_three_instances_start() {
    check_from(&Fleet::new(3), 3);
}

#[test]
fn no_split_remains_of_two_by_three_running_instances() {
    check_from(&running(3), 3);
}

#[test]
fn no_split_remains_of_two_by_three_instances_that_started_without_the_store() {
    check_from(&started_without_store(3), 3);
}
