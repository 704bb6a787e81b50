//! Between relayed rows of the endpoints' table and the directory's types.

use ringbend_gateway::{Endpoint, EndpointChange};

use crate::generated::EndpointRow;
use crate::map::WireError;

/// A change as told to peers.
pub fn row_of(change: &EndpointChange) -> EndpointRow {
    match change {
        EndpointChange::Gone(id) => {
            EndpointRow { id: id.to_string(), gone: true, ..EndpointRow::default() }
        }
        EndpointChange::Present(e) => EndpointRow {
            id: e.id.to_string(),
            gone: false,
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
pub fn change_of(row: &EndpointRow) -> Result<EndpointChange, WireError> {
    let id = row.id.parse()?;
    if row.gone {
        return Ok(EndpointChange::Gone(id));
    }
    Ok(EndpointChange::Present(Endpoint {
        id,
        service: row.service.parse()?,
        address: row.address.parse()?,
        data_centre: row.data_centre.parse()?,
        slots: row.slots,
        leaving: row.leaving,
    }))
}
