//! Mutual TLS between instances: both sides present a certificate signed by the same authority.

use std::path::Path;
use std::sync::Arc;

use error_stack::{Report, ResultExt};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rustls::RootCertStore;
use rustls::crypto::ring::default_provider;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};

use crate::config::TlsConfig;
use crate::error::DaemonError;

/// The DNS name in the certificate of every instance.
pub(crate) const PEER_NAME: &str = "ringbend-peer";

/// The ALPN protocol; connections with a different one are refused.
const ALPN: &[u8] = b"ringbend/1";

/// The QUIC configurations of both sides of a connection.
pub(crate) struct Identity {
    pub(crate) server: quinn::ServerConfig,
    pub(crate) client: quinn::ClientConfig,
}

/// Reads the key and certificates and builds both QUIC configurations.
///
/// # Errors
///
/// A file cannot be read, or its content is invalid.
pub(crate) fn load_identity(cfg: &TlsConfig) -> Result<Identity, Report<DaemonError>> {
    let certificates = read_certificates(&cfg.certificate)?;
    let key = PrivateKeyDer::from_pem_file(&cfg.key)
        .change_context(DaemonError::Tls)
        .attach_with(|| format!("reading {}", cfg.key.display()))?;
    let mut authority = RootCertStore::empty();
    for certificate in read_certificates(&cfg.authority)? {
        authority.add(certificate).change_context(DaemonError::Tls)?;
    }
    let authority = Arc::new(authority);
    Ok(Identity {
        server: server(&certificates, &key, &authority)?,
        client: client(certificates, key, authority)?,
    })
}

fn read_certificates(path: &Path) -> Result<Vec<CertificateDer<'static>>, Report<DaemonError>> {
    let attach = || format!("reading {}", path.display());
    CertificateDer::pem_file_iter(path)
        .change_context(DaemonError::Tls)
        .attach_with(attach)?
        .collect::<Result<_, _>>()
        .change_context(DaemonError::Tls)
        .attach_with(attach)
}

fn server(
    certificates: &[CertificateDer<'static>],
    key: &PrivateKeyDer<'static>,
    authority: &Arc<RootCertStore>,
) -> Result<quinn::ServerConfig, Report<DaemonError>> {
    let provider = Arc::new(default_provider());
    let verifier = WebPkiClientVerifier::builder_with_provider(authority.clone(), provider.clone())
        .build()
        .change_context(DaemonError::Tls)?;
    let mut tls = rustls::ServerConfig::builder_with_provider(provider)
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context(DaemonError::Tls)?
        .with_client_cert_verifier(verifier)
        .with_single_cert(certificates.to_vec(), key.clone_key())
        .change_context(DaemonError::Tls)?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let quic = QuicServerConfig::try_from(tls).change_context(DaemonError::Tls)?;
    Ok(quinn::ServerConfig::with_crypto(Arc::new(quic)))
}

fn client(
    certificates: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    authority: Arc<RootCertStore>,
) -> Result<quinn::ClientConfig, Report<DaemonError>> {
    let mut tls = rustls::ClientConfig::builder_with_provider(Arc::new(default_provider()))
        .with_protocol_versions(&[&rustls::version::TLS13])
        .change_context(DaemonError::Tls)?
        .with_root_certificates(authority)
        .with_client_auth_cert(certificates, key)
        .change_context(DaemonError::Tls)?;
    tls.alpn_protocols = vec![ALPN.to_vec()];
    let quic = QuicClientConfig::try_from(tls).change_context(DaemonError::Tls)?;
    Ok(quinn::ClientConfig::new(Arc::new(quic)))
}
