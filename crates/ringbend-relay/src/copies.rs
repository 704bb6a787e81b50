//! What the two watched tables feed: the configuration and the directory of endpoints.

use std::time::Duration;

use ringbend_gateway::{Adopted, Endpoint, EndpointChange, Proof, Snapshot, SnapshotParts};

use crate::node::Node;
use crate::watch::Copy;

/// Feeds the configuration.
pub(crate) struct ConfigCopy;

impl ConfigCopy {
    fn offer(node: &Node, parts: SnapshotParts) {
        let snapshot = Snapshot::new(parts);
        let (version, routes) = (snapshot.version, snapshot.route_count());
        match node.replica.borrow_mut().offer(snapshot) {
            Adopted::Newer { before } => {
                let before = before.map_or(0, |v| v.0);
                node.metrics.settings_version.set(i64::try_from(version.0).unwrap_or(i64::MAX));
                log::info!(target: "config", version = version.0, before, routes; "in force");
            }
            Adopted::Same => {}
            Adopted::Older => {
                log::warn!(target: "config", version = version.0; "older than the one in force");
            }
        }
    }
}

impl Copy<SnapshotParts, SnapshotParts> for ConfigCopy {
    const NAME: &'static str = "config";

    /// Shorter finds a hanging connection sooner, longer makes fewer calls: under the three seconds
    /// after which callers are owed nothing by an instance without contact.
    const WAIT: Duration = Duration::from_millis(2_500);

    /// A tenth of the time in which a configuration must be in force.
    const GATHER: Duration = Duration::from_millis(200);

    const SENTINEL: bool = true;

    fn replace(&self, node: &Node, items: Vec<SnapshotParts>) {
        self.apply(node, items);
    }

    fn apply(&self, node: &Node, items: Vec<SnapshotParts>) {
        items.into_iter().for_each(|parts| Self::offer(node, parts));
    }

    fn prove(&self, node: &Node, proof: Proof, paired: bool) {
        node.replica.borrow_mut().prove(proof, paired);
    }

    fn regained(&self, _: &Node) {}
}

/// Feeds the directory.
pub(crate) struct EndpointCopy;

impl EndpointCopy {
    fn log(change: &EndpointChange) {
        match change {
            EndpointChange::Present(e) => {
                let (id, service, leaving) = (&e.id, &e.service, e.leaving);
                log::info!(target: "endpoints", endpoint:% = id, service:%, leaving; "registered");
            }
            EndpointChange::Gone(id) => {
                log::info!(target: "endpoints", endpoint:% = id; "entry gone");
            }
        }
    }
}

impl Copy<Endpoint, EndpointChange> for EndpointCopy {
    const NAME: &'static str = "endpoints";

    /// Nothing rests on when this table was last proved current, so its calls may wait for long.
    const WAIT: Duration = Duration::from_millis(9_000);

    /// Half of the time in which a leaving endpoint must be known. A fleet that starts, or whose
    /// endpoints come and go, changes many times a second, and each answer is a call of each instance.
    const GATHER: Duration = Duration::from_millis(1_000);

    const SENTINEL: bool = false;

    fn replace(&self, node: &Node, items: Vec<Endpoint>) {
        let now = node.clock.now();
        let (before, count) = (node.directory.borrow().len(), items.len());
        log::info!(target: "endpoints", before, count; "read whole");
        node.directory.borrow_mut().replace(now, items);
    }

    fn apply(&self, node: &Node, items: Vec<EndpointChange>) {
        let now = node.clock.now();
        for change in items {
            Self::log(&change);
            node.directory.borrow_mut().apply(now, change);
        }
        let directory = node.directory.borrow();
        node.trust.borrow_mut().retain(|id| directory.get(id).is_some());
    }

    fn prove(&self, _: &Node, _: Proof, _: bool) {}

    fn regained(&self, node: &Node) {
        node.directory.borrow_mut().regained(node.clock.now());
    }
}
