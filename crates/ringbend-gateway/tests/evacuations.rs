//! The replicated set of evacuated data centres.

mod support;

use quickcheck::{TestResult, quickcheck};
use ringbend_gateway::{Directory, EndpointChange, EvacuationChange, Evacuations};
use ringbend_types::{Cursor, DataCentre};
use support::{at, endpoint, service};

fn centre(number: u8) -> DataCentre {
    format!("z{}", number % 4).parse().unwrap()
}

fn change(number: u8, starts: bool) -> EvacuationChange {
    if starts {
        EvacuationChange::Started(centre(number))
    } else {
        EvacuationChange::Ended(centre(number))
    }
}

#[test]
fn endpoints_of_an_evacuated_data_centre_are_no_candidates() {
    let mut directory = Directory::default();
    directory.apply(at(0), EndpointChange::Present(endpoint(1)));
    let evacuated = Evacuations::new(Cursor::new(0, 7), [endpoint(1).data_centre]);
    assert!(directory.merge_evacuations(evacuated.clone()));
    assert!(!directory.merge_evacuations(evacuated));
    assert!(directory.is_evacuated(&endpoint(1)));
    assert_eq!(directory.of_service(at(0), &service("engines")).count(), 0);
    assert!(directory.merge_evacuations(Evacuations::new(Cursor::new(0, 8), [])));
    assert_eq!(directory.of_service(at(0), &service("engines")).count(), 1);
}

#[test]
fn older_copy_does_not_replace_a_later_one() {
    let mut known = Evacuations::new(Cursor::new(0, 9), [centre(1)]);
    assert!(!known.merge(Evacuations::new(Cursor::new(0, 8), [])));
    assert!(!known.merge(Evacuations::new(Cursor::new(0, 9), [])));
    assert!(known.contains(&centre(1)));
}

quickcheck! {
    /// Copies of the history's states, delivered in any order and any number of times, end in the
    /// latest one.
    fn copies_converge_whatever_the_order(history: Vec<(u8, bool)>, order: Vec<usize>) -> TestResult {
        if history.is_empty() {
            return TestResult::discard();
        }
        let mut states = vec![Evacuations::default()];
        for (position, (number, starts)) in (1..).zip(&history) {
            let next = states.last().unwrap().with_changes(Cursor::new(0, position), [change(*number, *starts)]);
            states.push(next);
        }
        let latest = states.last().unwrap().clone();
        let mut copy = Evacuations::default();
        for index in order {
            copy.merge(states[index % states.len()].clone());
        }
        copy.merge(latest.clone());
        TestResult::from_bool(copy == latest)
    }

    /// A reader may be behind the copy that it has received: it then applies some changes twice.
    fn changes_that_are_applied_twice_end_in_the_same_state(history: Vec<(u8, bool)>, known: usize, from: usize) -> TestResult {
        if history.is_empty() {
            return TestResult::discard();
        }
        let all = |upto: usize| history[..upto].iter().map(|(number, starts)| change(*number, *starts));
        let known = known % (history.len() + 1);
        let from = from % (known + 1);
        let before = Evacuations::default().with_changes(Cursor::new(0, known as u64), all(known));
        let last = history.len();
        let after = before.with_changes(Cursor::new(0, last as u64), all(last).skip(from));
        TestResult::from_bool(after == Evacuations::default().with_changes(Cursor::new(0, last as u64), all(last)))
    }
}
