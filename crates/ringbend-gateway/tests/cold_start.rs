//! A crowd of callers at instances that have just started: their books are empty, and at first they
//! do not hear each other. Answers the seconds after all instances were lost: whoever was cut comes
//! back within a tenth of a second.
//!
//! Virtual time; instances tell each other of placements after `TRIP`, once they hear each other.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ringbend_gateway::{Demand, Placement, PlacementGoal, Work, WorkId, place_on_engines, stake};
use ringbend_types::{EndpointId, Timestamp};
use support::{Scene, at, ms, profile};

/// One way between instances, with the sender's and the receiver's turn.
const TRIP: Duration = ms(2);

/// A quick question; an engine of the test's profile reads it in 21 ms.
const QUICK: Demand = Demand { prompt_tokens: 5_000, answer_tokens: 1_000 };

/// When its first event is due.
const QUICK_AIM: Duration = ms(300);

/// A prompt that was placed, on its way to the other instances.
struct Told {
    at: Timestamp,
    from: usize,
    id: WorkId,
    work: Work,
}

/// Instances that start together before the same engines.
struct Start {
    instances: Vec<Scene>,
    /// From when on instances hear each other.
    heard_from: Timestamp,
    told: Vec<Told>,
    rng: ChaCha8Rng,
    sequence: u64,
}

impl Start {
    fn new(instances: usize, engines: usize, heard_from: Timestamp, seed: u64) -> Self {
        Self {
            instances: (0..instances).map(|_| Scene::new(engines)).collect(),
            heard_from,
            told: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            sequence: 0,
        }
    }

    /// Delivers what has arrived by `now`. What was placed before instances heard each other is told
    /// when they greet.
    fn deliver(&mut self, now: Timestamp) {
        let due = |told: &Told| told.at.max(self.heard_from) + TRIP <= now;
        let (due, rest): (Vec<Told>, Vec<Told>) = self.told.drain(..).partition(due);
        self.told = rest;
        for told in due {
            let others = self.instances.iter_mut().enumerate().filter(|(at, _)| *at != told.from);
            others.for_each(|(_, scene)| scene.load.place(now, told.id, told.work.clone()));
        }
    }

    fn arrive(&mut self, now: Timestamp, demand: Demand, aim: Duration) -> Placement {
        self.deliver(now);
        let from = self.rng.random_range(0..self.instances.len());
        let alone = (now < self.heard_from).then(|| self.rng.random());
        let scene = &mut self.instances[from];
        (scene.now, scene.spread_seed) = (now, alone);
        scene.load.advance(now);
        let goal = PlacementGoal { demand, first_in: aim, gap: ms(250) };
        let placement =
            place_on_engines(scene.view(), &profile(), &scene.candidates(), &goal).unwrap();
        self.sequence += 1;
        let id = WorkId { instance: from as u64, sequence: self.sequence };
        let work = work(scene, demand, aim, &placement);
        scene.load.place(now, id, work.clone());
        self.told.push(Told { at: now, from, id, work });
        placement
    }
}

fn work(scene: &Scene, demand: Demand, aim: Duration, placement: &Placement) -> Work {
    Work {
        lead: placement.lead.clone(),
        helpers: placement.helpers.clone(),
        part: placement.part,
        memory_tokens: demand.prompt_tokens + demand.answer_tokens,
        held: placement.held.clone(),
        gap: ms(250),
        first_by: scene.now + aim,
        stake: stake(&scene.weights, demand.prompt_tokens),
        until: scene.now + ms(10_000),
        long: false,
        suspect: None,
    }
}

/// Who meets: so many instances, engines and callers.
#[derive(Debug, Clone, Copy)]
struct Crowd {
    instances: usize,
    engines: usize,
    callers: u32,
}

const SMALL: Crowd = Crowd { instances: 9, engines: 18, callers: 100 };

const LARGE: Crowd = Crowd { instances: 76, engines: 60, callers: 400 };

/// How long a crowd takes to arrive.
const ARRIVES_IN: Duration = ms(100);

/// The most quick questions that one engine got, over eight seeds.
fn most_on_one_engine(crowd: Crowd, heard_from: Timestamp) -> u32 {
    let of_seed = |seed| {
        let mut start = Start::new(crowd.instances, crowd.engines, heard_from, seed);
        let mut counts = BTreeMap::<EndpointId, u32>::new();
        for n in 0..crowd.callers {
            let now = at(1) + ARRIVES_IN * n / crowd.callers;
            let placement = start.arrive(now, QUICK, QUICK_AIM);
            *counts.entry(placement.lead).or_default() += 1;
        }
        counts.into_values().max().unwrap_or(0)
    };
    (0..8).map(of_seed).max().unwrap_or(0)
}

/// The mean is 5.6 of 100 and 6.7 of 400. The many instances place five requests each: by chance
/// alone one engine of sixty gets more than twice the mean.
#[test]
fn a_crowd_at_instances_that_do_not_hear_each_other_spreads_over_the_engines() {
    let never = at(60_000);
    let most = [SMALL, LARGE].map(|crowd| most_on_one_engine(crowd, never));
    assert!(most[0] <= 11 && most[1] <= 14, "{most:?}");
}

/// On one engine a prompt of 17 s of reading takes as long.
#[test]
fn an_instance_that_hears_no_other_splits_a_long_prompt_among_idle_engines() {
    let mut start = Start::new(1, 18, at(60_000), 1);
    let demand = Demand { prompt_tokens: 500_000, answer_tokens: 500 };
    let placement = start.arrive(at(1), demand, ms(3_000));
    assert!(placement.helpers.len() >= 5, "{} helpers", placement.helpers.len());
}

/// An engine reads 14 of them within the aim.
#[test]
fn a_crowd_that_arrives_as_instances_begin_to_hear_each_other_fits_the_engines() {
    let most = [SMALL, LARGE].map(|crowd| most_on_one_engine(crowd, at(30)));
    assert!(most[0] <= 12 && most[1] <= 13, "{most:?}");
}
