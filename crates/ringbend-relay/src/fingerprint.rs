//! Computes the fingerprint of a request.

use actix_http::RequestHead;
use ringbend_gateway::Account;
use ringbend_types::{Fingerprint, PromptPartId, ServiceName};
use sha2::{Digest, Sha256};

/// How much of a body is hashed before other tasks run, in bytes.
const CHUNK_BYTES: usize = 64 << 10;

/// Hashes what identifies a request: account, host, method, path and query, and body. The request
/// id and the deadline differ between attempts, and other headers only say how the request is
/// served.
pub(crate) struct FingerprintBuilder(Sha256);

impl FingerprintBuilder {
    /// Starts with everything but the body.
    pub(crate) fn new(account: Option<&Account>, host: &str, head: &RequestHead) -> Self {
        let mut builder = Self(Sha256::new());
        let account = account.map_or("", |account| account.id.as_str());
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        [account, host, head.method.as_str(), path].iter().for_each(|part| builder.add_part(part));
        builder
    }

    /// Each part is prefixed with its length, so that the boundary between parts is unambiguous.
    fn add_part(&mut self, part: &str) {
        self.0.update((part.len() as u64).to_be_bytes());
        self.0.update(part.as_bytes());
    }

    /// The fingerprint of the request with this body. A body that is not complete is not hashed, as
    /// clients could keep the processor busy with it. Other tasks run in between.
    pub(crate) async fn finish(mut self, body: &[u8]) -> Fingerprint {
        for chunk in body.chunks(CHUNK_BYTES) {
            self.0.update(chunk);
            if chunk.len() == CHUNK_BYTES {
                tokio::task::yield_now().await;
            }
        }
        Fingerprint::from_digest(&self.0.finalize().into())
    }
}

/// Separates the fingerprints of parts from those of requests.
const PART_DOMAIN: &[u8] = b"prompt part";

/// The fingerprint of a part of prompts. Endpoints of another service run another model, so the part
/// is another one there.
pub(crate) fn part_fingerprint(service: &ServiceName, part: PromptPartId) -> Fingerprint {
    let mut digest = Sha256::new();
    digest.update(PART_DOMAIN);
    digest.update(part.0.to_be_bytes());
    digest.update(service.as_str().as_bytes());
    Fingerprint::from_digest(&digest.finalize().into())
}
