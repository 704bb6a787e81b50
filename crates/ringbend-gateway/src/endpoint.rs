//! Endpoints as they are registered, and changes of them.

use std::net::SocketAddrV4;
use std::time::Duration;

use ringbend_types::{DataCentre, EndpointId, EndpointStart, ServiceName};

/// A registered endpoint.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Endpoint {
    /// Its id. A restarted endpoint may keep it.
    pub id: EndpointId,
    /// The start time of its process, if endpoints report it.
    pub start: Option<EndpointStart>,
    /// The service it belongs to.
    pub service: ServiceName,
    /// The address on which it listens. It may be reused by others after the endpoint has ended.
    pub address: SocketAddrV4,
    /// The data centre in which it runs.
    pub data_centre: DataCentre,
    /// Number of requests it processes at once.
    pub slots: u32,
    /// Whether its row announces that it is leaving and takes no new work.
    pub leaving: bool,
    /// How much longer it is cold, as of the time when its row was read.
    pub cold_left: Duration,
}

impl Endpoint {
    /// Whether this is another endpoint of the same service at the same address.
    pub(crate) fn is_at_address_of(&self, other: &Self) -> bool {
        self.id != other.id && self.address == other.address && self.service == other.service
    }
}

/// A change of the list of endpoints.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EndpointChange {
    /// The endpoint is registered with these values.
    Present(Endpoint),
    /// Its row was removed.
    Gone(EndpointId),
    /// Its row exists but cannot be decoded, or was written by another writer.
    Unreadable(EndpointId),
}
