//! What other instances tell of the watched tables: how current their copies are, and endpoint
//! changes.

use std::net::SocketAddrV4;

use ringbend_gateway::{ConfigVersion, EndpointChange, Holds};
use ringbend_types::Timestamp;
use ringbend_wire::{Currency, EndpointChanges, LoadDigest, WireError, change_of};

use crate::copies::apply_endpoints;
use crate::node::Node;
use crate::ports::Cursor;

/// How current this instance's copies are.
pub(crate) fn currency(node: &Node) -> Option<Currency> {
    let replica = node.replica.borrow();
    Some(Currency {
        config_version: replica.version()?.0,
        proved_us: replica.proved_at()?.0,
        // One that does not reach the store must not keep others from reading.
        reads: node.readers.borrow().reads() && node.store_lost_at.get().is_none(),
        endpoints_cursor: node.endpoints_cursor.get().0,
    })
}

/// Takes in what a digest tells.
pub(crate) fn take_in(node: &Node, now: Timestamp, from: SocketAddrV4, digest: &LoadDigest) {
    if let Some(changes) = &digest.endpoint_changes {
        take_in_changes(node, changes);
    }
    if let Some(currency) = &digest.currency {
        note_holder(node, from, currency);
        take_in_currency(node, now, digest.incarnation, currency);
    }
}

fn take_in_changes(node: &Node, changes: &EndpointChanges) {
    let known = node.endpoints_cursor.get();
    let (from, to) = (Cursor(changes.from_cursor), Cursor(changes.to_cursor));
    if known >= to {
        return;
    }
    // With a gap before them they are left out; the cursor that comes beside them tells of it.
    if known < from {
        return;
    }
    let rows: Result<Vec<EndpointChange>, WireError> = changes.rows.iter().map(change_of).collect();
    match rows {
        Ok(rows) => apply_endpoints(node, rows, to),
        Err(e) => log::warn!(target: "peers", error:% = e; "relayed endpoints refused"),
    }
}

/// Notes what can be had from the sender, and whether it is newer than what is here.
fn note_holder(node: &Node, from: SocketAddrV4, currency: &Currency) {
    let config = ConfigVersion(currency.config_version);
    let holds = Holds { config, endpoints: currency.endpoints_cursor };
    node.peers.borrow_mut().holds(from, holds);
    if node.replica.borrow().version().is_none_or(|own| config > own) {
        node.config_news.notify_one();
    }
    if Cursor(currency.endpoints_cursor) > node.endpoints_cursor.get() {
        node.endpoint_news.notify_one();
    }
}

fn take_in_currency(node: &Node, now: Timestamp, start: u64, currency: &Currency) {
    let proved_at = node.readers.borrow().on_own_clock(start, Timestamp(currency.proved_us));
    // Without a pairing of the clocks nothing is proved.
    let Some(proved_at) = proved_at.filter(|at| *at <= now) else { return };
    let version = ConfigVersion(currency.config_version);
    node.replica.borrow_mut().prove_at(version, proved_at);
    node.begun.notify_waiters();
    let own = node.replica.borrow().version();
    let same = own == Some(version);
    let stops = same
        && currency.reads
        && node.readers.borrow_mut().other_reads(start, now.since(proved_at));
    if stops {
        log::info!(target: "store", reader = start; "another instance reads");
    }
}
