//! A test set of keys and certificates between instances.

use std::fmt;
use std::path::Path;

use rcgen::{BasicConstraints, CertificateParams, IsCa, Issuer, KeyPair};

/// The name that every instance's certificate must carry.
pub const PEER_NAME: &str = "ringbend-peer";

/// Why the set could not be written.
#[derive(Debug)]
pub enum CertsError {
    /// A key or certificate could not be made.
    Make(rcgen::Error),
    /// A file could not be written.
    Write(std::io::Error),
}

impl fmt::Display for CertsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Make(e) => write!(f, "making keys and certificates: {e}"),
            Self::Write(e) => write!(f, "writing keys and certificates: {e}"),
        }
    }
}

impl std::error::Error for CertsError {}

impl From<rcgen::Error> for CertsError {
    fn from(e: rcgen::Error) -> Self {
        Self::Make(e)
    }
}

impl From<std::io::Error> for CertsError {
    fn from(e: std::io::Error) -> Self {
        Self::Write(e)
    }
}

/// Writes `authority.pem`, `peer.pem` and `peer.key` into `folder`. The authority's own key is
/// thrown away, so no further certificate can be signed by it.
///
/// # Errors
///
/// A key cannot be made or a file not written.
pub fn write_test_certificates(folder: &Path) -> Result<(), CertsError> {
    std::fs::create_dir_all(folder)?;
    let mut authority = CertificateParams::new(Vec::new())?;
    authority.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    let authority_key = KeyPair::generate()?;
    let authority_cert = authority.self_signed(&authority_key)?;
    let issuer = Issuer::new(authority, authority_key);
    let peer_key = KeyPair::generate()?;
    let peer = CertificateParams::new(vec![PEER_NAME.to_owned()])?;
    let peer_cert = peer.signed_by(&peer_key, &issuer)?;
    std::fs::write(folder.join("authority.pem"), authority_cert.pem())?;
    std::fs::write(folder.join("peer.pem"), peer_cert.pem())?;
    std::fs::write(folder.join("peer.key"), peer_key.serialize_pem())?;
    Ok(())
}
