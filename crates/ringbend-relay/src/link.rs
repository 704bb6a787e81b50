//! The datagrams between instances: how they are sent, and what each begins with.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ringbend_wire::{LoadDigest, Message, encode_role};
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::node::Node;
use crate::relayed::currency;

/// How long the end of a request may wait to be told together with others. New work is told at once.
pub(crate) const GATHER: Duration = Duration::from_millis(15);

/// The longest datagram that is read, in bytes.
pub(crate) const MAX_DATAGRAM: usize = 16 << 10;

/// Wakes the sender.
#[derive(Default)]
pub(crate) struct Signals {
    /// New work was placed.
    pub(crate) now: Notify,
    /// Work has begun to write or ended.
    pub(crate) soon: Notify,
}

/// The socket for datagrams to all other instances.
pub(crate) struct Link {
    pub(crate) socket: Rc<UdpSocket>,
    pub(crate) address: SocketAddrV4,
}

impl Link {
    pub(crate) async fn open(address: SocketAddrV4) -> std::io::Result<Self> {
        let socket = Rc::new(UdpSocket::bind(address).await?);
        let address = SocketAddrV4::new(*address.ip(), socket.local_addr()?.port());
        Ok(Self { socket, address })
    }
}

impl Node {
    /// Where this instance hears others; none where load is not shared.
    pub(crate) fn peers_address(&self) -> Option<SocketAddrV4> {
        self.link.get().map(|link| link.address)
    }

    /// What each digest begins with.
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
            ..LoadDigest::default()
        }
    }

    /// A digest that tells what this instance is.
    pub(crate) fn introduction(&self) -> LoadDigest {
        let cfg = self.cfg.borrow();
        let (data_centre, capacity) = (cfg.data_centre.to_string(), cfg.capacity());
        LoadDigest { data_centre, capacity, ..self.digest() }
    }

    /// Greets instances that are said to be at these addresses and are not heard.
    pub(crate) fn greet(&self, addresses: &[SocketAddrV4]) {
        let now = self.clock.now();
        let own = self.peers_address();
        let others = addresses.iter().copied().filter(|address| Some(*address) != own);
        for address in others {
            if self.peers.borrow_mut().begin_greeting(now, address) {
                self.say_hello(address);
            }
        }
    }

    /// Tells one instance that this one is there, and asks who else is.
    pub(crate) fn say_hello(&self, address: SocketAddrV4) {
        self.tell(&LoadDigest { hello: true, ..self.introduction() }, address);
    }

    pub(crate) fn tell(&self, digest: &LoadDigest, address: SocketAddrV4) {
        let Some(link) = self.link.get() else { return };
        let bytes = digest.encode_to_vec();
        match link.socket.try_send_to(&bytes, address.into()) {
            Ok(sent) => self.metrics.peer_bytes(sent as u64),
            // A full link or a dead peer: the digest is a hint and goes without.
            Err(e) => log::debug!(target: "peers", peer:% = address, error:% = e; "not told"),
        }
    }

    pub(crate) fn tell_all(
        &self,
        digest: &LoadDigest,
        addresses: impl IntoIterator<Item = SocketAddrV4>,
    ) {
        addresses.into_iter().for_each(|address| self.tell(digest, address));
    }
}

fn count(instances: usize) -> u32 {
    u32::try_from(instances).unwrap_or(u32::MAX)
}
