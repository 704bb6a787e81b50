//! What callers and strangers cannot do.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ringbend_playground::{ADMIN_KEY, CALLER_KEY, Fleet};
use ringbend_wire::{Envelope, Hello, Message, PROTOCOL_VERSION, envelope};
use rustls::client::danger::HandshakeSignatureValid;
use rustls_pki_types::pem::PemObject;
use serde_json::json;
use support::{call, run, small};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// Sends bytes as they are and returns what comes back before the connection closes.
async fn raw(to: SocketAddr, bytes: &[u8]) -> String {
    let mut io = actix_rt::net::TcpStream::connect(to).await.unwrap();
    io.write_all(bytes).await.unwrap();
    let mut received = Vec::new();
    let read = io.read_to_end(&mut received);
    let _ = tokio::time::timeout(Duration::from_secs(2), read).await;
    String::from_utf8_lossy(&received).into_owned()
}

fn submitted(fleet: &Fleet) -> u64 {
    fleet.engines.iter().map(|e| e.stats().submitted).sum()
}

/// A request whose head is `head` and whose body is a good prompt.
fn request(head: &str) -> Vec<u8> {
    let body = json!({"model": "standin", "prompt": "x"}).to_string();
    let head = head.replace("LENGTH", &body.len().to_string());
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {CALLER_KEY}\r\n{head}\r\n\r\n{body}"
    )
    .into_bytes()
}

#[test]
fn requests_that_two_readers_could_read_differently_are_refused() {
    run(async {
        let fleet = Fleet::start(small()).await.unwrap();
        let to = fleet.instances[0].callers;
        let good = raw(to, &request("content-length: LENGTH\r\nconnection: close")).await;
        assert!(good.starts_with("HTTP/1.1 200"), "{good}");
        let before = submitted(&fleet);
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
            let answer = raw(to, &request(head)).await;
            let refused = answer.is_empty() || answer.starts_with("HTTP/1.1 4");
            assert!(refused, "{head:?} got {answer}");
        }
        assert_eq!(submitted(&fleet), before);
    });
}

#[test]
fn oversized_heads_and_bodies_are_refused() {
    run(async {
        let fleet = Fleet::start(small()).await.unwrap();
        let to = fleet.instances[0].callers;
        let long = format!("content-length: LENGTH\r\nx-long: {}", "a".repeat(200_000));
        let answer = raw(to, &request(&long)).await;
        assert!(answer.is_empty() || answer.starts_with("HTTP/1.1 4"), "{answer}");
        let answer = raw(to, &request("content-length: 99999999999")).await;
        assert!(answer.starts_with("HTTP/1.1 413"), "{answer}");
        let deep = format!("{}{}", "[".repeat(200_000), "]".repeat(200_000));
        let body = format!("{{\"model\": \"standin\", \"prompt\": {deep}}}");
        // A deep value is no trouble: it is passed over, never built.
        let answer = call(to, "/v1/completions", &[], &body).await;
        assert_eq!(answer.status, 200, "{answer:?}");
        let invalid = b"{\"model\": \"standin\", \"prompt\": \"\xff\xfe\"}";
        let length = format!("connection: close\r\ncontent-length: {}", invalid.len());
        let mut bytes = request(&length);
        bytes.truncate(bytes.windows(4).position(|w| w == b"\r\n\r\n").unwrap() + 4);
        bytes.extend_from_slice(invalid);
        let answer = raw(to, &bytes).await;
        assert!(answer.starts_with("HTTP/1.1 400"), "{answer}");
    });
}

#[test]
fn callers_reach_no_operators_route() {
    run(async {
        let fleet = Fleet::start(small()).await.unwrap();
        let (callers, admin) = (fleet.instances[0].callers, fleet.instances[0].admin);
        for path in ["/v1/settings/changes", "/v1/drain", "/v1/status", "/services/../v1/drain"] {
            let answer = call(callers, path, &[], "{}").await;
            assert_eq!(answer.status, 404, "{path}: {}", answer.text);
        }
        // A caller's key opens nothing on the operators' port, nor does none.
        assert_eq!(call(admin, "/v1/drain", &[], "{}").await.status, 401);
        let answer = raw(admin, b"GET /v1/status HTTP/1.1\r\nhost: x\r\n\r\n").await;
        assert!(answer.starts_with("HTTP/1.1 401"), "{answer}");
    });
}

#[test]
fn a_key_stands_for_one_account_whatever_headers_say() {
    run(async {
        let fleet = Fleet::start(small()).await.unwrap();
        let to = fleet.instances[0].callers;
        for auth in ["Bearer wrong", "Bearer ", "Basic cGVhY2g=", &format!("bearer{CALLER_KEY}")] {
            let bytes = format!(
                "GET /v1/models HTTP/1.1\r\nhost: x\r\nauthorization: {auth}\r\n\
                 x-ringbend-account: peach\r\nconnection: close\r\n\r\n"
            );
            let answer = raw(to, bytes.as_bytes()).await;
            assert!(answer.starts_with("HTTP/1.1 401"), "{auth}: {answer}");
        }
        // The operators' key is no caller's key.
        let bytes = format!(
            "GET /v1/models HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {ADMIN_KEY}\r\n\r\n"
        );
        assert!(raw(to, bytes.as_bytes()).await.starts_with("HTTP/1.1 401"));
    });
}

#[test]
fn ringbends_own_headers_are_not_passed_on_to_services() {
    run(async {
        let fleet = Fleet::start(small()).await.unwrap();
        let to = fleet.instances[0].callers;
        // Were the attempt id passed on from the caller, the echo would not be this instance's.
        let headers = [("x-attempt-id", "0-1"), ("x-not-run", "1"), ("connection", "x-call-key")];
        let answer = call(to, "/services/dispatch/x", &headers, "body").await;
        assert_eq!(answer.status, 200, "{}", answer.text);
    });
}

#[test]
fn keys_are_never_shown() {
    let caller = ringbendd::CallerKey { account: "peach".parse().unwrap(), key: "secret-1".into() };
    let admin = ringbendd::AdminConfig { keys: vec!["secret-2".into()] };
    let shown = format!("{caller:?} {admin:?}");
    assert!(!shown.contains("secret"), "{shown}");
}

type Certificate = rustls_pki_types::CertificateDer<'static>;
type PrivateKey = rustls_pki_types::PrivateKeyDer<'static>;

/// A certificate that carries the right name and is signed by nobody else.
fn stranger() -> (Certificate, PrivateKey) {
    let key = rcgen::KeyPair::generate().unwrap();
    let name = vec![ringbend_cli::PEER_NAME.to_owned()];
    let certificate = rcgen::CertificateParams::new(name).unwrap().self_signed(&key).unwrap();
    let key = PrivateKey::try_from(key.serialize_der()).unwrap();
    (certificate.der().clone(), key)
}

/// A certificate that the fleet's authority signed.
fn member(fleet: &Fleet) -> (Certificate, PrivateKey) {
    let folder = fleet.certificates();
    let certificate = Certificate::from_pem_file(folder.join("peer.pem")).unwrap();
    (certificate, PrivateKey::from_pem_file(folder.join("peer.key")).unwrap())
}

/// A client that trusts any server and shows this certificate.
fn client((certificate, key): (Certificate, PrivateKey)) -> quinn::ClientConfig {
    let provider = Arc::new(rustls::crypto::ring::default_provider());
    let mut tls = rustls::ClientConfig::builder_with_provider(provider.clone())
        .with_protocol_versions(&[&rustls::version::TLS13])
        .unwrap()
        .dangerous()
        .with_custom_certificate_verifier(Arc::new(TrustAll(provider)))
        .with_client_auth_cert(vec![certificate], key)
        .unwrap();
    tls.alpn_protocols = vec![b"ringbend/1".to_vec()];
    let quic = quinn::crypto::rustls::QuicClientConfig::try_from(tls).unwrap();
    quinn::ClientConfig::new(Arc::new(quic))
}

#[derive(Debug)]
struct TrustAll(Arc<rustls::crypto::CryptoProvider>);

impl rustls::client::danger::ServerCertVerifier for TrustAll {
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

/// Whether an instance answers the hello of a client that shows this certificate.
async fn is_greeted(to: SocketAddr, identity: (Certificate, PrivateKey)) -> bool {
    let mut endpoint = quinn::Endpoint::client(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
    endpoint.set_default_client_config(client(identity));
    let connecting = endpoint.connect(to, ringbend_cli::PEER_NAME).unwrap();
    // With TLS 1.3 the client may think it is connected until the server has judged it.
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
fn a_peer_without_the_right_certificate_is_refused() {
    run(async {
        let fleet = Fleet::start(small()).await.unwrap();
        let to = fleet.instances[0].peers;
        assert!(is_greeted(to, member(&fleet)).await, "a member is refused");
        assert!(!is_greeted(to, stranger()).await, "a stranger is greeted");
    });
}
