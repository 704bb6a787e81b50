//! What other instances tell of the watched tables: how current their copies are, and endpoint
//! changes.

use std::net::SocketAddrV4;
use std::time::Duration;

use ringbend_gateway::{ConfigVersion, CopyVersions, EndpointChange, Role};
use ringbend_types::Timestamp;
use ringbend_wire::{
    Currency, EndpointChanges, LoadDigest, WireError, decode_endpoint_change, decode_role,
};

use crate::copies::{apply_endpoints, leave_reading_to_others};
use crate::node::Node;
use crate::ports::Cursor;

/// A copy that was proved later by less than this is not told of by itself: a reader proves it once a
/// second.
pub(crate) const PROOF_STEP: Duration = Duration::from_millis(300);

/// How current this instance's copies are.
pub(crate) fn currency(node: &Node) -> Option<Currency> {
    let replica = node.replica.borrow();
    Some(Currency {
        config_version: replica.version()?.0,
        proved_us: replica.proved_at()?.0,
        endpoints_cursor: node.endpoints_cursor.get().0,
        reader: reader(node),
    })
}

/// Whose reading proved this instance's copy last.
fn reader(node: &Node) -> Option<u64> {
    let readers = node.readers.borrow();
    // One that does not reach the store must not keep others from reading.
    let reads = readers.reads() && node.store_lost_at.get().is_none();
    if reads { Some(node.incarnation()) } else { readers.reader() }
}

/// Takes in what a digest tells.
pub(crate) fn take_in(node: &Node, now: Timestamp, from: SocketAddrV4, digest: &LoadDigest) {
    if let Some(changes) = &digest.endpoint_changes
        && take_in_changes(node, changes)
        && node.schedules()
    {
        tell_on(node, now, from, decode_role(digest) == Role::Scheduler, changes);
    }
    if let Some(currency) = &digest.currency {
        note_holder(node, from, currency);
        take_in_currency(node, now, digest.incarnation, currency);
    }
}

/// Tells the instances of this data centre of changes, and other schedulers if none of them has.
fn tell_on(
    node: &Node,
    now: Timestamp,
    from: SocketAddrV4,
    from_scheduler: bool,
    changes: &EndpointChanges,
) {
    let told = LoadDigest { endpoint_changes: Some(changes.clone()), ..node.digest() };
    let peers = node.peers.borrow();
    node.tell_all(&told, peers.members(now).filter(|address| *address != from));
    if !from_scheduler {
        node.tell_all(&told, peers.other_schedulers(now));
    }
}

/// Whether they were new.
fn take_in_changes(node: &Node, changes: &EndpointChanges) -> bool {
    let known = node.endpoints_cursor.get();
    let (from, to) = (Cursor(changes.from_cursor), Cursor(changes.to_cursor));
    // With a gap before them they are left out; the cursor that comes beside them tells of it.
    if known >= to || known < from {
        return false;
    }
    let rows: Result<Vec<EndpointChange>, WireError> =
        changes.rows.iter().map(decode_endpoint_change).collect();
    match rows {
        Ok(rows) => {
            apply_endpoints(node, rows, to);
            true
        }
        Err(e) => {
            log::warn!(target: "peers", error:% = e; "relayed endpoints refused");
            false
        }
    }
}

/// Notes what can be had from the sender, and whether it is newer than what is here.
fn note_holder(node: &Node, from: SocketAddrV4, currency: &Currency) {
    let config = ConfigVersion(currency.config_version);
    let holds = CopyVersions { config, endpoints: currency.endpoints_cursor };
    node.peers.borrow_mut().set_copy_versions(from, holds);
    if node.replica.borrow().version().is_none_or(|own| config > own) {
        node.config_news.notify_one();
    }
    if Cursor(currency.endpoints_cursor) > node.endpoints_cursor.get() {
        node.endpoint_news.notify_one();
    }
}

fn take_in_currency(node: &Node, now: Timestamp, start: u64, currency: &Currency) {
    let proved_at = node.readers.borrow().to_own_clock(start, Timestamp(currency.proved_us));
    // Without a pairing of the clocks nothing is proved.
    let Some(proved_at) = proved_at.filter(|at| *at <= now) else { return };
    let version = ConfigVersion(currency.config_version);
    let before = node.replica.borrow().proved_at().unwrap_or_default();
    node.replica.borrow_mut().prove_at(version, proved_at);
    node.begun.notify_waiters();
    leave_reading_to_others(node);
    let after = node.replica.borrow().proved_at().unwrap_or_default();
    if node.schedules() && after.since(before) >= PROOF_STEP {
        // The instances of this data centre hear of it here.
        node.signals.soon.notify_one();
    }
    let is_same = node.replica.borrow().version() == Some(version);
    let Some(reader) = currency.reader.filter(|_| is_same) else { return };
    if reader == node.incarnation() {
        return;
    }
    let mut readers = node.readers.borrow_mut();
    readers.proved_by(reader, proved_at);
    if readers.yield_to_reader(reader, now.since(proved_at)) {
        log::info!(target: "store", reader; "another instance reads");
        node.ceases_to_read.notify_waiters();
    }
}
