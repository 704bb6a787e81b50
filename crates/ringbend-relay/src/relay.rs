//! Starting a relay, reloading its settings and reading its state.

use std::fmt;
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, SocketAddrV4};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use ringbend_gateway::{Endpoint, EndpointChange, WatchedTable};
use ringbend_runtime::{Clock, Server, ServerConfig, serve, serve_with_tunnels};
use ringbend_types::Timestamp;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::admin::{AdminServer, ReadinessCheck};
use crate::callers::Callers;
use crate::config::RelayConfig;
use crate::config_copy::ConfigCopy;
use crate::connector::check_lost_paths;
use crate::copy_server::CopyServer;
use crate::discovery::{greet_seeds, join};
use crate::endpoint_copy::EndpointCopy;
use crate::gossip_receiver::receive_digests;
use crate::gossip_sender::GossipSender;
use crate::membership::recover_membership;
use crate::node::Node;
use crate::peer_socket::PeerSocket;
use crate::ports::{
    ConfigDecoder, ConfigSource, Dialect, DurableStore, EndpointSource, InstanceRegistry, Network,
    OperatorChange,
};
use crate::registry_watch::{follow_registry, register_on_request};
use crate::resources::admin_server_config;
use crate::start_survey::survey_engines;
use crate::suspect_store::load_suspects;
use crate::table_copies::copy_age;
use crate::tunnel_server::TunnelServer;
use crate::watch::Watch;

/// Why a relay did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayError {
    /// The relay cannot listen on this address.
    Listen(SocketAddr),
}

impl fmt::Display for RelayError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Listen(address) => write!(f, "cannot listen on {address}"),
        }
    }
}

impl std::error::Error for RelayError {}

/// The interfaces that an adapter provides.
pub struct Ports {
    /// Headers, paths and bodies of requests and responses.
    pub dialect: Rc<dyn Dialect>,
    /// The configuration table.
    pub config: Rc<ConfigSource>,
    /// Decodes configurations that were fetched from other instances.
    pub config_decoder: Rc<dyn ConfigDecoder>,
    /// The table of registered endpoints.
    pub endpoints: Rc<EndpointSource>,
    /// Registry through which instances discover each other.
    pub registry: Rc<dyn InstanceRegistry>,
    /// Storage for data that must survive the end of all instances.
    pub durable_store: Rc<dyn DurableStore>,
    /// Connections to endpoints and other instances.
    pub network: Rc<dyn Network>,
}

/// A running relay.
pub struct Relay {
    pub(crate) node: Rc<Node>,
    pub(crate) servers: Vec<Server>,
    pub(crate) tasks: Vec<JoinHandle<()>>,
    pub(crate) registry: Rc<dyn InstanceRegistry>,
}

/// How long an instance that starts waits for an address that is in use.
const ADDRESS_IN_USE_TIMEOUT: Duration = Duration::from_secs(5);

/// The interval between tries to listen on an address that is in use.
const ADDRESS_RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Indices into the list of servers.
const CALLERS: usize = 0;
const READY: usize = 1;
const METRICS: usize = 2;

/// Initial value of this instance's clock. Other instances report when they last verified a copy,
/// which may be before this instance started; a copy that was verified longer ago than this is too
/// old to be used.
const CLOCK_AT_START: Timestamp = Timestamp(60_000_000);

impl Relay {
    /// Starts a relay on the current thread.
    ///
    /// # Errors
    ///
    /// The relay cannot listen on one of its addresses.
    pub async fn start(cfg: RelayConfig, ports: Ports) -> Result<Self, Report<RelayError>> {
        Self::start_inner(cfg, ports, Clock::start_at(CLOCK_AT_START)).await
    }

    /// Like [`Self::start`], with a clock that reads its time from `read`; used by tests of
    /// suspended machines.
    ///
    /// # Errors
    ///
    /// The relay cannot listen on one of its addresses.
    pub async fn start_with_clock(
        cfg: RelayConfig,
        ports: Ports,
        read: fn() -> Duration,
    ) -> Result<Self, Report<RelayError>> {
        Self::start_inner(cfg, ports, Clock::with_source(read, CLOCK_AT_START)).await
    }

    async fn start_inner(
        cfg: RelayConfig,
        ports: Ports,
        clock: Clock,
    ) -> Result<Self, Report<RelayError>> {
        cfg.unknown.iter().for_each(|warning| log::warn!(target: "relay", "{warning}"));
        let listen = cfg.listen.clone();
        let seeds = cfg.listen.seeds.clone();
        let node = Node::new(
            cfg,
            clock,
            ports.dialect,
            ports.network,
            ports.config_decoder,
            ports.durable_store,
        );
        let mut servers = Vec::new();
        let callers = Rc::new(Callers { node: node.clone() });
        let callers_config = node.callers.server_config();
        servers.push(start_server(listen.callers.into(), callers_config, callers).await?);
        let readiness = Rc::new(ReadinessCheck { node: node.clone() });
        servers.push(start_server(listen.ready.into(), admin_server_config(), readiness).await?);
        if let Some(address) = listen.metrics {
            let admin = Rc::new(AdminServer { node: node.clone() });
            servers.push(start_server(address.into(), admin_server_config(), admin).await?);
        }
        let config =
            Watch::<OperatorChange, OperatorChange, _>::new(node.clone(), ports.config, ConfigCopy);
        let endpoints =
            Watch::<Endpoint, EndpointChange, _>::new(node.clone(), ports.endpoints, EndpointCopy);
        let mut tasks =
            vec![tokio::task::spawn_local(config.run()), tokio::task::spawn_local(endpoints.run())];
        tasks.push(tokio::task::spawn_local(load_suspects(node.clone())));
        if let Some(address) = listen.peers {
            let copies = Rc::new(CopyServer { node: node.clone() });
            let tunnels = Rc::new(TunnelServer { node: node.clone() });
            let open = async || {
                let cfg = ServerConfig::default();
                serve_with_tunnels(address.into(), cfg, copies.clone(), tunnels.clone()).await
            };
            let server = open_listener(address.into(), open).await?;
            let address = SocketAddrV4::new(*address.ip(), server.address().port());
            servers.push(server);
            let socket =
                open_listener(address.into(), async || PeerSocket::open(address).await).await?;
            node.peers.borrow_mut().set_own_address(socket.address);
            node.membership.borrow_mut().set_own_address(socket.address);
            let has_seeds = !seeds.is_empty();
            // Cannot fail, as a relay is started only once.
            drop(node.peer_socket.set(socket));
            tasks.push(tokio::task::spawn_local(greet_seeds(node.clone(), seeds)));
            tasks.push(tokio::task::spawn_local(receive_digests(node.clone())));
            tasks.push(tokio::task::spawn_local(check_lost_paths(node.clone())));
            tasks.push(tokio::task::spawn_local(survey_engines(node.clone())));
            tasks.push(tokio::task::spawn_local(GossipSender::new(node.clone()).run()));
            let join = join(node.clone(), ports.registry.clone(), has_seeds);
            tasks.push(tokio::task::spawn_local(join));
            let registry = &ports.registry;
            tasks.extend([
                tokio::task::spawn_local(recover_membership(node.clone())),
                tokio::task::spawn_local(follow_registry(node.clone(), registry.clone())),
                tokio::task::spawn_local(register_on_request(node.clone(), registry.clone())),
            ]);
        } else {
            node.joined.set(true);
        }
        let incarnation = node.incarnation();
        log::info!(target: "relay", incarnation, callers:% = listen.callers; "started");
        Ok(Self { node, servers, tasks, registry: ports.registry })
    }

    /// The address that callers connect to.
    pub fn callers_address(&self) -> SocketAddr {
        self.servers[CALLERS].address()
    }

    /// The address of the load balancer's readiness check.
    pub fn ready_address(&self) -> SocketAddr {
        self.servers[READY].address()
    }

    /// The address on which metrics are served, if any.
    pub fn metrics_address(&self) -> Option<SocketAddr> {
        self.servers.get(METRICS).map(Server::address)
    }

    /// The address on which this instance accepts peer traffic, if any.
    pub fn peers_address(&self) -> Option<SocketAddrV4> {
        self.node.peers_address()
    }

    /// Whether the load balancer should send new callers to this instance.
    pub fn is_ready(&self) -> bool {
        self.node.is_ready()
    }

    /// The version of the active configuration; zero if there is none yet.
    pub fn config_version(&self) -> u64 {
        self.node.replica.borrow().version().unwrap_or_default().0
    }

    /// The number of registered endpoints, including those that are about to leave.
    pub fn endpoints(&self) -> usize {
        self.node.directory.borrow().len()
    }

    /// The number of registered endpoints that are about to leave.
    pub fn leaving_endpoints(&self) -> usize {
        self.node.directory.borrow().leaving()
    }

    /// The bytes of request and response bodies that are held.
    pub fn buffered_bytes(&self) -> usize {
        self.node.buffers.held()
    }

    /// The number of data centres that the operator evacuates.
    pub fn evacuated_data_centres(&self) -> usize {
        self.node.directory.borrow().evacuations().data_centres().len()
    }

    /// Whether this instance reads the watched tables from the store itself.
    pub fn reads_store(&self) -> bool {
        self.node.readers.borrow().reads()
    }

    /// The time since the copies of both watched tables were last proved current.
    pub fn copies_age(&self) -> Duration {
        let age = |table| copy_age(&self.node, table);
        age(WatchedTable::Config).max(age(WatchedTable::Endpoints))
    }

    /// Whether this instance is a scheduler, which places requests for other instances of its data
    /// centre.
    pub fn is_scheduler(&self) -> bool {
        self.node.is_scheduler()
    }

    /// The number of live instances that are known, including this one.
    pub fn live_instances(&self) -> usize {
        self.node.peers.borrow().instances(self.node.clock.now())
    }

    /// Drops all further datagrams to and from these addresses instead of those given before; used
    /// by tests of network partitions.
    pub fn drop_datagrams(&self, peers: &[SocketAddrV4]) {
        if let Some(socket) = self.node.peer_socket.get() {
            *socket.dropped.borrow_mut() = peers.to_vec();
        }
    }

    /// The number of endpoints that only other instances reach.
    pub fn unreachable_endpoints(&self) -> usize {
        self.node.reachability.borrow().lost()
    }

    /// The number of requests known to be open on endpoints, including those of other instances.
    pub fn known_open_requests(&self) -> usize {
        self.node.load.borrow().open_requests()
    }

    /// The number of requests that are held because they crash endpoints.
    pub fn held_requests(&self) -> usize {
        self.node.quarantine.borrow().held_count()
    }

    /// The number of prompt parts whose requests are held because they crash endpoints.
    pub fn held_parts(&self) -> usize {
        self.node.quarantine.borrow().held_part_count()
    }

    /// The number of requests and prompt parts suspected of crashing endpoints, including those that
    /// are held.
    pub fn known_suspects(&self) -> usize {
        self.node.quarantine.borrow().suspect_count()
    }

    /// The number of endpoints that are known to announce a rate limit.
    pub fn limited_endpoints(&self) -> usize {
        self.node.limits.borrow().len()
    }

    /// Reads the settings file again and applies it. Changed addresses take effect only after a
    /// restart.
    pub fn reload(&self, path: &Path) {
        match RelayConfig::read(path) {
            Ok(cfg) if cfg == *self.node.cfg.borrow() => {}
            Ok(cfg) => {
                cfg.unknown.iter().for_each(|warning| log::warn!(target: "relay", "{warning}"));
                self.node.budget.borrow_mut().set_bounds(cfg.bounds.budget());
                let data_centres = cfg.regions.data_centres().cloned();
                self.node.peers.borrow_mut().set_expected_data_centres(data_centres);
                *self.node.cfg.borrow_mut() = cfg;
                log::info!(target: "relay", path:? = path; "settings reloaded");
            }
            Err(e) => {
                log::error!(target: "relay", path:? = path, error:? = e; "invalid settings file; keeping the current settings");
            }
        }
    }
}

async fn start_server(
    address: SocketAddr,
    cfg: ServerConfig,
    handler: Rc<dyn ringbend_runtime::Handler>,
) -> Result<Server, Report<RelayError>> {
    open_listener(address, async || serve(address, cfg.clone(), handler.clone()).await).await
}

/// Opens a listening socket with `open`. Retries while the address is in use: a connection of
/// another process, or the instance's predecessor, may hold it for a moment.
async fn open_listener<T>(
    address: SocketAddr,
    open: impl AsyncFn() -> io::Result<T>,
) -> Result<T, Report<RelayError>> {
    let give_up = Instant::now() + ADDRESS_IN_USE_TIMEOUT;
    loop {
        match open().await {
            Err(e) if e.kind() == ErrorKind::AddrInUse && Instant::now() < give_up => {
                log::warn!(target: "relay", address:%; "address in use; retrying");
                tokio::time::sleep(ADDRESS_RETRY_INTERVAL).await;
            }
            opened => return opened.change_context(RelayError::Listen(address)),
        }
    }
}
