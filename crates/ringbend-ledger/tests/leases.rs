//! Leases have one holder at a time, under pauses, lost replies and outages.

use std::time::Duration;

use quickcheck::{Gen, QuickCheck, TestResult};
use ringbend_ledger::{Lease, LeaseAction, LeaseConfig, LeaseEvent};
use ringbend_models::{EngineModel, EngineSpec, TableFaults, TableModel, TableRates};
use ringbend_platform::{Order, OrderKind};
use ringbend_types::{FencingToken, Incarnation, Timestamp};

/// The longest flight time of an order.
const FLIGHT: Duration = Duration::from_secs(2);

fn lease(n: u64) -> Lease {
    let holder = format!("instance-{n}").parse().unwrap();
    Lease::new(LeaseConfig::default(), &"sweep".parse().unwrap(), holder, Incarnation(n))
}

fn table() -> TableModel {
    TableModel::new(TableRates { writes_per_s: u32::MAX, reads_per_s: u32::MAX })
}

/// Runs all actions of one instance that are due at `now`.
fn drive(lease: &mut Lease, table: &mut TableModel, now: Timestamp) {
    let mut action = lease.handle(now, LeaseEvent::Tick);
    while let Some(LeaseAction::Call(request)) = action {
        let reply = table.call(now, &request);
        action = lease.handle(now, LeaseEvent::Reply(reply));
    }
}

fn seconds(n: u64) -> Timestamp {
    Timestamp::from_millis(n * 1_000)
}

#[test]
fn the_first_instance_acquires_the_lease_and_renews_it() {
    let (mut table, mut one, mut two) = (table(), lease(1), lease(2));
    for n in 0..60 {
        drive(&mut one, &mut table, seconds(n));
        drive(&mut two, &mut table, seconds(n));
        assert_eq!(one.fencing(seconds(n), FLIGHT), Some(FencingToken(1)), "at {n} s");
        assert_eq!(two.fencing(seconds(n), FLIGHT), None);
    }
}

#[test]
fn a_successor_waits_for_the_time_to_live_plus_the_margin() {
    let (mut table, mut one, mut two) = (table(), lease(1), lease(2));
    drive(&mut one, &mut table, seconds(0));
    let mut taken = None;
    for n in 1..60 {
        drive(&mut two, &mut table, seconds(n));
        if taken.is_none() && two.fencing(seconds(n), FLIGHT).is_some() {
            taken = Some(n);
        }
    }
    // The row is first read at 1 s, then every 3 s, and has to stay unchanged for 10 s plus 5 s.
    assert_eq!(taken, Some(16));
    assert_eq!(two.fencing(seconds(18), FLIGHT), Some(FencingToken(2)));
    assert_eq!(one.fencing(seconds(16), FLIGHT), None);
}

#[test]
fn a_holder_that_resumes_after_a_pause_has_lost_the_lease() {
    let (mut table, mut one, mut two) = (table(), lease(1), lease(2));
    drive(&mut one, &mut table, seconds(0));
    for n in 1..30 {
        drive(&mut two, &mut table, seconds(n));
    }
    assert_eq!(one.fencing(seconds(30), Duration::ZERO), None);
    drive(&mut one, &mut table, seconds(30));
    assert_eq!(one.fencing(seconds(30), Duration::ZERO), None);
}

#[test]
fn a_lease_whose_reply_was_lost_counts_from_when_the_commit_was_sent() {
    let (mut table, mut one) = (table(), lease(1));
    table.faults = TableFaults { lose_answers: 1, ..TableFaults::default() };
    drive(&mut one, &mut table, seconds(0));
    assert_eq!(one.fencing(seconds(0), FLIGHT), None);
    drive(&mut one, &mut table, seconds(3));
    assert_eq!(one.fencing(seconds(3), FLIGHT), Some(FencingToken(1)));
}

#[test]
fn a_lease_expires_in_time_during_an_outage() {
    let (mut table, mut one) = (table(), lease(1));
    drive(&mut one, &mut table, seconds(0));
    table.faults = TableFaults { outage: true, ..TableFaults::default() };
    for n in 1..20 {
        drive(&mut one, &mut table, seconds(n));
    }
    assert!(one.fencing(seconds(7), FLIGHT).is_some());
    assert_eq!(one.fencing(seconds(8), FLIGHT), None);
}

/// A holder is paused for a minute. If it is paused before it checks the lease, it sends no order. If it is
/// paused after the check, it sends its order late, and an engine that checks fencing tokens rejects it. An
/// engine that ignores them executes the order, which is why orders only specify a desired state.
#[test]
fn a_late_order_is_rejected_by_an_engine_that_checks_fencing_tokens() {
    let order = |n| Order {
        fencing: FencingToken(n),
        kind: OrderKind::SetRole { role: "decode".parse().unwrap() },
    };
    let (mut table, mut one, mut two) = (table(), lease(1), lease(2));
    let mut engine = EngineModel::new(EngineSpec::default());
    drive(&mut one, &mut table, seconds(0));
    let checked_before_the_pause = one.fencing(seconds(1), FLIGHT).unwrap();
    for n in 1..61 {
        drive(&mut two, &mut table, seconds(n));
    }
    let successor = two.fencing(seconds(60), FLIGHT).unwrap();
    engine.order(seconds(60), order(successor.0)).unwrap();
    assert!(engine.order(seconds(61), order(checked_before_the_pause.0)).is_err());
}

/// An order sent within the lease arrives before a successor may act, even without checked fencing tokens.
#[test]
fn an_order_in_flight_arrives_before_the_successor_acts() {
    let (mut table, mut one, mut two) = (table(), lease(1), lease(2));
    drive(&mut one, &mut table, seconds(0));
    let mut last_arrival = seconds(0);
    let mut successor_start = None;
    for n in 1..60 {
        // The holder cannot renew the lease any more, and sends orders for as long as it is valid.
        if one.fencing(seconds(n), FLIGHT).is_some() {
            last_arrival = seconds(n) + FLIGHT;
        }
        drive(&mut two, &mut table, seconds(n));
        if successor_start.is_none() && two.fencing(seconds(n), FLIGHT).is_some() {
            successor_start = Some(seconds(n));
        }
    }
    assert!(last_arrival < successor_start.unwrap());
}

/// With three instances, random pauses, rejected calls and lost replies there are never two holders, and
/// fencing tokens never decrease.
fn has_one_holder(schedule: Vec<(u8, u8, u8)>) -> TestResult {
    let mut table = table();
    let mut leases = [lease(1), lease(2), lease(3)];
    let mut highest = FencingToken(0);
    let mut now = seconds(0);
    for (who, wait, fault) in schedule {
        now = now + Duration::from_millis(u64::from(wait) * 40);
        table.faults = match fault % 5 {
            0 => TableFaults { lose_answers: 1, ..TableFaults::default() },
            1 => TableFaults { lose_commits: 1, ..TableFaults::default() },
            2 => TableFaults { outage: true, ..TableFaults::default() },
            _ => TableFaults::default(),
        };
        drive(&mut leases[usize::from(who) % 3], &mut table, now);
        let held = leases.iter().filter_map(|l| l.fencing(now, Duration::ZERO));
        let held: Vec<FencingToken> = held.collect();
        if held.len() > 1 || held.first().is_some_and(|f| *f < highest) {
            return TestResult::failed();
        }
        highest = highest.max(held.first().copied().unwrap_or_default());
    }
    TestResult::passed()
}

#[test]
fn there_are_never_two_holders() {
    let seeded = Gen::from_size_and_seed(200, 7);
    let property = has_one_holder as fn(Vec<(u8, u8, u8)>) -> TestResult;
    QuickCheck::new().tests(500).rng(seeded).quickcheck(property);
}
