//! Encoding of drain announcements of endpoints.

use ringbend_gateway::Drain;
use ringbend_types::EndpointStart;

use crate::convert::WireError;
use crate::generated::EndpointDrain;

/// Encodes a drain announcement for peers.
pub fn encode_drain(drain: &Drain) -> EndpointDrain {
    EndpointDrain {
        endpoint: drain.endpoint.to_string(),
        start_ms: drain.start.map(|start| start.0),
    }
}

/// Decodes a drain announcement from a peer.
///
/// # Errors
///
/// Fails if the endpoint's id is malformed.
pub fn decode_drain(drain: &EndpointDrain) -> Result<Drain, WireError> {
    Ok(Drain { endpoint: drain.endpoint.parse()?, start: drain.start_ms.map(EndpointStart) })
}
