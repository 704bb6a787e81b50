//! State shared by all parts of one relay.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;
use std::time::Duration;

use actix_http::ServiceConfig;
use bytes::Bytes;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use ringbend_gateway::{
    AccountShares, Backoffs, Carriers, ColdPacing, Directory, Freshness, HealthTracker,
    InstanceRank, Limits, LoadTracker, Membership, Outbox, PaceQueries, Peers, Permits, Quarantine,
    Reachability, Replica, RetryBudget, SpreadSequence, StartSurvey, StoreOutages, StorePace,
    StoreReaders, WorkId, fleet_backoff_factor,
};
use ringbend_runtime::{Clock, Panicked};
use ringbend_telemetry::Metrics;
use ringbend_types::{Cursor, ServiceName, Timestamp};
use ringbend_wire::EndpointChanges;
use tokio::sync::Notify;

use crate::buffers::BufferBudget;
use crate::config::RelayConfig;
use crate::crashes::EndpointProbes;
use crate::lost_endpoints::LossChecks;
use crate::overload_queues::OverloadQueues;
use crate::peer_socket::{FlushSignals, PeerSocket};
use crate::placement_grants::PlacementGrants;
use crate::placement_requests::PlacementRequests;
use crate::ports::{ConfigDecoder, Dialect, DurableStore, Network};
use crate::registry_copy::RegistryCopy;
use crate::reservations::MemoryReservations;
use crate::resources::{CallerConnections, body_bytes};
use crate::signals::LoggedSignals;
use crate::survival::Survivors;
use crate::suspect_keys::SuspectKeys;
use crate::suspect_store::SUSPECTS_WAIT;

/// The state of one relay. It is confined to one thread.
pub(crate) struct Node {
    pub(crate) cfg: RefCell<RelayConfig>,
    pub(crate) clock: Clock,
    pub(crate) dialect: Rc<dyn Dialect>,
    pub(crate) network: Rc<dyn Network>,
    pub(crate) config_decoder: Rc<dyn ConfigDecoder>,
    /// The active configuration, encoded as in its table; served to other instances.
    pub(crate) encoded_config: RefCell<Option<Bytes>>,
    /// The change history of the configuration table is known up to this position.
    pub(crate) config_cursor: Cell<Cursor>,
    /// The number of copies of watched tables that are currently being sent to other instances.
    pub(crate) active_copy_responses: Cell<usize>,
    pub(crate) replica: RefCell<Replica>,
    pub(crate) directory: RefCell<Directory>,
    pub(crate) load: RefCell<LoadTracker>,
    pub(crate) health: RefCell<HealthTracker>,
    /// Which endpoints this instance does not reach directly.
    pub(crate) reachability: RefCell<Reachability>,
    /// Which other instances have carried connections to endpoints.
    pub(crate) carriers: RefCell<Carriers>,
    /// The connections to endpoints that this instance carries for others.
    pub(crate) open_tunnels: Cell<usize>,
    /// Rate limits that endpoints announce in their responses.
    pub(crate) limits: RefCell<Limits>,
    /// Endpoints that asked this instance to send nothing for a while.
    pub(crate) backoffs: RefCell<Backoffs>,
    /// The requests that this instance may place on cold endpoints.
    pub(crate) cold_pacing: RefCell<ColdPacing>,
    /// Which endpoint signals were logged already.
    pub(crate) logged_signals: RefCell<LoggedSignals>,
    /// Permits for rate-limited endpoints, where this instance is the limit coordinator.
    pub(crate) permits: RefCell<Permits>,
    pub(crate) budget: RefCell<RetryBudget>,
    /// Recent use of engines by the client accounts of long prompts that this instance placed.
    pub(crate) prompt_shares: RefCell<BTreeMap<ServiceName, AccountShares>>,
    pub(crate) rng: RefCell<SmallRng>,
    pub(crate) peers: RefCell<Peers>,
    /// The registry's entries when it was last read.
    pub(crate) registry_records: RefCell<RegistryCopy>,
    /// The instances that may run, live or silent.
    pub(crate) membership: RefCell<Membership>,
    /// The number of instances that may run, updated about once per second.
    pub(crate) possible_instances: Cell<usize>,
    /// Notified when this instance's row was found to be missing in the registry.
    pub(crate) registration_due: Notify,
    /// Updates that have not been sent to other instances yet.
    pub(crate) outbox: RefCell<Outbox>,
    /// Short prompts that wait for engines, where this instance plans for their service.
    pub(crate) overload: RefCell<OverloadQueues>,
    pub(crate) flush: FlushSignals,
    /// The socket for datagrams to other instances; unset if no peer address is configured.
    pub(crate) peer_socket: OnceCell<PeerSocket>,
    /// When engines were last asked for their pace.
    pub(crate) pace_queries: RefCell<PaceQueries>,
    /// The engines that were asked for their load after the start, and their answers.
    pub(crate) survey: RefCell<StartSurvey>,
    /// The order of engines for requests while no other instance is known.
    pub(crate) spread: RefCell<SpreadSequence>,
    /// Placement requests to schedulers that have no reply yet.
    pub(crate) placement_requests: RefCell<PlacementRequests>,
    /// Placement requests that this instance received as a scheduler.
    pub(crate) placement_grants: RefCell<PlacementGrants>,
    /// Notified when other instances report changes of their open work.
    pub(crate) load_changed: Notify,
    /// Notified when a call to the store has failed.
    pub(crate) store_lost: Notify,
    /// Start of the current store outage, as detected by the configuration watch.
    pub(crate) store_lost_at: Cell<Option<Timestamp>>,
    /// Whether the configuration watch has lost the store since the start.
    pub(crate) had_store_outage: Cell<bool>,
    /// Notified when the configuration watch reaches the store again.
    pub(crate) store_recovered: Notify,
    /// Notified when this instance has read the configuration table.
    pub(crate) store_read: Notify,
    /// When the store last answered any instance.
    pub(crate) outages: RefCell<StoreOutages>,
    /// How long the store's responses take.
    pub(crate) store_pace: Cell<StorePace>,
    /// Which instances read the watched tables from the store.
    pub(crate) readers: RefCell<StoreReaders>,
    /// Notified when this instance becomes a scheduler or ceases to be one.
    pub(crate) role_changed: Notify,
    /// Notified when this instance starts to read the watched tables.
    pub(crate) started_reading: Notify,
    /// Notified when this instance leaves reading to other instances.
    pub(crate) stopped_reading: Notify,
    /// Whether this instance has completed its search for other instances.
    pub(crate) joined: Cell<bool>,
    /// Notified when state that a starting instance waits for has arrived.
    pub(crate) startup_progress: Notify,
    /// Notified when another instance has a newer configuration.
    pub(crate) newer_config: Notify,
    /// Notified when another instance has read endpoint changes that are unknown here.
    pub(crate) newer_endpoints: Notify,
    /// The position in the store's history as of which this instance last read the endpoint table.
    pub(crate) endpoints_read_at: Cell<Cursor>,
    /// Converts the store's clock in responses about the endpoints.
    pub(crate) endpoints_freshness: RefCell<Freshness>,
    /// The change history of the endpoint table is known up to this position.
    pub(crate) endpoints_cursor: Cell<Cursor>,
    /// Notified when rows of endpoints were read.
    pub(crate) endpoints_changed: Notify,
    /// The latest checks whether engines are lost.
    pub(crate) loss_checks: RefCell<LossChecks>,
    /// Notified when the end of an endpoint's process becomes known.
    pub(crate) endpoint_ended: Notify,
    /// Endpoint changes that have not been sent to other instances yet.
    pub(crate) endpoint_changes: RefCell<Option<EndpointChanges>>,
    /// Requests that are suspected of crashing endpoints, or held for that reason.
    pub(crate) quarantine: RefCell<Quarantine>,
    /// Notified when another request becomes held.
    pub(crate) request_held: Notify,
    /// Whether this instance has the suspects that were known to others when it started.
    pub(crate) knows_suspects: Cell<bool>,
    pub(crate) durable_store: Rc<dyn DurableStore>,
    /// Recent connection probes of endpoints on which a request broke off.
    pub(crate) probes: RefCell<EndpointProbes>,
    /// Requests that are currently open on endpoints.
    pub(crate) open_sends: RefCell<HashMap<WorkId, Rc<SuspectKeys>>>,
    /// Runs that have recently outlived the time in which a fatal prompt crashes its engine.
    pub(crate) survivors: RefCell<Survivors>,
    pub(crate) callers: CallerConnections,
    /// The memory that bodies of requests and responses take.
    pub(crate) buffers: Rc<BufferBudget>,
    pub(crate) metrics: Metrics,
    pub(crate) http_config: ServiceConfig,
    /// When the stop of this instance was requested.
    pub(crate) stopping_since: Cell<Option<Timestamp>>,
    /// Notified when a stop is requested.
    pub(crate) stop_started: Notify,
    /// The number of requests that were read and have not ended.
    pub(crate) open_requests: Cell<usize>,
    incarnation: u64,
    last_sequence: Cell<u64>,
}

/// With a configuration older than this the instance is not ready, so that the load balancer
/// prefers other instances. An instance without contact to the store or its peers for three seconds
/// is not expected to serve callers.
const MAX_READY_CONFIG_AGE: Duration = Duration::from_millis(2_900);

impl Node {
    /// Records that the task of a request panicked.
    pub(crate) fn record_panic(&self, id: &str, panic: &Panicked) {
        log::error!(target: "request", id, error:% = panic; "request task failed");
        self.metrics.request_panicked();
    }

    pub(crate) fn new(
        cfg: RelayConfig,
        clock: Clock,
        dialect: Rc<dyn Dialect>,
        network: Rc<dyn Network>,
        config_decoder: Rc<dyn ConfigDecoder>,
        durable_store: Rc<dyn DurableStore>,
    ) -> Rc<Self> {
        let incarnation = rand::random();
        let callers = CallerConnections::new(&cfg);
        let buffers = BufferBudget::new(body_bytes(&cfg), callers.connections.clone());
        let budget = RetryBudget::new(cfg.bounds.budget());
        let unknown = SocketAddrV4::new(Ipv4Addr::UNSPECIFIED, 0);
        let own = InstanceRank::new(cfg.capacity(), cfg.listen.peers.unwrap_or(unknown));
        let spread = RefCell::new(SpreadSequence::new(cfg.instance.as_str()));
        let survey = RefCell::new(StartSurvey::new(clock.started_at()));
        let mut peers = Peers::new(clock.now(), cfg.data_centre.clone(), own);
        peers.set_expected_data_centres(cfg.regions.data_centres().cloned());
        let membership = Membership::new(cfg.data_centre.clone());
        Rc::new(Self {
            cfg: RefCell::new(cfg),
            clock,
            dialect,
            network,
            config_decoder,
            encoded_config: RefCell::default(),
            config_cursor: Cell::default(),
            active_copy_responses: Cell::new(0),
            replica: RefCell::default(),
            directory: RefCell::default(),
            load: RefCell::default(),
            health: RefCell::default(),
            reachability: RefCell::default(),
            carriers: RefCell::default(),
            open_tunnels: Cell::new(0),
            limits: RefCell::default(),
            backoffs: RefCell::default(),
            cold_pacing: RefCell::default(),
            logged_signals: RefCell::default(),
            permits: RefCell::default(),
            budget: RefCell::new(budget),
            prompt_shares: RefCell::default(),
            rng: RefCell::new(SmallRng::seed_from_u64(incarnation)),
            peers: RefCell::new(peers),
            registry_records: RefCell::default(),
            membership: RefCell::new(membership),
            possible_instances: Cell::default(),
            registration_due: Notify::new(),
            outbox: RefCell::default(),
            overload: RefCell::default(),
            flush: FlushSignals::default(),
            peer_socket: OnceCell::new(),
            pace_queries: RefCell::default(),
            survey,
            spread,
            placement_requests: RefCell::default(),
            placement_grants: RefCell::default(),
            load_changed: Notify::new(),
            store_lost: Notify::new(),
            store_lost_at: Cell::new(None),
            had_store_outage: Cell::new(false),
            store_recovered: Notify::new(),
            store_read: Notify::new(),
            outages: RefCell::default(),
            store_pace: Cell::default(),
            readers: RefCell::new(StoreReaders::new(incarnation)),
            role_changed: Notify::new(),
            started_reading: Notify::new(),
            stopped_reading: Notify::new(),
            joined: Cell::new(false),
            startup_progress: Notify::new(),
            newer_config: Notify::new(),
            newer_endpoints: Notify::new(),
            endpoints_read_at: Cell::default(),
            endpoints_freshness: RefCell::default(),
            endpoints_cursor: Cell::default(),
            endpoints_changed: Notify::new(),
            loss_checks: RefCell::default(),
            endpoint_ended: Notify::new(),
            endpoint_changes: RefCell::default(),
            quarantine: RefCell::default(),
            request_held: Notify::new(),
            knows_suspects: Cell::new(false),
            durable_store,
            probes: RefCell::default(),
            open_sends: RefCell::default(),
            survivors: RefCell::default(),
            callers,
            buffers,
            metrics: Metrics::default(),
            http_config: ServiceConfig::default(),
            stopping_since: Cell::new(None),
            stop_started: Notify::new(),
            open_requests: Cell::new(0),
            incarnation,
            last_sequence: Cell::new(0),
        })
    }

    /// A random number that identifies this start of the process.
    pub(crate) fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether the load balancer should send new callers to this instance.
    pub(crate) fn is_ready(&self) -> bool {
        let age = self.replica.borrow().age(self.clock.now());
        let has_state = !self.directory.borrow().is_empty() && self.is_suspects_wait_over();
        self.stopping_since.get().is_none()
            && has_state
            && !self.is_cut_off()
            && age.is_some_and(|age| age < MAX_READY_CONFIG_AGE)
    }

    /// Whether this instance has endpoints and a configuration that was proved current at least
    /// once, and the wait for the suspects is over.
    pub(crate) fn has_initial_state(&self) -> bool {
        let has_proof = self.replica.borrow().proved_at().is_some();
        has_proof && !self.directory.borrow().is_empty() && self.is_suspects_wait_over()
    }

    /// Whether the suspects are known, or the wait for them is over because neither the store nor
    /// another instance provides them.
    fn is_suspects_wait_over(&self) -> bool {
        let waited = self.clock.now().since(self.clock.started_at());
        self.knows_suspects.get() || waited >= SUSPECTS_WAIT
    }

    /// Factor by which this instance lengthens its delay between calls to an unavailable store. It
    /// grows with the number of instances, as the first one to reach the store again informs all
    /// others.
    pub(crate) fn store_retry_factor(&self) -> f64 {
        fleet_backoff_factor(self.peers.borrow().instances(self.clock.now()))
    }

    /// Allocates the id of a new send.
    pub(crate) fn next_work_id(&self) -> WorkId {
        self.last_sequence.set(self.last_sequence.get() + 1);
        WorkId { instance: self.incarnation, sequence: self.last_sequence.get() }
    }

    /// Whether this instance is a scheduler of its data centre.
    pub(crate) fn is_scheduler(&self) -> bool {
        self.peers.borrow().schedules()
    }

    /// Records that a send has ended, whatever its outcome.
    pub(crate) fn end_work(&self, id: WorkId) {
        self.load.borrow_mut().end(self.clock.now(), id);
        self.outbox.borrow_mut().ended.push(id);
        self.flush.batched.notify_one();
    }

    /// Counts a request as open until the returned guard is dropped.
    pub(crate) fn track_request(self: &Rc<Self>) -> OpenRequest {
        self.open_requests.set(self.open_requests.get() + 1);
        OpenRequest { node: self.clone() }
    }
}

/// A send that waits for its placement, is queued or runs. Dropping it removes it from the load
/// trackers of all instances.
pub(crate) struct TrackedSend {
    node: Rc<Node>,
    pub(crate) id: WorkId,
    /// Memory that is reserved for it on engines.
    pub(crate) memory: Option<MemoryReservations>,
}

impl TrackedSend {
    /// Creates the record of a send that is about to be placed.
    pub(crate) fn new(node: Rc<Node>) -> Self {
        let id = node.next_work_id();
        Self { node, id, memory: None }
    }

    /// Records that the prompt has been prefilled.
    pub(crate) fn record_first_event(&self) {
        self.node.load.borrow_mut().first_event(self.id);
        self.node.outbox.borrow_mut().writing.push(self.id);
        self.node.flush.batched.notify_one();
    }
}

impl Drop for TrackedSend {
    fn drop(&mut self) {
        self.node.open_sends.borrow_mut().remove(&self.id);
        self.node.end_work(self.id);
    }
}

/// Guard of a request that was read. Dropping it counts the request as ended.
pub(crate) struct OpenRequest {
    node: Rc<Node>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.node.open_requests.set(self.node.open_requests.get() - 1);
    }
}
