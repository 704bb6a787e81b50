//! Encoding of changes and restarts of endpoints.

use std::time::Duration;

use ringbend_gateway::{Endpoint, EndpointChange};
use ringbend_types::{EndpointId, EndpointStart};

use crate::convert::WireError;
use crate::generated::{EndpointRestart, EndpointRow};

/// Encodes a change of an endpoint for peers.
pub fn encode_endpoint_change(change: &EndpointChange) -> EndpointRow {
    match change {
        EndpointChange::Gone(id) => {
            EndpointRow { id: id.to_string(), gone: true, ..EndpointRow::default() }
        }
        EndpointChange::Unreadable(id) => {
            EndpointRow { id: id.to_string(), unreadable: true, ..EndpointRow::default() }
        }
        EndpointChange::Present(endpoint) => EndpointRow {
            id: endpoint.id.to_string(),
            gone: false,
            unreadable: false,
            start_ms: endpoint.start.map(|start| start.0),
            service: endpoint.service.to_string(),
            address: endpoint.address.to_string(),
            data_centre: endpoint.data_centre.to_string(),
            slots: endpoint.slots,
            leaving: endpoint.leaving,
            cold_left_ms: u32::try_from(endpoint.cold_left.as_millis()).unwrap_or(u32::MAX),
        },
    }
}

/// Decodes a change of an endpoint from a peer.
///
/// # Errors
///
/// Fails if an id or the address is malformed.
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
        cold_left: Duration::from_millis(row.cold_left_ms.into()),
    }))
}

/// Encodes a restart of an endpoint for peers.
pub fn encode_endpoint_restart(endpoint: &EndpointId, start: EndpointStart) -> EndpointRestart {
    EndpointRestart { endpoint: endpoint.to_string(), start_ms: start.0 }
}

/// Decodes a restart of an endpoint from a peer.
///
/// # Errors
///
/// Fails if the endpoint's id is malformed.
pub fn decode_endpoint_restart(
    restart: &EndpointRestart,
) -> Result<(EndpointId, EndpointStart), WireError> {
    Ok((restart.endpoint.parse()?, EndpointStart(restart.start_ms)))
}
