//! Starts a relay, keeps its settings current and stops it.

use std::fmt;
use std::net::{SocketAddr, SocketAddrV4};
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use ringbend_gateway::{Endpoint, EndpointChange};
use ringbend_runtime::{Clock, Server, ServerConfig, serve};
use ringbend_types::Timestamp;
use tokio::task::JoinHandle;

use crate::callers::Callers;
use crate::config::RelayConfig;
use crate::copies::{ConfigCopy, EndpointCopy};
use crate::doors::{MetricsPage, Ready};
use crate::fetch::CopiesDoor;
use crate::hearing::receive;
use crate::joining::{greet_seeds, join};
use crate::keeping::learn_suspects;
use crate::link::Link;
use crate::node::Node;
use crate::ports::{
    ConfigDecoder, ConfigItem, ConfigSource, Dialect, EndpointSource, Keeper, Presence,
};
use crate::telling::Teller;
use crate::watch::Watch;

/// Why a relay did not start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RelayError {
    /// An address cannot be listened on.
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

/// What an adapter brings.
pub struct Ports {
    /// The words on the wire.
    pub dialect: Rc<dyn Dialect>,
    /// The configuration's table.
    pub config: Rc<ConfigSource>,
    /// Decodes configurations that other instances read.
    pub decoder: Rc<dyn ConfigDecoder>,
    /// The endpoints' table.
    pub endpoints: Rc<EndpointSource>,
    /// Where other instances are found.
    pub presence: Rc<dyn Presence>,
    /// Where what must outlast all instances is kept.
    pub keeper: Rc<dyn Keeper>,
}

/// A running relay.
pub struct Relay {
    pub(crate) node: Rc<Node>,
    pub(crate) servers: Vec<Server>,
    pub(crate) tasks: Vec<JoinHandle<()>>,
    pub(crate) presence: Rc<dyn Presence>,
}

/// Places in the list of servers.
const CALLERS: usize = 0;
const READY: usize = 1;
const METRICS: usize = 2;

/// How long callers' connections may be idle. Callers reuse them for less time than their own limit
/// says, so this only has to lie above it.
const KEEP_ALIVE: Duration = Duration::from_secs(90);

/// What this instance's clock shows at its start. Other instances tell when they proved a copy, which
/// may be before this one started; a copy that was proved longer ago than this is of no use.
const CLOCK_AT_START: Timestamp = Timestamp(60_000_000);

impl Relay {
    /// Starts a relay on this thread.
    ///
    /// # Errors
    ///
    /// An address cannot be listened on.
    pub async fn start(cfg: RelayConfig, ports: Ports) -> Result<Self, Report<RelayError>> {
        Self::start_at(cfg, ports, Clock::start_at(CLOCK_AT_START)).await
    }

    /// The same by a clock that goes by what `read` tells, for tests of suspended machines.
    ///
    /// # Errors
    ///
    /// An address cannot be listened on.
    pub async fn start_by(
        cfg: RelayConfig,
        ports: Ports,
        read: fn() -> Duration,
    ) -> Result<Self, Report<RelayError>> {
        Self::start_at(cfg, ports, Clock::with_source(read, CLOCK_AT_START)).await
    }

    async fn start_at(
        cfg: RelayConfig,
        ports: Ports,
        clock: Clock,
    ) -> Result<Self, Report<RelayError>> {
        cfg.unknown.iter().for_each(|warning| log::warn!(target: "relay", "{warning}"));
        let listen = cfg.listen.clone();
        let seeds = cfg.listen.seeds.clone();
        let node = Node::new(cfg, clock, ports.dialect, ports.decoder, ports.keeper);
        let mut servers = Vec::new();
        let callers = Rc::new(Callers { node: node.clone() });
        servers.push(open(listen.callers.into(), callers).await?);
        servers.push(open(listen.ready.into(), Rc::new(Ready { node: node.clone() })).await?);
        if let Some(address) = listen.metrics {
            let page = Rc::new(MetricsPage { node: node.clone() });
            servers.push(open(address.into(), page).await?);
        }
        let config =
            Watch::<ConfigItem, ConfigItem, _>::new(node.clone(), ports.config, ConfigCopy);
        let endpoints =
            Watch::<Endpoint, EndpointChange, _>::new(node.clone(), ports.endpoints, EndpointCopy);
        let mut tasks =
            vec![tokio::task::spawn_local(config.run()), tokio::task::spawn_local(endpoints.run())];
        tasks.push(tokio::task::spawn_local(learn_suspects(node.clone())));
        if let Some(address) = listen.peers {
            let door = open(address.into(), Rc::new(CopiesDoor { node: node.clone() })).await?;
            let address = SocketAddrV4::new(*address.ip(), door.address().port());
            servers.push(door);
            let link = Link::open(address).await;
            let link = link.change_context(RelayError::Listen(address.into()))?;
            node.peers.borrow_mut().set_own_address(link.address);
            let has_seeds = !seeds.is_empty();
            // Set once, as a relay starts once.
            drop(node.link.set(link));
            tasks.push(tokio::task::spawn_local(greet_seeds(node.clone(), seeds)));
            tasks.push(tokio::task::spawn_local(receive(node.clone())));
            tasks.push(tokio::task::spawn_local(Teller::new(node.clone()).run()));
            let join = join(node.clone(), ports.presence.clone(), has_seeds);
            tasks.push(tokio::task::spawn_local(join));
        } else {
            node.joined.set(true);
        }
        let incarnation = node.incarnation();
        log::info!(target: "relay", incarnation, callers:% = listen.callers; "started");
        Ok(Self { node, servers, tasks, presence: ports.presence })
    }

    /// Where callers connect.
    pub fn callers_address(&self) -> SocketAddr {
        self.servers[CALLERS].address()
    }

    /// Where the balancer asks.
    pub fn ready_address(&self) -> SocketAddr {
        self.servers[READY].address()
    }

    /// Where metrics are served.
    pub fn metrics_address(&self) -> Option<SocketAddr> {
        self.servers.get(METRICS).map(Server::address)
    }

    /// Where other instances reach this one.
    pub fn peers_address(&self) -> Option<SocketAddrV4> {
        self.node.peers_address()
    }

    /// Whether new callers should come here.
    pub fn is_ready(&self) -> bool {
        self.node.is_ready()
    }

    /// The version of the configuration in force; zero before the first.
    pub fn config_version(&self) -> u64 {
        self.node.replica.borrow().version().unwrap_or_default().0
    }

    /// How many endpoints are registered, leaving ones included.
    pub fn endpoints(&self) -> usize {
        self.node.directory.borrow().len()
    }

    /// How many registered endpoints are about to leave.
    pub fn leaving_endpoints(&self) -> usize {
        self.node.directory.borrow().leaving()
    }

    /// Whether this instance reads the watched tables itself.
    pub fn reads(&self) -> bool {
        self.node.readers.borrow().reads()
    }

    /// Whether this instance places requests for others of its data centre.
    pub fn schedules(&self) -> bool {
        self.node.schedules()
    }

    /// How many instances are known to be there, this one included.
    pub fn instances(&self) -> usize {
        self.node.peers.borrow().instances(self.node.clock.now())
    }

    /// How many requests are known to be open on endpoints, those of other instances included.
    pub fn known_work(&self) -> usize {
        self.node.load.borrow().open_requests()
    }

    /// How many requests are held because they end endpoints.
    pub fn held_requests(&self) -> usize {
        self.node.quarantine.borrow().held_count()
    }

    /// How many requests are suspected of ending endpoints, those that are held included.
    pub fn known_suspects(&self) -> usize {
        self.node.quarantine.borrow().suspect_count()
    }

    /// How many endpoints are known to name a limit.
    pub fn limited_endpoints(&self) -> usize {
        self.node.limits.borrow().len()
    }

    /// Puts new settings in force. Addresses stay as they were at the start.
    pub fn reload(&self, path: &Path) {
        match RelayConfig::read(path) {
            Ok(cfg) if cfg == *self.node.cfg.borrow() => {}
            Ok(cfg) => {
                cfg.unknown.iter().for_each(|warning| log::warn!(target: "relay", "{warning}"));
                self.node.budget.borrow_mut().set_bounds(cfg.bounds.budget());
                *self.node.cfg.borrow_mut() = cfg;
                log::info!(target: "relay", path:? = path; "settings reloaded");
            }
            Err(e) => {
                log::error!(target: "relay", path:? = path, error:? = e; "settings kept: new ones are bad");
            }
        }
    }
}

async fn open(
    address: SocketAddr,
    handler: Rc<dyn ringbend_runtime::Handler>,
) -> Result<Server, Report<RelayError>> {
    let cfg = ServerConfig { keep_alive: KEEP_ALIVE, ..ServerConfig::default() };
    serve(address, cfg, handler).await.change_context(RelayError::Listen(address))
}
