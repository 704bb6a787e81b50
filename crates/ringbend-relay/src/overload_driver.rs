//! Drives the overload queues: decides when engines have capacity, and applies the decisions.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use ringbend_gateway::{
    Admission, AllowedDataCentres, Capacity, Decision, Demand, EngineProfile, Job, OverloadConfig,
    OverloadQueue, PlaceReason, WaitingRequest, WorkId, begin_time, startable,
};
use ringbend_types::{RetryAfter, ServiceName};
use smallvec::SmallVec;
use tokio::sync::oneshot;

use crate::log_fields::AccountName;
use crate::node::Node;
use crate::overload_queues::{QueueResult, QueuedRequest, ServiceQueue, Waiter};

/// Maximum time between two checks for free engines. Other instances' requests that end wake the
/// driver; this instance's own do not.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Minimum time between two checks.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// What this instance's overload queue does with an arriving request.
pub(crate) enum Pushed {
    /// It was decided at once.
    Decided(QueueResult),
    /// It waits.
    Queued(QueuedRequest),
}

impl Node {
    /// Adds a short prompt to this instance's overload queue.
    pub(crate) fn push_short(
        self: &Rc<Self>,
        id: WorkId,
        job: &Job,
        engine: EngineProfile,
        demand: Demand,
    ) -> Pushed {
        let now = self.clock.now();
        // An arriving request never overtakes waiting ones, so the engines, which may be many, are
        // only examined if there are none.
        let slots = self.overload.borrow().slots_if_waiting(&job.service);
        let capacity = match slots {
            Some(slots) => Capacity { free: 0, slots },
            None => self.startable_now(id, job, &engine, demand),
        };
        let (tx, rx) = oneshot::channel();
        let (admission, waiting) = {
            let mut queues = self.overload.borrow_mut();
            let service = queues.services.entry(job.service.clone()).or_insert_with(|| {
                let seed = self.rng.borrow_mut().random();
                let queue = OverloadQueue::new(OverloadConfig::default(), seed);
                ServiceQueue { queue, engine, waiters: HashMap::new(), slots: 0, is_driven: false }
            });
            (service.engine, service.slots) = (engine, capacity.slots);
            let request = waiting_request(id, job, &engine, demand);
            let admission = service.queue.push(now, request, capacity);
            if admission == Admission::Queued {
                service.waiters.insert(id, Waiter { job: job.clone(), since: now, tx });
            }
            (admission, service.queue.len())
        };
        match admission {
            Admission::PlaceNow => {
                Pushed::Decided(QueueResult::Turn(self.try_place(id, job, Some(engine))))
            }
            Admission::Rejected(after) => {
                self.log_rejection(job, after, waiting, Duration::ZERO);
                Pushed::Decided(QueueResult::Rejected(after.delay()))
            }
            Admission::Queued => {
                log::info!(
                    target: "request", id = job.request.as_ref(), service:% = job.service, waiting,
                    priority = job.priority,
                    account:% = AccountName(job.account.as_ref());
                    "waiting for an engine"
                );
                self.drive_queue_of(&job.service);
                Pushed::Queued(QueuedRequest::new(self.clone(), job.service.clone(), id, rx))
            }
        }
    }

    fn drive_queue_of(self: &Rc<Self>, service: &ServiceName) {
        let mut queues = self.overload.borrow_mut();
        let Some(queue) = queues.services.get_mut(service) else { return };
        if !std::mem::replace(&mut queue.is_driven, true) {
            tokio::task::spawn_local(self.clone().drive_queue(service.clone()));
        }
    }

    /// Places and rejects requests until none waits.
    async fn drive_queue(self: Rc<Self>, service: ServiceName) {
        while let Some(wait) = self.dispatch(&service) {
            tokio::time::sleep(MIN_POLL_INTERVAL).await;
            tokio::select! {
                () = tokio::time::sleep(wait.min(MAX_POLL_INTERVAL)) => {}
                () = self.load_changed.notified() => {}
            }
        }
    }

    /// Applies all decisions that are due. Returns the time until the next one, or `None` if no
    /// request waits.
    fn dispatch(&self, service: &ServiceName) -> Option<Duration> {
        if !self.is_scheduler() {
            self.clear_overload_queues();
        }
        let (id, job, engine) = self.queue_sample(service)?;
        let mut capacity = self.startable_now(id, &job, &engine, job.demand?);
        loop {
            let now = self.clock.now();
            let (decision, waiting, waiter) = {
                let mut queues = self.overload.borrow_mut();
                let queue = queues.services.get_mut(service)?;
                let decision = queue.queue.next(now, capacity);
                let waiter = match decision {
                    Decision::Place(id, _) | Decision::Reject(id, _) => queue.waiters.remove(&id),
                    Decision::Wait(_) => None,
                };
                (decision, queue.queue.len(), waiter)
            };
            match (decision, waiter) {
                (Decision::Wait(wait), _) => return Some(wait),
                (Decision::Place(id, reason), Some(waiter)) => {
                    self.place_waiter(id, reason, waiter, engine, waiting, capacity);
                    capacity = capacity.after_start();
                }
                (Decision::Reject(_, after), Some(waiter)) => {
                    self.log_rejection(&waiter.job, after, waiting, now.since(waiter.since));
                    drop(waiter.tx.send(QueueResult::Rejected(after.delay())));
                }
                (_, None) => {}
            }
        }
    }

    fn place_waiter(
        &self,
        id: WorkId,
        reason: PlaceReason,
        waiter: Waiter,
        engine: EngineProfile,
        waiting: usize,
        capacity: Capacity,
    ) {
        let Waiter { job, since, tx } = waiter;
        let waited = self.clock.now().since(since);
        log::info!(
            target: "request", id = job.request.as_ref(), service:% = job.service, reason:?,
            waited_ms = waited.as_millis() as u64, waiting, free = capacity.free,
            priority = job.priority, account:% = AccountName(job.account.as_ref());
            "an engine has capacity"
        );
        self.metrics.overload_wait(waited);
        let placed = self.try_place(id, &job, Some(engine));
        if let Err(QueueResult::Turn(Ok(_))) = tx.send(QueueResult::Turn(placed)) {
            self.end_work(id);
        }
    }

    fn log_rejection(&self, job: &Job, after: RetryAfter, waiting: usize, waited: Duration) {
        log::info!(
            target: "request", id = job.request.as_ref(), service:% = job.service,
            waited_ms = waited.as_millis() as u64, waiting,
            after_ms = after.delay().as_millis() as u64,
            priority = job.priority, account:% = AccountName(job.account.as_ref());
            "overloaded; request rejected"
        );
        self.metrics.overload_rejected(job.priority);
    }

    /// One of the waiting requests. `None` if there is none, so that the queue is no longer driven.
    fn queue_sample(&self, service: &ServiceName) -> Option<(WorkId, Job, EngineProfile)> {
        let mut queues = self.overload.borrow_mut();
        let queue = queues.services.get_mut(service)?;
        let Some((id, waiter)) = queue.waiters.iter().next() else {
            queue.is_driven = false;
            return None;
        };
        Some((*id, waiter.job.clone(), queue.engine))
    }

    /// The number of prompts like this one that the engines of its service can start now, wherever
    /// it may run itself.
    fn startable_now(
        &self,
        id: WorkId,
        job: &Job,
        engine: &EngineProfile,
        demand: Demand,
    ) -> Capacity {
        let any = Job {
            tried: SmallVec::new(),
            backing_off: Vec::new(),
            data_centres: AllowedDataCentres::Any,
            ..job.clone()
        };
        let closed = self.endpoints_without_permit(id, &any);
        let capacity =
            self.with_view(&any, &closed, |view, engines| startable(view, engine, engines, demand));
        // Without engines nothing is gained by waiting; the attempt to place finds out why.
        if capacity.slots == 0 { Capacity { free: u32::MAX, slots: 0 } } else { capacity }
    }

    /// Ends all waits, as this instance is no longer a scheduler.
    fn clear_overload_queues(&self) {
        let services = std::mem::take(&mut self.overload.borrow_mut().services);
        for waiter in services.into_values().flat_map(|service| service.waiters.into_values()) {
            drop(waiter.tx.send(QueueResult::RoleLost));
        }
    }
}

fn waiting_request(
    id: WorkId,
    job: &Job,
    engine: &EngineProfile,
    demand: Demand,
) -> WaitingRequest {
    WaitingRequest {
        id,
        fingerprint: job.fingerprint,
        account: job.account.clone(),
        priority: job.priority,
        since: job.since,
        first_by: job.first_by,
        until: job.caller_timeout_at,
        deadline: job.deadline,
        work: engine.slot_time(demand),
        begin: begin_time(engine, demand),
    }
}
