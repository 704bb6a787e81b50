//! Peer transport over QUIC: gossip in datagrams, requests on streams, after an exchange of hellos.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use quinn::{Connection, Endpoint, IdleTimeout, TransportConfig, VarInt};
use ringbend_wire::{Envelope, Hello, Message, PROTOCOL_VERSION, WireError, envelope};
use tokio::sync::{mpsc, oneshot};

use super::tls::{Identity, PEER_NAME};
use super::{PeerError, PeerTransport};
use crate::app::App;

/// Messages that may be queued for a peer; more are dropped.
const QUEUE_CAPACITY: usize = 128;

/// Maximum size of a message on a stream, in bytes.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

/// Timeout of a request, including the time to connect.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

/// Idle time after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Delay before reconnecting to an unreachable peer; messages to it are dropped meanwhile.
const RECONNECT_DELAY: Duration = Duration::from_millis(500);

/// Close code for a peer with a different protocol version.
const WRONG_PROTOCOL: u32 = 1;

enum Outgoing {
    Message(Envelope),
    Request(Envelope, oneshot::Sender<Result<Envelope, PeerError>>),
}

/// State shared by all connections.
struct Shared {
    endpoint: Endpoint,
    hello: Hello,
    app: RefCell<Weak<App>>,
    /// Connections opened by peers, by the address at which the peer accepts connections. They are
    /// used in both directions, so that two instances need only one connection.
    incoming_connections: RefCell<BTreeMap<SocketAddr, Connection>>,
}

/// The QUIC endpoint and an outgoing queue for each peer.
pub(crate) struct QuicTransport {
    shared: Rc<Shared>,
    queues: RefCell<BTreeMap<SocketAddr, mpsc::Sender<Outgoing>>>,
}

impl QuicTransport {
    /// Binds the endpoint.
    pub(crate) fn bind(
        address: SocketAddr,
        identity: Identity,
        hello: Hello,
    ) -> std::io::Result<Self> {
        let mut transport = TransportConfig::default();
        let idle = IdleTimeout::try_from(IDLE_TIMEOUT).ok();
        transport.max_idle_timeout(idle);
        let transport = Arc::new(transport);
        let Identity { mut server, mut client } = identity;
        server.transport_config(transport.clone());
        client.transport_config(transport);
        let mut endpoint = Endpoint::server(server, address)?;
        endpoint.set_default_client_config(client);
        let peers_address = endpoint.local_addr()?.to_string();
        let shared = Rc::new(Shared {
            endpoint,
            hello: Hello { peers_address, ..hello },
            app: RefCell::default(),
            incoming_connections: RefCell::default(),
        });
        Ok(Self { shared, queues: RefCell::default() })
    }

    pub(crate) fn address(&self) -> std::io::Result<SocketAddr> {
        self.shared.endpoint.local_addr()
    }

    /// Accepts connections from peers for as long as the instance lives.
    pub(crate) fn accept(&self, app: Weak<App>) {
        *self.shared.app.borrow_mut() = app;
        let shared = self.shared.clone();
        tokio::task::spawn_local(async move {
            while let Some(incoming) = shared.endpoint.accept().await {
                let shared = shared.clone();
                tokio::task::spawn_local(async move {
                    match incoming.await {
                        Ok(connection) => shared.handle_incoming(connection).await,
                        Err(e) => log::warn!("refused a connection from a peer: {e}"),
                    }
                });
            }
        });
    }

    fn queue(&self, to: SocketAddr) -> mpsc::Sender<Outgoing> {
        let mut queues = self.queues.borrow_mut();
        queues.retain(|_, tx| !tx.is_closed());
        if let Some(tx) = queues.get(&to) {
            return tx.clone();
        }
        let (tx, rx) = mpsc::channel(QUEUE_CAPACITY);
        queues.insert(to, tx.clone());
        tokio::task::spawn_local(run_queue(self.shared.clone(), to, rx));
        tx
    }
}

impl Shared {
    /// Serves a connection that a peer opened. Its first stream must carry a hello with the same
    /// protocol.
    async fn handle_incoming(&self, connection: Connection) {
        let Some(theirs) = exchange_hello(&connection, self.hello.clone()).await else {
            connection.close(VarInt::from_u32(WRONG_PROTOCOL), b"protocol");
            return;
        };
        let address = theirs.peers_address.parse().ok();
        if let Some(address) = address {
            self.incoming_connections.borrow_mut().insert(address, connection.clone());
        }
        let app = self.app.borrow().clone();
        serve(app, connection.clone()).await;
        let mut existing = self.incoming_connections.borrow_mut();
        existing.retain(|_, open| open.stable_id() != connection.stable_id());
    }

    /// Returns an open connection to a peer: one that the peer opened, or a new one.
    async fn connection(&self, to: SocketAddr) -> Result<Connection, PeerError> {
        let existing = self.incoming_connections.borrow().get(&to).cloned();
        if let Some(existing) = existing.filter(|c| c.close_reason().is_none()) {
            return Ok(existing);
        }
        let connection = connect(&self.endpoint, to, &self.hello).await?;
        tokio::task::spawn_local(serve(self.app.borrow().clone(), connection.clone()));
        Ok(connection)
    }
}

impl Drop for QuicTransport {
    fn drop(&mut self) {
        self.shared.endpoint.close(VarInt::from_u32(0), b"leaving");
    }
}

impl PeerTransport for QuicTransport {
    fn send(&self, to: SocketAddr, envelope: Envelope) {
        let _ = self.queue(to).try_send(Outgoing::Message(envelope));
    }

    fn request(
        &self,
        to: SocketAddr,
        envelope: Envelope,
    ) -> LocalBoxFuture<'static, Result<Envelope, PeerError>> {
        let (tx, rx) = oneshot::channel();
        let queued = self.queue(to).try_send(Outgoing::Request(envelope, tx)).is_ok();
        async move {
            if !queued {
                return Err(PeerError::Unreachable);
            }
            match tokio::time::timeout(REQUEST_TIMEOUT, rx).await {
                Ok(Ok(response)) => response,
                _ => Err(PeerError::Unreachable),
            }
        }
        .boxed_local()
    }
}

/// Sends the messages queued for a peer; ends when the queue has been idle for a while.
async fn run_queue(shared: Rc<Shared>, to: SocketAddr, mut rx: mpsc::Receiver<Outgoing>) {
    let mut connection: Option<Connection> = None;
    while let Ok(Some(outgoing)) = tokio::time::timeout(IDLE_TIMEOUT * 2, rx.recv()).await {
        let open = connection.take().filter(|c| c.close_reason().is_none());
        let open = match open {
            Some(open) => open,
            None => match shared.connection(to).await {
                Ok(open) => open,
                Err(e) => {
                    log::debug!(peer:% = to; "cannot connect to the peer: {e:?}");
                    actix_rt::time::sleep(RECONNECT_DELAY).await;
                    while rx.try_recv().is_ok() {}
                    continue;
                }
            },
        };
        match outgoing {
            Outgoing::Message(envelope) => send(&open, &envelope),
            Outgoing::Request(envelope, tx) => {
                let open = open.clone();
                tokio::task::spawn_local(async move {
                    // Without an end, a request without an answer would hold its stream.
                    let exchange = tokio::time::timeout(REQUEST_TIMEOUT, request(&open, &envelope));
                    let _ = tx.send(exchange.await.unwrap_or(Err(PeerError::Unreachable)));
                });
            }
        }
        connection = Some(open);
    }
}

async fn connect(
    endpoint: &Endpoint,
    to: SocketAddr,
    hello: &Hello,
) -> Result<Connection, PeerError> {
    let connecting = endpoint.connect(to, PEER_NAME).map_err(|_| PeerError::Unreachable)?;
    let connection = tokio::time::timeout(REQUEST_TIMEOUT, connecting).await;
    let connection = match connection {
        Ok(Ok(connection)) => connection,
        _ => return Err(PeerError::Unreachable),
    };
    let hello_request = Envelope { body: Some(envelope::Body::Hello(hello.clone())) };
    let response =
        tokio::time::timeout(REQUEST_TIMEOUT, request(&connection, &hello_request)).await;
    match response {
        Ok(Ok(Envelope { body: Some(envelope::Body::Hello(theirs)) }))
            if theirs.protocol == PROTOCOL_VERSION =>
        {
            Ok(connection)
        }
        _ => Err(PeerError::Unreachable),
    }
}

/// Sends a message in a datagram, or on a stream if it does not fit. The queue does not wait for the
/// stream: the peer may grant none.
fn send(connection: &Connection, envelope: &Envelope) {
    let bytes = Bytes::from(envelope.encode_to_vec());
    let fits = connection.max_datagram_size().is_some_and(|most| bytes.len() <= most);
    if fits {
        let _ = connection.send_datagram(bytes);
        return;
    }
    let connection = connection.clone();
    tokio::task::spawn_local(tokio::time::timeout(REQUEST_TIMEOUT, async move {
        if let Ok(mut stream) = connection.open_uni().await {
            let _ = stream.write_all(&bytes).await;
            let _ = stream.finish();
        }
    }));
}

async fn request(
    connection: &Connection,
    request_envelope: &Envelope,
) -> Result<Envelope, PeerError> {
    let unreachable = |_| PeerError::Unreachable;
    let (mut tx, mut rx) = connection.open_bi().await.map_err(unreachable)?;
    let bytes = request_envelope.encode_to_vec();
    tx.write_all(&bytes).await.map_err(|_| PeerError::Unreachable)?;
    tx.finish().map_err(|_| PeerError::Unreachable)?;
    let response = rx.read_to_end(MAX_MESSAGE_BYTES).await;
    let response = response.map_err(|_| PeerError::Unreachable)?;
    Envelope::decode(response.as_slice()).map_err(|e| PeerError::Malformed(WireError::Decode(e)))
}

/// Reads a peer's message to its end; `None` if it is incomplete or does not end in time. A peer that
/// is paused in the middle of a message would otherwise hold its stream as long as the connection.
async fn read_message(rx: &mut quinn::RecvStream) -> Option<Envelope> {
    let bytes = tokio::time::timeout(REQUEST_TIMEOUT, rx.read_to_end(MAX_MESSAGE_BYTES)).await;
    Envelope::decode(bytes.ok()?.ok()?.as_slice()).ok()
}

/// Receives a peer's messages and requests on a connection until it closes. No message delays the
/// ones after it.
async fn serve(app: Weak<App>, connection: Connection) {
    loop {
        tokio::select! {
            datagram = connection.read_datagram() => match datagram {
                Ok(bytes) => receive_message(&app, Envelope::decode(bytes).ok()),
                Err(_) => return,
            },
            stream = connection.accept_uni() => match stream {
                Ok(mut rx) => {
                    let app = app.clone();
                    tokio::task::spawn_local(async move {
                        receive_message(&app, read_message(&mut rx).await);
                    });
                }
                Err(_) => return,
            },
            streams = connection.accept_bi() => match streams {
                Ok((tx, rx)) => {
                    tokio::task::spawn_local(answer_request(app.clone(), tx, rx));
                }
                Err(_) => return,
            },
        }
        if app.strong_count() == 0 {
            return;
        }
    }
}

fn receive_message(app: &Weak<App>, message: Option<Envelope>) {
    let Some(app) = app.upgrade() else { return };
    if let Some(Envelope { body: Some(envelope::Body::Gossip(gossip)) }) = message {
        app.peers.handle_gossip(&app, gossip);
    }
}

/// Answers the peer's hello; `None` if the peer uses a different protocol or sends no hello in time.
async fn exchange_hello(connection: &Connection, hello: Hello) -> Option<Hello> {
    let streams = tokio::time::timeout(REQUEST_TIMEOUT, connection.accept_bi()).await;
    let (mut tx, mut rx) = streams.ok()?.ok()?;
    let Some(Envelope { body: Some(envelope::Body::Hello(theirs)) }) = read_message(&mut rx).await
    else {
        return None;
    };
    let ours = Envelope { body: Some(envelope::Body::Hello(hello)) };
    tx.write_all(&ours.encode_to_vec()).await.ok()?;
    tx.finish().ok()?;
    (theirs.protocol == PROTOCOL_VERSION).then_some(theirs)
}

async fn answer_request(app: Weak<App>, mut tx: quinn::SendStream, mut rx: quinn::RecvStream) {
    let Some(request_envelope) = read_message(&mut rx).await else { return };
    let Some(app) = app.upgrade() else { return };
    if let Some(response) = app.peers.handle_request(&app, request_envelope) {
        let _ = tx.write_all(&response.encode_to_vec()).await;
        let _ = tx.finish();
    }
}
