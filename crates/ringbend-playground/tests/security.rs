//! Security tests: invalid requests, keys and certificates.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ringbend_playground::{ADMIN_KEY, CALLER_KEY, Fleet};
use ringbend_wire::{Envelope, Hello, Message, PROTOCOL_VERSION, envelope};
use rustls::client::danger::HandshakeSignatureValid;
use rustls_pki_types::pem::PemObject;
use serde_json::json;
use support::{block_on, call, small_config};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Sends raw bytes and returns what is received before the connection closes, for at most 2 seconds.
async fn send_raw(to: SocketAddr, bytes: &[u8]) -> String {
    let mut io = actix_rt::net::TcpStream::connect(to).await.unwrap();
    io.write_all(bytes).await.unwrap();
    let mut received = Vec::new();
    let read = io.read_to_end(&mut received);
    let _ = tokio::time::timeout(Duration::from_secs(2), read).await;
    String::from_utf8_lossy(&received).into_owned()
}

/// Returns the number of attempts that the engines accepted.
fn submitted_attempts(fleet: &Fleet) -> u64 {
    fleet.engines.iter().map(|e| e.stats().submitted).sum()
}

/// Returns a request with a valid prompt as its body and `head` as additional header lines.
/// `LENGTH` in `head` is replaced by the body's length.
fn new_request(head: &str) -> Vec<u8> {
    let body = json!({"model": "standin", "prompt": "x"}).to_string();
    let head = head.replace("LENGTH", &body.len().to_string());
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\n{head}\r\n\r\n{body}"
    )
    .into_bytes()
}

#[test]
fn ambiguously_framed_requests_are_rejected() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let to = fleet.instances[0].callers_address;
        let good = send_raw(to, &new_request("content-length: LENGTH\r\nconnection: close")).await;
        assert!(good.starts_with("HTTP/1.1 200"), "{good}");
        let before = submitted_attempts(&fleet);
        let heads = [
            "content-length: LENGTH\r\ntransfer-encoding: chunked",
            "transfer-encoding: chunked\r\ncontent-length: LENGTH",
            "content-length: LENGTH\r\ncontent-length: 5",
            "content-length: LENGTH\r\ntransfer-encoding: xchunked",
            "content-length: +LENGTH",
            "content-length: LENGTH\r\nx-folded: a\r\n b: c",
            "content-length : LENGTH",
            "content-length: LENGTH\r\nauthorization: Bearer other",
            "content-length: LENGTH\r\nx-ringbend-class: a\r\nx-ringbend-class: b",
        ];
        for head in heads {
            let answer = send_raw(to, &new_request(head)).await;
            let rejected = answer.is_empty() || answer.starts_with("HTTP/1.1 4");
            assert!(rejected, "{head:?} got {answer}");
        }
        assert_eq!(submitted_attempts(&fleet), before);
    });
}

#[test]
fn oversized_headers_and_bodies_are_rejected() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let to = fleet.instances[0].callers_address;
        let long = format!("content-length: LENGTH\r\nx-long: {}", "a".repeat(200_000));
        let answer = send_raw(to, &new_request(&long)).await;
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
        let answer = send_raw(to, &new_request("content-length: 99999999999")).await;
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
        let deep = format!("{}{}", "[".repeat(200_000), "]".repeat(200_000));
        let body = format!("{{\"model\": \"standin\", \"prompt\": {deep}}}");
        // A deeply nested value is accepted, because it is skipped without being parsed into a tree.
        let answer = call(to, "/v1/completions", &[], &body).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        let invalid = b"{\"model\": \"standin\", \"prompt\": \"\xff\xfe\"}";
        let length = format!("connection: close\r\ncontent-length: {}", invalid.len());
        let mut bytes = new_request(&length);
        bytes.truncate(bytes.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4);
        bytes.extend_from_slice(invalid);
        let answer = send_raw(to, &bytes).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    });
}

#[test]
fn callers_cannot_access_operator_routes() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let (callers, admin) =
            (fleet.instances[0].callers_address, fleet.instances[0].admin_address);
        for path in ["/v1/settings/changes", "/v1/drain", "/v1/status", "/services/../v1/drain"] {
            let answer = call(callers, path, &[], "{}").await;
            assert_eq!(answer.status, 404, "{path}: {}", answer.text);
        }
        // The operators' port rejects requests with a caller key or without a key.
        assert_eq!(call(admin, "/v1/drain", &[], "{}").await.status, 401);
        let answer = send_raw(admin, b"GET /v1/status HTTP/1.1\r\nhost: x\r\n\r\n").await;
        assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    });
}

#[test]
fn invalid_keys_are_rejected_despite_an_account_header() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let to = fleet.instances[0].callers_address;
        for auth in ["Bearer wrong", "Bearer ", "Basic cGVhY2g=", &format!("bearer{CALLER_KEY}")] {
            let bytes = format!(
                "GET /v1/models HTTP/1.1\r\nhost: x\r\nauthorization: {auth}\r\n\
                 x-ringbend-account: peach\r\nconnection: close\r\n\r\n"
            );
            let answer = send_raw(to, bytes.as_bytes()).await;
            assert!(answer.starts_with("HTTP/1.1 401"), "{auth}: {answer}");
        }
        // The operators' key is not a caller key.
        let bytes = format!(
            "GET /v1/models HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {ADMIN_KEY}\r\n\r\n"
        );
        assert!(send_raw(to, bytes.as_bytes()).await.starts_with("HTTP/1.1 401"));
    });
}

#[test]
fn internal_headers_from_callers_are_not_forwarded() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let to = fleet.instances[0].callers_address;
        // If the caller's attempt id were forwarded, the service would echo it, and the instance
        // would reject the response as belonging to another attempt.
        let headers = [("x-attempt-id", "0-1"), ("x-not-run", "1"), ("connection", "x-call-key")];
        let answer = call(to, "/services/dispatch/x", &headers, "body").await;
        assert_eq!(answer.status, 200, "{}", answer.text);
    });
}

#[test]
fn keys_are_redacted_in_debug_output() {
    let caller = ringbendd::CallerKey { account: "peach".parse().unwrap(), key: "secret-1".into() };
    let admin = ringbendd::AdminConfig { keys: vec!["secret-2".into()] };
    let shown = format!("{caller:?} {admin:?}");
    assert!(!shown.contains("secret"), "{shown}");
}

type Certificate = rustls_pki_types::CertificateDer<'static>;
type PrivateKey = rustls_pki_types::PrivateKeyDer<'static>;

/// Returns a self-signed certificate with the name of a peer.
fn self_signed_identity() -> (Certificate, PrivateKey) {
    let key = rcgen::KeyPair::generate().unwrap();
    let name = vec![ringbend_cli::PEER_NAME.to_owned()];
    let certificate = rcgen::CertificateParams::new(name).unwrap().self_signed(&key).unwrap();
    let key = PrivateKey::try_from(key.serialize_der()).unwrap();
    (certificate.der().clone(), key)
}

/// Returns a certificate signed by the fleet's authority.
fn trusted_identity(fleet: &Fleet) -> (Certificate, PrivateKey) {
    let directory = fleet.certificates_dir();
    let certificate = Certificate::from_pem_file(directory.join("peer.pem")).unwrap();
    (certificate, PrivateKey::from_pem_file(directory.join("peer.key")).unwrap())
}

/// Returns the configuration of a client that trusts any server and presents this certificate.
fn client_config((certificate, key): (Certificate, PrivateKey)) -> quinn::ClientConfig {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(TrustAnyServer(provider)))
        .with_client_auth_cert(vec![certificate], key)
        .unwrap();
    tls.alpn_protocols = vec![b"ringbend/1".to_vec()];
    let quic = quinn::crypto::rustls::QuicClientConfig::try_from(tls).unwrap();
    quinn::ClientConfig::new(Arc::new(quic))
}

#[derive(Debug)]
struct TrustAnyServer(Arc<rustls::crypto::CryptoProvider>);

impl rustls::client::danger::ServerCertVerifier for TrustAnyServer {
    fn verify_server_cert(
        &self,
        _: &rustls_pki_types::CertificateDer<'_>,
        _: &[rustls_pki_types::CertificateDer<'_>],
        _: &rustls_pki_types::ServerName<'_>,
        _: &[u8],
        _: rustls_pki_types::UnixTime,
    ) -> Result<rustls::client::danger::ServerCertVerified, rustls::Error> {
        Ok(rustls::client::danger::ServerCertVerified::assertion())
    }

    fn verify_tls12_signature(
        &self,
        _: &[u8],
        _: &rustls_pki_types::CertificateDer<'_>,
        _: &rustls::DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        Ok(HandshakeSignatureValid::assertion())
    }

    fn verify_tls13_signature(
        &self,
        _: &[u8],
        _: &rustls_pki_types::CertificateDer<'_>,
        _: &rustls::DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, rustls::Error> {
        Ok(HandshakeSignatureValid::assertion())
    }

    fn supported_verify_schemes(&self) -> Vec<rustls::SignatureScheme> {
        self.0.signature_verification_algorithms.supported_schemes()
    }
}

/// Returns whether an instance answers the `Hello` of a client that presents this certificate.
async fn accepts_peer(to: SocketAddr, identity: (Certificate, PrivateKey)) -> bool {
    let mut endpoint = quinn::Endpoint::client(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    endpoint.set_default_client_config(client_config(identity));
    let connecting = endpoint.connect(to, ringbend_cli::PEER_NAME).unwrap();
    // With TLS 1.3 the client's handshake may complete before the server has verified the client's
    // certificate, so a successful connect does not mean that the certificate was accepted.
    let Ok(connection) = connecting.await else { return false };
    let Ok((mut tx, mut rx)) = connection.open_bi().await else { return false };
    let hello = Hello { protocol: PROTOCOL_VERSION, ..Hello::default() };
    let hello = Envelope { body: Some(envelope::Body::Hello(hello)) };
    if tx.write_all(&hello.encode_to_vec()).await.is_err() || tx.finish().is_err() {
        return false;
    }
    let answer = rx.read_to_end(1_000).await;
    answer.is_ok_and(|answer| Envelope::decode(answer.as_slice()).is_ok_and(|e| e.body.is_some()))
}

#[test]
fn a_peer_with_an_untrusted_certificate_is_rejected() {
    block_on(async {
        let fleet = Fleet::start(small_config()).await.unwrap();
        let to = fleet.instances[0].peers_address;
        assert!(accepts_peer(to, trusted_identity(&fleet)).await, "a trusted peer was rejected");
        assert!(!accepts_peer(to, self_signed_identity()).await, "an untrusted peer was accepted");
    });
}
