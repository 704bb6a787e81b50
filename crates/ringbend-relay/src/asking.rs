//! Asks schedulers of this data centre where a request goes.

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
use crate::placing::Denied;

/// How long a scheduler may take to answer. A trip there and back takes a fifth of a millisecond, and
/// a decision some tenths; one whose processor time is used up goes on within a tenth of a second.
/// A third of the tightest aims.
const ANSWER_TIME: Duration = Duration::from_millis(40);

/// How long an ask that waits for its turn is not asked again: its answer may have been lost, and its
/// scheduler too.
const QUEUED_LOOK: Duration = Duration::from_millis(150);

/// The most schedulers that are asked for one request. After that it is placed with what is known
/// here, while it can still be in time.
const MOST_ASKED: usize = 2;

/// What schedulers were asked and have not answered.
#[derive(Default)]
pub(crate) struct Asks {
    open: HashMap<WorkId, UnboundedSender<Grant>>,
}

impl Asks {
    /// The requests that are asked for.
    pub(crate) fn open(&self) -> impl Iterator<Item = WorkId> + '_ {
        self.open.keys().copied()
    }

    /// Takes in an answer. One that nobody waits for any more is left out: whoever asked was answered
    /// by another scheduler or has left.
    pub(crate) fn answer(&self, own: u64, grant: &Grant) {
        let id = WorkId { instance: grant.owner.unwrap_or(own), sequence: grant.sequence };
        if let Some(tx) = self.open.get(&id) {
            drop(tx.send(grant.clone()));
        }
    }
}

/// One ask; dropping it ends it.
struct Open {
    node: Rc<Node>,
    id: WorkId,
    rx: UnboundedReceiver<Grant>,
}

impl Open {
    fn new(node: Rc<Node>, id: WorkId) -> Self {
        let (tx, rx) = unbounded_channel();
        node.asks.borrow_mut().open.insert(id, tx);
        Self { node, id, rx }
    }

    fn send(&self, scheduler: SocketAddrV4, job: &Job) {
        let owner = Some(self.id.instance).filter(|owner| *owner != self.node.incarnation());
        let ask = Ask { owner, ..encode_ask(self.node.clock.now(), self.id, job) };
        self.node.tell(&LoadDigest { asks: vec![ask], ..self.node.digest() }, scheduler);
    }

    /// Asks one scheduler and waits for its word; none if it is silent or does not schedule.
    async fn verdict(&mut self, scheduler: SocketAddrV4, job: &Job) -> Option<Grant> {
        self.send(scheduler, job);
        let mut is_queued = false;
        loop {
            let time = if is_queued { QUEUED_LOOK } else { ANSWER_TIME };
            match tokio::time::timeout(time, self.rx.recv()).await {
                Ok(Some(grant)) => match grant.verdict() {
                    Verdict::Queued => is_queued = true,
                    Verdict::NotHere => return None,
                    _ => return Some(grant),
                },
                Ok(None) => return None,
                Err(_) if is_queued => {
                    is_queued = false;
                    self.send(scheduler, job);
                }
                Err(_) => {
                    log::info!(
                        target: "peers", request = job.request.as_ref(), scheduler:% = scheduler;
                        "scheduler is silent"
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

impl Drop for Open {
    fn drop(&mut self) {
        self.node.asks.borrow_mut().open.remove(&self.id);
    }
}

impl Node {
    /// Asks schedulers where a request goes; none if there are none or they do not answer. `next` names
    /// the one to ask, but for those that were asked.
    pub(crate) async fn ask(
        self: &Rc<Self>,
        id: WorkId,
        job: &Job,
        next: impl Fn(&Peers, Timestamp, &[SocketAddrV4]) -> Option<SocketAddrV4>,
    ) -> Option<Result<Placement, Denied>> {
        let mut open = Open::new(self.clone(), id);
        let mut asked: SmallVec<[SocketAddrV4; MOST_ASKED]> = SmallVec::new();
        let began = self.clock.now();
        while asked.len() < MOST_ASKED {
            let scheduler = next(&self.peers.borrow(), self.clock.now(), &asked)?;
            asked.push(scheduler);
            let Some(grant) = open.verdict(scheduler, job).await else { continue };
            let asked_ms = self.clock.now().since(began).as_millis() as u64;
            log::info!(
                target: "request", id = job.request.as_ref(), scheduler:%, asked_ms,
                verdict:? = grant.verdict();
                "scheduled"
            );
            return match grant.verdict() {
                // It may not have heard yet of an endpoint that this instance knows.
                Verdict::NoEndpoint if self.is_ahead_of(scheduler) => continue,
                Verdict::TooLate => Some(Err(Denied::NoTurn)),
                Verdict::NoEndpoint => Some(Err(Denied::NoEndpoint)),
                Verdict::Held => Some(Err(Denied::Held)),
                Verdict::Limited => {
                    Some(Err(Denied::Limited(Duration::from_millis(grant.come_back_ms))))
                }
                _ => Some(Ok(self.take_grant(id, &grant, asked.len() > 1)?)),
            };
        }
        None
    }

    /// Whether this instance knows changes of the endpoints' table that the one at `scheduler` does not. They
    /// reach instances some milliseconds apart, and a caller that is refused meanwhile loses a trip and its wait,
    /// with an idle endpoint known here.
    fn is_ahead_of(&self, scheduler: SocketAddrV4) -> bool {
        self.peers.borrow().is_behind(scheduler, self.endpoints_cursor.get().0)
    }

    /// Puts a granted placement on this instance's book; none if it cannot be read.
    fn take_grant(&self, id: WorkId, grant: &Grant, is_doubtful: bool) -> Option<Placement> {
        let now = self.clock.now();
        let work = match grant.work.as_ref().map(|work| decode_placed_work(now, work)) {
            Some(Ok(work)) => work,
            Some(Err(e)) => {
                log::warn!(target: "peers", error:% = e; "grant refused");
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
        if is_doubtful {
            // The other one may have placed it elsewhere.
            self.outbox.borrow_mut().placed.push(id);
            self.signals.now.notify_one();
        }
        Some(placement)
    }
}
