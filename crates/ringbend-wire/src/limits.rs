//! Between what instances tell of endpoints' limits and the types that decide by them.

use ringbend_gateway::KnownLimit;
use ringbend_types::{EndpointStart, RequestRate};

use crate::convert::WireError;
use crate::generated::EndpointLimit;

/// What is known of an endpoint's limit, as told to peers.
pub fn encode_limit(limit: &KnownLimit) -> EndpointLimit {
    EndpointLimit {
        endpoint: limit.endpoint.to_string(),
        start_ms: limit.start.map(|start| start.0),
        version: limit.version,
        rate: limit.rate.map(|rate| rate.0),
    }
}

/// The same, as told by a peer.
///
/// # Errors
///
/// The endpoint's id is malformed.
pub fn decode_limit(told: &EndpointLimit) -> Result<KnownLimit, WireError> {
    Ok(KnownLimit {
        endpoint: told.endpoint.parse()?,
        start: told.start_ms.map(EndpointStart),
        version: told.version,
        rate: told.rate.map(RequestRate),
    })
}
