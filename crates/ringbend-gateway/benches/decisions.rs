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
    Capacity, Demand, OverloadConfig, OverloadQueue, PlacementGoal, QueuedPrompt, WaitingPrompt,
    WaitingRequest, Work, decide_turn, place_on_engines, startable,
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
        let demand = Demand { prompt_tokens: 5_000, answer_tokens: 500 };
        group.bench_function(BenchmarkId::new("the capacity for short prompts", engines), |b| {
            b.iter(|| startable(scene.view(), &profile, &candidates, demand));
        });
        group.bench_function(BenchmarkId::new("the turn of a waiting prompt", engines), |b| {
            b.iter(|| decide_turn(scene.view(), &profile, &candidates, &queued));
        });
    }
    group.finish();
}

/// Numbers of short prompts that wait under overload: a third of a second's starts of 45 and 850
/// engines, and two seconds' starts of 850.
const SHORT_PROMPTS: [u64; 3] = [100, 2_000, 12_000];

/// The number of client accounts.
const ACCOUNTS: u64 = 24;

fn overload(c: &mut Criterion) {
    let mut group = c.benchmark_group("overload");
    for waiting in SHORT_PROMPTS {
        let request = |number: u64| WaitingRequest {
            id: work_id(number),
            fingerprint: None,
            account: Some(format!("account-{}", number % ACCOUNTS).parse().unwrap()),
            priority: (number % 3) as u8,
            since: at(0),
            first_by: at(300) + std::time::Duration::from_micros(number),
            until: at(2_000),
            deadline: at(10_000),
            work: ms(1_700),
            begin: ms(100),
        };
        let (full, free) =
            (Capacity { free: 0, slots: 10_200 }, Capacity { free: 1, slots: 10_200 });
        let mut queue = OverloadQueue::new(OverloadConfig::default(), 1);
        for number in 0..waiting {
            queue.push(at(0), request(number), full);
        }
        let mut next = waiting;
        let name = BenchmarkId::new("a short prompt enters and one starts", waiting);
        group.bench_function(name, |b| {
            b.iter(|| {
                next += 1;
                queue.push(at(1), request(next), full);
                queue.next(at(1), free)
            });
        });
    }
    group.finish();
}

criterion_group!(benches, decisions, overload);
criterion_main!(benches);
