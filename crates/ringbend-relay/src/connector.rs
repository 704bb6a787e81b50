//! Connects to endpoints and records which of them this instance cannot reach.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;

use crate::network::{self, ConnectError};
use crate::node::Node;

/// Connect timeout. Within a region connecting takes a few milliseconds. A lost SYN packet is
/// retransmitted only after a second, so a longer timeout gains nothing.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);

impl Node {
    /// Connects to an endpoint.
    pub(crate) async fn connect_endpoint(
        self: &Rc<Self>,
        address: SocketAddrV4,
    ) -> Result<TcpStream, ConnectError> {
        let connected = network::connect(&*self.network, address, CONNECT_TIMEOUT).await;
        match &connected {
            Ok(_) => self.record_connected(address),
            Err(why) => self.record_connect_failure(address, *why),
        }
        connected
    }

    /// Connects to another instance.
    pub(crate) async fn connect_peer(
        &self,
        address: SocketAddrV4,
    ) -> Result<TcpStream, ConnectError> {
        network::connect(&*self.network, address, CONNECT_TIMEOUT).await
    }

    fn record_connected(&self, address: SocketAddrV4) {
        let now = self.clock.now();
        let Some(failed) = self.reachability.borrow_mut().record_success(now, address) else {
            return;
        };
        let ms = failed.as_millis() as u64;
        log::info!(target: "paths", address:%, ms; "endpoint reached again");
    }

    fn record_connect_failure(&self, address: SocketAddrV4, why: ConnectError) {
        self.metrics.connect_failure(why.label());
        if self.reachability.borrow_mut().record_failure(self.clock.now(), address) {
            log::warn!(target: "paths", address:%, why:%; "endpoint cannot be reached");
        }
    }
}
