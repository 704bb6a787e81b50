//! Encoding of the rate limits of endpoints.

use ringbend_gateway::KnownLimit;
use ringbend_types::{EndpointStart, RequestRate};

use crate::convert::WireError;
use crate::generated::EndpointLimit;

/// Encodes an endpoint's rate limit for peers.
pub fn encode_limit(limit: &KnownLimit) -> EndpointLimit {
    EndpointLimit {
        endpoint: limit.endpoint.to_string(),
        start_ms: limit.start.map(|start| start.0),
        version: limit.version,
        rate: limit.rate.map(|rate| rate.0),
    }
}

/// Decodes an endpoint's rate limit from a peer.
///
/// # Errors
///
/// Fails if the endpoint's id is malformed.
pub fn decode_limit(limit: &EndpointLimit) -> Result<KnownLimit, WireError> {
    Ok(KnownLimit {
        endpoint: limit.endpoint.parse()?,
        start: limit.start_ms.map(EndpointStart),
        version: limit.version,
        rate: limit.rate.map(RequestRate),
    })
}
