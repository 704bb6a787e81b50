//! Encoding of evacuated data centres.

use ringbend_gateway::Evacuations;
use ringbend_types::{Cursor, DataCentre, ParseIdError};

use crate::convert::WireError;
use crate::generated;

/// Encodes the evacuated data centres for peers.
pub fn encode_evacuations(evacuations: &Evacuations) -> generated::Evacuations {
    generated::Evacuations {
        position: evacuations.position().version,
        era: evacuations.position().era,
        data_centres: evacuations.data_centres().iter().map(DataCentre::to_string).collect(),
    }
}

/// Decodes the evacuated data centres of a peer.
///
/// # Errors
///
/// Fails if a data centre's name is malformed.
pub fn decode_evacuations(encoded: &generated::Evacuations) -> Result<Evacuations, WireError> {
    let data_centres = encoded.data_centres.iter().map(|name| name.parse());
    let data_centres = data_centres.collect::<Result<Vec<DataCentre>, ParseIdError>>()?;
    Ok(Evacuations::new(Cursor::new(encoded.era, encoded.position), data_centres))
}
