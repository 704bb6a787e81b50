//! Discovery of other instances at startup, through configured seeds or the registry in the store.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use ringbend_gateway::{InstanceRank, Role, SCHEDULERS_PER_DATA_CENTRE, WatchedTable};
use ringbend_types::{DataCentre, Timestamp};

use crate::SourceError;
use crate::listing::{hung_call_outlived_outage, read_table};
use crate::node::Node;
use crate::ports::{InstanceRecord, InstanceRegistry};
use crate::registry_copy::REGISTRY;

/// Interval at which the registry is read until that succeeds.
const REGISTRY_RETRY_INTERVAL: Duration = Duration::from_millis(700);

/// How long the seeds may take to reply.
const SEED_TIMEOUT: Duration = Duration::from_millis(120);

/// The delays before each greeting of the seeds.
const SEED_GREETING_DELAYS: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_millis(100),
    Duration::from_millis(300),
    Duration::from_millis(1_500),
];

/// The shortest timeout of registry calls.
const REGISTRY_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Interval between checks whether another instance has reached the store.
const PROOF_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Number of instances of the own data centre in the first greeting. One scheduler is enough, as it
/// names the others, but entries of instances that no longer run may precede it. Each further
/// greeting goes to twice as many.
const INITIAL_GREETED: usize = 2 * SCHEDULERS_PER_DATA_CENTRE;

/// Number of greetings. After this many, hundreds of instances were greeted, or none is running.
const GREETING_ROUNDS: usize = 6;

/// How long greeted instances may take to reply before further ones are greeted.
const GREETING_TIMEOUT: Duration = Duration::from_millis(60);

/// How long an instance that finds an empty registry waits before it writes its own entry, in
/// milliseconds. The time is random, so that only a few of many instances that start together write
/// one: the others find those entries.
const EMPTY_REGISTRY_WAIT_MS: std::ops::Range<u64> = 0..400;

/// Greets the seeds several times, as they may just be starting. Their replies name the schedulers.
pub(crate) async fn greet_seeds(node: Rc<Node>, seeds: Vec<SocketAddrV4>) {
    let Some(own) = node.peers_address() else { return };
    let at_own_port = |seed: &SocketAddrV4| SocketAddrV4::new(*seed.ip(), own.port());
    let seeds: Vec<SocketAddrV4> = seeds.iter().map(at_own_port).collect();
    for delay in SEED_GREETING_DELAYS {
        tokio::time::sleep(delay).await;
        node.greet(&seeds);
    }
}

/// Finds other instances through the registry, and registers this one if it is a scheduler.
pub(crate) async fn join(node: Rc<Node>, registry: Rc<dyn InstanceRegistry>, has_seeds: bool) {
    if has_seeds {
        // If the seeds reply in this time, the registry need not be read.
        tokio::time::sleep(SEED_TIMEOUT).await;
    }
    let mut has_failed = false;
    loop {
        let sent = node.clock.now();
        match register(&node, &*registry, has_failed).await {
            Ok(()) => break,
            Err(e) => {
                has_failed = true;
                log::info!(target: "peers", error:% = e; "registration failed; retrying");
                tokio::select! {
                    () = tokio::time::sleep(REGISTRY_RETRY_INTERVAL.mul_f64(node.store_retry_factor())) => {}
                    () = store_answered_after(&node, sent) => {}
                }
            }
        }
    }
    let (instances, schedules) =
        (node.peers.borrow().instances(node.clock.now()), node.is_scheduler());
    log::info!(target: "peers", instances, schedules; "discovery complete");
}

/// Waits until the store has answered this instance after `at`, or another one that is known if this
/// one is a scheduler that knows no live instance of a data centre. Otherwise hundreds of instances whose calls
/// failed would repeat them at the same moment.
async fn store_answered_after(node: &Node, at: Timestamp) {
    let recovered = node.store_recovered.notified();
    let proved_elsewhere = async {
        if !node.is_scheduler() || !misses_data_centre(node) {
            return std::future::pending().await;
        }
        while node.readers.borrow().proved_at(WatchedTable::Config) <= Some(at) {
            tokio::time::sleep(PROOF_POLL_INTERVAL).await;
        }
    };
    tokio::select! {
        () = recovered => {}
        () = proved_elsewhere => {}
    }
}

/// Whether other instances schedule for this one, so that it needs no registry entry.
fn is_member(node: &Node) -> bool {
    node.peers.borrow().role() == Role::Member
}

/// Whether another instance of this data centre is known. Instances of other data centres do not
/// count: one that was greeted while it was starting does not name the instances here, and sends
/// this one nothing more.
fn knows_local_instances(node: &Node) -> bool {
    node.peers.borrow().local_instances(node.clock.now()) > 1
}

/// Whether a data centre is expected or registered without a live instance.
fn misses_data_centre(node: &Node) -> bool {
    let status = node.membership.borrow().status(node.clock.now(), &node.peers.borrow());
    !status.unheard_data_centres.is_empty()
}

/// Contacts the registered instances, and writes this instance's entry if it needs one. Only
/// schedulers do: an instance that starts contacts the best-ranked registered ones, and learns of
/// the others from them. An instance that was killed finds its own and the others' entries
/// unchanged, so one call is enough after the loss of all instances.
///
/// Instances whose first call failed (`has_failed`) may know each other in groups only. Schedulers
/// that know no live instance of an expected one then read the registry as well. Others leave that to
/// the one that follows it: calls of hundreds of instances that start at once also time out for lack
/// of processor time.
async fn register(
    node: &Rc<Node>,
    registry: &dyn InstanceRegistry,
    has_failed: bool,
) -> Result<(), SourceError> {
    let Some(address) = node.peers_address() else { return Ok(()) };
    let may_be_split = has_failed && !is_member(node) && misses_data_centre(node);
    if may_be_split || !knows_local_instances(node) {
        read_registry(node, registry).await?;
        if node.registry_records.borrow().is_empty() && !node.is_scheduler() {
            let wait = node.rng.borrow_mut().random_range(EMPTY_REGISTRY_WAIT_MS);
            tokio::time::sleep(Duration::from_millis(wait)).await;
            read_registry(node, registry).await?;
        }
        schedule_if_needed(node);
        // A starting instance greets other data centres once it schedules.
        if node.is_scheduler() {
            node.greet_unheard();
        }
        greet_own_data_centre(node).await;
    }
    let has_row = node.registry_records.borrow().iter().any(|row| row.address == address);
    if is_member(node) || has_row {
        return Ok(());
    }
    let Some(own) = node.own_record() else { return Ok(()) };
    write_entry(node, registry, &own).await?;
    if may_be_split || !knows_local_instances(node) {
        // Of two instances that register together, the one that reads later finds the other.
        read_registry(node, registry).await?;
        node.greet_unheard();
        greet_own_data_centre(node).await;
    }
    Ok(())
}

async fn read_registry(node: &Node, registry: &dyn InstanceRegistry) -> Result<(), SourceError> {
    node.replace_registry(read_table(node, REGISTRY, REGISTRY_TIMEOUT, registry).await?);
    Ok(())
}

/// Becomes a scheduler at once if too few registered instances are ranked higher.
fn schedule_if_needed(node: &Node) {
    let is_needed = {
        let (rows, home) = (node.registry_records.borrow(), &node.cfg.borrow().data_centre);
        let ranks = rows.iter().filter(|row| is_in_data_centre(row, home));
        node.peers.borrow().is_needed_beside(ranks.map(rank_of))
    };
    if is_needed && node.peers.borrow().role() == Role::Starting {
        node.peers.borrow_mut().become_scheduler();
        node.become_scheduler();
    }
}

/// Writes this instance's entry. A call that hangs since the store became unavailable is repeated
/// once the store is back.
async fn write_entry(
    node: &Node,
    registry: &dyn InstanceRegistry,
    own: &InstanceRecord,
) -> Result<(), SourceError> {
    loop {
        let sent = node.clock.now();
        let timeout = REGISTRY_TIMEOUT.max(node.store_pace.get().timeout());
        tokio::select! {
            written = tokio::time::timeout(timeout, registry.register(own)) => {
                return written.unwrap_or(Err(SourceError::TimedOut));
            }
            () = hung_call_outlived_outage(node, sent) => {}
        }
    }
}

/// Greets the highest-ranked instances of this data centre, and more of them each time, until a
/// scheduler is known.
async fn greet_own_data_centre(node: &Rc<Node>) {
    let home = node.cfg.borrow().data_centre.clone();
    let local_addresses = ranked_addresses(
        node.registry_records.borrow().iter().filter(|row| is_in_data_centre(row, &home)),
    );
    // Without entries there is no instance to wait for.
    let rounds = if local_addresses.is_empty() { 0 } else { GREETING_ROUNDS };
    let mut count = INITIAL_GREETED;
    for _ in 0..rounds {
        node.greet(&local_addresses[..count.min(local_addresses.len())]);
        count *= 2;
        let until = node.clock.now() + GREETING_TIMEOUT;
        while knows_no_scheduler(node) && node.clock.now() < until {
            tokio::time::sleep(GREETING_TIMEOUT / 12).await;
        }
        node.joined.set(true);
        node.review_role();
        if !knows_no_scheduler(node) {
            return;
        }
    }
}

fn knows_no_scheduler(node: &Node) -> bool {
    node.peers.borrow().local_schedulers(node.clock.now()).is_empty()
}

fn is_in_data_centre(row: &InstanceRecord, home: &DataCentre) -> bool {
    row.data_centre.as_ref().is_none_or(|centre| centre == home)
}

fn rank_of(row: &InstanceRecord) -> InstanceRank {
    InstanceRank::new(row.capacity, row.address)
}

/// The addresses in order of rank, highest first.
fn ranked_addresses<'a>(rows: impl Iterator<Item = &'a InstanceRecord>) -> Vec<SocketAddrV4> {
    let mut all: Vec<InstanceRank> = rows.map(rank_of).collect();
    all.sort();
    all.into_iter().map(|rank| rank.address()).collect()
}

impl Node {
    /// This instance's row in the registry; `None` without a configured peer address.
    pub(crate) fn own_record(&self) -> Option<InstanceRecord> {
        let cfg = self.cfg.borrow();
        let data_centre = Some(cfg.data_centre.clone());
        Some(InstanceRecord {
            address: self.peers_address()?,
            data_centre,
            capacity: cfg.capacity(),
        })
    }

    /// Greets the instances that are likely schedulers in each other data centre.
    pub(crate) fn greet_other_data_centres(&self) {
        let addresses = {
            let (rows, home) = (self.registry_records.borrow(), &self.cfg.borrow().data_centre);
            let rows: Vec<&InstanceRecord> = rows.iter().collect();
            addresses_elsewhere(&rows, home)
        };
        self.greet(&addresses);
    }
}

fn addresses_elsewhere(rows: &[&InstanceRecord], home: &DataCentre) -> Vec<SocketAddrV4> {
    let mut centres: Vec<&DataCentre> =
        rows.iter().filter_map(|row| row.data_centre.as_ref()).collect();
    centres.sort();
    centres.dedup();
    let addresses_in = |centre: &DataCentre| {
        let there = rows.iter().copied().filter(|row| row.data_centre.as_ref() == Some(centre));
        ranked_addresses(there).into_iter().take(SCHEDULERS_PER_DATA_CENTRE).collect::<Vec<_>>()
    };
    centres.into_iter().filter(|centre| *centre != home).flat_map(addresses_in).collect()
}
