//! Load that engines report after a start and that no known instance placed. It guards against
//! placing requests on engines that are full of requests whose callers are gone, and against
//! counting requests twice that were placed since.

mod support;

use ringbend_gateway::{
    Demand, EngineProfile, EngineUsage, HelperMemory, PlacementGoal, ResidualLoad, UsageReport,
    Work, fade_time, place_on_engines,
};
use ringbend_types::Timestamp;
use smallvec::smallvec;
use support::{Scene, at, endpoint, ms, profile, work, work_id};

const FULL: EngineUsage = EngineUsage { requests: 16, memory_tokens: 400_000 };

fn report(usage: EngineUsage, received_ms: u64) -> UsageReport {
    UsageReport { usage, received_at: at(received_ms) }
}

fn lead(scene: &Scene, prompt_tokens: u64) -> ringbend_types::EndpointId {
    let demand = Demand { prompt_tokens, answer_tokens: 1_000 };
    let goal = PlacementGoal { demand, first_in: ms(300), gap: ms(200) };
    place_on_engines(scene.view(), &profile(), &scene.candidates(), &goal).unwrap().lead
}

fn scene_at(now: Timestamp, reported: &[(usize, EngineUsage)]) -> Scene {
    let mut scene = Scene { now, ..Scene::new(3) };
    for (engine, usage) in reported {
        let (id, report) = (endpoint(*engine).id, report(*usage, 1_000));
        scene.load.set_residual(at(1_000), &id, report, fade_time(&profile()));
    }
    scene.load.advance(now);
    scene
}

#[test]
fn residual_load_decreases_to_zero_within_the_fade_time() {
    let usage = EngineUsage { requests: 10, memory_tokens: 1_000 };
    let load = ResidualLoad::new(report(usage, 1_000), EngineUsage::default(), ms(2_000)).unwrap();
    // The values are 0.2 s old when the report arrives.
    assert!((load.requests(at(1_000)) - 9.0).abs() < 1e-9);
    assert!((load.requests(at(1_800)) - 5.0).abs() < 1e-9);
    assert_eq!(load.memory_tokens(at(1_800)), 500);
    assert!(!load.is_over(at(2_790)) && load.is_over(at(2_800)));
}

#[test]
fn a_short_prompt_avoids_an_engine_that_is_full_until_its_load_has_faded() {
    let full = [(1, FULL), (2, FULL)];
    assert_eq!(lead(&scene_at(at(1_000), &full), 3_000), endpoint(3).id);
    assert_eq!(lead(&scene_at(at(3_000), &full), 3_000), endpoint(1).id);
}

#[test]
fn a_prompt_avoids_an_engine_whose_memory_is_in_use() {
    let used = EngineUsage { requests: 1, memory_tokens: 440_000 };
    assert_eq!(lead(&scene_at(at(1_000), &[(1, used)]), 50_000), endpoint(2).id);
}

/// The report covers work placed a tenth of a second before it arrived, as its values are older.
#[test]
fn work_placed_by_known_instances_is_not_counted_twice() {
    let mut scene = Scene::new(1);
    let id = endpoint(1).id;
    let small = Work { memory_tokens: 6_000, ..work(1, ms(1)) };
    scene.load.place(at(500), work_id(1), small.clone());
    scene.load.place(at(890), work_id(2), small.clone());
    scene.load.place(at(950), work_id(3), small);
    let usage = EngineUsage { requests: 6, memory_tokens: 40_000 };
    let found = scene.load.set_residual(at(1_000), &id, report(usage, 1_000), ms(2_000));
    assert_eq!(found, 4, "two of six are known, and a tenth of the others has ended");
    let load = scene.load.of(&id);
    assert!((load.sequences() - (3.0 + 4.0 * 0.9)).abs() < 1e-9, "{}", load.sequences());
    assert_eq!(load.memory_tokens(), 18_000 + 25_200);
}

#[test]
fn memory_held_for_prompts_that_others_lead_is_not_counted_twice() {
    let mut scene = Scene::new(2);
    let held = HelperMemory { endpoint: endpoint(1).id, tokens: 30_000 };
    let split =
        Work { helpers: smallvec![endpoint(1).id], held: smallvec![held], ..work(2, ms(1)) };
    scene.load.place(at(500), work_id(1), split);
    let usage = EngineUsage { requests: 0, memory_tokens: 50_000 };
    let id = endpoint(1).id;
    scene.load.set_residual(at(1_000), &id, report(usage, 1_000), ms(2_000));
    assert_eq!(scene.load.of(&id).memory_tokens(), 30_000 + 18_000);
}

#[test]
fn an_engine_that_runs_only_known_work_has_no_residual_load() {
    let mut scene = Scene::new(1);
    scene.load.place(at(500), work_id(1), work(1, ms(1)));
    let usage = EngineUsage { requests: 1, memory_tokens: 4_000 };
    let id = endpoint(1).id;
    assert_eq!(scene.load.set_residual(at(1_000), &id, report(usage, 1_000), ms(2_000)), 0);
    assert_eq!(scene.load.of(&id).residual_requests(), 0.0);
}

/// Guards against load that is dropped by the sweep of idle endpoints before it has faded.
#[test]
fn residual_load_survives_the_sweep_and_ends_with_the_process() {
    let mut scene = scene_at(at(1_000), &[(1, FULL)]);
    scene.load.place(at(1_600), work_id(1), work(2, ms(1)));
    scene.load.advance(at(1_600));
    assert!(scene.load.of(&endpoint(1).id).residual_requests() > 5.0);
    scene.load.remove_endpoint(at(1_600), &endpoint(1).id);
    assert_eq!(scene.load.of(&endpoint(1).id).residual_requests(), 0.0);
}

#[test]
fn the_fade_time_is_the_duration_of_a_usual_response_and_bounded() {
    let usual = fade_time(&profile());
    assert!((ms(1_650)..ms(1_750)).contains(&usual), "{usual:?}");
    for step_ms in [1e9, f64::INFINITY, f64::NAN, -1.0] {
        let fade = fade_time(&EngineProfile { step_ms, ..profile() });
        assert!(fade <= ms(10_000), "{fade:?}");
    }
}
