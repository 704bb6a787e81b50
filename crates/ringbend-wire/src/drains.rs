//! Between announcements of draining endpoints as told to peers and the types that decide by them.

use ringbend_gateway::Drain;
use ringbend_types::EndpointStart;

use crate::convert::WireError;
use crate::generated::EndpointDrain;

/// An announcement as told to peers.
pub fn encode_drain(drain: &Drain) -> EndpointDrain {
    EndpointDrain {
        endpoint: drain.endpoint.to_string(),
        start_ms: drain.start.map(|start| start.0),
    }
}

/// The same, as told by a peer.
///
/// # Errors
///
/// The endpoint's id is malformed.
pub fn decode_drain(told: &EndpointDrain) -> Result<Drain, WireError> {
    Ok(Drain { endpoint: told.endpoint.parse()?, start: told.start_ms.map(EndpointStart) })
}
