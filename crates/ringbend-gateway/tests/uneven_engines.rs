//! A burst of short prompts on engines of different speed, with few free slots or with little
//! memory: no engine gets more than its share of the capacity while others have room. Guards
//! against requests that wait on one engine while others are idle.

mod support;

use std::collections::BTreeMap;

use ringbend_gateway::{
    Demand, EngineProfile, Pace, Placement, PlacementGoal, Work, WorkId, is_long, place_on_engines,
    stake,
};
use ringbend_types::{EndpointId, Timestamp};
use support::{Scene, at, endpoint, ms, profile, work};

const SLOTS: u32 = 12;

fn engines() -> EngineProfile {
    EngineProfile { slots: SLOTS, ..profile() }
}

fn place(
    scene: &mut Scene,
    sequence: u64,
    now: Timestamp,
    demand: Demand,
    first_in_ms: u64,
) -> Placement {
    scene.now = now;
    scene.load.advance(now);
    let profile = engines();
    let goal = PlacementGoal { demand, first_in: ms(first_in_ms), gap: ms(200) };
    let placement = place_on_engines(scene.view(), &profile, &scene.candidates(), &goal).unwrap();
    let work = Work {
        lead: placement.lead.clone(),
        helpers: placement.helpers.clone(),
        part: placement.part,
        memory_tokens: demand.prompt_tokens + demand.answer_tokens,
        held: placement.held.clone(),
        first_by: now + ms(first_in_ms),
        stake: stake(&scene.weights, demand.prompt_tokens),
        until: at(60_000),
        long: is_long(&scene.weights, &profile, demand),
        ..work(1, ms(1))
    };
    scene.load.place(now, WorkId { instance: 9, sequence }, work);
    placement
}

/// The multiple of the usual time that the work of each engine takes, its free slots and the prompts
/// for which it has memory.
const ENGINES: [(f64, u64, u64); 12] = [
    (1.0, 12, u64::MAX),
    (1.0, 12, u64::MAX),
    (1.0, 12, u64::MAX),
    (1.0, 12, u64::MAX),
    (2.0, 12, u64::MAX),
    (2.0, 12, u64::MAX),
    (5.0, 12, u64::MAX),
    (5.0, 12, u64::MAX),
    (1.0, 3, u64::MAX),
    (1.0, 3, u64::MAX),
    (1.0, 11, 2),
    (1.0, 11, 2),
];

/// Free memory of the last two engines, in tokens, of which a short prompt takes 6,000.
const LITTLE_MEMORY: u64 = 12_500;

/// The part of an engine's memory that placement uses, in tokens.
const USABLE_MEMORY: u64 = 427_500;

const SHORT: Demand = Demand { prompt_tokens: 5_000, answer_tokens: 1_000 };

fn set_paces(scene: &mut Scene, now: Timestamp) {
    for (number, (pace, ..)) in (1..).zip(ENGINES) {
        scene.load.set_pace(now, &endpoint(number).id, Pace::new(pace));
    }
}

/// An engine in use decodes for as many requests as it has no free slots, one of which uses the
/// memory that is not free.
fn uneven_scene() -> Scene {
    let mut scene = Scene { avoids_full_memory: true, ..Scene::new(ENGINES.len()) };
    let mut sequence = 0;
    for (number, (_, free, prompts)) in (1..).zip(ENGINES) {
        for _ in free..u64::from(SLOTS) {
            sequence += 1;
            let id = WorkId { instance: 1, sequence };
            let is_large = prompts != u64::MAX;
            let memory_tokens = if is_large { USABLE_MEMORY - LITTLE_MEMORY } else { 5_000 };
            let running =
                Work { memory_tokens, long: is_large, until: at(60_000), ..work(number, ms(0)) };
            scene.load.place(at(0), id, running);
            scene.load.first_event(id);
        }
    }
    scene
}

/// Places short prompts at equal intervals. Returns their number on each engine.
fn burst(scene: &mut Scene, count: u64, span_ms: u64) -> Vec<u64> {
    let mut counts = BTreeMap::<EndpointId, u64>::new();
    for sequence in 0..count {
        let now = at(1 + span_ms * sequence / count);
        set_paces(scene, now);
        *counts.entry(place(scene, sequence, now, SHORT, 300).lead).or_default() += 1;
    }
    let of = |number| counts.get(&endpoint(number).id).copied().unwrap_or_default();
    (1..=ENGINES.len()).map(of).collect()
}

/// The engines' free slots divided by their paces add up to 76, those for which there is memory.
#[test]
fn a_burst_within_the_capacity_gives_no_engine_more_than_its_own() {
    for (count, span_ms) in [(30, 500), (30, 2_000), (60, 500), (60, 2_000)] {
        let counts = burst(&mut uneven_scene(), count, span_ms);
        println!("{count} in {span_ms} ms: {counts:?}");
        for (placed, (pace, slots, prompts)) in counts.iter().zip(ENGINES) {
            let capacity = (slots as f64 / pace).ceil() as u64;
            assert!(*placed <= capacity.min(prompts), "{count} in {span_ms} ms: {counts:?}");
        }
    }
}

/// Slow engines are used beyond their share once the others have no room.
#[test]
fn a_larger_burst_fills_no_engine_beyond_its_slots_and_memory_while_others_have_room() {
    for span_ms in [500, 2_000] {
        let counts = burst(&mut uneven_scene(), 90, span_ms);
        println!("90 in {span_ms} ms: {counts:?}");
        for (placed, (_, slots, prompts)) in counts.iter().zip(ENGINES) {
            assert!(*placed <= slots.min(prompts), "90 in {span_ms} ms: {counts:?}");
        }
    }
}

/// Guards against short prompts that wait for memory on an engine that a long one fills, while
/// others have room: eleven each were placed where there was memory for two. Without overload
/// control that is unchanged.
#[test]
fn without_overload_control_a_burst_fills_engines_beyond_their_memory() {
    let mut scene = Scene { avoids_full_memory: false, ..uneven_scene() };
    let counts = burst(&mut scene, 90, 500);
    println!("90 in 500 ms without overload control: {counts:?}");
    assert_eq!(counts[10..], [11, 11]);
}
