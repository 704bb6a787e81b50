//! Compares the orders in which short prompts start while 2.5 times as many arrive as the engines
//! can serve. Run with `--nocapture` for the figures,
//! and with `BURST_SEED` for another seed.

mod simulation;
#[path = "../support/mod.rs"]
mod support;

use rand::Rng;
use rand::rngs::SmallRng;
use ringbend_gateway::OverloadConfig;
use simulation::{Counts, Order, Simulation, capacity_per_s};

const ACCOUNTS: usize = 24;

/// Accounts that together send half of all requests.
const LARGE_ACCOUNTS: usize = 3;

/// The callers' first attempts that are counted: those of the burst.
const BURST: std::ops::Range<u64> = 4_000..14_000;

/// The share of the capacity that is used before and after the burst.
const USUAL_LOAD: f64 = 0.8;

/// The burst, as a multiple of the capacity.
const BURST_LOAD: f64 = 2.5;

fn draw_account(rng: &mut SmallRng) -> usize {
    let large = rng.random_bool(0.5);
    rng.random_range(if large { 0..LARGE_ACCOUNTS } else { LARGE_ACCOUNTS..ACCOUNTS })
}

fn simulate(order: Order, priorities: u8, seed: u64) -> Simulation {
    let mut simulation = Simulation::new(order, OverloadConfig::default(), seed);
    let draw = |rng: &mut SmallRng| (draw_account(rng), rng.random_range(0..priorities));
    simulation.run(BURST.start, USUAL_LOAD * capacity_per_s(), draw);
    simulation.run(BURST.end, BURST_LOAD * capacity_per_s(), draw);
    simulation.run(BURST.end + 15_000, USUAL_LOAD * capacity_per_s(), draw);
    simulation
}

fn print(what: &str, counts: Counts) {
    let Counts { on_time, late, lost, rejected, retries_served } = counts;
    println!(
        "{what:34} on time {on_time:5} late {late:5} lost {lost:5} rejected {rejected:5} \
         retries served {retries_served:5}"
    );
}

/// On-time shares of the smallest and the largest accounts.
fn account_shares(simulation: &Simulation) -> (f64, f64) {
    let share = |account: usize| {
        let counts = simulation.count(BURST, |r| r.account == account);
        counts.on_time as f64 / (counts.on_time + counts.late + counts.lost) as f64
    };
    let mean = |accounts: std::ops::Range<usize>| {
        let count = accounts.len() as f64;
        accounts.map(share).sum::<f64>() / count
    };
    (mean(LARGE_ACCOUNTS..ACCOUNTS), mean(0..LARGE_ACCOUNTS))
}

/// Guards against an order in which all requests of a burst wait in engines' queues and are late.
#[test]
fn least_slack_serves_more_on_time_than_other_orders() {
    let seed = std::env::var("BURST_SEED").map_or(7, |seed| seed.parse().unwrap());
    let mut on_time = Vec::new();
    for order in [Order::EngineFifo, Order::AdaptiveLifo, Order::LeastSlack] {
        for priorities in [1, 3] {
            let simulation = simulate(order, priorities, seed);
            let all = simulation.count(BURST, |_| true);
            print(&format!("{order:?}, {priorities} priorities"), all);
            for priority in 0..priorities {
                let counts = simulation.count(BURST, |r| r.priority == priority);
                print(&format!("  priority {priority}"), counts);
            }
            let after = simulation.count(BURST.end..BURST.end + 5_000, |_| true);
            print("  5 s after the burst", after);
            print("  21 small accounts", simulation.count(BURST, |r| r.account >= LARGE_ACCOUNTS));
            print("  3 large accounts", simulation.count(BURST, |r| r.account < LARGE_ACCOUNTS));
            let (small, large) = account_shares(&simulation);
            println!("  on-time share of small accounts {small:.2}, of large ones {large:.2}");
            println!("  last-chance starts {}", simulation.last_chance_starts);
            on_time.push(all.on_time);
        }
    }
    let [fifo, _, lifo, _, least_slack, _] = on_time[..] else { unreachable!("six runs") };
    assert!(least_slack > lifo && least_slack > 2 * fifo, "{least_slack}, {lifo}, {fifo}");
}
