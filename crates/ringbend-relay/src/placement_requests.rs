//! Member side of placement: asks schedulers of this data centre to place a request.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ringbend_gateway::{Job, Peers, Placement, WorkId};
use ringbend_types::Timestamp;
use ringbend_wire::{Ask, Grant, LoadDigest, Verdict, decode_placed_work, encode_ask};
use smallvec::SmallVec;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::node::Node;
use crate::placement::PlacementError;

/// How long a scheduler may take to reply, a third of the shortest target time to the first event.
/// A round trip takes a fifth of a millisecond and a decision a few tenths; a scheduler that has
/// used up its processor quota resumes within a tenth of a second.
const GRANT_TIMEOUT: Duration = Duration::from_millis(40);

/// Interval at which a queued placement request is sent again, as the reply or the scheduler itself
/// may have been lost.
const QUEUED_RESEND_INTERVAL: Duration = Duration::from_millis(150);

/// Maximum number of schedulers asked for one request. After that this instance places the request
/// itself, while it can still be in time.
const MAX_SCHEDULERS_ASKED: usize = 2;

/// Placement requests that have no reply yet.
#[derive(Default)]
pub(crate) struct PlacementRequests {
    open: HashMap<WorkId, UnboundedSender<Grant>>,
}

impl PlacementRequests {
    /// The ids of all pending placement requests.
    pub(crate) fn open(&self) -> impl Iterator<Item = WorkId> + '_ {
        self.open.keys().copied()
    }

    /// Delivers a reply. Replies to requests that are no longer pending are dropped: another
    /// scheduler has replied, or the caller has disconnected.
    pub(crate) fn deliver(&self, own_incarnation: u64, grant: &Grant) {
        let id =
            WorkId { instance: grant.owner.unwrap_or(own_incarnation), sequence: grant.sequence };
        if let Some(tx) = self.open.get(&id) {
            drop(tx.send(grant.clone()));
        }
    }
}

/// A pending placement request; dropping it withdraws the request.
struct PendingRequest {
    node: Rc<Node>,
    id: WorkId,
    rx: UnboundedReceiver<Grant>,
}

impl PendingRequest {
    fn new(node: Rc<Node>, id: WorkId) -> Self {
        let (tx, rx) = unbounded_channel();
        node.placement_requests.borrow_mut().open.insert(id, tx);
        Self { node, id, rx }
    }

    fn send(&self, scheduler: SocketAddrV4, job: &Job) {
        let owner = Some(self.id.instance).filter(|owner| *owner != self.node.incarnation());
        let ask = Ask { owner, ..encode_ask(self.node.clock.now(), self.id, job) };
        self.node.send_digest(&LoadDigest { asks: vec![ask], ..self.node.digest() }, scheduler);
    }

    /// Asks one scheduler and waits for its decision. `None` if it does not reply, is not a scheduler,
    /// or has not decided by the request's deadline, as one whose queue does not advance.
    async fn await_decision(&mut self, scheduler: SocketAddrV4, job: &Job) -> Option<Grant> {
        self.send(scheduler, job);
        let mut is_queued = false;
        loop {
            let left = job.deadline.since(self.node.clock.now());
            if left.is_zero() {
                return None;
            }
            let timeout = if is_queued { QUEUED_RESEND_INTERVAL } else { GRANT_TIMEOUT };
            match tokio::time::timeout(timeout.min(left), self.rx.recv()).await {
                Ok(Some(grant)) => {
                    if grant.overloaded {
                        let now = self.node.clock.now();
                        self.node.overload.borrow_mut().record_overloaded(now, &job.service);
                    }
                    match grant.verdict() {
                        Verdict::Queued => is_queued = true,
                        Verdict::NotHere => return None,
                        _ => return Some(grant),
                    }
                }
                Ok(None) => return None,
                Err(_) if left < timeout => return None,
                Err(_) if is_queued => {
                    is_queued = false;
                    self.send(scheduler, job);
                }
                Err(_) => {
                    log::info!(
                        target: "peers", request = job.request.as_ref(), scheduler:% = scheduler;
                        "scheduler did not reply"
                    );
                    self.node
                        .peers
                        .borrow_mut()
                        .mark_unresponsive(self.node.clock.now(), scheduler);
                    return None;
                }
            }
        }
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        self.node.placement_requests.borrow_mut().open.remove(&self.id);
    }
}

impl Node {
    /// Asks schedulers to place a request. `None` if there are none or they do not reply. `next`
    /// selects the scheduler to ask, given those that were asked before.
    pub(crate) async fn request_placement(
        self: &Rc<Self>,
        id: WorkId,
        job: &Job,
        next: impl Fn(&Peers, Timestamp, &[SocketAddrV4]) -> Option<SocketAddrV4>,
    ) -> Option<Result<Placement, PlacementError>> {
        let mut pending = PendingRequest::new(self.clone(), id);
        let mut asked: SmallVec<[SocketAddrV4; MAX_SCHEDULERS_ASKED]> = SmallVec::new();
        let started_at = self.clock.now();
        while asked.len() < MAX_SCHEDULERS_ASKED {
            let scheduler = next(&self.peers.borrow(), self.clock.now(), &asked)?;
            asked.push(scheduler);
            let Some(grant) = pending.await_decision(scheduler, job).await else {
                if self.clock.now() >= job.deadline {
                    return Some(Err(PlacementError::TurnExpired));
                }
                continue;
            };
            let asked_ms = self.clock.now().since(started_at).as_millis() as u64;
            log::info!(
                target: "request", id = job.request.as_ref(), scheduler:%, asked_ms,
                verdict:? = grant.verdict();
                "scheduler replied"
            );
            return match grant.verdict() {
                // The scheduler may not have received an endpoint yet that this instance knows.
                Verdict::NoEndpoint if self.is_ahead_of(scheduler) => continue,
                Verdict::TooLate if grant.come_back_ms > 0 => {
                    Some(Err(PlacementError::Overloaded(Duration::from_millis(grant.come_back_ms))))
                }
                Verdict::TooLate => Some(Err(PlacementError::TurnExpired)),
                Verdict::NoEndpoint => Some(Err(PlacementError::NoEndpoint)),
                Verdict::Held => Some(Err(PlacementError::Held)),
                Verdict::Limited => {
                    Some(Err(PlacementError::Limited(Duration::from_millis(grant.come_back_ms))))
                }
                _ => Some(Ok(self.apply_grant(id, &grant, asked.len() > 1)?)),
            };
        }
        None
    }

    /// Whether this instance has changes of the endpoint table that the scheduler lacks. Changes
    /// reach instances some milliseconds apart, and a caller refused in between would lose a round
    /// trip and its retry delay although an idle endpoint is known here.
    fn is_ahead_of(&self, scheduler: SocketAddrV4) -> bool {
        self.peers.borrow().is_behind(scheduler, self.endpoints_cursor.get())
    }

    /// Adds a granted placement to this instance's load tracker. `None` if it cannot be decoded.
    fn apply_grant(
        &self,
        id: WorkId,
        grant: &Grant,
        may_be_placed_twice: bool,
    ) -> Option<Placement> {
        let now = self.clock.now();
        let work = match grant.work.as_ref().map(|work| decode_placed_work(now, work)) {
            Some(Ok(work)) => work,
            Some(Err(e)) => {
                log::warn!(target: "peers", error:% = e; "invalid placement grant");
                return None;
            }
            None => return None,
        };
        let placement = Placement {
            lead: work.lead.clone(),
            helpers: work.helpers.clone(),
            part: work.part,
            held: work.held.clone(),
            cost: grant.cost,
            cost_to_others: 0.0,
            first_ms: grant.first_us as f64 / 1e3,
        };
        self.load.borrow_mut().place(now, id, work);
        if may_be_placed_twice {
            // The scheduler asked before may have placed the request elsewhere.
            self.outbox.borrow_mut().placed.push(id);
            self.flush.immediate.notify_one();
        }
        Some(placement)
    }
}
