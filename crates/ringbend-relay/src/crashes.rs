//! Attribution of endpoint crashes to the requests that ran on them.
//!
//! A broken connection proves nothing: engines cut off responses, connections are reset, and
//! engines are shut down. The end of a process is proved if its address refuses connections right
//! after one broke, from here and from other instances, or by a later message of the process itself
//! or of its successor. Without such proof the request is not blamed: a missed strike costs one more
//! engine, while a wrong one may cause a harmless request to be held. An endpoint that is leaving is
//! expected to end, so its end is no strike either.
//!
//! Only the end of the endpoint that a request was sent to counts, not that of the helpers that
//! prefill part of a long prompt. A request that crashes every engine that starts it also crashes
//! its lead, so a lead that continues is evidence in its favour. And if many engines crash for
//! other reasons, each run of a long prompt is likely to involve another one of them.

use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ringbend_gateway::{Candidates, EndedProcess, Endpoint};
use ringbend_types::{Fingerprint, Timestamp};
use smallvec::SmallVec;
use tokio::task::JoinHandle;

use crate::active_request::ActiveRequest;
use crate::log_fields::Millis;
use crate::network::{self, ConnectError};
use crate::node::Node;
use crate::survival::SURVIVAL_TIME;
use crate::suspect_keys::{StrikeCounts, SuspectKeys};
use crate::timeouts::RunError;

/// How long an endpoint may take to accept or refuse a connection. Within a region this takes a few
/// milliseconds, and the request waits for it.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// How long other instances may take to find out whether an endpoint that refuses this instance
/// listens.
const ELSEWHERE_PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Delay after which an address that accepted a connection is probed again. A process that ends may
/// close its connections before it stops listening, and a proxy in front of it may notice later.
const SECOND_PROBE_DELAY: Duration = Duration::from_millis(60);

/// How long a probe's result is reused for other broken connections, as the connections of one
/// process break together.
const PROBE_RESULT_TTL: Duration = Duration::from_millis(40);

/// A response that has been streaming for this time is not the cause of its engine's crash: a
/// request that crashes its engine does so right after it has started. This avoids strikes against
/// long responses, which are affected by most engine crashes.
const HARMLESS_AFTER: Duration = Duration::from_secs(1);

/// The endpoint is probed only if the caller disconnects within this time after the send. Requests
/// that crash their engine do so within a tenth of a second after they have started, and one that
/// has been queued at the engine for longer than this did not crash it. The limit keeps the number
/// of probes small: one connection for each caller that disconnects before most responses begin.
const EARLY_ABANDON_TIME: Duration = Duration::from_millis(400);

/// Delay between a caller's disconnect and the probe of its endpoint; longer than a request takes
/// to crash its engine.
const ABANDON_PROBE_DELAY: Duration = Duration::from_millis(150);

/// The result of probing an endpoint's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeResult {
    /// The connection was accepted.
    Listening,
    /// The connection was refused.
    Refused,
    /// No reply within the timeout.
    Silent,
}

/// A run that may be the cause of its endpoint's crash.
#[derive(Debug, Clone)]
pub(crate) struct SuspectedRun {
    pub(crate) keys: Rc<SuspectKeys>,
    /// The strikes of the request and its parts when the run started.
    pub(crate) strikes_before: StrikeCounts,
    /// How long the run had streamed its response when it broke off.
    pub(crate) streamed: Option<Duration>,
}

/// Guards a run without a response. If it is dropped in this state, the caller has disconnected.
/// The endpoint may still crash, and possibly no other request runs there that would reveal it.
pub(crate) struct AbandonGuard {
    node: Rc<Node>,
    endpoint: Endpoint,
    run: SuspectedRun,
    sent_at: Timestamp,
    is_armed: bool,
}

impl AbandonGuard {
    /// Disarms the guard once the run has a response or has ended.
    pub(crate) fn disarm(&mut self) {
        self.is_armed = false;
    }
}

impl Drop for AbandonGuard {
    fn drop(&mut self) {
        let was_abandoned_early = self.node.clock.now().since(self.sent_at) < EARLY_ABANDON_TIME;
        if !self.is_armed || !was_abandoned_early {
            return;
        }
        let (node, endpoint, run) = (self.node.clone(), self.endpoint.clone(), self.run.clone());
        tokio::task::spawn_local(async move {
            tokio::time::sleep(ABANDON_PROBE_DELAY).await;
            node.probe_for_crash(&endpoint, &run).await;
        });
    }
}

/// A check whether an endpoint has crashed. It continues if this is dropped.
#[must_use]
pub(crate) struct CrashCheck(Option<JoinHandle<()>>);

impl CrashCheck {
    /// Waits until the result is recorded.
    pub(crate) async fn finished(&mut self) {
        let Some(task) = &mut self.0 else { return };
        if let Err(e) = task.await {
            log::warn!(target: "endpoints", error:% = e; "crash check failed");
        }
        self.0 = None;
    }
}

struct Probe {
    at: Timestamp,
    /// `None` while the probe is in progress.
    found: Option<ProbeResult>,
}

/// Recently probed endpoints.
#[derive(Default)]
pub(crate) struct EndpointProbes(HashMap<SocketAddrV4, Probe>);

impl Node {
    /// Checks whether an endpoint's process is listening. Concurrent checks of one address share
    /// the first one's probe.
    async fn probe(self: &Rc<Self>, address: SocketAddrV4) -> ProbeResult {
        let now = self.clock.now();
        let known = self.probes.borrow().0.get(&address).map(|probe| (probe.at, probe.found));
        match known {
            Some((at, Some(found))) if now.since(at) < PROBE_RESULT_TTL => return found,
            Some((at, None)) if now.since(at) < PROBE_RESULT_TTL => {}
            _ => return self.connect_probe(now, address).await,
        }
        let until = now + PROBE_TIMEOUT + ELSEWHERE_PROBE_TIMEOUT;
        while self.clock.now() < until {
            tokio::time::sleep(Duration::from_millis(1)).await;
            if let Some(found) = self.probes.borrow().0.get(&address).and_then(|probe| probe.found)
            {
                return found;
            }
        }
        ProbeResult::Silent
    }

    async fn connect_probe(self: &Rc<Self>, now: Timestamp, address: SocketAddrV4) -> ProbeResult {
        let probe = Probe { at: now, found: None };
        {
            let probes = &mut self.probes.borrow_mut().0;
            probes.retain(|_, probe| now.since(probe.at) < PROBE_RESULT_TTL);
            probes.insert(address, probe);
        }
        let found = self.find_listener(address).await;
        if let Some(probe) = self.probes.borrow_mut().0.get_mut(&address) {
            probe.found = Some(found);
        }
        found
    }

    /// Connects to an address, and lets other instances do so if it refuses this one.
    async fn find_listener(self: &Rc<Self>, address: SocketAddrV4) -> ProbeResult {
        let is_lost = self.reachability.borrow().is_lost(address);
        if !is_lost {
            match network::connect(&*self.network, address, PROBE_TIMEOUT).await {
                Ok(_) => return ProbeResult::Listening,
                Err(ConnectError::Refused) => {}
                Err(_) => return ProbeResult::Silent,
            }
        }
        if self.carrier_candidates() == Candidates::default() {
            return if is_lost { ProbeResult::Silent } else { ProbeResult::Refused };
        }
        match self.is_listening(address, ELSEWHERE_PROBE_TIMEOUT).await {
            Some(true) => ProbeResult::Listening,
            Some(false) => ProbeResult::Refused,
            None => ProbeResult::Silent,
        }
    }

    /// Checks whether an endpoint on which a request broke off has crashed, and records a strike if
    /// so. Returns whether the address accepted a connection.
    async fn probe_for_crash(self: &Rc<Self>, endpoint: &Endpoint, run: &SuspectedRun) -> bool {
        let found = self.probe(endpoint.address).await;
        let is_settled = self.directory.borrow().is_settled(endpoint);
        log::info!(
            target: "endpoints", endpoint:% = endpoint.id, fingerprint:% = run.keys.request,
            parts:% = run.keys.parts, streamed_ms:% = Millis(run.streamed), found:?, is_settled;
            "request broke off; endpoint probed"
        );
        if found == ProbeResult::Refused && is_settled {
            self.record_strike(run, endpoint);
        }
        found == ProbeResult::Listening && is_settled
    }

    /// Like [`Self::probe_for_crash`], and again after a delay if the address accepted a
    /// connection. The request does not wait for the second probe, which is made even if its caller
    /// disconnects.
    async fn probe_twice(self: Rc<Self>, endpoint: Endpoint, run: SuspectedRun) {
        if !self.probe_for_crash(&endpoint, &run).await {
            return;
        }
        tokio::task::spawn_local(async move {
            tokio::time::sleep(SECOND_PROBE_DELAY).await;
            self.probe_for_crash(&endpoint, &run).await;
        });
    }

    /// Records that an endpoint's process ended while it ran the request.
    pub(crate) fn record_strike(self: &Rc<Self>, run: &SuspectedRun, endpoint: &Endpoint) {
        let process = EndedProcess::of(endpoint);
        let now = self.clock.now();
        let mut struck: SmallVec<[Fingerprint; 4]> = SmallVec::new();
        let mut noted = None;
        {
            let mut quarantine = self.quarantine.borrow_mut();
            let mut before = run.strikes_before.iter().copied().chain(std::iter::repeat(0));
            let survived = run.streamed.is_some_and(|streamed| streamed >= SURVIVAL_TIME);
            for (part, before) in run.keys.keyed_parts().zip(before.by_ref()) {
                if !survived && quarantine.strike_part(now, part, process.clone(), before) {
                    struck.push(part.0);
                }
            }
            let (request, before) = (run.keys.request, before.next().unwrap_or_default());
            if quarantine.strike(now, request, process.clone(), before) {
                struck.push(request);
            } else if quarantine.note_concurrent(now, request, process) {
                noted = Some(request);
            }
        }
        struck.iter().for_each(|_| self.metrics.strike());
        for fingerprint in struck.iter().chain(&noted) {
            self.publish_suspect(*fingerprint, true);
            self.store_suspect(*fingerprint);
        }
        self.vouch_for(&struck);
    }
}

impl ActiveRequest {
    fn suspected_run(&self) -> SuspectedRun {
        let now = self.node.clock.now();
        SuspectedRun {
            keys: self.original.keys.clone(),
            strikes_before: self.strikes_before.clone(),
            streamed: self.streaming_since.map(|since| now.since(since)),
        }
    }

    /// Creates the guard of a run on this endpoint that is sent now.
    pub(crate) fn abandon_guard(&self, endpoint: &Endpoint) -> AbandonGuard {
        let (node, endpoint, run) = (self.node.clone(), endpoint.clone(), self.suspected_run());
        AbandonGuard { sent_at: node.clock.now(), node, endpoint, run, is_armed: true }
    }

    /// Whether the request could be the cause if the engine that it runs on crashes now.
    fn may_have_caused_crash(&self) -> bool {
        let now = self.node.clock.now();
        self.streaming_since.is_none_or(|since| now.since(since) < HARMLESS_AFTER)
    }

    /// Determines whether a run failed because its endpoint crashed. The request must not be sent
    /// elsewhere before the check has finished.
    pub(crate) fn check_for_crash(&self, endpoint: &Endpoint, why: &RunError) -> CrashCheck {
        if !self.may_have_caused_crash() {
            return CrashCheck(None);
        }
        let (node, run) = (&self.node, self.suspected_run());
        match why {
            RunError::Exchange(e) if !e.is_unsent() => {
                let probing = node.clone().probe_twice(endpoint.clone(), run);
                CrashCheck(Some(tokio::task::spawn_local(probing)))
            }
            RunError::Ended if node.directory.borrow().has_ended(endpoint) => {
                node.record_strike(&run, endpoint);
                CrashCheck(None)
            }
            _ => CrashCheck(None),
        }
    }
}
