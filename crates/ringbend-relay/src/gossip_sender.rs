//! Sends updates to other instances.
//!
//! Schedulers report all work that they place to each other, and the state of the watched tables to
//! the members of their data centre. A member reports its requests to one scheduler.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

use ringbend_gateway::{HEARTBEAT_INTERVAL, Outbox, WorkId};
use ringbend_types::{Cursor, EndpointId, Timestamp};
use ringbend_wire::{
    EndpointChanges, EndpointRestart, LoadDigest, OpenWork, OwnersWork, encode_endpoint_restart,
    encode_endpoint_result, encode_placed_work, encode_waiting_work,
};

use crate::engine_pace::pace_updates;
use crate::node::Node;
use crate::peer_socket::BATCH_DELAY;
use crate::start_survey::usage_updates;
use crate::table_gossip::{MIN_PROOF_ADVANCE, currency};

/// Maximum number of work items per datagram, so that it fits into a packet.
const MAX_WORK_PER_DATAGRAM: usize = 8;

/// The state that was last sent, and when.
#[derive(Default)]
struct LastSent {
    at: Cell<Timestamp>,
    proved_at: Cell<Timestamp>,
    endpoints_proved_at: Cell<Timestamp>,
    config: Cell<u64>,
    endpoints: Cell<Cursor>,
    evacuated: RefCell<Vec<String>>,
    is_scheduler: Cell<bool>,
    /// The scheduler that this instance reports its requests to if it is a member.
    scheduler: Cell<Option<SocketAddrV4>>,
}

/// Sends updates to other instances.
pub(crate) struct GossipSender {
    node: Rc<Node>,
    last_sent: LastSent,
}

fn restart_updates(outbox: &Outbox) -> Vec<EndpointRestart> {
    outbox
        .restarts
        .iter()
        .map(|(endpoint, start)| encode_endpoint_restart(endpoint, *start))
        .collect()
}

impl GossipSender {
    pub(crate) fn new(node: Rc<Node>) -> Self {
        Self { node, last_sent: LastSent::default() }
    }

    /// Sends updates for as long as the process lives.
    pub(crate) async fn run(self) {
        let flush = &self.node.flush;
        loop {
            tokio::select! {
                () = flush.immediate.notified() => {}
                // Batching must not delay a placement: until the other schedulers know of it, they
                // choose the same engine.
                () = flush.batched.notified() => tokio::select! {
                    () = flush.immediate.notified() => {}
                    () = tokio::time::sleep(BATCH_DELAY) => {}
                },
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {}
            }
            self.node.sweep_peers();
            let outbox = std::mem::take(&mut *self.node.outbox.borrow_mut());
            let changes = self.node.endpoint_changes.borrow_mut().take();
            if self.node.is_scheduler() {
                self.node.query_engines(outbox.slow_engines.iter().cloned());
                self.send_as_scheduler(&outbox, changes);
            } else {
                self.send_as_member(outbox, changes);
            }
        }
    }

    fn send_as_scheduler(&self, outbox: &Outbox, changes: Option<EndpointChanges>) {
        let now = self.node.clock.now();
        self.last_sent.scheduler.set(None);
        let has_news = self.is_update_due(now) || changes.is_some();
        let has_local_suspicions = !outbox.local_suspicions.is_empty();
        let has_news = has_news || has_local_suspicions || !outbox.local_limits.is_empty();
        let has_news = has_news || !outbox.local_drains.is_empty();
        let first = LoadDigest {
            suspicions: self.node.suspicion_updates(&outbox.suspicions, now),
            limits: self.node.limit_updates(&outbox.limits, now),
            drains: self.node.drain_updates(&outbox.drains, now),
            unfit: outbox.unfit.iter().map(EndpointId::to_string).collect(),
            gone: outbox.ended_instances.clone(),
            restarts: restart_updates(outbox),
            paces: pace_updates(&outbox.paces),
            usages: usage_updates(now, &outbox.usages),
            endpoint_changes: changes.clone(),
            ..self.node.digest()
        };
        let has_news = has_news || !first.restarts.is_empty();
        let work = self.node.work_updates(outbox);
        let has_no_other_updates = first.unfit.is_empty()
            && first.gone.is_empty()
            && first.paces.is_empty()
            && first.usages.is_empty();
        if !has_news && work.is_empty() && has_no_other_updates {
            return;
        }
        let other_schedulers = self.node.peers.borrow().other_schedulers(now);
        for digest in &self.node.pack_work(first, work) {
            self.node.send_digest_to_all(digest, other_schedulers.iter().copied());
        }
        if !has_news {
            return;
        }
        let heartbeat = LoadDigest {
            endpoint_changes: changes,
            restarts: restart_updates(outbox),
            suspicions: self.node.suspicion_updates(&outbox.local_suspicions, now),
            limits: self.node.limit_updates(&outbox.local_limits, now),
            drains: self.node.drain_updates(&outbox.local_drains, now),
            ..self.node.digest()
        };
        let peers = self.node.peers.borrow();
        self.node
            .send_digest_to_all(&heartbeat, peers.members(now).chain(peers.silent_schedulers(now)));
        let call_up = LoadDigest { call_up: true, ..self.node.digest() };
        self.node.send_digest_to_all(&call_up, peers.promotion_candidates(now));
    }

    fn send_as_member(&self, mut outbox: Outbox, changes: Option<EndpointChanges>) {
        let now = self.node.clock.now();
        let scheduler = self.node.peers.borrow().scheduler(now, &[]);
        if self.last_sent.scheduler.replace(scheduler) != scheduler {
            log::info!(target: "peers", scheduler:? = scheduler; "scheduler changed");
            // The previous scheduler may have ended, and its state with it.
            outbox.placed.extend(self.node.own_placed_work());
        }
        let has_news = self.is_update_due(now) || changes.is_some();
        let has_news = has_news || !outbox.suspicions.is_empty() || !outbox.limits.is_empty();
        let has_news = has_news || !outbox.drains.is_empty();
        let limits = self.node.limit_updates(&outbox.limits, now);
        let drains = self.node.drain_updates(&outbox.drains, now);
        let suspicions = self.node.suspicion_updates(&outbox.suspicions, now);
        if let Some(scheduler) = scheduler {
            let results =
                outbox.results.iter().map(|(id, event)| encode_endpoint_result(id, *event));
            let first = LoadDigest {
                unfit: outbox.unfit.iter().map(EndpointId::to_string).collect(),
                results: results.collect(),
                restarts: restart_updates(&outbox),
                suspects: outbox.slow_engines.iter().map(EndpointId::to_string).collect(),
                suspicions: suspicions.clone(),
                limits: limits.clone(),
                drains: drains.clone(),
                open: has_news.then(|| self.node.own_open_work()),
                endpoint_changes: changes.clone(),
                ..self.node.digest()
            };
            let digests = self.node.pack_work(first, self.node.work_updates(&outbox));
            digests.iter().for_each(|digest| self.node.send_digest(digest, scheduler));
        }
        if has_news {
            let heartbeat = LoadDigest {
                endpoint_changes: changes,
                suspicions,
                limits,
                drains,
                ..self.node.digest()
            };
            let others = self.node.peers.borrow().local_schedulers(now);
            let others = others.into_iter().filter(|address| Some(*address) != scheduler);
            self.node.send_digest_to_all(&heartbeat, others);
        }
    }

    /// Whether the copies of the watched tables, their currency or this instance's role have
    /// changed, or a heartbeat is due.
    fn is_update_due(&self, now: Timestamp) -> bool {
        let currency = currency(&self.node).unwrap_or_default();
        let LastSent { at, proved_at, endpoints_proved_at, config, endpoints, .. } =
            &self.last_sent;
        let was_scheduler = &self.last_sent.is_scheduler;
        let proof = Timestamp(currency.proved_us);
        let endpoints_proof = Timestamp(currency.endpoints_proved_us.unwrap_or_default());
        let is_heartbeat_due = now.since(at.get()) >= HEARTBEAT_INTERVAL - BATCH_DELAY;
        let has_newer_proof = proof.since(proved_at.get()) >= MIN_PROOF_ADVANCE
            || endpoints_proof.since(endpoints_proved_at.get()) >= MIN_PROOF_ADVANCE;
        let is_scheduler = self.node.is_scheduler();
        let position = Cursor::new(currency.era, currency.endpoints_cursor);
        let has_changed = config.replace(currency.config_version) != currency.config_version
            || endpoints.replace(position) != position;
        let evacuated = currency.evacuations.unwrap_or_default().data_centres;
        let has_changed =
            self.last_sent.evacuated.replace(evacuated.clone()) != evacuated || has_changed;
        let has_new_role = was_scheduler.replace(is_scheduler) != is_scheduler;
        let has_news = is_heartbeat_due || has_newer_proof || has_changed || has_new_role;
        if has_news {
            at.set(now);
            proved_at.set(proof);
            endpoints_proved_at.set(endpoints_proof);
        }
        has_news
    }
}

impl Node {
    /// Removes the state of silent instances, and reviews this instance's role.
    pub(crate) fn sweep_peers(self: &Rc<Self>) {
        let now = self.clock.now();
        let silent = self.peers.borrow_mut().sweep(now);
        for (address, start) in silent {
            // An instance that no longer reports its work here may report it to another scheduler.
            if self.placement_grants.borrow().reporter(start).is_none() {
                self.forget_incarnation(start);
            }
            self.forget_reported_by(address);
        }
        self.placement_grants.borrow_mut().sweep(now);
        self.sweep_suspects(now);
        self.sweep_limits(now);
        self.sweep_signals(now);
        self.sweep_cold_endpoints(now);
        self.review_role();
        let instances = self.peers.borrow().instances(now);
        if self.metrics.live_instances.get() != instances as i64 {
            log::info!(target: "peers", instances; "number of live instances changed");
            self.metrics.live_instances.set(instances as i64);
            self.update_possible_instances(now);
        }
    }

    /// This instance's own requests that are placed.
    pub(crate) fn own_placed_work(&self) -> Vec<WorkId> {
        let own = self.incarnation();
        self.load.borrow().open_work().filter(|id| id.instance == own).collect()
    }

    /// All of this instance's own requests that are placed or waiting for a placement.
    fn own_open_work(&self) -> OpenWork {
        let own = self.incarnation();
        let pending = self.placement_requests.borrow();
        let all = self
            .own_placed_work()
            .into_iter()
            .chain(pending.open().filter(|id| id.instance == own));
        OpenWork { sequences: all.map(|id| id.sequence).collect() }
    }

    /// Updates of open work, grouped by instance.
    fn work_updates(&self, outbox: &Outbox) -> Vec<OwnersWork> {
        let mut owners: BTreeMap<u64, OwnersWork> = BTreeMap::new();
        let now = self.clock.now();
        let load = self.load.borrow();
        for id in &outbox.waiting {
            let Some(waiting) = load.waiting_prompt(*id) else { continue };
            owner_entry(&mut owners, *id).waiting.push(encode_waiting_work(now, *id, waiting));
        }
        for id in &outbox.placed {
            let Some((work, writing)) = load.work(*id) else { continue };
            owner_entry(&mut owners, *id).placed.push(encode_placed_work(now, *id, work, writing));
        }
        outbox
            .writing
            .iter()
            .for_each(|id| owner_entry(&mut owners, *id).writing.push(id.sequence));
        outbox.ended.iter().for_each(|id| owner_entry(&mut owners, *id).ended.push(id.sequence));
        owners.into_values().collect()
    }

    /// All work placed by instances of this data centre, for an instance that becomes a scheduler.
    pub(crate) fn work_of_data_centre(&self) -> Vec<OwnersWork> {
        let own = self.incarnation();
        let is_local =
            |id: &WorkId| id.instance == own || self.placement_grants.borrow().serves(id.instance);
        let load = self.load.borrow();
        let placed = load.open_work().filter(is_local).collect();
        let waiting = load.waiting().map(|(id, _)| id).filter(is_local).collect();
        drop(load);
        self.work_updates(&Outbox { placed, waiting, ..Outbox::default() })
    }

    /// Distributes work over a first digest and as many further ones as needed.
    pub(crate) fn pack_work(&self, first: LoadDigest, work: Vec<OwnersWork>) -> Vec<LoadDigest> {
        let mut digests = vec![first];
        let mut room = MAX_WORK_PER_DATAGRAM;
        for mut owners in work {
            loop {
                let size = owners.placed.len() + owners.waiting.len();
                if room == 0 || (size > room && room < MAX_WORK_PER_DATAGRAM) {
                    digests.push(self.digest());
                    room = MAX_WORK_PER_DATAGRAM;
                }
                let rest = owners.placed.split_off(owners.placed.len().min(room));
                room = room.saturating_sub(owners.placed.len() + owners.waiting.len());
                let instance = owners.instance;
                digests.last_mut().expect("digests is never empty").work.push(owners);
                if rest.is_empty() {
                    break;
                }
                owners = OwnersWork { instance, placed: rest, ..OwnersWork::default() };
            }
        }
        digests
    }

    /// Notifies all instances that know this one that it is stopping.
    pub(crate) fn send_bye(&self) {
        let digest = LoadDigest { bye: true, ..self.digest() };
        let addresses: Vec<_> = self.peers.borrow().addresses().collect();
        self.send_digest_to_all(&digest, addresses);
    }
}

fn owner_entry(owners: &mut BTreeMap<u64, OwnersWork>, id: WorkId) -> &mut OwnersWork {
    let instance = id.instance;
    owners.entry(instance).or_insert_with(|| OwnersWork { instance, ..OwnersWork::default() })
}
