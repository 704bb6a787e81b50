//! Keys and certificates for TLS between instances in tests and trials.

use std::fmt;
use std::path::Path;

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

/// The subject alternative name that the certificate of every instance must have.
pub const PEER_NAME: &str = "ringbend-peer";

/// The keys and certificates could not be written.
#[derive(Debug)]
pub enum CertificatesError {
    /// A key or certificate could not be generated.
    Generate(rcgen::Error),
    /// A file could not be written.
    Write(std::io::Error),
}

impl fmt::Display for CertificatesError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Generate(e) => write!(f, "cannot generate keys and certificates: {e}"),
            Self::Write(e) => write!(f, "cannot write keys and certificates: {e}"),
        }
    }
}

impl std::error::Error for CertificatesError {}

impl From<rcgen::Error> for CertificatesError {
    fn from(e: rcgen::Error) -> Self {
        Self::Generate(e)
    }
}

impl From<std::io::Error> for CertificatesError {
    fn from(e: std::io::Error) -> Self {
        Self::Write(e)
    }
}

/// Writes `authority.pem`, `peer.pem` and `peer.key` into `directory`. The authority's private key is
/// discarded, so that it can sign no further certificates.
///
/// # Errors
///
/// Fails if a key or certificate cannot be generated or a file cannot be written.
pub fn write_test_certificates(directory: &Path) -> Result<(), CertificatesError> {
    std::fs::create_dir_all(directory)?;
    let mut authority = CertificateParams::new(Vec::new())?;
    authority.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority_key = KeyPair::generate()?;
    let authority_cert = authority.self_signed(&authority_key)?;
    let issuer = Issuer::new(authority, authority_key);
    let peer_key = KeyPair::generate()?;
    let peer = CertificateParams::new(vec![PEER_NAME.to_owned()])?;
    let peer_cert = peer.signed_by(&peer_key, &issuer)?;
    std::fs::write(directory.join("authority.pem"), authority_cert.pem())?;
    std::fs::write(directory.join("peer.pem"), peer_cert.pem())?;
    std::fs::write(directory.join("peer.key"), peer_key.serialize_pem())?;
    Ok(())
}
