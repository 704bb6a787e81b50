//! Distribution of suspected requests among instances, and their placement.

use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ringbend_gateway::{
    Arbiter, Assessment, EndedProcess, Endpoint, EngineProfile, Job, Peers, Placement,
    SuspectState, WorkId,
};
use ringbend_types::{EndpointId, Fingerprint, ServiceName, Timestamp};
use ringbend_wire::{LoadDigest, Suspicion, decode_suspicion, encode_suspicion};
use smallvec::SmallVec;

use crate::log_fields::PartName;
use crate::node::Node;
use crate::placement::{NotPlaced, PermitIssuer, PlacementError};
use crate::suspect_keys::SuspectKeys;

/// Maximum number of suspects per datagram, so that it stays well below the receive buffer.
const MAX_PER_DATAGRAM: usize = 64;

/// Interval between checks whether a suspect still runs elsewhere. A run that succeeds takes at
/// least some tens of milliseconds.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long after one run of a suspect the next one is sent if the first has not ended. A suspect
/// that crashes its engine does so within a third of this time. One that hangs, or whose instance
/// is frozen, must not block all callers that send the same request. Waiting runs are sent one by
/// one, or at once when one of them has succeeded.
const CONCURRENT_RUN_DELAY: Duration = Duration::from_millis(250);

/// How long a suspect with two strikes waits for an arbiter. Asking three schedulers in turn takes
/// 120 ms, and an instance that receives nothing from schedulers becomes one itself after 300 ms. A
/// request that has no arbiter by then is refused and retried later, rather than wait for instances
/// that are paused.
const ARBITER_TIMEOUT: Duration = Duration::from_millis(500);

impl Node {
    /// How a request has to be treated according to this instance's knowledge.
    pub(crate) fn suspect_state(&self, fingerprint: Fingerprint) -> SuspectState {
        self.quarantine.borrow().state(fingerprint)
    }

    /// Logs the current state of a suspected request, marks its runs on this instance and queues
    /// the state for the members of this data centre, and with `for_all` for all instances.
    pub(crate) fn publish_suspect(&self, fingerprint: Fingerprint, for_all: bool) {
        let state = self.suspect_state(fingerprint);
        let known = self.quarantine.borrow().get(fingerprint).cloned();
        let ended = known.iter().flat_map(|s| &s.ended).map(|p| p.endpoint.as_str());
        let ended = ended.collect::<Vec<_>>().join(" ");
        let (round, tries) = known.as_ref().map_or((0, 0), |s| (s.round, s.tries));
        let part = PartName(known.as_ref().and_then(|s| s.part));
        log::info!(target: "suspects", fingerprint:% = fingerprint, part:%, state:?, ended, round, tries; "suspect state changed");
        for process in known.iter().flat_map(|s| &s.ended) {
            self.load.borrow_mut().decide_suspects_on(&process.endpoint);
        }
        self.metrics.held_requests.set(self.quarantine.borrow().held_count() as i64);
        self.metrics.held_parts.set(self.quarantine.borrow().held_part_count() as i64);
        {
            let mut outbox = self.outbox.borrow_mut();
            outbox.local_suspicions.push(fingerprint);
            if for_all {
                outbox.suspicions.push(fingerprint);
            }
            if state != SuspectState::Clear {
                let sends = self.open_sends.borrow();
                let of_suspect = |keys: &SuspectKeys| keys.all().any(|key| key == fingerprint);
                for (id, keys) in sends.iter().filter(|(_, keys)| of_suspect(keys)) {
                    self.load.borrow_mut().mark_suspect(*id, keys.suspects());
                    outbox.placed.push(*id);
                }
            }
        }
        self.flush.immediate.notify_one();
        // A part may become held because another possible cause was cleared.
        if state == SuspectState::Held || known.is_some_and(|s| s.part.is_some()) {
            self.request_held.notify_waiters();
        }
    }

    /// Records that a run of the request succeeded.
    pub(crate) fn clear_suspect(self: &Rc<Self>, fingerprint: Fingerprint) {
        let was_severe = self.quarantine.borrow().get(fingerprint).is_some_and(|s| s.is_severe());
        if self.quarantine.borrow_mut().clear(self.clock.now(), fingerprint) {
            self.publish_suspect(fingerprint, true);
            if was_severe {
                self.delete_suspect(fingerprint);
            }
        }
    }

    /// The state of these requests and all recent changes, encoded for other instances.
    pub(crate) fn suspicion_updates(
        &self,
        fingerprints: &[Fingerprint],
        now: Timestamp,
    ) -> Vec<Suspicion> {
        let quarantine = self.quarantine.borrow();
        let requested = fingerprints.iter().filter_map(|fingerprint| quarantine.get(*fingerprint));
        let recent = quarantine.recent(now).filter(|s| !fingerprints.contains(&s.fingerprint));
        requested.chain(recent).take(MAX_PER_DATAGRAM).map(encode_suspicion).collect()
    }

    /// Everything that an instance that has just started needs to know, split into digests. Empty
    /// if this instance does not know the suspects itself.
    pub(crate) fn suspect_snapshot(&self) -> Vec<LoadDigest> {
        if !self.knows_suspects.get() {
            return Vec::new();
        }
        let all: Vec<Suspicion> =
            self.quarantine.borrow().for_starting().map(encode_suspicion).collect();
        let digest = |part: &[Suspicion]| LoadDigest { suspicions: part.to_vec(), ..self.digest() };
        let mut digests: Vec<LoadDigest> = all.chunks(MAX_PER_DATAGRAM).map(digest).collect();
        let last = digests.pop().unwrap_or_else(|| self.digest());
        digests.push(LoadDigest { knows_suspects: true, ..last });
        digests
    }

    /// Merges suspects known to another instance. Those from a member are forwarded to all
    /// instances, those from a scheduler to the members.
    pub(crate) fn merge_suspicions(self: &Rc<Self>, digest: &LoadDigest, from_scheduler: bool) {
        let now = self.clock.now();
        let mut changed: SmallVec<[Fingerprint; 4]> = SmallVec::new();
        for encoded in &digest.suspicions {
            match decode_suspicion(encoded) {
                Ok(suspicion) => {
                    if self.quarantine.borrow_mut().merge(now, &suspicion) {
                        changed.push(suspicion.fingerprint);
                    }
                }
                Err(e) => log::warn!(target: "peers", error:% = e; "invalid suspicion in digest"),
            }
        }
        // Whether a part is held depends on the strikes of others, so all are merged before.
        changed.iter().for_each(|suspect| self.publish_suspect(*suspect, !from_scheduler));
        self.vouch_for(&changed);
        if digest.knows_suspects {
            self.record_suspects_known("another instance");
        }
    }

    /// Records that this instance has the suspects that were known to others when it started.
    pub(crate) fn record_suspects_known(&self, from: &str) {
        if !self.knows_suspects.replace(true) {
            let held = self.quarantine.borrow().held_count();
            log::info!(target: "suspects", from, held; "suspects loaded");
            self.startup_progress.notify_waiters();
            self.send_suspects_to_started();
        }
    }

    /// Sends the suspects just learnt to instances that may have started at the same time.
    fn send_suspects_to_started(&self) {
        if !self.is_scheduler() {
            return;
        }
        let (now, digests) = (self.clock.now(), self.suspect_snapshot());
        let peers = self.peers.borrow();
        let others: Vec<SocketAddrV4> =
            peers.members(now).chain(peers.other_schedulers(now)).collect();
        drop(peers);
        digests.iter().for_each(|digest| self.send_digest_to_all(digest, others.iter().copied()));
    }

    /// Waits until the request is held.
    pub(crate) async fn wait_until_held(&self, keys: &SuspectKeys) {
        loop {
            let mut notified = std::pin::pin!(self.request_held.notified());
            // Registered before the check, so that no notification in between is missed.
            notified.as_mut().enable();
            if keys.assess(&self.quarantine.borrow()).state == SuspectState::Held {
                return;
            }
            notified.await;
        }
    }

    /// Has a suspect placed by the arbiter of its service, or by the next one if that does not
    /// reply. If no arbiter replies, a request with one strike is served anyway; one with two
    /// strikes is refused after a while.
    pub(crate) async fn schedule_suspect(
        self: &Rc<Self>,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
    ) -> Result<Placement, PlacementError> {
        let until =
            (self.clock.now() + ARBITER_TIMEOUT).min(job.caller_timeout_at).min(job.deadline);
        loop {
            let now = self.clock.now();
            let arbiter = self.peers.borrow().arbiter(now, &job.service, &[]);
            match arbiter {
                Some(Arbiter::Local) => return self.place_suspect(id, job, engine).await,
                Some(Arbiter::Remote(_)) => {
                    let next = |peers: &Peers, now, asked: &[SocketAddrV4]| {
                        peers.arbiter(now, &job.service, asked).and_then(Arbiter::address)
                    };
                    if let Some(result) = self.request_placement(id, job, next).await {
                        return result;
                    }
                }
                None => {}
            }
            match self.assess(job).state {
                SuspectState::Clear | SuspectState::Suspect(1) => {
                    log::info!(target: "request", id = job.request.as_ref(); "no arbiter replied; placing suspect locally");
                    return self.place_when_due(id, job, engine, PermitIssuer::Any).await;
                }
                SuspectState::Held => return Err(PlacementError::Held),
                SuspectState::Suspect(_) if now >= until => return Err(PlacementError::NoArbiter),
                SuspectState::Suspect(_) => tokio::time::sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Whether an endpoint is available on which the suspect may run; also true if the service has
    /// no endpoint at all.
    fn has_endpoint_without_suspects(&self, id: WorkId, job: &Job) -> bool {
        let service = &job.service;
        let is_empty =
            self.directory.borrow().of_service(self.clock.now(), service).next().is_none();
        is_empty
            || self.with_view(job, &self.endpoints_without_permit(id, job), |_, candidates| {
                !candidates.is_empty()
            })
    }

    /// Whether the request may run on the endpoint, given the suspects that already run there. An
    /// endpoint that a suspect has crashed looks idle until its row is removed, so it is used only
    /// if there is no other.
    pub(crate) fn may_run_on(&self, job: &Job, endpoint: &Endpoint) -> bool {
        if job.suspects.is_empty() {
            return true;
        }
        let (load, quarantine) = (self.load.borrow(), self.quarantine.borrow());
        let beside = load.suspects_on(self.clock.now(), &endpoint.id);
        quarantine.may_run_beside(&job.suspects, beside)
            && (!quarantine.has_ended(&EndedProcess::of(endpoint))
                || self.running_endpoints(&job.service).is_empty())
    }

    /// The endpoints of a service that no suspect is known to have crashed.
    pub(crate) fn running_endpoints(&self, service: &ServiceName) -> Vec<EndpointId> {
        let (directory, quarantine) = (self.directory.borrow(), self.quarantine.borrow());
        let all = directory.of_service(self.clock.now(), service);
        let running = all.filter(|endpoint| !quarantine.has_ended(&EndedProcess::of(endpoint)));
        running.map(|endpoint| endpoint.id.clone()).collect()
    }

    /// How a suspect that is to be placed is treated by now.
    fn assess(&self, job: &Job) -> Assessment {
        self.quarantine.borrow().assess(job.suspects.iter().copied())
    }

    /// Whether a suspect may be sent now: it was cleared, or no other run that has a suspect in
    /// common with it was sent recently and is still undecided, and there is an endpoint without
    /// other suspects.
    fn may_place_suspect(&self, id: WorkId, job: &Job) -> Result<bool, PlacementError> {
        match self.assess(job).state {
            SuspectState::Clear => Ok(true),
            SuspectState::Held => Err(PlacementError::Held),
            SuspectState::Suspect(_) => {
                let (now, load) = (self.clock.now(), self.load.borrow());
                let has_strikes =
                    |suspect: &&Fingerprint| self.quarantine.borrow().strikes(**suspect) > 0;
                let mut suspects = job.suspects.iter().filter(has_strikes);
                let is_alone = suspects.all(|suspect| {
                    let last = load.last_undecided(now, *suspect);
                    last.is_none_or(|at| now.since(at) >= CONCURRENT_RUN_DELAY)
                });
                drop(load);
                Ok(is_alone && self.has_endpoint_without_suspects(id, job))
            }
        }
    }

    /// Places a suspect as soon as it may be sent.
    pub(crate) async fn place_suspect(
        self: &Rc<Self>,
        id: WorkId,
        job: &Job,
        engine: Option<EngineProfile>,
    ) -> Result<Placement, PlacementError> {
        self.wait_for_turn(id, job, engine).await?;
        let started_at = self.clock.now();
        let until = job.caller_timeout_at.min(job.deadline);
        let placement = loop {
            if self.may_place_suspect(id, job)? {
                match self.try_place(id, job, engine) {
                    Ok(placement) => break placement,
                    Err(NotPlaced::NoEndpoint) => return Err(PlacementError::NoEndpoint),
                    Err(NotPlaced::MustWait) => {}
                }
            }
            if self.clock.now() >= until {
                return Err(PlacementError::TurnExpired);
            }
            self.check_permit_wait(job, until)?;
            tokio::time::sleep(POLL_INTERVAL).await;
        };
        let waited_ms = self.clock.now().since(started_at).as_millis() as u64;
        log::info!(target: "request", id = job.request.as_ref(), suspects = job.suspects.len(), waited_ms; "suspect placed");
        Ok(placement)
    }
}
