//! Pieces of the operators' tool that other programs of the project use too.

mod certs;

pub use certs::{CertsError, PEER_NAME, write_test_certificates};
