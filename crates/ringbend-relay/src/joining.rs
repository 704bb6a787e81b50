//! How an instance finds the others when it starts: by seeds of its settings, or by rows in the store.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use ringbend_gateway::{InstanceRank, Role, SCHEDULERS_PER_DATA_CENTRE};
use ringbend_types::DataCentre;

use crate::SourceError;
use crate::node::Node;
use crate::ports::{InstanceRecord, InstanceRegistry};

/// How often this instance asks the store for others until it has been told.
const PRESENCE_RETRY: Duration = Duration::from_millis(700);

/// How long the seeds are given to answer.
const SEED_TIME: Duration = Duration::from_millis(120);

/// The pauses before each greeting of the seeds.
const GREETINGS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(300),
    Duration::from_millis(1_500),
];

/// How long writing and reading presence may take. A slow store takes up to a third of a second a
/// call; an answer that was lost never comes.
const PRESENCE_TIME: Duration = Duration::from_millis(1_500);

/// How many instances of the own data centre are greeted at first. One that schedules is enough, as
/// it names the others; rows of instances that are gone may stand before it. Each further greeting
/// goes to twice as many.
const FIRST_GREETED: usize = 2 * SCHEDULERS_PER_DATA_CENTRE;

/// How often they are greeted: after so many rounds hundreds were, or none is there.
const GREETING_ROUNDS: usize = 6;

/// How long those that were greeted are given to answer before further ones are.
const GREETED_TIME: Duration = Duration::from_millis(60);

/// How long an instance that finds no row waits before it writes its own, in milliseconds; drawn, so
/// that of many that start together few do: the others find those.
const FIRST_ROW_WAIT_MS: std::ops::Range<u64> = 0..400;

/// Greets the seeds, more than once as they may just be starting. Their answers name the schedulers.
pub(crate) async fn greet_seeds(node: Rc<Node>, seeds: Vec<SocketAddrV4>) {
    let Some(own) = node.peers_address() else { return };
    let at_own_port = |seed: &SocketAddrV4| SocketAddrV4::new(*seed.ip(), own.port());
    let seeds: Vec<SocketAddrV4> = seeds.iter().map(at_own_port).collect();
    for pause in GREETINGS {
        tokio::time::sleep(pause).await;
        node.greet(&seeds);
    }
}

/// Finds other instances by their presence in the store, and writes this one's if it schedules.
pub(crate) async fn join(node: Rc<Node>, registry: Rc<dyn InstanceRegistry>, has_seeds: bool) {
    if has_seeds {
        // Their answers come first; then presence need not be read.
        tokio::time::sleep(SEED_TIME).await;
    }
    loop {
        // A call that hangs since the store was lost is not waited for once it is back.
        let joined = tokio::select! {
            done = announce(&node, &*registry) => done,
            () = node.store_regained.notified() => continue,
        };
        match joined {
            Ok(()) => break,
            Err(e) => {
                log::info!(target: "peers", error:% = e; "presence not written, trying again");
                tokio::select! {
                    () = tokio::time::sleep(PRESENCE_RETRY.mul_f64(node.fleet_backoff_factor())) => {}
                    () = node.store_regained.notified() => {}
                }
            }
        }
    }
    let (instances, schedules) =
        (node.peers.borrow().instances(node.clock.now()), node.schedules());
    log::info!(target: "peers", instances, schedules; "joined");
}

/// Whether this instance leaves scheduling to others, so that nobody needs to find it.
fn is_served(node: &Node) -> bool {
    node.peers.borrow().role() == Role::Member
}

/// Whether an instance of this data centre is heard. One of another that was asked while it started does not name
/// those here, and tells this one nothing more.
fn hears_home(node: &Node) -> bool {
    node.peers.borrow().local_instances(node.clock.now()) > 1
}

/// Only those that schedule need a row: whoever starts asks the best placed that have one, and hears
/// of the others from them. An instance that was killed finds its own row and those of the others as
/// they were, so one call is enough after a loss of all.
async fn announce(node: &Rc<Node>, registry: &dyn InstanceRegistry) -> Result<(), SourceError> {
    let Some(address) = node.peers_address() else { return Ok(()) };
    if !hears_home(node) {
        read_rows(node, registry).await?;
        if node.rows.borrow().is_empty() {
            let wait = node.rng.borrow_mut().random_range(FIRST_ROW_WAIT_MS);
            tokio::time::sleep(Duration::from_millis(wait)).await;
            read_rows(node, registry).await?;
        }
        take_up(node);
        greet_home(node).await;
    }
    let has_row = node.rows.borrow().iter().any(|row| row.address == address);
    if is_served(node) || has_row {
        return Ok(());
    }
    let own = {
        let cfg = node.cfg.borrow();
        InstanceRecord {
            address,
            data_centre: Some(cfg.data_centre.clone()),
            capacity: cfg.capacity(),
        }
    };
    bounded(registry.register(&own)).await?;
    if !hears_home(node) {
        // Of two that start together, the later reader sees the other.
        read_rows(node, registry).await?;
        greet_home(node).await;
        node.greet_elsewhere();
    }
    Ok(())
}

async fn read_rows(node: &Node, registry: &dyn InstanceRegistry) -> Result<(), SourceError> {
    let rows = bounded(registry.list()).await?;
    log::info!(target: "peers", rows = rows.len(); "rows read");
    *node.rows.borrow_mut() = rows;
    Ok(())
}

/// Begins to schedule at once if too few instances that have rows are better placed.
fn take_up(node: &Node) {
    let is_needed = {
        let (rows, home) = (node.rows.borrow(), &node.cfg.borrow().data_centre);
        let standings = rows.iter().filter(|row| is_at(row, home));
        node.peers.borrow().is_needed_beside(standings.map(standing))
    };
    if is_needed && node.peers.borrow().role() == Role::Starting {
        node.peers.borrow_mut().become_scheduler();
        node.begin_to_schedule();
    }
}

async fn bounded<T>(call: impl Future<Output = Result<T, SourceError>>) -> Result<T, SourceError> {
    tokio::time::timeout(PRESENCE_TIME, call).await.unwrap_or(Err(SourceError::TimedOut))
}

/// Greets the best placed instances of this data centre, and more of them each time, until one that
/// schedules is heard.
async fn greet_home(node: &Rc<Node>) {
    let home = node.cfg.borrow().data_centre.clone();
    let at_home = best(node.rows.borrow().iter().filter(|row| is_at(row, &home)));
    // Without rows there is nobody to wait for.
    let rounds = if at_home.is_empty() { 0 } else { GREETING_ROUNDS };
    let mut count = FIRST_GREETED;
    for _ in 0..rounds {
        node.greet(&at_home[..count.min(at_home.len())]);
        count *= 2;
        let until = node.clock.now() + GREETED_TIME;
        while is_unheard(node) && node.clock.now() < until {
            tokio::time::sleep(GREETED_TIME / 12).await;
        }
        node.joined.set(true);
        node.review_role();
        if !is_unheard(node) {
            return;
        }
    }
}

fn is_unheard(node: &Node) -> bool {
    node.peers.borrow().local_schedulers(node.clock.now()).is_empty()
}

fn is_at(row: &InstanceRecord, home: &DataCentre) -> bool {
    row.data_centre.as_ref().is_none_or(|centre| centre == home)
}

fn standing(row: &InstanceRecord) -> InstanceRank {
    InstanceRank::new(row.capacity, row.address)
}

/// The best placed first.
fn best<'a>(rows: impl Iterator<Item = &'a InstanceRecord>) -> Vec<SocketAddrV4> {
    let mut all: Vec<InstanceRank> = rows.map(standing).collect();
    all.sort();
    all.into_iter().map(|standing| standing.address()).collect()
}

impl Node {
    /// Greets those that may schedule in each other data centre.
    pub(crate) fn greet_elsewhere(&self) {
        let addresses = {
            let (rows, home) = (self.rows.borrow(), &self.cfg.borrow().data_centre);
            best_elsewhere(&rows, home)
        };
        self.greet(&addresses);
    }
}

fn best_elsewhere(rows: &[InstanceRecord], home: &DataCentre) -> Vec<SocketAddrV4> {
    let mut centres: Vec<&DataCentre> =
        rows.iter().filter_map(|row| row.data_centre.as_ref()).collect();
    centres.sort();
    centres.dedup();
    let of_centre = |centre: &DataCentre| {
        let there = rows.iter().filter(|row| row.data_centre.as_ref() == Some(centre));
        best(there).into_iter().take(SCHEDULERS_PER_DATA_CENTRE).collect::<Vec<_>>()
    };
    centres.into_iter().filter(|centre| *centre != home).flat_map(of_centre).collect()
}
