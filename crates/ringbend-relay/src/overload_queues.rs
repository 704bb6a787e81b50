//! The overload queues of the services for which this instance plans.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use ringbend_gateway::{EngineProfile, Job, OverloadQueue, Placement, WorkId};
use ringbend_types::{ServiceName, Timestamp};
use tokio::sync::oneshot;

use crate::node::Node;
use crate::placement::NotPlaced;

/// How long a scheduler passes all short prompts of a service to the planner after it was last told
/// that the service is overloaded. While requests wait there, a reply arrives at least every 150
/// ms.
const DELEGATION_TIME: Duration = Duration::from_millis(400);

/// How a wait in an overload queue ended.
pub(crate) enum QueueResult {
    /// It was the request's turn.
    Turn(Result<Placement, NotPlaced>),
    /// The request was rejected.
    Rejected(Duration),
    /// This instance is no longer a scheduler.
    RoleLost,
}

/// A waiting request and where its result is sent.
pub(crate) struct Waiter {
    pub(crate) job: Job,
    pub(crate) since: Timestamp,
    pub(crate) tx: oneshot::Sender<QueueResult>,
}

/// The queue of one service.
pub(crate) struct ServiceQueue {
    pub(crate) queue: OverloadQueue,
    pub(crate) engine: EngineProfile,
    pub(crate) waiters: HashMap<WorkId, Waiter>,
    /// The slots of the engines when they were last counted.
    pub(crate) slots: u32,
    /// Whether a task drives it.
    pub(crate) is_driven: bool,
}

/// The overload queues of all services for which this instance plans.
#[derive(Default)]
pub(crate) struct OverloadQueues {
    pub(crate) services: BTreeMap<ServiceName, ServiceQueue>,
    /// Until when short prompts of a service are passed to its planner without a try to place them
    /// here.
    delegated: BTreeMap<ServiceName, Timestamp>,
}

impl OverloadQueues {
    /// Records that the planner of a service reports it as overloaded.
    pub(crate) fn record_overloaded(&mut self, now: Timestamp, service: &ServiceName) {
        self.delegated.insert(service.clone(), now + DELEGATION_TIME);
    }

    /// Whether short prompts of the service are passed to its planner.
    pub(crate) fn is_delegated(&self, now: Timestamp, service: &ServiceName) -> bool {
        self.delegated.get(service).is_some_and(|until| now < *until)
    }

    /// Whether requests to the service must pass this instance's queue.
    pub(crate) fn is_queueing(&mut self, now: Timestamp, service: &ServiceName) -> bool {
        let queue = self.services.get_mut(service).map(|service| &mut service.queue);
        queue.is_some_and(|queue| !queue.is_empty() || queue.is_overloaded(now))
    }

    /// The slots of the engines of a service whose queue is not empty.
    pub(crate) fn slots_if_waiting(&self, service: &ServiceName) -> Option<u32> {
        self.services.get(service).filter(|s| !s.queue.is_empty()).map(|s| s.slots)
    }

    /// Whether this instance's queue of the service is overloaded.
    pub(crate) fn is_overloaded(&mut self, now: Timestamp, service: &ServiceName) -> bool {
        self.services.get_mut(service).is_some_and(|service| service.queue.is_overloaded(now))
    }

    /// The number of services that are overloaded.
    pub(crate) fn overloaded(&mut self, now: Timestamp) -> usize {
        let queues = self.services.values_mut();
        queues.filter_map(|service| service.queue.is_overloaded(now).then_some(())).count()
    }

    /// The number of waiting requests by priority.
    pub(crate) fn len_by_priority(&self) -> BTreeMap<u8, usize> {
        let mut counts = BTreeMap::new();
        for (priority, count) in self.services.values().flat_map(|s| s.queue.len_by_priority()) {
            *counts.entry(priority).or_insert(0) += count;
        }
        counts
    }

    fn remove(&mut self, service: &ServiceName, id: WorkId) {
        if let Some(service) = self.services.get_mut(service) {
            service.queue.remove(id);
            service.waiters.remove(&id);
        }
    }
}

/// A request in this instance's overload queue. Dropping it removes the request.
pub(crate) struct QueuedRequest {
    node: Rc<Node>,
    service: ServiceName,
    id: WorkId,
    rx: oneshot::Receiver<QueueResult>,
}

impl QueuedRequest {
    pub(crate) fn new(
        node: Rc<Node>,
        service: ServiceName,
        id: WorkId,
        rx: oneshot::Receiver<QueueResult>,
    ) -> Self {
        Self { node, service, id, rx }
    }

    /// Waits until the request is placed or rejected.
    pub(crate) async fn wait(mut self) -> QueueResult {
        (&mut self.rx).await.unwrap_or(QueueResult::RoleLost)
    }
}

impl Drop for QueuedRequest {
    fn drop(&mut self) {
        self.node.overload.borrow_mut().remove(&self.service, self.id);
        // The caller disconnected when the request had just been placed.
        if let Ok(QueueResult::Turn(Ok(_))) = self.rx.try_recv() {
            self.node.end_work(self.id);
        }
    }
}
