//! Persistence of suspected requests, for instances that start after all others have ended.
//!
//! Each request with two or more strikes has a row. An instance that makes a trial run of a held
//! request first claims it with a row of its own, so that only one instance makes it.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ringbend_gateway::Suspicion;
use ringbend_types::{Fingerprint, Timestamp};
use ringbend_wire::{
    Message, Suspicion as EncodedSuspicion, WireError, decode_suspicion, encode_suspicion,
};

use crate::listing::{InvalidRows, read_table};
use crate::node::Node;
use crate::ports::{DurableRow, InvalidRow, SourceError};

/// The table's name in logs.
const SUSPECTS: &str = "suspects";

/// How long a starting instance serves no requests because it does not know the suspects. This is
/// longer than a slow store takes to reply. A store that is unavailable must not keep callers from
/// being served.
pub(crate) const SUSPECTS_WAIT: Duration = Duration::from_millis(1_500);

/// How long a scheduler waits for the suspects from its peers before it reads the store.
const PEER_WAIT: Duration = Duration::from_millis(60);

/// The same for a member: schedulers send the suspects as soon as they know them. If all instances
/// start together, a few calls to the store are thus enough for all.
const MEMBER_PEER_WAIT: Duration = Duration::from_millis(500);

/// Interval between checks whether peers have sent the suspects.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Maximum number of attempts to write a row. The store may be unavailable for a while; after that
/// the suspect is known only to the running instances.
const MAX_WRITE_ATTEMPTS: usize = 60;

/// Separates fingerprint and number in the key of a claim.
const CLAIM_SEPARATOR: char = '/';

async fn with_timeout<T>(
    node: &Node,
    call: impl Future<Output = Result<T, SourceError>>,
) -> Result<T, SourceError> {
    let timeout = node.store_pace.get().timeout();
    tokio::time::timeout(timeout, call).await.unwrap_or(Err(SourceError::TimedOut))
}

/// Loads the suspects from other instances or from the store.
pub(crate) async fn load_suspects(node: Rc<Node>) {
    if node.cfg.borrow().listen.peers.is_some() {
        wait_for_peers(&node).await;
    }
    while !node.knows_suspects.get() {
        let listed = tokio::select! {
            listed = read_table(&node, SUSPECTS, Duration::ZERO, &*node.durable_store) => listed,
            () = wait_until_suspects_known(&node) => return,
        };
        match listed {
            Ok(listed) => {
                listed.invalid_rows.log(SUSPECTS);
                let invalid = listed.items.iter().filter_map(|row| node.apply_stored_row(row));
                InvalidRows::from(invalid.collect::<Vec<_>>()).log(SUSPECTS);
                if listed.read_to.is_some() {
                    tokio::time::sleep(RETRY_DELAY.mul_f64(node.store_retry_factor())).await;
                    continue;
                }
                node.record_suspects_known("the store");
            }
            Err(e) => {
                log::info!(target: "suspects", error:% = e; "reading suspects failed; retrying");
                tokio::time::sleep(RETRY_DELAY.mul_f64(node.store_retry_factor())).await;
            }
        }
    }
}

/// Waits until peers have sent the suspects, which makes reading further pages needless.
async fn wait_until_suspects_known(node: &Node) {
    while !node.knows_suspects.get() {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn wait_for_peers(node: &Node) {
    let started_at = node.clock.now();
    while !node.knows_suspects.get() {
        let waited = node.clock.now().since(started_at);
        let max_wait = if node.is_scheduler() { PEER_WAIT } else { MEMBER_PEER_WAIT };
        if waited >= max_wait {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Parses the key of a claim.
fn parse_claim_key(key: &str) -> Option<(Fingerprint, u8)> {
    let (fingerprint, number) = key.split_once(CLAIM_SEPARATOR)?;
    Some((fingerprint.parse().ok()?, number.parse().ok()?))
}

fn parse_stored_suspicion(value: &Bytes) -> Result<Suspicion, WireError> {
    decode_suspicion(&EncodedSuspicion::decode(value.clone())?)
}

impl Node {
    /// Applies a stored row; returns it if it is invalid. Rows are ordered by key, so a request
    /// precedes its claims.
    fn apply_stored_row(&self, row: &DurableRow) -> Option<InvalidRow> {
        let now = self.clock.now();
        if let Some((fingerprint, number)) = parse_claim_key(&row.key) {
            self.quarantine.borrow_mut().record_try(now, fingerprint, number);
            return None;
        }
        match parse_stored_suspicion(&row.value) {
            Ok(suspicion) => {
                if self.quarantine.borrow_mut().merge(now, &suspicion) {
                    self.publish_suspect(suspicion.fingerprint, true);
                }
                None
            }
            Err(e) => Some(InvalidRow {
                key: row.key.clone(),
                reason: e.to_string().into(),
                is_required: false,
            }),
        }
    }

    /// Stores a request with two or more strikes, unless it is cleared before the write succeeds.
    pub(crate) fn store_suspect(self: &Rc<Self>, fingerprint: Fingerprint) {
        let node = self.clone();
        tokio::task::spawn_local(async move {
            for _ in 0..MAX_WRITE_ATTEMPTS {
                let known =
                    node.quarantine.borrow().get(fingerprint).filter(|s| s.is_severe()).cloned();
                let Some(known) = known else { return };
                let value = encode_suspicion(&known).encode_to_vec().into();
                let row = DurableRow { key: fingerprint.to_string().into(), value };
                match with_timeout(&node, node.durable_store.put(&row)).await {
                    Ok(()) => return,
                    Err(e) => {
                        log::info!(target: "suspects", fingerprint:% = fingerprint, error:% = e; "storing suspect failed; retrying")
                    }
                }
                tokio::time::sleep(RETRY_DELAY.mul_f64(node.store_retry_factor())).await;
            }
        });
    }

    /// Forgets suspects that expired. The instance that reads the watched tables also deletes their
    /// rows.
    pub(crate) fn sweep_suspects(self: &Rc<Self>, now: Timestamp) {
        let forgotten = self.quarantine.borrow_mut().sweep(now);
        if self.readers.borrow().reads() {
            forgotten.into_iter().for_each(|fingerprint| self.delete_suspect(fingerprint));
        }
    }

    /// Deletes the rows of a request that was cleared. Rows that a failed call leaves
    /// behind belong to an earlier round.
    pub(crate) fn delete_suspect(self: &Rc<Self>, fingerprint: Fingerprint) {
        let node = self.clone();
        tokio::task::spawn_local(async move {
            let claims =
                (1..=u8::MAX).take(MAX_CLAIMS).map(|number| claim_key(fingerprint, number));
            let keys: Vec<Arc<str>> =
                std::iter::once(fingerprint.to_string().into()).chain(claims).collect();
            if let Err(e) = with_timeout(&node, node.durable_store.delete(&keys)).await {
                log::info!(target: "suspects", fingerprint:% = fingerprint, error:% = e; "deleting suspect row failed");
            }
        });
    }

    /// Claims the next trial run of a held request for this instance, if it is due and not claimed
    /// yet.
    pub(crate) async fn claim_trial(&self, fingerprint: Fingerprint) -> bool {
        let due = self.quarantine.borrow().try_due(self.clock.now(), fingerprint);
        let Some(number) = due else { return false };
        // Whatever the result of the call, this instance does not claim the same trial again.
        self.quarantine.borrow_mut().record_try(self.clock.now(), fingerprint, number);
        let row = DurableRow { key: claim_key(fingerprint, number), value: Bytes::new() };
        let claimed = with_timeout(self, self.durable_store.put_if_absent(&row)).await;
        log::info!(target: "suspects", fingerprint:% = fingerprint, number, claimed:?; "trial run claim answered");
        self.publish_suspect(fingerprint, true);
        claimed.unwrap_or(false)
    }
}

/// Maximum number of claims per request; larger than the number of trial runs.
const MAX_CLAIMS: usize = 4;

fn claim_key(fingerprint: Fingerprint, number: u8) -> Arc<str> {
    format!("{fingerprint}{CLAIM_SEPARATOR}{number}").into()
}
