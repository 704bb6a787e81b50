//! Gossip about the watched tables: how current the copies are, and endpoint changes.

use std::net::SocketAddrV4;
use std::time::Duration;

use ringbend_gateway::{ConfigVersion, CopyVersions, EndpointChange, Role, WatchedTable};
use ringbend_types::{Cursor, Timestamp};
use ringbend_wire::{
    Currency, EndpointChanges, LoadDigest, WireError, decode_endpoint_change, decode_evacuations,
    decode_role, encode_evacuations,
};

use crate::endpoint_copy::apply_endpoints;
use crate::node::Node;
use crate::table_copies::{apply_outage_update, leave_reading_to_others};

/// A copy's proof of currency is not sent on its own if it has advanced by less than this. A reader
/// renews it once per second.
pub(crate) const MIN_PROOF_ADVANCE: Duration = Duration::from_millis(300);

/// How current this instance's copies are.
pub(crate) fn currency(node: &Node) -> Option<Currency> {
    let (replica, readers) = (node.replica.borrow(), node.readers.borrow());
    let Cursor { era, version: endpoints_cursor } = node.endpoints_cursor.get();
    Some(Currency {
        config_version: replica.version()?.0,
        proved_us: replica.proved_at()?.0,
        endpoints_cursor,
        era,
        reader: readers.reader(),
        endpoints_proved_us: readers.proved_at(WatchedTable::Endpoints).map(|at| at.0),
        answering_since_us: node.outages.borrow().answering_since().map(|since| since.0),
        evacuations: Some(encode_evacuations(node.directory.borrow().evacuations())),
    })
}

/// Processes the part of a digest about the watched tables.
pub(crate) fn handle_digest(node: &Node, now: Timestamp, from: SocketAddrV4, digest: &LoadDigest) {
    // Before the changes: rows may have expired in an outage.
    if let Some(currency) = &digest.currency {
        record_answer(node, now, digest.incarnation, currency);
    }
    if let Some(changes) = &digest.endpoint_changes
        && apply_changes(node, changes)
        && node.is_scheduler()
    {
        forward_changes(node, now, from, decode_role(digest) == Role::Scheduler, changes);
    }
    if let Some(currency) = &digest.currency {
        // Before the proof, which is about all of the operator's table.
        merge_evacuations(node, currency);
        record_peer_versions(node, from, currency);
        apply_currency(node, now, digest.incarnation, currency);
    }
}

fn merge_evacuations(node: &Node, currency: &Currency) {
    match currency.evacuations.as_ref().map(decode_evacuations) {
        Some(Ok(evacuations)) => node.adopt_evacuations(evacuations),
        Some(Err(e)) => log::warn!(target: "peers", error:% = e; "invalid evacuations in digest"),
        None => {}
    }
}

/// Records when the store last answered an instance.
fn record_answer(node: &Node, now: Timestamp, incarnation: u64, currency: &Currency) {
    let to_own_clock = |us| node.readers.borrow().to_own_clock(incarnation, Timestamp(us));
    let proved_us = currency.endpoints_proved_us.unwrap_or_default().max(currency.proved_us);
    let Some(at) = to_own_clock(proved_us).filter(|at| *at <= now) else { return };
    let since = currency.answering_since_us.and_then(to_own_clock);
    let update = node.outages.borrow_mut().peer_answered(at, since);
    apply_outage_update(node, update);
}

/// Forwards changes to the members of this data centre, and to the other schedulers if the sender
/// is a member.
fn forward_changes(
    node: &Node,
    now: Timestamp,
    from: SocketAddrV4,
    from_scheduler: bool,
    changes: &EndpointChanges,
) {
    let digest = LoadDigest { endpoint_changes: Some(changes.clone()), ..node.digest() };
    let peers = node.peers.borrow();
    node.send_digest_to_all(&digest, peers.members(now).filter(|address| *address != from));
    if !from_scheduler {
        node.send_digest_to_all(&digest, peers.other_schedulers(now));
    }
}

/// Returns whether the changes were new.
fn apply_changes(node: &Node, changes: &EndpointChanges) -> bool {
    let known = node.endpoints_cursor.get();
    let from = Cursor::new(changes.era, changes.from_cursor);
    let to = Cursor::new(changes.era, changes.to_cursor);
    // Changes after a gap are ignored; the cursor in the same digest reveals the gap.
    if known >= to || known < from || known.era != to.era {
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
            log::warn!(target: "peers", error:% = e; "invalid endpoint changes in digest");
            false
        }
    }
}

/// How far the sender has read the endpoint table.
fn endpoints_position(currency: &Currency) -> Cursor {
    Cursor::new(currency.era, currency.endpoints_cursor)
}

/// Records which versions the sender can serve, and whether they are newer than the local copies.
fn record_peer_versions(node: &Node, from: SocketAddrV4, currency: &Currency) {
    let config = ConfigVersion(currency.config_version);
    let endpoints = endpoints_position(currency);
    let versions = CopyVersions { config, endpoints };
    node.peers.borrow_mut().set_copy_versions(from, versions);
    if node.replica.borrow().version().is_none_or(|own| config > own) {
        node.newer_config.notify_one();
    }
    if endpoints > node.endpoints_cursor.get() {
        node.newer_endpoints.notify_one();
    }
}

fn apply_currency(node: &Node, now: Timestamp, incarnation: u64, currency: &Currency) {
    let before = proof_times(node);
    let proved_at = apply_proofs(node, now, incarnation, currency);
    leave_reading_to_others(node);
    let has_advanced = proof_times(node)
        .iter()
        .zip(before)
        .any(|(at, before)| at.since(before) >= MIN_PROOF_ADVANCE);
    if node.is_scheduler() && has_advanced {
        // The members of this data centre learn of it from this instance.
        node.flush.batched.notify_one();
    }
    let Some((reader, proved_at)) = currency.reader.zip(proved_at) else { return };
    if node.readers.borrow_mut().yield_to_reader(reader, proved_at) {
        let age_ms = now.since(proved_at).as_millis() as u64;
        log::info!(target: "store", reader, named_by = incarnation, age_ms; "another instance reads the store");
        node.stopped_reading.notify_waiters();
    }
}

/// When the copies of the two tables were last proved current.
fn proof_times(node: &Node) -> [Timestamp; 2] {
    let readers = node.readers.borrow();
    [WatchedTable::Config, WatchedTable::Endpoints]
        .map(|table| readers.proved_at(table).unwrap_or_default())
}

/// Applies a peer's proofs to this instance's copies. Returns the time up to which they prove both
/// tables, if they do.
fn apply_proofs(
    node: &Node,
    now: Timestamp,
    incarnation: u64,
    currency: &Currency,
) -> Option<Timestamp> {
    // Until the clocks are paired, the peer's times cannot be converted and prove nothing.
    let to_own_clock = |us| {
        let at = node.readers.borrow().to_own_clock(incarnation, Timestamp(us));
        at.filter(|at| *at <= now)
    };
    let version = ConfigVersion(currency.config_version);
    let config_at = to_own_clock(currency.proved_us);
    let config_at = config_at.filter(|at| node.replica.borrow_mut().prove_at(version, *at));
    if let Some(at) = config_at {
        if Some(at) > node.readers.borrow().proved_at(WatchedTable::Config) {
            let mut pace = node.store_pace.get();
            pace.record_proof_elsewhere(now, at);
            node.store_pace.set(pace);
        }
        node.readers.borrow_mut().proved_by(WatchedTable::Config, currency.reader, at);
        node.startup_progress.notify_waiters();
    }
    // The table has not changed since the peer's position, and this copy is as far or farther. A
    // reader keeps the position of the last change, but its copy includes all that it has read.
    let position = node.endpoints_cursor.get().max(node.endpoints_read_at.get());
    let is_as_new = endpoints_position(currency) <= position;
    let endpoints_at = currency.endpoints_proved_us.and_then(to_own_clock);
    if let Some(at) = endpoints_at {
        node.readers.borrow_mut().endpoints_proved_elsewhere(at);
    }
    let endpoints_at = endpoints_at.filter(|_| is_as_new);
    if let Some(at) = endpoints_at {
        node.readers.borrow_mut().proved_by(WatchedTable::Endpoints, currency.reader, at);
    }
    config_at.zip(endpoints_at).map(|(config, endpoints)| config.min(endpoints))
}
