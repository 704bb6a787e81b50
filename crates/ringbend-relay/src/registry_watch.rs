//! Follows the registry at the instance that reads the watched tables, so that a group of instances
//! learns of all others with one long poll.

use std::rc::Rc;
use std::time::Duration;

use ringbend_gateway::{HEARTBEAT_INTERVAL, WatchedTable};
use ringbend_wire::LoadDigest;

use crate::listing::read_table;
use crate::node::Node;
use crate::ports::{InstanceRegistry, SourceError};
use crate::registry_copy::REGISTRY;

/// The wait requested from the store.
const POLL_TIMEOUT: Duration = Duration::from_millis(9_000);

/// How long to wait for further changes after one: many instances write their rows together.
const BATCH_DELAY: Duration = Duration::from_millis(400);

/// How long after its start an instance first searches for others, unless the store was unavailable:
/// otherwise instances that start together find each other without it.
const START_DELAY: Duration = Duration::from_secs(3);

/// The same for following the registry, which costs two calls to the store: until then, unanswered
/// hellos are repeated after 2 and 4 seconds.
const FOLLOW_DELAY: Duration = Duration::from_secs(10);

/// How long an instance reads the watched tables before it follows the registry. When all copies
/// have grown old at once, most instances read them for a moment, and only one goes on.
const SETTLING_TIME: Duration = Duration::from_millis(400);

/// Interval between calls if the registry cannot be read although the store answers other calls.
const RETRY_INTERVAL: Duration = Duration::from_secs(3);

/// Interval between checks whether the registry is to be followed.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The minimum interval between writes of this instance's row on request.
const MIN_REGISTRATION_INTERVAL: Duration = Duration::from_secs(5);

/// Follows the registry whenever this instance reads the watched tables.
pub(crate) async fn follow_registry(node: Rc<Node>, registry: Rc<dyn InstanceRegistry>) {
    loop {
        wait_until_reading(&node).await;
        tokio::time::sleep(SETTLING_TIME).await;
        if !node.readers.borrow().reads() {
            continue;
        }
        let error = tokio::select! {
            error = follow(&node, &*registry) => error,
            () = node.stopped_reading.notified() => continue,
        };
        log::info!(target: "store", error:%; "registry not followed; retrying");
        tokio::select! {
            () = node.store_recovered.notified() => {}
            () = tokio::time::sleep(RETRY_INTERVAL) => {}
        }
    }
}

/// Waits until this instance reads the watched tables and the store has answered it. In an outage
/// most instances try to read, and none of them needs a further call.
async fn wait_until_reading(node: &Node) {
    loop {
        let mut started = std::pin::pin!(node.started_reading.notified());
        // Registered before the check, so that no notification in between is missed.
        started.as_mut().enable();
        if node.readers.borrow().reads() {
            break;
        }
        started.await;
    }
    while !node.readers.borrow().has_read(WatchedTable::Config)
        || !is_due_after_start(node, FOLLOW_DELAY)
    {
        tokio::time::sleep(CHECK_INTERVAL).await;
        if !node.readers.borrow().reads() {
            return;
        }
    }
}

/// Whether to look for instances that were not found at the start: after an outage of the store at
/// once, as discovery may have failed. Otherwise discovery comes first. Where hundreds of instances
/// start together, most of them schedule for a moment, and their search for each other would take
/// the processor time that discovery needs.
pub(crate) fn is_recovery_due(node: &Node) -> bool {
    is_due_after_start(node, START_DELAY)
}

fn is_due_after_start(node: &Node, delay: Duration) -> bool {
    node.had_store_outage.get() || node.clock.now().since(node.clock.started_at()) >= delay
}

/// Follows the registry until a call fails.
async fn follow(node: &Node, registry: &dyn InstanceRegistry) -> SourceError {
    match read_changes(node, registry).await {
        Ok(never) => match never {},
        Err(e) => e,
    }
}

async fn read_changes(
    node: &Node,
    registry: &dyn InstanceRegistry,
) -> Result<std::convert::Infallible, SourceError> {
    loop {
        let cursor = node.registry_records.borrow().cursor();
        let result = match cursor {
            Some(cursor) => tokio::select! {
                changes = with_timeout(node, POLL_TIMEOUT, registry.changes(cursor, POLL_TIMEOUT)) => changes,
                // A call with a long wait would hang for a long time after a network failure.
                () = node.store_lost.notified() => Err(SourceError::Unreachable),
            },
            None => Err(SourceError::HistoryGone),
        };
        let has_changed = match result {
            Ok(batch) if batch.is_complete => {
                let has_changed = !batch.changes.is_empty();
                node.apply_registry(batch);
                has_changed
            }
            Ok(_) | Err(SourceError::HistoryGone) => {
                let listed = read_table(node, REGISTRY, Duration::ZERO, registry).await?;
                let is_partial = listed.read_to.is_some();
                node.replace_registry(listed);
                if is_partial {
                    node.greet_unheard();
                    return Err(SourceError::Malformed);
                }
                true
            }
            Err(e) => return Err(e),
        };
        node.greet_unheard();
        node.request_registrations();
        if has_changed {
            tokio::time::sleep(BATCH_DELAY).await;
        }
    }
}

async fn with_timeout<T>(
    node: &Node,
    wait: Duration,
    call: impl Future<Output = Result<T, SourceError>>,
) -> Result<T, SourceError> {
    let timeout = wait + node.store_pace.get().timeout();
    tokio::time::timeout(timeout, call).await.unwrap_or(Err(SourceError::TimedOut))
}

/// Writes this instance's row whenever the reader of the registry finds it missing.
pub(crate) async fn register_on_request(node: Rc<Node>, registry: Rc<dyn InstanceRegistry>) {
    loop {
        node.registration_due.notified().await;
        // Without a role change in between, as surplus schedulers need no row.
        tokio::time::sleep(HEARTBEAT_INTERVAL).await;
        let Some(own) = node.own_record().filter(|_| node.is_scheduler()) else { continue };
        log::info!(target: "peers", "registry row is missing; writing it again");
        if let Err(e) = with_timeout(&node, Duration::ZERO, registry.register(&own)).await {
            // The reader asks again.
            log::info!(target: "peers", error:% = e; "registration failed");
        }
        tokio::time::sleep(MIN_REGISTRATION_INTERVAL).await;
    }
}

impl Node {
    /// Asks schedulers whose rows are missing to write them.
    fn request_registrations(&self) {
        let now = self.clock.now();
        let unregistered = self.membership.borrow_mut().unregistered(now);
        let digest = LoadDigest { unregistered: true, ..self.digest() };
        self.send_digest_to_all(&digest, unregistered);
        if self.is_scheduler() && self.membership.borrow().lacks_own_row() {
            self.registration_due.notify_one();
        }
    }
}
