//! The queue of updates to piggyback on messages, least transmitted first.

use std::collections::BTreeMap;

use ringbend_types::{EndpointId, InstanceId};

use crate::message::Update;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Endpoint(EndpointId),
    Member(InstanceId),
}

#[derive(Debug, Clone)]
struct Broadcast {
    update: Update,
    urgent: bool,
    sent: u32,
}

/// The updates that this instance still disseminates. A newer update replaces an older one about the same
/// subject.
#[derive(Debug, Clone, Default)]
pub(crate) struct BroadcastQueue {
    broadcasts: BTreeMap<Subject, Broadcast>,
}

impl BroadcastQueue {
    /// Adds an update. Urgent updates precede those about instances that are merely alive, because joining
    /// instances learn about these from the member list.
    pub(crate) fn add(&mut self, update: Update, urgent: bool) {
        let subject = match &update {
            Update::Member { id, .. } => Subject::Member(id.clone()),
            Update::EndpointLeaving(id) => Subject::Endpoint(id.clone()),
        };
        let broadcast = Broadcast { update, urgent, sent: 0 };
        self.broadcasts.insert(subject, broadcast);
    }

    /// Takes up to `max` updates, urgent ones first, then those transmitted least. An update is removed
    /// after `transmissions` transmissions.
    pub(crate) fn take(&mut self, max: usize, transmissions: u32) -> Vec<Update> {
        let rank = |(subject, b): (&Subject, &Broadcast)| (!b.urgent, b.sent, subject.clone());
        let mut order: Vec<(bool, u32, Subject)> = self.broadcasts.iter().map(rank).collect();
        order.sort();
        let mut updates = Vec::new();
        for (_, _, subject) in order.into_iter().take(max) {
            let Some(broadcast) = self.broadcasts.get_mut(&subject) else { continue };
            updates.push(broadcast.update.clone());
            broadcast.sent += 1;
            if broadcast.sent >= transmissions {
                self.broadcasts.remove(&subject);
            }
        }
        updates
    }
}
