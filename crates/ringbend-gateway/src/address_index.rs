//! The endpoints registered at each address.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use ringbend_types::EndpointId;
use smallvec::SmallVec;

use crate::endpoint::Endpoint;

/// The endpoints registered at each address. A starting instance takes in a few thousand endpoints
/// and compares each with those at its address.
#[derive(Debug, Clone, Default)]
pub(crate) struct AddressIndex {
    ids: HashMap<SocketAddrV4, SmallVec<[EndpointId; 1]>>,
}

impl AddressIndex {
    pub(crate) fn add(&mut self, address: SocketAddrV4, id: EndpointId) {
        self.ids.entry(address).or_default().push(id);
    }

    pub(crate) fn remove(&mut self, endpoint: &Endpoint) {
        if let Some(ids) = self.ids.get_mut(&endpoint.address) {
            ids.retain(|id| *id != endpoint.id);
            if ids.is_empty() {
                self.ids.remove(&endpoint.address);
            }
        }
    }

    /// The endpoints registered at this address.
    pub(crate) fn at(&self, address: SocketAddrV4) -> impl Iterator<Item = &EndpointId> {
        self.ids.get(&address).into_iter().flatten()
    }
}
