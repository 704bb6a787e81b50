//! Between what instances tell of suspected requests and the quarantine's types.

use ringbend_gateway::{EndedProcess, Suspicion};
use ringbend_types::EndpointStart;

use crate::convert::WireError;
use crate::generated as wire;

/// What is known of a request, as told to peers and kept.
pub fn encode_suspicion(suspicion: &Suspicion) -> wire::Suspicion {
    let ended = suspicion.ended.iter().map(|process| wire::EndedProcess {
        endpoint: process.endpoint.to_string(),
        start_ms: process.start.map(|start| start.0),
    });
    wire::Suspicion {
        fingerprint: suspicion.fingerprint.as_bytes().to_vec(),
        round: suspicion.round,
        ended: ended.collect(),
        tries: suspicion.tries.into(),
    }
}

/// The same, as told by a peer or read.
///
/// # Errors
///
/// The fingerprint or an endpoint's id is malformed.
pub fn decode_suspicion(told: &wire::Suspicion) -> Result<Suspicion, WireError> {
    let ended = told.ended.iter().map(|process| {
        let start = process.start_ms.map(EndpointStart);
        Ok(EndedProcess { endpoint: process.endpoint.parse()?, start })
    });
    Ok(Suspicion {
        fingerprint: told.fingerprint.as_slice().try_into()?,
        round: told.round,
        ended: ended.collect::<Result<_, WireError>>()?,
        tries: u8::try_from(told.tries).unwrap_or(u8::MAX),
    })
}
