//! What instances tell each other of suspected requests, and where those run.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ringbend_gateway::{
    Arbiter, Endpoint, EngineProfile, Job, Peers, Placement, SuspectState, WorkId,
};
use ringbend_types::{Fingerprint, Timestamp};
use ringbend_wire::{LoadDigest, Suspicion, decode_suspicion, encode_suspicion};

use crate::node::Node;
use crate::placing::{Counted, Denied, Unplaced};

/// The most suspects told in one datagram, so that it stays well below what is read.
const TOLD_AT_ONCE: usize = 64;

/// How often it is looked whether a suspect still runs elsewhere. A run that ends well takes some tens of
/// milliseconds at least.
const LOOK: Duration = Duration::from_millis(10);

/// How long after one try of a suspect the next one is sent if the first has not ended. One that ends its engine does
/// so within a third of this; one that hangs, or whose instance is frozen, must not keep all that send the same
/// call waiting. Those that wait go one by one, or as soon as one of them has ended well.
const OTHER_TRY_TIME: Duration = Duration::from_millis(250);

/// How long a suspect with two strikes looks for an instance that places it. Three schedulers are asked one after the
/// other in 120 ms, and an instance that hears none any more takes up scheduling after 300; who has none by then comes
/// back later rather than wait for instances that are paused.
const ARBITER_TIME: Duration = Duration::from_millis(500);

impl Node {
    /// What follows for a request from what is known of it here.
    pub(crate) fn suspect_state(&self, of: Fingerprint) -> SuspectState {
        self.quarantine.borrow().state(of)
    }

    /// Writes the line of what is now known of a request, marks its runs here, and has others told.
    pub(crate) fn changed_suspect(&self, of: Fingerprint, for_all: bool) {
        let state = self.suspect_state(of);
        let known = self.quarantine.borrow().get(of).cloned();
        let ended = known.iter().flat_map(|s| &s.ended).map(|p| p.endpoint.as_str());
        let ended = ended.collect::<Vec<_>>().join(" ");
        let (round, tries) = known.as_ref().map_or((0, 0), |s| (s.round, s.tries));
        log::info!(target: "suspects", fingerprint:% = of, state:?, ended, round, tries; "suspect");
        self.metrics.held_requests.set(self.quarantine.borrow().held_count() as i64);
        {
            let mut outbox = self.outbox.borrow_mut();
            outbox.local_suspicions.push(of);
            if for_all {
                outbox.suspicions.push(of);
            }
            if state != SuspectState::Clear {
                let sends = self.sends.borrow();
                for (id, _) in sends.iter().filter(|(_, fingerprint)| **fingerprint == of) {
                    self.load.borrow_mut().mark_suspect(*id, of);
                    outbox.placed.push(*id);
                }
            }
        }
        self.signals.now.notify_one();
        if state == SuspectState::Held {
            self.held_news.notify_waiters();
        }
    }

    /// Notes that a run of a request ended well.
    pub(crate) fn clear_suspect(self: &Rc<Self>, of: Fingerprint) {
        let was_grave = self.quarantine.borrow().get(of).is_some_and(|s| s.is_severe());
        if self.quarantine.borrow_mut().clear(self.clock.now(), of) {
            self.changed_suspect(of, true);
            if was_grave {
                self.unkeep_suspect(of);
            }
        }
    }

    /// What is known of these requests, as told to others, and what was noted lately.
    pub(crate) fn told_suspicions(&self, of: &[Fingerprint], now: Timestamp) -> Vec<Suspicion> {
        let quarantine = self.quarantine.borrow();
        let named = of.iter().filter_map(|of| quarantine.get(*of));
        let recent = quarantine.recent(now).filter(|s| !of.contains(&s.fingerprint));
        named.chain(recent).take(TOLD_AT_ONCE).map(encode_suspicion).collect()
    }

    /// All that an instance needs to know which has just started, in as many digests as it takes; none if
    /// this one does not know it either.
    pub(crate) fn all_suspects(&self) -> Vec<LoadDigest> {
        if !self.knows_suspects.get() {
            return Vec::new();
        }
        let all: Vec<Suspicion> =
            self.quarantine.borrow().for_starting().map(encode_suspicion).collect();
        let digest = |part: &[Suspicion]| LoadDigest { suspicions: part.to_vec(), ..self.digest() };
        let mut digests: Vec<LoadDigest> = all.chunks(TOLD_AT_ONCE).map(digest).collect();
        let last = digests.pop().unwrap_or_else(|| self.digest());
        digests.push(LoadDigest { knows_suspects: true, ..last });
        digests
    }

    /// Takes in what another instance knows of suspects. What one that does not schedule tells is told on
    /// to all, what a scheduler tells to those that do not schedule.
    pub(crate) fn note_suspicions(&self, digest: &LoadDigest, from_scheduler: bool) {
        let now = self.clock.now();
        for told in &digest.suspicions {
            match decode_suspicion(told) {
                Ok(told) => {
                    if self.quarantine.borrow_mut().merge(now, &told) {
                        self.changed_suspect(told.fingerprint, !from_scheduler);
                    }
                }
                Err(e) => log::warn!(target: "peers", error:% = e; "suspicion refused"),
            }
        }
        if digest.knows_suspects {
            self.know_suspects("another instance");
        }
    }

    /// Notes that this instance knows what there was to know of suspects when it started.
    pub(crate) fn know_suspects(&self, from: &str) {
        if !self.knows_suspects.replace(true) {
            let held = self.quarantine.borrow().held_count();
            log::info!(target: "suspects", from, held; "suspects known");
            self.begun.notify_waiters();
            self.tell_started();
        }
    }

    /// Tells those that may have started together with this one what it has just learnt.
    fn tell_started(&self) {
        if !self.schedules() {
            return;
        }
        let (now, digests) = (self.clock.now(), self.all_suspects());
        let peers = self.peers.borrow();
        let others: Vec<SocketAddrV4> =
            peers.members(now).chain(peers.other_schedulers(now)).collect();
        drop(peers);
        digests.iter().for_each(|digest| self.tell_all(digest, others.iter().copied()));
    }

    /// Waits until a request is held.
    pub(crate) async fn held(&self, of: Fingerprint) {
        loop {
            let mut told = std::pin::pin!(self.held_news.notified());
            // What is held from here on is told.
            told.as_mut().enable();
            if self.suspect_state(of) == SuspectState::Held {
                return;
            }
            told.await;
        }
    }

    /// Has a suspect placed by the instance that places all suspects of its service, or by the next one where
    /// that is silent. Where none answers, one strike does not keep it from being served; two do after a while.
    pub(crate) async fn schedule_suspect(
        self: &Rc<Self>,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
        of: Fingerprint,
    ) -> Result<Placement, Denied> {
        let until = (self.clock.now() + ARBITER_TIME).min(job.caller_timeout_at).min(job.deadline);
        loop {
            let now = self.clock.now();
            let arbiter = self.peers.borrow().arbiter(now, &job.service, &[]);
            match arbiter {
                Some(Arbiter::Local) => return self.place_suspect(id, job, engine, of).await,
                Some(Arbiter::Remote(_)) => {
                    let next = |peers: &Peers, now, asked: &[SocketAddrV4]| {
                        peers.arbiter(now, &job.service, asked).and_then(Arbiter::address)
                    };
                    if let Some(answer) = self.ask(id, job, next).await {
                        return answer;
                    }
                }
                None => {}
            }
            match self.suspect_state(of) {
                SuspectState::Clear | SuspectState::Suspect(1) => {
                    log::info!(target: "request", id = job.request.as_ref(); "suspect without arbiter");
                    return self.place_in_turn(id, job, engine, Counted::ByOne).await;
                }
                SuspectState::Held => return Err(Denied::Held),
                SuspectState::Suspect(_) if now >= until => return Err(Denied::NoArbiter),
                SuspectState::Suspect(_) => tokio::time::sleep(LOOK).await,
            }
        }
    }

    /// Whether there is an endpoint where a suspect may run; also if there is none at all.
    fn has_room_apart(&self, id: WorkId, job: &Job) -> bool {
        let service = &job.service;
        let is_empty =
            self.directory.borrow().of_service(self.clock.now(), service).next().is_none();
        is_empty
            || self.decide(job, &self.closed_to(id, job), |_, candidates| !candidates.is_empty())
    }

    /// Whether the request may be put on an endpoint beside the suspects that run there.
    pub(crate) fn may_run_on(&self, job: &Job, endpoint: &Endpoint) -> bool {
        let Some(of) = job.suspect else { return true };
        let load = self.load.borrow();
        self.quarantine
            .borrow()
            .may_run_beside(of, load.suspects_on(self.clock.now(), &endpoint.id))
    }

    /// Whether a suspect may be sent now: it was cleared, or no other try of it was sent lately and is open, and there
    /// is an endpoint for it apart from other suspects.
    fn may_place_suspect(&self, id: WorkId, job: &Job, of: Fingerprint) -> Result<bool, Denied> {
        match self.suspect_state(of) {
            SuspectState::Clear => Ok(true),
            SuspectState::Held => Err(Denied::Held),
            SuspectState::Suspect(_) => {
                let last = self.load.borrow().last_placed(of);
                let now = self.clock.now();
                let is_alone = last.is_none_or(|at| now.since(at) >= OTHER_TRY_TIME);
                Ok(is_alone && self.has_room_apart(id, job))
            }
        }
    }

    /// Places a suspect once it may be sent.
    pub(crate) async fn place_suspect(
        self: &Rc<Self>,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
        of: Fingerprint,
    ) -> Result<Placement, Denied> {
        self.wait_for_turn(id, job, engine).await?;
        let began = self.clock.now();
        let until = job.caller_timeout_at.min(job.deadline);
        let placement = loop {
            if self.may_place_suspect(id, job, of)? {
                match self.place_now(id, job, engine) {
                    Ok(placement) => break placement,
                    Err(Unplaced::NoEndpoint) => return Err(Denied::NoEndpoint),
                    Err(Unplaced::Elsewhere) => {}
                }
            }
            if self.clock.now() >= until {
                return Err(Denied::NoTurn);
            }
            self.may_wait(job, until)?;
            tokio::time::sleep(LOOK).await;
        };
        let waited_ms = self.clock.now().since(began).as_millis() as u64;
        log::info!(target: "request", id = job.request.as_ref(), fingerprint:% = of, waited_ms; "suspect placed");
        Ok(placement)
    }
}
