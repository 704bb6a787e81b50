//! Messages of the platform that Ringbend runs on, as plain types.
//!
//! The table service keeps what must last or be agreed, the object store keeps large answers,
//! the instance list tells which endpoints live, and endpoints take requests, reservations and
//! orders. The daemon carries these types over HTTP; tests and the bench pass them directly.

mod endpoint;
mod table;

pub use endpoint::{
    CacheEvent, EndpointEntry, EndpointKind, EndpointState, LoadReport, Order, OrderKind,
    OrderRefusal, Reservation, headers,
};
pub use table::{Condition, Row, RowKey, RowVersion, TableError, TableReply, TableRequest, Write};
