//! Interfaces that the relay needs from its environment; an adapter implements them.

use std::fmt;
use std::io;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use actix_http::{RequestHead, StatusCode};
use async_trait::async_trait;
use bytes::Bytes;
use ringbend_gateway::{
    Demand, Endpoint, EndpointChange, EndpointSignals, EngineUsage, EvacuationChange, EventId,
    ListError, ListStep, Pace, Reservation, ReservationId, ReservationReply, SnapshotParts,
    TableList,
};
use ringbend_types::{ClientAccountId, Cursor, DataCentre, EndpointId, EndpointStart, SharedParts};
use smallvec::SmallVec;
use tokio::net::TcpStream;

/// The headers of a caller's request that the relay interprets.
#[derive(Debug, Clone, Default)]
pub struct RequestMetadata {
    /// The request id chosen by the caller; endpoints echo it in their responses.
    pub request_id: Option<Arc<str>>,
    /// The caller's API key.
    pub api_key: Option<Arc<str>>,
    /// How long the caller waits for the response.
    pub client_timeout: Option<Duration>,
    /// The last event the caller received of a stream that is to be resumed.
    pub last_event_id: Option<EventId>,
    /// Tokens that the request needs from an engine; `None` for requests that do not run on an
    /// engine.
    pub demand: Option<Demand>,
    /// The parts of the prompt that other requests may have as well.
    pub parts: SharedParts,
}

/// A request header has a value that cannot be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct InvalidRequestHead {
    /// Description of the header.
    pub field: &'static str,
}

impl fmt::Display for InvalidRequestHead {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid {} in the request headers", self.field)
    }
}

impl std::error::Error for InvalidRequestHead {}

/// An engine that prefills part of a prompt for the lead engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PrefillHelper {
    /// The address on which it accepts requests.
    pub address: SocketAddrV4,
    /// Its memory reservation for the prompt, if any.
    pub reservation: Option<ReservationId>,
}

/// A command on an engine's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReservationCommand<'a> {
    /// Reserve the memory, or renew the reservation, for this time from now.
    Reserve(&'a Reservation, Duration),
    /// Release the reservation.
    Release(&'a Reservation),
}

/// The HTTP request of a [`ReservationCommand`]; it is sent as a POST.
#[derive(Debug, Clone)]
pub struct ReservationRequest {
    /// The request path.
    pub path: &'static str,
    /// The request headers.
    pub headers: HeaderMap,
    /// The request body.
    pub body: Bytes,
}

/// Values that are sent to the endpoint in addition to the caller's own headers.
#[derive(Debug, Clone)]
pub struct ForwardContext {
    /// The endpoint that the request is for; another endpoint at the same address refuses it.
    pub endpoint: EndpointId,
    /// The client account of the caller's key.
    pub account: Option<ClientAccountId>,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// The event after which the stream is resumed.
    pub last_event_id: Option<EventId>,
    /// Engines that prefill part of the prompt.
    pub helpers: SmallVec<[PrefillHelper; 4]>,
    /// Priority in the endpoint's queue, where zero is served first; `None` if the endpoint has no
    /// priorities.
    pub priority: Option<u8>,
}

/// The headers of an endpoint's response that the relay interprets.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ResponseMetadata {
    /// The id of the request that this is the response to.
    pub request_id: Option<Arc<str>>,
    /// Whether the endpoint states that the request was not run.
    pub not_run: bool,
    /// Whether the response comes from another endpoint than the expected one, at the same address.
    pub is_wrong_endpoint: bool,
    /// The engine that failed, if it is not the one that responds.
    pub faulty_engine: Option<SocketAddrV4>,
    /// The endpoint's signals about its own state.
    pub signals: EndpointSignals,
}

/// The HTTP request for an engine's report; it is sent as a GET.
#[derive(Debug)]
pub struct ReportRequest {
    /// The request path.
    pub path: &'static str,
    /// The request headers.
    pub headers: HeaderMap,
}

/// An engine's report about itself.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineReport {
    /// How much slower than configured the engine is.
    pub pace: Pace,
    /// The start of the engine's process, if reported.
    pub start: Option<EndpointStart>,
    /// What the engine runs, if reported.
    pub usage: Option<EngineUsage>,
}

/// Maps the relay's requests and responses to the headers, paths and bodies that callers and
/// endpoints use.
pub trait Dialect {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// A header has an invalid value.
    fn parse_request(&self, head: &RequestHead) -> Result<RequestMetadata, InvalidRequestHead>;

    /// Rewrites the caller's headers into those sent to the endpoint.
    fn set_forward_headers(&self, context: &ForwardContext, headers: &mut HeaderMap);

    /// Parses the head of an endpoint's response.
    fn parse_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseMetadata;

    /// Builds the request that reserves or releases memory on an engine.
    fn reservation_request(&self, command: &ReservationCommand<'_>) -> ReservationRequest;

    /// Interprets the status of an engine's response to a reservation request.
    fn parse_reservation_response(&self, status: StatusCode) -> ReservationReply;

    /// The start of the engine's process, if the body of its response to a reservation request
    /// states it.
    fn parse_reservation_start(&self, body: &[u8]) -> Option<EndpointStart>;

    /// Builds the request for an engine's report.
    fn report_request(&self, engine: &EndpointId) -> ReportRequest;

    /// Parses an engine's report; `None` if the response is not a valid report.
    fn parse_report(&self, status: StatusCode, body: &[u8]) -> Option<EngineReport>;

    /// Marks a response that the relay generates itself, for example with the caller's request id.
    fn mark_local_response(&self, request: &RequestMetadata, headers: &mut HeaderMap);
}

/// Opens connections to endpoints and other instances.
#[async_trait(?Send)]
pub trait Network {
    /// Connects to an address. The caller limits the time.
    async fn connect(&self, address: SocketAddrV4) -> io::Result<TcpStream>;
}

/// A row that cannot be decoded; the other rows of its batch remain valid.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidRow {
    /// The row's key.
    pub key: Arc<str>,
    /// The decoding error.
    pub reason: Arc<str>,
    /// Whether the table is not current without this row.
    pub is_required: bool,
}

/// One page of a table.
#[derive(Debug, Clone)]
pub struct Page<T> {
    /// The rows that no earlier page had.
    pub items: Vec<T>,
    /// Rows that could not be decoded.
    pub invalid_rows: Vec<InvalidRow>,
    /// The list up to this page.
    pub list: TableList,
    /// How the list goes on.
    pub step: ListStep,
    /// The store's monotonic clock when it built the response.
    pub store_clock: Duration,
}

/// A table whose rows can be listed.
#[async_trait(?Send)]
pub trait PagedTable<Row> {
    /// Reads the page that follows those of `list`, or the first page. This is one call to the store.
    ///
    /// # Errors
    ///
    /// The call failed, or the page does not continue the list.
    async fn read_page(&self, list: Option<&TableList>) -> Result<Page<Row>, SourceError>;
}

/// Changes of a watched table.
#[derive(Debug, Clone)]
pub struct Batch<T> {
    /// The changes in order.
    pub items: Vec<T>,
    /// Rows that could not be decoded.
    pub invalid_rows: Vec<InvalidRow>,
    /// The position from which the next call continues.
    pub cursor: Cursor,
    /// Whether the batch holds everything that the source had; otherwise the source is read again
    /// at once.
    pub is_complete: bool,
    /// The store's monotonic clock when it built the response.
    pub store_clock: Duration,
}

/// Why a read of a watched table failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SourceError {
    /// The connection failed or broke.
    Unreachable,
    /// The store refused the call with this status.
    Refused(u16),
    /// The requested part of the history no longer exists; the whole table has to be read again.
    HistoryGone,
    /// The response cannot be decoded.
    Malformed,
    /// The page of a table does not continue the list.
    InvalidPage(ListError),
    /// No response within the timeout.
    TimedOut,
}

impl fmt::Display for SourceError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable => write!(f, "unreachable"),
            Self::Refused(status) => write!(f, "refused with status {status}"),
            Self::HistoryGone => write!(f, "change history no longer available"),
            Self::Malformed => write!(f, "malformed response"),
            Self::InvalidPage(e) => e.fmt(f),
            Self::TimedOut => write!(f, "timed out"),
        }
    }
}

impl std::error::Error for SourceError {}

/// A table that can be listed and watched for changes.
#[async_trait(?Send)]
pub trait Source<Item, Change>: PagedTable<Item> {
    /// Long-polls for changes after `after`: waits at most `wait` for the first one.
    async fn changes(&self, after: Cursor, wait: Duration) -> Result<Batch<Change>, SourceError>;
}

/// A configuration, encoded as in its table and decoded.
#[derive(Debug, Clone)]
pub struct ConfigItem {
    /// The encoded row, which is served to other instances.
    pub raw: Bytes,
    /// The decoded content.
    pub parts: SnapshotParts,
}

/// A row of the operator's table, or a change of one.
#[derive(Debug, Clone)]
pub enum OperatorChange {
    /// A configuration.
    Config(ConfigItem),
    /// The start or the end of an evacuation.
    Evacuation(EvacuationChange),
}

/// Decodes a configuration that was fetched from another instance.
pub trait ConfigDecoder {
    /// Decodes a row of the configuration table.
    ///
    /// # Errors
    ///
    /// The bytes are not a valid configuration.
    fn decode(&self, raw: Bytes) -> Result<ConfigItem, InvalidRow>;
}

/// The operator's table, with the configuration and the evacuations.
pub type ConfigSource = dyn Source<OperatorChange, OperatorChange>;

/// The table of registered endpoints.
pub type EndpointSource = dyn Source<Endpoint, EndpointChange>;

/// An instance's entry in the registry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstanceRecord {
    /// The address on which the instance accepts peer traffic.
    pub address: SocketAddrV4,
    /// The instance's data centre, if known.
    pub data_centre: Option<DataCentre>,
    /// The processor time available to the instance, in thousandths of a core; zero if unknown.
    pub capacity: u32,
}

/// A row of the registry, or its removal.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistryChange {
    /// The row's key.
    pub key: Arc<str>,
    /// The entry; `None` if the row was removed or cannot be decoded.
    pub record: Option<InstanceRecord>,
}

/// Changes of the registry, as of a position in its history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RegistryBatch {
    /// The changes in order.
    pub changes: Vec<RegistryChange>,
    /// Rows that could not be decoded.
    pub invalid_rows: Vec<InvalidRow>,
    /// The position up to which they are known.
    pub cursor: Cursor,
    /// Whether there are no further changes up to the position.
    pub is_complete: bool,
}

/// Registry through which instances discover each other. Its list includes this instance's own
/// entry; some entries may belong to instances that no longer run.
#[async_trait(?Send)]
pub trait InstanceRegistry: PagedTable<RegistryChange> {
    /// Writes this instance's entry. The call is idempotent.
    async fn register(&self, own: &InstanceRecord) -> Result<(), SourceError>;

    /// Long-polls for changes after `after`: waits at most `wait` for the first one.
    async fn changes(&self, after: Cursor, wait: Duration) -> Result<RegistryBatch, SourceError>;

    /// Removes this instance's entry.
    async fn deregister(&self) -> Result<(), SourceError>;
}

/// A row of the [`DurableStore`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DurableRow {
    /// The row's key.
    pub key: Arc<str>,
    /// The value, in an encoding that only the relay interprets.
    pub value: Bytes,
}

/// Storage for data that must survive the end of all instances.
#[async_trait(?Send)]
pub trait DurableStore: PagedTable<DurableRow> {
    /// Writes a row and overwrites an existing one with the same key.
    async fn put(&self, row: &DurableRow) -> Result<(), SourceError>;

    /// Deletes rows; missing keys are ignored.
    async fn delete(&self, keys: &[Arc<str>]) -> Result<(), SourceError>;

    /// Writes a row unless its key exists. Returns whether this call wrote it; a call whose
    /// response was lost counts as one that did not.
    async fn put_if_absent(&self, row: &DurableRow) -> Result<bool, SourceError>;
}
