//! Connects to endpoints: directly, or through another instance where the direct path is lost.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::seq::SliceRandom;
use ringbend_gateway::Candidates;
use ringbend_types::{ServiceName, Timestamp};
use tokio::net::TcpStream;

use crate::connection::Connection;
use crate::network::{self, ConnectError};
use crate::node::Node;
use crate::tunnel::{self, CarrierError};

/// Connect timeout. Within a region connecting takes a few milliseconds. A lost SYN packet is
/// retransmitted only after a second, so a longer timeout gains nothing.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

/// How long connecting directly may take before other instances are asked as well.
const HEAD_START: Duration = Duration::from_millis(100);

/// How long other instances are asked.
const CARRIER_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum number of instances that are asked for one connection.
const MAX_ASKED: usize = 6;

/// The number of instances that have to be refused for an endpoint to count as refusing. One may
/// have lost its links without knowing it yet.
const REFUSALS: usize = 2;

/// How long a successful connect to any endpoint proves that this instance has links.
const CONTROL_TTL: Duration = Duration::from_millis(500);

/// Timeout of connecting to another endpoint to find out whether this instance has links.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(50);

/// The maximum number of endpoints that are connected to for that.
const MAX_CONTROLS: usize = 6;

/// How long no endpoint was reached before those that were not tried are tried.
const EXPLORE_AFTER: Duration = Duration::from_millis(500);

/// The maximum number of such endpoints that are tried in one interval.
const MAX_EXPLORED: usize = 8;

/// The interval between checks of lost paths.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The maximum number of lost paths that are checked at once.
const MAX_CHECKS: usize = 4;

/// What other instances found out about an endpoint that this one does not reach.
enum ReachedElsewhere {
    /// An instance has connected to it.
    Connected(Connection),
    /// The endpoint refuses connections from there as well.
    Refused,
    /// No other instance reaches it.
    Unreachable,
    /// No instance has answered the question.
    Unknown,
}

impl Node {
    /// Connects to an endpoint.
    pub(crate) async fn connect_endpoint(
        self: &Rc<Self>,
        address: SocketAddrV4,
    ) -> Result<Connection, ConnectError> {
        if self.carrier_candidates() == Candidates::default() {
            return self.connect_alone(address).await;
        }
        if self.reachability.borrow().is_lost(address) {
            self.check_path(address);
            return match self.connect_elsewhere(address, ConnectError::TimedOut).await {
                Ok(connection) => Ok(connection),
                // The others may have lost their links while this instance's work again.
                Err(_) => self.connect_directly(address, HEAD_START).await.map(Connection::direct),
            };
        }
        let mut direct = std::pin::pin!(self.connect_directly(address, CONNECT_TIMEOUT));
        match tokio::time::timeout(HEAD_START, &mut direct).await {
            Ok(Ok(stream)) => return Ok(Connection::direct(stream)),
            Ok(Err(why)) => return self.connect_elsewhere(address, why).await,
            Err(_) => {}
        }
        let mut elsewhere = std::pin::pin!(self.connect_elsewhere(address, ConnectError::TimedOut));
        tokio::select! {
            biased;
            connected = &mut direct => match connected {
                Ok(stream) => Ok(Connection::direct(stream)),
                Err(_) => elsewhere.await,
            },
            connected = &mut elsewhere => match connected {
                Ok(connection) => Ok(connection),
                Err(_) => direct.await.map(Connection::direct),
            },
        }
    }

    /// Connects to an endpoint while no other instance is known.
    async fn connect_alone(&self, address: SocketAddrV4) -> Result<Connection, ConnectError> {
        let connected = self.connect_directly(address, CONNECT_TIMEOUT).await;
        if matches!(connected, Err(ConnectError::TimedOut)) {
            self.record_unreached(address, true);
        }
        connected.map(Connection::direct)
    }

    /// Connects to another instance.
    pub(crate) async fn connect_peer(
        &self,
        address: SocketAddrV4,
    ) -> Result<TcpStream, ConnectError> {
        network::connect(&*self.network, address, CONNECT_TIMEOUT).await
    }

    /// Connects to an endpoint, not through another instance.
    pub(crate) async fn connect_directly(
        &self,
        address: SocketAddrV4,
        timeout: Duration,
    ) -> Result<TcpStream, ConnectError> {
        let connected = network::connect(&*self.network, address, timeout).await;
        let now = self.clock.now();
        match &connected {
            Ok(_) => {
                if let Some(lost) = self.reachability.borrow_mut().record_success(now, address) {
                    let ms = lost.as_millis() as u64;
                    log::info!(target: "paths", address:%, ms; "endpoint reached directly again");
                }
            }
            Err(why) => {
                self.metrics.connect_failure(why.label());
                let mut reachability = self.reachability.borrow_mut();
                match why {
                    ConnectError::TimedOut => reachability.record_timeout(now, address),
                    _ => reachability.record_failure(now, address),
                }
            }
        }
        connected
    }

    /// Tries a lost path again, unless it was tried recently.
    pub(crate) fn check_path(self: &Rc<Self>, address: SocketAddrV4) {
        if self.reachability.borrow_mut().begin_check(self.clock.now(), address) {
            self.spawn_check(address);
        }
    }

    fn spawn_check(self: &Rc<Self>, address: SocketAddrV4) {
        let node = self.clone();
        tokio::task::spawn_local(async move {
            let is_lost = node.reachability.borrow().is_lost(address);
            if is_lost {
                drop(node.connect_directly(address, CONNECT_TIMEOUT).await);
            } else {
                drop(node.connect_endpoint(address).await);
            }
        });
    }

    /// Whether an endpoint that this instance does not reach listens, by what other instances find
    /// within `timeout`. If none answers, a refusal counts if this instance reaches another
    /// endpoint. `None` if that is not known.
    pub(crate) async fn is_listening(
        self: &Rc<Self>,
        address: SocketAddrV4,
        timeout: Duration,
    ) -> Option<bool> {
        match self.ask_carriers(address, timeout).await {
            ReachedElsewhere::Connected(_) => Some(true),
            ReachedElsewhere::Refused => Some(false),
            ReachedElsewhere::Unreachable => None,
            ReachedElsewhere::Unknown => {
                let is_lost = self.reachability.borrow().is_lost(address);
                (!is_lost && self.reaches_other_endpoint(address).await).then_some(false)
            }
        }
    }

    /// Whether this instance reaches any endpoint but the one at `address`, so that a refusal by
    /// that one is not due to the links of this instance. True if there is no other endpoint.
    pub(crate) async fn reaches_other_endpoint(&self, address: SocketAddrV4) -> bool {
        if self.reachability.borrow().has_connected_within(self.clock.now(), CONTROL_TTL) {
            return true;
        }
        let controls = self.control_endpoints(address);
        if controls.is_empty() {
            return true;
        }
        let mut connecting: FuturesUnordered<_> = controls
            .iter()
            .map(|control| self.connect_directly(*control, CONTROL_TIMEOUT))
            .collect();
        while let Some(connected) = connecting.next().await {
            if connected.is_ok() {
                return true;
            }
        }
        false
    }

    /// Endpoints other than the one at `address`, preferably ones that did not fail.
    fn control_endpoints(&self, address: SocketAddrV4) -> Vec<SocketAddrV4> {
        let directory = self.directory.borrow();
        let others = directory.registered().map(|endpoint| endpoint.address);
        let mut others: Vec<_> = others.filter(|other| *other != address).collect();
        others.shuffle(&mut *self.rng.borrow_mut());
        let reachability = self.reachability.borrow();
        others.sort_by_key(|other| reachability.is_failing(*other));
        others.truncate(MAX_CONTROLS);
        others
    }

    /// The instances that may carry connections.
    pub(crate) fn carrier_candidates(&self) -> Candidates {
        self.peers.borrow().carrier_candidates(self.clock.now())
    }

    /// Connects through another instance. `why` is the failure of the direct connection.
    async fn connect_elsewhere(
        self: &Rc<Self>,
        address: SocketAddrV4,
        why: ConnectError,
    ) -> Result<Connection, ConnectError> {
        if self.reachability.borrow().is_unreached(self.clock.now(), address) {
            return Err(why);
        }
        match self.ask_carriers(address, CARRIER_TIMEOUT).await {
            ReachedElsewhere::Connected(connection) => Ok(connection),
            ReachedElsewhere::Refused => Err(ConnectError::Refused),
            ReachedElsewhere::Unreachable | ReachedElsewhere::Unknown => Err(why),
        }
    }

    /// Asks other instances, each after the one before has failed or has not answered for a while,
    /// until one has connected to the endpoint.
    async fn ask_carriers(
        self: &Rc<Self>,
        address: SocketAddrV4,
        timeout: Duration,
    ) -> ReachedElsewhere {
        let now = self.clock.now();
        let candidates = self.carrier_candidates();
        let order = self.carriers.borrow().order(now, &candidates, &mut *self.rng.borrow_mut());
        let mut search = CarrierSearch::new(self.clone(), address, order);
        let found = match tokio::time::timeout(timeout, search.run()).await {
            Ok(found) => found,
            Err(_) => search.conclusion(),
        };
        if !matches!(found, ReachedElsewhere::Connected(_)) {
            let have_all_failed =
                self.carriers.borrow().have_all_failed(self.clock.now(), &candidates);
            let is_unreachable = matches!(found, ReachedElsewhere::Unreachable);
            self.record_unreached(address, is_unreachable && have_all_failed);
        }
        found
    }

    fn record_unreached(&self, address: SocketAddrV4, is_out_of_reach: bool) {
        let had_any = self.reachability.borrow().has_out_of_reach();
        let now = self.clock.now();
        self.reachability.borrow_mut().record_unreached(now, address, is_out_of_reach);
        if is_out_of_reach && !had_any {
            log::warn!(target: "paths", address:%; "no instance reaches the endpoint");
        }
    }

    /// Whether no instance reaches any endpoint of the service.
    pub(crate) fn is_out_of_reach(&self, service: &ServiceName) -> bool {
        let reachability = self.reachability.borrow();
        let directory = self.directory.borrow();
        let endpoints = directory.of_service(self.clock.now(), service);
        reachability.has_out_of_reach()
            && reachability.are_out_of_reach(endpoints.map(|endpoint| endpoint.address))
    }

    /// Whether no instance reaches any endpoint at all.
    pub(crate) fn is_cut_off(&self) -> bool {
        let reachability = self.reachability.borrow();
        let directory = self.directory.borrow();
        reachability.has_out_of_reach()
            && reachability.are_out_of_reach(directory.registered().map(|e| e.address))
    }

    /// Tries endpoints that were not tried while none is reached, so that it becomes known which
    /// services can be served.
    fn explore(self: &Rc<Self>) {
        let now = self.clock.now();
        let is_reached = self.reachability.borrow().has_reached_within(now, EXPLORE_AFTER);
        if is_reached || !self.reachability.borrow().has_out_of_reach() {
            return;
        }
        let directory = self.directory.borrow();
        let reachability = self.reachability.borrow();
        let untried = directory.registered().map(|endpoint| endpoint.address);
        let untried = untried.filter(|address| !reachability.is_failing(*address));
        untried.take(MAX_EXPLORED).for_each(|address| self.spawn_check(address));
    }

    /// Records that another instance reaches an endpoint that this one does not.
    fn record_carried(&self, address: SocketAddrV4, carrier: SocketAddrV4) {
        let now = self.clock.now();
        if self.reachability.borrow_mut().record_reached_elsewhere(now, address) {
            log::warn!(
                target: "paths", address:%, carrier:%;
                "endpoint cannot be reached directly; connecting through another instance"
            );
        }
    }
}

/// The search for an instance that connects to an endpoint.
struct CarrierSearch {
    node: Rc<Node>,
    endpoint: SocketAddrV4,
    /// The instances to ask, the next one last.
    remaining: Vec<SocketAddrV4>,
    asked: Vec<SocketAddrV4>,
    /// The instances that could not help.
    failed: Vec<SocketAddrV4>,
    refusals: usize,
    unreachable: usize,
}

impl CarrierSearch {
    fn new(node: Rc<Node>, endpoint: SocketAddrV4, mut order: Vec<SocketAddrV4>) -> Self {
        order.reverse();
        let (asked, failed) = (Vec::new(), Vec::new());
        Self { node, endpoint, remaining: order, asked, failed, refusals: 0, unreachable: 0 }
    }

    async fn run(&mut self) -> ReachedElsewhere {
        let mut open = FuturesUnordered::new();
        let delay = self.node.carriers.borrow().ask_delay();
        loop {
            if let Some(carrier) = self.next() {
                open.push(ask(self.node.clone(), carrier, self.endpoint));
            }
            let answer = match tokio::time::timeout(delay, open.next()).await {
                Ok(Some(answer)) => answer,
                Ok(None) => return self.conclusion(),
                Err(_) => continue,
            };
            let Answer { carrier, asked_at, connected } = answer;
            match connected {
                Ok(connection) => {
                    let now = self.node.clock.now();
                    let mut carriers = self.node.carriers.borrow_mut();
                    // The endpoint is reachable, so the others have no path to it.
                    for failed in &self.failed {
                        carriers.record_failed(now, *failed);
                    }
                    carriers.record_helped(now, carrier, now.since(asked_at));
                    self.node.record_carried(self.endpoint, carrier);
                    return ReachedElsewhere::Connected(connection);
                }
                Err(why) => self.record_failure(carrier, why),
            }
            if self.refusals >= REFUSALS {
                return ReachedElsewhere::Refused;
            }
        }
    }

    fn next(&mut self) -> Option<SocketAddrV4> {
        if self.asked.len() >= MAX_ASKED {
            return None;
        }
        let carrier = self.remaining.pop()?;
        self.asked.push(carrier);
        Some(carrier)
    }

    fn record_failure(&mut self, carrier: SocketAddrV4, why: CarrierError) {
        log::debug!(target: "paths", address:% = self.endpoint, carrier:%, why:?; "tunnel refused");
        match why {
            CarrierError::Refused => self.refusals += 1,
            CarrierError::Unreachable(named) => {
                self.unreachable += 1;
                self.node.carriers.borrow_mut().record_failed(self.node.clock.now(), carrier);
                let own = self.node.peers_address();
                let is_new = |a: &SocketAddrV4| !self.asked.contains(a) && Some(*a) != own;
                let named: Vec<_> = named.into_iter().filter(is_new).collect();
                self.remaining.retain(|address| !named.contains(address));
                self.remaining.extend(named.into_iter().rev());
            }
            CarrierError::Declined(_) | CarrierError::NoAnswer => {
                let now = self.node.clock.now();
                self.node.carriers.borrow_mut().record_failed(now, carrier);
            }
        }
        self.failed.push(carrier);
    }

    fn conclusion(&self) -> ReachedElsewhere {
        match (self.refusals, self.unreachable) {
            (0, 0) => ReachedElsewhere::Unknown,
            (_, 0) => ReachedElsewhere::Refused,
            // Those that are refused may be cut off like those that cannot reach it.
            (_, _) => ReachedElsewhere::Unreachable,
        }
    }
}

/// An instance's answer to the request for a connection.
struct Answer {
    carrier: SocketAddrV4,
    asked_at: Timestamp,
    connected: Result<Connection, CarrierError>,
}

async fn ask(node: Rc<Node>, carrier: SocketAddrV4, endpoint: SocketAddrV4) -> Answer {
    let asked_at = node.clock.now();
    Answer { carrier, asked_at, connected: tunnel::open(&node, carrier, endpoint).await }
}

/// Tries lost paths and endpoints that are out of reach again, so that they are used soon after the
/// links work.
pub(crate) async fn check_lost_paths(node: Rc<Node>) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let now = node.clock.now();
        let due = node.reachability.borrow_mut().begin_checks(now, MAX_CHECKS);
        due.into_iter().for_each(|address| node.spawn_check(address));
        node.explore();
    }
}
