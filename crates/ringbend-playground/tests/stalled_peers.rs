//! Instances beside a peer whose messages never end.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ringbend_playground::Fleet;
use ringbend_wire::{
    EntriesRequest, Envelope, Gossip, GossipKind, Hello, Message, PROTOCOL_VERSION, envelope,
};
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use support::{block_on, small_config};

/// How long a request between instances may take; the instances give up after two seconds.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Returns the configuration of a peer with a certificate of the fleet's authority.
fn client_config(fleet: &Fleet) -> quinn::ClientConfig {
    let directory = fleet.certificates_dir();
    let pem = |name: &str| CertificateDer::from_pem_file(directory.join(name)).unwrap();
    let key = PrivateKeyDer::from_pem_file(directory.join("peer.key")).unwrap();
    let mut authority = rustls::RootCertStore::empty();
    authority.add(pem("authority.pem")).unwrap();
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .with_root_certificates(authority)
        .with_client_auth_cert(vec![pem("peer.pem")], key)
        .unwrap();
    tls.alpn_protocols = vec![b"ringbend/1".to_vec()];
    let quic = quinn::crypto::rustls::QuicClientConfig::try_from(tls).unwrap();
    quinn::ClientConfig::new(Arc::new(quic))
}

async fn connect(fleet: &Fleet) -> quinn::Connection {
    connect_with(fleet, quinn::TransportConfig::default()).await
}

async fn connect_with(fleet: &Fleet, transport: quinn::TransportConfig) -> quinn::Connection {
    let mut endpoint = quinn::Endpoint::client(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    let mut cfg = client_config(fleet);
    cfg.transport_config(Arc::new(transport));
    endpoint.set_default_client_config(cfg);
    let to = fleet.instances[0].peers_address;
    endpoint.connect(to, ringbend_cli::PEER_NAME).unwrap().await.unwrap()
}

/// Sends a request and returns the answer; `None` if there is none in time.
async fn request(connection: &quinn::Connection, body: envelope::Body) -> Option<Envelope> {
    let exchange = async {
        let (mut tx, mut rx) = connection.open_bi().await.ok()?;
        tx.write_all(&Envelope { body: Some(body) }.encode_to_vec()).await.ok()?;
        tx.finish().ok()?;
        Envelope::decode(rx.read_to_end(1 << 20).await.ok()?.as_slice()).ok()
    };
    tokio::time::timeout(ANSWER_TIMEOUT, exchange).await.ok().flatten()
}

fn hello() -> envelope::Body {
    envelope::Body::Hello(Hello { protocol: PROTOCOL_VERSION, ..Hello::default() })
}

/// Guards against an instance that waits for the end of one message and reads nothing else of the
/// connection, which the peer's other packets keep open.
#[test]
fn a_message_that_never_ends_does_not_delay_others_of_the_connection() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let connection = connect(&fleet).await;
        assert!(request(&connection, hello()).await.is_some(), "the peer was rejected");
        let mut stalled = connection.open_uni().await.unwrap();
        stalled.write_all(b"x").await.unwrap();
        tokio::time::sleep(Duration::from_millis(200)).await;
        let entries = envelope::Body::EntriesRequest(EntriesRequest { after: 0 });
        let answer = request(&connection, entries).await;
        assert!(answer.is_some_and(|answer| answer.body.is_some()), "no answer");
    });
}

/// Guards against requests that are waited for without a time limit: each holds a stream, and a
/// connection has a limited number of them. The peer is told that its stream is not read any more.
#[test]
fn requests_that_never_end_are_given_up() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let connection = connect(&fleet).await;
        assert!(request(&connection, hello()).await.is_some(), "the peer was rejected");
        let mut stalled = Vec::new();
        while let Ok(Ok((mut tx, rx))) =
            tokio::time::timeout(Duration::from_millis(100), connection.open_bi()).await
        {
            tx.write_all(b"x").await.unwrap();
            stalled.push((tx, rx));
        }
        assert!(stalled.len() > 10, "{} streams", stalled.len());
        for (tx, _) in &stalled {
            let stopped = tokio::time::timeout(ANSWER_TIMEOUT, tx.stopped()).await;
            assert!(stopped.is_ok(), "a stream is still read after {ANSWER_TIMEOUT:?}");
        }
        drop(stalled);
        let entries = envelope::Body::EntriesRequest(EntriesRequest { after: 0 });
        let answer = request(&connection, entries).await;
        assert!(answer.is_some_and(|answer| answer.body.is_some()), "no answer");
    });
}

/// Guards against a peer that opens connections without ever saying hello, each of which was kept
/// as long as it sent packets.
#[test]
fn a_peer_whose_hello_never_ends_is_disconnected() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let connection = connect(&fleet).await;
        let (mut tx, _rx) = connection.open_bi().await.unwrap();
        let sends = async {
            while tx.write_all(b"x").await.is_ok() {
                tokio::time::sleep(Duration::from_millis(100)).await;
            }
        };
        let closed = tokio::time::timeout(ANSWER_TIMEOUT, sends).await;
        assert!(closed.is_ok(), "still connected after {ANSWER_TIMEOUT:?}");
    });
}

/// The address at which the stub peer claims to take connections; no one listens there.
const PEER_ADDRESS: &str = "127.0.0.1:9";

/// Connects as a member that has newer settings than the instance, and tells it so until the test ends.
async fn join_with_newer_settings(
    fleet: &Fleet,
    transport: quinn::TransportConfig,
) -> quinn::Connection {
    let connection = connect_with(fleet, transport).await;
    let hello = Hello {
        protocol: PROTOCOL_VERSION,
        peers_address: PEER_ADDRESS.into(),
        ..Hello::default()
    };
    let accepted = request(&connection, envelope::Body::Hello(hello)).await;
    assert!(accepted.is_some(), "the peer was rejected");
    let gossiping = connection.clone();
    tokio::task::spawn_local(async move {
        for sequence in 1.. {
            let gossip = Gossip {
                from: "stub".into(),
                from_address: PEER_ADDRESS.into(),
                incarnation: 1,
                sequence,
                kind: GossipKind::Ping.into(),
                settings_version: 1_000,
                ..Gossip::default()
            };
            let message = Envelope { body: Some(envelope::Body::Gossip(gossip)) };
            let Ok(mut tx) = gossiping.open_uni().await else { return };
            let _ = tx.write_all(&message.encode_to_vec()).await;
            let _ = tx.finish();
            tokio::time::sleep(Duration::from_millis(200)).await;
        }
    });
    connection
}

/// Returns the next request of the instance that is not a hello, with its stream.
async fn next_request(connection: &quinn::Connection) -> Option<(quinn::SendStream, Envelope)> {
    let accept = async {
        let (tx, mut rx) = connection.accept_bi().await.ok()?;
        let request = rx.read_to_end(1 << 20).await.ok()?;
        Some((tx, Envelope::decode(request.as_slice()).ok()?))
    };
    tokio::time::timeout(ANSWER_TIMEOUT, accept).await.ok().flatten()
}

/// Guards against requests without an answer that hold a stream for as long as the connection is
/// open: after a hundred of them no further request could be sent.
#[test]
fn a_request_that_is_not_answered_releases_its_stream() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let connection = join_with_newer_settings(&fleet, quinn::TransportConfig::default()).await;
        let (tx, request) = next_request(&connection).await.expect("no request");
        assert!(matches!(request.body, Some(envelope::Body::EntriesRequest(_))), "{request:?}");
        let stopped = tokio::time::timeout(ANSWER_TIMEOUT, tx.stopped()).await;
        assert!(stopped.is_ok(), "the answer is still waited for after {ANSWER_TIMEOUT:?}");
    });
}

/// Guards against a queue that waits for a stream for one message and sends nothing else to the
/// peer meanwhile.
#[test]
fn a_message_without_a_stream_does_not_delay_requests() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let mut transport = quinn::TransportConfig::default();
        // Every message takes a stream, and the peer grants none.
        transport.datagram_receive_buffer_size(None).max_concurrent_uni_streams(0u32.into());
        let connection = join_with_newer_settings(&fleet, transport).await;
        assert!(next_request(&connection).await.is_some(), "no request");
        // The next request is made after the time limit of this one.
        assert!(next_request(&connection).await.is_some(), "no second request");
    });
}
