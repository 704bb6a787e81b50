//! Copies of the watched tables, handed from instance to instance.
//!
//! One instance reads the store; the others take what it read from each other, so that the calls to
//! the store do not grow with the number of instances. Each copy is taken over HTTP at the address,
//! by TCP, at which an instance hears its peers' datagrams. What a peer hands out is newer or
//! ignored, and proves nothing: that a copy is current is told by datagrams alone.

use std::convert::Infallible;
use std::fmt;
use std::net::SocketAddrV4;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::body::{BodySize, MessageBody};
use actix_http::header::{HOST, HeaderValue, InvalidHeaderValue};
use actix_http::{ConnectionType, Method, RequestHead, Response, StatusCode, Uri};
use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use rand::Rng;
use rand::seq::IndexedRandom;
use ringbend_gateway::{ConfigVersion, CopyVersions, Endpoint, EndpointChange};
use ringbend_runtime::{Handler, HttpRequest, HttpResponse, empty};
use ringbend_types::Timestamp;
use ringbend_wire::{
    self as wire, EndpointChanges, Message, WireError, decode_endpoint_change,
    encode_endpoint_change,
};

use crate::copies::{ConfigCopy, EndpointCopy};
use crate::exchange::{self, ExchangeError};
use crate::node::Node;
use crate::ports::{Cursor, InvalidRow};
use crate::watch::Copy;

/// Where the configuration is handed out.
const CONFIG_PATH: &str = "/copies/config";

/// Where the endpoints are handed out.
const ENDPOINTS_PATH: &str = "/copies/endpoints";

/// The most copies that are handed out at once: a large configuration takes a small link a while,
/// and those who have it already can hand it on.
const MOST_HANDED: usize = 4;

/// The longest copy, in bytes; the store's rows are shorter.
const MAX_COPY_BYTES: usize = 4 << 20;

/// How long a copy is sought among peers before the store is asked: less than half of the time in
/// which a configuration must be in force.
const SEEK_TIME: Duration = Duration::from_millis(800);

/// How long one peer may take: a hundred kilobytes over a shared link of 20 Mbit/s take 160 ms.
const HAND_TIME: Duration = Duration::from_millis(350);

/// The longest pause between two tries at peers.
const LONGEST_PAUSE_MS: u64 = 40;

/// How long an instance that starts waits to hear of others that have copies, in milliseconds; drawn,
/// so that of many that start together a few ask the store.
const START_WAIT_MS: std::ops::Range<u64> = 4..60;

/// How long an instance that starts waits at most until it has looked for others: a slow store takes
/// a third of a second to tell of them.
const JOIN_TIME: Duration = Duration::from_millis(600);

/// How long one that does not schedule waits for copies before it asks the store itself.
const MEMBER_WAIT: Duration = Duration::from_millis(800);

/// Hands copies to other instances.
pub(crate) struct CopiesDoor {
    pub(crate) node: Rc<Node>,
}

/// Bytes of a copy that are written at once.
const CHUNK_BYTES: usize = 16 << 10;

/// A copy that is being handed out; counted until it has been written.
struct Handed {
    node: Rc<Node>,
    left: Bytes,
}

impl Handed {
    fn new(node: Rc<Node>, left: Bytes) -> Self {
        node.handing.set(node.handing.get() + 1);
        Self { node, left }
    }
}

impl Drop for Handed {
    fn drop(&mut self) {
        self.node.handing.set(self.node.handing.get() - 1);
    }
}

impl MessageBody for Handed {
    type Error = Infallible;

    fn size(&self) -> BodySize {
        BodySize::Sized(self.left.len() as u64)
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Infallible>>> {
        let size = self.left.len().min(CHUNK_BYTES);
        let chunk = self.left.split_to(size);
        Poll::Ready((size > 0).then_some(Ok(chunk)))
    }
}

impl Handler for CopiesDoor {
    fn handle(self: Rc<Self>, req: HttpRequest) -> LocalBoxFuture<'static, HttpResponse> {
        Box::pin(std::future::ready(self.answer(req.head().uri.path())))
    }
}

impl CopiesDoor {
    fn answer(&self, path: &str) -> HttpResponse {
        if self.node.handing.get() >= MOST_HANDED {
            return empty(StatusCode::SERVICE_UNAVAILABLE);
        }
        let copy = match path {
            CONFIG_PATH => config_copy(&self.node),
            ENDPOINTS_PATH => Some(endpoints_copy(&self.node)),
            _ => return empty(StatusCode::NOT_FOUND),
        };
        let Some(copy) = copy else { return empty(StatusCode::SERVICE_UNAVAILABLE) };
        let body = Handed::new(self.node.clone(), copy);
        Response::with_body(StatusCode::OK, body.boxed())
    }
}

/// None while a later configuration cannot be read: its place in the history would hide that one.
fn config_copy(node: &Node) -> Option<Bytes> {
    if node.replica.borrow().has_unreadable() {
        return None;
    }
    let row = node.config_raw.borrow().as_ref()?.to_vec();
    let cursor = node.config_cursor.get().0;
    Some(wire::ConfigCopy { row, cursor }.encode_to_vec().into())
}

fn endpoints_copy(node: &Node) -> Bytes {
    let directory = node.directory.borrow();
    let rows =
        directory.registered().map(|e| encode_endpoint_change(&EndpointChange::Present(e.clone())));
    let to_cursor = node.endpoints_cursor.get().0;
    EndpointChanges { from_cursor: 0, to_cursor, rows: rows.collect() }.encode_to_vec().into()
}

fn has_newer_config(node: &Node, holds: CopyVersions) -> bool {
    holds.config > node.replica.borrow().version().unwrap_or_default()
}

fn has_newer_endpoints(node: &Node, holds: CopyVersions) -> bool {
    Cursor(holds.endpoints) > node.endpoints_cursor.get()
}

/// Waits until a peer is known to have a newer configuration.
pub(crate) async fn config_news(node: &Node) {
    while holders(node, |holds| has_newer_config(node, holds)).is_empty() {
        node.config_news.notified().await;
    }
}

/// Waits until a peer is known to have newer endpoints.
pub(crate) async fn endpoint_news(node: &Node) {
    while holders(node, |holds| has_newer_endpoints(node, holds)).is_empty() {
        node.endpoint_news.notified().await;
    }
}

/// Takes newer configurations from peers that have them. False if one is known of and could not be
/// had in time.
pub(crate) async fn config(node: &Node) -> bool {
    let wanted = |holds| has_newer_config(node, holds);
    seek(node, wanted, async |peer| take_config(node, peer).await).await
}

/// Takes newer endpoints from peers that have them. False if some are known of and could not be had
/// in time.
pub(crate) async fn endpoints(node: &Node) -> bool {
    let wanted = |holds| has_newer_endpoints(node, holds);
    seek(node, wanted, async |peer| take_endpoints(node, peer).await).await
}

/// Takes the first configuration from a peer, if one that has any is heard of soon.
pub(crate) async fn first_config(node: &Node) -> bool {
    wait_for_holder(node, |holds| holds.config > ConfigVersion(0)).await
        && config(node).await
        && node.config_cursor.get() > Cursor::default()
}

/// Takes the first endpoints from a peer, if one that has any is heard of soon.
pub(crate) async fn first_endpoints(node: &Node) -> bool {
    wait_for_holder(node, |holds| holds.endpoints > 0).await
        && endpoints(node).await
        && node.endpoints_cursor.get() > Cursor::default()
}

fn holders(node: &Node, wanted: impl Fn(CopyVersions) -> bool) -> Vec<SocketAddrV4> {
    node.peers.borrow().holders(node.clock.now(), wanted)
}

fn pick(node: &Node, from: Vec<SocketAddrV4>) -> Option<SocketAddrV4> {
    from.choose(&mut *node.rng.borrow_mut()).copied()
}

/// Waits until an instance is heard of that has what is wanted. Before this instance has looked for
/// others it does not give up; one that does not schedule leaves it to those that do to ask the store.
async fn wait_for_holder(node: &Node, wanted: impl Fn(CopyVersions) -> bool) -> bool {
    let began = node.clock.now();
    let wait = node.rng.borrow_mut().random_range(START_WAIT_MS);
    let mut joined_at = None;
    while holders(node, &wanted).is_empty() {
        let now = node.clock.now();
        if node.joined.get() {
            joined_at.get_or_insert(now);
        }
        let waited = now.since(joined_at.unwrap_or(began));
        let longest = match joined_at {
            None => JOIN_TIME,
            Some(_) if node.schedules() => Duration::from_millis(wait),
            Some(_) => MEMBER_WAIT,
        };
        if waited >= longest {
            return false;
        }
        pause(node).await;
    }
    true
}

async fn pause(node: &Node) {
    let pause = node.rng.borrow_mut().random_range(LONGEST_PAUSE_MS / 4..LONGEST_PAUSE_MS);
    tokio::time::sleep(Duration::from_millis(pause)).await;
}

/// Tries peers that have what is wanted until one hands it out. True once nothing is wanted.
async fn seek(
    node: &Node,
    wanted: impl Fn(CopyVersions) -> bool,
    take: impl AsyncFn(SocketAddrV4) -> Result<(), CopyError>,
) -> bool {
    let until: Timestamp = node.clock.now() + SEEK_TIME;
    while let Some(peer) = pick(node, holders(node, &wanted)) {
        let left = until.since(node.clock.now());
        let took = tokio::time::timeout(left.min(HAND_TIME), take(peer))
            .await
            .unwrap_or(Err(CopyError::Late));
        match took {
            Ok(()) => continue,
            Err(why) => log::info!(target: "peers", peer:%, why:%; "no copy"),
        }
        if node.clock.now() >= until {
            return false;
        }
        pause(node).await;
    }
    true
}

/// Why a peer's copy could not be taken.
#[derive(Debug)]
enum CopyError {
    /// No answer in time.
    Late,
    /// No whole answer.
    Exchange(ExchangeError),
    /// The peer's address is no header value.
    Address(InvalidHeaderValue),
    /// The peer has none to give now.
    Refused(StatusCode),
    /// The configuration cannot be decoded.
    Config(InvalidRow),
    /// The message, or a row of it, cannot be decoded.
    Copy(WireError),
}

impl fmt::Display for CopyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Late => write!(f, "no answer in time"),
            Self::Exchange(e) => e.fmt(f),
            Self::Address(e) => write!(f, "bad address: {e}"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::Config(row) => write!(f, "configuration cannot be decoded: {}", row.reason),
            Self::Copy(e) => write!(f, "copy cannot be decoded: {e}"),
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
    let sent = exchange::send(&node.http, peer, head, Bytes::new()).await;
    let mut answer = sent.map_err(CopyError::Exchange)?;
    if answer.head.status != StatusCode::OK {
        return Err(CopyError::Refused(answer.head.status));
    }
    answer.whole(MAX_COPY_BYTES).await.map_err(CopyError::Exchange)
}

async fn take_config(node: &Node, peer: SocketAddrV4) -> Result<(), CopyError> {
    let raw = get(node, peer, CONFIG_PATH).await?;
    let copy = wire::ConfigCopy::decode(raw).map_err(|e| CopyError::Copy(e.into()))?;
    let item = node.decoder.decode(copy.row.into()).map_err(CopyError::Config)?;
    log::info!(target: "peers", peer:%, version = item.parts.version.0; "configuration taken");
    ConfigCopy.apply(node, vec![item], Cursor(copy.cursor));
    // A copy proves nothing; the peer's word that it is current came before, and would come again only
    // with its next heartbeat.
    node.say_hello(peer);
    Ok(())
}

async fn take_endpoints(node: &Node, peer: SocketAddrV4) -> Result<(), CopyError> {
    let raw = get(node, peer, ENDPOINTS_PATH).await?;
    let copy = EndpointChanges::decode(raw).map_err(|e| CopyError::Copy(e.into()))?;
    let endpoint = |row| match decode_endpoint_change(row)? {
        EndpointChange::Present(endpoint) => Ok(Some(endpoint)),
        EndpointChange::Gone(_) | EndpointChange::Unreadable(_) => Ok(None),
    };
    let rows: Result<Vec<Option<Endpoint>>, WireError> = copy.rows.iter().map(endpoint).collect();
    let rows = rows.map_err(CopyError::Copy)?.into_iter().flatten().collect();
    if Cursor(copy.to_cursor) > node.endpoints_cursor.get() {
        EndpointCopy.replace(node, rows, Cursor(copy.to_cursor));
    }
    Ok(())
}
