//! The parts of the operators' command-line tool that other crates of the workspace use.

mod certs;

pub use certs::{CertificatesError, PEER_NAME, write_test_certificates};
