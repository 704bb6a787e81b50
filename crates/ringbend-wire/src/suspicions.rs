//! Encoding of requests that are suspected of ending endpoints.

use ringbend_gateway::{EndedProcess, Suspicion};
use ringbend_types::EndpointStart;

use crate::convert::WireError;
use crate::generated as wire;

/// Encodes a suspicion for peers and for storage.
pub fn encode_suspicion(suspicion: &Suspicion) -> wire::Suspicion {
    let encode = |process: &EndedProcess| wire::EndedProcess {
        endpoint: process.endpoint.to_string(),
        start_ms: process.start.map(|start| start.0),
    };
    wire::Suspicion {
        fingerprint: suspicion.fingerprint.as_bytes().to_vec(),
        round: suspicion.round,
        ended: suspicion.ended.iter().map(encode).collect(),
        tries: suspicion.tries.into(),
        tested: suspicion.tested.iter().map(encode).collect(),
        concurrent: suspicion.concurrent.iter().map(encode).collect(),
        part: suspicion.part.map(|part| part.to_string()).unwrap_or_default(),
    }
}

/// Decodes a suspicion from a peer or from storage.
///
/// # Errors
///
/// Fails if the fingerprint, the part or an endpoint's id is malformed.
pub fn decode_suspicion(suspicion: &wire::Suspicion) -> Result<Suspicion, WireError> {
    let decode = |process: &wire::EndedProcess| -> Result<EndedProcess, WireError> {
        let start = process.start_ms.map(EndpointStart);
        Ok(EndedProcess { endpoint: process.endpoint.parse()?, start })
    };
    let part = Some(suspicion.part.as_str()).filter(|part| !part.is_empty());
    Ok(Suspicion {
        fingerprint: suspicion.fingerprint.as_slice().try_into()?,
        part: part.map(str::parse).transpose()?,
        round: suspicion.round,
        ended: suspicion.ended.iter().map(decode).collect::<Result<_, _>>()?,
        tested: suspicion.tested.iter().map(decode).collect::<Result<_, _>>()?,
        concurrent: suspicion.concurrent.iter().map(decode).collect::<Result<_, _>>()?,
        tries: u8::try_from(suspicion.tries).unwrap_or(u8::MAX),
    })
}
