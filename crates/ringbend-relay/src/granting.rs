//! Places requests for the instances of this data centre that do not schedule.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ringbend_gateway::{EngineProfile, Job, Placement, WorkId};
use ringbend_types::Timestamp;
use ringbend_wire::{Ask, Grant, LoadDigest, Verdict, decode_ask, encode_placed_work};
use tokio::task::JoinHandle;

use crate::node::Node;
use crate::placing::{Counted, Denied, Unplaced};

/// What became of one ask.
struct Granting {
    address: SocketAddrV4,
    /// None while it waits for its turn.
    grant: Option<Grant>,
    waiting: Option<JoinHandle<()>>,
    until: Timestamp,
}

impl Drop for Granting {
    fn drop(&mut self) {
        if let Some(waiting) = &self.waiting {
            waiting.abort();
        }
    }
}

/// What this instance was asked as a scheduler, and who tells of whose work.
#[derive(Default)]
pub(crate) struct Grants {
    open: HashMap<WorkId, Granting>,
    /// The starts that ask this instance.
    served: HashSet<u64>,
    /// The scheduler that told last of each other start's work.
    told_by: HashMap<u64, SocketAddrV4>,
}

impl Grants {
    /// Notes that this instance schedules for that start.
    pub(crate) fn serve(&mut self, start: u64) {
        self.served.insert(start);
        self.told_by.remove(&start);
    }

    /// Whether this instance schedules for that start.
    pub(crate) fn serves(&self, start: u64) -> bool {
        self.served.contains(&start)
    }

    /// Notes that a scheduler told of that start's work.
    pub(crate) fn told_by(&mut self, start: u64, scheduler: SocketAddrV4) {
        self.told_by.insert(start, scheduler);
    }

    /// The scheduler that tells of that start's work.
    pub(crate) fn teller(&self, start: u64) -> Option<SocketAddrV4> {
        self.told_by.get(&start).copied()
    }

    /// The starts whose work that scheduler told of last.
    pub(crate) fn take_told_by(&mut self, scheduler: SocketAddrV4) -> Vec<u64> {
        let mut starts = Vec::new();
        self.told_by.retain(|start, by| {
            let is_his = *by == scheduler;
            if is_his {
                starts.push(*start);
            }
            !is_his
        });
        starts
    }

    /// Forgets an ask whose request has ended.
    pub(crate) fn end(&mut self, id: WorkId) {
        self.open.remove(&id);
    }

    /// Forgets a start that has ended.
    pub(crate) fn forget(&mut self, start: u64) {
        self.open.retain(|id, _| id.instance != start);
        self.served.remove(&start);
        self.told_by.remove(&start);
    }

    /// Forgets what must have ended.
    pub(crate) fn sweep(&mut self, now: Timestamp) {
        self.open.retain(|_, granting| granting.until > now);
    }

    /// Forgets all, as this instance no longer schedules. Returns what to tell those that wait.
    pub(crate) fn clear(&mut self) -> Vec<(SocketAddrV4, Grant)> {
        let queued = self.open.iter().filter(|(_, granting)| granting.grant.is_none());
        let told = queued.map(|(id, granting)| (granting.address, verdict(*id, Verdict::NotHere)));
        let told = told.collect();
        *self = Self::default();
        told
    }
}

impl Node {
    /// Takes in one ask of an instance that does not schedule. It may come again, as answers are lost.
    pub(crate) fn take_ask(self: &Rc<Self>, from: SocketAddrV4, start: u64, ask: &Ask) {
        let id = WorkId { instance: ask.owner.unwrap_or(start), sequence: ask.sequence };
        let known = self.grants.borrow().open.get(&id).map(|granting| granting.grant.clone());
        let grant = match known {
            Some(Some(grant)) => grant,
            Some(None) => verdict(id, Verdict::Queued),
            None if self.schedules() => self.begin(from, id, ask),
            None => verdict(id, Verdict::NotHere),
        };
        self.tell(&LoadDigest { grants: vec![grant], ..self.digest() }, from);
    }

    fn begin(self: &Rc<Self>, from: SocketAddrV4, id: WorkId, ask: &Ask) -> Grant {
        let now = self.clock.now();
        let job = match decode_ask(now, ask) {
            Ok(job) => job,
            Err(e) => {
                log::warn!(target: "peers", peer:% = from, error:% = e; "ask refused");
                return verdict(id, Verdict::NotHere);
            }
        };
        let snapshot = self.replica.borrow().snapshot().cloned();
        let service = snapshot.as_ref().and_then(|snapshot| snapshot.service(&job.service));
        let Some(service) = service else {
            // The sender's configuration is newer.
            return verdict(id, Verdict::NotHere);
        };
        let engine = service.engine;
        let plans = ask.owner.is_some();
        if !plans && job.suspect.is_none() {
            self.grants.borrow_mut().serve(id.instance);
        }
        let waits = job.suspect.is_some() || (!job.at_once && self.is_long(&job, engine));
        let until = job.deadline;
        let placed =
            if waits { Err(Unplaced::Elsewhere) } else { self.place_now(id, &job, engine) };
        if let Some(placed) = settled(placed) {
            let grant = self.grant(id, &job, placed);
            let (grant_kept, waiting) = (Some(grant.clone()), None);
            let granting = Granting { address: from, grant: grant_kept, waiting, until };
            self.grants.borrow_mut().open.insert(id, granting);
            return grant;
        }
        let granted = self.clone().grant_in_turn(from, id, job, engine, plans);
        let waiting = tokio::task::spawn_local(granted);
        let granting = Granting { address: from, grant: None, waiting: Some(waiting), until };
        self.grants.borrow_mut().open.insert(id, granting);
        verdict(id, Verdict::Queued)
    }

    /// Waits for a long prompt's turn, or a suspect's, and tells whoever asked. What an instance that does not schedule
    /// asked goes on to the one that plans or places it for all data centres; what a scheduler asked is placed here.
    async fn grant_in_turn(
        self: Rc<Self>,
        from: SocketAddrV4,
        id: WorkId,
        job: Job,
        engine: Option<EngineProfile>,
        plans: bool,
    ) {
        let placed = match (job.suspect, plans) {
            (Some(of), true) => self.place_suspect(id, &job, engine, of).await,
            (Some(of), false) => self.schedule_suspect(id, &job, engine, of).await,
            (None, true) => self.place_in_turn(id, &job, engine, Counted::Here).await,
            (None, false) => self.plan(id, &job, engine).await,
        };
        let grant = self.grant(id, &job, placed);
        self.tell(&LoadDigest { grants: vec![grant.clone()], ..self.digest() }, from);
        if let Some(granting) = self.grants.borrow_mut().open.get_mut(&id) {
            granting.grant = Some(grant);
            granting.waiting = None;
        }
    }

    fn grant(&self, id: WorkId, job: &Job, placed: Result<Placement, Denied>) -> Grant {
        let placement = match placed {
            Ok(placement) => placement,
            Err(Denied::NoTurn) => {
                self.end(id);
                return verdict(id, Verdict::TooLate);
            }
            Err(Denied::NoEndpoint) => return verdict(id, Verdict::NoEndpoint),
            Err(Denied::Held) => return verdict(id, Verdict::Held),
            Err(Denied::NoArbiter | Denied::NotHere) => return verdict(id, Verdict::NotHere),
            Err(Denied::Limited(after)) => {
                self.end(id);
                let come_back_ms = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
                return Grant { come_back_ms, ..verdict(id, Verdict::Limited) };
            }
        };
        log::debug!(target: "peers", request = job.request.as_ref(); "granted");
        let load = self.load.borrow();
        let work =
            load.work(id).map(|(work, _)| encode_placed_work(self.clock.now(), id, work, false));
        let first = Duration::from_secs_f64(placement.first_ms.max(0.0) / 1e3);
        Grant {
            work,
            first_us: u64::try_from(first.as_micros()).unwrap_or(u64::MAX),
            cost: placement.cost,
            ..verdict(id, Verdict::Placed)
        }
    }
}

/// What is decided; none if it has to wait, or others decide it.
fn settled(placed: Result<Placement, Unplaced>) -> Option<Result<Placement, Denied>> {
    match placed {
        Ok(placement) => Some(Ok(placement)),
        Err(Unplaced::NoEndpoint) => Some(Err(Denied::NoEndpoint)),
        Err(Unplaced::Elsewhere) => None,
    }
}

fn verdict(id: WorkId, verdict: Verdict) -> Grant {
    let owner = Some(id.instance);
    Grant { sequence: id.sequence, verdict: verdict.into(), owner, ..Grant::default() }
}
