//! Finds instances that run and are not known, and reports a split fleet.

use std::rc::Rc;

use ringbend_gateway::{HEARTBEAT_INTERVAL, MembershipStatus, RECOVERY_INTERVAL, SplitChange};
use ringbend_types::Timestamp;

use crate::node::Node;
use crate::registry_watch::is_recovery_due;

/// Greets instances that are silent for as long as the process lives.
pub(crate) async fn recover_membership(node: Rc<Node>) {
    let mut reported_at = node.clock.now();
    loop {
        tokio::time::sleep(RECOVERY_INTERVAL).await;
        if is_recovery_due(&node) {
            node.greet_unheard();
        }
        let now = node.clock.now();
        if now.since(reported_at) >= HEARTBEAT_INTERVAL {
            reported_at = now;
            node.report_membership(now);
        }
    }
}

impl Node {
    /// Updates the number of instances that may run, by which the retry budget is divided.
    pub(crate) fn update_possible_instances(&self, now: Timestamp) {
        let possible = self.peers.borrow().possible_instances(now);
        if self.possible_instances.replace(possible) != possible {
            self.budget.borrow_mut().set_instances(now, possible);
        }
    }

    /// Greets a bounded number of instances that may run and are silent.
    pub(crate) fn greet_unheard(&self) {
        if !self.recovers_membership() {
            return;
        }
        let now = self.clock.now();
        let mut membership = self.membership.borrow_mut();
        membership.observe(now, &self.peers.borrow());
        let addresses = membership.greetings(now, &self.peers.borrow());
        self.greet(&addresses);
    }

    /// Members leave the search for instances to schedulers, unless they alone reach the store.
    fn recovers_membership(&self) -> bool {
        self.is_scheduler() || self.readers.borrow().reads()
    }

    /// Updates the metrics of known and registered instances, and logs the start and end of a split.
    /// Members receive nothing from other data centres, so only schedulers report.
    fn report_membership(&self, now: Timestamp) {
        self.update_possible_instances(now);
        if self.recovers_membership() {
            self.membership.borrow_mut().observe(now, &self.peers.borrow());
        }
        let status = self.membership.borrow().status(now, &self.peers.borrow());
        let missing = if self.is_scheduler() { status.unheard_data_centres.len() } else { 0 };
        self.metrics.registered_instances.set(status.registered as i64);
        self.metrics.unheard_instances.set(status.unheard as i64);
        self.metrics.unheard_data_centres.set(missing as i64);
        match self.membership.borrow_mut().update_split(now, missing > 0) {
            Some(SplitChange::Began) => log_split(&status),
            Some(SplitChange::Ended) => {
                let MembershipStatus { known, registered, unheard, .. } = status;
                log::info!(target: "peers", known, registered, unheard; "all data centres are heard");
            }
            None => {}
        }
    }
}

fn log_split(status: &MembershipStatus) {
    let MembershipStatus { known, registered, unheard, .. } = status;
    let names: Vec<&str> = status.unheard_data_centres.iter().map(|name| name.as_str()).collect();
    let data_centres = names.join(",");
    log::warn!(target: "peers", known, registered, unheard, data_centres; "no instance of these data centres is heard");
}
