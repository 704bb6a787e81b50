//! What all parts of one relay share.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use actix_http::ServiceConfig;
use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use ringbend_gateway::{
    Backoffs, Directory, HealthTracker, InstanceRank, Limits, LoadTracker, Outbox, PaceQueries,
    Peers, Permits, Quarantine, Replica, RetryBudget, StoreReaders, WorkId, fleet_backoff_factor,
};
use ringbend_runtime::Clock;
use ringbend_telemetry::Metrics;
use ringbend_types::{Fingerprint, Timestamp};
use ringbend_wire::EndpointChanges;
use tokio::sync::Notify;

use crate::asking::Asks;
use crate::config::RelayConfig;
use crate::crashes::Lookups;
use crate::granting::Grants;
use crate::keeping::LEARN_TIME;
use crate::link::{Link, Signals};
use crate::memory::HeldMemory;
use crate::ports::{ConfigDecoder, Cursor, Dialect, DurableStore, InstanceRecord};
use crate::signals::LoggedSignals;

/// One relay's state. It lives on one thread.
pub(crate) struct Node {
    pub(crate) cfg: RefCell<RelayConfig>,
    pub(crate) clock: Clock,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) decoder: Rc<dyn ConfigDecoder>,
    /// The configuration in force as its table holds it, for other instances.
    pub(crate) config_raw: RefCell<Option<Bytes>>,
    /// All changes of the configuration's table up to here are known.
    pub(crate) config_cursor: Cell<Cursor>,
    /// Copies that are being handed to other instances.
    pub(crate) handing: Cell<usize>,
    pub(crate) replica: RefCell<Replica>,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) load: RefCell<LoadTracker>,
    pub(crate) trust: RefCell<HealthTracker>,
    /// What endpoints take, by their own word.
    pub(crate) limits: RefCell<Limits>,
    /// What endpoints asked this instance not to send for a while.
    pub(crate) backoffs: RefCell<Backoffs>,
    /// What of endpoints' signals was logged.
    pub(crate) logged_signals: RefCell<LoggedSignals>,
    /// The places that such endpoints have left, where this instance counts them.
    pub(crate) places: RefCell<Permits>,
    pub(crate) budget: RefCell<RetryBudget>,
    pub(crate) rng: RefCell<SmallRng>,
    pub(crate) peers: RefCell<Peers>,
    /// Where instances listened when their rows were last read.
    pub(crate) rows: RefCell<Vec<InstanceRecord>>,
    /// What other instances have not been told yet.
    pub(crate) outbox: RefCell<Outbox>,
    pub(crate) signals: Signals,
    /// Carries digests to other instances; none where load is not shared.
    pub(crate) link: OnceCell<Link>,
    /// Which engines were asked for their pace.
    pub(crate) pace_asks: RefCell<PaceQueries>,
    /// What schedulers were asked and have not answered.
    pub(crate) asks: RefCell<Asks>,
    /// What this instance was asked as a scheduler.
    pub(crate) grants: RefCell<Grants>,
    /// Told when other instances have told of work.
    pub(crate) load_news: Notify,
    /// Told when a call to the store has failed.
    pub(crate) store_lost: Notify,
    /// Since when the sentinel's calls to the store fail.
    pub(crate) store_lost_at: Cell<Option<Timestamp>>,
    /// Told when the sentinel reaches the store again.
    pub(crate) store_regained: Notify,
    /// Told when this instance has read the configuration's table.
    pub(crate) store_read: Notify,
    /// Who reads the watched tables.
    pub(crate) readers: RefCell<StoreReaders>,
    /// Told when this instance begins to read.
    pub(crate) begins_to_read: Notify,
    /// Told when this instance leaves reading to others.
    pub(crate) ceases_to_read: Notify,
    /// Whether this instance has looked for others.
    pub(crate) joined: Cell<bool>,
    /// Told when something that a starting instance lacked has come.
    pub(crate) begun: Notify,
    /// Told when another instance has a newer configuration.
    pub(crate) config_news: Notify,
    /// Told when another instance has read endpoint changes that this one has not.
    pub(crate) endpoint_news: Notify,
    /// All changes of the endpoints' table up to here are known.
    pub(crate) endpoints_cursor: Cell<Cursor>,
    /// Told when an endpoint's process is known to have ended.
    pub(crate) endpoint_ended: Notify,
    /// Endpoint changes that others have not been told yet.
    pub(crate) endpoint_changes: RefCell<Option<EndpointChanges>>,
    /// Requests that are suspected of ending endpoints, or held for it.
    pub(crate) quarantine: RefCell<Quarantine>,
    /// Told when a request is held that was not.
    pub(crate) held_news: Notify,
    /// Whether this instance knows what there was to know of suspects when it started.
    pub(crate) knows_suspects: Cell<bool>,
    pub(crate) durable_store: Rc<dyn DurableStore>,
    /// Endpoints that were looked at as their connections broke.
    pub(crate) lookups: RefCell<Lookups>,
    /// The requests whose sends are open here.
    pub(crate) sends: RefCell<HashMap<WorkId, Fingerprint>>,
    pub(crate) metrics: Metrics,
    pub(crate) http: ServiceConfig,
    /// When a stop was asked for.
    pub(crate) stopping: Cell<Option<Timestamp>>,
    /// Told when it is.
    pub(crate) stop_begun: Notify,
    /// Requests that were read and have not ended.
    pub(crate) open: Cell<usize>,
    incarnation: u64,
    work: Cell<u64>,
}

/// A copy of the configuration older than this makes an instance not ready, so that the balancer
/// prefers others; callers are owed nothing by an instance without contact for three seconds.
const READY_AGE: Duration = Duration::from_millis(2_900);

impl Node {
    pub(crate) fn new(
        cfg: RelayConfig,
        clock: Clock,
        dialect: Rc<dyn Dialect>,
        decoder: Rc<dyn ConfigDecoder>,
        durable_store: Rc<dyn DurableStore>,
    ) -> Rc<Self> {
        let incarnation = rand::random();
        let budget = RetryBudget::new(cfg.bounds.budget());
        let unknown = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
        let own = InstanceRank::new(cfg.capacity(), cfg.listen.peers.unwrap_or(unknown));
        let peers = Peers::new(clock.now(), cfg.data_centre.clone(), own);
        Rc::new(Self {
            cfg: RefCell::new(cfg),
            clock,
            dialect,
            decoder,
            config_raw: RefCell::default(),
            config_cursor: Cell::default(),
            handing: Cell::new(0),
            replica: RefCell::default(),
            directory: RefCell::default(),
            load: RefCell::default(),
            trust: RefCell::default(),
            limits: RefCell::default(),
            backoffs: RefCell::default(),
            logged_signals: RefCell::default(),
            places: RefCell::default(),
            budget: RefCell::new(budget),
            rng: RefCell::new(SmallRng::seed_from_u64(incarnation)),
            peers: RefCell::new(peers),
            rows: RefCell::default(),
            outbox: RefCell::default(),
            signals: Signals::default(),
            link: OnceCell::new(),
            pace_asks: RefCell::default(),
            asks: RefCell::default(),
            grants: RefCell::default(),
            load_news: Notify::new(),
            store_lost: Notify::new(),
            store_lost_at: Cell::new(None),
            store_regained: Notify::new(),
            store_read: Notify::new(),
            readers: RefCell::new(StoreReaders::new(incarnation)),
            begins_to_read: Notify::new(),
            ceases_to_read: Notify::new(),
            joined: Cell::new(false),
            begun: Notify::new(),
            config_news: Notify::new(),
            endpoint_news: Notify::new(),
            endpoints_cursor: Cell::default(),
            endpoint_ended: Notify::new(),
            endpoint_changes: RefCell::default(),
            quarantine: RefCell::default(),
            held_news: Notify::new(),
            knows_suspects: Cell::new(false),
            durable_store,
            lookups: RefCell::default(),
            sends: RefCell::default(),
            metrics: Metrics::default(),
            http: ServiceConfig::default(),
            stopping: Cell::new(None),
            stop_begun: Notify::new(),
            open: Cell::new(0),
            incarnation,
            work: Cell::new(0),
        })
    }

    /// This start's own number.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether new callers should come here.
    pub(crate) fn is_ready(&self) -> bool {
        let age = self.replica.borrow().age(self.clock.now());
        let known = !self.directory.borrow().is_empty() && self.may_serve_unknown();
        self.stopping.get().is_none() && known && age.is_some_and(|age| age < READY_AGE)
    }

    /// Whether there are a configuration that was proved current once, and endpoints.
    pub(crate) fn has_begun(&self) -> bool {
        let proved = self.replica.borrow().proved_at().is_some();
        proved && !self.directory.borrow().is_empty() && self.may_serve_unknown()
    }

    /// Whether suspects are known, or cannot be had in time: the store is away and no other instance knows.
    fn may_serve_unknown(&self) -> bool {
        let waited = self.clock.now().since(self.clock.started_at());
        self.knows_suspects.get() || waited >= LEARN_TIME
    }

    /// How much longer than alone an instance waits between calls to a lost store: one that reaches it
    /// again tells all others.
    pub(crate) fn fleet_backoff_factor(&self) -> f64 {
        fleet_backoff_factor(self.peers.borrow().instances(self.clock.now()))
    }

    /// A name for new work.
    pub(crate) fn next_work(&self) -> WorkId {
        self.work.set(self.work.get() + 1);
        WorkId { instance: self.incarnation, sequence: self.work.get() }
    }

    /// Whether this instance schedules for its data centre.
    pub(crate) fn schedules(&self) -> bool {
        self.peers.borrow().schedules()
    }

    /// Notes that work has ended, however it did.
    pub(crate) fn end(&self, id: WorkId) {
        self.load.borrow_mut().end(self.clock.now(), id);
        self.outbox.borrow_mut().ended.push(id);
        self.signals.soon.notify_one();
    }

    /// Counts a request as open until the guard is dropped.
    pub(crate) fn open(self: &Rc<Self>) -> Open {
        self.open.set(self.open.get() + 1);
        Open { node: self.clone() }
    }
}

/// A send that is asked for, waits or runs. Dropping it takes it off the books of all instances.
pub(crate) struct Placed {
    node: Rc<Node>,
    pub(crate) id: WorkId,
    /// Memory that is held for it.
    pub(crate) memory: Option<HeldMemory>,
}

impl Placed {
    /// A send that is about to be asked for.
    pub(crate) fn new(node: Rc<Node>) -> Self {
        let id = node.next_work();
        Self { node, id, memory: None }
    }

    /// Notes that the prompt has been read.
    pub(crate) fn first_event(&self) {
        self.node.load.borrow_mut().first_event(self.id);
        self.node.outbox.borrow_mut().writing.push(self.id);
        self.node.signals.soon.notify_one();
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        self.node.sends.borrow_mut().remove(&self.id);
        self.node.end(self.id);
    }
}

/// A request that was read. Dropping it counts it as ended.
pub(crate) struct Open {
    node: Rc<Node>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.node.open.set(self.node.open.get() - 1);
    }
}
