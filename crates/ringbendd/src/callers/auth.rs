//! Authentication of callers by bearer key.

use actix_http::header::{AUTHORIZATION, HeaderMap};
use ringbend_types::ClientAccountId;
use subtle::ConstantTimeEq;
use xxhash_rust::xxh3::xxh3_128_with_seed;

use crate::config::CallerKey;

/// All callers' keys. A given key is compared with every one of them, in time that does not depend
/// on how much of it matches.
pub(crate) struct CallerKeys {
    seed: u64,
    keys: Vec<([u8; 16], Vec<u8>, ClientAccountId)>,
}

impl CallerKeys {
    pub(crate) fn new(keys: &[CallerKey]) -> Self {
        let seed = rand::random();
        let entry = |k: &CallerKey| {
            (digest(k.key.as_bytes(), seed), k.key.as_bytes().to_vec(), k.account.clone())
        };
        Self { seed, keys: keys.iter().map(entry).collect() }
    }

    /// Returns the account of the request's key; `None` for a request with more than one key.
    pub(crate) fn account(&self, headers: &HeaderMap) -> Option<ClientAccountId> {
        let given = bearer(headers)?;
        let given_digest = digest(given, self.seed);
        let mut found = None;
        for (digest, key, account) in &self.keys {
            // The digests have equal lengths; comparing the keys themselves rules out a collision.
            let same = digest.ct_eq(&given_digest) & key.as_slice().ct_eq(given);
            if bool::from(same) {
                found = Some(account.clone());
            }
        }
        found
    }
}

/// Returns the bearer key of a request that has exactly one.
pub(crate) fn bearer(headers: &HeaderMap) -> Option<&[u8]> {
    let mut all = headers.get_all(AUTHORIZATION);
    let only = all.next()?;
    if all.next().is_some() {
        return None;
    }
    only.as_bytes().strip_prefix(b"Bearer ")
}

fn digest(key: &[u8], seed: u64) -> [u8; 16] {
    xxh3_128_with_seed(key, seed).to_le_bytes()
}
