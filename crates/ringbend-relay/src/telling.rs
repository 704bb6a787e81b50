//! Tells other instances what is new here.
//!
//! Schedulers tell each other of all work that they place, and the instances of their data centre of
//! what the watched tables hold. Those tell one scheduler of their requests.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

use ringbend_gateway::{HEARTBEAT_INTERVAL, Outbox, WorkId};
use ringbend_types::{EndpointId, Timestamp};
use ringbend_wire::{
    EndpointChanges, EndpointRestart, LoadDigest, OpenWork, OwnersWork, encode_endpoint_restart,
    encode_endpoint_result, encode_placed_work, encode_waiting_work,
};

use crate::link::GATHER;
use crate::node::Node;
use crate::pacing::told_paces;
use crate::relayed::{PROOF_STEP, currency};

/// The most work told in one datagram, so that it fits a packet.
const WORK_PER_DATAGRAM: usize = 8;

/// What was told last, and when.
#[derive(Default)]
struct Told {
    at: Cell<Timestamp>,
    proved_at: Cell<Timestamp>,
    config: Cell<u64>,
    endpoints: Cell<u64>,
    schedules: Cell<bool>,
    /// Whom this instance tells of its requests, if it does not schedule.
    scheduler: Cell<Option<SocketAddrV4>>,
}

/// Tells other instances what is new here.
pub(crate) struct Teller {
    node: Rc<Node>,
    told: Told,
}

fn restarts(outbox: &Outbox) -> Vec<EndpointRestart> {
    outbox
        .restarts
        .iter()
        .map(|(endpoint, start)| encode_endpoint_restart(endpoint, *start))
        .collect()
}

impl Teller {
    pub(crate) fn new(node: Rc<Node>) -> Self {
        Self { node, told: Told::default() }
    }

    /// Tells for as long as the process lives.
    pub(crate) async fn run(self) {
        let signals = &self.node.signals;
        loop {
            tokio::select! {
                () = signals.now.notified() => {}
                // Gathering must not hold up a placement: until others know of it they choose the same
                // engine.
                () = signals.soon.notified() => tokio::select! {
                    () = signals.now.notified() => {}
                    () = tokio::time::sleep(GATHER) => {}
                },
                () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {}
            }
            self.node.sweep_peers();
            let outbox = std::mem::take(&mut *self.node.outbox.borrow_mut());
            let changes = self.node.endpoint_changes.borrow_mut().take();
            if self.node.schedules() {
                self.node.look_into(outbox.slow_engines.iter().cloned());
                self.tell_as_scheduler(&outbox, changes);
            } else {
                self.tell_as_member(outbox, changes);
            }
        }
    }

    fn tell_as_scheduler(&self, outbox: &Outbox, changes: Option<EndpointChanges>) {
        let now = self.node.clock.now();
        self.told.scheduler.set(None);
        let news = self.has_news(now) || changes.is_some();
        let suspects_at_home = !outbox.local_suspicions.is_empty();
        let news = news || suspects_at_home || !outbox.local_limits.is_empty();
        let news = news || !outbox.local_drains.is_empty();
        let first = LoadDigest {
            suspicions: self.node.told_suspicions(&outbox.suspicions, now),
            limits: self.node.told_limits(&outbox.limits, now),
            drains: self.node.told_drains(&outbox.drains, now),
            unfit: outbox.unfit.iter().map(EndpointId::to_string).collect(),
            gone: outbox.ended_instances.clone(),
            restarts: restarts(outbox),
            paces: told_paces(&outbox.paces),
            endpoint_changes: changes.clone(),
            ..self.node.digest()
        };
        let news = news || !first.restarts.is_empty();
        let work = self.node.news_of_work(outbox);
        let is_quiet = first.unfit.is_empty() && first.gone.is_empty() && first.paces.is_empty();
        if !news && work.is_empty() && is_quiet {
            return;
        }
        let fellows = self.node.peers.borrow().other_schedulers(now);
        for digest in &self.node.with_work(first, work) {
            self.node.tell_all(digest, fellows.iter().copied());
        }
        if !news {
            return;
        }
        let heartbeat = LoadDigest {
            endpoint_changes: changes,
            restarts: restarts(outbox),
            suspicions: self.node.told_suspicions(&outbox.local_suspicions, now),
            limits: self.node.told_limits(&outbox.local_limits, now),
            drains: self.node.told_drains(&outbox.local_drains, now),
            ..self.node.digest()
        };
        let peers = self.node.peers.borrow();
        self.node.tell_all(&heartbeat, peers.members(now).chain(peers.silent_schedulers(now)));
        let wanted = LoadDigest { call_up: true, ..self.node.digest() };
        self.node.tell_all(&wanted, peers.promotion_candidates(now));
    }

    fn tell_as_member(&self, mut outbox: Outbox, changes: Option<EndpointChanges>) {
        let now = self.node.clock.now();
        let scheduler = self.node.peers.borrow().scheduler(now, &[]);
        if self.told.scheduler.replace(scheduler) != scheduler {
            log::info!(target: "peers", scheduler:? = scheduler; "scheduler");
            // The one before may be gone with what it knew.
            outbox.placed.extend(self.node.own_work());
        }
        let news = self.has_news(now) || changes.is_some();
        let news = news || !outbox.suspicions.is_empty() || !outbox.limits.is_empty();
        let news = news || !outbox.drains.is_empty();
        let limits = self.node.told_limits(&outbox.limits, now);
        let drains = self.node.told_drains(&outbox.drains, now);
        let suspicions = self.node.told_suspicions(&outbox.suspicions, now);
        if let Some(scheduler) = scheduler {
            let results =
                outbox.results.iter().map(|(id, event)| encode_endpoint_result(id, *event));
            let first = LoadDigest {
                unfit: outbox.unfit.iter().map(EndpointId::to_string).collect(),
                results: results.collect(),
                restarts: restarts(&outbox),
                suspects: outbox.slow_engines.iter().map(EndpointId::to_string).collect(),
                suspicions: suspicions.clone(),
                limits: limits.clone(),
                drains: drains.clone(),
                open: news.then(|| self.node.open_work()),
                endpoint_changes: changes.clone(),
                ..self.node.digest()
            };
            let digests = self.node.with_work(first, self.node.news_of_work(&outbox));
            digests.iter().for_each(|digest| self.node.tell(digest, scheduler));
        }
        if news {
            let heartbeat = LoadDigest {
                endpoint_changes: changes,
                suspicions,
                limits,
                drains,
                ..self.node.digest()
            };
            let others = self.node.peers.borrow().local_schedulers(now);
            let others = others.into_iter().filter(|address| Some(*address) != scheduler);
            self.node.tell_all(&heartbeat, others);
        }
    }

    /// Whether what the watched tables hold here, how current it is or this instance's part has
    /// changed, or nothing was told for a heartbeat.
    fn has_news(&self, now: Timestamp) -> bool {
        let currency = currency(&self.node).unwrap_or_default();
        let Told { at, proved_at, config, endpoints, schedules, .. } = &self.told;
        let proof = Timestamp(currency.proved_us);
        let is_due = now.since(at.get()) >= HEARTBEAT_INTERVAL - GATHER;
        let is_proved = proof.since(proved_at.get()) >= PROOF_STEP;
        let part = self.node.schedules();
        let has_changed = config.replace(currency.config_version) != currency.config_version
            || endpoints.replace(currency.endpoints_cursor) != currency.endpoints_cursor;
        let has_new_part = schedules.replace(part) != part;
        let news = is_due || is_proved || has_changed || has_new_part;
        if news {
            at.set(now);
            proved_at.set(proof);
        }
        news
    }
}

impl Node {
    /// Forgets what silent instances told, and looks at this one's part again.
    pub(crate) fn sweep_peers(self: &Rc<Self>) {
        let now = self.clock.now();
        let silent = self.peers.borrow_mut().sweep(now);
        for (address, start) in silent {
            // An instance that no longer tells this one of its work may tell another scheduler.
            if self.grants.borrow().teller(start).is_none() {
                self.forget_start(start);
            }
            self.forget_told_by(address);
        }
        self.grants.borrow_mut().sweep(now);
        self.sweep_suspects(now);
        self.sweep_limits(now);
        self.sweep_signals(now);
        self.review_role();
        let instances = self.peers.borrow().instances(now);
        if self.metrics.live_instances.get() != instances as i64 {
            log::info!(target: "peers", instances; "instances");
            self.metrics.live_instances.set(instances as i64);
            self.budget.borrow_mut().set_instances(now, instances);
        }
    }

    /// The own requests that are placed.
    pub(crate) fn own_work(&self) -> Vec<WorkId> {
        let own = self.incarnation();
        self.load.borrow().open_work().filter(|id| id.instance == own).collect()
    }

    /// All own requests that are placed or asked for.
    fn open_work(&self) -> OpenWork {
        let own = self.incarnation();
        let asks = self.asks.borrow();
        let all = self.own_work().into_iter().chain(asks.open().filter(|id| id.instance == own));
        OpenWork { sequences: all.map(|id| id.sequence).collect() }
    }

    /// What is new of each instance's work.
    fn news_of_work(&self, outbox: &Outbox) -> Vec<OwnersWork> {
        let mut owners: BTreeMap<u64, OwnersWork> = BTreeMap::new();
        let now = self.clock.now();
        let load = self.load.borrow();
        for id in &outbox.waiting {
            let Some(waiting) = load.waiting_prompt(*id) else { continue };
            owner(&mut owners, *id).waiting.push(encode_waiting_work(now, *id, waiting));
        }
        for id in &outbox.placed {
            let Some((work, writing)) = load.work(*id) else { continue };
            owner(&mut owners, *id).placed.push(encode_placed_work(now, *id, work, writing));
        }
        outbox.writing.iter().for_each(|id| owner(&mut owners, *id).writing.push(id.sequence));
        outbox.ended.iter().for_each(|id| owner(&mut owners, *id).ended.push(id.sequence));
        owners.into_values().collect()
    }

    /// All work that instances of this data centre have placed, for one that begins to schedule.
    pub(crate) fn work_of_home(&self) -> Vec<OwnersWork> {
        let own = self.incarnation();
        let at_home = |id: &WorkId| id.instance == own || self.grants.borrow().serves(id.instance);
        let load = self.load.borrow();
        let placed = load.open_work().filter(at_home).collect();
        let waiting = load.waiting().map(|(id, _)| id).filter(at_home).collect();
        drop(load);
        self.news_of_work(&Outbox { placed, waiting, ..Outbox::default() })
    }

    /// Adds work to a first digest, and to as many further ones as it takes.
    pub(crate) fn with_work(&self, first: LoadDigest, work: Vec<OwnersWork>) -> Vec<LoadDigest> {
        let mut digests = vec![first];
        let mut room = WORK_PER_DATAGRAM;
        for mut owners in work {
            loop {
                let size = owners.placed.len() + owners.waiting.len();
                if room == 0 || (size > room && room < WORK_PER_DATAGRAM) {
                    digests.push(self.digest());
                    room = WORK_PER_DATAGRAM;
                }
                let rest = owners.placed.split_off(owners.placed.len().min(room));
                room = room.saturating_sub(owners.placed.len() + owners.waiting.len());
                let instance = owners.instance;
                digests.last_mut().expect("has a first").work.push(owners);
                if rest.is_empty() {
                    break;
                }
                owners = OwnersWork { instance, placed: rest, ..OwnersWork::default() };
            }
        }
        digests
    }

    /// Tells all that know this instance that it stops.
    pub(crate) fn bye(&self) {
        let digest = LoadDigest { bye: true, ..self.digest() };
        let addresses: Vec<_> = self.peers.borrow().addresses().collect();
        self.tell_all(&digest, addresses);
    }
}

fn owner(owners: &mut BTreeMap<u64, OwnersWork>, id: WorkId) -> &mut OwnersWork {
    let instance = id.instance;
    owners.entry(instance).or_insert_with(|| OwnersWork { instance, ..OwnersWork::default() })
}
