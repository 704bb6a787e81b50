//! Instances beside a peer whose messages never end.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ringbend_playground::Fleet;
use ringbend_wire::{EntriesRequest, Envelope, Hello, Message, PROTOCOL_VERSION, envelope};
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
    let mut endpoint = quinn::Endpoint::client(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    endpoint.set_default_client_config(client_config(fleet));
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
