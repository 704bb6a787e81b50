//! The spread of requests over engines by instances that do not know of each other yet. Guards
//! against engines that get several times the mean load in the first half second after a start of
//! all instances, when no instance knows what others place.

mod support;

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ringbend_gateway::{
    Demand, PlacementGoal, SpreadOrder, SpreadSequence, WorkId, place_on_engines,
};
use ringbend_types::EndpointId;
use support::{Scene, at, ms, profile, work};

const REQUESTS: u64 = 600;

const ARRIVAL_MS: u64 = 500;

const DATA_CENTRES: [&str; 3] = ["z1", "z2", "z3"];

const SEEDS: u64 = 8;

/// How the instances choose the order of engines.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Rule {
    /// A random order for each request.
    RandomOrder,
    /// Places on the ring, where the instances of a data centre are numbered.
    NumberedNames,
    /// Places on the ring, where names are unrelated.
    UnrelatedNames,
}

struct Fleet {
    instances: Vec<(Scene, SpreadSequence)>,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn new(instances: usize, engines: usize, rule: Rule, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let instance = |number: usize| {
            let mut scene = Scene::new(engines);
            scene.home = DATA_CENTRES[number % 3].parse().unwrap();
            for (at, engine) in scene.fleet.iter_mut().enumerate() {
                engine.data_centre = DATA_CENTRES[at % 3].parse().unwrap();
            }
            let name = match rule {
                Rule::UnrelatedNames => format!("edge-{:08x}", rng.random::<u32>()),
                _ => format!("edge-{seed}-{}-{}", scene.home, number / 3),
            };
            (scene, SpreadSequence::new(&name))
        };
        Self { instances: (0..instances).map(instance).collect(), rng }
    }

    fn place(&mut self, rule: Rule, sequence: u64) -> EndpointId {
        let from = self.rng.random_range(0..self.instances.len());
        let (scene, places) = &mut self.instances[from];
        scene.now = at(1 + ARRIVAL_MS * sequence / REQUESTS);
        scene.spread = Some(match rule {
            Rule::RandomOrder => SpreadOrder::Random(self.rng.random()),
            Rule::NumberedNames | Rule::UnrelatedNames => places.next_order(),
        });
        self.place_at(from, sequence)
    }

    fn place_at(&mut self, from: usize, sequence: u64) -> EndpointId {
        let (scene, _) = &mut self.instances[from];
        scene.load.advance(scene.now);
        let demand = Demand { prompt_tokens: 5_000, answer_tokens: 1_000 };
        let goal = PlacementGoal { demand, first_in: ms(250), gap: ms(250) };
        let placement =
            place_on_engines(scene.view(), &profile(), &scene.candidates(), &goal).unwrap();
        let work = ringbend_gateway::Work {
            lead: placement.lead.clone(),
            part: placement.part,
            until: at(60_000),
            ..work(1, ms(1))
        };
        scene.load.place(scene.now, WorkId { instance: from as u64, sequence }, work);
        placement.lead
    }
}

/// The maximum number of requests on an engine over the mean of all, averaged over the seeds.
fn max_over_mean(instances: usize, engines: usize, rule: Rule) -> f64 {
    let of_seed = |seed| {
        let mut fleet = Fleet::new(instances, engines, rule, seed);
        let mut counts = BTreeMap::<EndpointId, u64>::new();
        for sequence in 0..REQUESTS {
            *counts.entry(fleet.place(rule, sequence)).or_default() += 1;
        }
        let most = counts.into_values().max().unwrap_or(0);
        most as f64 * engines as f64 / REQUESTS as f64
    };
    (0..SEEDS).map(of_seed).sum::<f64>() / SEEDS as f64
}

/// The numbers of instances and engines.
const FLEETS: [(usize, usize); 4] = [(59, 60), (59, 45), (103, 45), (103, 60)];

/// The rest is due to the random arrival of requests at instances: over 32 seeds, the maximum was
/// 1.33 to 1.45 times the mean, and 1.49 to 1.69 times with a random order for each request.
#[test]
fn numbered_instances_spread_requests_more_evenly_than_a_random_order() {
    for (instances, engines) in FLEETS {
        let random = max_over_mean(instances, engines, Rule::RandomOrder);
        let placed = max_over_mean(instances, engines, Rule::NumberedNames);
        println!("{instances} instances, {engines} engines: {placed:.2}, at random {random:.2}");
        assert!(placed < 1.5, "{placed}");
        assert!(placed - 1.0 < 0.85 * (random - 1.0), "{placed} {random}");
    }
}

/// Without numbers there is nothing that instances have in common.
#[test]
fn instances_with_unrelated_names_spread_requests_as_evenly_as_a_random_order() {
    for (instances, engines) in FLEETS {
        let random = max_over_mean(instances, engines, Rule::RandomOrder);
        let placed = max_over_mean(instances, engines, Rule::UnrelatedNames);
        println!("{instances} instances, {engines} engines: {placed:.2}, at random {random:.2}");
        assert!(placed < random + 0.1, "{placed} {random}");
    }
}

/// The order is the same for all data centres, so a place prefers an engine in each of them.
#[test]
fn a_place_prefers_the_engines_nearby_in_each_data_centre() {
    let mut fleet = Fleet::new(1, 12, Rule::NumberedNames, 1);
    let (scene, _) = &mut fleet.instances[0];
    scene.spread = Some(SpreadOrder::Place(0.3));
    scene.home = "elsewhere".parse().unwrap();
    let leads: Vec<String> =
        (1..=3).map(|sequence| fleet.place_at(0, sequence).as_str().to_owned()).collect();
    // The second of four engines of each data centre.
    assert_eq!(leads, ["e-04", "e-05", "e-06"]);
}

/// Guards against instances that know those of their own data centre, and reserve the same engines
/// for short prompts as the instances of other data centres: without an order of its own for each
/// request, three of them fill the same engines' slots three times.
#[test]
fn data_centres_that_do_not_know_each_other_spread_requests_over_all_engines() {
    for engines in [45, 60] {
        let most = |spreads: bool| {
            let mut fleet = Fleet::new(DATA_CENTRES.len(), engines, Rule::NumberedNames, 1);
            let mut counts = BTreeMap::<EndpointId, u64>::new();
            for sequence in 0..REQUESTS {
                let from = sequence as usize % DATA_CENTRES.len();
                let (scene, places) = &mut fleet.instances[from];
                scene.now = at(1 + ARRIVAL_MS * sequence / REQUESTS);
                scene.spread = spreads.then(|| places.next_order());
                *counts.entry(fleet.place_at(from, sequence)).or_default() += 1;
            }
            counts.into_values().max().unwrap_or(0)
        };
        let mean = REQUESTS / engines as u64;
        println!("{engines} engines: {} of a mean of {mean}, {} without", most(true), most(false));
        assert!(most(true) <= mean + 4, "{}", most(true));
        assert_eq!(most(false), 3 * u64::from(profile().slots));
    }
}
