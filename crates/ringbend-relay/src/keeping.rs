//! What is kept of suspected requests for instances that start after all others have ended.
//!
//! A request with two strikes or more has a row. Each try of a held request is claimed by a row of its own
//! first, so that one instance makes it and not each.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use ringbend_gateway::Suspicion;
use ringbend_types::{Fingerprint, Timestamp};
use ringbend_wire::{
    Message, Suspicion as ToldSuspicion, WireError, decode_suspicion, encode_suspicion,
};

use crate::node::Node;
use crate::ports::{DurableRow, SourceError};

/// How long an instance that starts serves nobody because it does not know the suspects. Longer than a slow
/// store takes; one that is away must not keep callers from being served.
pub(crate) const LEARN_TIME: Duration = Duration::from_millis(1_500);

/// How long others are given to tell of suspects before one that schedules asks the store.
const TOLD_TIME: Duration = Duration::from_millis(60);

/// The same for one that does not schedule: those that do tell it as soon as they know. Where all instances
/// start together, a few calls to the store are enough for all.
const MEMBER_TOLD_TIME: Duration = Duration::from_millis(500);

/// How often it is looked whether others have told.
const LOOK: Duration = Duration::from_millis(10);

/// How long one call may take.
const CALL_TIME: Duration = Duration::from_millis(1_000);

/// How long to wait before the next try of a call that failed.
const PAUSE: Duration = Duration::from_millis(500);

/// How often a row is written before it is left to what the instances know. The store may be away for a while.
const MOST_WRITES: usize = 60;

/// What a claim's key has between fingerprint and number.
const CLAIM_MARK: char = '/';

async fn bounded<T>(call: impl Future<Output = Result<T, SourceError>>) -> Result<T, SourceError> {
    tokio::time::timeout(CALL_TIME, call).await.unwrap_or(Err(SourceError::TimedOut))
}

/// Learns what other instances or the store know of suspects.
pub(crate) async fn learn_suspects(node: Rc<Node>) {
    if node.cfg.borrow().listen.peers.is_some() {
        wait_to_be_told(&node).await;
    }
    while !node.knows_suspects.get() {
        match bounded(node.durable_store.read_all()).await {
            Ok(rows) => {
                rows.iter().for_each(|row| node.take_kept(row));
                node.know_suspects("the store");
            }
            Err(e) => {
                log::info!(target: "suspects", error:% = e; "suspects not read");
                tokio::time::sleep(PAUSE.mul_f64(node.fleet_backoff_factor())).await;
            }
        }
    }
}

async fn wait_to_be_told(node: &Node) {
    let began = node.clock.now();
    while !node.knows_suspects.get() {
        let waited = node.clock.now().since(began);
        let longest = if node.schedules() { TOLD_TIME } else { MEMBER_TOLD_TIME };
        if waited >= longest {
            return;
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Reads a claim's key.
fn claim_of(key: &str) -> Option<(Fingerprint, u8)> {
    let (fingerprint, number) = key.split_once(CLAIM_MARK)?;
    Some((fingerprint.parse().ok()?, number.parse().ok()?))
}

fn kept(value: &Bytes) -> Result<Suspicion, WireError> {
    decode_suspicion(&ToldSuspicion::decode(value.clone())?)
}

impl Node {
    /// Takes in a row. Rows come in the order of their keys, so a request before its claims.
    fn take_kept(&self, row: &DurableRow) {
        let now = self.clock.now();
        if let Some((of, number)) = claim_of(&row.key) {
            self.quarantine.borrow_mut().record_try(now, of, number);
            return;
        }
        match kept(&row.value) {
            Ok(suspicion) => {
                if self.quarantine.borrow_mut().merge(now, &suspicion) {
                    self.changed_suspect(suspicion.fingerprint, true);
                }
            }
            Err(e) => log::warn!(target: "suspects", key:% = row.key, error:% = e; "row refused"),
        }
    }

    /// Has a request kept that has two strikes or more, for as long as that stays so.
    pub(crate) fn keep_suspect(self: &Rc<Self>, of: Fingerprint) {
        let node = self.clone();
        tokio::task::spawn_local(async move {
            for _ in 0..MOST_WRITES {
                let known = node.quarantine.borrow().get(of).filter(|s| s.is_severe()).cloned();
                let Some(known) = known else { return };
                let value = encode_suspicion(&known).encode_to_vec().into();
                let row = DurableRow { key: of.to_string().into(), value };
                match bounded(node.durable_store.put(&row)).await {
                    Ok(()) => return,
                    Err(e) => {
                        log::info!(target: "suspects", fingerprint:% = of, error:% = e; "not kept")
                    }
                }
                tokio::time::sleep(PAUSE.mul_f64(node.fleet_backoff_factor())).await;
            }
        });
    }

    /// Forgets suspects of long ago. The instance that reads the watched tables removes their rows.
    pub(crate) fn sweep_suspects(self: &Rc<Self>, now: Timestamp) {
        let forgotten = self.quarantine.borrow_mut().sweep(now);
        if self.readers.borrow().reads() {
            forgotten.into_iter().for_each(|of| self.unkeep_suspect(of));
        }
    }

    /// Removes what is kept of a request that was cleared. A row that stays is of an earlier round.
    pub(crate) fn unkeep_suspect(self: &Rc<Self>, of: Fingerprint) {
        let node = self.clone();
        tokio::task::spawn_local(async move {
            let claims = (1..=u8::MAX).take(MOST_CLAIMS).map(|number| claim_key(of, number));
            let keys: Vec<Arc<str>> =
                std::iter::once(of.to_string().into()).chain(claims).collect();
            if let Err(e) = bounded(node.durable_store.delete(&keys)).await {
                log::info!(target: "suspects", fingerprint:% = of, error:% = e; "row not removed");
            }
        });
    }

    /// Takes the next try of a held request for this instance, if it is due and nobody else has it.
    pub(crate) async fn claim_try(&self, of: Fingerprint) -> bool {
        let due = self.quarantine.borrow().try_due(self.clock.now(), of);
        let Some(number) = due else { return false };
        // Whatever comes of the call, this instance does not ask for the same try again.
        self.quarantine.borrow_mut().record_try(self.clock.now(), of, number);
        let row = DurableRow { key: claim_key(of, number), value: Bytes::new() };
        let claimed = bounded(self.durable_store.put_if_absent(&row)).await;
        log::info!(target: "suspects", fingerprint:% = of, number, claimed:?; "try");
        self.changed_suspect(of, true);
        claimed.unwrap_or(false)
    }
}

/// Rows of claims that an entry can have; above the number of tries.
const MOST_CLAIMS: usize = 4;

fn claim_key(of: Fingerprint, number: u8) -> Arc<str> {
    format!("{of}{CLAIM_MARK}{number}").into()
}
