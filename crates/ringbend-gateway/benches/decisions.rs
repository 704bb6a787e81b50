//! Cost of one decision by the number of engines: `cargo bench -p ringbend-gateway`.
//!
//! Half of the engines are reserved for short prompts and decode for six each; a tenth of the
//! others read a long one. 30 and 150 engines are sizes of current fleets, 850 is that of a planned
//! one.

#![allow(missing_docs)]

#[path = "../tests/support/mod.rs"]
mod support;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ringbend_gateway::{
    Demand, PlacementGoal, QueuedPrompt, WaitingPrompt, Work, decide_turn, place_on_engines,
};
use support::{Scene, at, endpoint, ms, profile, service, work, work_id};

/// The number of engines of a service.
const ENGINES: [usize; 3] = [30, 150, 850];

/// Decoding requests per engine on half of the engines.
const DECODING_REQUESTS: usize = 6;

/// The number of waiting long prompts.
const WAITING: u64 = 8;

fn busy(engines: usize) -> Scene {
    let mut scene = Scene::new(engines);
    for engine in 1..=engines / 2 {
        for request in 0..DECODING_REQUESTS {
            let id = work_id((engine * 100 + request) as u64);
            scene.load.place(at(0), id, work(engine, ms(10)));
            scene.load.first_event(id);
        }
    }
    for engine in (engines / 2 + 1..engines).step_by(10) {
        let helpers = [endpoint(engine + 1).id].into_iter().collect();
        let long = Work { helpers, long: true, ..work(engine, ms(600)) };
        scene.load.place(at(0), work_id(1_000_000 + engine as u64), long);
    }
    for number in 0..WAITING {
        let waiting = WaitingPrompt {
            service: service("engines"),
            read_time: ms(5_000),
            since: at(0),
            first_by: at(4_000 + number),
            until: at(16_000),
            priority: 1,
            account: None,
        };
        scene.load.add_waiting(work_id(2_000_000 + number), waiting);
    }
    scene.load.advance(at(1));
    scene.now = at(1);
    scene
}

fn goal(prompt_tokens: u64) -> PlacementGoal {
    let demand = Demand { prompt_tokens, answer_tokens: 500 };
    PlacementGoal { demand, first_in: ms(1_500), gap: ms(500) }
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("decisions");
    for engines in ENGINES {
        let scene = busy(engines);
        let (candidates, profile) = (scene.candidates(), profile());
        let mut place = |name, tokens| {
            group.bench_function(BenchmarkId::new(name, engines), |b| {
                b.iter(|| place_on_engines(scene.view(), &profile, &candidates, &goal(tokens)));
            });
        };
        place("a short prompt", 5_000);
        place("a prompt of 45,000 tokens", 45_000);
        place("a prompt of 300,000 tokens", 300_000);
        let queued =
            QueuedPrompt { id: work_id(2_000_000), passed_over_for: ms(0), goal: goal(300_000) };
        group.bench_function(BenchmarkId::new("the turn of a waiting prompt", engines), |b| {
            b.iter(|| decide_turn(scene.view(), &profile, &candidates, &queued));
        });
    }
    group.finish();
}

criterion_group!(benches, decisions);
criterion_main!(benches);
