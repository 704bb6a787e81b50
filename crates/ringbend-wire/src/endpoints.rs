//! Between relayed rows of the endpoints' table and the directory's types.

use ringbend_gateway::{Endpoint, EndpointChange};
use ringbend_types::{EndpointId, EndpointStart};

use crate::convert::WireError;
use crate::generated::{EndpointRestart, EndpointRow};

/// A change as told to peers.
pub fn encode_endpoint_change(change: &EndpointChange) -> EndpointRow {
    match change {
        EndpointChange::Gone(id) => {
            EndpointRow { id: id.to_string(), gone: true, ..EndpointRow::default() }
        }
        EndpointChange::Unreadable(id) => {
            EndpointRow { id: id.to_string(), unreadable: true, ..EndpointRow::default() }
        }
        EndpointChange::Present(e) => EndpointRow {
            id: e.id.to_string(),
            gone: false,
            unreadable: false,
            start_ms: e.start.map(|start| start.0),
            service: e.service.to_string(),
            address: e.address.to_string(),
            data_centre: e.data_centre.to_string(),
            slots: e.slots,
            leaving: e.leaving,
        },
    }
}

/// A change as told by a peer.
///
/// # Errors
///
/// An id or an address is malformed.
pub fn decode_endpoint_change(row: &EndpointRow) -> Result<EndpointChange, WireError> {
    let id = row.id.parse()?;
    if row.gone {
        return Ok(EndpointChange::Gone(id));
    }
    if row.unreadable {
        return Ok(EndpointChange::Unreadable(id));
    }
    Ok(EndpointChange::Present(Endpoint {
        id,
        start: row.start_ms.map(EndpointStart),
        service: row.service.parse()?,
        address: row.address.parse()?,
        data_centre: row.data_centre.parse()?,
        slots: row.slots,
        leaving: row.leaving,
    }))
}

/// An endpoint that has started again, as told to peers.
pub fn encode_endpoint_restart(endpoint: &EndpointId, start: EndpointStart) -> EndpointRestart {
    EndpointRestart { endpoint: endpoint.to_string(), start_ms: start.0 }
}

/// An endpoint that has started again, as told by a peer.
///
/// # Errors
///
/// The endpoint's id is malformed.
pub fn decode_endpoint_restart(
    told: &EndpointRestart,
) -> Result<(EndpointId, EndpointStart), WireError> {
    Ok((told.endpoint.parse()?, EndpointStart(told.start_ms)))
}
