//! Decisions of services whose requests all have the same priority.
//!
//! Guards against priorities changing the decisions of deployments that do not use them: decisions
//! on random states are compared bit by bit with those of the code before priorities were
//! introduced.

mod support;

use std::collections::BTreeSet;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ringbend_gateway::{
    Attempts, Demand, HealthEvent, NextStep, Placement, PlacementGoal, Priorities, QueuedPrompt,
    RepeatPolicy, RetryBudget, RetryBudgetBounds, SendOutcome, SpreadOrder, Turn, WaitingPrompt,
    Work, decide_turn, place_on_engines, stake,
};
use support::{Scene, at, endpoint, ms, profile, service, work, work_id};

/// The digest of all decisions below, computed at commit e20ec47d by this test. A deliberate change
/// of the cost function, the order of long prompts or the retry budget changes it. It is then
/// computed again with all ranks removed from the decisions, never from a run with ranks.
const DIGEST_BEFORE_PRIORITIES: u64 = 0xadf2_c55c_54ef_d407;

const STATES: u64 = 1_500;

/// What a scheduler knows of priorities, and those of the requests.
#[derive(Clone, Copy)]
struct Ranks {
    /// The priorities in use at the service.
    known: Priorities,
    /// Requests have this priority and, in turn, up to `variety - 1` further ones.
    priority: u8,
    variety: u8,
}

impl Ranks {
    fn priority(&self, nth: u64) -> u8 {
        self.priority + (nth % u64::from(self.variety)) as u8
    }
}

/// 64-bit FNV-1a; independent of the version of the standard library.
struct Digest(u64);

impl Digest {
    fn add(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn add_placement(&mut self, placement: Option<&Placement>) {
        let Some(placement) = placement else { return self.add(b"none") };
        self.add(placement.lead.as_str().as_bytes());
        placement.helpers.iter().for_each(|helper| self.add(helper.as_str().as_bytes()));
        self.add(&placement.part.as_nanos().to_le_bytes());
        for held in &placement.held {
            self.add(held.endpoint.as_str().as_bytes());
            self.add(&held.tokens.to_le_bytes());
        }
        for value in [placement.cost, placement.cost_to_others, placement.first_ms] {
            self.add(&value.to_bits().to_le_bytes());
        }
    }

    fn add_turn(&mut self, turn: Turn) {
        match turn {
            Turn::After(left) => self.add(&left.as_nanos().to_le_bytes()),
            other => self.add(format!("{other:?}").as_bytes()),
        }
    }
}

fn prompt_tokens(rng: &mut ChaCha8Rng) -> u64 {
    let (low, high) = [(500, 8_000), (20_000, 60_000), (100_000, 300_000)][rng.random_range(0..3)];
    rng.random_range(low..high)
}

/// Engines with random work, some of it late, and random waiting prompts.
fn scene(rng: &mut ChaCha8Rng) -> Scene {
    let engines = rng.random_range(1..14);
    let mut scene = Scene::new(engines);
    scene.spread = rng.random_bool(0.1).then(|| SpreadOrder::Random(rng.random()));
    for id in 0..rng.random_range(0..8 * engines as u64) {
        let tokens = prompt_tokens(rng);
        let lead = rng.random_range(1..=engines);
        let helpers: BTreeSet<usize> =
            (0..rng.random_range(0..3)).map(|_| rng.random_range(1..=engines)).collect();
        let helpers = helpers.into_iter().filter(|at| *at != lead && tokens > 20_000);
        let part = ms(rng.random_range(1..600));
        let placed = Work {
            helpers: helpers.map(|at| endpoint(at).id).collect(),
            memory_tokens: tokens,
            gap: ms(rng.random_range(100..1_000)),
            first_by: at(rng.random_range(50..4_000)),
            stake: stake(&scene.weights, tokens),
            long: tokens > 80_000,
            ..work(lead, part)
        };
        scene.load.place(at(rng.random_range(0..100)), work_id(id), placed);
        if rng.random_bool(0.6) {
            scene.load.first_event(work_id(id));
        }
    }
    for engine in 1..=engines {
        if rng.random_bool(0.1) {
            scene.health.note(at(0), &endpoint(engine).id, HealthEvent::Bad);
        }
    }
    scene.now = at(rng.random_range(100..3_000));
    scene.load.advance(scene.now);
    for id in 0..rng.random_range(1..9) {
        let since = rng.random_range(0..100);
        let waiting = WaitingPrompt {
            service: service("engines"),
            read_time: ms(rng.random_range(600..9_000)),
            since: at(since),
            first_by: at(since + rng.random_range(200..6_000)),
            until: at(since + rng.random_range(2_000..15_000)),
            priority: 0,
            account: None,
        };
        scene.load.add_waiting(work_id(10_000 + id), waiting);
    }
    scene
}

fn goal(rng: &mut ChaCha8Rng) -> PlacementGoal {
    let demand =
        Demand { prompt_tokens: prompt_tokens(rng), answer_tokens: rng.random_range(50..2_000) };
    let first_in = ms(rng.random_range(0..6_000));
    PlacementGoal { demand, first_in, gap: ms(rng.random_range(100..1_000)) }
}

fn add_decisions(rng: &mut ChaCha8Rng, ranks: Ranks, digest: &mut Digest) {
    let mut scene = scene(rng);
    scene.priorities = ranks.known;
    let waiting: Vec<_> = scene.load.waiting().map(|(id, w)| (id, w.clone())).collect();
    for (id, waiting) in waiting {
        let priority = ranks.priority(id.sequence);
        scene.load.add_waiting(id, WaitingPrompt { priority, ..waiting });
    }
    for nth in 0..4 {
        scene.rank = ranks.known.rank(ranks.priority(nth));
        let goal = goal(rng);
        let placed = place_on_engines(scene.view(), &profile(), &scene.candidates(), &goal);
        digest.add_placement(placed.as_ref());
    }
    let waiting: Vec<_> = scene.load.waiting().map(|(id, _)| id).collect();
    for id in waiting {
        let passed_over_for = ms(rng.random_range(0..40));
        let prompt = QueuedPrompt { id, passed_over_for, goal: goal(rng) };
        scene.rank = ranks.known.rank(ranks.priority(id.sequence));
        digest.add_turn(decide_turn(scene.view(), &profile(), &scene.candidates(), &prompt));
    }
}

fn add_retries(rng: &mut ChaCha8Rng, ranks: Ranks, digest: &mut Digest) {
    let bounds = RetryBudgetBounds {
        ratio: rng.random_range(0.0..0.3),
        window: ms(rng.random_range(1_000..10_000)),
        allowance: rng.random_range(0.0..200.0),
    };
    let (name, mut budget) = (service("engines"), RetryBudget::new(bounds));
    budget.set_instances(at(0), rng.random_range(1..120));
    for now in (0..20_000).step_by(40) {
        let now = at(now);
        budget.record_request(now, &name);
        let rank = ranks.known.rank(ranks.priority(now.0));
        let attempts = Attempts::new(RepeatPolicy::Idempotent, 2, now + ms(3_000));
        let mut attempts = attempts.with_rank(rank, now);
        let next = match rng.random_range(0..10) {
            0 => attempts.replace_silent(now, &name, &mut budget),
            1 => attempts.begin_hedge(now, &name, &mut budget),
            2 => {
                let next = attempts.record_outcome(now, SendOutcome::NotRun, &name, &mut budget);
                next == NextStep::Retry
            }
            _ => continue,
        };
        digest.add(&[u8::from(next)]);
    }
}

/// The digest of all decisions.
fn digest(ranks: Ranks) -> u64 {
    let mut digest = Digest(0xcbf2_9ce4_8422_2325);
    for state in 0..STATES {
        let mut rng = ChaCha8Rng::seed_from_u64(state);
        add_decisions(&mut rng, ranks, &mut digest);
        add_retries(&mut rng, ranks, &mut digest);
    }
    digest.0
}

#[test]
fn decisions_for_one_priority_are_those_before_priorities() {
    for priority in [0, 7, 255] {
        let known = [priority].into_iter().collect();
        let digest = digest(Ranks { known, priority, variety: 1 });
        assert_eq!(digest, DIGEST_BEFORE_PRIORITIES, "{digest:#x}");
    }
}

/// A scheduler may receive requests for a service that is not in its configuration.
#[test]
fn decisions_without_the_configuration_are_those_before_priorities() {
    let digest = digest(Ranks { known: Priorities::default(), priority: 0, variety: 4 });
    assert_eq!(digest, DIGEST_BEFORE_PRIORITIES, "{digest:#x}");
}

/// The most urgent requests are placed as if there were no others.
#[test]
fn decisions_of_the_highest_rank_are_those_before_priorities() {
    let known = (3..7).collect();
    let digest = digest(Ranks { known, priority: 3, variety: 1 });
    assert_eq!(digest, DIGEST_BEFORE_PRIORITIES, "{digest:#x}");
}

/// Shows that the digest covers decisions that ranks change.
#[test]
fn ranks_change_decisions() {
    let digest = digest(Ranks { known: (0..4).collect(), priority: 0, variety: 4 });
    assert_ne!(digest, DIGEST_BEFORE_PRIORITIES);
}
