//! The datagram socket for peer traffic, and the common part of all digests.

use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ringbend_wire::{LoadDigest, Message, encode_role};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::node::Node;
use crate::table_gossip::currency;

/// How long updates such as the end of a request may be delayed to be batched with others. New work
/// is sent at once.
pub(crate) const BATCH_DELAY: Duration = Duration::from_millis(15);

/// Maximum size of a received datagram, in bytes.
pub(crate) const MAX_DATAGRAM: usize = 16 << 10;

/// Wakes the gossip sender.
#[derive(Default)]
pub(crate) struct FlushSignals {
    /// New work was placed, or another update must not be delayed.
    pub(crate) immediate: Notify,
    /// The prompt of a request was prefilled, a request has ended, or another update that may be
    /// batched is due.
    pub(crate) batched: Notify,
}

/// The socket for datagrams to and from all other instances.
pub(crate) struct PeerSocket {
    pub(crate) socket: Rc<UdpSocket>,
    pub(crate) address: SocketAddrV4,
    /// Addresses with which no datagrams are exchanged; empty except in tests.
    pub(crate) dropped: RefCell<Vec<SocketAddrV4>>,
}

impl PeerSocket {
    pub(crate) async fn open(address: SocketAddrV4) -> std::io::Result<Self> {
        let socket = Rc::new(UdpSocket::bind(address).await?);
        let address = SocketAddrV4::new(*address.ip(), socket.local_addr()?.port());
        Ok(Self { socket, address, dropped: RefCell::default() })
    }
}

impl Node {
    /// The address on which this instance receives peer traffic; `None` without a configured peer
    /// address.
    pub(crate) fn peers_address(&self) -> Option<SocketAddrV4> {
        self.peer_socket.get().map(|peer_socket| peer_socket.address)
    }

    /// The common part of all digests.
    pub(crate) fn digest(&self) -> LoadDigest {
        let now = self.clock.now();
        let peers = self.peers.borrow();
        LoadDigest {
            incarnation: self.incarnation(),
            clock_us: now.0,
            currency: currency(self),
            role: encode_role(peers.role()),
            instances: count(peers.local_instances(now)),
            fleet: count(peers.instances(now)),
            possible: count(self.possible_instances.get()),
            ..LoadDigest::default()
        }
    }

    /// A digest that describes this instance.
    pub(crate) fn introduction(&self) -> LoadDigest {
        let cfg = self.cfg.borrow();
        let (data_centre, capacity) = (cfg.data_centre.to_string(), cfg.capacity());
        let uptime_ms = self.announced_uptime_ms();
        LoadDigest { data_centre, capacity, uptime_ms, ..self.digest() }
    }

    /// Greets the instances at these addresses, unless they are known already.
    pub(crate) fn greet(&self, addresses: &[SocketAddrV4]) {
        let now = self.clock.now();
        let own = self.peers_address();
        let others = addresses.iter().copied().filter(|address| Some(*address) != own);
        for address in others {
            if self.peers.borrow_mut().begin_greeting(now, address) {
                self.send_hello(address);
            }
        }
    }

    /// Announces this instance to another one, and asks it for further instances.
    pub(crate) fn send_hello(&self, address: SocketAddrV4) {
        self.send_digest(&LoadDigest { hello: true, ..self.introduction() }, address);
    }

    pub(crate) fn send_digest(&self, digest: &LoadDigest, address: SocketAddrV4) {
        let Some(peer_socket) = self.peer_socket.get() else { return };
        if peer_socket.dropped.borrow().contains(&address) {
            return;
        }
        let bytes = digest.encode_to_vec();
        match peer_socket.socket.try_send_to(&bytes, address.into()) {
            Ok(sent) => self.metrics.peer_bytes(sent as u64),
            // The socket's buffer is full or the peer has ended. Digests are hints, so this one is
            // dropped.
            Err(e) => {
                log::debug!(target: "peers", peer:% = address, error:% = e; "digest not sent")
            }
        }
    }

    pub(crate) fn send_digest_to_all(
        &self,
        digest: &LoadDigest,
        addresses: impl IntoIterator<Item = SocketAddrV4>,
    ) {
        addresses.into_iter().for_each(|address| self.send_digest(digest, address));
    }
}

fn count(instances: usize) -> u32 {
    u32::try_from(instances).unwrap_or(u32::MAX)
}
