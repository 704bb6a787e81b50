//! News waiting to be piggybacked, least sent first.

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

/// The news this instance still spreads; newer news of the same subject replaces older.
#[derive(Debug, Clone, Default)]
pub(crate) struct BroadcastQueue {
    broadcasts: BTreeMap<Subject, Broadcast>,
}

impl BroadcastQueue {
    /// Adds news. Urgent news goes before news of instances that merely exist, which joining
    /// instances learn from the list that they are sent.
    pub(crate) fn add(&mut self, update: Update, urgent: bool) {
        let subject = match &update {
            Update::Member { id, .. } => Subject::Member(id.clone()),
            Update::EndpointLeaving(id) => Subject::Endpoint(id.clone()),
        };
        let broadcast = Broadcast { update, urgent, sent: 0 };
        self.broadcasts.insert(subject, broadcast);
    }

    /// The `most` most urgent, then least sent, updates; each is dropped after `transmissions`.
    pub(crate) fn take(&mut self, most: usize, transmissions: u32) -> Vec<Update> {
        let place = |(subject, r): (&Subject, &Broadcast)| (!r.urgent, r.sent, subject.clone());
        let mut order: Vec<(bool, u32, Subject)> = self.broadcasts.iter().map(place).collect();
        order.sort();
        let mut updates = Vec::new();
        for (_, _, subject) in order.into_iter().take(most) {
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
