//! Requests are placed so that they are on time although some engines are slower than configured.
//!
//! Scenario: a quarter of the engines take six times as long for six seconds. They look no busier
//! than others, so each short prompt placed there is late and stays, and long prompts wait for the
//! part that a slow engine reads. Basis of the numbers: a pass of these engines takes 43 ms, so a
//! short prompt that is expected after 0.1 s takes 0.6 s on a slow one, with a target latency of
//! 0.3 s.

mod support;

use std::time::Duration;

use ringbend_gateway::{
    Demand, Pace, PaceQueries, Placement, PlacementGoal, overdue_after, place_on_engines,
};
use support::{Scene, at, endpoint, ms, profile, work, work_id};

const SLOW: f64 = 6.0;

fn place(scene: &Scene, prompt_tokens: u64, first_in_ms: u64) -> Placement {
    let demand = Demand { prompt_tokens, answer_tokens: 1_000 };
    let goal = PlacementGoal { demand, first_in: ms(first_in_ms), gap: ms(200) };
    place_on_engines(scene.view(), &profile(), &scene.candidates(), &goal).unwrap()
}

fn slow_down(scene: &mut Scene, engines: std::ops::RangeInclusive<usize>) {
    for engine in engines {
        scene.load.set_pace(at(0), &endpoint(engine).id, Pace::new(SLOW));
    }
}

fn is_slow(id: &ringbend_types::EndpointId) -> bool {
    (1..=3).any(|engine| endpoint(engine).id == *id)
}

#[test]
fn a_short_prompt_is_placed_on_an_engine_that_is_on_time() {
    let mut scene = Scene::new(12);
    assert!(is_slow(&place(&scene, 3_000, 300).lead), "ties go to the first engine");
    slow_down(&mut scene, 1..=3);
    assert!(!is_slow(&place(&scene, 3_000, 300).lead));
}

#[test]
fn slow_engines_read_no_part_of_a_long_prompt_while_others_do() {
    let mut scene = Scene::new(12);
    slow_down(&mut scene, 1..=3);
    let placement = place(&scene, 210_000, 3_000);
    assert!(placement.helpers.len() >= 5, "{placement:?}");
    let mut engines = placement.helpers.iter().chain([&placement.lead]);
    assert!(!engines.any(is_slow), "{placement:?}");
}

#[test]
fn the_expected_time_on_a_slow_engine_includes_its_pace() {
    let mut scene = Scene::new(1);
    let usual = place(&scene, 3_000, 300).first_ms;
    slow_down(&mut scene, 1..=1);
    let slowed = place(&scene, 3_000, 300).first_ms;
    assert!((slowed / usual - SLOW).abs() < 0.01, "{slowed} of {usual}");
}

#[test]
fn a_slow_engine_takes_longer_to_read_its_backlog() {
    let mut scene = Scene::new(2);
    for engine in 1..=2 {
        scene.load.place(at(0), work_id(engine), work(engine as usize, ms(600)));
    }
    slow_down(&mut scene, 1..=1);
    scene.load.advance(at(500));
    let left = |engine: usize| scene.load.of(&endpoint(engine).id).backlog();
    assert!(left(1) > ms(500) && left(2) < ms(200), "{:?}, {:?}", left(1), left(2));
}

/// Guards against reserving a slow engine for short prompts. Streams take long on it, so counting
/// them would reserve it instead of the engine that now receives the short prompts, and a long
/// prompt would be read there.
#[test]
fn a_slow_engine_is_not_reserved_for_short_prompts_instead_of_another() {
    let mut scene = Scene::new(3);
    for (engine, count) in [(1, 10), (2, 3)] {
        for n in 0..count {
            let id = work_id(engine * 100 + n);
            scene.load.place(at(0), id, work(engine as usize, ms(1)));
            scene.load.first_event(id);
        }
    }
    slow_down(&mut scene, 1..=1);
    let placement = place(&scene, 210_000, 1_500);
    let engines: Vec<_> = placement.helpers.iter().chain([&placement.lead]).collect();
    assert!(!engines.contains(&&endpoint(2).id), "{placement:?}");
}

#[test]
fn an_engine_that_reports_its_usual_pace_gets_work_again() {
    let mut scene = Scene::new(12);
    slow_down(&mut scene, 1..=3);
    scene.load.set_pace(at(100), &endpoint(1).id, Pace::USUAL);
    assert_eq!(place(&scene, 3_000, 300).lead, endpoint(1).id);
}

#[test]
fn a_pace_that_is_not_reported_again_expires_after_some_seconds() {
    let mut scene = Scene::new(2);
    slow_down(&mut scene, 1..=1);
    let pace_at = |scene: &mut Scene, time| {
        scene.load.advance(at(time));
        scene.load.of(&endpoint(1).id).pace()
    };
    assert!(pace_at(&mut scene, 2_900).is_slow());
    assert_eq!(pace_at(&mut scene, 3_100), Pace::USUAL);
}

#[test]
fn invalid_factors_are_the_usual_pace() {
    for factor in [f64::NAN, f64::INFINITY, f64::NEG_INFINITY, -3.0, 0.0, 0.2] {
        assert_eq!(Pace::new(factor), Pace::USUAL, "{factor}");
    }
    assert_eq!(Pace::from_percent(Pace::new(4.2).percent()), Pace::new(4.2));
}

#[test]
fn an_engine_suspected_by_many_is_queried_once() {
    let mut queries = PaceQueries::default();
    let asked = (0..600).filter(|time| queries.begin(at(*time), &endpoint(1).id, false)).count();
    assert_eq!(asked, 1);
    assert!(
        queries.begin(at(601), &endpoint(2).id, false)
            && queries.begin(at(800), &endpoint(1).id, false)
    );
}

#[test]
fn an_event_is_overdue_well_after_it_was_expected() {
    assert_eq!(overdue_after(ms(100)), ms(220));
    assert_eq!(overdue_after(Duration::from_secs(1)), Duration::from_secs(2));
}
