//! What an endpoint's process does to the requests on it when it ends.
//!
//! A connection that breaks proves nothing: engines cut answers, connections are reset, and engines leave.
//! That a process has ended is proved by its address, which refuses connections right after one broke; or by
//! its own later word or that of the one that took its place. Where neither comes, nothing is held against
//! the request: a strike that is missed costs one more engine, a wrong one may hold up a request that harms
//! nobody. A process that leaves is meant to end, so its end is no strike either.
//!
//! Only the endpoint that a request was sent to counts, not those that help it to read a long prompt. One that ends
//! each engine which begins it ends its lead as well, so a lead that goes on speaks for it; and where many engines
//! have ended by themselves a long prompt meets another one of them with each try.

use std::collections::HashMap;
use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use ringbend_gateway::{EndedProcess, Endpoint};
use ringbend_types::{Fingerprint, Timestamp};
use tokio::net::TcpStream;

use crate::life::Life;
use crate::node::Node;
use crate::silence::Broken;

/// How long an endpoint is given to take or refuse a connection: within a region it takes some
/// milliseconds, and the request waits for it.
const LOOK_TIME: Duration = Duration::from_millis(100);

/// How long after a look that found somebody listening it is looked again. A process that ends may close its
/// connections before it stops listening, and what forwards to it may notice later.
const SECOND_LOOK: Duration = Duration::from_millis(60);

/// How long what was found holds for others whose connections broke: those of one process break together.
const FOUND_TIME: Duration = Duration::from_millis(40);

/// A stream that has been written for so long did not end its engine: one that does ends it as soon as it has
/// begun. Keeps the strikes off long answers, which meet most ends of engines.
const HARMLESS_AFTER: Duration = Duration::from_secs(1);

/// How long after a send its caller's leaving is followed by a look at the endpoint. Requests that end their engines
/// do so within a tenth of a second after they have begun; those that wait at the engine for longer than this
/// ended none. It keeps the looks few: one connection for each caller that leaves sooner than most answers begin.
const HASTY: Duration = Duration::from_millis(400);

/// How long after a caller has left it is looked whether the endpoint is still there: longer than a request takes to
/// end its engine.
const LEFT_LOOK: Duration = Duration::from_millis(150);

/// What came of a look at an endpoint's address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Found {
    /// Somebody listens.
    Listening,
    /// Nobody does.
    Refused,
    /// No answer.
    Silent,
}

/// A run that may be to blame for the end of its endpoint.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Blamed {
    pub(crate) fingerprint: Fingerprint,
    /// The strikes that its request had when the run began.
    pub(crate) strikes_before: usize,
}

/// A run that has not begun to answer. If it is dropped by then, its caller has left, and its endpoint may end by it
/// all the same; nobody else may be on it to notice.
pub(crate) struct Unanswered {
    node: Rc<Node>,
    endpoint: Endpoint,
    run: Blamed,
    sent: Timestamp,
    is_open: bool,
}

impl Unanswered {
    /// Notes that the run has begun to answer, or how it ended.
    pub(crate) fn settle(&mut self) {
        self.is_open = false;
    }
}

impl Drop for Unanswered {
    fn drop(&mut self) {
        let was_hasty = self.node.clock.now().since(self.sent) < HASTY;
        if !self.is_open || !was_hasty {
            return;
        }
        let (node, endpoint, run) = (self.node.clone(), self.endpoint.clone(), self.run);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(LEFT_LOOK).await;
            node.look_for_end(&endpoint, run).await;
        });
    }
}

struct Lookup {
    at: Timestamp,
    /// None while it is looked at.
    found: Option<Found>,
}

/// The endpoints that were lately looked at.
#[derive(Default)]
pub(crate) struct Lookups(HashMap<SocketAddrV4, Lookup>);

impl Node {
    /// Looks whether an endpoint's process is there; the first of those that ask at once looks for all.
    async fn look_at(self: &Rc<Self>, address: SocketAddrV4) -> Found {
        let now = self.clock.now();
        let known = self.lookups.borrow().0.get(&address).map(|lookup| (lookup.at, lookup.found));
        match known {
            Some((at, Some(found))) if now.since(at) < FOUND_TIME => return found,
            Some((at, None)) if now.since(at) < FOUND_TIME => {}
            _ => return self.connect_to(now, address).await,
        }
        let until = now + LOOK_TIME;
        while self.clock.now() < until {
            tokio::time::sleep(Duration::from_millis(1)).await;
            if let Some(found) = self.lookups.borrow().0.get(&address).and_then(|l| l.found) {
                return found;
            }
        }
        Found::Silent
    }

    async fn connect_to(&self, now: Timestamp, address: SocketAddrV4) -> Found {
        let lookup = Lookup { at: now, found: None };
        {
            let lookups = &mut self.lookups.borrow_mut().0;
            lookups.retain(|_, lookup| now.since(lookup.at) < FOUND_TIME);
            lookups.insert(address, lookup);
        }
        let connected = tokio::time::timeout(LOOK_TIME, TcpStream::connect(address)).await;
        let found = match connected {
            Ok(Ok(_)) => Found::Listening,
            Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused => Found::Refused,
            Ok(Err(_)) | Err(_) => Found::Silent,
        };
        if let Some(lookup) = self.lookups.borrow_mut().0.get_mut(&address) {
            lookup.found = Some(found);
        }
        found
    }

    /// Looks whether an endpoint on which a request broke off has ended, and notes it if it has. Returns whether
    /// somebody was found to listen there.
    async fn look_for_end(self: &Rc<Self>, endpoint: &Endpoint, run: Blamed) -> bool {
        let found = self.look_at(endpoint.address).await;
        let is_settled = self.directory.borrow().is_settled(endpoint);
        log::info!(
            target: "endpoints", endpoint:% = endpoint.id, fingerprint:% = run.fingerprint, found:?, is_settled;
            "broke off"
        );
        if found == Found::Refused && is_settled {
            self.strike(run, endpoint);
        }
        found == Found::Listening && is_settled
    }

    /// The same, and again a little later where somebody was found to listen; the request does not wait for
    /// that. Goes on though the request's caller leaves.
    async fn look_twice(self: Rc<Self>, endpoint: Endpoint, run: Blamed) {
        if !self.look_for_end(&endpoint, run).await {
            return;
        }
        tokio::task::spawn_local(async move {
            tokio::time::sleep(SECOND_LOOK).await;
            self.look_for_end(&endpoint, run).await;
        });
    }

    /// Notes that an endpoint's process ended while it ran a request.
    pub(crate) fn strike(self: &Rc<Self>, run: Blamed, endpoint: &Endpoint) {
        let of = run.fingerprint;
        let process = EndedProcess { endpoint: endpoint.id.clone(), start: endpoint.start };
        let now = self.clock.now();
        if self.quarantine.borrow_mut().strike(now, of, process, run.strikes_before) {
            self.metrics.strike();
            self.changed_suspect(of, true);
            self.keep_suspect(of);
        }
    }
}

impl Life {
    fn blamed(&self) -> Blamed {
        Blamed { fingerprint: self.origin.fingerprint, strikes_before: self.strikes_before }
    }

    /// A run on this endpoint that is sent now.
    pub(crate) fn unanswered(&self, endpoint: &Endpoint) -> Unanswered {
        let (node, endpoint, run) = (self.node.clone(), endpoint.clone(), self.blamed());
        Unanswered { sent: node.clock.now(), node, endpoint, run, is_open: true }
    }

    /// Whether the request may be to blame if an engine ends on which it runs now.
    fn may_be_to_blame(&self) -> bool {
        let now = self.node.clock.now();
        self.writes_since.is_none_or(|since| now.since(since) < HARMLESS_AFTER)
    }

    /// Finds out whether a send broke because its endpoint ended, before it is sent elsewhere.
    pub(crate) async fn find_cause(&self, endpoint: &Endpoint, why: &Broken) {
        if !self.may_be_to_blame() {
            return;
        }
        let (node, run) = (&self.node, self.blamed());
        match why {
            Broken::Exchange(e) if !e.nothing_sent() => {
                let looking = node.clone().look_twice(endpoint.clone(), run);
                if tokio::task::spawn_local(looking).await.is_err() {
                    log::debug!(target: "endpoints", id = self.id(); "the look was cut short");
                }
            }
            Broken::Ended if node.directory.borrow().has_ended(endpoint) => {
                node.strike(run, endpoint);
            }
            _ => {}
        }
    }
}
