//! Messages of the platform that Ringbend runs on, as plain types.
//!
//! The table service stores data that has to be durable or agreed on, the object store holds large
//! answers, the instance list contains the running endpoints, and endpoints accept requests, reservations
//! and orders. The daemon exchanges these types over HTTP; tests and the benchmark use them directly.

mod endpoint;
mod table;

pub use endpoint::{
    CacheEvent, EndpointEntry, EndpointKind, EndpointState, LoadReport, Order, OrderKind,
    OrderRefusal, Reservation, headers,
};
pub use table::{Condition, Row, RowKey, RowVersion, TableError, TableReply, TableRequest, Write};
