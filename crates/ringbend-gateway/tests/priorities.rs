//! Priorities as ranks within a service, and the decisions that depend on them.

mod support;

use quickcheck::quickcheck;
use ringbend_gateway::{
    Account, AccountShares, Attempts, Demand, PlacementGoal, Priorities, QueuedPrompt, Rank,
    RepeatPolicy, RetryBudget, RetryBudgetBounds, RouteEntry, Snapshot, SnapshotParts, Turn,
    WaitingPrompt, WeightedService, Work, decide_turn, place_on_engines, stake,
};
use ringbend_types::ClientAccountId;
use support::{Scene, at, endpoint, ms, profile, service, work, work_id};

fn set(priorities: &[u8]) -> Priorities {
    priorities.iter().copied().collect()
}

/// A configuration with routes to the service `s`, each given by its priority and whether it is
/// public, and one key for each account priority.
fn snapshot(routes: &[(u8, bool)], accounts: Option<&[Option<u8>]>) -> Snapshot {
    let template = support::snapshot(1, None).route("h", "/a/").unwrap().as_ref().clone();
    let split = || [WeightedService { service: service("s"), weight: 1 }].into_iter().collect();
    let entry = |(n, (priority, public)): (usize, &(u8, bool))| {
        let prefix = format!("/{n}/").as_str().into();
        let (priority, public) = (*priority, *public);
        let route =
            ringbend_gateway::Route { priority, public, split: split(), ..template.clone() };
        RouteEntry { host: "h".into(), prefix, route }
    };
    let key = |(n, priority): (usize, &Option<u8>)| {
        let id = format!("account-{n}").parse().unwrap();
        let account = Account { id, priority: *priority, regions: Default::default() };
        (format!("key-{n}").as_str().into(), account)
    };
    Snapshot::new(SnapshotParts {
        routes: routes.iter().enumerate().map(entry).collect(),
        keys: accounts.map(|accounts| accounts.iter().enumerate().map(key).collect()),
        ..SnapshotParts::default()
    })
}

fn in_use(routes: &[(u8, bool)], accounts: Option<&[Option<u8>]>) -> Vec<u8> {
    snapshot(routes, accounts).priorities(&service("s")).iter().collect()
}

#[test]
fn the_priorities_of_a_service_are_those_of_its_routes_and_accounts() {
    assert_eq!(in_use(&[(2, false), (0, false), (2, false)], None), [0, 2]);
    // An account without a priority has that of the route.
    assert_eq!(in_use(&[(3, false)], Some(&[None, Some(1)])), [1, 3]);
    // If all accounts have one, that of the route is not in use.
    assert_eq!(in_use(&[(3, false)], Some(&[Some(1), Some(1)])), [1]);
    // Requests on public routes have no account.
    assert_eq!(in_use(&[(3, true)], Some(&[Some(1)])), [3]);
    assert_eq!(snapshot(&[(1, false)], None).priorities(&service("other")), set(&[]));
}

/// Guards against ranks of a service depending on priorities that its requests never have.
#[test]
fn a_route_without_weight_adds_no_priority() {
    let entry = |prefix: &str, weight, priority| {
        let template = support::snapshot(1, None).route("h", "/a/").unwrap().as_ref().clone();
        let split = [WeightedService { service: service("s"), weight }].into_iter().collect();
        let route = ringbend_gateway::Route { priority, split, ..template };
        RouteEntry { host: "h".into(), prefix: prefix.into(), route }
    };
    let routes = vec![entry("/a/", 1, 4), entry("/b/", 0, 0)];
    let snapshot = Snapshot::new(SnapshotParts { routes, ..SnapshotParts::default() });
    assert_eq!(snapshot.priorities(&service("s")), set(&[4]));
}

#[test]
fn ranks_count_the_more_urgent_priorities_in_use() {
    let known = set(&[5, 70, 200]);
    assert_eq!((known.most_urgent(), known.count()), (Some(5), 3));
    let ranks: Vec<Rank> = [5, 70, 200].map(|priority| known.rank(priority)).to_vec();
    assert!(ranks[0] == Rank::MOST_URGENT && ranks[0] < ranks[1] && ranks[1] < ranks[2]);
    // A request that was admitted with another configuration.
    assert_eq!(known.rank(0), Rank::MOST_URGENT);
    assert_eq!(known.rank(100), ranks[2]);
}

#[test]
fn with_one_priority_in_use_all_ranks_are_the_highest() {
    for known in [set(&[]), set(&[0]), set(&[9])] {
        assert!((0..=255).all(|priority| known.rank(priority) == Rank::MOST_URGENT));
    }
}

quickcheck! {
    /// No request starves: waiting never lowers its rank, and raises it to the highest.
    fn waiting_raises_the_rank(priority: u8, times: Vec<u16>) -> bool {
        let (rank, available) = (set(&[0, 1, 2, 3, 4]).rank(priority), ms(60_000));
        let mut times: Vec<u64> = times.into_iter().map(u64::from).collect();
        times.sort_unstable();
        let ranks: Vec<Rank> = times.iter().map(|time| rank.aged(ms(*time), available)).collect();
        ranks.is_sorted_by(|a, b| a >= b)
            && rank.aged(ms(0), available) == rank
            && rank.aged(ms(36_000), available) == Rank::MOST_URGENT
            && rank.aged(ms(1), ms(0)) == Rank::MOST_URGENT
    }
}

/// Two of four engines decode for urgent requests which a part would make late.
#[test]
fn a_less_urgent_prompt_is_placed_where_it_delays_no_urgent_one() {
    let known = set(&[0, 1, 2, 3]);
    let engines_for = |others: Rank, own: Rank| {
        let mut scene = Scene { rank: own, priorities: known, ..Scene::new(4) };
        for engine in [1, 2] {
            let stake = stake(&scene.weights, 45_000) * others.stake_factor();
            let decoding = Work { long: true, gap: ms(400), stake, ..work(engine, ms(1)) };
            scene.load.place(at(0), work_id(engine as u64), decoding);
            scene.load.first_event(work_id(engine as u64));
        }
        scene.load.advance(at(10));
        scene.now = at(10);
        let demand = Demand { prompt_tokens: 140_000, answer_tokens: 500 };
        let goal = PlacementGoal { demand, first_in: ms(750), gap: ms(1_000) };
        let placement = place_on_engines(scene.view(), &profile(), &scene.candidates(), &goal);
        placement.unwrap().helpers.len() + 1
    };
    let (urgent, least) = (Rank::MOST_URGENT, known.rank(3));
    assert_eq!(engines_for(urgent, urgent), 3);
    assert_eq!(engines_for(urgent, least), 2);
    // Requests of the same rank are treated as if there were no others.
    assert_eq!(engines_for(least, least), 3);
    assert_eq!(engines_for(least, urgent), 3);
}

/// Three priorities and waiting long prompts, each given by priority, read time and due time.
fn waiting_scene(prompts: &[(u8, u64, u64)]) -> Scene {
    let mut scene = Scene { priorities: set(&[0, 1, 2]), ..Scene::new(6) };
    for (id, (priority, read_ms, due_ms)) in (1..).zip(prompts) {
        let waiting = WaitingPrompt {
            service: service("engines"),
            read_time: ms(*read_ms),
            since: at(0),
            first_by: at(*due_ms),
            until: at(15_000),
            priority: *priority,
            account: None,
        };
        scene.load.add_waiting(work_id(id), waiting);
    }
    scene
}

fn turn(scene: &Scene, id: u64) -> Turn {
    let demand = Demand { prompt_tokens: 100_000, answer_tokens: 500 };
    let goal = PlacementGoal { demand, first_in: ms(3_000), gap: ms(800) };
    let prompt = QueuedPrompt { id: work_id(id), passed_over_for: ms(0), goal };
    decide_turn(scene.view(), &profile(), &scene.candidates(), &prompt)
}

#[test]
fn an_urgent_long_prompt_is_on_time_if_not_all_can_be() {
    let scene = waiting_scene(&[(2, 3_600, 1_500), (0, 6_000, 2_300)]);
    assert_eq!((turn(&scene, 1), turn(&scene, 2)), (Turn::PassedOver, Turn::Now));
    let reversed = waiting_scene(&[(0, 3_600, 1_500), (2, 6_000, 2_300)]);
    assert_eq!((turn(&reversed, 1), turn(&reversed, 2)), (Turn::Now, Turn::PassedOver));
}

#[test]
fn the_prompt_that_is_due_first_precedes_if_all_can_be_on_time() {
    let scene = waiting_scene(&[(2, 3_600, 2_500), (0, 3_600, 6_000)]);
    assert_eq!((turn(&scene, 1), turn(&scene, 2)), (Turn::Now, Turn::PassedOver));
}

/// An urgent prompt that is late whatever is done gains little, and would make another one late.
#[test]
fn an_urgent_prompt_that_cannot_be_on_time_displaces_no_other() {
    let scene = waiting_scene(&[(2, 3_600, 1_500), (0, 6_000, 1_600)]);
    assert_eq!((turn(&scene, 1), turn(&scene, 2)), (Turn::Now, Turn::PassedOver));
}

#[test]
fn late_prompts_are_sent_by_rank_until_they_have_waited_long() {
    let mut scene = waiting_scene(&[(2, 3_600, 100), (0, 3_600, 100)]);
    assert_eq!((turn(&scene, 1), turn(&scene, 2)), (Turn::PassedOver, Turn::Now));
    // Both have the highest rank now, so they are sent by age.
    scene.now = at(9_000);
    assert_eq!((turn(&scene, 1), turn(&scene, 2)), (Turn::Now, Turn::PassedOver));
}

/// A stream of urgent prompts that engines can just read must not keep the least urgent one waiting
/// until its caller leaves.
#[test]
fn the_least_urgent_prompt_is_sent_before_its_caller_leaves() {
    let mut scene = waiting_scene(&[(2, 6_000, 1_000)]);
    let sent_at = (0..15_000).step_by(100).find(|now| {
        scene.now = at(*now);
        let urgent = WaitingPrompt {
            service: service("engines"),
            read_time: ms(6_000),
            since: at(*now),
            first_by: at(now + 1_000),
            until: at(now + 15_000),
            priority: 0,
            account: None,
        };
        scene.load.add_waiting(work_id(2), urgent);
        turn(&scene, 1) == Turn::Now
    });
    assert!(sent_at.is_some_and(|sent_at| (8_000..=9_500).contains(&sent_at)), "{sent_at:?}");
}

/// One account's many late prompts would otherwise all precede a later one of another account.
#[test]
fn late_prompts_of_the_same_rank_are_sent_by_use_of_their_accounts() {
    let mut scene = waiting_scene(&[]);
    let accounts: [ClientAccountId; 2] = ["a", "b"].map(|id| id.parse().unwrap());
    for (id, account) in (1..).zip([0, 0, 1]) {
        let waiting = WaitingPrompt {
            service: service("engines"),
            read_time: ms(3_600),
            since: at(id),
            first_by: at(50),
            until: at(15_000),
            priority: 1,
            account: Some(accounts[account].clone()),
        };
        scene.load.add_waiting(work_id(id), waiting);
    }
    assert_eq!(
        [1, 2, 3].map(|id| turn(&scene, id)),
        [Turn::Now, Turn::PassedOver, Turn::PassedOver]
    );
    let mut shares = AccountShares::default();
    shares.charge(at(0), Some(&accounts[0]), 3_600.0);
    scene.shares = Some(shares);
    assert_eq!(
        [1, 2, 3].map(|id| turn(&scene, id)),
        [Turn::PassedOver, Turn::PassedOver, Turn::Now]
    );
}

/// A budget of nine retries per window, of which hedged runs may take eight.
fn budget() -> RetryBudget {
    let bounds = RetryBudgetBounds { ratio: 0.1, window: ms(10_000), allowance: 0.0 };
    let mut budget = RetryBudget::new(bounds);
    (0..100).for_each(|_| budget.record_request(at(0), &service("s")));
    budget
}

#[test]
fn the_rest_of_the_retry_budget_is_kept_for_urgent_requests() {
    let (name, known) = (service("s"), set(&[0, 1, 2]));
    let taken = |budget: &mut RetryBudget, rank| {
        (0..100).filter(|_| budget.take(at(1), &name, rank)).count()
    };
    let mut budget = budget();
    assert_eq!(taken(&mut budget, known.rank(2)), 5);
    assert_eq!(taken(&mut budget, known.rank(1)), 1);
    assert_eq!(taken(&mut budget, known.rank(0)), 3);
    // The budget as a whole is unchanged.
    assert_eq!(taken(&mut self::budget(), known.rank(0)), 9);
}

/// Guards against a budget so small that its division leaves the least urgent nothing.
#[test]
fn a_budget_of_one_retry_is_not_divided() {
    let bounds = RetryBudgetBounds { ratio: 0.1, window: ms(10_000), allowance: 0.0 };
    let (name, mut budget) = (service("s"), RetryBudget::new(bounds));
    (0..13).for_each(|_| budget.record_request(at(0), &name));
    assert!(budget.take_for_hedge(at(1), &name, set(&[0, 1, 2]).rank(2)));
}

#[test]
fn waiting_raises_the_rank_for_second_attempts() {
    let (name, rank) = (service("s"), set(&[0, 1, 2]).rank(2));
    let hedges = |since, now| {
        let mut budget = budget();
        let begin = |_: &usize| {
            let attempts = Attempts::new(RepeatPolicy::Idempotent, 2, at(since + 1_000));
            attempts.with_rank(rank, at(since)).begin_hedge(at(now), &name, &mut budget)
        };
        (0..100).filter(begin).count()
    };
    assert_eq!(hedges(1_000, 1_000), 4);
    assert_eq!(hedges(1_000, 1_700), 8);
}

/// The order among urgent and less urgent work must reach schedulers that did not place it.
#[test]
fn the_stake_of_placed_work_includes_its_rank() {
    let scene = Scene::new(2);
    let known = set(&[0, 1, 2]);
    let mut job = support::job(5_000);
    let demand = job.demand.unwrap();
    let goal = job.goal(at(0), demand);
    let placement = place_on_engines(scene.view(), &profile(), &scene.candidates(), &goal).unwrap();
    assert_eq!(placement.lead, endpoint(1).id);
    let stake_of = |rank| job.work(&scene.weights, &placement, false, rank).stake;
    let unscaled = stake(&scene.weights, 5_000);
    assert_eq!(stake_of(known.rank(0)).to_bits(), unscaled.to_bits());
    assert!(stake_of(known.rank(2)) < stake_of(known.rank(1)));
    assert!(stake_of(known.rank(1)) < unscaled);
    // A request that is about to be late is placed like an urgent one.
    job.priority = 2;
    assert_eq!(job.rank(at(0), &known), known.rank(2));
    assert_eq!(job.rank(at(200), &known), Rank::MOST_URGENT);
}
