//! Strikes of prompt parts: what is held for them, and how instances agree on it.

use quickcheck::{TestResult, quickcheck};
use ringbend_gateway::{EndedProcess, Quarantine, SuspectState, Suspicion};
use ringbend_types::{EndpointStart, Fingerprint, PromptPartId, Timestamp};

type Part = (Fingerprint, PromptPartId);

fn part(number: u8) -> Part {
    (Fingerprint::from_digest(&[number; 32]), PromptPartId(number.into()))
}

fn request(number: u8) -> Fingerprint {
    Fingerprint::from_digest(&[100 + number; 32])
}

fn process(number: u64) -> EndedProcess {
    let endpoint = format!("i-{number}").parse().unwrap();
    EndedProcess { endpoint, start: Some(EndpointStart(number)) }
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

/// A process ends under a request with these parts. Its run began when all earlier strikes were known.
fn crash(quarantine: &mut Quarantine, number: u64, own: u8, parts: &[u8]) {
    for part in parts.iter().map(|number| part(*number)) {
        let before = quarantine.strikes(part.0);
        quarantine.strike_part(at(number), part, process(number), before);
    }
    let before = quarantine.strikes(request(own));
    quarantine.strike(at(number), request(own), process(number), before);
}

fn state(quarantine: &Quarantine, own: u8, parts: &[u8]) -> SuspectState {
    let keys = parts.iter().map(|number| part(*number).0).chain([request(own)]);
    quarantine.assess(keys).state
}

#[test]
fn a_part_under_which_three_requests_crashed_engines_is_held_for_all_others() {
    let mut quarantine = Quarantine::default();
    (1..=3).for_each(|number| crash(&mut quarantine, number, number as u8, &[1]));
    assert_eq!(state(&quarantine, 9, &[1]), SuspectState::Held);
    assert_eq!(state(&quarantine, 9, &[2]), SuspectState::Clear);
    assert_eq!((quarantine.held_part_count(), quarantine.held_count()), (1, 0));
}

/// Guards against harmless prompts that are held for parts which one fatal request has.
#[test]
fn the_parts_of_one_request_that_crashes_engines_are_not_held() {
    let mut quarantine = Quarantine::default();
    (1..=3).for_each(|number| crash(&mut quarantine, number, 1, &[1, 2]));
    assert_eq!(state(&quarantine, 1, &[1, 2]), SuspectState::Held);
    assert_eq!(state(&quarantine, 2, &[1, 2]), SuspectState::Suspect(3));
    // Another request crashes an engine as well, so the first one was not the cause.
    crash(&mut quarantine, 4, 2, &[1]);
    assert_eq!(state(&quarantine, 3, &[1]), SuspectState::Held);
    assert_eq!(state(&quarantine, 3, &[2]), SuspectState::Suspect(3));
}

/// Guards against harmless prompts that are held for a part which all fatal ones have beside the fatal part.
#[test]
fn parts_that_cannot_be_told_apart_are_held_only_together() {
    let mut quarantine = Quarantine::default();
    (1..=3).for_each(|number| crash(&mut quarantine, number, number as u8, &[1, 2, 3]));
    assert_eq!(state(&quarantine, 9, &[1, 2, 3]), SuspectState::Held);
    assert_eq!(state(&quarantine, 9, &[1, 2]), SuspectState::Suspect(3));
    // A request with two of them runs well.
    quarantine.clear(at(10), part(1).0);
    quarantine.clear(at(10), part(2).0);
    assert_eq!(state(&quarantine, 9, &[1, 2]), SuspectState::Clear);
    assert_eq!(state(&quarantine, 9, &[3]), SuspectState::Held);
}

#[test]
fn concurrent_crashes_alone_do_not_hold_a_part() {
    let mut quarantine = Quarantine::default();
    for number in 0..20 {
        quarantine.strike_part(at(number), part(1), process(number), 0);
    }
    assert!(matches!(state(&quarantine, 9, &[1]), SuspectState::Suspect(_)));
    quarantine.strike_part(at(30), part(1), process(0), 1);
    assert_eq!(state(&quarantine, 9, &[1]), SuspectState::Held);
}

/// One event at one of three instances: a strike, a run that survives, or a message to another instance.
fn apply_event(instances: &mut [Quarantine; 3], now: Timestamp, event: u8) {
    let of = part(event % 2);
    let one = usize::from(event / 2 % 3);
    match event / 6 % 4 {
        0 | 1 => {
            let before = instances[one].strikes(of.0);
            instances[one].strike_part(now, of, process(u64::from(event / 24)), before);
        }
        2 if event > 200 => {
            instances[one].clear(now, of.0);
        }
        _ => send_all(instances, now, one, (one + 1) % 3),
    }
}

fn records(quarantine: &Quarantine) -> Vec<Suspicion> {
    [0, 1].iter().filter_map(|of| quarantine.get(part(*of).0).cloned()).collect()
}

fn send_all(instances: &mut [Quarantine; 3], now: Timestamp, from: usize, to: usize) {
    for record in records(&instances[from]) {
        instances[to].merge(now, &record);
    }
}

fn after(events: &[u8]) -> [Quarantine; 3] {
    let mut instances: [Quarantine; 3] = Default::default();
    for (number, event) in events.iter().enumerate() {
        apply_event(&mut instances, at(number as u64), *event);
    }
    instances
}

quickcheck! {
    fn instances_that_exchanged_all_records_of_parts_agree(events: Vec<u8>) -> TestResult {
        let mut instances = after(&events);
        for _ in 0..2 {
            (0..3).for_each(|from| (0..3).for_each(|to| send_all(&mut instances, at(9_999), from, to)));
        }
        let known = instances.each_ref().map(records);
        TestResult::from_bool(known[0] == known[1] && known[1] == known[2])
    }

    fn a_repeated_record_of_a_part_changes_nothing(events: Vec<u8>) -> bool {
        let mut instances = after(&events);
        records(&instances[0]).iter().all(|record| !instances[0].merge(at(9_999), record))
    }
}
