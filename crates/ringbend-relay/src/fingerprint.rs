//! Makes the fingerprint of a request while its body is read.

use actix_http::RequestHead;
use ringbend_gateway::Account;
use ringbend_types::Fingerprint;
use sha2::{Digest, Sha256};

/// Takes in what makes a request the same as another: its account, host, method, path and query, and
/// body. Its id and its deadline are new at each try, and other headers say how it is served.
pub(crate) struct FingerprintMaker(Sha256);

impl FingerprintMaker {
    /// Begins with all but the body.
    pub(crate) fn new(account: Option<&Account>, host: &str, head: &RequestHead) -> Self {
        let mut maker = Self(Sha256::new());
        let account = account.map_or("", |account| account.id.as_str());
        let path = head.uri.path_and_query().map_or("/", |path| path.as_str());
        [account, host, head.method.as_str(), path].iter().for_each(|part| maker.part(part));
        maker
    }

    /// Each part goes with its length, so that none runs into the next.
    fn part(&mut self, part: &str) {
        self.0.update((part.len() as u64).to_be_bytes());
        self.0.update(part.as_bytes());
    }

    /// Takes in a piece of the body.
    pub(crate) fn body(&mut self, piece: &[u8]) {
        self.0.update(piece);
    }

    /// The fingerprint, once the body has been read.
    pub(crate) fn finish(self) -> Fingerprint {
        Fingerprint::from_digest(&self.0.finalize().into())
    }
}
