//! Fetches the watched tables' copies from other instances.
//!
//! One instance reads the store and the others fetch its copy from each other, so that the number
//! of calls to the store does not grow with the number of instances. Copies are fetched over HTTP
//! from the address and port on which an instance also receives datagrams, using TCP. A fetched
//! copy is applied only if it is newer, and does not prove that it is current; only datagrams do.

use std::fmt;
use std::net::SocketAddrV4;
use std::time::Duration;

use actix_http::header::{HOST, HeaderValue, InvalidHeaderValue};
use actix_http::{ConnectionType, Method, RequestHead, StatusCode, Uri};
use bytes::Bytes;
use rand::Rng;
use rand::seq::IndexedRandom;
use ringbend_gateway::{
    ConfigVersion, CopySearch, CopySearchStep, CopyVersions, Endpoint, EndpointChange, Evacuations,
};
use ringbend_types::{Cursor, Timestamp};
use ringbend_wire::{
    self as wire, EndpointChanges, Message, WireError, decode_endpoint_change, decode_evacuations,
};

use crate::config_copy::ConfigCopy;
use crate::connection::Connection;
use crate::endpoint_copy::EndpointCopy;
use crate::exchange::{self, ExchangeError};
use crate::node::Node;
use crate::ports::InvalidRow;
use crate::table_copies::TableCopy;

/// Path of the configuration.
pub(crate) const CONFIG_PATH: &str = "/copies/config";

/// Path of the endpoints.
pub(crate) const ENDPOINTS_PATH: &str = "/copies/endpoints";

/// Maximum size of a copy, in bytes; the store's rows are smaller.
const MAX_COPY_BYTES: usize = 4 << 20;

/// How long a copy is sought among peers before the store is read; less than half of the time
/// within which a configuration must be active.
const FETCH_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout of a fetch from one peer: a hundred kilobytes take 160 ms over a shared link of 20
/// Mbit/s.
const TRANSFER_TIMEOUT: Duration = Duration::from_millis(350);

/// Maximum delay between two attempts to fetch from peers.
const MAX_RETRY_DELAY_MS: u64 = 40;

/// How long a starting instance waits for a peer with a copy to become known, in milliseconds. The
/// time is random, so that only a few of many instances that start together read the store.
const START_WAIT_MS: std::ops::Range<u64> = 4..60;

/// How long a starting instance waits at most for the search for other instances: a slow store
/// takes a third of a second to return them.
const JOIN_TIMEOUT: Duration = Duration::from_millis(600);

/// How long an instance that waits for the copies of schedulers waits for one to become known.
const SCHEDULER_WAIT: Duration = Duration::from_secs(3);

/// How long a member waits for copies before it reads the store itself.
const MEMBER_WAIT: Duration = Duration::from_millis(800);

fn has_newer_config(node: &Node, versions: CopyVersions) -> bool {
    versions.config > node.replica.borrow().version().unwrap_or_default()
}

fn has_newer_endpoints(node: &Node, versions: CopyVersions) -> bool {
    versions.endpoints > node.endpoints_cursor.get()
}

/// Waits until a peer is known to have a newer configuration.
pub(crate) async fn wait_for_newer_config(node: &Node) {
    while peers_with(node, |versions| has_newer_config(node, versions)).is_empty() {
        node.newer_config.notified().await;
    }
}

/// Waits until a peer is known to have newer endpoints.
pub(crate) async fn wait_for_newer_endpoints(node: &Node) {
    while peers_with(node, |versions| has_newer_endpoints(node, versions)).is_empty() {
        node.newer_endpoints.notified().await;
    }
}

/// Fetches newer configurations from peers. Returns false if there is one that could not be fetched
/// in time.
pub(crate) async fn fetch_config(node: &Node) -> bool {
    let wanted = |versions| has_newer_config(node, versions);
    fetch_from_peers(node, wanted, async |peer| fetch_config_from(node, peer).await).await
}

/// Fetches newer endpoints from peers. Returns false if there are some that could not be fetched in
/// time.
pub(crate) async fn fetch_endpoints(node: &Node) -> bool {
    let wanted = |versions| has_newer_endpoints(node, versions);
    fetch_from_peers(node, wanted, async |peer| fetch_endpoints_from(node, peer).await).await
}

/// Fetches the first configuration from a peer, if one that has any becomes known soon.
pub(crate) async fn fetch_first_config(node: &Node) -> bool {
    wait_for_peer_with_copy(node, has_config).await && fetch_known_config(node).await
}

/// Fetches the first endpoints from a peer, if one that has any becomes known soon.
pub(crate) async fn fetch_first_endpoints(node: &Node) -> bool {
    wait_for_peer_with_copy(node, has_endpoints).await && fetch_known_endpoints(node).await
}

/// Fetches the first configuration from a peer, if one that has any becomes known within `wait`.
pub(crate) async fn fetch_config_within(node: &Node, wait: Duration) -> bool {
    is_known_within(node, wait, has_config).await && fetch_known_config(node).await
}

/// Fetches the first endpoints from a peer, if one that has any becomes known within `wait`.
pub(crate) async fn fetch_endpoints_within(node: &Node, wait: Duration) -> bool {
    is_known_within(node, wait, has_endpoints).await && fetch_known_endpoints(node).await
}

fn has_config(versions: CopyVersions) -> bool {
    versions.config > ConfigVersion(0)
}

fn has_endpoints(versions: CopyVersions) -> bool {
    versions.endpoints > Cursor::default()
}

async fn fetch_known_config(node: &Node) -> bool {
    fetch_config(node).await && node.config_cursor.get() > Cursor::default()
}

async fn fetch_known_endpoints(node: &Node) -> bool {
    fetch_endpoints(node).await && node.endpoints_cursor.get() > Cursor::default()
}

/// Whether an instance is known that schedules for this one, and so reads the tables first.
fn knows_scheduler(node: &Node) -> bool {
    !node.peers.borrow().local_schedulers(node.clock.now()).is_empty()
}

/// Waits at most this time until an instance that has a wanted copy is known.
async fn is_known_within(
    node: &Node,
    wait: Duration,
    wanted: impl Fn(CopyVersions) -> bool,
) -> bool {
    let started_at = node.clock.now();
    while peers_with(node, &wanted).is_empty() {
        let max_wait = if knows_scheduler(node) { wait } else { wait.min(SCHEDULER_WAIT) };
        if node.clock.now().since(started_at) >= max_wait || node.is_scheduler() {
            return false;
        }
        wait_before_retry(node).await;
    }
    true
}

fn peers_with(node: &Node, wanted: impl Fn(CopyVersions) -> bool) -> Vec<SocketAddrV4> {
    node.peers.borrow().holders(node.clock.now(), wanted)
}

fn pick_random_peer(node: &Node, from: Vec<SocketAddrV4>) -> Option<SocketAddrV4> {
    from.choose(&mut *node.rng.borrow_mut()).copied()
}

/// Waits until an instance that has a wanted copy becomes known. The wait continues at least until
/// the search for other instances has ended. A member waits longer, so that schedulers read the
/// store first.
async fn wait_for_peer_with_copy(node: &Node, wanted: impl Fn(CopyVersions) -> bool) -> bool {
    let started_at = node.clock.now();
    let wait = node.rng.borrow_mut().random_range(START_WAIT_MS);
    let mut joined_at = None;
    while peers_with(node, &wanted).is_empty() {
        let now = node.clock.now();
        if node.joined.get() {
            joined_at.get_or_insert(now);
        }
        let waited = now.since(joined_at.unwrap_or(started_at));
        let max_wait = match joined_at {
            None => JOIN_TIMEOUT,
            Some(_) if node.is_scheduler() => Duration::from_millis(wait),
            Some(_) => MEMBER_WAIT,
        };
        if waited >= max_wait {
            return false;
        }
        wait_before_retry(node).await;
    }
    true
}

async fn wait_before_retry(node: &Node) {
    let delay_ms = node.rng.borrow_mut().random_range(MAX_RETRY_DELAY_MS / 4..MAX_RETRY_DELAY_MS);
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
}

/// Tries peers with a wanted copy until one serves it. Returns true once no further copy is wanted.
async fn fetch_from_peers(
    node: &Node,
    wanted: impl Fn(CopyVersions) -> bool,
    fetch: impl AsyncFn(SocketAddrV4) -> Result<(), CopyError>,
) -> bool {
    let until: Timestamp = node.clock.now() + FETCH_TIMEOUT;
    let mut search = CopySearch::new(until);
    loop {
        let holders = match search.next(node.clock.now(), peers_with(node, &wanted)) {
            CopySearchStep::UpToDate => return true,
            CopySearchStep::GiveUp => return false,
            CopySearchStep::Fetch(holders) => holders,
            CopySearchStep::Wait => {
                wait_before_retry(node).await;
                continue;
            }
        };
        let Some(peer) = pick_random_peer(node, holders) else { return true };
        let remaining = until.since(node.clock.now());
        let result = tokio::time::timeout(remaining.min(TRANSFER_TIMEOUT), fetch(peer))
            .await
            .unwrap_or(Err(CopyError::Late));
        let Err(why) = result else { continue };
        log::info!(target: "peers", peer:%, why:%; "cannot fetch copy from peer");
        if matches!(why, CopyError::Stale) {
            search.record_stale(peer);
        } else if node.clock.now() < until {
            wait_before_retry(node).await;
        }
    }
}

/// Why a copy could not be fetched from a peer.
#[derive(Debug)]
enum CopyError {
    /// No response in time.
    Late,
    /// The response is incomplete.
    Exchange(ExchangeError),
    /// The peer's address is not a valid header value.
    Address(InvalidHeaderValue),
    /// The peer named a newer copy than it served.
    Stale,
    /// The peer cannot serve a copy now.
    Refused(StatusCode),
    /// The configuration cannot be decoded.
    Config(InvalidRow),
    /// The message or one of its rows cannot be decoded.
    Decode(WireError),
}

impl fmt::Display for CopyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Late => write!(f, "timed out"),
            Self::Stale => write!(f, "the peer's copy is not newer than the local one"),
            Self::Exchange(e) => e.fmt(f),
            Self::Address(e) => write!(f, "invalid peer address: {e}"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::Config(row) => write!(f, "cannot decode the configuration: {}", row.reason),
            Self::Decode(e) => write!(f, "cannot decode the copy: {e}"),
        }
    }
}

impl std::error::Error for CopyError {}

async fn get(node: &Node, peer: SocketAddrV4, path: &'static str) -> Result<Bytes, CopyError> {
    let mut head = RequestHead::default();
    head.method = Method::GET;
    head.uri = Uri::from_static(path);
    head.headers
        .insert(HOST, HeaderValue::from_str(&peer.to_string()).map_err(CopyError::Address)?);
    head.set_connection_type(ConnectionType::Close);
    let connection = node.connect_peer(peer).await.map_err(|e| CopyError::Exchange(e.into()))?;
    let connection = Connection::direct(connection);
    let sent = exchange::send(&node.http_config, connection, head, Bytes::new()).await;
    let mut incoming = sent.map_err(CopyError::Exchange)?;
    if incoming.head.status != StatusCode::OK {
        return Err(CopyError::Refused(incoming.head.status));
    }
    incoming.read_to_end(MAX_COPY_BYTES).await.map_err(CopyError::Exchange)
}

async fn fetch_config_from(node: &Node, peer: SocketAddrV4) -> Result<(), CopyError> {
    let before = node.replica.borrow().version();
    let raw = get(node, peer, CONFIG_PATH).await?;
    let copy = wire::ConfigCopy::decode(raw).map_err(|e| CopyError::Decode(e.into()))?;
    let item = node.config_decoder.decode(copy.row.into()).map_err(CopyError::Config)?;
    log::info!(target: "peers", peer:%, version = item.parts.version.0; "configuration fetched from peer");
    // Instances of an earlier version serve no evacuations, so the table is read from its start.
    let (evacuations, cursor) = match &copy.evacuations {
        Some(evacuations) => (
            decode_evacuations(evacuations).map_err(CopyError::Decode)?,
            Cursor::new(copy.era, copy.cursor),
        ),
        None => (Evacuations::default(), Cursor::default()),
    };
    ConfigCopy::apply_copy(node, item, evacuations, cursor);
    // The copy does not prove that it is current. The peer's digest that says so arrived before the
    // copy and would be repeated only with the next heartbeat, so a hello requests it now.
    node.send_hello(peer);
    if node.replica.borrow().version() > before { Ok(()) } else { Err(CopyError::Stale) }
}

async fn fetch_endpoints_from(node: &Node, peer: SocketAddrV4) -> Result<(), CopyError> {
    let before = node.endpoints_cursor.get();
    let raw = get(node, peer, ENDPOINTS_PATH).await?;
    let copy = EndpointChanges::decode(raw).map_err(|e| CopyError::Decode(e.into()))?;
    let endpoint = |row| match decode_endpoint_change(row)? {
        EndpointChange::Present(endpoint) => Ok(Some(endpoint)),
        EndpointChange::Gone(_) | EndpointChange::Unreadable(_) => Ok(None),
    };
    let rows: Result<Vec<Option<Endpoint>>, WireError> = copy.rows.iter().map(endpoint).collect();
    let rows = rows.map_err(CopyError::Decode)?.into_iter().flatten().collect();
    let to = Cursor::new(copy.era, copy.to_cursor);
    if to > node.endpoints_cursor.get() {
        EndpointCopy.replace(node, rows, to);
    }
    if node.endpoints_cursor.get() > before { Ok(()) } else { Err(CopyError::Stale) }
}
