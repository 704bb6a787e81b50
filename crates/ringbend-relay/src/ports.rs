//! What the relay asks of the world around it; an adapter implements these.

use std::fmt;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, StatusCode};
use async_trait::async_trait;
use bytes::Bytes;
use ringbend_gateway::{
    Demand, Endpoint, EndpointChange, EndpointSignals, EventId, Pace, Reservation, ReservationId,
    ReservationReply, SnapshotParts,
};
use ringbend_types::{ClientAccountId, DataCentre, EndpointId, EndpointStart};
use smallvec::SmallVec;

/// What a caller's head says, beside method and path.
#[derive(Debug, Clone, Default)]
pub struct Call {
    /// The caller's id of this request; endpoints echo it.
    pub request_id: Option<Arc<str>>,
    /// The caller's key.
    pub key: Option<Arc<str>>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// The event after which a stream is to be continued.
    pub last_event: Option<EventId>,
    /// What the request asks of an engine; none for plain requests.
    pub demand: Option<Demand>,
}

/// A head holds a value that cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BadCall {
    /// Which value.
    pub what: &'static str,
}

impl fmt::Display for BadCall {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the request's {} cannot be read", self.what)
    }
}

impl std::error::Error for BadCall {}

/// An engine that helps to read a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Helper {
    /// Where it listens.
    pub address: SocketAddrV4,
    /// The memory that it holds for the prompt.
    pub ticket: Option<ReservationId>,
}

/// What an engine is asked about its memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemoryOrder<'a> {
    /// Hold it, or go on holding it, for so long from now.
    Hold(&'a Reservation, Duration),
    /// Let it go.
    Release(&'a Reservation),
}

/// An order as the engine takes it.
#[derive(Debug, Clone)]
pub struct OrderCall {
    /// The path that it is posted to.
    pub path: &'static str,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// What is told to the endpoint beside what the caller sent.
#[derive(Debug, Clone)]
pub struct SendOrder {
    /// The endpoint that is meant; another one at its address refuses.
    pub endpoint: EndpointId,
    /// The account that the caller's key belongs to.
    pub account: Option<ClientAccountId>,
    /// How long the endpoint may take.
    pub time_left: Duration,
    /// The event after which to go on.
    pub last_event: Option<EventId>,
    /// Engines that help to read the prompt.
    pub helpers: SmallVec<[Helper; 4]>,
    /// Rank among the requests of the endpoint; zero goes first, none where it has no ranks.
    pub priority: Option<u8>,
}

/// What an endpoint's head says, beside its status.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerFacts {
    /// The request id that it answers.
    pub request_id: Option<Arc<str>>,
    /// It states that the request was not run.
    pub not_run: bool,
    /// Whether another endpoint than the one that was meant answered at its address.
    pub is_foreign: bool,
    /// The engine that was at fault, where another than the one that answers.
    pub at_fault: Option<SocketAddrV4>,
    /// What it signals about itself.
    pub signals: EndpointSignals,
}

/// A question to an engine, ready to be sent.
#[derive(Debug)]
pub struct ReportCall {
    /// Where it is asked.
    pub path: &'static str,
    /// The headers.
    pub headers: HeaderMap,
}

/// What an engine says of itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Report {
    /// How much slower than configured it is.
    pub pace: Pace,
    /// When its process started, if it tells.
    pub start: Option<EndpointStart>,
}

/// Reads and writes heads in the words that callers and endpoints use.
pub trait Dialect {
    /// Reads a caller's head.
    ///
    /// # Errors
    ///
    /// A value cannot be read.
    fn call(&self, head: &RequestHead) -> Result<Call, BadCall>;

    /// Turns the caller's headers into those that the endpoint gets.
    fn forward(&self, order: &SendOrder, headers: &mut HeaderMap);

    /// Reads an endpoint's head.
    fn answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerFacts;

    /// Writes an order on an engine's memory.
    fn order(&self, order: &MemoryOrder<'_>) -> OrderCall;

    /// Reads what an engine says to an order.
    fn order_answer(&self, status: StatusCode) -> ReservationReply;

    /// When the engine's process started, as the body of its answer to an order tells.
    fn order_start(&self, body: &[u8]) -> Option<EndpointStart>;

    /// Asks an engine how it is.
    fn report(&self, engine: &EndpointId) -> ReportCall;

    /// Reads an engine's answer to that; none if it is no report.
    fn report_answer(&self, status: StatusCode, body: &[u8]) -> Option<Report>;

    /// Marks an answer that the relay makes itself.
    fn own_answer(&self, call: &Call, headers: &mut HeaderMap);
}

/// A place in a watched table's history.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cursor(pub u64);

/// A row that cannot be decoded; the rows beside it still count.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BadRow {
    /// Its key.
    pub key: Arc<str>,
    /// What is wrong with it.
    pub why: Arc<str>,
}

/// One answer of a watched table.
#[derive(Debug, Clone)]
pub struct Batch<T> {
    /// What it holds, or what has changed, in order.
    pub items: Vec<T>,
    /// Rows that could not be decoded.
    pub bad: Vec<BadRow>,
    /// Where to go on.
    pub cursor: Cursor,
    /// Whether nothing that the source had was left out; else it is asked again at once.
    pub is_whole: bool,
    /// The store's steady clock as it made the answer.
    pub store_clock: Duration,
}

/// Why a watched table gave no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceError {
    /// No connection, or it broke.
    Unreachable,
    /// The store refused, with this status.
    Refused(u16),
    /// The history that was asked for is gone; read everything again.
    HistoryGone,
    /// The answer cannot be decoded.
    Malformed,
    /// No answer in time.
    TimedOut,
}

impl fmt::Display for SourceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => write!(f, "unreachable"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::HistoryGone => write!(f, "the history is gone"),
            Self::Malformed => write!(f, "malformed answer"),
            Self::TimedOut => write!(f, "no answer in time"),
        }
    }
}

impl std::error::Error for SourceError {}

/// A table that can be read whole and watched for changes.
#[async_trait(?Send)]
pub trait Source<Whole, Change> {
    /// Reads everything.
    async fn read_all(&self) -> Result<Batch<Whole>, SourceError>;

    /// Reads what has changed since `after`, waiting at most `wait` for a first change.
    async fn changes(&self, after: Cursor, wait: Duration) -> Result<Batch<Change>, SourceError>;
}

/// A configuration as its table holds it, and decoded.
#[derive(Debug, Clone)]
pub struct ConfigItem {
    /// The bytes that other instances are handed.
    pub raw: Bytes,
    /// What they hold.
    pub parts: SnapshotParts,
}

/// Decodes a configuration that another instance read.
pub trait ConfigDecoder {
    /// Decodes the bytes of the table's row.
    ///
    /// # Errors
    ///
    /// They are no configuration.
    fn decode(&self, raw: Bytes) -> Result<ConfigItem, BadRow>;
}

/// The configuration's table.
pub type ConfigSource = dyn Source<ConfigItem, ConfigItem>;

/// The endpoints' table.
pub type EndpointSource = dyn Source<Endpoint, EndpointChange>;

/// Where an instance listens for others, and what it is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Present {
    /// Where it listens for others.
    pub address: SocketAddrV4,
    /// Where it runs, if that is known.
    pub data_centre: Option<DataCentre>,
    /// The processor time that it may use, in thousandths of a core; zero if that is not known.
    pub capacity: u32,
}

/// Where instances find each other.
#[async_trait(?Send)]
pub trait Presence {
    /// Writes where this instance listens for others. Writing it again changes nothing.
    async fn announce(&self, own: &Present) -> Result<(), SourceError>;

    /// Where instances listen, this one included; some may be gone.
    async fn all(&self) -> Result<Vec<Present>, SourceError>;

    /// Removes what `announce` wrote.
    async fn withdraw(&self) -> Result<(), SourceError>;
}

/// A row that the instances keep for each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeptRow {
    /// Its key.
    pub key: Arc<str>,
    /// What it holds; the relay's own bytes.
    pub value: Bytes,
}

/// Where what must outlast all instances is kept.
#[async_trait(?Send)]
pub trait Keeper {
    /// All rows.
    async fn all(&self) -> Result<Vec<KeptRow>, SourceError>;

    /// Writes a row, over one of that key.
    async fn keep(&self, row: &KeptRow) -> Result<(), SourceError>;

    /// Removes rows; those that are not there are none.
    async fn remove(&self, keys: &[Arc<str>]) -> Result<(), SourceError>;

    /// Writes a row unless one of its key is there. Whether this call has written it; a call whose answer
    /// was lost counts as one that has not.
    async fn claim(&self, row: &KeptRow) -> Result<bool, SourceError>;
}
