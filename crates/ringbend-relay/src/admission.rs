//! The admission check before every send to an endpoint.
//!
//! A request may have been placed by another instance, or may have waited since its placement.
//! Whether its endpoints still accept it is decided from this instance's state at the time of the
//! send.

use std::fmt;
use std::time::Duration;

use ringbend_gateway::{BackoffState, Directory, Endpoint, Job, Placement, SendOutcome};
use ringbend_types::{EndpointId, ServiceName, Timestamp};

use crate::active_request::{ActiveRequest, SendFailure};
use crate::node::Node;

/// Maximum number of closed endpoints listed in a placement request, to bound its datagram. A
/// placement on one that was not listed is rejected before the send.
const MAX_CLOSED: usize = 64;

/// Why nothing may be sent to an endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Inadmissible {
    /// The endpoint's process has ended.
    Ended,
    /// The endpoint is draining, according to its row or its own announcement.
    Draining,
    /// The operator evacuates the endpoint's data centre.
    Evacuated,
    /// The request must not run in the endpoint's data centre.
    OutsideRegions,
    /// The endpoint asked this instance to back off.
    BackingOff,
}

impl fmt::Display for Inadmissible {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Ended => "ended",
            Self::Draining => "draining",
            Self::Evacuated => "evacuated",
            Self::OutsideRegions => "outside the allowed regions",
            Self::BackingOff => "backing off",
        })
    }
}

impl Node {
    /// Checks whether requests may be sent to an endpoint now.
    ///
    /// # Errors
    ///
    /// The reason why none may be sent.
    pub(crate) fn check_admission(&self, endpoint: &Endpoint) -> Result<(), Inadmissible> {
        if let Some(why) = closed_reason(&self.directory.borrow(), endpoint) {
            return Err(why);
        }
        match self.backoffs.borrow().state(self.clock.now(), endpoint) {
            BackoffState::Closed(_) => Err(Inadmissible::BackingOff),
            BackoffState::Open | BackoffState::Probed => Ok(()),
        }
    }

    /// The endpoints of a service that this instance must not send to now, and those where the
    /// first request after a back-off has no response yet, unless no other one is left.
    pub(crate) fn closed_endpoints(&self, service: &ServiceName) -> Vec<EndpointId> {
        let (now, backoffs) = (self.clock.now(), self.backoffs.borrow());
        if backoffs.is_empty() {
            return Vec::new();
        }
        let directory = self.directory.borrow();
        let (mut closed, mut probed, mut any_open) = (Vec::new(), Vec::new(), false);
        for endpoint in directory.of_service(now, service) {
            match backoffs.state(now, endpoint) {
                BackoffState::Open => any_open = true,
                BackoffState::Probed => probed.push(endpoint.id.clone()),
                BackoffState::Closed(_) => closed.push(endpoint.id.clone()),
            }
        }
        if any_open {
            closed.append(&mut probed);
        }
        closed.truncate(MAX_CLOSED);
        closed
    }

    /// Time until the first endpoint of a service accepts requests, if all of them back off; `None`
    /// if one accepts requests now, or there is none.
    pub(crate) fn all_backing_off(&self, service: &ServiceName) -> Option<Duration> {
        let (now, backoffs) = (self.clock.now(), self.backoffs.borrow());
        if backoffs.is_empty() {
            return None;
        }
        let directory = self.directory.borrow();
        let until = directory.of_service(now, service).map(|e| match backoffs.state(now, e) {
            BackoffState::Closed(until) => Some(until),
            BackoffState::Open | BackoffState::Probed => None,
        });
        let until: Option<Vec<Timestamp>> = until.collect();
        Some(until?.into_iter().min()?.since(now))
    }

    /// The first endpoint of a placement that must not be used for this request. The scheduler may
    /// not have received the endpoint's signals yet.
    pub(crate) fn inadmissible(
        &self,
        job: &Job,
        placement: &Placement,
    ) -> Option<(EndpointId, Inadmissible)> {
        let directory = self.directory.borrow();
        let why = |id: &EndpointId| {
            if job.backing_off.contains(id) {
                return Some(Inadmissible::BackingOff);
            }
            let endpoint = directory.get(id)?;
            if !job.data_centres.contains(&endpoint.data_centre) {
                return Some(Inadmissible::OutsideRegions);
            }
            closed_reason(&directory, endpoint)
        };
        let mut ids = std::iter::once(&placement.lead).chain(&placement.helpers);
        ids.find_map(|id| Some((id.clone(), why(id)?)))
    }
}

/// Why an endpoint accepts no requests from any instance.
fn closed_reason(directory: &Directory, endpoint: &Endpoint) -> Option<Inadmissible> {
    if directory.has_ended(endpoint) {
        return Some(Inadmissible::Ended);
    }
    let known = directory.get(&endpoint.id).unwrap_or(endpoint);
    if directory.is_evacuated(known) {
        return Some(Inadmissible::Evacuated);
    }
    directory.is_leaving(known).then_some(Inadmissible::Draining)
}

impl ActiveRequest {
    /// Checks that a request may be sent to its lead engine and helpers now.
    ///
    /// # Errors
    ///
    /// It may not. Nothing was sent, so the request is placed again.
    pub(crate) fn admit(&mut self, dependencies: &[Endpoint]) -> Result<(), SendFailure> {
        let allowed = self.allowed_data_centres();
        let check = |endpoint: &Endpoint| match allowed.contains(&endpoint.data_centre) {
            true => self.node.check_admission(endpoint),
            false => Err(Inadmissible::OutsideRegions),
        };
        let rejected = dependencies.iter().find_map(|e| Some((e.id.clone(), check(e).err()?)));
        let Some((endpoint, why)) = rejected else { return Ok(()) };
        if dependencies.first().is_some_and(|lead| lead.id == endpoint) {
            // The scheduler may not have received the signal yet; a tried endpoint is not chosen
            // again.
            self.attempts.record_send(&endpoint);
        }
        self.node.metrics.inadmissible();
        log::info!(target: "request", id = self.request_id(), endpoint:%, why:%; "endpoint accepts no requests; placing again");
        Err(SendFailure::Send(SendOutcome::NotSent))
    }
}
