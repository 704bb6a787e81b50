//! A burst of callers at instances that have just started, whose load tables are empty and which do
//! not hear each other at first. This is the situation after all instances were lost: disconnected
//! callers return within a tenth of a second.
//!
//! Runs in virtual time. Once instances hear each other, they report placements with a delay of
//! `MESSAGE_DELAY`.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ringbend_gateway::{
    Demand, Placement, PlacementGoal, SpreadOrder, Work, WorkId, place_on_engines, stake,
};
use ringbend_types::{EndpointId, Timestamp};
use support::{Scene, at, ms, profile};

/// Delay of a message between instances, including the processing time of sender and receiver.
const MESSAGE_DELAY: Duration = ms(2);

/// A short prompt; an engine of the test profile reads it in 21 ms.
const SHORT_PROMPT: Demand = Demand { prompt_tokens: 5_000, answer_tokens: 1_000 };

/// The target latency of its first event.
const SHORT_PROMPT_TARGET: Duration = ms(300);

/// A placement on its way to the other instances.
struct PlacedMessage {
    at: Timestamp,
    from: usize,
    id: WorkId,
    work: Work,
}

/// Instances that start together and share the same engines.
struct Fleet {
    instances: Vec<Scene>,
    /// When instances start to hear each other.
    heard_from: Timestamp,
    in_transit: Vec<PlacedMessage>,
    rng: ChaCha8Rng,
    sequence: u64,
}

impl Fleet {
    fn new(instances: usize, engines: usize, heard_from: Timestamp, seed: u64) -> Self {
        Self {
            instances: (0..instances).map(|_| Scene::new(engines)).collect(),
            heard_from,
            in_transit: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
        }
    }

    /// Delivers the messages that have arrived by `now`. Earlier placements are reported when
    /// instances greet each other.
    fn deliver(&mut self, now: Timestamp) {
        let due = |message: &PlacedMessage| message.at.max(self.heard_from) + MESSAGE_DELAY <= now;
        let (due, rest): (Vec<PlacedMessage>, Vec<PlacedMessage>) =
            self.in_transit.drain(..).partition(due);
        self.in_transit = rest;
        for message in due {
            let others =
                self.instances.iter_mut().enumerate().filter(|(at, _)| *at != message.from);
            others.for_each(|(_, scene)| scene.load.place(now, message.id, message.work.clone()));
        }
    }

    fn arrive(&mut self, now: Timestamp, demand: Demand, target_latency: Duration) -> Placement {
        self.deliver(now);
        let from = self.rng.random_range(0..self.instances.len());
        let seed_if_alone = (now < self.heard_from).then(|| self.rng.random());
        let scene = &mut self.instances[from];
        (scene.now, scene.spread) = (now, seed_if_alone.map(SpreadOrder::Random));
        scene.load.advance(now);
        let goal = PlacementGoal { demand, first_in: target_latency, gap: ms(250) };
        let placement =
            place_on_engines(scene.view(), &profile(), &scene.candidates(), &goal).unwrap();
        self.sequence += 1;
        let id = WorkId { instance: from as u64, sequence: self.sequence };
        let work = work(scene, demand, target_latency, &placement);
        scene.load.place(now, id, work.clone());
        self.in_transit.push(PlacedMessage { at: now, from, id, work });
        placement
    }
}

fn work(scene: &Scene, demand: Demand, target_latency: Duration, placement: &Placement) -> Work {
    Work {
        lead: placement.lead.clone(),
        helpers: placement.helpers.clone(),
        part: placement.part,
        memory_tokens: demand.prompt_tokens + demand.answer_tokens,
        held: placement.held.clone(),
        gap: ms(250),
        first_by: scene.now + target_latency,
        stake: stake(&scene.weights, demand.prompt_tokens),
        until: scene.now + ms(10_000),
        long: false,
        suspects: Default::default(),
    }
}

/// The numbers of instances, engines and callers.
#[derive(Debug, Clone, Copy)]
struct Burst {
    instances: usize,
    engines: usize,
    callers: u32,
}

const SMALL: Burst = Burst { instances: 9, engines: 18, callers: 100 };

const LARGE: Burst = Burst { instances: 76, engines: 60, callers: 400 };

/// The time within which all callers arrive.
const ARRIVAL_TIME: Duration = ms(100);

/// The maximum number of short prompts on one engine, over eight seeds.
fn most_on_one_engine(burst: Burst, heard_from: Timestamp) -> u32 {
    let of_seed = |seed| {
        let mut fleet = Fleet::new(burst.instances, burst.engines, heard_from, seed);
        let mut counts = BTreeMap::<EndpointId, u32>::new();
        for n in 0..burst.callers {
            let now = at(1) + ARRIVAL_TIME * n / burst.callers;
            let placement = fleet.arrive(now, SHORT_PROMPT, SHORT_PROMPT_TARGET);
            *counts.entry(placement.lead).or_default() += 1;
        }
        counts.into_values().max().unwrap_or(0)
    };
    (0..8).map(of_seed).max().unwrap_or(0)
}

/// The mean is 5.6 of 100 callers and 6.7 of 400 per engine. The instances of the large burst place
/// about five requests each: by chance alone one engine of sixty gets more than twice the mean.
#[test]
fn a_burst_at_instances_that_do_not_hear_each_other_spreads_over_the_engines() {
    let never = at(60_000);
    let most = [SMALL, LARGE].map(|burst| most_on_one_engine(burst, never));
    assert!(most[0] <= 11 && most[1] <= 14, "{most:?}");
}

/// The prompt needs 17 s of prefill on a single engine.
#[test]
fn an_instance_that_hears_no_other_splits_a_long_prompt_among_idle_engines() {
    let mut fleet = Fleet::new(1, 18, at(60_000), 1);
    let demand = Demand { prompt_tokens: 500_000, answer_tokens: 500 };
    let placement = fleet.arrive(at(1), demand, ms(3_000));
    assert!(placement.helpers.len() >= 5, "{} helpers", placement.helpers.len());
}

/// An engine reads 14 short prompts within the target latency.
#[test]
fn a_burst_that_arrives_as_instances_start_to_hear_each_other_fits_the_engines() {
    let most = [SMALL, LARGE].map(|burst| most_on_one_engine(burst, at(30)));
    assert!(most[0] <= 12 && most[1] <= 13, "{most:?}");
}
